"""Discrete-event simulation of forwarded searches: production decisions over FIFO replicas.

Terms:
  variant    a forwarding policy, which can disable single decisions

Flow: `run_pattern` simulates shards, replicas and VMs; the VMs share no state except the replicas.
Requests arrive at random times, and a refused request is sent once more. Replica health, latency
profiles, hedge delays, retry budgets, attempts, admission control and the verdict on partial
results are those of the forwarding path. Sockets and messages between VMs are not simulated.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Sequence
from typing import Final

import attrs

from berylspindle_bench.event_clock import EventClock
from berylspindle_bench.forward_callers import KINDS, CallerRequest, Pattern
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
from berylspindle_decisions.replica_health import STALLED_COST, MeanPace, ReplicaHealth
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
QUEUE_LIMIT: Final = 12
BASE_RATE_PER_S: Final = 90.0
"""Searches per second of all VMs at a load factor of 1."""

ONE_WAY_S: Final = 0.001
PAUSE_S: Final = 0.12
PAUSE_INTERVAL_S: Final = 3.0
PACE_INTERVAL_S: Final = 0.6
WORK_SIGMA: Final = 0.35
NO_REPLICA_WAIT_S: Final = 0.25


@attrs.frozen(kw_only=True)
class Variant:
    """A named policy."""

    name: str
    policy: ForwardPolicy = attrs.field(factory=ForwardPolicy)


@attrs.define(eq=False)
class _Attempt:
    request_run: _RequestRun
    index: int
    record: AttemptRecord
    queueing_factor: float
    work_ms: float


@attrs.frozen(kw_only=True)
class _LoadReport:
    """What a replica reports with an answer; a pace only if paces differ."""

    running: int
    waiting: int
    pace: float | None


class _Replica:
    """A replica with `SLOTS` slots, a bounded FIFO queue and periodic pauses; some turn slow."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation: Final = simulation
        self._queue: Final[deque[_Attempt]] = deque()
        self._running = 0
        self._paused_until = 0.0
        pattern, rng = simulation.pattern, simulation.rng
        self._slow = pattern.slow_factor if rng.random() < pattern.slow_share else 1.0
        self._speed = rng.choice((0.8, 1.0, 1.3))
        simulation.clock.after(rng.random() * PAUSE_INTERVAL_S, self._pause)
        self._pace = 1.0
        if pattern.uneven_share:
            simulation.clock.after(rng.random() * PACE_INTERVAL_S, self._change_pace)

    def enqueue(self, attempt: _Attempt) -> None:
        """Queue an arriving request, or refuse it if the queue is full."""
        if len(self._queue) >= QUEUE_LIMIT:
            self._simulation.clock.after(ONE_WAY_S, lambda: attempt.request_run.on_refused(attempt))
            return
        self._queue.append(attempt)
        self._start_waiting()

    def _pause(self) -> None:
        now = self._simulation.clock.now
        self._paused_until = now + PAUSE_S
        self._simulation.clock.after(PAUSE_S, self._start_waiting)
        self._simulation.clock.after(PAUSE_INTERVAL_S, self._pause)

    def _change_pace(self) -> None:
        pattern, rng = self._simulation.pattern, self._simulation.rng
        self._pace = pattern.uneven_factor if rng.random() < pattern.uneven_share else 1.0
        self._simulation.clock.after(PACE_INTERVAL_S, self._change_pace)

    def _start_waiting(self) -> None:
        now = self._simulation.clock.now
        while self._queue and self._running < SLOTS and now >= self._paused_until:
            attempt = self._queue.popleft()
            self._running += 1
            slow = self._slow if now >= self._simulation.pattern.slow_from else 1.0
            seconds = attempt.work_ms / 1000 * slow * self._speed * self._pace
            self._simulation.clock.after(seconds, lambda one=attempt: self._finish(one))  # type: ignore[misc]

    def _finish(self, attempt: _Attempt) -> None:
        now = self._simulation.clock.now
        if now < self._paused_until:
            self._simulation.clock.at(self._paused_until, lambda: self._finish(attempt))
            return
        pace = self._pace if self._simulation.pattern.uneven_share else None
        report = _LoadReport(running=self._running, waiting=len(self._queue), pace=pace)
        self._running -= 1
        self._simulation.clock.after(
            ONE_WAY_S, lambda: attempt.request_run.on_answered(attempt, report)
        )
        self._start_waiting()


class _Vm:
    """State of one VM: replica health, latency profiles, retry budgets and admission control."""

    def __init__(self, simulation: Simulation) -> None:
        mean_pace = MeanPace()
        self.healths: Final = {
            name: ReplicaHealth(
                slots=SLOTS,
                is_local=False,
                policy=simulation.variant.policy,
                mean_pace=mean_pace,
            )
            for name in simulation.replicas
        }
        self.profiles: Final = {kind.name: LatencyProfile() for kind in KINDS}
        self.unqueued: Final = {kind.name: LatencyProfile() for kind in KINDS}
        self.retry_budgets: Final = [
            SharedRetryBudget(SharedBudgetOptions(), started=-60.0) for _ in range(SHARDS)
        ]
        self.admission: Final = AdmissionController(simulation.variant.policy)


