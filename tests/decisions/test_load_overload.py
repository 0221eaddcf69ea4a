"""What is refused at once under a burst, what goes first, what a VM knows of replicas' queues."""

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
    pressure_of,
    proportional_share,
    return_after_ms,
)
from berylspindle_decisions.load_estimate import LoadEstimate
from berylspindle_decisions.replica_health import ReplicaHealth

URGENT = AdmissionRequest(group="shard", priority=1, pressure=0.0)
LESS = AdmissionRequest(group="shard", priority=2, pressure=0.0)


def begun(
    gate: AdmissionController, request: AdmissionRequest, *, tries: int = 400, now: float = 0.0
) -> float:
    rng = random.Random(7)
    return sum(gate.admits(now, request, u=rng.random()) for _ in range(tries)) / tries


def test_nothing_is_refused_while_queues_are_short():
    gate = AdmissionController()
    assert begun(gate, attrs.evolve(URGENT, pressure=0.5)) == 1.0
    assert begun(gate, attrs.evolve(LESS, pressure=0.5)) == 1.0


def test_all_is_refused_where_queues_take_the_whole_aim():
    """Every answer of a burst is late, for each one waits behind the next that can't be in time."""
    assert begun(AdmissionController(), attrs.evolve(URGENT, pressure=1.1)) == 0.0


def test_the_refused_share_grows_with_the_pressure():
    """All VMs see the same queues; refusing at one level they would all refuse, then all admit."""
    shares = [proportional_share(x / 100) for x in range(150)]
    assert shares == sorted(shares)
    assert max(b - a for a, b in itertools.pairwise(shares)) < 0.03


def test_ever_more_is_refused_while_queues_stay_long():
    """At twice what replicas bear, a share that only follows the queues settles at long ones.

    Queues of six tenths of the aim alone refuse nobody; after a second of them half are refused.
    """
    gate = AdmissionController()
    pressed = attrs.evolve(URGENT, pressure=0.6)
    first = begun(gate, pressed, tries=5)
    for step in range(200):
        gate.admits(1.0 + step / 100, pressed, u=0.5)
    assert first == 1.0
    assert begun(gate, pressed, now=3.0) < 0.5


def test_a_vm_with_few_requests_refuses_nobody_half_a_second_after_a_burst():
    """One of seventy VMs gets a request now and then, and refuses for seconds after the burst."""
    gate = AdmissionController()
    for step in range(300):
        gate.admits(step / 100, attrs.evolve(URGENT, pressure=1.2), u=0.5)
    assert gate.admits(3.6, attrs.evolve(URGENT, pressure=0.0), u=0.0)


@pytest.mark.parametrize("pressure", [0.7, 0.8, 0.9, 1.0, 1.3])
def test_the_less_urgent_fare_no_better_than_the_urgent_and_are_not_starved(pressure: float):
    """A foreman's search is refused while a quick check of the same shards, less urgent, begins.

    The check needs fewer shards, so that its own pressure is low; of it more has to be refused, and
    yet one in four begins, however long the pressure lasts.
    """
    gate = AdmissionController()
    urgent = attrs.evolve(URGENT, pressure=pressure)
    rng = random.Random(5)
    counts = {1: 0, 2: 0}
    for number in range(2000):
        request = urgent if number % 2 else LESS
        counts[request.priority] += gate.admits(number / 100, request, u=rng.random())
    assert counts[2] <= max(counts[1] * 1.05, 1000 * (1 - LOW_PRIORITY_SHARE_MAX) * 1.2)
    assert counts[2] >= min(counts[1], 1000 * (1 - LOW_PRIORITY_SHARE_MAX)) * 0.8


def test_the_less_urgent_begin_again_once_the_urgent_do():
    gate = AdmissionController()
    gate.admits(0.0, attrs.evolve(URGENT, pressure=1.0), u=0.5)
    assert begun(gate, LESS, now=0.05) < 0.4
    assert begun(gate, LESS, now=0.2) == 1.0


def test_the_urgent_do_not_wait_for_the_less_urgent():
    gate = AdmissionController()
    gate.admits(0.0, attrs.evolve(LESS, pressure=2.0), u=0.5)
    assert begun(gate, attrs.evolve(URGENT, pressure=0.5)) == 1.0


def test_a_group_under_pressure_refuses_nothing_of_another():
    gate = AdmissionController()
    gate.admits(0.0, attrs.evolve(URGENT, pressure=2.0), u=0.5)
    assert begun(gate, attrs.evolve(LESS, group="booking")) == 1.0


