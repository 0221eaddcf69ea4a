"""Admit requests within the quotas of their organisations; common to all ways of dividing quotas.

Flow: the front awaits `admit` for each request of an organisation; the forwarder passes each
routing table to `set_table`; the peers' edge passes requests under `/quota/` to `handle`. A
subclass decides how the limits are divided among the VMs.
"""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_decisions.quota_limits import QuotaBounds, QuotaLimit, quota_limit
from berylspindle_forwarding.attempt_policy import RequestTimes
from berylspindle_model import codec
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.quota_status import STATUS_PATH, OrganisationStatus, QuotaStatus
from berylspindle_model.routing import Organisation, Route, RoutingTable
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Counter, Metrics
from berylspindle_wire.http import JSON_TYPE, HttpRequest, HttpResponse

PATH_PREFIX: Final = "/quota/"

MAX_WAIT_S: Final = 0.1
MAX_WAIT_SHARE: Final = 0.25
"""Maximum wait of a request for a token, in seconds and as a share of its latency target."""

MAX_RETRY_SHARE: Final = 1 / 3
"""Maximum retry-after, as a share of the request's time left: the caller can then try once more
and still wait for the response."""

UNKNOWN_RETRY_MIN_S: Final = 0.2
UNKNOWN_RETRY_MAX_S: Final = 0.4
"""Range of the retry-after in seconds if it is not known whether the quota is used up. Within it
the next owner or lender is usually found; the range spreads the retries."""

STATUS_BATCH: Final = 20
"""Organisations of the status page that are described in one iteration of the event loop; one takes
some tens of microseconds."""

ADMITTED: Final = "admitted"


@attrs.frozen
class OverQuota:
    """The quota is known to be used up; tokens are likely in `retry_after_s` seconds."""

    retry_after_s: float


class QuotaUnknown:
    """Whether the quota is used up is not known, and nothing may be used without knowing it."""


class OrganisationCounts:
    """Counts of one organisation on this VM since the start of the process.

    They are kept beside the metrics, which count organisations beyond `MAX_SERIES` together.
    """

    __slots__ = ("_admitted", "_lent", "_spent", "admitted", "asked", "lent", "refused")

    def __init__(self, organisation: str, metrics: Metrics) -> None:
        self.asked = 0
        self.admitted = 0
        self.lent = 0
        self.refused: dict[str, int] = {}
        self._admitted: Final = metrics.counter(
            names.QUOTA_REQUESTS, organisation=organisation, result=ADMITTED
        )
        self._lent: Final = _tokens(metrics, organisation, "lent")
        self._spent: Final = _tokens(metrics, organisation, "spent")

    def on_admitted(self) -> None:
        """Count an admitted request and its token."""
        self.admitted += 1
        self._admitted.add()
        self._spent.add()

    def on_lent(self, tokens: int) -> None:
        """Count tokens that were lent to another VM."""
        self.lent += tokens
        self._lent.add(tokens)


