"""Forwarding decisions under load: replica health, retry budget, hedge delay, partial results."""

from __future__ import annotations

import random

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from berylspindle_decisions.latency_profile import LatencyProfile
from berylspindle_decisions.record_merge import top_records
from berylspindle_decisions.replica_health import STALLED_COST, ReplicaHealth
from berylspindle_decisions.response_timing import (
    PartialResultVerdict,
    decide_partial_result,
    hedge_timing,
)
from berylspindle_decisions.shared_retry_budget import SharedBudgetOptions, SharedRetryBudget
from berylspindle_decisions.weighted_round_robin import WeightedRoundRobin
from berylspindle_model.routing import RECORD_BYTES, ShardSet, WeightedService

BOUNDS = SharedBudgetOptions(ratio=0.2, slack=56.0, window=10.0)


def health(**changes) -> ReplicaHealth:
    return ReplicaHealth(**{"slots": 3, "is_local": False, **changes})


def test_a_slow_replica_loses_its_requests_within_a_second() -> None:
    """Guard against searches that still wait for a replica that is ten times as slow.

    Eight searches per second choose between it and two healthy replicas, so that only few of its
    slow answers arrive within the first second.
    """
    replicas = [health() for _ in range(3)]
    rng = random.Random(1)
    chosen = [0, 0, 0]
    now, ends = 0.0, []
    for number in range(160):
        now = number / 8
        for due, index, attempt, ratio in sorted(e for e in ends if e[0] <= now):
            replicas[index].on_answer(due, attempt, latency_ratio=ratio)
        ends = [e for e in ends if e[0] > now]
        index = min(range(3), key=lambda i: replicas[i].cost(now, uniform=rng.random()))
        if now >= 1.0:
            chosen[index] += 1
        ratio = 10.0 if index == 0 else 1.0
        replicas[index].on_sent(number, late_at=now + 0.05)
        ends.append((now + 0.02 * ratio, index, number, ratio))
    assert chosen[0] <= 8
    assert min(chosen[1:]) >= 40


def test_a_stalled_replica_is_chosen_only_if_all_others_are_stalled() -> None:
    paused, other = health(is_local=True), health()
    paused.on_sent("a", late_at=0.05)
    assert paused.cost(0.04, uniform=0.5) < other.cost(0.04, uniform=0.5)
    assert paused.cost(0.06, uniform=0.5) >= STALLED_COST > other.cost(0.06, uniform=0.5)
    paused.on_answer(0.1, "a", latency_ratio=5.0)
    assert not paused.is_stalled(0.1)


def test_a_pause_does_not_move_requests_to_other_data_centres() -> None:
    """Guard against a short pause that doubles the traffic between data centres for seconds.

    Three searches wait at the local replica during a pause of a tenth of a second and are answered
    at its end, after twelve times the usual latency. The replica is fast again afterwards.
    """
    near, far = health(is_local=True), health()
    near.on_sent("before", late_at=0.0)
    near.on_answer(-0.1, "before", latency_ratio=1.0)
    for attempt in range(3):
        near.on_sent(attempt, late_at=0.05)
    for attempt in range(3):
        near.on_answer(0.11, attempt, latency_ratio=12.0)
    assert near.cost(0.12, uniform=0.9) < far.cost(0.12, uniform=0.0)


def test_a_local_replica_that_stays_slow_loses_its_requests_within_half_a_second() -> None:
    """Guard against a replica, ten times as slow, that is treated as if it had only paused."""
    near, far = health(is_local=True), health()
    now = 0.0
    while near.cost(now, uniform=0.0) < far.cost(now, uniform=0.9):
        near.on_sent(now, late_at=now + 0.05)
        near.on_answer(now + 0.2, now, latency_ratio=10.0)
        now += 0.2
    assert now <= 0.61


def test_one_slow_answer_of_a_seldom_used_replica_is_enough() -> None:
    """Guard against treating the slow answer of a seldom used replica as a pause.

    Each of eighty VMs uses the replica once in two seconds. A slow answer counts as a pause only
    after a recent fast one; otherwise the slow replica would keep the requests of its data centre.
    """
    near, far = health(is_local=True), health()
    near.on_sent("a", late_at=0.05)
    near.on_answer(0.15, "a", latency_ratio=5.0)
    assert near.cost(2.0, uniform=0.0) > far.cost(2.0, uniform=0.9)


def test_a_local_replica_with_a_queue_shares_its_requests() -> None:
    near, far = health(is_local=True), health()
    for attempt in range(9):
        near.on_sent(attempt, late_at=1.0)
    assert near.cost(0.0, uniform=0.0) > far.cost(0.0, uniform=0.9)


