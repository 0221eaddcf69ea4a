"""Pass a request over shards to a bigger VM, or to one near the replicas, which merges its parts.

Terms:
  origin   the VM that a caller is connected to
  merger   the VM that carries the request out
  unrun    the merger's word that it has not begun the request; the origin does so itself

Flow: `choose` says to whom a request goes, if to anyone; `pass_on` sends it to the edge where the
merger takes callers, with two headers more, and returns the answer, a refusal, or None where the
merger has surely not begun it. The merger never passes it on again.

A merger that is late is probed; one that doesn't answer the probe either is lost, and the caller is
told at once, while it still has the time to try again.

Guards: a merger that routes by another table could answer by an older configuration than the
origin's callers have seen the effect of; it says `unrun` where its table is not the origin's. A
merger that falls silent may have run the request, and a second fan-out beside it would run it on
more replicas than the route allows. So nothing more is sent to one that is late, and a request that
is lost with it fails.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.reach import Reach
from berylspindle_decisions.relay_choice import NEARER, RelayChoice, RelayVm
from berylspindle_forwarding.catalogue import VmEntry
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
from berylspindle_forwarding.vm_probe import answers
from berylspindle_model.errors import ErrorKind, Refusal
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics
from berylspindle_wire.exchange import (
    EndKind,
    ExchangeConnection,
    ExchangeEnd,
    ExchangeReply,
    ExchangeRequest,
    ExchangeSink,
)
from berylspindle_wire.http import HttpResponse

CONNECTIONS: Final = 16
"""Connections of one VM to a merger; a request over shards is under way for a tenth of a second."""

HOP_MS: Final = 3.0
FAR_HOP_MS: Final = 5.0
"""Milliseconds kept for the answer's way back through the origin, from a merger of its own data
centre and of another one: one to three in the network and two for the origin's own work."""

PROBE_S: Final = 0.15
"""Seconds within which a merger that is late answers a probe; it takes some milliseconds."""

LEAST_SUBSET: Final = 6
"""Shards without a replica here from which on they are merged elsewhere: the hop costs a request
and an answer, and some milliseconds of the aim."""

_RELAY_HEADERS: Final = frozenset({RELAY_LOAD, RELAY_UNRUN})


@attrs.frozen(kw_only=True)
class RelayTimes:
    """The bounds of a request that is passed on, in seconds of the loop's clock."""

    aim_cut: float
    aim: float
    deadline: float
    answer_by: float


@attrs.frozen(kw_only=True)
class Subset:
    """The shards of a search that one VM elsewhere merges, as positions in the list of them."""

    merger: str
    positions: tuple[int, ...]


