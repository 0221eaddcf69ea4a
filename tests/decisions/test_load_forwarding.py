"""The decisions of forwarding under load: health, extra shares, hedge delays, parts."""

from __future__ import annotations

import random

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from berylspindle_decisions.answer_time import PartsVerdict, hedge_times, parts_verdict
from berylspindle_decisions.latency_profile import LatencyProfile
from berylspindle_decisions.record_merge import greatest
from berylspindle_decisions.replica_health import STALLED, ReplicaHealth
from berylspindle_decisions.shared_retry_budget import SharedBudgetOptions, SharedRetryBudget
from berylspindle_decisions.weighted_turns import WeightedTurns
from berylspindle_model.routing import RECORD_BYTES, ShardSet, WeightedService

BOUNDS = SharedBudgetOptions(ratio=0.2, slack=56.0, window=10.0)


def health(**changes) -> ReplicaHealth:
    return ReplicaHealth(**{"slots": 3, "is_local": False, **changes})


def test_one_slow_replica_stops_mattering_within_a_second() -> None:
    """Each search waits for the one replica of a shard that has turned ten times as slow.

    Eight searches a second choose between it and two sound ones; its answers take ten times as
    long, so that only few of them can have told of it within the first second.
    """
    replicas = [health() for _ in range(3)]
    rng = random.Random(1)
    chosen = [0, 0, 0]
    now, ends = 0.0, []
    for number in range(160):
        now = number / 8
        for due, index, attempt, ratio in sorted(e for e in ends if e[0] <= now):
            replicas[index].answered(due, attempt, ratio=ratio)
        ends = [e for e in ends if e[0] > now]
        index = min(range(3), key=lambda i: replicas[i].cost(now, u=rng.random()))
        if now >= 1.0:
            chosen[index] += 1
        ratio = 10.0 if index == 0 else 1.0
        replicas[index].sent(number, late_at=now + 0.05)
        ends.append((now + 0.02 * ratio, index, number, ratio))
    assert chosen[0] <= 8
    assert min(chosen[1:]) >= 40


def test_a_stalled_replica_gets_work_only_where_all_others_are_stalled() -> None:
    paused, other = health(is_local=True), health()
    paused.sent("a", late_at=0.05)
    assert paused.cost(0.04, u=0.5) < other.cost(0.04, u=0.5)
    assert paused.cost(0.06, u=0.5) >= STALLED > other.cost(0.06, u=0.5)
    paused.answered(0.1, "a", ratio=5.0)
    assert not paused.is_stalled(0.1)


def test_a_pause_does_not_send_a_replica_s_work_to_other_data_centres() -> None:
    """Each pause of a tenth of a second doubles the bytes between data centres for seconds.

    Three searches wait at the near replica while it pauses, and are answered at its end, twelve
    times as late as usual. It is as fast as ever from then on; all three tell of the one pause.
    """
    near, far = health(is_local=True), health()
    near.sent("before", late_at=0.0)
    near.answered(-0.1, "before", ratio=1.0)
    for attempt in range(3):
        near.sent(attempt, late_at=0.05)
    for attempt in range(3):
        near.answered(0.11, attempt, ratio=12.0)
    assert near.cost(0.12, u=0.9) < far.cost(0.12, u=0.0)


def test_a_near_replica_that_stays_slow_loses_its_work_within_half_a_second() -> None:
    """A replica turns ten times as slow and keeps its work, as if it had only paused."""
    near, far = health(is_local=True), health()
    now = 0.0
    while near.cost(now, u=0.0) < far.cost(now, u=0.9):
        near.sent(now, late_at=now + 0.05)
        near.answered(now + 0.2, now, ratio=10.0)
        now += 0.2
    assert now <= 0.61


def test_a_replica_that_is_seldom_asked_is_believed_to_be_slow_at_once() -> None:
    """Each of eighty VMs meets the same slow replica again and again, two seconds apart.

    Its one answer is five times late, and none was fast just before. Taken for a pause, it keeps
    the work of its data centre, and each VM learns anew that it is slow.
    """
    near, far = health(is_local=True), health()
    near.sent("a", late_at=0.05)
    near.answered(0.15, "a", ratio=5.0)
    assert near.cost(2.0, u=0.0) > far.cost(2.0, u=0.9)


def test_a_near_replica_with_a_queue_shares_its_work_with_others() -> None:
    near, far = health(is_local=True), health()
    for attempt in range(9):
        near.sent(attempt, late_at=1.0)
    assert near.cost(0.0, u=0.0) > far.cost(0.0, u=0.9)


