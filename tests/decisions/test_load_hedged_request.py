"""Attempts of one request at one service, with scripted replicas and any order of events."""

from __future__ import annotations

import itertools

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from berylspindle_decisions import hedged_request
from berylspindle_decisions.hedged_request import (
    AttemptOutcome,
    AttemptPolicy,
    AttemptRecord,
    GiveUp,
    GiveUpReason,
    HedgedRequest,
    RequestState,
    SendTo,
    WaitUntil,
)

SETTINGS = settings(
    derandomize=True, deadline=None, database=None, max_examples=150, stateful_step_count=40
)
# For tests of the state machine with a deliberate fault: it must be found, but not minimised.
PLANTED = settings(SETTINGS, phases=(Phase.generate,), max_examples=600)
REPLICAS = ("r1", "r2", "r3")
HEDGE_S = 0.05


class ScriptedPolicy(AttemptPolicy):
    """Replicas in order, a counted budget, a constant hedge delay."""

    def __init__(self, extras: int = 100) -> None:
        self.usable = set(REPLICAS)
        self.extras = extras
        self.taken = 0

    def pick_replica(self, service: str, *, tried: frozenset[str], hedge: bool) -> str | None:
        return next((name for name in REPLICAS if name in self.usable - tried), None)

    def acquire_extra(self, service: str, *, hedge: bool) -> bool:
        if self.taken >= self.extras:
            return False
        self.taken += 1
        return True

    def hedge_delay_s(self, service: str) -> float:
        return HEDGE_S


def new_request(**changes) -> HedgedRequest:
    fields = {
        "repeatable": True,
        "max_runs": 2,
        "no_replica_deadline": 0.2,
        "deadline": 1.0,
    }
    return HedgedRequest("s", **{**fields, **changes})


def send(request: HedgedRequest, now: float, policy: ScriptedPolicy, reason: str) -> AttemptRecord:
    step = request.step(now, policy)
    assert isinstance(step, SendTo), step
    assert step.reason == reason
    return request.on_sent(now, step.replica, policy)


def test_a_late_attempt_is_hedged_once_and_the_first_answer_wins() -> None:
    """A replica pauses during a search, and the hedge at another one answers first."""
    policy, request = ScriptedPolicy(), new_request()
    send(request, 0.0, policy, "first")
    assert request.step(0.01, policy) == WaitUntil(HEDGE_S)
    hedge = send(request, 0.06, policy, "hedge")
    assert request.step(0.5, policy) == WaitUntil(1.0)
    request.on_answer(hedge)
    assert request.state is RequestState.ANSWERED
    assert policy.taken == 1


def test_a_not_idempotent_request_is_never_hedged_or_retried_after_a_lost_connection() -> None:
    """Guard against a second run of a request whose first answer was late or lost."""
    policy, request = ScriptedPolicy(), new_request(repeatable=False)
    attempt = send(request, 0.0, policy, "first")
    assert request.step(0.5, policy) == WaitUntil(1.0)
    request.on_failure(0.5, attempt, AttemptOutcome.MAY_HAVE_RUN, refused=False)
    assert isinstance(request.step(0.5, policy), GiveUp)
    assert request.may_have_run


@pytest.mark.parametrize("end", [AttemptOutcome.NOT_RUN, AttemptOutcome.NOT_SENT])
def test_an_attempt_that_has_not_run_is_retried_at_the_next_replica(end: AttemptOutcome) -> None:
    policy, request = ScriptedPolicy(), new_request(repeatable=False)
    attempt = send(request, 0.0, policy, "first")
    request.on_failure(0.01, attempt, end, refused=end is AttemptOutcome.NOT_RUN)
    # An attempt that was never sent adds no load, so the next one is still the first.
    send(request, 0.01, policy, "first" if end is AttemptOutcome.NOT_SENT else "retry")
    assert policy.taken == (end is AttemptOutcome.NOT_RUN)


def test_a_replica_that_refused_is_asked_again_only_after_a_backoff() -> None:
    """Guard against a retry that finds the same full queue and delays the next one."""
    policy, request = ScriptedPolicy(), new_request(repeatable=False, deadline=2.0)
    policy.usable = {"r1"}
    attempt = send(request, 0.0, policy, "first")
    request.on_failure(0.001, attempt, AttemptOutcome.NOT_RUN, refused=True)
    step = request.step(0.001, policy)
    assert isinstance(step, WaitUntil)
    assert step.time == pytest.approx(0.001 + hedged_request.REFUSAL_BACKOFF_MIN_S)
    # A replica that appears meanwhile is asked at once.
    policy.usable.add("r2")
    send(request, 0.002, policy, "retry")


def test_the_backoff_grows_while_all_replicas_refuse_connections() -> None:
    """Guard against a VM whose answers are all late while the three replicas of a shard are down.

    Each refuses connections within a millisecond, and without a backoff every request over the
    shard reconnects as fast as it can until its deadline.
    """
    policy, request = ScriptedPolicy(), new_request(deadline=2.0)
    now, connects = 0.0, []
    while now < 2.0:
        step = request.step(now, policy)
        if isinstance(step, WaitUntil):
            now = step.time
            continue
        assert isinstance(step, SendTo)
        connects.append(now)
        attempt = request.on_sent(now, step.replica, policy)
        now += 0.001
        request.on_failure(now, attempt, AttemptOutcome.NOT_SENT, refused=False)
    assert connects[2] < 0.01, "each replica must be tried at once"
    assert len([t for t in connects if t < 0.25]) <= 10
    assert len(connects) <= 25
    assert max(b - a for a, b in itertools.pairwise(connects)) <= 0.2


