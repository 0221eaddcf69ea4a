"""Relay a scatter-gather request to a larger VM, or to one near the replicas, for merging.

Terms:
  origin   the VM that the caller is connected to
  merger   the VM that runs the scatter-gather
  unrun    reply header of a merger that has not begun the request; the origin runs it then

Flow: `choose_merger` selects the merger, if any. `dispatch` sends the request to the merger's port
for relayed requests (`RelayPort`) with additional headers and returns its response, a refusal, or
None if the merger has certainly not begun the request. A merger never relays a request again.

A merger that has not replied by the route's latency target, the aim, is probed. If the probe times
out as well, the request fails at once, while the caller still has time to retry.

Guards: a merger with another routing table could answer from an older configuration than callers of
the origin have already seen, so it replies `unrun` if the table versions differ. A silent merger
may have run the request, and a second scatter-gather would run it on more replicas than the route
allows, so a request lost with its merger fails, and later requests avoid a late merger.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.reachability import Reachability
from berylspindle_decisions.relay_choice import MIN_LOCALITY_GAIN, RelayChoice, RelayVm
from berylspindle_forwarding.catalogue_changes import VmEntry
from berylspindle_forwarding.dialect import HOP_HEADERS, Dialect
from berylspindle_forwarding.replica_pool import PoolOptions, ReplicaPool, RetiredPools
from berylspindle_forwarding.replica_registry import ReplicaRegistry
from berylspindle_forwarding.request_head import (
    RELAY_AIM,
    RELAY_LOAD,
    RELAY_SHARDS,
    RELAY_TABLE,
    RELAY_UNRUN,
    ForwardRequest,
    pack_positions,
)
from berylspindle_forwarding.vm_probe import is_responding
from berylspindle_model.digits import parse_digits
from berylspindle_model.errors import ErrorKind, Refusal
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics
from berylspindle_wire.exchange import (
    ConnectionUse,
    ExchangeConnection,
    ExchangeFailure,
    ExchangeFailureKind,
    ExchangeReply,
    ExchangeRequest,
    ExchangeSink,
)
from berylspindle_wire.http import HttpResponse

MAX_CONNECTIONS: Final = 16
"""Maximum connections to one merger; a scatter-gather request takes about a tenth of a second."""

HOP_RESERVE_MS: Final = 3.0
REMOTE_HOP_RESERVE_MS: Final = 5.0
"""Time in milliseconds reserved for returning the answer through the origin.

`HOP_RESERVE_MS` applies to a merger in the same data centre, with one millisecond for the network;
`REMOTE_HOP_RESERVE_MS` to a merger in another one, with three. Both include two for the origin's
work."""

PROBE_TIMEOUT_S: Final = 0.15
"""Timeout in seconds of the probe of a late merger; a reply normally takes a few milliseconds."""

MIN_SUBSET_SHARDS: Final = 6
"""Minimum number of shards without a local replica for merging them elsewhere: the additional hop
costs one more exchange and a few milliseconds of the latency target."""

_RELAY_HEADERS: Final = frozenset({RELAY_LOAD, RELAY_UNRUN})


class RelayPort(enum.Enum):
    """Where VMs send relayed requests.

    A caller can forge the headers of a relayed request. On the callers' port they are therefore
    trusted only as long as requests need no key.

    CALLERS: to the callers' port, as no organisations can be configured.
    SEPARATE: to a port that callers don't reach; relay headers on the callers' port are ignored.
    NONE: organisations may be configured, but there is no separate port.
    """

    CALLERS = "callers"
    SEPARATE = "separate"
    NONE = "none"


@attrs.frozen(kw_only=True)
class RelayTimes:
    """Time limits of a relayed request, in seconds of the event loop's clock.

    `aim` is the time of the route's latency target; the others are as in `RequestTimes`.
    """

    aim_cutoff: float
    aim: float
    deadline: float
    answer_by: float


@attrs.frozen(kw_only=True)
class Subset:
    """Shards of a search that one remote VM merges, as positions in the route's list of shards."""

    merger: str
    positions: tuple[int, ...]