def test_a_replica_that_refuses_again_and_again_is_asked_ever_less() -> None:
    """A replica that sheds costs each search an arrival and a round trip."""
    replica = health()
    now, asked = 0.0, []
    while now < 10.0:
        if not replica.is_held_off(now):
            asked.append(now)
            replica.sent("a", late_at=now + 1)
            replica.refused(now, "a")
        now += 0.01
    assert len(asked) <= 9
    assert asked[1] - asked[0] < 0.2
    assert asked[-1] - asked[-2] > 2.0


def test_a_replica_s_own_report_of_waiting_work_sends_requests_elsewhere_while_it_is_fresh() -> (
    None
):
    busy, free = health(), health()
    busy.reported(1.0, running=3, waiting=6, slots=3)
    assert busy.cost(1.1, u=0.5) > 2 * free.cost(1.1, u=0.5)
    assert busy.cost(3.0, u=0.5) < busy.cost(1.5, u=0.5) < busy.cost(1.1, u=0.5)
    assert busy.cost(9.5, u=0.5) == free.cost(9.5, u=0.5)


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(
    seed=st.integers(0, 10_000),
    vms=st.integers(1, 12),
    rate=st.floats(1, 60),
    bad=st.floats(0, 1),
)
def test_all_vms_together_stay_within_the_bound_in_every_window(
    seed: int, vms: int, rate: float, bad: float
) -> None:
    """Eight VMs that hedge each on its own send a service twice its load while it is in trouble.

    Requests come unevenly, each wants an extra with some probability or two, and every span of ten
    seconds is looked at.
    """
    rng = random.Random(seed)
    shares = [SharedRetryBudget(BOUNDS, started=0.0) for _ in range(vms)]
    weights = [rng.random() + 0.1 for _ in range(vms)]
    requests, extras = [], []
    now = 0.0
    while now < 30.0:
        now += rng.expovariate(rate)
        share = rng.choices(shares, weights)[0]
        share.on_request(now)
        requests.append(now)
        for _ in range(2):
            if rng.random() < bad and share.may_take(now, vms=vms, hedge=rng.random() < 0.5):
                share.take(now)
                extras.append(now)
    for start in (x / 4 for x in range(84)):
        end = start + BOUNDS.window
        asked = sum(start <= t < end for t in requests)
        spent = sum(start <= t < end for t in extras)
        assert spent <= BOUNDS.ratio * asked + BOUNDS.slack + 1


def test_vms_that_spend_all_that_they_may_leave_a_twentieth_to_those_not_yet_counted() -> None:
    """A service in trouble gets one arrival more than is allowed, on a day with steady load.

    Eight VMs get a hundred requests a second together and send again whatever they may.
    """
    shares = [SharedRetryBudget(BOUNDS, started=-60.0) for _ in range(8)]
    spent: list[float] = []
    for number in range(3000):
        now = number / 100
        shares[number % 8].on_request(now)
        for share in shares:
            while share.may_take(now, vms=8, hedge=False):
                share.take(now)
                spent.append(now)
    for start in (x / 4 for x in range(40, 80)):
        taken = sum(start <= t < start + BOUNDS.window for t in spent)
        assert taken <= 0.95 * (BOUNDS.ratio * 1000 + BOUNDS.slack)


def test_hedges_leave_a_part_of_the_share_for_what_has_failed() -> None:
    share = SharedRetryBudget(BOUNDS, started=-60.0)
    for _ in range(100):
        share.on_request(0.0)
    while share.may_take(0.0, vms=8, hedge=True):
        share.take(0.0)
    assert share.may_take(0.0, vms=8, hedge=False)


def spent_at(share: SharedRetryBudget, now: float) -> int:
    count = 0
    while share.may_take(now, vms=1, hedge=False):
        share.take(now)
        count += 1
    return count


def test_a_vm_that_has_just_started_may_not_spend_its_whole_slack() -> None:
    """Eight VMs are killed and restarted, and each spends its whole slack once more.

    What the last processes spent still counts; the new ones get less than half of it at once, and
    all of it only when a window has passed.
    """
    first = spent_at(SharedRetryBudget(BOUNDS, started=0.0), 0.1)
    assert 0.3 * BOUNDS.slack < first < 0.45 * BOUNDS.slack
    assert spent_at(SharedRetryBudget(BOUNDS, started=0.0), 10.0) >= 0.9 * BOUNDS.slack


