"""Replicas whose machines are slow for moments, and report it in their answers."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.replica_health import MeanPace, ReplicaHealth

REPLICAS, SLOTS, VMS = 8, 2, 79
WORK_MS, TARGET_MS = 12.0, 58.0
SLOW_PACE, PACE_INTERVAL_S = 2.5, 0.6
SECONDS = 40
VIEW_INTERVAL_S = 1.5
"""Mean interval at which a VM sees a replica."""


def replicas(count: int, *, uses_pace: bool = True) -> list[ReplicaHealth]:
    """Return the replicas as one VM sees them."""
    known = {"policy": ForwardPolicy(uses_pace=uses_pace), "mean_pace": MeanPace()}
    return [ReplicaHealth(slots=SLOTS, is_local=False, **known) for _ in range(count)]


def report(health: ReplicaHealth, now: float, pace: float | None, running: int = 0) -> None:
    health.on_report(now, running=running, waiting=0, slots=SLOTS, pace=pace)


def late_parts(seed: int, *, uses_pace: bool) -> float:
    """Return the share of parts beyond the target, of replicas with FIFO queues."""
    rng = random.Random(seed)
    vms = [replicas(REPLICAS, uses_pace=uses_pace) for _ in range(VMS)]
    intervals = range(int(SECONDS / PACE_INTERVAL_S) + 10)
    paces = [[SLOW_PACE if rng.random() < 0.15 else 1.0 for _ in intervals] for _ in vms[0]]
    free_at = [[0.0] * SLOTS for _ in vms[0]]
    present = [0] * REPLICAS
    answers: list[tuple[float, int, ReplicaHealth, int, float, float]] = []
    now, late, number = 0.0, 0, 0
    while now < SECONDS:
        now, number = now + rng.expovariate(REPLICAS * VMS / VIEW_INTERVAL_S), number + 1
        while answers and answers[0][0] <= now:
            at, attempt, health, index, sent_at, factor = heapq.heappop(answers)
            present[index] -= 1
            report(health, at, paces[index][int(at / PACE_INTERVAL_S)], present[index])
            health.on_answer(at, attempt, latency_ratio=(at - sent_at) * 1000 / WORK_MS / factor)
        healths = rng.choice(vms)
        index = min(range(REPLICAS), key=lambda n: healths[n].cost(now, uniform=rng.random()))
        present[index] += 1
        factor = healths[index].queueing_factor(now)
        healths[index].on_sent(number, late_at=now + 3 * WORK_MS / 1000)
        start = max(now, heapq.heappop(free_at[index]))
        work_s = rng.lognormvariate(math.log(WORK_MS), 0.35) / 1000
        end = start + work_s * paces[index][int(start / PACE_INTERVAL_S)]
        heapq.heappush(free_at[index], end)
        heapq.heappush(answers, (end, number, healths[index], index, now, factor))
        late += (end - now) * 1000 > TARGET_MS
    return late / number


def test_callers_get_fewer_late_parts_if_replicas_report_their_pace() -> None:
    """Guard against a pace that is used but brings callers nothing, or less than without it."""
    reported, ignored = (
        sum(late_parts(seed, uses_pace=uses_pace) for seed in range(4))
        for uses_pace in (True, False)
    )
    assert reported <= 0.92 * ignored


def test_a_fresh_slow_pace_moves_requests_and_a_stale_one_does_not() -> None:
    """Guard against avoiding a replica long after its machine has recovered."""
    slow, other = replicas(2)
    report(other, 0.0, 1.0)
    report(slow, 0.0, SLOW_PACE)
    assert slow.cost(0.1, uniform=0.0) > other.cost(0.1, uniform=1.0)
    assert slow.cost(2.0, uniform=0.5) == other.cost(2.0, uniform=0.5)
    assert slow.queueing_delay_ms(2.0, usual_ms=9.0) == other.queueing_delay_ms(2.0, usual_ms=9.0)


@pytest.mark.parametrize("age_s", [0.1, 0.5])
def test_vms_with_the_same_stale_figures_spread_their_requests(age_s: float) -> None:
    """Guard against all VMs choosing the one replica whose figure was the lowest a moment ago."""
    rng = random.Random(1)
    chosen: Counter[int] = Counter()
    for _ in range(VMS):
        healths = replicas(4)
        for health, pace in zip(healths, (0.95, 1.0, 1.0, SLOW_PACE), strict=True):
            report(health, 0.0, pace)
        chosen[min(range(4), key=lambda n: healths[n].cost(age_s, uniform=rng.random()))] += 1
    assert chosen[3] <= 0.05 * VMS
    assert max(chosen.values()) <= 0.6 * VMS


@pytest.mark.parametrize("ratio", [1.0, 1.8, SLOW_PACE])
def test_latency_that_the_pace_explains_is_not_learned_as_slowdown(ratio: float) -> None:
    """Guard against holding a moment against a replica for seconds; a part never slows down."""
    health = replicas(1)[0]
    for number in range(5):
        report(health, number / 10, SLOW_PACE)
        health.on_answer(number / 10, number, latency_ratio=ratio)
    assert health.slowdown(0.4) == pytest.approx(1.0)
    health.on_answer(0.5, 9, latency_ratio=8.0)
    assert health.slowdown(0.5) > 1.5


@settings(derandomize=True, deadline=None, database=None)
@given(steps=st.lists(st.tuples(st.floats(0.0, 2.0), st.floats(0.1, 30.0), st.integers(0, 9))))
def test_without_a_pace_decisions_are_those_of_a_vm_that_ignores_it(steps: list) -> None:
    used, ignored = replicas(1)[0], replicas(1, uses_pace=False)[0]
    now = 0.0
    for gap_s, ratio, running in steps:
        now += gap_s
        for health, pace in ((used, None), (ignored, SLOW_PACE)):
            report(health, now, pace, running)
            health.on_answer(now, now, latency_ratio=ratio)
        assert used.cost(now + 0.2, uniform=0.5) == ignored.cost(now + 0.2, uniform=0.5)
        delays = {one.queueing_delay_ms(now, usual_ms=9.0) for one in (used, ignored)}
        assert len(delays) == 1
