"""Handle callers' forwarded requests.

Flow: `handle` finds the route in the current routing table, determines the caller's organisation if
the table requires keys, sets the time limits, and executes the request with `ScatterGather` or
relays it; `handle_relayed` executes a request that another VM has relayed. Each outcome goes to
`request_log`. A refusal becomes a response according to the common table of error kinds, with a
retry-after header in seconds that may have a fraction.

A handler is cancelled if its caller disconnects, and at the end of the shutdown's grace period. It
then raises `RequestCancelledError` with a response by whether the request may have run, so that a
caller is told "not run" only if that is certain.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Final

import attrs

from berylspindle_decisions.quarantine import RunMode
from berylspindle_decisions.response_timing import NEW_CONNECTION_MARGIN_MS, RESPONSE_MARGIN_MS
from berylspindle_decisions.weighted_round_robin import WeightedRoundRobin
from berylspindle_forwarding.attempt_policy import ForwardContext, RequestTimes
from berylspindle_forwarding.credentials import accept_relayed, authenticate
from berylspindle_forwarding.dialect import Dialect
from berylspindle_forwarding.relay import Relay, RelayPort, RelayTimes
from berylspindle_forwarding.request_head import (
    RELAY_LOAD,
    RELAY_UNRUN,
    ForwardRequest,
    RelayInfo,
    read_forward,
)
from berylspindle_forwarding.request_log import FinishedRequest, LogContext, RequestLog
from berylspindle_forwarding.request_trace import RequestTrace
from berylspindle_forwarding.scatter_gather import ScatterGather
from berylspindle_forwarding.subset_call import SubsetCall
from berylspindle_model.errors import ANSWERS, ErrorKind, Refusal, RunState, status_for
from berylspindle_model.key_faults import KeyFault
from berylspindle_model.routing import Organisation, Route, RoutingTable
from berylspindle_telemetry import metric_names as names
from berylspindle_wire.http import HttpRequest, HttpResponse, RequestCancelledError

ANSWER_MARGIN_MS: Final = 12.0
"""Time before the deadline, in milliseconds, at which the last answer is sent: 3 ms for the way
back, the rest for a busy iteration of the event loop."""

NOT_READY_RETRY_MS: Final = 200
"""Retry-after of a VM without a routing table, in milliseconds; start-up takes some tenths of a
second."""

FIRST_TABLE_WAIT_S: Final = 1.5
FIRST_TABLE_WAIT_SHARE: Final = 0.5
"""Maximum wait for the first routing table, in seconds and as a share of the request's time left.
Callers reach a VM that is still starting because others are down too. A refusal would cost one of
their few retries, while the table arrives within some tenths of a second."""

_STATUS: Final = {ErrorKind.QUARANTINED: 503}
"""Statuses that override the common table of error kinds: callers of forwarded requests treat a 4xx
as an invalid request, and don't retry it."""

AdmitQuota = Callable[[Organisation, Route, RequestTimes], Awaitable[Refusal | None]]
"""Decide whether a caller's request is within the quota of its organisation, and return the refusal
if it isn't. Awaited once for each request of a caller with a valid key, before it is admitted,
relayed or sent to replicas; not awaited for relayed requests, which their origin has counted."""


@attrs.frozen(kw_only=True)
class RoutedRequest:
    """One request with its route and the version of the routing table that the route is from.

    The current table may change while the request is relayed, and a merger must interpret shard
    positions by the table they were taken from. `may_relay` is false if other VMs could not tell
    the request from a forged one.
    """

    forward: ForwardRequest
    route: Route
    table_version: int
    times: RequestTimes
    table_wait_ms: float = 0.0
    may_relay: bool = True

    @property
    def relay_times(self) -> RelayTimes:
        """Return the time limits for relaying the request."""
        return RelayTimes(
            aim_cutoff=self.times.aim_cutoff,
            aim=self.times.started + self.route.aim_ms / 1000,
            deadline=self.times.deadline,
            answer_by=self.times.answer_by,
        )


