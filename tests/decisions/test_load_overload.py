"""Admission under a burst, priorities, and estimates of queues at replicas."""

from __future__ import annotations

import itertools
import random

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from berylspindle_decisions.admission_controller import (
    LOW_PRIORITY_SHARE_MAX,
    RETRY_AFTER_MAX_SHARE,
    AdmissionController,
    AdmissionRequest,
    proportional_share,
    queueing_pressure,
    retry_after_ms,
)
from berylspindle_decisions.load_estimate import LoadEstimate
from berylspindle_decisions.replica_health import ReplicaHealth

HIGH_PRIORITY = AdmissionRequest(group="shard", priority=1, pressure=0.0)
LOW_PRIORITY = AdmissionRequest(group="shard", priority=2, pressure=0.0)


def admitted_share(
    controller: AdmissionController,
    request: AdmissionRequest,
    *,
    requests: int = 400,
    now: float = 0.0,
) -> float:
    rng = random.Random(7)
    return (
        sum(controller.admit(now, request, uniform=rng.random()) for _ in range(requests))
        / requests
    )


def test_nothing_is_rejected_while_queues_are_short():
    controller = AdmissionController()
    assert admitted_share(controller, attrs.evolve(HIGH_PRIORITY, pressure=0.5)) == 1.0
    assert admitted_share(controller, attrs.evolve(LOW_PRIORITY, pressure=0.5)) == 1.0


def test_everything_is_rejected_when_queues_take_the_whole_latency_target():
    """Guard against a burst in which every request waits behind others that are already late."""
    assert admitted_share(AdmissionController(), attrs.evolve(HIGH_PRIORITY, pressure=1.1)) == 0.0


def test_the_rejected_share_grows_with_the_pressure():
    """Guard against one threshold, at which all VMs reject and then all admit.

    All VMs see the same queues.
    """
    shares = [proportional_share(x / 100) for x in range(150)]
    assert shares == sorted(shares)
    assert max(b - a for a, b in itertools.pairwise(shares)) < 0.03


def test_the_rejected_share_grows_while_queues_stay_long():
    """Guard against long queues that persist, as with the proportional term alone.

    At a pressure of 0.6 nothing is rejected at first, but over half of the requests after a second.
    """
    controller = AdmissionController()
    overloaded = attrs.evolve(HIGH_PRIORITY, pressure=0.6)
    first = admitted_share(controller, overloaded, requests=5)
    for step in range(200):
        controller.admit(1.0 + step / 100, overloaded, uniform=0.5)
    assert first == 1.0
    assert admitted_share(controller, overloaded, now=3.0) < 0.5


def test_a_vm_with_few_requests_rejects_nothing_half_a_second_after_a_burst():
    """Guard against a VM with few requests that still rejects for seconds after a burst."""
    controller = AdmissionController()
    for step in range(300):
        controller.admit(step / 100, attrs.evolve(HIGH_PRIORITY, pressure=1.2), uniform=0.5)
    assert controller.admit(3.6, attrs.evolve(HIGH_PRIORITY, pressure=0.0), uniform=0.0)


@pytest.mark.parametrize("pressure", [0.7, 0.8, 0.9, 1.0, 1.3])
def test_low_priority_gets_no_more_than_high_priority_and_is_not_starved(pressure: float):
    """Guard against rejecting a search while a check of lower priority is admitted.

    The check needs fewer of the same shards, so its own pressure is low. A larger share of checks
    than of searches must be rejected, but one in four must be admitted while the pressure lasts.
    """
    controller = AdmissionController()
    high_priority = attrs.evolve(HIGH_PRIORITY, pressure=pressure)
    rng = random.Random(5)
    counts = {1: 0, 2: 0}
    for number in range(2000):
        request = high_priority if number % 2 else LOW_PRIORITY
        counts[request.priority] += controller.admit(number / 100, request, uniform=rng.random())
    assert counts[2] <= max(counts[1] * 1.05, 1000 * (1 - LOW_PRIORITY_SHARE_MAX) * 1.2)
    assert counts[2] >= min(counts[1], 1000 * (1 - LOW_PRIORITY_SHARE_MAX)) * 0.8


def test_low_priority_is_admitted_again_once_high_priority_is():
    controller = AdmissionController()
    controller.admit(0.0, attrs.evolve(HIGH_PRIORITY, pressure=1.0), uniform=0.5)
    assert admitted_share(controller, LOW_PRIORITY, now=0.05) < 0.4
    assert admitted_share(controller, LOW_PRIORITY, now=0.2) == 1.0


def test_low_priority_does_not_affect_high_priority():
    controller = AdmissionController()
    controller.admit(0.0, attrs.evolve(LOW_PRIORITY, pressure=2.0), uniform=0.5)
    assert admitted_share(controller, attrs.evolve(HIGH_PRIORITY, pressure=0.5)) == 1.0