def test_a_replica_that_keeps_refusing_is_tried_less_and_less() -> None:
    """Guard against searches that each lose a round trip to a replica that sheds load."""
    replica = health()
    now, asked = 0.0, []
    while now < 10.0:
        if not replica.is_backing_off(now):
            asked.append(now)
            replica.on_sent("a", late_at=now + 1)
            replica.on_refusal(now, "a")
        now += 0.01
    assert len(asked) <= 9
    assert asked[1] - asked[0] < 0.2
    assert asked[-1] - asked[-2] > 2.0


def test_a_fresh_report_of_queued_requests_moves_requests_elsewhere() -> None:
    busy, free = health(), health()
    busy.on_report(1.0, running=3, waiting=6, slots=3)
    assert busy.cost(1.1, uniform=0.5) > 2 * free.cost(1.1, uniform=0.5)
    assert busy.cost(3.0, uniform=0.5) < busy.cost(1.5, uniform=0.5) < busy.cost(1.1, uniform=0.5)
    assert busy.cost(9.5, uniform=0.5) == free.cost(9.5, uniform=0.5)


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(
    seed=st.integers(0, 10_000),
    vms=st.integers(1, 12),
    rate=st.floats(1, 60),
    bad=st.floats(0, 1),
)
def test_all_vms_together_stay_within_the_budget_in_every_window(
    seed: int, vms: int, rate: float, bad: float
) -> None:
    """Guard against VMs that hedge independently and double the load of a degraded service.

    Requests are spread unevenly over the VMs, each request may need up to two extra attempts, and
    many windows of ten seconds are checked.
    """
    rng = random.Random(seed)
    budgets = [SharedRetryBudget(BOUNDS, started=0.0) for _ in range(vms)]
    weights = [rng.random() + 0.1 for _ in range(vms)]
    requests, extras = [], []
    now = 0.0
    while now < 30.0:
        now += rng.expovariate(rate)
        budget = rng.choices(budgets, weights)[0]
        budget.on_request(now)
        requests.append(now)
        for _ in range(2):
            if rng.random() < bad and budget.allows(now, vms=vms, hedge=rng.random() < 0.5):
                budget.take(now)
                extras.append(now)
    for start in (x / 4 for x in range(84)):
        end = start + BOUNDS.window
        asked = sum(start <= t < end for t in requests)
        spent = sum(start <= t < end for t in extras)
        assert spent <= BOUNDS.ratio * asked + BOUNDS.slack + 1


def test_vms_that_spend_their_whole_budget_leave_a_twentieth_for_uncounted_vms() -> None:
    """Guard against one arrival more than the budget allows at a degraded service.

    Eight VMs get a steady hundred requests per second together and spend their whole budget; a
    twentieth must be left for VMs that are not counted yet.
    """
    budgets = [SharedRetryBudget(BOUNDS, started=-60.0) for _ in range(8)]
    spent: list[float] = []
    for number in range(3000):
        now = number / 100
        budgets[number % 8].on_request(now)
        for budget in budgets:
            while budget.allows(now, vms=8, hedge=False):
                budget.take(now)
                spent.append(now)
    for start in (x / 4 for x in range(40, 80)):
        taken = sum(start <= t < start + BOUNDS.window for t in spent)
        assert taken <= 0.95 * (BOUNDS.ratio * 1000 + BOUNDS.slack)


def test_hedges_leave_a_part_of_the_budget_for_retries() -> None:
    budget = SharedRetryBudget(BOUNDS, started=-60.0)
    for _ in range(100):
        budget.on_request(0.0)
    while budget.allows(0.0, vms=8, hedge=True):
        budget.take(0.0)
    assert budget.allows(0.0, vms=8, hedge=False)


def spend_all_at(budget: SharedRetryBudget, now: float) -> int:
    count = 0
    while budget.allows(now, vms=1, hedge=False):
        budget.take(now)
        count += 1
    return count


def test_a_vm_that_has_just_started_may_not_use_its_whole_slack() -> None:
    """Guard against restarted VMs that each use their whole slack once more.

    The extra attempts of the previous processes still count in the window, so a new process gets
    less than half of the slack at once and all of it only after one window.
    """
    spent_at_start = spend_all_at(SharedRetryBudget(BOUNDS, started=0.0), 0.1)
    assert 0.3 * BOUNDS.slack < spent_at_start < 0.45 * BOUNDS.slack
    assert spend_all_at(SharedRetryBudget(BOUNDS, started=0.0), 10.0) >= 0.9 * BOUNDS.slack


