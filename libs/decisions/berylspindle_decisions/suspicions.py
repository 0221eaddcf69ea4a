"""Keep the VMs that are suspected to have failed, and the data centres that are unreachable.

Terms:
  suspicion     guardians of a VM get no answer from it; spread by gossip, refuted by the VM itself
  incarnation   counts a VM's refutations; a higher one overrides suspicions of a lower one
  beat          seconds for which the guardians had no answer; a higher one renews a suspicion
  age           time since the last contact of this data centre with another one

Flow: a guardian raises a suspicion, digests spread it, and `suspects` returns all that are active.

While VMs send to a VM that has crashed or hangs, one sub-request of every scatter-gather fails with
it. A suspicion only stops that traffic, so a false one costs little and two seconds without an
answer are enough; a removal moves ownership and needs more evidence. Suspicions expire, since a VM
whose refutation was lost would otherwise never get traffic again.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import attrs

from berylspindle_model.control_messages import Suspicion
from berylspindle_model.topology import View

# Guardians renew a suspicion each second, and it is unlikely that six renewals in a row are lost on
# all paths.
EXPIRY_S: Final = 8.0
# Contacts come several times a second, and an age takes two rounds of probes to spread.
UNREACHABLE_AFTER_S: Final = 5.0
MAX_PER_MESSAGE: Final = 6
_TENTHS_PER_S: Final = 10
_MAX_AGE_TENTHS: Final = 9999


@attrs.define
class _Entry:
    incarnation: int
    beat: int
    expires: float
    times_sent: int = 0


class Suspicions:
    """The suspicions known to one VM, and the last contact with each data centre."""

    def __init__(self, me: str, data_centre: str) -> None:
        self._me: Final = me
        self._data_centre: Final = data_centre
        self._incarnation = 0
        self._entries: dict[str, _Entry] = {}
        self._incarnations: dict[str, int] = {}
        self._contacts: dict[str, float] = {}

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this VM; it grows when other VMs suspect this one."""
        return self._incarnation

    def incarnation_of(self, vm_id: str) -> int:
        """Return the highest known incarnation of a VM."""
        return self._incarnations.get(vm_id, 0)

    def raise_suspicion(self, vm_id: str, beat: int, now: float) -> bool:
        """Raise or renew a suspicion as guardian; return whether it is new."""
        return self.merge(Suspicion(vm_id, self.incarnation_of(vm_id), beat), now)

    def merge(self, suspicion: Suspicion, now: float) -> bool:
        """Merge a suspicion from another VM; return whether it is new.

        A suspicion of this VM itself is refuted by a higher incarnation.
        """
        if suspicion.vm == self._me:
            self._incarnation = max(self._incarnation, suspicion.incarnation + 1)
            return False
        if suspicion.incarnation < self.incarnation_of(suspicion.vm):
            return False
        entry = self._entries.get(suspicion.vm)
        self._incarnations[suspicion.vm] = suspicion.incarnation
        rank = (suspicion.incarnation, suspicion.beat)
        if entry is not None and rank <= (entry.incarnation, entry.beat):
            return False
        is_new = entry is None or entry.expires <= now
        self._entries[suspicion.vm] = _Entry(*rank, now + EXPIRY_S)
        return is_new

    def record_alive(self, vm_id: str, incarnation: int) -> bool:
        """Record a message from a VM; return whether its incarnation refutes a suspicion."""
        if incarnation <= self.incarnation_of(vm_id) and vm_id in self._entries:
            return False
        self._incarnations[vm_id] = max(incarnation, self.incarnation_of(vm_id))
        return self._entries.pop(vm_id, None) is not None

    def keep_only(self, vm_ids: frozenset[str]) -> None:
        """Discard the state of VMs that are no longer in a view."""
        for table in (self._entries, self._incarnations):
            for name in [name for name in table if name not in vm_ids]:
                table.pop(name)

    def suspicions_for(self, vm_id: str, now: float) -> tuple[Suspicion, ...]:
        """Return suspicions to send to a VM: its own first, then those sent least often."""
        if not self._entries:
            return ()
        active = [(name, e) for name, e in self._entries.items() if e.expires > now]
        active.sort(key=lambda pair: (pair[0] != vm_id, pair[1].times_sent))
        for _, entry in active[:MAX_PER_MESSAGE]:
            entry.times_sent += 1
        return tuple(Suspicion(name, e.incarnation, e.beat) for name, e in active[:MAX_PER_MESSAGE])

    def record_contact(self, data_centre: str, at: float) -> None:
        """Record that this data centre had contact with `data_centre` at the time `at`."""
        self._contacts[data_centre] = max(at, self._contacts.get(data_centre, -math.inf))

    def reset_ages(self, now: float) -> None:
        """Reset all ages to zero after a time in which this VM itself did not run."""
        self._contacts = dict.fromkeys(self._contacts, now)
        for entry in self._entries.values():
            entry.expires = max(entry.expires, now)

    def contact_ages(self, names: Iterable[str], now: float) -> tuple[int, ...]:
        """Return the ages to send to other VMs, in tenths of a second.

        Each hop adds one tenth. Otherwise an age would shrink by the transit time of each message,
        and two VMs could keep the age of an unreachable data centre low for ever.
        """
        return tuple(self._age(name, now) for name in names)

    def merge_contact_ages(self, names: Iterable[str], ages: tuple[int, ...], now: float) -> None:
        """Merge the ages from another VM of this data centre."""
        for name, age in zip(names, ages, strict=False):
            if name in self._contacts and age < _MAX_AGE_TENTHS:
                self.record_contact(name, now - age / _TENTHS_PER_S)

    def unreachable_data_centres(self, now: float) -> frozenset[str]:
        """Return the data centres without a contact for `UNREACHABLE_AFTER_S`."""
        overdue = (name for name, at in self._contacts.items() if now - at > UNREACHABLE_AFTER_S)
        return frozenset(name for name in overdue if name != self._data_centre)

    def suspects(self, views: Iterable[View], now: float) -> frozenset[str]:
        """Return the VMs to avoid: suspected ones, and all of unreachable data centres."""
        unreachable = self.unreachable_data_centres(now)
        unreachable_vms = {
            vm.id for view in views if view.data_centre in unreachable for vm in view.members
        }
        active = {name for name, entry in self._entries.items() if entry.expires > now}
        return frozenset(unreachable_vms | active)

    def _age(self, name: str, now: float) -> int:
        if name == self._data_centre:
            return 0
        contact_at = self._contacts.get(name)
        if contact_at is None:
            return _MAX_AGE_TENTHS
        return min(_MAX_AGE_TENTHS, math.ceil(max(0.0, now - contact_at) * _TENTHS_PER_S) + 1)
