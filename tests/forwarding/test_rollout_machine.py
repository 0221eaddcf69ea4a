"""Stateful test: restarting VMs with a delayed view of the store decide on one rollout."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from berylspindle_decisions import rollout_plan
from berylspindle_decisions.rollout_plan import (
    MAX_SHIFT_FRACTION,
    SHIFT_DURATION_S,
    ExposureBounds,
    Stage,
)
from berylspindle_decisions.version_analysis import Verdict
from berylspindle_forwarding.rollouts import FINAL_STAGES, Rollouts
from berylspindle_model.rollout import RolloutOrder, RolloutShift, RolloutStatus
from berylspindle_model.routing import Replica

TERM_S = 12.0
ORDER = RolloutOrder(service="s", version="v2", term=TERM_S, revision=1)
OLD = Replica(id="old", service="s", host="127.0.0.1", port=1, data_centre="a", version="v1")
NEW = attrs.evolve(OLD, id="new", version="v2")
STEPS = settings(max_examples=40, stateful_step_count=20, deadline=None)
SOME_VMS = st.sets(st.integers(min_value=0, max_value=2), min_size=1)
REQUESTS_PER_SECOND = 25


@attrs.define
class Vm:
    """One VM; `read` is the number of the store's changes that it has applied."""

    rollouts: Rollouts
    read: int = 0
    requests: int = 0
    tried: int = 0


class RolloutMachine(RuleBasedStateMachine):
    """The rollout as a state machine; `next_stage` is replaced to plant faults."""

    next_stage: Callable[..., Stage] = staticmethod(rollout_plan.next_stage)

    def __init__(self) -> None:
        super().__init__()
        self.now, self.bounds = 100.0, ExposureBounds()
        self.changes: list[tuple[str, object]] = [("order", ORDER)]
        self.shift_at = self.completed_at = 0.0
        self.finals: list[Stage] = []
        self.stopped: list[Vm] = []
        self.vms = [self._start(is_new=True) for _ in range(3)]

    @initialize(is_bad=st.booleans(), seed=st.integers(0, 1000))
    def order(self, is_bad: bool, seed: int) -> None:
        self.is_bad, self.rng = is_bad, random.Random(seed)

    @rule(served=SOME_VMS, recorded=SOME_VMS, updated=SOME_VMS, stepped=SOME_VMS)
    def second(
        self, served: set[int], recorded: set[int], updated: set[int], stepped: set[int]
    ) -> None:
        """Advance by a second, in which some VMs perform some of their tasks."""
        self.now += 1.0
        for vm in served:
            self.serve(vm)
        for vm in recorded:
            self.record(vm)
        for vm in updated:
            self._apply_changes(self.vms[vm], is_new=True)
        for vm in stepped:
            self.step(vm)

    @rule(vm=st.integers(min_value=0, max_value=2))
    def restart(self, vm: int) -> None:
        """Restart a VM, which then knows only the store's entries and not the age of the order."""
        self.stopped.append(self.vms[vm])
        self.vms[vm] = self._start(is_new=False)

    def serve(self, vm: int) -> None:
        one = self.vms[vm]
        for _ in range(REQUESTS_PER_SECOND):
            is_tried = one.rollouts.admit_to_trial("s", uniform=self.rng.random())
            uses_new = one.rollouts.version_rule("s").is_used
            one.requests += 1
            one.tried += is_tried
            is_new = is_tried or uses_new
            ms = None if is_new and self.is_bad else 20.0
            one.rollouts.record_answer(NEW if is_new else OLD, "r", ms)

    def record(self, vm: int) -> None:
        rollouts = self.vms[vm].rollouts
        if rollouts.active:
            self.changes.append((f"record {vm}", rollouts.record("s", str(vm))))

    def step(self, vm: int) -> None:
        """Take the next step as this VM sees it, by a conditional write."""
        one = self.vms[vm]
        stage, elapsed = one.rollouts.stage("s"), one.rollouts.elapsed("s")
        if stage.is_final or elapsed is None:
            return
        target = type(self).next_stage(
            stage,
            one.rollouts.verdict("s"),
            elapsed=elapsed,
            stage_elapsed=one.rollouts.stage_elapsed("s"),
            term=TERM_S,
        )
        key = "shift" if target is Stage.SHIFT else "status"
        is_stale = any(changed == key for changed, _ in self.changes[one.read :])
        if target is stage or is_stale:
            return
        if target is Stage.SHIFT:
            self.shift_at = self.shift_at or self.now
            self.changes.append((key, RolloutShift(order=ORDER.revision)))
            return
        self.finals.append(target)
        self.completed_at = self.now if target is Stage.COMPLETED else self.completed_at
        state = next(state for state, final in FINAL_STAGES.items() if final is target)
        revision = len(self.changes) + 1
        self.changes.append((key, RolloutStatus(version="v2", state=state, revision=revision)))

    @invariant()
    def reaches_one_final_stage(self) -> None:
        assert len(set(self.finals)) <= 1

    @invariant()
    def completes_after_the_shift_period(self) -> None:
        if self.completed_at:
            assert self.shift_at
            assert (
                self.completed_at - self.shift_at
                >= min(SHIFT_DURATION_S, MAX_SHIFT_FRACTION * TERM_S) - 0.01
            )

    @invariant()
    def never_completes_a_failing_version(self) -> None:
        assert not (self.completed_at and self.is_bad)

    @invariant()
    def trial_requests_stay_within_the_exposure(self) -> None:
        vms = [*self.vms, *self.stopped]
        allowed = self.bounds.share * sum(vm.requests for vm in vms)
        assert sum(vm.tried for vm in vms) <= allowed + 3 * self.bounds.slack + len(vms)

    def _start(self, *, is_new: bool) -> Vm:
        rollouts = Rollouts(self.bounds, now=lambda: self.now, on_change=lambda: None)
        vm = Vm(rollouts)
        self._apply_changes(vm, is_new=is_new)
        return vm

    def _apply_changes(self, vm: Vm, *, is_new: bool) -> None:
        for key, value in self.changes[vm.read :]:
            if key == "order":
                vm.rollouts.apply_order("s", value, is_new=is_new)
            elif key == "shift":
                vm.rollouts.apply_shift("s", value)
            elif key == "status":
                vm.rollouts.apply_status("s", value)
            else:
                vm.rollouts.apply_record("s", key.removeprefix("record "), value)
        vm.read = len(self.changes)


def skips_the_shift(stage: Stage, verdict: Verdict, **times: float) -> Stage:
    target = rollout_plan.next_stage(stage, verdict, **times)
    return Stage.COMPLETED if target is Stage.SHIFT else target


def treats_missing_evidence_as_sound(stage: Stage, verdict: Verdict, **times: float) -> Stage:
    judged = Verdict.SOUND if verdict is not Verdict.SOUND else verdict
    return rollout_plan.next_stage(stage, judged, **times)


def test_vms_with_a_delayed_view_decide_once_and_within_bounds() -> None:
    run_state_machine_as_test(RolloutMachine, settings=STEPS)


@pytest.mark.parametrize(
    "faulty_next_stage",
    [skips_the_shift, treats_missing_evidence_as_sound],
)
def test_planted_fault_is_found(faulty_next_stage: Callable[..., Stage]) -> None:
    machine = type("Planted", (RolloutMachine,), {"next_stage": staticmethod(faulty_next_stage)})
    more = settings(STEPS, max_examples=300, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=more)
