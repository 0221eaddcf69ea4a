"""Limit of one backend server: exact, reset to cold on evidence, raised by successes alone."""

from __future__ import annotations

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from berylspindle_decisions.concurrency import (
    FailureKind,
    LimiterOptions,
    ReportState,
    ServerLimiter,
    WarmUpState,
)
from berylspindle_decisions.warmup import WarmUp, WarmUpOptions

SETTINGS = settings(
    derandomize=True, deadline=None, database=None, max_examples=60, stateful_step_count=50
)
# For tests of the state machine with a deliberate fault: it must be found, but not minimised.
PLANTED = settings(SETTINGS, phases=(Phase.generate,), max_examples=500)
SLOTS, COLD = 4, 1
STEP = 5


def serve(limiter: ServerLimiter, now: float, rounds: int, latency_ms: float = 5.0) -> float:
    """Use all slots for some rounds, 20 ms apart, and return the time after them."""
    for _ in range(rounds):
        now += 0.02
        while limiter.may_start(now):
            limiter.on_start(now)
        while limiter.in_flight:
            limiter.on_success(now, latency_ms)
    return now


def warm_limiter() -> tuple[ServerLimiter, float]:
    limiter = ServerLimiter(SLOTS, COLD)
    now = serve(limiter, 0.0, 100)
    assert limiter.limit(now) == SLOTS
    return limiter, now


def test_a_reset_after_a_step_makes_the_next_steps_longer() -> None:
    """Guard against a server that warms up more slowly than the ramp and fails at each step.

    With the same ramp each time it would never get warm, so each reset doubles the successes that a
    step requires.
    """
    limiter = ServerLimiter(SLOTS, COLD)
    now = 0.0
    rounds = []
    for _ in range(3):
        start = now
        while limiter.limit(now) == COLD:
            now = serve(limiter, now, 1)
        rounds.append(round((now - start) / 0.02))
        limiter.on_connection_failure(now, FailureKind.RESET)
    assert rounds == [30, 60, 120]


def test_time_alone_does_not_raise_the_limit() -> None:
    limiter = ServerLimiter(SLOTS, COLD)
    assert limiter.limit(3600.0) == COLD


def test_quick_answers_alone_do_not_raise_the_limit() -> None:
    """Guard against a burst of answers from a cache that raises the limit of a cold server.

    Such answers warm little of what a search uses, so a step also takes its minimum time.
    """
    limiter = ServerLimiter(SLOTS, COLD)
    for _ in range(30):
        limiter.on_start(1.0)
        limiter.on_success(1.0, 0.1)
    assert limiter.limit(1.0) == COLD
    now = serve(limiter, 1.0, 15)
    assert limiter.limit(now) == COLD + 1


@pytest.mark.parametrize("kind", [FailureKind.RESET, FailureKind.REFUSED])
def test_a_lost_connection_resets_the_limit(kind: FailureKind) -> None:
    """Guard against a restarted, cold server that gets requests for all its slots.

    It restarts without notice: its connections break, and new ones work at once. The first broken
    connection must reset the limit.
    """
    limiter, now = warm_limiter()
    limiter.on_connection_failure(now, kind)
    assert limiter.limit(now) == COLD


def test_one_slow_answer_is_no_evidence_but_a_majority_is() -> None:
    limiter, now = warm_limiter()
    now = serve(limiter, now, 1, latency_ms=5.0)
    limiter.on_start(now)
    limiter.on_success(now, 500.0)
    assert limiter.limit(now) == SLOTS
    now = serve(limiter, now, 3, latency_ms=100.0)
    assert limiter.limit(now) == COLD


def test_a_server_that_stays_slow_gets_its_slots_back() -> None:
    """Guard against a server that becomes permanently slow and stays at one slot forever.

    Its latency, for example on a weaker machine, is always slow compared with its old baseline.
    """
    limiter, now = warm_limiter()
    now = serve(limiter, now, 3, latency_ms=100.0)
    now = serve(limiter, now, 150, latency_ms=100.0)
    assert limiter.limit(now) == SLOTS