class QuotaAdmission(abc.ABC):
    """Decide whether requests are within the quotas of their organisations.

    `uniform` returns a random number from 0 to 1. Requires a running event loop.
    """

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        bounds: QuotaBounds,
        metrics: Metrics,
        uniform: Callable[[], float],
    ) -> None:
        self._vm: Final = vm
        self._data_centre: Final = data_centre
        self._bounds: Final = bounds
        self._metrics: Final = metrics
        self._uniform: Final = uniform
        self._loop: Final = asyncio.get_running_loop()
        self._table: RoutingTable | None = None
        self._limits: dict[str, QuotaLimit] = {}
        self._counts: Final[dict[str, OrganisationCounts]] = {}

    @property
    def has_limits(self) -> bool:
        """Return whether any organisation has a limit."""
        return bool(self._limits)

    def set_table(self, table: RoutingTable) -> None:
        """Apply the limits of a routing table."""
        limits = {
            name: limit
            for name, organisation in table.organisations.items()
            if (limit := quota_limit(organisation.rate, organisation.burst, self._bounds))
        }
        self._table, self._limits = table, limits
        self._on_limits()

    async def admit(
        self, organisation: Organisation, route: Route, times: RequestTimes
    ) -> Refusal | None:
        """Spend a token for a request, or return why the request has to be refused."""
        name = organisation.name
        if name not in self._limits:
            return None
        counts = self._counts_of(name)
        counts.asked += 1
        wait_s = min(MAX_WAIT_S, MAX_WAIT_SHARE * route.aim_ms / 1000)
        decision = await self._decide(name, self._loop.time() + wait_s)
        if decision is None:
            counts.on_admitted()
            return None
        refusal = self._refuse(decision, times)
        kind = refusal.kind.value
        counts.refused[kind] = counts.refused.get(kind, 0) + 1
        self._metrics.count(names.QUOTA_REQUESTS, organisation=name, result=kind)
        return refusal

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of another VM or of the operators' tool."""
        if request.path == STATUS_PATH and request.method == "GET":
            body = codec.to_json(await self.status())
            return HttpResponse(status=200, body=body, headers={"content-type": JSON_TYPE})
        return HttpResponse(status=404)

    async def status(self) -> QuotaStatus:
        """Return the quotas of all organisations as this VM sees them."""
        table = self._table
        described: list[OrganisationStatus] = []
        for organisation in table.organisations.values() if table is not None else ():
            described.append(self._describe(organisation))
            if len(described) % STATUS_BATCH == 0:
                await asyncio.sleep(0)
        return QuotaStatus(
            vm=self._vm,
            data_centre=self._data_centre,
            table_version=table.version if table is not None else 0,
            organisations=tuple(described),
        )

    def begin_shutdown(self) -> None:  # noqa: B027
        """Lend nothing to other VMs from now on."""

    async def close(self) -> None:  # noqa: B027
        """End all tasks and close all connections."""

    @abc.abstractmethod
    async def _decide(self, name: str, until: float) -> OverQuota | QuotaUnknown | None:
        """Spend a token of an organisation with a limit, or return why there is none.

        May wait until a time of the event loop.
        """

    @abc.abstractmethod
    def _on_limits(self) -> None:
        """Handle that the limits have changed."""

    def _describe(self, organisation: Organisation) -> OrganisationStatus:
        counts = self._counts.get(organisation.name)
        return OrganisationStatus(
            name=organisation.name,
            rate=organisation.rate,
            burst=organisation.burst,
            priority=organisation.priority,
            asked=counts.asked if counts is not None else 0,
            admitted=counts.admitted if counts is not None else 0,
            refused=dict(counts.refused) if counts is not None else {},
            lent=counts.lent if counts is not None else 0,
            # Each admitted request spends one token.
            spent=counts.admitted if counts is not None else 0,
            state_age_ms=0,
            level=0.0,
            standby_rate=0.0,
            standby_tokens=0,
        )

    def _counts_of(self, name: str) -> OrganisationCounts:
        counts = self._counts.get(name)
        if counts is None:
            counts = self._counts[name] = OrganisationCounts(name, self._metrics)
        return counts

    def _refuse(self, decision: OverQuota | QuotaUnknown, times: RequestTimes) -> Refusal:
        if isinstance(decision, OverQuota):
            kind, retry_s = ErrorKind.QUOTA_EXCEEDED, decision.retry_after_s
        else:
            kind, spread = ErrorKind.QUOTA_UNKNOWN, UNKNOWN_RETRY_MAX_S - UNKNOWN_RETRY_MIN_S
            retry_s = UNKNOWN_RETRY_MIN_S + spread * self._uniform()
        left_s = max(0.0, times.deadline - self._loop.time())
        retry_ms = int(min(retry_s, MAX_RETRY_SHARE * left_s) * 1000)
        return Refusal(kind, run=RunState.NOT_RUN, retry_after_ms=retry_ms)


def _tokens(metrics: Metrics, organisation: str, use: str) -> Counter:
    return metrics.counter(names.QUOTA_TOKENS, organisation=organisation, use=use)
