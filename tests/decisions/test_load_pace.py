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

REPLICAS = 8
SLOTS = 2
VMS = 79
WORK_MS = 12.0
RATE_PER_S = REPLICAS * VMS / 1.5
"""With this rate, each VM sees each replica about each 1.5 s."""

SLOW_PACE = 2.5
PACE_INTERVAL_S = 0.6
TARGET_MS = 58.0
SECONDS = 40


def replicas(count: int, *, uses_pace: bool = True) -> list[ReplicaHealth]:
    """Return the replicas as one VM sees them."""
    policy, mean_pace = ForwardPolicy(uses_pace=uses_pace), MeanPace()
    return [
        ReplicaHealth(slots=SLOTS, is_local=False, policy=policy, mean_pace=mean_pace)
        for _ in range(count)
    ]


def late_parts(seed: int, *, uses_pace: bool) -> float:
    """Return the share of parts beyond the target; replicas have FIFO queues and no pauses."""
    rng = random.Random(seed)
    vms = [replicas(REPLICAS, uses_pace=uses_pace) for _ in range(VMS)]
    intervals = range(int(SECONDS / PACE_INTERVAL_S) + 10)
    paces = [
        [SLOW_PACE if rng.random() < 0.15 else 1.0 for _ in intervals] for _ in range(REPLICAS)
    ]
    free_at = [[0.0] * SLOTS for _ in range(REPLICAS)]
    answers: list[tuple[float, int, ReplicaHealth, int, float, float]] = []
    present = [0] * REPLICAS
    now, late, number = 0.0, 0, 0
    while now < SECONDS:
        now += rng.expovariate(RATE_PER_S)
        number += 1
        while answers and answers[0][0] <= now:
            at, attempt, health, replica, sent_at, factor = heapq.heappop(answers)
            present[replica] -= 1
            running, pace = min(SLOTS, present[replica]), paces[replica][int(at / PACE_INTERVAL_S)]
            waiting = present[replica] - running
            health.on_report(at, running=running, waiting=waiting, slots=SLOTS, pace=pace)
            health.on_answer(at, attempt, latency_ratio=(at - sent_at) * 1000 / WORK_MS / factor)
        healths = rng.choice(vms)
        replica = min(range(REPLICAS), key=lambda n: healths[n].cost(now, uniform=rng.random()))
        health = healths[replica]
        factor = health.queueing_factor(now)
        present[replica] += 1
        health.on_sent(number, late_at=now + 3 * WORK_MS / 1000)
        start = max(now, heapq.heappop(free_at[replica]))
        work_s = rng.lognormvariate(math.log(WORK_MS), 0.35) / 1000
        end = start + work_s * paces[replica][int(start / PACE_INTERVAL_S)]
        heapq.heappush(free_at[replica], end)
        heapq.heappush(answers, (end, number, health, replica, now, factor))
        late += (end - now) * 1000 > TARGET_MS
    return late / number


def test_callers_get_fewer_late_parts_if_replicas_report_their_pace() -> None:
    """Guard against a pace that is used but brings callers nothing, or less than without it."""
    reported = sum(late_parts(seed, uses_pace=True) for seed in range(4))
    ignored = sum(late_parts(seed, uses_pace=False) for seed in range(4))
    assert reported <= 0.92 * ignored


def report_pace(health: ReplicaHealth, now: float, pace: float | None) -> None:
    health.on_report(now, running=0, waiting=0, slots=SLOTS, pace=pace)


def test_a_fresh_slow_pace_moves_requests_and_a_stale_one_does_not() -> None:
    """Guard against avoiding a replica long after its machine has recovered."""
    slow, other = replicas(2)
    report_pace(other, 0.0, 1.0)
    report_pace(slow, 0.0, SLOW_PACE)
    assert slow.cost(0.1, uniform=0.0) > other.cost(0.1, uniform=1.0)
    for uniform in (0.0, 0.5, 0.99):
        assert slow.cost(2.0, uniform=uniform) == other.cost(2.0, uniform=uniform)
    assert slow.queueing_delay_ms(2.0, usual_ms=9.0) == other.queueing_delay_ms(2.0, usual_ms=9.0)


@pytest.mark.parametrize("age_s", [0.1, 0.5])
def test_vms_with_the_same_stale_figures_spread_their_requests(age_s: float) -> None:
    """Guard against all VMs choosing the one replica whose figure was the lowest a moment ago."""
    rng = random.Random(1)
    chosen: Counter[int] = Counter()
    for _ in range(VMS):
        healths = replicas(4)
        for health, pace in zip(healths, (0.95, 1.0, 1.0, SLOW_PACE), strict=True):
            report_pace(health, 0.0, pace)
        chosen[min(range(4), key=lambda n: healths[n].cost(age_s, uniform=rng.random()))] += 1
    assert chosen[3] <= 0.05 * VMS
    assert max(chosen.values()) <= 0.6 * VMS


@pytest.mark.parametrize("ratio", [1.0, 1.8, SLOW_PACE])
def test_latency_that_the_pace_explains_is_not_learned_as_slowdown(ratio: float) -> None:
    """Guard against holding a moment of the machine against the replica for seconds.

    A part of the latency, as that of the network, does not grow with the pace.
    """
    health = replicas(1)[0]
    for number in range(5):
        health.on_sent(number, late_at=9.0)
        report_pace(health, number / 10, SLOW_PACE)
        health.on_answer(number / 10, number, latency_ratio=ratio)
    assert health.slowdown(0.4) == pytest.approx(1.0)
    health.on_answer(0.5, 9, latency_ratio=8.0)
    assert health.slowdown(0.5) > 1.5


@settings(derandomize=True, deadline=None, database=None)
@given(steps=st.lists(st.tuples(st.floats(0.0, 2.0), st.floats(0.1, 30.0), st.integers(0, 9))))
def test_without_a_pace_every_decision_is_that_of_a_vm_that_ignores_it(
    steps: list[tuple[float, float, int]],
) -> None:
    used, ignored = replicas(1)[0], replicas(1, uses_pace=False)[0]
    now = 0.0
    for gap_s, ratio, waiting in steps:
        now += gap_s
        for health, pace in ((used, None), (ignored, SLOW_PACE)):
            health.on_sent(now, late_at=now + 0.1)
            health.on_report(now, running=2, waiting=waiting, slots=SLOTS, pace=pace)
            health.on_answer(now, now, latency_ratio=ratio)
        for age_s in (0.0, 0.2, 1.0):
            assert used.cost(now + age_s, uniform=0.5) == ignored.cost(now + age_s, uniform=0.5)
            assert used.queueing_delay_ms(now, usual_ms=9.0) == ignored.queueing_delay_ms(
                now, usual_ms=9.0
            )