class _RelayedExchange(ExchangeSink):
    """One exchange with a merger."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.done: Final[asyncio.Future[ExchangeReply | ExchangeFailure]] = loop.create_future()
        self.connection: ExchangeConnection | None = None

    def connection_use(self, connection: ExchangeConnection) -> ConnectionUse:
        """Allow each connection: a merger is a VM, which sends one reply to each request."""
        return ConnectionUse.ALLOWED

    def on_connection_assigned(self, connection: ExchangeConnection) -> None:
        """Store the connection that carries the request."""
        self.connection = connection

    def on_reply(self, reply: ExchangeReply) -> None:
        """Handle a complete reply."""
        if not self.done.done():
            self.done.set_result(reply)

    def on_failure(self, end: ExchangeFailure) -> None:
        """Handle the end of the exchange without a reply."""
        if not self.done.done():
            self.done.set_result(end)


class Relay:
    """Relay requests to VMs that merge them.

    `vms` returns the possible mergers by name, as a new mapping after each change. `uniform`
    returns random numbers in [0, 1).
    """

    def __init__(
        self,
        *,
        bears: float,
        data_centre: str,
        vms: Callable[[], Mapping[str, VmEntry]],
        registry: ReplicaRegistry,
        reach: Reachability,
        dialect: Dialect,
        metrics: Metrics,
        now: Callable[[], float],
        uniform: Callable[[], float],
        policy: ForwardPolicy,
    ) -> None:
        self._policy: Final = policy
        self._data_centre: Final = data_centre
        self._vms: Final = vms
        self._registry: Final = registry
        self._reach: Final = reach
        self._dialect: Final = dialect
        self._metrics: Final = metrics
        self._now: Final = now
        self._uniform: Final = uniform
        self._choice: Final = RelayChoice(bears)
        self._pools: Final[dict[tuple[str, int], ReplicaPool]] = {}
        self._retired: Final = RetiredPools()
        self._known_vms: Mapping[str, VmEntry] = {}
        self._probes: Final[set[asyncio.Task[None]]] = set()

    def choose_merger(self, shards: tuple[str, ...], in_flight: int) -> str | None:
        """Return the merger for a request over shards, or None if this VM should execute it."""
        if not self._policy.relays:
            return None
        known = self._vms()
        if known is not self._known_vms:
            self._update_vms(known)
        now, missing = self._now(), self._registry.missing_shares(shards)
        own_missing = missing.get(self._data_centre, 1.0)
        mergers = (
            RelayVm(name, vm.bears, missing.get(vm.data_centre, 1.0))
            for name, vm in known.items()
            if self._is_candidate(now, vm, missing, own_missing)
        )
        return self._choice.pick_merger(
            now, mergers, in_flight=in_flight, uniform=self._uniform(), missing_share=own_missing
        )

    def choose_subset(self, shards: tuple[str, ...], in_flight: int) -> Subset | None:
        """Return a merger in another data centre for shards without a local replica, or None.

        The positions are those of the shards that have a replica in the merger's data centre.
        """
        if not self._policy.subsets:
            return None
        remote = self._registry.remote_positions(shards)
        if len(remote) < MIN_SUBSET_SHARDS or len(remote) == len(shards):
            return None
        merger = self.choose_merger(tuple(shards[n] for n in remote), in_flight)
        if merger is None:
            return None
        data_centre = self._known_vms[merger].data_centre
        if data_centre == self._data_centre:
            return None
        held = tuple(n for n in remote if self._registry.has_replica(data_centre, shards[n]))
        return Subset(merger=merger, positions=held)

    async def dispatch(
        self,
        merger: str,
        forward: ForwardRequest,
        times: RelayTimes,
        *,
        table: int,
        positions: tuple[int, ...] = (),
    ) -> HttpResponse | Refusal | None:
        """Return the merger's response or a refusal, or None if it has certainly not begun.

        If `positions` is not empty, only these shards are requested.
        """
        vm = self._vms().get(merger)
        if vm is None:
            return None
        loop = asyncio.get_running_loop()
        exchange = _RelayedExchange(loop)
        pool = self._pool(vm)
        self._choice.on_sent(merger)
        self._reach.on_attempt(self._now(), vm.data_centre)
        late = loop.call_at(times.aim, self._on_late, merger, vm, pool, exchange)
        hop_ms = HOP_RESERVE_MS if vm.data_centre == self._data_centre else REMOTE_HOP_RESERVE_MS
        exchange.connection = pool.submit(
            lambda: self._request(forward, times, table, hop_ms, positions), exchange
        )
        is_done = False
        try:
            async with asyncio.timeout_at(times.answer_by):
                outcome = await exchange.done
            is_done = True
        except TimeoutError:
            self._record_failure(merger, "silent", long=True)
            return Refusal(
                ErrorKind.DEADLINE_EXCEEDED, f"{merger} did not reply before the deadline"
            )
        finally:
            late.cancel()
            self._choice.on_finished(merger)
            if not is_done:
                # Closing the connection stops the work at the merger.
                pool.withdraw(exchange)
                if exchange.connection is not None:
                    exchange.connection.discard()
        if isinstance(outcome, ExchangeReply):
            self._reach.on_contact(self._now(), vm.data_centre)
        return self._outcome(merger, forward, outcome)

    async def close(self) -> None:
        """Close all connections."""
        for probe in tuple(self._probes):
            probe.cancel()
        await asyncio.gather(*self._probes, return_exceptions=True)
        await self._retired.close()
        await asyncio.gather(*(pool.close() for pool in self._pools.values()))

    def _update_vms(self, known: Mapping[str, VmEntry]) -> None:
        """Set the available mergers, and retire the connections to VMs that have left."""
        self._known_vms = known
        addresses = {(vm.host, vm.callers_port) for vm in known.values()}
        for address in self._pools.keys() - addresses:
            self._retired.retire(self._pools.pop(address))

    def _is_candidate(
        self, now: float, vm: VmEntry, missing: Mapping[str, float], own_missing: float
    ) -> bool:
        if vm.callers_port <= 0:
            return False
        if vm.data_centre == self._data_centre:
            return True
        return (
            missing.get(vm.data_centre, 1.0) <= own_missing - MIN_LOCALITY_GAIN
            and not self._reach.is_unreachable(now, vm.data_centre)
            and not self._reach.is_isolated(now)
        )

    def _outcome(
        self, merger: str, forward: ForwardRequest, outcome: ExchangeReply | ExchangeFailure
    ) -> HttpResponse | Refusal | None:
        if isinstance(outcome, ExchangeFailure):
            not_sent = outcome.kind is ExchangeFailureKind.NOT_SENT
            self._record_failure(merger, outcome.kind.value, long=True)
            return None if not_sent else Refusal(ErrorKind.PEER_LOST, f"{merger}: {outcome.detail}")
        if outcome.header(RELAY_UNRUN) is not None:
            self._record_failure(merger, "unrun", long=False)
            return None
        echoed_id = outcome.header(self._dialect.request_id)
        if echoed_id is None or echoed_id.encode("latin-1") != forward.request_id:
            self._record_failure(merger, "foreign", long=True)
            return Refusal(ErrorKind.BAD_REPLY, f"{merger} replied to another request")
        load = parse_digits(outcome.header(RELAY_LOAD) or "")
        if load is not None:
            self._choice.on_report(self._now(), merger, load)
        self._metrics.count(names.FORWARD_RELAYED, result="answered")
        dropped = HOP_HEADERS | _RELAY_HEADERS
        kept = tuple((n, v) for n, v in outcome.headers if n not in dropped)
        return HttpResponse(status=outcome.status, body=outcome.body, raw_headers=kept)

    def _request(
        self,
        forward: ForwardRequest,
        times: RelayTimes,
        table: int,
        hop_ms: float,
        positions: tuple[int, ...],
    ) -> ExchangeRequest:
        now = self._now()
        left_ms = max(1, int((times.deadline - now) * 1000 - hop_ms))
        aim_ms = max(1, int((times.aim_cutoff - now) * 1000 - hop_ms))
        headers = [
            *forward.forwarded_headers,
            (self._dialect.time_left, b"%d" % left_ms),
            (RELAY_TABLE, b"%d" % table),
            (RELAY_AIM, b"%d" % aim_ms),
        ]
        if positions:
            headers.append((RELAY_SHARDS, pack_positions(positions)))
        return ExchangeRequest(forward.method, forward.target, tuple(headers), forward.body)

    def _pool(self, vm: VmEntry) -> ReplicaPool:
        address = (vm.host, vm.callers_port)
        found = self._pools.get(address)
        if found is None:
            found = self._pools[address] = ReplicaPool(
                *address,
                limit=MAX_CONNECTIONS,
                options=PoolOptions(),
                memory=self._registry.reply_memory,
                on_opened=lambda: None,
            )
        return found

    def _on_late(
        self, merger: str, vm: VmEntry, pool: ReplicaPool, exchange: _RelayedExchange
    ) -> None:
        self._record_failure(merger, "late", long=False)
        probe = asyncio.get_running_loop().create_task(self._probe(vm, pool, exchange))
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def _probe(self, vm: VmEntry, pool: ReplicaPool, exchange: _RelayedExchange) -> None:
        """End the exchange if the merger does not answer a probe."""
        self._reach.on_attempt(self._now(), vm.data_centre)
        if await is_responding(vm.host, vm.port, timeout=PROBE_TIMEOUT_S):
            self._reach.on_contact(self._now(), vm.data_centre)
            return
        if exchange.done.done():
            return
        kind = ExchangeFailureKind.NOT_SENT if pool.withdraw(exchange) else ExchangeFailureKind.LOST
        if exchange.connection is not None:
            exchange.connection.discard()
        exchange.on_failure(
            ExchangeFailure(kind, "no reply by the latency target, and a probe timed out")
        )

    def _record_failure(self, merger: str, result: str, *, long: bool) -> None:
        self._metrics.count(names.FORWARD_RELAYED, result=result)
        self._choice.back_off(self._now(), merger, long=long)