class _RequestRun(AttemptPolicy):
    """One attempt of a caller's request at one VM."""

    def __init__(self, simulation: Simulation, vm: _Vm, request: CallerRequest) -> None:
        self._simulation: Final = simulation
        self._vm: Final = vm
        self._request: Final = request
        self._kind: Final = request.kind
        now = simulation.clock.now
        self._deadline: Final = request.arrived_at + request.kind.deadline_ms / 1000
        self._target_at: Final = now + (request.kind.target_ms - RESPONSE_MARGIN_MS) / 1000
        self._hedged_requests: Final = [
            HedgedRequest(
                str(shard),
                repeatable=True,
                max_runs=2,
                no_replica_deadline=now + NO_REPLICA_WAIT_S,
                deadline=self._deadline,
            )
            for shard in range(SHARDS)
        ]
        self._answered_shards: Final[set[int]] = set()
        self._lost_parts = 0
        self._done = False

    def start(self) -> None:
        """Send a sub-request to each shard, or refuse the request."""
        now = self._simulation.clock.now
        for budget in self._vm.retry_budgets:
            budget.on_request(now)
        if not self._is_admitted(now):
            return
        for index in range(SHARDS):
            self._advance(index)
        self._simulation.clock.at(self._target_at, self._update_verdict)
        self._simulation.clock.at(self._deadline, self._update_verdict)

    def pick_replica(self, service: str, *, tried: frozenset[str], hedge: bool) -> str | None:
        """Return the replica with the lowest cost, or None if no replica is suitable."""
        now, best, best_cost = self._simulation.clock.now, None, math.inf
        policy = self._simulation.variant.policy
        if hedge and not policy.hedges:
            return None
        for name in self._simulation.names[int(service)]:
            health = self._vm.healths[name]
            if name in tried:
                continue
            if hedge and policy.hedge_idle_only and not health.has_free_slot(now):
                continue
            cost = health.cost(now, uniform=self._simulation.rng.random())
            if cost < best_cost:
                best, best_cost = name, cost
        return None if hedge and best_cost >= STALLED_COST else best

    def acquire_extra(self, service: str, *, hedge: bool) -> bool:
        """Acquire an extra attempt from the retry budget of the shard."""
        budget, now = self._vm.retry_budgets[int(service)], self._simulation.clock.now
        if not budget.allows(now, vms=self._simulation.pattern.vms, hedge=hedge):
            return False
        budget.take(now)
        return True

    def hedge_delay_s(self, service: str) -> float:
        """Return the hedge delay in seconds."""
        return self._hedge_timing().delay_ms / 1000

    def on_answered(self, attempt: _Attempt, report: _LoadReport) -> None:
        """Handle an answer with the load report of the replica."""
        now, hedged_request = self._simulation.clock.now, self._hedged_requests[attempt.index]
        health = self._vm.healths[attempt.record.replica]
        health.on_report(now, slots=SLOTS, **attrs.asdict(report))
        elapsed_ms = (now - attempt.record.sent_at) * 1000
        profile, unqueued = (
            self._vm.profiles[self._kind.name],
            self._vm.unqueued[self._kind.name],
        )
        usual_ms = unqueued.quantile(0.5) or self._hedge_timing().usual_ms
        profile.add(elapsed_ms)
        if attempt.queueing_factor <= 1.0 or not unqueued.has_enough_samples:
            unqueued.add(elapsed_ms / health.pace(now))
        health.on_answer(
            now, attempt, latency_ratio=elapsed_ms / max(usual_ms * attempt.queueing_factor, 0.1)
        )
        if hedged_request.state is not RequestState.ANSWERED:
            hedged_request.on_answer(attempt.record)
            self._answered_shards.add(attempt.index)
        self._update_verdict()

    def on_refused(self, attempt: _Attempt) -> None:
        """Handle the refusal of a replica whose queue is full."""
        now = self._simulation.clock.now
        self._vm.healths[attempt.record.replica].on_refusal(now, attempt)
        hedged_request = self._hedged_requests[attempt.index]
        hedged_request.on_failure(now, attempt.record, AttemptOutcome.NOT_RUN, refused=True)
        if not self._done and hedged_request.state is RequestState.OPEN:
            self._advance(attempt.index)
            self._update_verdict()

    def _is_admitted(self, now: float) -> bool:
        unqueued = self._vm.unqueued[self._kind.name]
        usual_ms = unqueued.quantile(0.5) if unqueued.has_enough_samples else 0.0
        delays_ms = [
            min_queueing_delay_ms(map(self._vm.healths.__getitem__, names), now, usual_ms=usual_ms)
            for names in self._simulation.names
        ]
        request = AdmissionRequest(
            group="shards",
            priority=self._kind.priority,
            pressure=queueing_pressure(
                delays_ms, min_parts=self._kind.min_shards, target_ms=(self._target_at - now) * 1000
            ),
        )
        if self._vm.admission.admit(now, request, uniform=self._simulation.rng.random()):
            return True
        left_ms = (self._deadline - now) * 1000
        retry_ms = retry_after_ms(
            queueing_delay_ms=max(delays_ms), left_ms=left_ms, uniform=self._simulation.rng.random()
        )
        if self._request.attempts < 2:
            self._simulation.clock.after(
                retry_ms / 1000, lambda: self._simulation.send(self._request)
            )
        return False

    def _advance(self, index: int) -> None:
        hedged_request = self._hedged_requests[index]
        while hedged_request.state is RequestState.OPEN and not self._done:
            step = hedged_request.step(self._simulation.clock.now, self)
            if isinstance(step, SendTo):
                self._send(index, step.replica)
                continue
            if isinstance(step, GiveUp):
                self._lost_parts += 1
            elif step.time < math.inf:
                self._simulation.clock.at(step.time, lambda: self._on_timer(index))
            return

    def _on_timer(self, index: int) -> None:
        if not self._done and self._hedged_requests[index].state is RequestState.OPEN:
            self._advance(index)
            self._update_verdict()

    def _send(self, index: int, name: str) -> None:
        now, health = self._simulation.clock.now, self._vm.healths[name]
        record = self._hedged_requests[index].on_sent(now, name, self)
        work_ms = self._simulation.rng.lognormvariate(math.log(self._kind.work_ms), WORK_SIGMA)
        work_ms *= self._request.work_factor
        attempt = _Attempt(self, index, record, health.queueing_factor(now), work_ms)
        delay = (record.hedge_at - now) * attempt.queueing_factor * max(1.0, health.pace(now))
        health.on_sent(attempt, late_at=record.hedge_at, overdue_at=now + delay)
        replica = self._simulation.replicas[name]
        self._simulation.clock.after(ONE_WAY_S, lambda: replica.enqueue(attempt))

    def _update_verdict(self) -> None:
        if self._done:
            return
        now = self._simulation.clock.now
        verdict = decide_partial_result(
            requested=SHARDS,
            min_parts=self._kind.min_shards,
            parts=len(self._answered_shards),
            lost=self._lost_parts,
            target_passed=now >= self._target_at
            and self._simulation.variant.policy.partial_at_target,
        )
        if verdict is PartialResultVerdict.ANSWER:
            self._request.answered_at = now + RESPONSE_MARGIN_MS / 2000
            self._request.share = len(self._answered_shards) / SHARDS
        if verdict is not PartialResultVerdict.WAIT or now >= self._deadline:
            self._done = True

    def _hedge_timing(self) -> HedgeTiming:
        left_ms = (self._target_at - self._simulation.clock.now) * 1000
        return hedge_timing(
            self._vm.profiles[self._kind.name],
            target_left_ms=left_ms,
            target_ms=self._kind.target_ms,
        )


