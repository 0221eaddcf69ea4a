"""Forwarded searches on a clock of events: the real decisions over replicas that queue first-come.

Terms:
  variant    a policy, by which some decisions are left out

Flow: `run_pattern` starts a world of shards, replicas and VMs that share nothing but the replicas;
callers send at random times, come back once when they are refused, and are counted by second.
Replica health, latency profiles, hedge delays, retry budgets, attempts, admission and the verdict
on parts are those of the forwarding path; sockets and the network between VMs are left out.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Sequence
from typing import Final

import attrs

from berylspindle_bench.event_clock import EventClock
from berylspindle_bench.forward_callers import KINDS, Caller, Pattern
from berylspindle_decisions.admission_controller import (
    AdmissionController,
    AdmissionRequest,
    min_queueing_delay_ms,
    queueing_pressure,
    retry_after_ms,
)
from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.hedged_request import (
    AttemptOutcome,
    AttemptPolicy,
    AttemptRecord,
    GiveUp,
    HedgedRequest,
    RequestState,
    SendTo,
)
from berylspindle_decisions.latency_profile import LatencyProfile
from berylspindle_decisions.replica_health import STALLED_COST, ReplicaHealth
from berylspindle_decisions.response_timing import (
    RESPONSE_MARGIN_MS,
    HedgeTiming,
    PartialResultVerdict,
    decide_partial_result,
    hedge_timing,
)
from berylspindle_decisions.shared_retry_budget import SharedBudgetOptions, SharedRetryBudget

SHARDS: Final = 10
REPLICAS: Final = 3
SLOTS: Final = 2
QUEUE: Final = 12
VMS: Final = 8
USUAL_RATE: Final = 90.0
"""Searches a second of all VMs at the usual load."""

WAY_S: Final = 0.001
PAUSE_S: Final = 0.12
PAUSE_EACH_S: Final = 3.0
SPREAD: Final = 0.35
NO_REPLICA_WAIT_S: Final = 0.25


@attrs.frozen(kw_only=True)
class Variant:
    """A name for a policy."""

    name: str
    policy: ForwardPolicy = attrs.field(factory=ForwardPolicy)


@attrs.define(eq=False)
class _Attempt:
    drive: _Drive
    index: int
    record: AttemptRecord
    explained: float
    work_ms: float


class _Replica:
    """A replica: `SLOTS` at once, a first-come queue, pauses, perhaps slow for a while."""

    def __init__(self, world: World) -> None:
        self._world: Final = world
        self._queue: Final[deque[_Attempt]] = deque()
        self._running = 0
        self._paused_until = 0.0
        pattern, rng = world.pattern, world.rng
        self._slow = pattern.slow_factor if rng.random() < pattern.slow_share else 1.0
        self._speed = rng.choice((0.8, 1.0, 1.3))
        world.clock.after(rng.random() * PAUSE_EACH_S, self._pause)

    def take(self, attempt: _Attempt) -> None:
        """Take a request that has just arrived."""
        if len(self._queue) >= QUEUE:
            self._world.clock.after(WAY_S, lambda: attempt.drive.refused(attempt))
            return
        self._queue.append(attempt)
        self._pump()

    def _pause(self) -> None:
        now = self._world.clock.now
        self._paused_until = now + PAUSE_S
        self._world.clock.after(PAUSE_S, self._pump)
        self._world.clock.after(PAUSE_EACH_S, self._pause)

    def _pump(self) -> None:
        now = self._world.clock.now
        while self._queue and self._running < SLOTS and now >= self._paused_until:
            attempt = self._queue.popleft()
            self._running += 1
            slow = self._slow if now >= self._world.pattern.slow_from else 1.0
            seconds = attempt.work_ms / 1000 * slow * self._speed
            self._world.clock.after(seconds, lambda one=attempt: self._finish(one))  # type: ignore[misc]

    def _finish(self, attempt: _Attempt) -> None:
        now = self._world.clock.now
        if now < self._paused_until:
            self._world.clock.at(self._paused_until, lambda: self._finish(attempt))
            return
        running, waiting = self._running, len(self._queue)
        self._running -= 1
        self._world.clock.after(WAY_S, lambda: attempt.drive.answered(attempt, running, waiting))
        self._pump()


class _Vm:
    """What one VM knows."""

    def __init__(self, world: World) -> None:
        self.healths: Final = {
            name: ReplicaHealth(slots=SLOTS, is_local=False, policy=world.variant.policy)
            for name in world.replicas
        }
        self.profiles: Final = {kind.name: LatencyProfile() for kind in KINDS}
        self.unqueued: Final = {kind.name: LatencyProfile() for kind in KINDS}
        self.shares: Final = [
            SharedRetryBudget(SharedBudgetOptions(), started=-60.0) for _ in range(SHARDS)
        ]
        self.gate: Final = AdmissionController(world.variant.policy)


class _Drive(AttemptPolicy):
    """One try of a caller at one VM."""

    def __init__(self, world: World, vm: _Vm, caller: Caller) -> None:
        self._world: Final = world
        self._vm: Final = vm
        self._caller: Final = caller
        self._kind: Final = caller.kind
        now = world.clock.now
        self._deadline: Final = caller.born + caller.kind.deadline_ms / 1000
        self._aim_cut: Final = now + (caller.kind.aim_ms - RESPONSE_MARGIN_MS) / 1000
        self._races: Final = [
            HedgedRequest(
                str(shard),
                repeatable=True,
                max_runs=2,
                no_replica_deadline=now + NO_REPLICA_WAIT_S,
                deadline=self._deadline,
            )
            for shard in range(SHARDS)
        ]
        self._parts: Final[set[int]] = set()
        self._lost = 0
        self._done = False

    def begin(self) -> None:
        """Send to all shards, or refuse."""
        now = self._world.clock.now
        for share in self._vm.shares:
            share.on_request(now)
        if not self._is_admitted(now):
            return
        for index in range(SHARDS):
            self._step(index)
        self._world.clock.at(self._aim_cut, self._settle)
        self._world.clock.at(self._deadline, self._settle)

    def pick_replica(self, service: str, *, tried: frozenset[str], hedge: bool) -> str | None:
        """Return the replica of least cost."""
        now, best, best_cost = self._world.clock.now, None, math.inf
        policy = self._world.variant.policy
        if hedge and not policy.hedges:
            return None
        for name in self._world.names[int(service)]:
            health = self._vm.healths[name]
            if name in tried:
                continue
            if hedge and policy.hedge_idle_only and not health.has_free_slot(now):
                continue
            cost = health.cost(now, uniform=self._world.rng.random())
            if cost < best_cost:
                best, best_cost = name, cost
        return None if hedge and best_cost >= STALLED_COST else best

    def acquire_extra(self, service: str, *, hedge: bool) -> bool:
        """Ask the extra share."""
        share, now = self._vm.shares[int(service)], self._world.clock.now
        if not share.allows(now, vms=VMS, hedge=hedge):
            return False
        share.take(now)
        return True

    def hedge_delay_s(self, service: str) -> float:
        """Return the hedge delay."""
        return self._hedge_times().delay_ms / 1000

    def answered(self, attempt: _Attempt, running: int, waiting: int) -> None:
        """Take an answer with the replica's report."""
        now, race = self._world.clock.now, self._races[attempt.index]
        health = self._vm.healths[attempt.record.replica]
        health.on_report(now, running=running, waiting=waiting, slots=SLOTS)
        elapsed_ms = (now - attempt.record.sent_at) * 1000
        profile, unqueued = (
            self._vm.profiles[self._kind.name],
            self._vm.unqueued[self._kind.name],
        )
        usual = unqueued.quantile(0.5) or self._hedge_times().usual_ms
        profile.add(elapsed_ms)
        if attempt.explained <= 1.0 or not unqueued.has_enough_samples:
            unqueued.add(elapsed_ms)
        health.on_answer(
            now, attempt, latency_ratio=elapsed_ms / max(usual * attempt.explained, 0.1)
        )
        if race.state is not RequestState.ANSWERED:
            race.on_answer(attempt.record)
            self._parts.add(attempt.index)
        self._settle()

    def refused(self, attempt: _Attempt) -> None:
        """Take that a replica's queue is full."""
        now = self._world.clock.now
        self._vm.healths[attempt.record.replica].on_refusal(now, attempt)
        race = self._races[attempt.index]
        race.on_failure(now, attempt.record, AttemptOutcome.NOT_RUN, refused=True)
        if not self._done and race.state is RequestState.OPEN:
            self._step(attempt.index)
            self._settle()

    def _is_admitted(self, now: float) -> bool:
        unqueued = self._vm.unqueued[self._kind.name]
        usual = unqueued.quantile(0.5) if unqueued.has_enough_samples else 0.0
        added = [
            min_queueing_delay_ms(map(self._vm.healths.__getitem__, names), now, usual_ms=usual)
            for names in self._world.names
        ]
        request = AdmissionRequest(
            group="shards",
            priority=self._kind.priority,
            pressure=queueing_pressure(
                added, min_parts=self._kind.least, target_ms=(self._aim_cut - now) * 1000
            ),
        )
        if self._vm.gate.admit(now, request, uniform=self._world.rng.random()):
            return True
        left_ms = (self._deadline - now) * 1000
        wait = retry_after_ms(
            queueing_delay_ms=max(added), left_ms=left_ms, uniform=self._world.rng.random()
        )
        if self._caller.tries < 2:
            self._world.clock.after(wait / 1000, lambda: self._world.send(self._caller))
        return False

    def _step(self, index: int) -> None:
        race = self._races[index]
        while race.state is RequestState.OPEN and not self._done:
            step = race.step(self._world.clock.now, self)
            if isinstance(step, SendTo):
                self._send(index, step.replica)
                continue
            if isinstance(step, GiveUp):
                self._lost += 1
            elif step.time < math.inf:
                self._world.clock.at(step.time, lambda: self._on_timer(index))
            return

    def _on_timer(self, index: int) -> None:
        if not self._done and self._races[index].state is RequestState.OPEN:
            self._step(index)
            self._settle()

    def _send(self, index: int, name: str) -> None:
        now, health = self._world.clock.now, self._vm.healths[name]
        record = self._races[index].on_sent(now, name, self)
        work = self._world.rng.lognormvariate(math.log(self._kind.work_ms), SPREAD)
        work *= self._caller.length
        attempt = _Attempt(self, index, record, health.queueing_factor(now), work)
        delay = record.hedge_at - now
        health.on_sent(attempt, late_at=record.hedge_at, overdue_at=now + delay * attempt.explained)
        replica = self._world.replicas[name]
        self._world.clock.after(WAY_S, lambda: replica.take(attempt))

    def _settle(self) -> None:
        if self._done:
            return
        now = self._world.clock.now
        verdict = decide_partial_result(
            requested=SHARDS,
            min_parts=self._kind.least,
            parts=len(self._parts),
            lost=self._lost,
            target_passed=now >= self._aim_cut and self._world.variant.policy.partial_at_target,
        )
        if verdict is PartialResultVerdict.ANSWER:
            self._caller.answered_at = now + RESPONSE_MARGIN_MS / 2000
            self._caller.share = len(self._parts) / SHARDS
        if verdict is not PartialResultVerdict.WAIT or now >= self._deadline:
            self._done = True

    def _hedge_times(self) -> HedgeTiming:
        left_ms = (self._aim_cut - self._world.clock.now) * 1000
        return hedge_timing(
            self._vm.profiles[self._kind.name], target_left_ms=left_ms, target_ms=self._kind.aim_ms
        )


