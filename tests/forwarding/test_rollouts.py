"""What one VM knows of rollouts, what it tells others, and which version it sends requests to."""

from __future__ import annotations

import attrs
import pytest

from berylspindle_decisions.rollout_plan import ExposureBounds, Stage
from berylspindle_decisions.version_judge import Verdict
from berylspindle_forwarding.rollouts import Rollouts, VersionRule
from berylspindle_model.codec import MalformedError
from berylspindle_model.rollout import (
    AnswerCounts,
    RolloutAnswers,
    RolloutOrder,
    RolloutShift,
    RolloutState,
    RolloutStatus,
)
from berylspindle_model.routing import Replica

OLD = Replica(id="i-old", service="s", host="127.0.0.1", port=1, data_centre="a", version="v1")
NEW = attrs.evolve(OLD, id="i-new", version="v2")
ORDER = RolloutOrder(service="s", version="v2", term=12.0, revision=10)
IN_PULSE = 2.0
"""Seconds after the order in which the trial takes its share."""


class Vm:
    """One VM's rollouts with a clock that the test moves."""

    def __init__(self) -> None:
        self.now = 100.0
        self.changes = 0
        self.rollouts = Rollouts(ExposureBounds(), now=lambda: self.now, on_change=self._on_change)

    def _on_change(self) -> None:
        self.changes += 1

    def sees(self, *, new: int, new_bad: int, old: int = 0) -> None:
        for _ in range(old):
            self.rollouts.note_answer(OLD, "r", 20.0)
        for number in range(new):
            self.rollouts.note_answer(NEW, "r", None if number < new_bad else 20.0)


def ordered(*, is_new: bool = True) -> Vm:
    vm = Vm()
    vm.rollouts.take_order("s", ORDER, is_new=is_new)
    return vm


def test_the_rule_follows_order_shift_and_status() -> None:
    vm = Vm()
    rollouts = vm.rollouts
    assert rollouts.rule("s") is None
    rollouts.take_order("s", ORDER, is_new=True)
    assert rollouts.rule("s") == VersionRule(version="v2", is_used=False)
    rollouts.take_shift("s", RolloutShift(order=9))
    assert rollouts.stage("s") is Stage.TRIAL
    rollouts.take_shift("s", RolloutShift(order=10))
    assert rollouts.rule("s") == VersionRule(version="v2", is_used=True)
    status = RolloutStatus(version="v2", state=RolloutState.ROLLED_BACK, revision=20)
    rollouts.take_status("s", status)
    assert rollouts.rule("s") == VersionRule(version="v2", is_used=False)
    assert not rollouts.active


def test_the_last_status_holds_after_its_order_has_gone() -> None:
    """Guards against requests to a version that was rolled back, on a VM that starts later."""
    rollouts = Vm().rollouts
    status = RolloutStatus(version="v2", state=RolloutState.ROLLED_BACK, revision=20)
    rollouts.take_status("s", status)
    assert rollouts.rule("s") == VersionRule(version="v2", is_used=False)


def test_an_order_for_the_same_version_again_is_a_new_rollout() -> None:
    rollouts = Vm().rollouts
    status = RolloutStatus(version="v2", state=RolloutState.ROLLED_BACK, revision=5)
    rollouts.take_status("s", status)
    rollouts.take_order("s", ORDER, is_new=True)
    assert rollouts.active == {"s"}
    assert rollouts.stage("s") is Stage.TRIAL


def test_a_vm_that_starts_within_a_rollout_tries_nothing_until_it_knows_how_old_it_is() -> None:
    """Guards against a trial that begins anew, and exceeds the exposure, with each start."""
    vm = ordered(is_new=False)
    vm.now += IN_PULSE
    assert not vm.rollouts.takes_trial("s", u=0.0)
    record = RolloutAnswers(order=10, elapsed_ms=4_700, requests=200, routes={})
    vm.rollouts.take_record("s", "b", record)
    assert vm.rollouts.takes_trial("s", u=0.0)
    vm.now += 6.0
    assert not vm.rollouts.takes_trial("s", u=0.0)


def test_a_vm_stops_a_version_that_fails_it_also_where_nobody_can_be_reached() -> None:
    vm = ordered()
    vm.now += IN_PULSE
    assert vm.rollouts.takes_trial("s", u=0.0)
    vm.sees(new=8, new_bad=8, old=40)
    assert not vm.rollouts.takes_trial("s", u=0.0)


def test_reports_are_counted_once_and_sums_not_again() -> None:
    """Guards against answers that two VMs go on telling each other while the store is away."""
    follower, second, first = ordered(), ordered(), ordered()
    follower.sees(new=4, new_bad=1, old=30)
    second.sees(new=2, new_bad=0, old=10)
    first.sees(new=1, new_bad=0)
    second.rollouts.take_report("follower", follower.rollouts.report(for_others=False))
    second.rollouts.take_report("follower", follower.rollouts.report(for_others=False))
    first.rollouts.take_report("second", second.rollouts.report(for_others=True))
    told = first.rollouts.answers("s", for_others=True, with_sums=True)
    assert told.routes == {"r": AnswerCounts(7, 1, {"i-old": (40, 0)})}
    second.rollouts.take_report("first", first.rollouts.report(for_others=True))
    assert second.rollouts.answers("s", for_others=True).routes == {
        "r": AnswerCounts(6, 1, {"i-old": (40, 0)})
    }
    second.now += 6.0
    assert second.rollouts.answers("s", for_others=True).routes == {
        "r": AnswerCounts(2, 0, {"i-old": (10, 0)})
    }


def test_a_writer_that_restarts_goes_on_from_the_record() -> None:
    """Guards against evidence that is lost, and a trial that grows, with the VM that counted."""
    before = ordered()
    before.now += 5.0
    for _ in range(300):
        before.rollouts.takes_trial("s", u=1.0)
    before.sees(new=20, new_bad=12, old=200)
    record = before.rollouts.record("s", "a")
    assert (record.rate, record.requests) == (60.0, 300)
    after = ordered(is_new=False)
    after.rollouts.take_record("s", "a", record)
    after.now += 3.0
    after.sees(new=30, new_bad=1, old=10)
    again = after.rollouts.record("s", "a")
    assert again.routes == {"r": AnswerCounts(30, 12, {"i-old": (200, 0)})}
    assert (again.rate, again.requests) == (60.0, 300)
    after.rollouts.take_record("s", "a", again)
    assert after.rollouts.verdict("s") is Verdict.BAD


def test_a_report_that_cannot_be_read_is_refused() -> None:
    with pytest.raises(MalformedError):
        ordered().rollouts.take_report("vm", '{"services": 3}')


def test_nothing_is_told_without_a_rollout() -> None:
    vm = Vm()
    assert vm.rollouts.report(for_others=True) == ""
    vm.rollouts.note_answer(NEW, "r", None)
    assert not vm.rollouts.takes_trial("s", u=0.0)


def test_an_answer_is_slow_beside_the_old_version_of_the_same_service() -> None:
    """Guards against a service that is slower than others of its route and never found sound."""
    vm = ordered()
    vm.sees(new=0, new_bad=0, old=50)
    for ms in (40.0, 60.0):
        vm.rollouts.note_answer(NEW, "r", ms)
    vm.rollouts.note_abandoned(NEW, "r", 10.0)
    vm.rollouts.note_abandoned(NEW, "r", 80.0)
    assert vm.rollouts.answers("s", for_others=False).routes == {
        "r": AnswerCounts(3, 2, {"i-old": (50, 0)})
    }