def test_a_replica_that_sheds_most_requests_gets_few_while_others_are_healthy() -> None:
    """Guard against spending the whole retry budget on one replica that refuses six of ten.

    Each success resets the duration of its backoff, so with the backoff alone it would get a third
    of all requests; it must get a tenth at most.
    """
    replicas = [health() for _ in range(3)]
    rng = random.Random(3)
    chosen = [0, 0, 0]
    for number in range(400):
        now = number / 20
        index = min(range(3), key=lambda i: replicas[i].cost(now, uniform=rng.random()))
        chosen[index] += 1
        replicas[index].on_sent(number, late_at=now + 1)
        if index == 0 and rng.random() < 0.6:
            replicas[index].on_refusal(now, number)
        else:
            replicas[index].on_answer(now, number, latency_ratio=1.0)
    assert chosen[0] <= 40


def profile_of(*samples: float) -> LatencyProfile:
    profile = LatencyProfile()
    for sample in samples:
        profile.add(sample)
    return profile


def test_the_hedge_delay_fits_each_kind_of_request() -> None:
    """Guard against one delay that fits long requests and detects no straggler among short ones."""
    rng = random.Random(2)
    short = profile_of(*(rng.lognormvariate(1.5, 0.35) for _ in range(300)))
    long = profile_of(*(rng.lognormvariate(3.0, 0.35) for _ in range(300)))
    short_timing = hedge_timing(short, target_left_ms=60, target_ms=60)
    long_timing = hedge_timing(long, target_left_ms=140, target_ms=140)
    assert 5 < short_timing.delay_ms < 9
    assert 25 < long_timing.delay_ms < 40
    assert short_timing.usual_ms < short_timing.delay_ms


def test_a_hedge_that_would_be_too_late_is_started_earlier() -> None:
    samples = [20.0] * 80 + [60.0] * 20
    wide = hedge_timing(profile_of(*samples), target_left_ms=200, target_ms=200)
    tight = hedge_timing(profile_of(*samples), target_left_ms=70, target_ms=200)
    assert tight.delay_ms < wide.delay_ms
    assert tight.delay_ms + 1.6 * tight.usual_ms <= 72


@pytest.mark.parametrize(
    ("parts", "lost", "target_passed", "verdict"),
    [
        (10, 0, False, PartialResultVerdict.ANSWER),
        (9, 0, False, PartialResultVerdict.WAIT),
        (9, 0, True, PartialResultVerdict.ANSWER),
        (9, 1, False, PartialResultVerdict.ANSWER),
        (8, 0, True, PartialResultVerdict.WAIT),
        (8, 1, False, PartialResultVerdict.WAIT),
        (8, 2, False, PartialResultVerdict.FAIL),
        (0, 2, False, PartialResultVerdict.FAIL),
        (0, 0, True, PartialResultVerdict.WAIT),
    ],
)
def test_when_a_partial_result_is_sent(
    parts: int, lost: int, target_passed: bool, verdict: PartialResultVerdict
) -> None:
    """A search over ten shards that requires nine."""
    got = decide_partial_result(
        requested=10, min_parts=9, parts=parts, lost=lost, target_passed=target_passed
    )
    assert got is verdict


@pytest.mark.parametrize(
    ("shards", "share", "least"),
    [(10, 0.89, 9), (15, 0.89, 14), (10, 0.75, 8), (4, 0.75, 3), (100, 0.89, 89), (3, 0.0, 1)],
)
def test_the_minimum_number_of_shards_of_an_answer(shards: int, share: float, least: int) -> None:
    names = tuple(f"s{number}" for number in range(shards))
    assert ShardSet(shards=names, top=1, least_share=share).min_shards == least


@settings(derandomize=True, deadline=None, database=None)
@given(
    answers=st.lists(st.binary(max_size=6 * RECORD_BYTES + 5), max_size=5), top=st.integers(0, 30)
)
def test_the_greatest_records_equal_those_of_a_full_sort(answers: list[bytes], top: int) -> None:
    whole = [
        answer[at : at + RECORD_BYTES]
        for answer in answers
        for at in range(0, len(answer) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    assert top_records(answers, top) == b"".join(sorted(whole, reverse=True)[:top])


@settings(derandomize=True, deadline=None, database=None)
@given(weights=st.lists(st.floats(0.5, 20), min_size=1, max_size=5), seed=st.integers(0, 99))
def test_round_robin_keeps_every_service_within_two_requests_of_its_share(
    weights: list[float], seed: int
) -> None:
    rng = random.Random(seed)
    targets = [
        WeightedService(service=f"s{number}", weight=weight)
        for number, weight in enumerate(weights)
    ]
    round_robin = WeightedRoundRobin(targets, rng.random)
    got = dict.fromkeys((t.service for t in targets), 0)
    for _ in range(200):
        got[round_robin.next()] += 1
    for target in targets:
        assert abs(got[target.service] - 200 * target.weight / sum(weights)) <= 2
