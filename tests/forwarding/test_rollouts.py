"""State of rollouts on one VM: version rules, trials, reports and records."""

from __future__ import annotations

import attrs
import pytest

from berylspindle_decisions.rollout_plan import ExposureBounds, Stage
from berylspindle_decisions.version_analysis import Verdict
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
TRIAL_PULSE_S = 2.0
"""Seconds after the order at which the trial takes a share of the requests."""


class Vm:
    """The rollouts of one VM, with a clock that the test advances."""

    def __init__(self) -> None:
        self.now = 100.0
        self.changes = 0
        self.rollouts = Rollouts(ExposureBounds(), now=lambda: self.now, on_change=self._on_change)

    def _on_change(self) -> None:
        self.changes += 1

    def count_answers(self, *, new: int, new_bad: int, old: int = 0) -> None:
        for _ in range(old):
            self.rollouts.record_answer(OLD, "r", 20.0)
        for number in range(new):
            self.rollouts.record_answer(NEW, "r", None if number < new_bad else 20.0)


def vm_with_order(*, is_new: bool = True) -> Vm:
    vm = Vm()
    vm.rollouts.apply_order("s", ORDER, is_new=is_new)
    return vm


def test_version_rule_follows_order_shift_and_status() -> None:
    vm = Vm()
    rollouts = vm.rollouts
    assert rollouts.version_rule("s") is None
    rollouts.apply_order("s", ORDER, is_new=True)
    assert rollouts.version_rule("s") == VersionRule(version="v2", is_used=False)
    rollouts.apply_shift("s", RolloutShift(order=9))
    assert rollouts.stage("s") is Stage.TRIAL
    rollouts.apply_shift("s", RolloutShift(order=10))
    assert rollouts.version_rule("s") == VersionRule(version="v2", is_used=True)
    status = RolloutStatus(version="v2", state=RolloutState.ROLLED_BACK, revision=20)
    rollouts.apply_status("s", status)
    assert rollouts.version_rule("s") == VersionRule(version="v2", is_used=False)
    assert not rollouts.active


def test_last_status_applies_after_its_order_was_deleted() -> None:
    """Guard against a VM that starts later and uses a version that was rolled back."""
    rollouts = Vm().rollouts
    status = RolloutStatus(version="v2", state=RolloutState.ROLLED_BACK, revision=20)
    rollouts.apply_status("s", status)
    assert rollouts.version_rule("s") == VersionRule(version="v2", is_used=False)


def test_second_order_for_the_same_version_is_a_new_rollout() -> None:
    rollouts = Vm().rollouts
    status = RolloutStatus(version="v2", state=RolloutState.ROLLED_BACK, revision=5)
    rollouts.apply_status("s", status)
    rollouts.apply_order("s", ORDER, is_new=True)
    assert rollouts.active == {"s"}
    assert rollouts.stage("s") is Stage.TRIAL


def test_vm_that_starts_during_a_rollout_sends_no_trial_requests_until_it_knows_the_age() -> None:
    """Guard against a trial that restarts with each VM and exceeds the exposure."""
    vm = vm_with_order(is_new=False)
    vm.now += TRIAL_PULSE_S
    assert not vm.rollouts.admit_to_trial("s", uniform=0.0)
    record = RolloutAnswers(order=10, elapsed_ms=4_700, requests=200, routes={})
    vm.rollouts.apply_record("s", "b", record)
    assert vm.rollouts.admit_to_trial("s", uniform=0.0)
    vm.now += 6.0
    assert not vm.rollouts.admit_to_trial("s", uniform=0.0)


def test_vm_stops_a_failing_version_on_its_own_evidence() -> None:
    vm = vm_with_order()
    vm.now += TRIAL_PULSE_S
    assert vm.rollouts.admit_to_trial("s", uniform=0.0)
    vm.count_answers(new=8, new_bad=8, old=40)
    assert not vm.rollouts.admit_to_trial("s", uniform=0.0)


def test_reports_are_counted_once_and_sums_are_not_added_again() -> None:
    """Guard against answers that are counted repeatedly.

    Two VMs follow each other while the store is unavailable, and each reports the other's answers.
    """
    follower, second, first = vm_with_order(), vm_with_order(), vm_with_order()
    follower.count_answers(new=4, new_bad=1, old=30)
    second.count_answers(new=2, new_bad=0, old=10)
    first.count_answers(new=1, new_bad=0)
    second.rollouts.merge_report("follower", follower.rollouts.report(include_reports=False))
    second.rollouts.merge_report("follower", follower.rollouts.report(include_reports=False))
    first.rollouts.merge_report("second", second.rollouts.report(include_reports=True))
    answers = first.rollouts.answers("s", include_reports=True, include_sums=True)
    assert answers.routes == {"r": AnswerCounts(7, 1, {"i-old": (40, 0)})}
    second.rollouts.merge_report("first", first.rollouts.report(include_reports=True))
    assert second.rollouts.answers("s", include_reports=True).routes == {
        "r": AnswerCounts(6, 1, {"i-old": (40, 0)})
    }
    second.now += 6.0
    assert second.rollouts.answers("s", include_reports=True).routes == {
        "r": AnswerCounts(2, 0, {"i-old": (10, 0)})
    }


def test_restarted_writer_continues_from_the_record() -> None:
    """Guard against lost evidence, and a larger trial, after a restart of the record's writer."""
    before = vm_with_order()
    before.now += 5.0
    for _ in range(300):
        before.rollouts.admit_to_trial("s", uniform=1.0)
    before.count_answers(new=20, new_bad=12, old=200)
    record = before.rollouts.record("s", "a")
    assert (record.rate, record.requests) == (60.0, 300)
    after = vm_with_order(is_new=False)
    after.rollouts.apply_record("s", "a", record)
    after.now += 3.0
    after.count_answers(new=30, new_bad=1, old=10)
    again = after.rollouts.record("s", "a")
    assert again.routes == {"r": AnswerCounts(30, 12, {"i-old": (200, 0)})}
    assert (again.rate, again.requests) == (60.0, 300)
    after.rollouts.apply_record("s", "a", again)
    assert after.rollouts.verdict("s") is Verdict.BAD


def test_malformed_report_is_rejected() -> None:
    with pytest.raises(MalformedError):
        vm_with_order().rollouts.merge_report("vm", '{"services": 3}')


def test_report_is_empty_without_a_rollout() -> None:
    vm = Vm()
    assert vm.rollouts.report(include_reports=True) == ""
    vm.rollouts.record_answer(NEW, "r", None)
    assert not vm.rollouts.admit_to_trial("s", uniform=0.0)


def test_latency_is_compared_with_the_old_version_of_the_same_service() -> None:
    """Guard against a service that is never found sound because others of its route are faster."""
    vm = vm_with_order()
    vm.count_answers(new=0, new_bad=0, old=50)
    for ms in (40.0, 60.0):
        vm.rollouts.record_answer(NEW, "r", ms)
    vm.rollouts.record_abandoned(NEW, "r", 10.0)
    vm.rollouts.record_abandoned(NEW, "r", 80.0)
    assert vm.rollouts.answers("s", include_reports=False).routes == {
        "r": AnswerCounts(3, 2, {"i-old": (50, 0)})
    }
