"""The callers' edge of forwarded requests: a raw request in, an answer or a refusal out.

Flow: `handle` looks the route up in the table in force, bounds the time, and has a `ScatterGather`
carry the request out; `request_log` is told how each ended. A refusal becomes a response by the one
table of error kinds, with the time to come back as a header that may hold parts of a second.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import Final

import attrs

from berylspindle_decisions.answer_time import MARGIN_MS, NEW_CONNECTION_MS
from berylspindle_decisions.quarantine import RunMode
from berylspindle_decisions.weighted_turns import WeightedTurns
from berylspindle_forwarding.attempt_policy import ForwardTools, RequestTimes
from berylspindle_forwarding.dialect import Dialect
from berylspindle_forwarding.relay import Relay, RelayTimes
from berylspindle_forwarding.request_head import (
    RELAY_LOAD,
    RELAY_UNRUN,
    ForwardRequest,
    Relayed,
    read_forward,
)
from berylspindle_forwarding.request_log import Beliefs, Ended, RequestLog
from berylspindle_forwarding.request_trace import RequestTrace
from berylspindle_forwarding.scatter_gather import ScatterGather
from berylspindle_forwarding.subset_call import SubsetCall
from berylspindle_model.errors import ANSWERS, ErrorKind, Refusal
from berylspindle_model.routing import Route, RoutingTable
from berylspindle_telemetry import metric_names as names
from berylspindle_wire.http import HttpRequest, HttpResponse

ANSWER_MARGIN_MS: Final = 12.0
"""Milliseconds before the deadline at which the last answer leaves; the way back takes 3 ms, and a
busy turn of the loop some more."""

NOT_READY_MS: Final = 200
"""When a caller may come back to a VM that knows no routes yet; its start takes some tenths."""

START_PATIENCE_S: Final = 1.5
START_SHARE: Final = 0.5
"""How long a request waits for the first routing table, and for which part of its time at most.
Callers reach a VM that is just starting because others are gone too; told to come back, they spend
one of their few tries, and the table is there within some tenths of a second."""

_STATUS: Final = {ErrorKind.QUARANTINED: 503}
"""Statuses that differ from the table's: to these callers a 4xx says that a request is improper,
and is the end of it."""

_LEFT: Final = Refusal(ErrorKind.CANCELLED, "the caller went away")


@attrs.frozen(kw_only=True)
class Routed:
    """One request and its route in one routing table.

    The table in force may change while another VM is asked, so that its version is kept: another VM
    reads the positions of shards by the table that they were taken from.
    """

    forward: ForwardRequest
    route: Route
    table_version: int
    times: RequestTimes
    waited_ms: float

    @property
    def relay_times(self) -> RelayTimes:
        """Return the bounds of the request for another VM."""
        return RelayTimes(
            aim_cut=self.times.aim_cut,
            aim=self.times.started + self.route.aim_ms / 1000,
            deadline=self.times.deadline,
            answer_by=self.times.answer_by,
        )


class Front:
    """Answer callers' forwarded requests."""

    def __init__(self, tools: ForwardTools, relay: Relay, may_begin: Callable[[], bool]) -> None:
        """Take also whether this VM may begin work of other VMs."""
        self._tools: Final = tools
        self._relay: Final = relay
        self._may_begin: Final = may_begin
        self._table: RoutingTable | None = None
        self._table_known: Final = asyncio.Event()
        self._turns: dict[str, tuple[Route, WeightedTurns]] = {}
        self._in_flight = 0
        self.last_request = float("-inf")
        self._requests: Final = RequestLog(tools.metrics, tools.now, self._beliefs)

    @property
    def table(self) -> RoutingTable | None:
        """Return the routing table in force."""
        return self._table

    @property
    def in_flight(self) -> int:
        """Return how many requests are under way."""
        return self._in_flight

    def set_table(self, table: RoutingTable) -> None:
        """Serve by a new table from the next request on."""
        self._table = table
        self._table_known.set()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        started = self.last_request = self._tools.now()
        self._in_flight += 1
        try:
            forward = read_forward(request, self._tools.dialect)
            if forward.relayed is not None and not self._may_merge(forward.relayed):
                return _unrun(self._tools.dialect, forward)
            waited_ms = await self._await_table(forward) if self._table is None else 0.0
            route = self._route(forward)
            if isinstance(route, Refusal):
                self._count("-", route.kind.value)
                self._requests.tell(Ended(request=forward, outcome=route, table_wait_ms=waited_ms))
                return refusal_reply(route, self._tools.dialect.request_id, forward.request_id)
            if forward.relayed is not None and forward.relayed.shards:
                subset_route = _subset_route(route, forward.relayed.shards)
                if subset_route is None:
                    return _unrun(self._tools.dialect, forward)
                route = subset_route
            routed = Routed(
                forward=forward,
                route=route,
                table_version=self._table.version if self._table is not None else 0,
                times=request_times(route, forward, started, is_first=request.is_first),
                waited_ms=waited_ms,
            )
            if route.shard_set is not None and forward.relayed is None:
                passed = await self._passed_on(routed)
                if passed is not None:
                    return passed
            return await self._carry_out(routed)
        finally:
            self._in_flight -= 1

    async def _await_table(self, forward: ForwardRequest) -> float:
        """Wait for the first routing table; return for how many milliseconds."""
        began = self._tools.now()
        patience = START_PATIENCE_S
        if forward.left_ms is not None:
            patience = min(patience, START_SHARE * forward.left_ms / 1000)
        try:
            async with asyncio.timeout(patience):
                await self._table_known.wait()
        except TimeoutError:
            # The request is refused as not run, with a time to come back.
            pass
        return (self._tools.now() - began) * 1000

    def _route(self, forward: ForwardRequest) -> Route | Refusal:
        if self._table is None:
            return Refusal(ErrorKind.NOT_READY, retry_after_ms=NOT_READY_MS)
        return self._table.find(forward.host, forward.path) or Refusal(ErrorKind.NOT_FOUND)

    async def _carry_out(self, routed: Routed) -> HttpResponse:
        """Carry a request out, and tell of its end."""
        forward, id_header = routed.forward, self._tools.dialect.request_id
        mode = self._tools.crashes.mode(forward)
        if isinstance(mode, Refusal):
            self._count(routed.route.name, mode.kind.value)
            self._requests.tell(Ended(request=forward, outcome=mode, route=routed.route))
            return refusal_reply(mode, id_header, forward.request_id)
        work = self._canary(routed) if mode is RunMode.CANARY else self._plain(routed)
        outcome: HttpResponse | Refusal = _LEFT
        try:
            outcome = await work.run()
        finally:
            # A caller that leaves has this task cancelled; its request is told of all the same.
            self._tell(routed, work, outcome)
            if mode is RunMode.CANARY:
                self._tools.crashes.unsettled(forward)
        if isinstance(outcome, Refusal):
            outcome = refusal_reply(outcome, id_header, forward.request_id)
        else:
            self._tools.crashes.answered(forward)
        if forward.relayed is not None:
            load = (RELAY_LOAD, b"%d" % self._in_flight)
            return attrs.evolve(outcome, raw_headers=(*outcome.raw_headers, load))
        return outcome

    def _plain(self, routed: Routed) -> ScatterGather:
        return ScatterGather(
            self._tools,
            routed.route,
            routed.forward,
            self._services(routed.route),
            routed.times,
            self._subset(routed),
        )

    def _canary(self, routed: Routed) -> ScatterGather:
        """Return the work on a suspected request: one replica a shard, and one shard first."""
        route = attrs.evolve(routed.route, max_replicas=1)
        return ScatterGather(
            self._tools,
            route,
            routed.forward,
            self._services(route),
            routed.times,
            canary=True,
            avoided=self._tools.crashes.crashed(routed.forward),
        )

    def _may_merge(self, relayed: Relayed) -> bool:
        """Tell whether this VM carries out a request of another one: only by the same table."""
        return (
            self._may_begin() and self._table is not None and self._table.version == relayed.table
        )

    def _subset(self, routed: Routed) -> SubsetCall | None:
        """Return the shards of a search that another VM merges, if any."""
        shard_set, relayed = routed.route.shard_set, routed.forward.relayed
        if shard_set is None or (relayed is not None and relayed.shards):
            return None
        subset = self._relay.choose_subset(shard_set.shards, self._in_flight)
        if subset is None:
            return None
        send = partial(
            self._relay.pass_on,
            subset.merger,
            routed.forward,
            routed.relay_times,
            table=routed.table_version,
            positions=subset.positions,
        )
        return SubsetCall(positions=subset.positions, send=send)

    async def _passed_on(self, routed: Routed) -> HttpResponse | None:
        """Return the answer of a bigger VM, or None where this one carries the request out."""
        route, forward, started = routed.route, routed.forward, routed.times.started
        merger = self._relay.choose(route.services, self._in_flight)
        if merger is None:
            return None
        outcome = await self._relay.pass_on(
            merger, forward, routed.relay_times, table=routed.table_version
        )
        if not isinstance(outcome, Refusal):
            return outcome
        elapsed_ms = (self._tools.now() - started) * 1000
        self._count(route.name, outcome.kind.value)
        trace = RequestTrace(started)
        trace.merger = merger
        self._requests.tell(
            Ended(request=forward, outcome=outcome, route=route, trace=trace, elapsed_ms=elapsed_ms)
        )
        return refusal_reply(outcome, self._tools.dialect.request_id, forward.request_id)

    def _tell(self, routed: Routed, work: ScatterGather, outcome: HttpResponse | Refusal) -> None:
        route = routed.route
        elapsed_ms = (self._tools.now() - routed.times.started) * 1000
        self._tools.metrics.observe(names.FORWARD_TIME, elapsed_ms, route=route.name)
        result = outcome if isinstance(outcome, Refusal) else outcome.status
        self._count(route.name, result.kind.value if isinstance(result, Refusal) else str(result))
        self._requests.tell(
            Ended(
                request=routed.forward,
                outcome=result,
                route=route,
                trace=work.trace,
                elapsed_ms=elapsed_ms,
                table_wait_ms=routed.waited_ms,
                usual_ms=work.usual_ms,
                extra_left=work.extra_left,
            )
        )

    def _beliefs(self) -> Beliefs:
        return Beliefs(
            table_version=self._table.version if self._table is not None else 0,
            vms=self._tools.vms(),
            in_flight=self._in_flight,
            cut_off=self._tools.reach.is_cut_off(self._tools.now()),
        )

    def _services(self, route: Route) -> tuple[str, ...]:
        if route.shard_set is not None:
            return route.shard_set.shards
        if len(route.targets) == 1:
            return (route.targets[0].service,)
        known = self._turns.get(route.name)
        if known is None or known[0].targets != route.targets:
            known = self._turns[route.name] = (route, WeightedTurns(route.targets, random.random))
        return (known[1].next(),)

    def _count(self, route: str, result: str) -> None:
        self._tools.metrics.count(names.FORWARD_REQUESTS, route=route, result=result)


