"""Read the quota reports of many VMs at their peers' edges.

Flow: `read_quotas` sends one request to each address with bounded concurrency and merges each
answer as it arrives. An address that cannot be reached, or whose answer is malformed, is named in
the report with the reason; the other answers are merged all the same.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Final

from berylspindle_client.addresses import Address
from berylspindle_client.quota_report import QuotaMerger, QuotaReport
from berylspindle_model import codec
from berylspindle_model.quota_status import STATUS_PATH, QuotaStatus
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import HttpLimits, HttpResponse
from berylspindle_wire.http_client import FailurePhase, HttpFailure

CONNECT_TIMEOUT_S: Final = 1.0
MAX_CONCURRENT_CALLS: Final = 16
"""Calls in flight. An answer with 10,000 organisations has megabytes, and its decoding blocks the
event loop, which counts against the timeout of the other calls."""

_LIMITS: Final = HttpLimits(body_bytes=32 * 1024 * 1024)


async def read_quotas(
    addresses: Sequence[Address], *, organisation: str | None = None, timeout: float
) -> QuotaReport:
    """Return the merged report of VMs, limited to one organisation if given.

    `timeout` limits each call, in seconds. Raises no error if an address fails, even if all do.
    """
    merger = QuotaMerger(organisation)
    unreachable: dict[str, str] = {}
    malformed: dict[str, str] = {}
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def read(address: Address) -> None:
        async with semaphore:
            try:
                response = await _get_status(address, timeout)
            except HttpFailure as failure:
                is_malformed = failure.phase is FailurePhase.BAD_REPLY
                failures = malformed if is_malformed else unreachable
                failures[str(address)] = failure.detail
                return
            try:
                merger.add(_decode(response))
            except codec.MalformedError as error:
                malformed[str(address)] = str(error)

    async with asyncio.TaskGroup() as group:
        for address in dict.fromkeys(addresses):
            group.create_task(read(address))
    return merger.report(unreachable, malformed)


async def _get_status(address: Address, timeout: float) -> HttpResponse:
    client = HttpClient(
        address.host, address.port, limit=1, connect_timeout=CONNECT_TIMEOUT_S, limits=_LIMITS
    )
    try:
        return await client.get(STATUS_PATH, timeout=timeout)
    finally:
        await client.close()


def _decode(response: HttpResponse) -> QuotaStatus:
    """Return the status in a response; raises MalformedError if there is none."""
    if response.status != 200:
        raise codec.MalformedError(f"status {response.status} from {STATUS_PATH}")
    status = codec.from_json(response.body, QuotaStatus)
    names = {organisation.name for organisation in status.organisations}
    if len(names) < len(status.organisations):
        raise codec.MalformedError("an organisation is listed twice")
    return status
