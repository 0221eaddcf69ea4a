"""Client of the callers' edge that fails over between daemons without duplicating work.

Terms:
  deadline   time limit of a request over all daemons together
  not run    a daemon reported it, or no byte of the request was sent

Flow: `search`, `execute` and `outcome` try one daemon after the other until one answers or the
deadline passes. The next daemon is tried only after "not run", and only if the refusal is specific
to the VM or allows an immediate retry; a request that may have run is reported, never sent again.

A search changes nothing at the backend servers, yet it is not sent again either if it may have run:
that would double the load when the system is slow, and would spread a request that crashes backend
servers. An execute has an idempotency key, so that it is safe to query `outcome` or to send it
again with the same key.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any, Final, TypeVar

from berylspindle_client.addresses import Address
from berylspindle_client.outcomes import Failure, Refused, Unknown, Unreachable, read_answer
from berylspindle_model import caller_protocol as protocol
from berylspindle_model import codec
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import ExecuteAnswer, SearchAnswer
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import JSON_TYPE
from berylspindle_wire.http_client import FailurePhase, HttpFailure

T = TypeVar("T")

DEFAULT_DEADLINE_MS: Final = 2000
# After this time without a connection the next daemon is tried.
CONNECT_TIMEOUT_S: Final = 0.5
# Extra time to receive the response of a daemon that used the whole deadline.
_RESPONSE_GRACE_S: Final = 0.25
_SINGLE_VM_KINDS: Final = frozenset(
    {ErrorKind.NOT_READY, ErrorKind.SHUTTING_DOWN, ErrorKind.DATA_CENTRE_OUT}
)


class CallerClient:
    """Client of a query tier with several daemons; create it in a running event loop."""

    def __init__(self, daemons: Sequence[Address], *, caller: str = "") -> None:
        """Create a client; `daemons` are tried in the given order."""
        if not daemons:
            raise ValueError("no daemon address given")
        self._caller = caller
        self._daemons = tuple(daemons)
        self._stack = AsyncExitStack()
        self._clients: dict[Address, HttpClient] = {}

    async def search(
        self,
        service: str,
        query: str,
        *,
        limit: int = 10,
        page: str | None = None,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
        request_id: str = "",
    ) -> SearchAnswer | Failure:
        """Search one service; `page` is the `next_page` of the previous answer."""
        body = codec.to_json(protocol.SearchBody(query=query, limit=limit, page=page))
        path = protocol.search_path(service)
        headers = self._headers(request_id)
        return await self._call_any("POST", path, headers, body, SearchAnswer, deadline_ms)

    async def execute(
        self,
        service: str,
        shard: str,
        key: str,
        payload: dict[str, Any],
        *,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
        request_id: str = "",
    ) -> ExecuteAnswer | Failure:
        """Run a request at most once under an idempotency key."""
        body = codec.to_json(protocol.ExecuteBody(shard=shard, payload=payload))
        path = protocol.execute_path(service)
        headers = self._headers(request_id) | {protocol.IDEMPOTENCY_KEY_HEADER: key}
        return await self._call_any("POST", path, headers, body, ExecuteAnswer, deadline_ms)

    async def outcome(
        self, service: str, key: str, *, deadline_ms: int = DEFAULT_DEADLINE_MS
    ) -> ExecuteAnswer | Failure:
        """Return the outcome of an earlier execute."""
        path = protocol.outcome_path(service, key)
        return await self._call_any("GET", path, self._headers(""), b"", ExecuteAnswer, deadline_ms)

    async def close(self) -> None:
        """Close all connections."""
        await self._stack.aclose()

    async def __aenter__(self) -> CallerClient:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    def _headers(self, request_id: str) -> dict[str, str]:
        headers = {"content-type": JSON_TYPE}
        if self._caller:
            headers[protocol.CALLER_HEADER] = self._caller
        if request_id:
            headers[protocol.REQUEST_ID_HEADER] = request_id
        return headers

    async def _call_any(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        kind: type[T],
        deadline_ms: int,
    ) -> T | Failure:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + deadline_ms / 1000
        failure_to_report: Failure = Unreachable(tuple(map(str, self._daemons)))
        for daemon in self._daemons:
            remaining_s = deadline - loop.time()
            if remaining_s <= 0:
                break
            headers[protocol.DEADLINE_HEADER] = str(max(1, int(remaining_s * 1000)))
            outcome = await self._call_one(daemon, method, path, headers, body, kind, remaining_s)
            if not isinstance(outcome, Refused | Unreachable):
                return outcome
            if isinstance(outcome, Refused):
                failure_to_report = outcome
                if not _may_try_next(outcome):
                    return outcome
        return failure_to_report

    async def _call_one(
        self,
        daemon: Address,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        kind: type[T],
        remaining_s: float,
    ) -> T | Failure:
        client = self._client(daemon)
        timeout = remaining_s + _RESPONSE_GRACE_S
        try:
            response = await client.request(
                method, path, headers=headers, body=body, timeout=timeout
            )
        except HttpFailure as failure:
            if failure.phase is FailurePhase.NOT_SENT:
                return Unreachable((str(daemon),), failure.detail)
            return Unknown(str(daemon), failure.detail)
        return read_answer(response, kind, str(daemon))

    def _client(self, daemon: Address) -> HttpClient:
        client = self._clients.get(daemon)
        if client is None:
            client = HttpClient(daemon.host, daemon.port, connect_timeout=CONNECT_TIMEOUT_S)
            self._stack.push_async_callback(client.close)
            self._clients[daemon] = client
        return client


def _may_try_next(refused: Refused) -> bool:
    """Return whether to try the next daemon after a refusal.

    The request must not have run, and the refusal must be specific to that VM or allow an immediate
    retry (0 ms). Any other delay applies to the whole system: sending the request to the next full
    queue would only add load.
    """
    if refused.run is not RunState.NOT_RUN:
        return False
    return refused.retry_after_ms == 0 or refused.kind in _SINGLE_VM_KINDS