def test_the_pressure_of_one_group_does_not_affect_another():
    controller = AdmissionController()
    controller.admit(0.0, attrs.evolve(HIGH_PRIORITY, pressure=2.0), uniform=0.5)
    assert admitted_share(controller, attrs.evolve(LOW_PRIORITY, group="booking")) == 1.0


def test_the_pressure_of_a_search_is_that_of_the_last_required_shard():
    added = [90.0, 5.0, 80.0, 10.0]
    assert queueing_pressure(added, min_parts=4, target_ms=100) == 0.9
    assert queueing_pressure(added, min_parts=3, target_ms=100) == 0.8
    assert queueing_pressure(added, min_parts=2, target_ms=100) == 0.1
    assert queueing_pressure([], min_parts=1, target_ms=100) == 0.0


@settings(derandomize=True, deadline=None, database=None)
@given(
    added=st.floats(0, 5000),
    left=st.floats(1, 10_000),
    rng=st.lists(st.floats(0, 0.999), min_size=2),
)
def test_rejected_callers_retry_within_their_time_and_spread_out(
    added: float, left: float, rng: list[float]
):
    """Guard against a common Retry-After, after which all rejected callers return as a burst."""
    waits = [retry_after_ms(queueing_delay_ms=added, left_ms=left, uniform=u) for u in rng]
    assert all(0 <= wait <= left * RETRY_AFTER_MAX_SHARE for wait in waits)
    assert all(wait >= min(added, left * RETRY_AFTER_MAX_SHARE) - 1 for wait in waits)
    if added < left / 10 and max(rng) - min(rng) > 0.5 and left > 100:
        assert max(waits) - min(waits) > left / 20


def test_requests_sent_since_a_report_are_counted():
    """Guard against VMs that all keep sending to a replica whose last report was idle."""
    replica = ReplicaHealth(slots=2, is_local=False)
    replica.on_sent("a", late_at=9.0)
    replica.on_report(0.0, running=1, waiting=0, slots=2)
    assert replica.expected_load(0.0) == 1.0
    for attempt in "bcd":
        replica.on_sent(attempt, late_at=9.0)
    assert replica.expected_load(0.0) == 4.0


def test_the_estimate_decays_from_a_stale_report_to_the_mean():
    """Guard against a busy replica that looks idle to a VM that uses it three times a second."""
    load = LoadEstimate()
    for step in range(40):
        load.on_report(step / 3, total=6 if step % 4 else 0, own=0)
    last = 39 / 3
    assert load.estimate(last) == 6.0
    assert 3.5 < load.estimate(last + 0.3) < 5.5
    assert load.estimate(last + 20.0) == 0.0


def test_a_replica_without_reports_counts_as_idle():
    assert LoadEstimate().estimate(5.0) == 0.0


def test_latency_caused_by_a_queue_does_not_count_against_the_replica():
    """Guard against a replica that counts as slow because it has the longest queue in a burst."""
    replica = ReplicaHealth(slots=2, is_local=False)
    for attempt in range(6):
        replica.on_sent(attempt, late_at=9.0)
    factor = replica.queueing_factor(0.0)
    assert factor == 3.5
    replica.on_answer(0.1, 0, latency_ratio=3.5 / factor)
    assert replica.slowdown(0.1) == pytest.approx(1.0)


def test_queueing_delay_is_distinguished_from_a_slow_replica():
    slow, queued = ReplicaHealth(slots=2, is_local=False), ReplicaHealth(slots=2, is_local=False)
    for attempt in range(12):
        slow.on_sent(attempt, late_at=99.0)
        slow.on_answer(attempt / 10, attempt, latency_ratio=8.0)
        queued.on_sent(attempt, late_at=99.0)
    assert slow.slowdown(1.1) > 4.0
    assert slow.queueing_delay_ms(1.1, usual_ms=20.0) == 0.0
    assert queued.queueing_delay_ms(1.1, usual_ms=20.0) > 100.0


def test_a_replica_that_refuses_is_full_and_one_that_fails_is_not_healthy():
    """Guard against more requests for a shard whose replicas all shed load.

    If they counted as not healthy, as failing ones do, the shard would look as if it had no queues.
    """
    full, failing = ReplicaHealth(slots=2, is_local=False), ReplicaHealth(slots=2, is_local=False)
    for replica in (full, failing):
        replica.on_sent("a", late_at=9.0)
    full.on_refusal(0.0, "a")
    failing.on_failure(0.0, "a")
    assert full.is_healthy(0.05)
    assert full.queueing_delay_ms(0.05, usual_ms=20.0) == pytest.approx(50.0)
    assert not failing.is_healthy(0.05)


def test_paused_failing_and_cold_replicas_are_not_used_to_estimate_queues():
    paused, failing, cold = (ReplicaHealth(slots=2, is_local=False) for _ in range(3))
    paused.on_sent("a", late_at=0.05)
    failing.on_sent("a", late_at=9.0)
    failing.on_failure(0.05, "a")
    cold.cold_until = 1.0
    assert not any(one.is_healthy(0.1) for one in (paused, failing, cold))
    assert ReplicaHealth(slots=2, is_local=False).is_healthy(0.1)
