"""Decide which entries of the store take effect, and which are deferred after an outage.

Terms:
  applied     the latest entry of a key that is in effect
  settling    the time after an outage of the store in which deletions are deferred, counted from
              its first answer to any VM; every live process announces itself again within it
  copy        a state of some seconds ago from which the store may return after an outage; later
              changes are lost, and their writers write them again
  superseded  an entry that was replaced or deleted

Flow: `apply` receives each entry and returns whether it takes effect now. `take_settled` returns
the deferred entries whose time has come. Times are in seconds of the caller's clock.

Guards: leases of live replicas expire while the store is unavailable, and their entries are
deleted. If these deletions were applied, a service would be left without a replica just when the
store is back. A copy holds entries as they were before a known change, such as a replica as ready
that is known to be draining or gone. They have the key, number and value of a superseded entry and
are deferred like deletions; an entry that is written after the return matches none of those.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Collection
from typing import Final

import xxhash

from berylspindle_decisions.confirmed_span import DEFAULT_MAX_GAP_S
from berylspindle_store.revisions import number_of
from berylspindle_store.store import StoredValue

SETTLE_S: Final = 2.5
VM_SETTLE_S: Final = 13.0
"""Seconds after an outage of the store in which entries are deferred: `VM_SETTLE_S` for entries of
VMs, `SETTLE_S` for all others. A VM whose lease has expired writes its entry again only at its next
renewal."""

VM_EXPIRY_S: Final = 12.0
"""Seconds after the beginning of an outage before which no lease of a live VM expires. The shorter
lease of two kinds takes 15 s and is renewed every 1.5 s (`vm_announcer`)."""

MAX_SUPERSEDED: Final = 4000
"""Superseded entries that are kept; a copy is some seconds old, and a second has tens of
changes."""

_Identity = tuple[str, int, int]
"""Key, number and hash of the value of an entry, which it keeps in a copy of the store."""


class AppliedEntries:
    """The applied and deferred entries of one VM.

    `is_vm_key` returns whether a key belongs to a VM's entry, and `is_same_change` whether two
    entries with equal values mean the same. No lease of a live process but a VM expires sooner than
    `expiry` seconds after the beginning of an outage.
    """

    def __init__(
        self,
        *,
        is_vm_key: Callable[[str], bool],
        is_same_change: Callable[[StoredValue, StoredValue], bool],
        expiry: float = DEFAULT_MAX_GAP_S,
    ) -> None:
        self._is_vm_key: Final = is_vm_key
        self._is_same_change: Final = is_same_change
        self._applied: Final[dict[str, StoredValue]] = {}
        self._deferred: Final[dict[str, StoredValue]] = {}
        self._superseded: Final[OrderedDict[_Identity, None]] = OrderedDict()
        self._expiry: Final = expiry
        self._settled_from = -math.inf
        self._gap_from = -math.inf

    @property
    def next_settled_at(self) -> float | None:
        """Return when the next deferred entry takes effect, or None if none is deferred."""
        return min(map(self.settles_at, self._deferred), default=None)

    @property
    def deferred_deletions(self) -> int:
        """Return the number of deferred deletions of entries other than those of VMs."""
        return sum(
            entry.value is None and not self._is_vm_key(key)
            for key, entry in self._deferred.items()
        )

    def is_deferred(self, key: str) -> bool:
        """Return whether an entry of a key is deferred."""
        return key in self._deferred

    def settles_at(self, key: str) -> float:
        """Return until when a deletion of a key is deferred."""
        return self._settled_from + (VM_SETTLE_S if self._is_vm_key(key) else SETTLE_S)

    def known_revision(self, key: str) -> int:
        """Return the revision of the applied entry of a key, or 0 if there is none."""
        applied = self._applied.get(key)
        return applied.revision if applied is not None else 0

    def missing_keys(self, listed: Collection[str]) -> list[str]:
        """Return the keys of applied and deferred entries that a list does not have."""
        return [key for key in {**self._applied, **self._deferred} if key not in listed]

    def set_settled_from(self, since: float | None, *, gap_from: float = -math.inf) -> None:
        """Defer entries for some time after `since`, the first answer of the store after an outage.

        None if there was no outage. The time does not change while the store answers any VM, and an
        earlier one ends the deferral. `gap_from` is the last answer before the outage; a deletion
        is deferred only once a lease that was renewed before it may have expired.
        """
        self._settled_from = -math.inf if since is None else since
        self._gap_from = gap_from

    def apply(self, now: float, entry: StoredValue) -> bool:
        """Return whether an entry takes effect now; one that is older than the applied does not."""
        if entry.value is None:
            return self._delete(now, entry)
        self._deferred.pop(entry.key, None)
        if entry.revision <= self.known_revision(entry.key):
            return False
        if now < self.settles_at(entry.key) and _identity(entry) in self._superseded:
            self._deferred[entry.key] = entry
            return False
        return self._put(entry)

    def forget_effect(self, key: str) -> None:
        """Have the next entry of a key take effect, or its absence from a list."""
        self._applied[key] = StoredValue(key=key, value=None, revision=0)

    def take_settled(self, now: float) -> list[StoredValue]:
        """Return the deferred entries that take effect now."""
        settled = [key for key in self._deferred if now >= self.settles_at(key)]
        entries = [self._deferred.pop(key) for key in settled]
        return [
            entry
            for entry in entries
            if (self._delete(now, entry) if entry.value is None else self._put(entry))
        ]

    def _put(self, entry: StoredValue) -> bool:
        known = self._applied.get(entry.key)
        self._applied[entry.key] = entry
        if known is None:
            return True
        if known.value == entry.value and self._is_same_change(known, entry):
            return False
        self._supersede(known)
        return True

    def _delete(self, now: float, entry: StoredValue) -> bool:
        known = self._applied.get(entry.key)
        if known is None:
            self._deferred.pop(entry.key, None)
            return False
        if entry.revision < known.revision:
            return False
        if self._expires_from(entry.key) <= now < self.settles_at(entry.key):
            self._deferred[entry.key] = entry
            return False
        del self._applied[entry.key]
        self._supersede(known)
        return True

    def _expires_from(self, key: str) -> float:
        return self._gap_from + (VM_EXPIRY_S if self._is_vm_key(key) else self._expiry)

    def _supersede(self, entry: StoredValue) -> None:
        self._superseded[_identity(entry)] = None
        if len(self._superseded) > MAX_SUPERSEDED:
            self._superseded.popitem(last=False)


def _identity(entry: StoredValue) -> _Identity:
    return entry.key, number_of(entry.revision), xxhash.xxh3_64_intdigest(entry.value or b"")