def test_the_backoff_grows_while_all_replicas_refuse_requests() -> None:
    """Guard against thousands of retries per second at three replicas that shed load."""
    policy, request = ScriptedPolicy(), new_request(max_runs=4, deadline=2.0)
    now, arrivals = 0.0, 0
    while now < 2.0:
        step = request.step(now, policy)
        if isinstance(step, SendTo):
            arrivals += 1
            attempt = request.on_sent(now, step.replica, policy)
            now += 0.001
            request.on_failure(now, attempt, AttemptOutcome.NOT_RUN, refused=True)
        elif isinstance(step, WaitUntil):
            now = max(step.time, now + 1e-6)
        else:
            break
    assert 8 <= arrivals <= 20


def test_without_a_usable_replica_a_request_waits_and_then_fails() -> None:
    policy, request = ScriptedPolicy(), new_request()
    policy.usable.clear()
    assert isinstance(request.step(0.0, policy), WaitUntil)
    policy.usable.add("r2")
    send(request, 0.15, policy, "first")
    failing = new_request()
    policy.usable.clear()
    failing.step(0.0, policy)
    assert failing.step(0.3, policy) == GiveUp(GiveUpReason.NO_REPLICA)
    assert not failing.may_have_run


def test_without_retry_budget_a_failed_attempt_waits_and_never_overspends() -> None:
    policy, request = ScriptedPolicy(extras=0), new_request()
    attempt = send(request, 0.0, policy, "first")
    request.on_failure(0.01, attempt, AttemptOutcome.RAN, refused=False)
    step = request.step(0.01, policy)
    assert isinstance(step, WaitUntil)
    policy.extras = 1
    send(request, step.time, policy, "retry")


def test_a_request_fails_soon_when_the_retry_budget_stays_exhausted() -> None:
    """Guard against a search that waits for retry budget until its deadline and then fails.

    If it fails sooner, its caller can still retry through another VM.
    """
    policy, request = ScriptedPolicy(extras=0), new_request()
    attempt = send(request, 0.0, policy, "first")
    request.on_failure(0.01, attempt, AttemptOutcome.NOT_RUN, refused=True)
    now = 0.01
    while isinstance(step := request.step(now, policy), WaitUntil):
        now = step.time
    assert isinstance(step, GiveUp)
    assert 0.1 <= now <= 0.2
    assert not request.may_have_run


class RequestMachine(RuleBasedStateMachine):
    """Any order of failures, refusals, answers, changes of usable replicas, and time."""

    repeatable = True

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.policy = ScriptedPolicy(extras=3)
        self.request = new_request(repeatable=self.repeatable, deadline=1.0)
        self.in_flight: list[AttemptRecord] = []
        self.ran: list[str] = []
        self.arrivals = 0

    def _has_in_flight(self) -> bool:
        return bool(self.in_flight)

    @rule()
    def step(self) -> None:
        if self.request.state is not RequestState.OPEN:
            return
        step = self.request.step(self.now, self.policy)
        if isinstance(step, SendTo):
            assert step.replica in self.policy.usable
            self.in_flight.append(self.request.on_sent(self.now, step.replica, self.policy))
            self.arrivals += 1
        elif isinstance(step, WaitUntil):
            assert step.time > self.now
        else:
            assert not self.in_flight

    @rule(seconds=st.floats(0.001, 0.2))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @precondition(_has_in_flight)
    @rule(data=st.data(), end=st.sampled_from(AttemptOutcome), refused=st.booleans())
    def end(self, data: st.DataObject, end: AttemptOutcome, refused: bool) -> None:
        attempt = self.in_flight.pop(data.draw(st.integers(0, len(self.in_flight) - 1)))
        if end is AttemptOutcome.NOT_SENT:
            self.arrivals -= 1
        if end in (AttemptOutcome.MAY_HAVE_RUN, AttemptOutcome.RAN):
            self.ran.append(attempt.replica)
        not_run = end is AttemptOutcome.NOT_RUN
        self.request.on_failure(self.now, attempt, end, refused=refused and not_run)

    @precondition(_has_in_flight)
    @rule()
    def answer(self) -> None:
        attempt = self.in_flight.pop()
        self.ran.append(attempt.replica)
        self.request.on_answer(attempt)

    @rule(name=st.sampled_from(REPLICAS))
    def toggle(self, name: str) -> None:
        self.policy.usable ^= {name}

    @invariant()
    def runs_are_bounded(self) -> None:
        most = 2 if self.repeatable else 1
        assert len(self.ran) + len(self.in_flight) <= most
        assert len(set(self.ran)) == len(self.ran)

    @invariant()
    def extras_are_bounded(self) -> None:
        assert self.arrivals <= 1 + self.policy.taken

    @invariant()
    def not_run_is_reported_correctly(self) -> None:
        if not self.request.may_have_run:
            assert not self.ran
            assert not self.in_flight


class NotIdempotentMachine(RequestMachine):
    """The same for a request that may run once at most."""

    repeatable = False


@pytest.mark.parametrize("machine", [RequestMachine, NotIdempotentMachine])
def test_no_order_of_events_exceeds_the_runs_or_reports_a_false_not_run(machine: type) -> None:
    run_machine(machine, settings=SETTINGS)


def test_the_state_machine_detects_a_lost_connection_counted_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    not_run_outcomes = frozenset(
        {AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN, AttemptOutcome.MAY_HAVE_RUN}
    )
    monkeypatch.setattr(hedged_request, "_NOT_RUN_OUTCOMES", not_run_outcomes)
    with pytest.raises(AssertionError):
        run_machine(NotIdempotentMachine, settings=PLANTED)
