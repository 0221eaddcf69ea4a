"""The attempts of one request at one service, against scripted replicas and any order of events."""

from __future__ import annotations

import itertools

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from berylspindle_decisions import hedged_request
from berylspindle_decisions.hedged_request import (
    AttemptEnd,
    AttemptPolicy,
    AttemptRecord,
    GiveUp,
    HedgedRequest,
    LossReason,
    RequestState,
    SendTo,
    WaitUntil,
)

SETTINGS = settings(
    derandomize=True, deadline=None, database=None, max_examples=150, stateful_step_count=40
)
# A planted fault has to be found, not to be made small.
PLANTED = settings(SETTINGS, phases=(Phase.generate,), max_examples=600)
REPLICAS = ("r1", "r2", "r3")
HEDGE_S = 0.05


class Guide(AttemptPolicy):
    """Replicas in order, a budget that is counted, a constant hedge delay."""

    def __init__(self, extras: int = 100) -> None:
        self.usable = set(REPLICAS)
        self.extras = extras
        self.taken = 0

    def pick(self, service: str, *, tried: frozenset[str], hedge: bool) -> str | None:
        return next((name for name in REPLICAS if name in self.usable - tried), None)

    def may_take_extra(self, service: str, *, hedge: bool) -> bool:
        if self.taken >= self.extras:
            return False
        self.taken += 1
        return True

    def hedge_after(self, service: str) -> float:
        return HEDGE_S


def race_of(**changes) -> HedgedRequest:
    fields = {
        "repeatable": True,
        "most_runs": 2,
        "wait_until": 0.2,
        "deadline": 1.0,
    }
    return HedgedRequest("s", **{**fields, **changes})


def send(race: HedgedRequest, now: float, guide: Guide, reason: str) -> AttemptRecord:
    step = race.step(now, guide)
    assert isinstance(step, SendTo), step
    assert step.reason == reason
    return race.sent(now, step.replica, guide)


def test_a_late_attempt_is_hedged_once_and_the_first_answer_wins() -> None:
    """A replica pauses under a search; its hedge answers at another one."""
    guide, race = Guide(), race_of()
    send(race, 0.0, guide, "first")
    assert race.step(0.01, guide) == WaitUntil(HEDGE_S)
    hedge = send(race, 0.06, guide, "hedge")
    assert race.step(0.5, guide) == WaitUntil(1.0)
    race.answered(hedge)
    assert race.state is RequestState.WON
    assert guide.taken == 1


def test_what_may_not_be_repeated_is_never_hedged_and_ends_with_a_lost_connection() -> None:
    """A hold runs twice because its first answer was late, or lost."""
    guide, race = Guide(), race_of(repeatable=False)
    attempt = send(race, 0.0, guide, "first")
    assert race.step(0.5, guide) == WaitUntil(1.0)
    race.ended(0.5, attempt, AttemptEnd.MAY_HAVE_RUN, refused=False)
    assert isinstance(race.step(0.5, guide), GiveUp)
    assert race.may_have_run


@pytest.mark.parametrize("end", [AttemptEnd.NOT_RUN, AttemptEnd.NOT_SENT])
def test_what_surely_has_not_run_goes_to_the_next_replica(end: AttemptEnd) -> None:
    guide, race = Guide(), race_of(repeatable=False)
    attempt = send(race, 0.0, guide, "first")
    race.ended(0.01, attempt, end, refused=end is AttemptEnd.NOT_RUN)
    # What was never sent was no arrival, so that the next one is still the first.
    send(race, 0.01, guide, "first" if end is AttemptEnd.NOT_SENT else "retry")
    assert guide.taken == (end is AttemptEnd.NOT_RUN)


def test_a_service_whose_replicas_refuse_connections_is_asked_ever_more_slowly() -> None:
    """All answers of a VM are late while the three replicas of one shard are down.

    Each refuses connections within a millisecond, and each request over the shard connects to one
    after the other as fast as it can, for all the time that it has.
    """
    guide, race = Guide(), race_of(deadline=2.0)
    now, connects = 0.0, []
    while now < 2.0:
        step = race.step(now, guide)
        if isinstance(step, WaitUntil):
            now = step.time
            continue
        assert isinstance(step, SendTo)
        connects.append(now)
        attempt = race.sent(now, step.replica, guide)
        now += 0.001
        race.ended(now, attempt, AttemptEnd.NOT_SENT, refused=False)
    assert connects[2] < 0.01, "each replica is tried at once"
    assert len([t for t in connects if t < 0.25]) <= 10
    assert len(connects) <= 25
    assert max(b - a for a, b in itertools.pairwise(connects)) <= 0.2


def test_a_service_that_refuses_everywhere_is_asked_ever_more_slowly() -> None:
    """Three replicas that shed get thousands of arrivals a second from requests that insist."""
    guide, race = Guide(), race_of(most_runs=4, deadline=2.0)
    now, arrivals = 0.0, 0
    while now < 2.0:
        step = race.step(now, guide)
        if isinstance(step, SendTo):
            arrivals += 1
            attempt = race.sent(now, step.replica, guide)
            now += 0.001
            race.ended(now, attempt, AttemptEnd.NOT_RUN, refused=True)
        elif isinstance(step, WaitUntil):
            now = max(step.time, now + 1e-6)
        else:
            break
    assert 8 <= arrivals <= 20