def test_a_replica_that_sheds_most_gets_little_while_others_of_its_service_are_sound() -> None:
    """Searches spend the whole extra share on one replica that refuses six of ten.

    Each success frees it from being held off, so that by that alone it would get a third of all
    work; its first refusals are to leave it a tenth at most.
    """
    replicas = [health() for _ in range(3)]
    rng = random.Random(3)
    chosen = [0, 0, 0]
    for number in range(400):
        now = number / 20
        index = min(range(3), key=lambda i: replicas[i].cost(now, u=rng.random()))
        chosen[index] += 1
        replicas[index].sent(number, late_at=now + 1)
        if index == 0 and rng.random() < 0.6:
            replicas[index].refused(now, number)
        else:
            replicas[index].answered(now, number, ratio=1.0)
    assert chosen[0] <= 40


def profile_of(*samples: float) -> LatencyProfile:
    profile = LatencyProfile()
    for sample in samples:
        profile.add(sample)
    return profile


def test_the_hedge_delay_follows_each_kind_of_request() -> None:
    """A delay that fits the long kind finds no straggler among the short ones."""
    rng = random.Random(2)
    short = profile_of(*(rng.lognormvariate(1.5, 0.35) for _ in range(300)))
    long = profile_of(*(rng.lognormvariate(3.0, 0.35) for _ in range(300)))
    first = hedge_times(short, aim_left_ms=60, aim_ms=60)
    second = hedge_times(long, aim_left_ms=140, aim_ms=140)
    assert 5 < first.delay_ms < 9
    assert 25 < second.delay_ms < 40
    assert first.usual_ms < first.delay_ms


def test_a_hedge_that_could_not_be_in_time_later_is_started_sooner() -> None:
    samples = [20.0] * 80 + [60.0] * 20
    wide = hedge_times(profile_of(*samples), aim_left_ms=200, aim_ms=200)
    tight = hedge_times(profile_of(*samples), aim_left_ms=70, aim_ms=200)
    assert tight.delay_ms < wide.delay_ms
    assert tight.delay_ms + 1.6 * tight.usual_ms <= 72


@pytest.mark.parametrize(
    ("parts", "lost", "aim_passed", "verdict"),
    [
        (10, 0, False, PartsVerdict.ANSWER),
        (9, 0, False, PartsVerdict.WAIT),
        (9, 0, True, PartsVerdict.ANSWER),
        (9, 1, False, PartsVerdict.ANSWER),
        (8, 0, True, PartsVerdict.WAIT),
        (8, 1, False, PartsVerdict.WAIT),
        (8, 2, False, PartsVerdict.FAIL),
        (0, 2, False, PartsVerdict.FAIL),
        (0, 0, True, PartsVerdict.WAIT),
    ],
)
def test_when_parts_go_out(parts: int, lost: int, aim_passed: bool, verdict: PartsVerdict) -> None:
    """A search over ten shards, of which nine are enough."""
    got = parts_verdict(asked=10, least=9, parts=parts, lost=lost, aim_passed=aim_passed)
    assert got is verdict


@pytest.mark.parametrize(
    ("shards", "share", "least"),
    [(10, 0.89, 9), (15, 0.89, 14), (10, 0.75, 8), (4, 0.75, 3), (100, 0.89, 89), (3, 0.0, 1)],
)
def test_how_many_shards_an_answer_needs(shards: int, share: float, least: int) -> None:
    names = tuple(f"s{number}" for number in range(shards))
    assert ShardSet(shards=names, top=1, least_share=share).least == least


@settings(derandomize=True, deadline=None, database=None)
@given(
    answers=st.lists(st.binary(max_size=6 * RECORD_BYTES + 5), max_size=5), top=st.integers(0, 30)
)
def test_the_greatest_records_are_those_of_a_plain_sort(answers: list[bytes], top: int) -> None:
    whole = [
        answer[at : at + RECORD_BYTES]
        for answer in answers
        for at in range(0, len(answer) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    assert greatest(answers, top) == b"".join(sorted(whole, reverse=True)[:top])


@settings(derandomize=True, deadline=None, database=None)
@given(weights=st.lists(st.floats(0.5, 20), min_size=1, max_size=5), seed=st.integers(0, 99))
def test_in_turns_no_service_is_off_its_share_by_more_than_a_request_or_two(
    weights: list[float], seed: int
) -> None:
    rng = random.Random(seed)
    targets = [
        WeightedService(service=f"s{number}", weight=weight)
        for number, weight in enumerate(weights)
    ]
    turns = WeightedTurns(targets, rng.random)
    got = dict.fromkeys((t.service for t in targets), 0)
    for _ in range(200):
        got[turns.next()] += 1
    for target in targets:
        assert abs(got[target.service] - 200 * target.weight / sum(weights)) <= 2