class World:
    """One run: shards, replicas, VMs and callers."""

    def __init__(self, pattern: Pattern, variant: Variant, seed: int) -> None:
        self.pattern: Final = pattern
        self.variant: Final = variant
        self.rng: Final = random.Random(seed)
        self.clock: Final = EventClock()
        self.names: Final = [
            tuple(f"{shard}-{number}" for number in range(REPLICAS)) for shard in range(SHARDS)
        ]
        self.replicas: Final = {name: _Replica(self) for names in self.names for name in names}
        self._vms: Final = [_Vm(self) for _ in range(VMS)]
        self.callers: Final[list[Caller]] = []

    def run(self) -> Sequence[Caller]:
        """Play the pattern and return all callers."""
        self._arrive()
        self.clock.run(self.pattern.seconds + 2.0)
        return self.callers

    def send(self, caller: Caller) -> None:
        """Have a caller try at some VM."""
        caller.tries += 1
        caller.tried_at = self.clock.now
        _Drive(self, self.rng.choice(self._vms), caller).begin()

    def _arrive(self) -> None:
        now = self.clock.now
        if now >= self.pattern.seconds:
            return
        if now > 0.0:
            kind = self.rng.choices(KINDS, [kind.share for kind in KINDS])[0]
            is_long = self.rng.random() < self.pattern.long_share
            caller = Caller(kind, now, self.pattern.long_factor if is_long else 1.0)
            self.callers.append(caller)
            self.send(caller)
        gap = self.rng.expovariate(USUAL_RATE * self.pattern.factor(now))
        self.clock.after(gap, self._arrive)


def run_pattern(pattern: Pattern, variant: Variant, seed: int) -> Sequence[Caller]:
    """Play a pattern with one variant; return what all callers got."""
    return World(pattern, variant, seed).run()