class _Passed(ExchangeSink):
    """One request on its way through a merger."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.done: Final[asyncio.Future[ExchangeReply | ExchangeEnd]] = loop.create_future()
        self.connection: ExchangeConnection | None = None

    def on_carried(self, connection: ExchangeConnection) -> None:
        """Take the connection that carries the request."""
        self.connection = connection

    def on_reply(self, reply: ExchangeReply) -> None:
        """Take a whole reply."""
        if not self.done.done():
            self.done.set_result(reply)

    def on_end(self, end: ExchangeEnd) -> None:
        """Take that there will be no reply."""
        if not self.done.done():
            self.done.set_result(end)


class Relay:
    """This VM's ways to bigger ones.

    `vms` returns those that may merge its requests, by name, and another mapping once one has
    changed.
    """

    def __init__(
        self,
        *,
        bears: float,
        data_centre: str,
        vms: Callable[[], Mapping[str, VmEntry]],
        registry: ReplicaRegistry,
        reach: Reach,
        dialect: Dialect,
        metrics: Metrics,
        now: Callable[[], float],
        u: Callable[[], float],
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
        self._u: Final = u
        self._choice: Final = RelayChoice(bears)
        self._pools: Final[dict[tuple[str, int], ReplicaPool]] = {}
        self._retired: Final = RetiredPools()
        self._seen: Mapping[str, VmEntry] = {}
        self._probes: Final[set[asyncio.Task[None]]] = set()

    def choose(self, shards: tuple[str, ...], in_flight: int) -> str | None:
        """Return the merger for a request over shards, or None where this VM carries it out."""
        if not self._policy.relays:
            return None
        known = self._vms()
        if known is not self._seen:
            self._follow(known)
        now, missing = self._now(), self._registry.missing(shards)
        own_missing = missing.get(self._data_centre, 1.0)
        mergers = (
            RelayVm(name, vm.bears, missing.get(vm.data_centre, 1.0))
            for name, vm in known.items()
            if self._is_candidate(now, vm, missing, own_missing)
        )
        return self._choice.pick(
            now, mergers, in_flight=in_flight, u=self._u(), missing=own_missing
        )

    def choose_subset(self, shards: tuple[str, ...], in_flight: int) -> Subset | None:
        """Return who merges the shards that have no replica in this data centre, if anyone."""
        if not self._policy.subsets:
            return None
        far = self._registry.far_positions(shards)
        if len(far) < LEAST_SUBSET or len(far) == len(shards):
            return None
        merger = self.choose(tuple(shards[n] for n in far), in_flight)
        if merger is None:
            return None
        data_centre = self._seen[merger].data_centre
        if data_centre == self._data_centre:
            return None
        held = tuple(n for n in far if self._registry.holds(data_centre, shards[n]))
        return Subset(merger=merger, positions=held)

    async def pass_on(
        self,
        merger: str,
        forward: ForwardRequest,
        times: RelayTimes,
        *,
        table: int,
        positions: tuple[int, ...] = (),
    ) -> HttpResponse | Refusal | None:
        """Return the merger's answer or a refusal; None where it has surely not begun.

        With `positions` it is asked for these shards only.
        """
        vm = self._vms().get(merger)
        if vm is None:
            return None
        loop = asyncio.get_running_loop()
        passed = _Passed(loop)
        pool = self._pool(vm)
        self._choice.sent(merger)
        self._reach.tried(self._now(), vm.data_centre)
        late = loop.call_at(times.aim, self._on_late, merger, vm, pool, passed)
        hop_ms = HOP_MS if vm.data_centre == self._data_centre else FAR_HOP_MS
        passed.connection = pool.submit(
            lambda: self._request(forward, times, table, hop_ms, positions), passed
        )
        over = False
        try:
            async with asyncio.timeout_at(times.answer_by):
                outcome = await passed.done
            over = True
        except TimeoutError:
            self._doubt(merger, "silent", long=True)
            return Refusal(ErrorKind.DEADLINE_EXCEEDED, f"{merger} did not answer")
        finally:
            late.cancel()
            self._choice.ended(merger)
            if not over:
                # The end of its connection ends the merger's work.
                pool.withdraw(passed)
                if passed.connection is not None:
                    passed.connection.forget()
        if isinstance(outcome, ExchangeReply):
            self._reach.heard(self._now(), vm.data_centre)
        return self._answer(merger, forward, outcome)

    async def close(self) -> None:
        """Close all connections."""
        for probe in tuple(self._probes):
            probe.cancel()
        await asyncio.gather(*self._probes, return_exceptions=True)
        await self._retired.close()
        await asyncio.gather(*(pool.close() for pool in self._pools.values()))

    def _follow(self, known: Mapping[str, VmEntry]) -> None:
        """Take who takes requests now, and let go of the connections to VMs that are gone."""
        self._seen = known
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
            missing.get(vm.data_centre, 1.0) <= own_missing - NEARER
            and not self._reach.is_dark(now, vm.data_centre)
            and not self._reach.is_cut_off(now)
        )

    def _answer(
        self, merger: str, forward: ForwardRequest, outcome: ExchangeReply | ExchangeEnd
    ) -> HttpResponse | Refusal | None:
        if isinstance(outcome, ExchangeEnd):
            not_sent = outcome.kind is EndKind.NOT_SENT
            self._doubt(merger, outcome.kind.value, long=True)
            return None if not_sent else Refusal(ErrorKind.PEER_LOST, f"{merger}: {outcome.detail}")
        if outcome.header(RELAY_UNRUN) is not None:
            self._doubt(merger, "unrun", long=False)
            return None
        named = outcome.header(self._dialect.request_id)
        if named is None or named.encode("latin-1") != forward.request_id:
            self._doubt(merger, "foreign", long=True)
            return Refusal(ErrorKind.BAD_REPLY, f"{merger} answered another request")
        load = outcome.header(RELAY_LOAD)
        if load is not None and load.isdigit():
            self._choice.reported(self._now(), merger, int(load))
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
        aim_ms = max(1, int((times.aim_cut - now) * 1000 - hop_ms))
        headers = [
            *forward.passed_on,
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
                *address, limit=CONNECTIONS, options=PoolOptions(), on_opened=lambda: None
            )
        return found

    def _on_late(self, merger: str, vm: VmEntry, pool: ReplicaPool, passed: _Passed) -> None:
        self._doubt(merger, "late", long=False)
        probe = asyncio.get_running_loop().create_task(self._probe(vm, pool, passed))
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def _probe(self, vm: VmEntry, pool: ReplicaPool, passed: _Passed) -> None:
        """End a request whose merger answers nothing any more."""
        self._reach.tried(self._now(), vm.data_centre)
        if await answers(vm.host, vm.port, timeout=PROBE_S):
            self._reach.heard(self._now(), vm.data_centre)
            return
        if passed.done.done():
            return
        kind = EndKind.NOT_SENT if pool.withdraw(passed) else EndKind.LOST
        if passed.connection is not None:
            passed.connection.forget()
        passed.on_end(ExchangeEnd(kind, "late, and no answer to a probe"))

    def _doubt(self, merger: str, result: str, *, long: bool) -> None:
        self._metrics.count(names.FORWARD_RELAYED, result=result)
        self._choice.doubt(self._now(), merger, long=long)