def test_one_rejection_takes_one_step_back_and_a_second_resets_the_limit() -> None:
    limiter, now = warm_limiter()
    for expected in (SLOTS - 1, COLD):
        limiter.on_start(now)
        limiter.on_shed(now, retry_after_ms=100)
        assert limiter.limit(now) == 0
        now += 0.11
        assert limiter.limit(now) == expected


def test_the_hold_of_one_rejection_is_limited() -> None:
    limiter, now = warm_limiter()
    limiter.on_start(now)
    limiter.on_shed(now, retry_after_ms=3_600_000)
    assert limiter.limit(now + 2.1) > 0


def test_a_report_stuck_at_cold_does_not_keep_the_limit_low() -> None:
    """Guard against a load report that is stuck at cold and keeps a warm server at one slot.

    That would happen if each report reset the limit. Only a change of the reported state resets it;
    further reports make the steps longer.
    """
    limiter, now = warm_limiter()
    limiter.on_report(now, ReportState.COLD)
    assert limiter.limit(now) == COLD
    for _ in range(130):
        now = serve(limiter, now, 5)
        limiter.on_report(now, ReportState.COLD)
    assert limiter.limit(now) == SLOTS


def test_a_server_that_reports_cold_needs_more_successes_per_step() -> None:
    """Guard against a cold server that is overloaded after its first fast answers.

    Its new owner gets its report and sends one request at a time; the server is warm only after
    many more answers.
    """
    limiter = ServerLimiter(SLOTS, COLD)
    limiter.on_report(0.0, ReportState.COLD)
    now = serve(limiter, 0.0, 100)
    assert limiter.limit(now) == COLD


def test_reported_external_work_lowers_the_limit_temporarily() -> None:
    """Guard against two owners that together overload a server, as one resumed after a pause.

    The report shows more requests in flight than this owner sent, which lowers the limit for a
    second after the report.
    """
    limiter, now = warm_limiter()
    limiter.on_report(now, ReportState.WARM, in_flight=SLOTS + 2)
    assert limiter.limit(now) == SLOTS - 2
    assert limiter.limit(now + 1.1) == SLOTS


def test_a_draining_server_gets_no_requests_and_returns_cold() -> None:
    limiter, now = warm_limiter()
    limiter.on_report(now, ReportState.DRAINING)
    assert limiter.limit(now) == 0
    assert limiter.limit(now + 5.1) == COLD


def test_a_new_owner_starts_cold_unless_warm_up_state_was_handed_over() -> None:
    limiter, now = warm_limiter()
    trust = limiter.warm_up_state
    limiter.on_takeover(now)
    assert limiter.limit(now) == COLD
    limiter.on_takeover(now, trust)
    assert limiter.limit(now) == SLOTS
    limiter.on_takeover(now, WarmUpState(cap=99, baseline_ms=1.0))
    assert limiter.limit(now) == SLOTS


def test_the_limit_is_reset_without_work() -> None:
    limiter, now = warm_limiter()
    assert limiter.limit(now + 61.0) == COLD