class Front:
    """Serve callers' forwarded requests."""

    def __init__(
        self,
        context: ForwardContext,
        relay: Relay,
        accepts_relayed: Callable[[], bool],
        *,
        relay_port: RelayPort = RelayPort.CALLERS,
        admit_quota: AdmitQuota | None = None,
    ) -> None:
        """Initialize; `accepts_relayed` returns whether this VM accepts relayed requests."""
        self._context: Final = context
        self._relay: Final = relay
        self._accepts_relayed: Final = accepts_relayed
        self._relay_port: Final = relay_port
        self._admit_quota: Final = admit_quota
        self._table: RoutingTable | None = None
        self._table_known: Final = asyncio.Event()
        self._turns: dict[str, tuple[Route, WeightedRoundRobin]] = {}
        self._in_flight = 0
        self._stopping = False
        self.last_request = float("-inf")
        self._request_log: Final = RequestLog(context.metrics, context.now, self._log_context)

    @property
    def table(self) -> RoutingTable | None:
        """Return the current routing table, or None before the first one."""
        return self._table

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._in_flight

    def set_table(self, table: RoutingTable) -> None:
        """Set the routing table for subsequent requests."""
        self._table = table
        self._table_known.set()

    def begin_stop(self) -> None:
        """Attribute cancellations to the shutdown from now on, no longer to callers."""
        self._stopping = True

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request that arrived on the callers' port."""
        started = self.last_request = self._context.now()
        self._in_flight += 1
        try:
            forward = read_forward(request, self._context.dialect)
            if forward.relayed is None:
                return await self._serve(forward, request, started)
            if self._trusts_callers_port():
                return await self._merge(forward, forward.relayed, request, started)
            return await self._serve(attrs.evolve(forward, relayed=None), request, started)
        finally:
            self._in_flight -= 1

    async def handle_relayed(self, request: HttpRequest) -> HttpResponse:
        """Answer one request of another VM that arrived on the port for relayed requests."""
        started = self.last_request = self._context.now()
        self._in_flight += 1
        try:
            forward = read_forward(request, self._context.dialect)
            if forward.relayed is None:
                return self._refuse(
                    Refusal(ErrorKind.BAD_REQUEST, "not a relayed request"), forward
                )
            return await self._merge(forward, forward.relayed, request, started)
        finally:
            self._in_flight -= 1

    def _trusts_callers_port(self) -> bool:
        """Return whether relay headers on the callers' port are those of another VM."""
        requires_key = self._table is not None and self._table.requires_key
        return self._relay_port is RelayPort.CALLERS and not requires_key

    async def _serve(
        self, forward: ForwardRequest, request: HttpRequest, started: float
    ) -> HttpResponse:
        """Answer a caller's request."""
        table_wait_ms = 0.0
        if self._table is None:
            with self._refused_if_cancelled(forward, started, RunState.NOT_RUN):
                table_wait_ms = await self._await_table(forward)
        # A table that arrives while the request is in flight must not change its organisation.
        table = self._table
        if table is None:
            refusal = Refusal(ErrorKind.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS)
            return self._refuse(refusal, forward, table_wait_ms=table_wait_ms)
        route = table.find(forward.host, forward.path)
        if route is None:
            return self._refuse(Refusal(ErrorKind.NOT_FOUND), forward, table_wait_ms=table_wait_ms)
        if table.requires_key:
            authenticated = authenticate(
                forward, request.raw_headers, route, table, self._context.dialect
            )
            if isinstance(authenticated, KeyFault):
                refusal = Refusal(ErrorKind.UNAUTHORISED, authenticated.value)
                return self._refuse(refusal, forward, route, table_wait_ms=table_wait_ms)
            forward = authenticated
        routed = RoutedRequest(
            forward=forward,
            route=route,
            table_version=table.version,
            times=request_times(route, forward, started, is_first=request.is_first),
            table_wait_ms=table_wait_ms,
            may_relay=self._relay_port is RelayPort.SEPARATE or not table.requires_key,
        )
        if forward.organisation is not None and self._admit_quota is not None:
            with self._refused_if_cancelled(forward, started, RunState.NOT_RUN, route):
                excess = await self._admit_quota(forward.organisation, route, routed.times)
            if excess is not None:
                elapsed_ms = (self._context.now() - started) * 1000
                return self._refuse(
                    excess, forward, route, table_wait_ms=table_wait_ms, elapsed_ms=elapsed_ms
                )
        if route.shard_set is not None and routed.may_relay:
            merged = await self._merge_elsewhere(routed)
            if merged is not None:
                return merged
        return await self._execute(routed)

    async def _merge(
        self, forward: ForwardRequest, relayed: RelayInfo, request: HttpRequest, started: float
    ) -> HttpResponse:
        """Answer a request that another VM has relayed."""
        table = self._table
        if table is None or not self._can_merge(table, relayed):
            return _unrun_reply(self._context.dialect, forward)
        route = table.find(forward.host, forward.path)
        if route is None:
            return self._refuse(Refusal(ErrorKind.NOT_FOUND), forward)
        if relayed.shards:
            subset_route = _subset_route(route, relayed.shards)
            if subset_route is None:
                return _unrun_reply(self._context.dialect, forward)
            route = subset_route
        if table.requires_key:
            forward = accept_relayed(forward, table, self._context.dialect)
        routed = RoutedRequest(
            forward=forward,
            route=route,
            table_version=table.version,
            times=request_times(route, forward, started, is_first=request.is_first),
        )
        return await self._execute(routed)

    def _refuse(
        self,
        refusal: Refusal,
        forward: ForwardRequest,
        route: Route | None = None,
        *,
        table_wait_ms: float = 0.0,
        elapsed_ms: float = 0.0,
    ) -> HttpResponse:
        """Record a request that is refused before its execution, and return the response."""
        self._count(route.name if route is not None else "-", refusal.kind.value)
        self._request_log.record(
            FinishedRequest(
                request=forward,
                outcome=refusal,
                route=route,
                elapsed_ms=elapsed_ms,
                table_wait_ms=table_wait_ms,
            )
        )
        return refusal_reply(refusal, self._context.dialect.request_id, forward.request_id)

    @contextmanager
    def _refused_if_cancelled(
        self, forward: ForwardRequest, started: float, run: RunState, route: Route | None = None
    ) -> Iterator[None]:
        """Refuse a request that is cancelled within this context, where its run state is `run`."""
        try:
            yield
        except asyncio.CancelledError as cancellation:
            elapsed_ms = (self._context.now() - started) * 1000
            response = self._refuse(self._cancellation(run), forward, route, elapsed_ms=elapsed_ms)
            raise RequestCancelledError(response) from cancellation

    def _cancellation(self, run: RunState) -> Refusal:
        """Return the refusal of a request that is cancelled now."""
        if self._stopping:
            return Refusal(ErrorKind.SHUTTING_DOWN, "the grace period is over", run)
        return Refusal(ErrorKind.CANCELLED, "the caller disconnected", run)

    async def _await_table(self, forward: ForwardRequest) -> float:
        """Wait for the first routing table, and return the wait in milliseconds."""
        began = self._context.now()
        wait_s = FIRST_TABLE_WAIT_S
        if forward.left_ms is not None:
            wait_s = min(wait_s, FIRST_TABLE_WAIT_SHARE * forward.left_ms / 1000)
        try:
            async with asyncio.timeout(wait_s):
                await self._table_known.wait()
        except TimeoutError:
            # The request is refused as not run, with a retry-after.
            pass
        return (self._context.now() - began) * 1000

    async def _execute(self, routed: RoutedRequest) -> HttpResponse:
        """Execute a request and record its outcome."""
        forward, id_header = routed.forward, self._context.dialect.request_id
        times = routed.times
        with self._refused_if_cancelled(forward, times.started, RunState.NOT_RUN, routed.route):
            mode = await self._context.crashes.run_mode(forward, times.deadline)
        if isinstance(mode, Refusal):
            elapsed_ms = (self._context.now() - times.started) * 1000
            return self._refuse(mode, forward, routed.route, elapsed_ms=elapsed_ms)
        work = self._canary(routed) if mode is RunMode.CANARY else self._plain(routed)
        outcome: HttpResponse | Refusal = Refusal(ErrorKind.INTERNAL)
        try:
            outcome = await work.run()
        except asyncio.CancelledError as cancellation:
            outcome = self._cancellation(work.run_state)
            response = refusal_reply(outcome, id_header, forward.request_id)
            raise RequestCancelledError(response) from cancellation
        finally:
            self._record_end(routed, work, outcome)
            if mode is RunMode.CANARY:
                self._context.crashes.record_inconclusive(forward)
        if isinstance(outcome, Refusal):
            outcome = refusal_reply(outcome, id_header, forward.request_id)
        else:
            self._context.crashes.record_success(forward)
        if forward.relayed is not None:
            load = (RELAY_LOAD, b"%d" % self._in_flight)
            return attrs.evolve(outcome, raw_headers=(*outcome.raw_headers, load))
        return outcome

    def _plain(self, routed: RoutedRequest) -> ScatterGather:
        return ScatterGather(
            self._context,
            routed.route,
            routed.forward,
            self._services(routed.route),
            routed.times,
            self._subset_call(routed),
        )

    def _canary(self, routed: RoutedRequest) -> ScatterGather:
        """Return the execution of a suspect request: one replica per shard, one shard first."""
        route = attrs.evolve(routed.route, max_replicas=1)
        return ScatterGather(
            self._context,
            route,
            routed.forward,
            self._services(route),
            routed.times,
            canary=True,
            avoided=self._context.crashes.crashed_replicas(routed.forward),
        )

    def _can_merge(self, table: RoutingTable, relayed: RelayInfo) -> bool:
        """Return whether to execute a relayed request; the table versions must be equal."""
        return self._accepts_relayed() and table.version == relayed.table

    def _subset_call(self, routed: RoutedRequest) -> SubsetCall | None:
        """Return the call for the shards of a search that another VM merges, if any."""
        shard_set, relayed = routed.route.shard_set, routed.forward.relayed
        if shard_set is None or not routed.may_relay or (relayed is not None and relayed.shards):
            return None
        subset = self._relay.choose_subset(shard_set.shards, self._in_flight)
        if subset is None:
            return None
        send = partial(
            self._relay.dispatch,
            subset.merger,
            routed.forward,
            routed.relay_times,
            table=routed.table_version,
            positions=subset.positions,
        )
        return SubsetCall(positions=subset.positions, send=send)

    async def _merge_elsewhere(self, routed: RoutedRequest) -> HttpResponse | None:
        """Return the response of another VM, or None if this one must execute the request."""
        route, forward, started = routed.route, routed.forward, routed.times.started
        merger = self._relay.choose_merger(route.services, self._in_flight)
        if merger is None:
            return None
        with self._refused_if_cancelled(forward, started, RunState.MAY_HAVE_RUN, route):
            outcome = await self._relay.dispatch(
                merger, forward, routed.relay_times, table=routed.table_version
            )
        if not isinstance(outcome, Refusal):
            return outcome
        elapsed_ms = (self._context.now() - started) * 1000
        self._count(route.name, outcome.kind.value)
        trace = RequestTrace(started)
        trace.merger = merger
        self._request_log.record(
            FinishedRequest(
                request=forward, outcome=outcome, route=route, trace=trace, elapsed_ms=elapsed_ms
            )
        )
        return refusal_reply(outcome, self._context.dialect.request_id, forward.request_id)

    def _record_end(
        self, routed: RoutedRequest, work: ScatterGather, outcome: HttpResponse | Refusal
    ) -> None:
        route = routed.route
        elapsed_ms = (self._context.now() - routed.times.started) * 1000
        self._context.metrics.observe(names.FORWARD_TIME, elapsed_ms, route=route.name)
        result = outcome if isinstance(outcome, Refusal) else outcome.status
        self._count(route.name, result.kind.value if isinstance(result, Refusal) else str(result))
        self._request_log.record(
            FinishedRequest(
                request=routed.forward,
                outcome=result,
                route=route,
                trace=work.trace,
                elapsed_ms=elapsed_ms,
                table_wait_ms=routed.table_wait_ms,
                usual_ms=work.usual_ms,
                extra_left=work.extra_left,
            )
        )

    def _log_context(self) -> LogContext:
        return LogContext(
            table_version=self._table.version if self._table is not None else 0,
            vms=self._context.vms(),
            in_flight=self._in_flight,
            cut_off=self._context.reach.is_isolated(self._context.now()),
        )

    def _services(self, route: Route) -> tuple[str, ...]:
        if route.shard_set is not None:
            return route.shard_set.shards
        if len(route.targets) == 1:
            return (route.targets[0].service,)
        known = self._turns.get(route.name)
        if known is None or known[0].targets != route.targets:
            known = self._turns[route.name] = (
                route,
                WeightedRoundRobin(route.targets, random.random),
            )
        return (known[1].next(),)

    def _count(self, route: str, result: str) -> None:
        self._context.metrics.count(names.FORWARD_REQUESTS, route=route, result=result)


