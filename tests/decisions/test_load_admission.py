"""Admission at an entry: bursts, heavy callers, saturation."""

from __future__ import annotations

import pytest

from berylspindle_decisions.admission import Admission, AdmissionOptions, Admitted
from berylspindle_decisions.drain_rate import DrainRate
from berylspindle_model.errors import ErrorKind, Refusal, RunState


def offer(admission: Admission, now: float, caller: str, **known: float) -> ErrorKind | None:
    """Offer one request; return the kind of its refusal, or None if it was admitted."""
    verdict = admission.decide(now, caller=caller, deadline_left_ms=500, **known)
    if isinstance(verdict, Admitted):
        admission.on_start(caller)
        return None
    assert verdict.run_state is RunState.NOT_RUN
    return verdict.kind


def test_a_burst_is_admitted_up_to_the_limit_and_the_rest_is_refused_at_once() -> None:
    admission = Admission(AdmissionOptions(max_work=10))
    got = [offer(admission, 0.0, f"caller-{n}") for n in range(15)]
    assert got == [None] * 10 + [ErrorKind.OVERLOADED] * 5
    assert admission.work == 10


def test_a_few_heavy_callers_leave_room_for_the_others() -> None:
    """Guard against two callers that hold all permits, so that the others are refused.

    The two send continuously, then eight others send one search each.
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


def test_a_single_caller_may_use_all_permits() -> None:
    admission = Admission(AdmissionOptions(max_work=10))
    assert [offer(admission, 0.0, "only") for _ in range(10)] == [None] * 10


def test_each_refused_request_gets_its_own_retry_time() -> None:
    """Guard against equal Retry-After times of requests that are refused together.

    A permit becomes free every 20 ms. If three requests return at the same time, two are refused
    again.
    """
    admission = Admission(AdmissionOptions(max_work=4))
    for _ in range(4):
        admission.on_start("a")
    now = 0.0
    for n in range(20):
        now = n * 0.02
        admission.on_done(now, "a")
        admission.on_start("a")
    retry_after = []
    for n in range(3):
        refused = admission.decide(now, caller=f"new-{n}", deadline_left_ms=500)
        assert isinstance(refused, Refusal)
        retry_after.append(refused.retry_after)
    assert retry_after == [20, 40, 60]
    later = admission.decide(now + 1.0, caller="new", deadline_left_ms=500)
    assert isinstance(later, Refusal)
    assert later.retry_after is not None
    assert later.retry_after > 60, "the retry time must grow when nothing drains"


def test_a_request_with_too_little_time_is_refused() -> None:
    admission = Admission()
    verdict = admission.decide(0.0, caller="a", deadline_left_ms=5, expected_ms=10)
    assert isinstance(verdict, Refusal)
    assert (verdict.kind, verdict.run_state) == (ErrorKind.DEADLINE_EXCEEDED, RunState.NOT_RUN)


def test_a_queueing_delay_beyond_the_deadline_is_refused_at_once() -> None:
    """Guard against admitting a request that would be answered after its deadline.

    A hundred requests are queued and fifty are served per second, so a request with half a second
    left would wait two seconds.
    """
    admission = Admission()
    for n in range(40):
        admission.on_start("a")
        admission.on_done(n * 0.02, "a")
    assert offer(admission, 0.78, "a", queued=100) is ErrorKind.OVERLOADED
    assert offer(admission, 0.78, "a", queued=10) is None


def test_overload_at_owners_lowers_the_limit_and_its_end_raises_it() -> None:
    """Guard against an overload in which hardly any answer is complete.

    Each shard drops different searches: at 125% load only one in twenty is complete over ten
    shards. The entry must reject whole searches instead.
    """
    admission = Admission(AdmissionOptions(max_work=64))
    for _ in range(64):
        offer(admission, 0.0, f"c{admission.work}")
    for n in range(64):
        admission.on_done(n * 0.2, f"c{n}", overloaded=True)
    lowered_limit = admission.limit
    assert lowered_limit == 4
    for n in range(200):
        admission.on_start("a")
        admission.on_start("b")
        admission.on_start("c")
        for caller in "abc":
            admission.on_done(20.0 + n, caller)
    assert lowered_limit < admission.limit < 64


def test_one_wave_of_overloaded_requests_cuts_the_limit_once() -> None:
    admission = Admission(AdmissionOptions(max_work=10))
    for _ in range(10):
        admission.on_start("a")
    for _ in range(10):
        admission.on_done(1.0, "a", queued_ms=100.0)
    assert admission.limit == 9


def test_a_permit_is_released_once() -> None:
    admission = Admission()
    admission.on_start("a")
    admission.on_done(0.0, "a")
    with pytest.raises(ValueError, match="holds no permit"):
        admission.on_done(0.0, "a")


def test_the_drain_rate_of_a_stopped_server_decreases() -> None:
    drain = DrainRate()
    for n in range(11):
        drain.on_done(n * 0.1)
    assert drain.rate(1.0) == pytest.approx(10.0)
    assert drain.rate(1.1) == pytest.approx(10.0)
    assert drain.rate(11.1) == pytest.approx(10 / 11)
    assert drain.wait_ms(1.0, 5) == 500


def test_the_only_caller_never_exceeds_its_share() -> None:
    """Guard against refusing the only active caller with CALLER_OVER_SHARE.

    That error asks it to leave permits to other callers, and there are none.
    """
    admission = Admission(AdmissionOptions(max_work=8))
    for _ in range(8):
        assert isinstance(admission.decide(0.0, caller="desk", deadline_left_ms=500.0), Admitted)
        admission.on_start("desk")
    verdict = admission.decide(0.0, caller="desk", deadline_left_ms=500.0)
    assert isinstance(verdict, Refusal)
    assert verdict.kind is ErrorKind.OVERLOADED


@pytest.mark.parametrize(("service_ms", "cut"), [(4.0, True), (40.0, False)])
def test_a_queueing_delay_is_compared_with_the_service_time(service_ms: float, cut: bool) -> None:
    """Guard against an absolute threshold, by which any queue at slow servers is an overload.

    The limit would then be cut until slow servers are idle. A queueing delay of 100 ms is 25
    service times of a fast server and 2.5 of a slow one.
    """
    admission = Admission(AdmissionOptions(max_work=64))
    admission.on_start("desk")
    admission.on_done(10.0, "desk", queued_ms=100.0, service_ms=service_ms)
    assert (admission.limit < 64) is cut