class LimiterMachine(RuleBasedStateMachine):
    """Any order of outcomes and reports: the limit is exact and only successes raise it."""

    def __init__(self) -> None:
        super().__init__()
        warm_up = WarmUpOptions(step_successes=STEP)
        self.limiter = ServerLimiter(SLOTS, COLD, LimiterOptions(warm_up=warm_up))
        self.now = 0.0
        self.in_flight = 0
        self.successes = 0  # since the last evidence of a cold server
        self.handed_cap = COLD

    def expect_cold(self) -> None:
        self.successes = 0
        self.handed_cap = COLD
        assert (
            self.limiter.limit(self.now) <= COLD
        ), "limit above the cold cap after evidence of a cold server"

    @rule(count=st.integers(1, 4))
    def start(self, count: int) -> None:
        for _ in range(count):
            if not self.limiter.may_start(self.now):
                with pytest.raises(ValueError, match="in flight"):
                    self.limiter.on_start(self.now)
                return
            assert self.in_flight < min(SLOTS, max(self.handed_cap, COLD + self.successes // STEP))
            self.limiter.on_start(self.now)
            self.in_flight += 1

    @rule(count=st.integers(1, 60), latency=st.sampled_from([5.0, 5.0, 6.0, 200.0]))
    def succeed(self, count: int, latency: float) -> None:
        for _ in range(count):
            if self.in_flight == 0 and self.limiter.may_start(self.now):
                self.limiter.on_start(self.now)
                self.in_flight += 1
            if self.in_flight == 0:
                return
            self.limiter.on_success(self.now, latency)
            self.in_flight -= 1
            self.successes += 1
            self.now += 0.03

    @rule(retry_after=st.sampled_from([None, 50.0]))
    def shed(self, retry_after: float | None) -> None:
        if self.in_flight:
            before = self.limiter.warm_up_state.cap
            self.limiter.on_shed(self.now, retry_after)
            self.in_flight -= 1
            assert self.limiter.warm_up_state.cap <= max(COLD, before - 1)

    @rule(kind=st.sampled_from(list(FailureKind)))
    def fail(self, kind: FailureKind) -> None:
        if self.in_flight:
            self.limiter.on_failure(self.now, kind)
            self.in_flight -= 1
            if kind in (FailureKind.RESET, FailureKind.REFUSED):
                self.expect_cold()

    @rule()
    def cancel(self) -> None:
        if self.in_flight:
            self.limiter.on_cancelled(self.now)
            self.in_flight -= 1

    @rule(state=st.sampled_from(list(ReportState)), reported=st.integers(0, 9))
    def report(self, state: ReportState, reported: int) -> None:
        before = self.limiter.warm_up_state.cap
        self.limiter.on_report(self.now, state, reported)
        assert self.limiter.warm_up_state.cap <= before, "a report raised the cap"

    @rule(cap=st.none() | st.integers(0, 9))
    def take_over(self, cap: int | None) -> None:
        trust = WarmUpState(cap=cap, baseline_ms=5.0) if cap is not None else None
        self.limiter.on_takeover(self.now, trust)
        if trust is None:
            self.expect_cold()
        else:
            self.successes, self.handed_cap = 0, max(COLD, min(trust.cap, SLOTS))

    @rule(seconds=st.sampled_from([0.01, 0.3, 6.0, 70.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def only_successes_raise_the_limit(self) -> None:
        assert self.limiter.in_flight == self.in_flight <= SLOTS
        max_cap = self.handed_cap + self.successes // STEP
        assert 0 <= self.limiter.limit(self.now) <= min(SLOTS, max_cap)


def test_the_limiter_never_exceeds_its_limit() -> None:
    run_state_machine_as_test(LimiterMachine, settings=SETTINGS)  # type: ignore[no-untyped-call]


def _no_reset(self: WarmUp, now: float) -> None:
    del self, now


def _step_by_time(self: WarmUp, now: float) -> None:
    if now - self._step_started >= 0.25:
        self._cap = min(self._cap + 1, self._slots)


def _always_allowed(self: ServerLimiter, now: float) -> bool:
    del self, now
    return True


@pytest.mark.parametrize(
    ("owner", "method", "planted"),
    [
        (WarmUp, "_reset_to_cold", _no_reset),
        (WarmUp, "_step_up", _step_by_time),
        (ServerLimiter, "may_start", _always_allowed),
    ],
)
def test_the_state_machine_detects_a_removed_guard(
    monkeypatch: pytest.MonkeyPatch, owner: type, method: str, planted: object
) -> None:
    monkeypatch.setattr(owner, method, planted)
    machine = type("Planted", (LimiterMachine,), {})
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(machine, settings=PLANTED)  # type: ignore[no-untyped-call]