def request_times(
    route: Route, forward: ForwardRequest, started: float, *, is_first: bool
) -> RequestTimes:
    """Return the time limits of a request that has just been read."""
    left_ms = float(route.timeout_ms)
    if forward.left_ms is not None:
        left_ms = min(left_ms, forward.left_ms)
    margin_ms = RESPONSE_MARGIN_MS + (NEW_CONNECTION_MARGIN_MS if is_first else 0.0)
    aim_ms = max(1.0, route.aim_ms - margin_ms)
    if forward.relayed is not None:
        # The origin has already subtracted the margin and the time since the request arrived there.
        aim_ms = forward.relayed.aim_ms
    return RequestTimes(
        started=started,
        aim_cutoff=started + aim_ms / 1000,
        deadline=started + left_ms / 1000,
        answer_by=started + max(1.0, left_ms - ANSWER_MARGIN_MS) / 1000,
    )


def _subset_route(route: Route, positions: tuple[int, ...]) -> Route | None:
    """Return a route restricted to some of its shards, or None if a position is invalid.

    All shards that may be missing from the full result may be missing from this subset.
    """
    shard_set = route.shard_set
    if shard_set is None or max(positions) >= len(shard_set.shards):
        return None
    shards = tuple(shard_set.shards[n] for n in positions)
    least = max(1, shard_set.min_shards - (len(shard_set.shards) - len(shards)))
    subset = attrs.evolve(shard_set, shards=shards, least_share=least / len(shards))
    return attrs.evolve(route, shard_set=subset)


def refusal_reply(refusal: Refusal, id_header: bytes, request_id: bytes) -> HttpResponse:
    """Return the response for a refusal, with the caller's request id."""
    headers: list[tuple[bytes, bytes]] = []
    if request_id:
        headers.append((id_header, request_id))
    if refusal.retry_after is not None:
        headers.append((b"retry-after", f"{refusal.retry_after / 1000:.3f}".encode()))
    if refusal.kind is ErrorKind.UNAUTHORISED:
        headers.append((b"www-authenticate", b"Bearer"))
    answer = ANSWERS[refusal.kind]
    return HttpResponse(
        status=status_for(_STATUS.get(refusal.kind, answer.status), refusal.run_state),
        body=f"{refusal.kind.value}: {answer.text}\n".encode(),
        headers={"content-type": "text/plain"},
        raw_headers=tuple(headers),
    )


def _unrun_reply(dialect: Dialect, forward: ForwardRequest) -> HttpResponse:
    """Return the reply to an origin that this VM has not begun the relayed request."""
    reply = refusal_reply(Refusal(ErrorKind.NOT_READY), dialect.request_id, forward.request_id)
    return attrs.evolve(reply, raw_headers=(*reply.raw_headers, (RELAY_UNRUN, b"1")))
