"""Decide, as a guardian, when to probe a ward, when to suspect it and when to remove it.

Terms:
  guardian     probes a ward once a second, confirms its rights, and alone may propose its removal
  ward         a member that this VM guards
  helper       another VM that sends an indirect probe to a ward on behalf of a guardian
  silence      time since the last answer of a ward to this VM or to a helper
  unconfirmed  a ward to which no confirmations are sent, since its removal was proposed

Flow: `due` returns the probes to send with their confirmations, `unresponsive` the wards to
suspect, and `removals` the wards to remove. `on_ack` and `on_alive` record answers, `on_alive` and
`on_indirect_timeout` the results of indirect probes.

VMs crash, hang or pause, and links fail in one direction or lose a fifth of their packets. At a
packet loss of 20%, a probe and its answer both arrive in 64% of cases. Once an answer is missing, a
guardian probes twice a second and asks three helpers. A silence of 2.2 s therefore occurs by chance
less than once in a hundred rounds, and a silence of 3.2 s with helpers less than once in a hundred
thousand rounds. The shorter silence is enough for a suspicion, which only stops traffic; a removal
needs the longer one, as it moves ownership.

Guards: without helpers, a link that fails in one direction would lead to the removal of a live VM.
Without `reset_silences`, a guardian that resumes after a pause would propose the removal of all of
its wards.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Final

import attrs

from berylspindle_decisions.views import GUARDIANS, wards_of
from berylspindle_model.control_messages import NOT_CONFIRMED
from berylspindle_model.topology import View, Vm


@attrs.frozen(kw_only=True)
class ProbeLimits:
    """Intervals and timeouts of probing, in seconds.

    Attributes:
        interval: time between two probes of a ward that answers.
        retry: time after which an unanswered probe is sent again.
        ask_helpers: silence after which helpers are asked for indirect probes; longer than
            `interval` and `retry`, or helpers would be asked without a failure.
        ask_again: time between two requests to helpers.
        suspect: silence after which a ward is suspected.
        remove: silence after which its removal is proposed.
        propose_again: time between two proposals.
        stall: gap between two ticks that shows that this VM itself did not run.
        unhelped: silence after which a ward is suspected without a helper's result, since all other
            VMs of the data centre may have failed. If instead this VM is isolated, no live ward is
            removed, since an isolated VM can't write a removal to the store.
        orphan: silence after which an orphan may be removed. An orphan is a ward that is missing
            from the VM list, and whose acknowledged epoch is too old for a removal by the usual
            rule; see `_may_remove`.
        helpers: maximum number of helpers of the own data centre that are asked at a time; in total
            one more is asked, from other data centres.
        guardians: number of guardians of each member.
    """

    interval: float = 1.0
    retry: float = 0.3
    ask_helpers: float = 1.3
    ask_again: float = 0.4
    suspect: float = 2.2
    remove: float = 3.2
    propose_again: float = 2.0
    stall: float = 1.0
    unhelped: float = 8.0
    orphan: float = 30.0
    helpers: int = 3
    guardians: int = GUARDIANS


@attrs.frozen
class Removal:
    """A proposal to remove a member from the view with this epoch."""

    vm: str
    epoch: int


@attrs.frozen
class Probe:
    """A probe that is due, with the number of the answer that it confirms."""

    vm: Vm
    confirms: int


@attrs.define
class _Ward:
    vm: Vm
    guarded_since_epoch: int
    acked_epoch: int
    answered_at: float
    sent_at: float = -math.inf
    ask_at: float = -math.inf
    propose_at: float = -math.inf
    indirect_timeout_at: float = -math.inf
    last_number: int = 0
    last_answered: int = NOT_CONFIRMED
    unconfirmed: bool = False


class Wards:
    """The wards of one guardian."""

    def __init__(self, me: Vm, limits: ProbeLimits) -> None:
        self._me: Final = me
        self._limits: Final = limits
        self._wards: dict[str, _Ward] = {}
        self._view: View | None = None

    @property
    def vms(self) -> tuple[Vm, ...]:
        """Return the guarded VMs."""
        return tuple(ward.vm for ward in self._wards.values())

    @property
    def unconfirmed(self) -> frozenset[str]:
        """Return the unconfirmed wards, whose removal was proposed."""
        return frozenset(name for name, ward in self._wards.items() if ward.unconfirmed)

    def orphans(self, now: float) -> frozenset[str]:
        """Return the wards that may be removed only if they are missing from the VM list.

        They have not answered for half of `ProbeLimits.orphan`, and the last epoch that they
        acknowledged is older than the first one in which this VM is known to guard them.
        """
        return frozenset(
            name
            for name, ward in self._wards.items()
            if now - ward.answered_at > self._limits.orphan / 2
            and ward.acked_epoch < ward.guarded_since_epoch
        )

    def adopt(self, view: View, now: float) -> None:
        """Adopt a newer view of the own data centre."""
        old, self._view = self._view, view
        old_wards, self._wards = self._wards, {}
        one_step = old is not None and view.epoch == old.epoch + 1
        for vm in wards_of(view, self._me.id, self._limits.guardians):
            joined = view.joined_at(vm.id) or 0
            ward = old_wards.get(vm.id)
            if ward is None or joined == view.epoch:
                ward = _Ward(vm, view.epoch, joined, now)
            elif not one_step:
                # This VM may not have been its guardian in the skipped epochs.
                ward.guarded_since_epoch = view.epoch
            # The store now rejects proposals for the old epoch, so confirming is safe again.
            ward.unconfirmed = False
            ward.propose_at = -math.inf
            self._wards[vm.id] = ward

    def due(self, now: float) -> list[Probe]:
        """Return the probes to send now; the caller reports each one to `on_sent`."""
        probes: list[Probe] = []
        for ward in self._wards.values():
            is_answered = ward.last_answered >= ward.last_number
            wait = self._limits.interval if is_answered else self._limits.retry
            if now - ward.sent_at >= wait:
                confirms = NOT_CONFIRMED if ward.unconfirmed else ward.last_answered
                probes.append(Probe(ward.vm, confirms))
        return probes

    def on_sent(self, vm_id: str, number: int, now: float) -> None:
        """Record the number of a probe that was sent."""
        ward = self._wards[vm_id]
        ward.last_number, ward.sent_at = number, now

    def on_ack(self, vm_id: str, number: int) -> None:
        """Record the answer to a direct probe; the next probe confirms it."""
        ward = self._wards.get(vm_id)
        if ward is not None:
            ward.last_answered = max(ward.last_answered, min(number, ward.last_number))

    def on_alive(self, vm_id: str, epoch: int, now: float) -> None:
        """Record that a ward answered this VM or a helper, with the epoch that it knows."""
        ward = self._wards.get(vm_id)
        if ward is None:
            return
        ward.answered_at = now
        ward.indirect_timeout_at = -math.inf
        ward.acked_epoch = max(ward.acked_epoch, epoch)

    def on_indirect_timeout(self, vm_id: str, now: float) -> None:
        """Record that an indirect probe of a ward timed out."""
        ward = self._wards.get(vm_id)
        if ward is not None:
            ward.indirect_timeout_at = now

    def resume_confirmations(self, vm_id: str) -> None:
        """Resume confirmations to a ward; its removal must be known to have had no effect."""
        ward = self._wards.get(vm_id)
        if ward is not None:
            ward.unconfirmed = False

    def reset_silences(self, now: float) -> None:
        """Reset all silences to zero after a time in which this VM itself did not run."""
        for ward in self._wards.values():
            ward.answered_at = now
            ward.indirect_timeout_at = -math.inf

    def due_for_helpers(self, now: float) -> list[Vm]:
        """Return the wards for which helpers are to be asked now."""
        due: list[Vm] = []
        for ward in self._wards.values():
            if now - ward.answered_at > self._limits.ask_helpers and now >= ward.ask_at:
                ward.ask_at = now + self._limits.ask_again
                due.append(ward.vm)
        return due

    def unresponsive(self, now: float, *, alone: bool) -> dict[str, float]:
        """Return the wards to suspect, with their silence in seconds.

        `alone` is set if no other VM can act as a helper.
        """
        return {
            name: now - ward.answered_at
            for name, ward in self._wards.items()
            if now - ward.answered_at > self._limits.suspect and self._has_witness(ward, now, alone)
        }

    def removals(
        self, suspected: Collection[str], unlisted: Collection[str], now: float
    ) -> list[Removal]:
        """Return the removals to propose, and stop confirming to those wards.

        `suspected` are the wards returned by `unresponsive`, `unlisted` those missing from the VM
        list.
        """
        chosen: list[Removal] = []
        for name in suspected:
            ward = self._wards[name]
            is_due = now - ward.answered_at > self._limits.remove and now >= ward.propose_at
            if not is_due or not self._may_remove(ward, name in unlisted, now):
                continue
            # Without further confirmations the ward's lease ends even if the proposal took effect
            # and only its reply was lost.
            ward.unconfirmed = True
            ward.propose_at = now + self._limits.propose_again
            chosen.append(Removal(name, self._view.epoch if self._view is not None else 0))
        return chosen

    def _may_remove(self, ward: _Ward, unlisted: bool, now: float) -> bool:
        """Return whether a ward's lease is certain to end without confirmations of this VM.

        The ward's view may have any epoch since the last one that the ward reported. If this VM was
        not a guardian in one of these epochs, the guardians of that epoch may be isolated together
        with the ward and keep renewing its lease: after a removal, two VMs would dispatch. If all
        of those guardians are gone, the VM list and a silence of `orphan` seconds decide.
        """
        if ward.acked_epoch >= ward.guarded_since_epoch:
            return True
        return unlisted and now - ward.answered_at > self._limits.orphan

    def _has_witness(self, ward: _Ward, now: float, alone: bool) -> bool:
        # An isolated VM gets no answers either and must not suspect its wards; a helper's result
        # shows that this VM is reachable.
        freshness = 2 * self._limits.ask_again + self._limits.retry
        if alone or now - ward.indirect_timeout_at <= freshness:
            return True
        return now - ward.answered_at > self._limits.unhelped
