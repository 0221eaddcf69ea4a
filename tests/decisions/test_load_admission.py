"""What is let in and turned away: bursts, a few heavy callers, saturation."""

from __future__ import annotations

import pytest

from berylspindle_decisions.admission import Admission, AdmissionOptions, Admitted
from berylspindle_decisions.drain import DrainRate
from berylspindle_model.errors import ErrorKind, Refusal, RunState


def offer(admission: Admission, now: float, caller: str, **known: float) -> ErrorKind | None:
    """Offer one request; return why it was refused, or None where it was let in."""
    verdict = admission.decide(now, caller=caller, deadline_left_ms=500, **known)
    if isinstance(verdict, Admitted):
        admission.on_start(caller)
        return None
    assert verdict.run_state is RunState.NOT_RUN
    return verdict.kind


def test_a_burst_is_taken_up_to_the_bound_and_the_rest_is_refused_at_once() -> None:
    admission = Admission(AdmissionOptions(max_work=10))
    got = [offer(admission, 0.0, f"caller-{n}") for n in range(15)]
    assert got == [None] * 10 + [ErrorKind.OVERLOADED] * 5
    assert admission.work == 10


def test_a_few_heavy_callers_leave_room_for_the_others() -> None:
    """Two agents send without pause, then eight supervisors one search each.

    First come, first served, the agents hold all places and the supervisors are turned away. The
    agents stop at their shares, and each supervisor gets in.
    """
    admission = Admission(AdmissionOptions(max_work=20))
    for _ in range(50):
        offer(admission, 0.0, "agent-1")
        offer(admission, 0.0, "agent-2")
    assert admission.held("agent-1") == admission.held("agent-2") == 10
    admission.on_done(0.1, "agent-1")
    assert offer(admission, 0.1, "agent-1") is None
    for n in range(8):
        admission.on_done(0.2, f"agent-{1 + n % 2}")
        assert offer(admission, 0.2, f"supervisor-{n}") is None
        assert offer(admission, 0.2, "agent-1") is ErrorKind.CALLER_OVER_SHARE


def test_a_single_caller_may_use_what_nobody_else_wants() -> None:
    admission = Admission(AdmissionOptions(max_work=10))
    assert [offer(admission, 0.0, "only") for _ in range(10)] == [None] * 10


def test_each_refused_request_is_told_a_time_of_its_own() -> None:
    """Places fall free every 20 ms, and three requests are refused at once.

    All told 20 ms, they would come back together for one place, and two would be refused again.
    """
    admission = Admission(AdmissionOptions(max_work=4))
    for _ in range(4):
        admission.on_start("a")
    now = 0.0
    for n in range(20):
        now = n * 0.02
        admission.on_done(now, "a")
        admission.on_start("a")
    told = []
    for n in range(3):
        refused = admission.decide(now, caller=f"new-{n}", deadline_left_ms=500)
        assert isinstance(refused, Refusal)
        told.append(refused.retry_after)
    assert told == [20, 40, 60]
    later = admission.decide(now + 1.0, caller="new", deadline_left_ms=500)
    assert isinstance(later, Refusal)
    assert later.retry_after is not None
    assert later.retry_after > 60, "nothing has drained since, and that is told"


def test_too_little_time_is_refused_before_it_costs_work() -> None:
    admission = Admission()
    verdict = admission.decide(0.0, caller="a", deadline_left_ms=5, expected_ms=10)
    assert isinstance(verdict, Refusal)
    assert (verdict.kind, verdict.run_state) == (ErrorKind.DEADLINE_EXCEEDED, RunState.NOT_RUN)


def test_a_wait_beyond_the_deadline_is_refused_now() -> None:
    """A hundred requests wait and fifty are served a second.

    A request with half a second left would wait two seconds and be answered to nobody.
    """
    admission = Admission()
    for n in range(40):
        admission.on_start("a")
        admission.on_done(n * 0.02, "a")
    assert offer(admission, 0.78, "a", queued=100) is ErrorKind.OVERLOADED
    assert offer(admission, 0.78, "a", queued=10) is None


def test_saturation_behind_the_entry_lowers_its_limit_and_relief_raises_it() -> None:
    """The owners drop sub-requests, so that hardly any answer is whole.

    Each shard drops other searches: with a quarter too much, only one in twenty is whole over
    ten shards. The entry turns whole searches away instead.
    """
    admission = Admission(AdmissionOptions(max_work=64))
    for _ in range(64):
        offer(admission, 0.0, f"c{admission.work}")
    for n in range(64):
        admission.on_done(n * 0.2, f"c{n}", pressed=True)
    low = admission.limit
    assert low == 4
    for n in range(200):
        admission.on_start("a")
        admission.on_start("b")
        admission.on_start("c")
        for caller in "abc":
            admission.on_done(20.0 + n, caller)
    assert low < admission.limit < 64


def test_one_wave_of_pressed_requests_makes_one_cut() -> None:
    admission = Admission(AdmissionOptions(max_work=10))
    for _ in range(10):
        admission.on_start("a")
    for _ in range(10):
        admission.on_done(1.0, "a", queued_ms=100.0)
    assert admission.limit == 9


def test_a_place_is_freed_once() -> None:
    admission = Admission()
    admission.on_start("a")
    admission.on_done(0.0, "a")
    with pytest.raises(ValueError, match="holds no permit"):
        admission.on_done(0.0, "a")


def test_a_server_that_stands_still_drains_ever_slower() -> None:
    drain = DrainRate()
    for n in range(11):
        drain.on_done(n * 0.1)
    assert drain.rate(1.0) == pytest.approx(10.0)
    assert drain.rate(1.1) == pytest.approx(10.0)
    assert drain.rate(11.1) == pytest.approx(10 / 11)
    assert drain.wait_ms(1.0, 5) == 500


def test_a_caller_that_is_alone_is_never_told_that_it_is_over_its_share() -> None:
    """A desk that searches alone is told to leave places to others, and there are none.

    All places are taken by its own requests; the refusal must say that they are taken.
    """
    admission = Admission(AdmissionOptions(max_work=8))
    for _ in range(8):
        assert isinstance(admission.decide(0.0, caller="desk", deadline_left_ms=500.0), Admitted)
        admission.on_start("desk")
    verdict = admission.decide(0.0, caller="desk", deadline_left_ms=500.0)
    assert isinstance(verdict, Refusal)
    assert verdict.kind is ErrorKind.OVERLOADED


@pytest.mark.parametrize(("service_ms", "cut"), [(4.0, True), (40.0, False)])
def test_a_wait_is_judged_by_what_the_work_takes(service_ms: float, cut: bool) -> None:
    """Slow servers are half idle, because every wait at them looks like overload.

    A sub-request waited 100 ms: 25 times its work at a quick server, 2.5 times at a slow one.
    """
    admission = Admission(AdmissionOptions(max_work=64))
    admission.on_start("desk")
    admission.on_done(10.0, "desk", queued_ms=100.0, service_ms=service_ms)
    assert (admission.limit < 64) is cut