class Simulation:
    """One simulation: shards, replicas, VMs and requests of callers."""

    def __init__(self, pattern: Pattern, variant: Variant, seed: int) -> None:
        self.pattern: Final = pattern
        self.variant: Final = variant
        self.rng: Final = random.Random(seed)
        self.clock: Final = EventClock()
        self.names: Final = [
            tuple(f"{shard}-{number}" for number in range(REPLICAS)) for shard in range(SHARDS)
        ]
        self.replicas: Final = {name: _Replica(self) for names in self.names for name in names}
        self._vms: Final = [_Vm(self) for _ in range(pattern.vms)]
        self.requests: Final[list[CallerRequest]] = []

    def run(self) -> Sequence[CallerRequest]:
        """Simulate the pattern and return all requests."""
        self._arrive()
        self.clock.run(self.pattern.seconds + 2.0)
        return self.requests

    def send(self, request: CallerRequest) -> None:
        """Send a request to a random VM."""
        request.attempts += 1
        request.sent_at = self.clock.now
        _RequestRun(self, self.rng.choice(self._vms), request).start()

    def _arrive(self) -> None:
        now = self.clock.now
        if now >= self.pattern.seconds:
            return
        if now > 0.0:
            kind = self.rng.choices(KINDS, [kind.share for kind in KINDS])[0]
            is_long = self.rng.random() < self.pattern.long_share
            request = CallerRequest(kind, now, self.pattern.long_factor if is_long else 1.0)
            self.requests.append(request)
            self.send(request)
        interval = self.rng.expovariate(BASE_RATE_PER_S * self.pattern.factor(now))
        self.clock.after(interval, self._arrive)


def run_pattern(pattern: Pattern, variant: Variant, seed: int) -> Sequence[CallerRequest]:
    """Simulate a pattern with one variant and return all requests with their results."""
    return Simulation(pattern, variant, seed).run()
