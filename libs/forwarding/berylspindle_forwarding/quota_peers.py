"""Call other VMs for quota tokens.

Terms:
  role      what the called VM acts as: owner of the organisation, or lender of the data centre
  skipped   a VM that did not respond repeatedly, or refused the connection; it is not called for
            `SKIP_S`

Flow: `borrow` posts an ask to a VM's peers' edge and returns the reply, or None if there was none.
Each VM has one client with a few connections, which `close_unused` closes when the VM is no longer
announced. Each call is counted by role and result, and failures are logged.

Guard: a VM that is cut off or overloaded would hold up the asks of all organisations. After
`MAX_TIMEOUTS` in a row it is not called for `SKIP_S`, and asks fail at once meanwhile. A single
time-out also occurs while a new configuration fills the link of a VM that others follow.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable, Collection
from typing import Final

from berylspindle_decisions.log_rate_limiter import LineKind, LogRateLimiter
from berylspindle_model import codec
from berylspindle_model.quota_messages import QuotaAsk, QuotaReply
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.logs import logger
from berylspindle_telemetry.metrics import Metrics
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import HttpLimits
from berylspindle_wire.http_client import HttpFailure

BORROW_PATH: Final = "/quota/1/borrow"
"""Path with the version of the messages."""

CONTENT_TYPE: Final = "application/msgpack"

LENDER_TIMEOUT_S: Final = 0.060
"""Time-out of an ask to a lender, in seconds; it includes the lender's own ask to the owner."""

OWNER_TIMEOUT_S: Final = 0.045
"""Time-out of an ask to an owner, in seconds. It leaves a lender 15 ms to answer in time itself."""

SKIP_S: Final = 1.0
"""Seconds for which a VM that did not respond is not called."""

MAX_TIMEOUTS: Final = 3
"""Time-outs in a row after which a VM is skipped."""

MAX_CONNECTIONS: Final = 6
"""Connections to one VM. 82 organisations ask once a second; an ask takes 3 ms between data
centres, and up to 45 ms while the lender waits for the owner."""

MAX_REPLY_BYTES: Final = 4096


class QuotaRole(enum.StrEnum):
    """What the receiver of an ask acts as."""

    OWNER = "owner"
    LENDER = "lender"


class QuotaPeers:
    """Clients of other VMs; `address` returns host and port of a VM's peers' edge.

    Times are in seconds of `clock`. Requires a running event loop.
    """

    def __init__(
        self,
        *,
        address: Callable[[str], tuple[str, int] | None],
        clock: Callable[[], float],
        metrics: Metrics,
        log_limiter: LogRateLimiter,
    ) -> None:
        self._address: Final = address
        self._clock: Final = clock
        self._metrics: Final = metrics
        self._log_limiter: Final = log_limiter
        self._log: Final = logger("quotas")
        self._clients: Final[dict[tuple[str, int], HttpClient]] = {}
        self._skipped_until: Final[dict[str, float]] = {}
        self._timeouts: Final[Counter[str]] = Counter()

    def is_skipped(self, vm: str) -> bool:
        """Return whether a VM did not respond lately and should not be called yet."""
        until = self._skipped_until.get(vm)
        if until is None:
            return False
        if self._clock() < until:
            return True
        del self._skipped_until[vm]
        return False

    async def borrow(self, vm: str, role: QuotaRole, ask: QuotaAsk) -> QuotaReply | None:
        """Return a VM's reply to an ask, or None if it is skipped or does not reply in time."""
        address = self._address(vm)
        if address is None or self.is_skipped(vm):
            self._count(role, "skipped")
            return None
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = _open_client(address)
        timeout = OWNER_TIMEOUT_S if role is QuotaRole.OWNER else LENDER_TIMEOUT_S
        try:
            response = await client.request(
                "POST",
                BORROW_PATH,
                query={"role": role.value},
                headers={"content-type": CONTENT_TYPE},
                body=codec.to_msgpack(ask),
                timeout=timeout,
            )
        except HttpFailure as failure:
            result = "timed_out" if failure.timed_out else "lost"
            self._timeouts[vm] += 1
            if not failure.timed_out or self._timeouts[vm] >= MAX_TIMEOUTS:
                self._skip(vm)
            self._log_failure(vm, role, result, str(failure))
            return None
        self._timeouts.pop(vm, None)
        if response.status != 200:
            self._skip(vm)
            self._log_failure(vm, role, "rejected", f"status {response.status}")
            return None
        try:
            reply = codec.from_msgpack(response.body, QuotaReply)
        except codec.MalformedError as error:
            self._skip(vm)
            self._log_failure(vm, role, "malformed", str(error))
            return None
        self._count(role, "granted" if reply.reason is None else reply.reason.value)
        return reply

    async def close_unused(self, used: Collection[tuple[str, int]]) -> None:
        """Close the connections to addresses other than these."""
        for address in [address for address in self._clients if address not in used]:
            await self._clients.pop(address).close()

    async def close(self) -> None:
        """Close all connections."""
        await self.close_unused(())

    def _skip(self, vm: str) -> None:
        self._skipped_until[vm] = self._clock() + SKIP_S
        self._timeouts.pop(vm, None)

    def _log_failure(self, vm: str, role: QuotaRole, result: str, detail: str) -> None:
        self._count(role, result)
        if not self._log_limiter.allow(self._clock(), LineKind.QUOTA):
            self._metrics.count(names.LOG_LEFT_OUT, kind=LineKind.QUOTA.value)
            return
        self._log.info(
            "quota call failed",
            extra={"called": vm, "role": role.value, "result": result, "detail": detail},
        )

    def _count(self, role: QuotaRole, result: str) -> None:
        self._metrics.count(names.QUOTA_CALLS, role=role.value, result=result)


def _open_client(address: tuple[str, int]) -> HttpClient:
    return HttpClient(
        *address,
        limit=MAX_CONNECTIONS,
        connect_timeout=LENDER_TIMEOUT_S,
        limits=HttpLimits(body_bytes=MAX_REPLY_BYTES),
    )