def test_a_search_is_weighed_at_the_shard_that_decides_whether_enough_parts_are_there():
    added = [90.0, 5.0, 80.0, 10.0]
    assert pressure_of(added, least=4, aim_ms=100) == 0.9
    assert pressure_of(added, least=3, aim_ms=100) == 0.8
    assert pressure_of(added, least=2, aim_ms=100) == 0.1
    assert pressure_of([], least=1, aim_ms=100) == 0.0


@settings(derandomize=True, deadline=None, database=None)
@given(
    added=st.floats(0, 5000),
    left=st.floats(1, 10_000),
    rng=st.lists(st.floats(0, 0.999), min_size=2),
)
def test_refused_callers_come_back_in_their_time_and_apart(
    added: float, left: float, rng: list[float]
):
    """Callers who are refused together and told one time come back together, and meet a burst."""
    waits = [return_after_ms(added_ms=added, left_ms=left, u=u) for u in rng]
    assert all(0 <= wait <= left * RETRY_AFTER_MAX_SHARE for wait in waits)
    assert all(wait >= min(added, left * RETRY_AFTER_MAX_SHARE) - 1 for wait in waits)
    if added < left / 10 and max(rng) - min(rng) > 0.5 and left > 100:
        assert max(waits) - min(waits) > left / 20


def test_a_report_is_kept_apart_from_what_this_vm_has_sent_since():
    """Eight VMs read that a replica is free and all send to it; none counts what it has sent."""
    replica = ReplicaHealth(slots=2, is_local=False)
    replica.sent("a", late_at=9.0)
    replica.reported(0.0, running=1, waiting=0, slots=2)
    assert replica.busy(0.0) == 1.0
    for attempt in "bcd":
        replica.sent(attempt, late_at=9.0)
    assert replica.busy(0.0) == 4.0


def test_a_stale_report_gives_way_to_the_usual_load():
    """A replica that is always busy looks free to a VM that asks it three times a second."""
    load = LoadEstimate()
    for step in range(40):
        load.reported(step / 3, total=6 if step % 4 else 0, own=0)
    last = 39 / 3
    assert load.at(last) == 6.0
    assert 3.5 < load.at(last + 0.3) < 5.5
    assert load.at(last + 20.0) == 0.0


def test_a_replica_that_tells_nothing_is_taken_for_free():
    assert LoadEstimate().at(5.0) == 0.0


def test_a_queue_that_explains_a_late_answer_is_not_held_against_the_replica():
    """Under a burst all answers are late, and the replica with the longest queue looks slow too."""
    replica = ReplicaHealth(slots=2, is_local=False)
    for attempt in range(6):
        replica.sent(attempt, late_at=9.0)
    factor = replica.explained(0.0)
    assert factor == 3.5
    replica.answered(0.1, 0, ratio=3.5 / factor)
    assert replica.pace(0.1) == pytest.approx(1.0)


def test_what_a_queue_adds_is_told_apart_from_a_slow_replica():
    slow, queued = ReplicaHealth(slots=2, is_local=False), ReplicaHealth(slots=2, is_local=False)
    for attempt in range(12):
        slow.sent(attempt, late_at=99.0)
        slow.answered(attempt / 10, attempt, ratio=8.0)
        queued.sent(attempt, late_at=99.0)
    assert slow.pace(1.1) > 4.0
    assert slow.added_ms(1.1, usual_ms=20.0) == 0.0
    assert queued.added_ms(1.1, usual_ms=20.0) > 100.0


def test_a_replica_that_refuses_is_full_and_one_that_fails_is_not():
    """A shard whose replicas all shed is taken for one without queues, and gets ever more."""
    full, failing = ReplicaHealth(slots=2, is_local=False), ReplicaHealth(slots=2, is_local=False)
    for replica in (full, failing):
        replica.sent("a", late_at=9.0)
    full.refused(0.0, "a")
    failing.failed(0.0, "a")
    assert full.is_sound(0.05)
    assert full.added_ms(0.05, usual_ms=20.0) == pytest.approx(50.0)
    assert not failing.is_sound(0.05)


def test_a_paused_or_failing_replica_is_no_measure_of_the_queues():
    paused, failing, cold = (ReplicaHealth(slots=2, is_local=False) for _ in range(3))
    paused.sent("a", late_at=0.05)
    failing.sent("a", late_at=9.0)
    failing.failed(0.05, "a")
    cold.cold_until = 1.0
    assert not any(one.is_sound(0.1) for one in (paused, failing, cold))
    assert ReplicaHealth(slots=2, is_local=False).is_sound(0.1)