def test_without_a_usable_replica_a_race_is_patient_and_then_gives_up() -> None:
    guide, race = Guide(), race_of()
    guide.usable.clear()
    assert isinstance(race.step(0.0, guide), WaitUntil)
    guide.usable.add("r2")
    send(race, 0.15, guide, "first")
    lost = race_of()
    guide.usable.clear()
    lost.step(0.0, guide)
    assert lost.step(0.3, guide) == GiveUp(LossReason.NO_REPLICA)
    assert not lost.may_have_run


def test_without_extras_a_failed_attempt_waits_for_them_and_never_overspends() -> None:
    guide, race = Guide(extras=0), race_of()
    attempt = send(race, 0.0, guide, "first")
    race.ended(0.01, attempt, AttemptEnd.RAN, refused=False)
    step = race.step(0.01, guide)
    assert isinstance(step, WaitUntil)
    guide.extras = 1
    send(race, step.time, guide, "retry")


def test_when_the_retry_budget_stays_spent_the_caller_is_told_soon() -> None:
    """A search waits a whole second for leave to ask again, and is then told that it failed.

    Told at once, its caller could have tried again through another VM.
    """
    guide, race = Guide(extras=0), race_of()
    attempt = send(race, 0.0, guide, "first")
    race.ended(0.01, attempt, AttemptEnd.NOT_RUN, refused=True)
    now = 0.01
    while isinstance(step := race.step(now, guide), WaitUntil):
        now = step.time
    assert isinstance(step, GiveUp)
    assert 0.1 <= now <= 0.2
    assert not race.may_have_run


class RaceMachine(RuleBasedStateMachine):
    """Any order of ends, refusals, answers, changes of what is usable, and time."""

    repeatable = True

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.guide = Guide(extras=3)
        self.race = race_of(repeatable=self.repeatable, deadline=1.0)
        self.out: list[AttemptRecord] = []
        self.ran: list[str] = []
        self.arrivals = 0

    def _out(self) -> bool:
        return bool(self.out)

    @rule()
    def step(self) -> None:
        if self.race.state is not RequestState.OPEN:
            return
        step = self.race.step(self.now, self.guide)
        if isinstance(step, SendTo):
            assert step.replica in self.guide.usable
            self.out.append(self.race.sent(self.now, step.replica, self.guide))
            self.arrivals += 1
        elif isinstance(step, WaitUntil):
            assert step.time > self.now
        else:
            assert not self.out

    @rule(seconds=st.floats(0.001, 0.2))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @precondition(_out)
    @rule(data=st.data(), end=st.sampled_from(AttemptEnd), refused=st.booleans())
    def end(self, data: st.DataObject, end: AttemptEnd, refused: bool) -> None:
        attempt = self.out.pop(data.draw(st.integers(0, len(self.out) - 1)))
        if end is AttemptEnd.NOT_SENT:
            self.arrivals -= 1
        if end in (AttemptEnd.MAY_HAVE_RUN, AttemptEnd.RAN):
            self.ran.append(attempt.replica)
        not_run = end is AttemptEnd.NOT_RUN
        self.race.ended(self.now, attempt, end, refused=refused and not_run)

    @precondition(_out)
    @rule()
    def answer(self) -> None:
        attempt = self.out.pop()
        self.ran.append(attempt.replica)
        self.race.answered(attempt)

    @rule(name=st.sampled_from(REPLICAS))
    def toggle(self, name: str) -> None:
        self.guide.usable ^= {name}

    @invariant()
    def runs_are_bounded(self) -> None:
        most = 2 if self.repeatable else 1
        assert len(self.ran) + len(self.out) <= most
        assert len(set(self.ran)) == len(self.ran)

    @invariant()
    def extras_are_bounded(self) -> None:
        assert self.arrivals <= 1 + self.guide.taken

    @invariant()
    def not_run_is_true(self) -> None:
        if not self.race.may_have_run:
            assert not self.ran
            assert not self.out


class OnceMachine(RaceMachine):
    """The same for what may run once at most."""

    repeatable = False


@pytest.mark.parametrize("machine", [RaceMachine, OnceMachine])
def test_no_order_of_events_runs_too_often_or_tells_a_false_not_run(machine: type) -> None:
    run_machine(machine, settings=SETTINGS)


def test_the_machine_finds_a_lost_connection_that_is_taken_for_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    unrun = frozenset({AttemptEnd.NOT_SENT, AttemptEnd.NOT_RUN, AttemptEnd.MAY_HAVE_RUN})
    monkeypatch.setattr(hedged_request, "_NOT_RUN_OUTCOMES", unrun)
    with pytest.raises(AssertionError):
        run_machine(OnceMachine, settings=PLANTED)
