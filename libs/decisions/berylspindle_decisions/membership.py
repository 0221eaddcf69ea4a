"""Send and answer the probes of one VM, and update its dispatch rights and suspicions from them.

Terms:
  guardian, ward, helper   see `guarding`
  indirect probe           a probe by a helper on behalf of a guardian
  cross probe              a probe of a VM of another data centre

Flow: `tick` sends the probes that are due and returns the removals to propose; the handlers answer
messages and update `Wards`, `Ownership` and `Suspicions`. The number of messages that a VM sends
and answers per second doesn't grow with the fleet: three probes, three answers, and a share of the
cross probes.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from berylspindle_decisions.guarding import ProbeLimits, Removal, Wards
from berylspindle_decisions.ownership import Ownership
from berylspindle_decisions.suspicions import Suspicions
from berylspindle_decisions.views import guardians_of
from berylspindle_model.control_messages import (
    NOT_CONFIRMED,
    Ack,
    Datagram,
    Digest,
    Missed,
    Ping,
    PingRequest,
    Reached,
)
from berylspindle_model.topology import View, Vm

Address = tuple[str, int]

# Latest probe numbers of a sender for which the send time of this VM's answer is kept; a guardian
# confirms the latest answer that arrived.
_MAX_KEPT_ANSWERS: Final = 64
# Two VMs have no helper, and neither can determine which of them is isolated.
_TWO_VMS: Final = 2


@attrs.frozen
class OutgoingMessage:
    """A message to send to an address."""

    to: Address
    message: Datagram


@attrs.define
class _IndirectProbe:
    requester: Address
    target: str
    deadline: float


class Prober:
    """The probing of one VM; every method is one step and returns the messages to send.

    `pick` returns a random integer below its argument; `digest` the digest of this VM's state to
    send to a VM.
    """

    def __init__(
        self,
        me: Vm,
        limits: ProbeLimits,
        ownership: Ownership,
        suspicions: Suspicions,
        *,
        pick: Callable[[int], int],
        digest: Callable[[str], Digest],
    ) -> None:
        self._me: Final = me
        self._limits: Final = limits
        self._ownership: Final = ownership
        self._suspicions: Final = suspicions
        self._wards: Final = Wards(me, limits)
        self._pick: Final = pick
        self._digest: Final = digest
        self._views: dict[str, View] = {}
        self._vms: dict[str, Vm] = {}
        self._number = 0
        self._answer_sent_at: dict[str, dict[int, float]] = {}
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._unlisted: frozenset[str] = frozenset()
        self._last_tick: float | None = None
        self._probe_awaited_at = -math.inf
        self._cross_probe_at = -math.inf
        self._leaving = False

    @property
    def wards(self) -> Wards:
        """Return the wards of this VM."""
        return self._wards

    def vm(self, vm_id: str) -> Vm | None:
        """Return a known VM."""
        return self._vms.get(vm_id)

    def adopt(self, view: View, now: float) -> None:
        """Adopt a newer view of any data centre."""
        old = self._views.get(view.data_centre)
        self._views[view.data_centre] = view
        self._vms = {vm.id: vm for known in self._views.values() for vm in known.members}
        self._suspicions.keep_only(frozenset(self._vms))
        self._answer_sent_at = {
            name: sent_at for name, sent_at in self._answer_sent_at.items() if name in self._vms
        }
        if view.data_centre == self._me.data_centre:
            self._wards.adopt(view, now)
        elif old is None or not old.members:
            self._suspicions.record_contact(view.data_centre, now)

    def gossip_peers(self, count: int) -> tuple[Vm, ...]:
        """Return random VMs to gossip to: most of this data centre, at least one of another."""
        near = self._others(self._me.data_centre)
        elsewhere = (name for name in self._views if name != self._me.data_centre)
        far = [vm for name in elsewhere for vm in self._others(name)]
        chosen = self._sample(near, count - 1)
        return (*chosen, *self._sample(far, count - len(chosen)))

    def set_unlisted(self, vm_ids: Iterable[str]) -> None:
        """Set which of `Wards.orphans` are missing from the VM list."""
        self._unlisted = frozenset(vm_ids)

    def stop_guarding(self) -> list[OutgoingMessage]:
        """Stop guarding, so that this VM proposes no more removals; return the announcements."""
        self._leaving = True
        return [self._ping(vm, NOT_CONFIRMED) for vm in self._wards.vms]

    def probes(self, vms: Iterable[Vm]) -> list[OutgoingMessage]:
        """Return one probe for each of these VMs."""
        return [self._ping(vm, NOT_CONFIRMED) for vm in vms]

    def tick(self, now: float) -> tuple[list[OutgoingMessage], list[Removal]]:
        """Return the messages due and the removals to propose; called ten times a second."""
        last, self._last_tick = self._last_tick, now
        if last is not None and now - last > self._limits.stall:
            self._wards.reset_silences(now)
            self._suspicions.reset_ages(now)
        sends = self._expired_indirect_probes(now)
        removals: list[Removal] = []
        if not self._leaving:
            sends.extend(self._probe(now))
            removals = self._evaluate_wards(now)
        sends.extend(self._probe_awaited(now))
        sends.extend(self._cross_probe(now))
        return sends, removals

    def on_ping(self, ping: Ping, source: Address, now: float) -> OutgoingMessage:
        """Return the answer to a probe, and apply the confirmation that the probe may carry."""
        sent_at = self._answer_sent_at.setdefault(ping.sender, {})
        if ping.resigns:
            self._ownership.on_resignation(ping.sender)
        elif ping.confirms in sent_at:
            self._ownership.on_confirmation(ping.sender, ping.epoch, sent_at[ping.confirms])
        # The lease counts from the send time of the answer, which is therefore recorded before the
        # answer is sent.
        sent_at[ping.number] = now
        for old in [number for number in sent_at if number <= ping.number - _MAX_KEPT_ANSWERS]:
            del sent_at[old]
        self._record_alive(ping.sender, ping.incarnation, now)
        view = self._ownership.view
        return OutgoingMessage(
            source,
            Ack(
                self._me.id,
                ping.number,
                view.epoch if view is not None else 0,
                self._suspicions.incarnation,
                math.ceil(self._ownership.remaining_settle_time(now) * 1000),
                self._digest(ping.sender),
            ),
        )

    def on_ack(self, ack: Ack, now: float) -> list[OutgoingMessage]:
        """Handle the answer to a direct or an indirect probe of this VM."""
        self._record_alive(ack.sender, ack.incarnation, now)
        self._ownership.on_epoch_ack(ack.sender, ack.epoch, ack.settling_ms / 1000, now)
        self._wards.on_alive(ack.sender, ack.epoch, now)
        self._wards.on_ack(ack.sender, ack.number)
        probe = self._indirect_probes.pop(ack.number, None)
        if probe is None or probe.target != ack.sender:
            return []
        reached = Reached(self._me.id, ack.sender, ack.epoch, ack.incarnation, ack.settling_ms)
        return [OutgoingMessage(probe.requester, reached)]

    def on_ping_request(
        self, request: PingRequest, source: Address, now: float
    ) -> list[OutgoingMessage]:
        """Start an indirect probe of a VM that left a guardian's probes unanswered."""
        target = self._vms.get(request.target)
        if target is None:
            return []
        send = self._ping(target, NOT_CONFIRMED)
        self._indirect_probes[self._number] = _IndirectProbe(
            source, target.id, now + self._limits.retry
        )
        return [send]

    def on_indirect_success(self, reached: Reached, now: float) -> None:
        """Record that an indirect probe of a VM was answered."""
        self._suspicions.record_alive(reached.target, reached.incarnation)
        self._ownership.on_epoch_ack(reached.target, reached.epoch, reached.settling_ms / 1000, now)
        self._wards.on_alive(reached.target, reached.epoch, now)

    def on_indirect_timeout(self, missed: Missed, now: float) -> None:
        """Record that an indirect probe of a VM also timed out."""
        self._wards.on_indirect_timeout(missed.target, now)

    def _probe(self, now: float) -> list[OutgoingMessage]:
        sends: list[OutgoingMessage] = []
        for probe in self._wards.due(now):
            sends.append(self._ping(probe.vm, probe.confirms))
            self._wards.on_sent(probe.vm.id, self._number, now)
        for ward in self._wards.due_for_helpers(now):
            for helper in self._helpers(ward):
                request = PingRequest(self._me.id, ward.id, self._number)
                sends.append(OutgoingMessage((helper.host, helper.peer_port), request))
        return sends

    def _evaluate_wards(self, now: float) -> list[Removal]:
        unresponsive = self._wards.unresponsive(now, alone=len(self._vms) <= _TWO_VMS)
        for name, seconds in unresponsive.items():
            self._suspicions.raise_suspicion(name, int(seconds), now)
        return self._wards.removals(unresponsive, self._unlisted, now)

    def _record_alive(self, vm_id: str, incarnation: int, now: float) -> None:
        self._suspicions.record_alive(vm_id, incarnation)
        vm = self._vms.get(vm_id)
        if vm is not None:
            self._suspicions.record_contact(vm.data_centre, now)

    def _ping(self, vm: Vm, confirms: int) -> OutgoingMessage:
        self._number += 1
        view = self._views.get(vm.data_centre)
        ping = Ping(
            self._me.id,
            self._number,
            view.epoch if view is not None else 0,
            self._suspicions.incarnation,
            confirms,
            self._leaving,
            self._digest(vm.id),
        )
        return OutgoingMessage((vm.host, vm.peer_port), ping)

    def _expired_indirect_probes(self, now: float) -> list[OutgoingMessage]:
        expired = [
            number for number, probe in self._indirect_probes.items() if probe.deadline < now
        ]
        probes = [self._indirect_probes.pop(number) for number in expired]
        return [
            OutgoingMessage(probe.requester, Missed(self._me.id, probe.target)) for probe in probes
        ]

    def _probe_awaited(self, now: float) -> list[OutgoingMessage]:
        # A VM that joined probes the earlier members until they acknowledge its epoch, and sends
        # indirect probes as well, in case only its own link to one of them is broken.
        if now < self._probe_awaited_at or not self._ownership.awaited_members:
            return []
        self._probe_awaited_at = now + self._limits.retry
        sends: list[OutgoingMessage] = []
        for name in sorted(self._ownership.awaited_members):
            vm = self._vms.get(name)
            if vm is None:
                continue
            sends.append(self._ping(vm, NOT_CONFIRMED))
            for helper in guardians_of(self._views[vm.data_centre], name, 1):
                request = PingRequest(self._me.id, name, self._number)
                if helper.id != self._me.id:
                    sends.append(OutgoingMessage((helper.host, helper.peer_port), request))
        return sends

    def _cross_probe(self, now: float) -> list[OutgoingMessage]:
        # The members share the cross probes: the more there are, the fewer each of them sends.
        if now < self._cross_probe_at:
            return []
        self._cross_probe_at = now + self._limits.interval
        others = [name for name in sorted(self._views) if name != self._me.data_centre]
        local_view = self._views.get(self._me.data_centre)
        members = len(local_view.members) if local_view is not None else 0
        if local_view is not None and local_view.member(self._me.id) is None:
            # No guardian probes a VM before it has joined, so it gets the state of its data centre
            # through the answers to its own probes.
            others.append(self._me.data_centre)
        count = math.ceil(len(others) / max(1, members))
        sends: list[OutgoingMessage] = []
        start = self._pick(len(others)) if others else 0
        for step in range(min(count, len(others))):
            name = others[(start + step) % len(others)]
            chosen = self._sample(self._others(name), 1)
            sends.extend(self._ping(vm, NOT_CONFIRMED) for vm in chosen)
        return sends

    def _helpers(self, ward: Vm) -> tuple[Vm, ...]:
        near = [vm for vm in self._others(ward.data_centre) if vm.id != ward.id]
        far = [vm for vm in self._vms.values() if vm.data_centre != ward.data_centre]
        chosen = self._sample(near, self._limits.helpers)
        return (*chosen, *self._sample(far, 1 + self._limits.helpers - len(chosen)))

    def _others(self, data_centre: str) -> list[Vm]:
        view = self._views.get(data_centre)
        members = view.members if view is not None else ()
        return [vm for vm in members if vm.id != self._me.id]

    def _sample(self, vms: list[Vm], count: int) -> tuple[Vm, ...]:
        left = list(vms)
        chosen: list[Vm] = []
        while left and len(chosen) < count:
            chosen.append(left.pop(self._pick(len(left))))
        return tuple(chosen)