def request_times(
    route: Route, forward: ForwardRequest, started: float, *, is_first: bool
) -> RequestTimes:
    """Return the bounds of a request that has just been read."""
    left_ms = float(route.timeout_ms)
    if forward.left_ms is not None:
        left_ms = min(left_ms, forward.left_ms)
    margin_ms = MARGIN_MS + (NEW_CONNECTION_MS if is_first else 0.0)
    aim_ms = max(1.0, route.aim_ms - margin_ms)
    if forward.relayed is not None:
        # The origin has kept the margin, and knows when the request came.
        aim_ms = forward.relayed.aim_ms
    return RequestTimes(
        started=started,
        aim_cut=started + aim_ms / 1000,
        deadline=started + left_ms / 1000,
        answer_by=started + max(1.0, left_ms - ANSWER_MARGIN_MS) / 1000,
    )


def _subset_route(route: Route, positions: tuple[int, ...]) -> Route | None:
    """Return the route of a search over some of its shards; None where it has no such shards.

    All that may be missing of the whole may be missing here.
    """
    shard_set = route.shard_set
    if shard_set is None or max(positions) >= len(shard_set.shards):
        return None
    shards = tuple(shard_set.shards[n] for n in positions)
    least = max(1, shard_set.least - (len(shard_set.shards) - len(shards)))
    subset = attrs.evolve(shard_set, shards=shards, least_share=least / len(shards))
    return attrs.evolve(route, shard_set=subset)


def refusal_reply(refusal: Refusal, id_header: bytes, request_id: bytes) -> HttpResponse:
    """Return the response that tells a caller of a refusal, with its own id for the request."""
    headers: list[tuple[bytes, bytes]] = []
    if request_id:
        headers.append((id_header, request_id))
    if refusal.retry_after is not None:
        headers.append((b"retry-after", f"{refusal.retry_after / 1000:.3f}".encode()))
    answer = ANSWERS[refusal.kind]
    return HttpResponse(
        status=_STATUS.get(refusal.kind, answer.status),
        body=f"{refusal.kind.value}: {answer.text}\n".encode(),
        headers={"content-type": "text/plain"},
        raw_headers=tuple(headers),
    )


def _unrun(dialect: Dialect, forward: ForwardRequest) -> HttpResponse:
    """Return this VM's word to another one that it has not begun its request."""
    reply = refusal_reply(Refusal(ErrorKind.NOT_READY), dialect.request_id, forward.request_id)
    return attrs.evolve(reply, raw_headers=(*reply.raw_headers, (RELAY_UNRUN, b"1")))
