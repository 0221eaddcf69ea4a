"""The state of the platform's store, without sockets: entries, revisions, leases, history.

Terms:
  history   the recent changes of each key with their times, for reads of a past state
  log       the latest changes, for watches; older ones are compacted

Flow: most methods take the current time and first expire the leases that are due. A failed
compare-and-swap raises `ConflictError` with the current entry.
"""

from __future__ import annotations

import bisect
import collections
import itertools
from collections.abc import Iterator
from typing import Final

import attrs

from berylspindle_store.routes import EntryDocument

LOG_LENGTH: Final = 10_000
HISTORY_S: Final = 60.0


class ConflictError(Exception):
    """The entry does not have the expected revision."""

    def __init__(self, current: EntryDocument | None) -> None:
        super().__init__(current)
        self.current: Final = current


class UnknownLeaseError(Exception):
    """The lease does not exist or has expired."""


class CompactedError(Exception):
    """The requested revision is older than the log."""


@attrs.define(kw_only=True)
class LeaseState:
    """One lease and the keys attached to it; times in seconds."""

    ttl: float
    expires_at: float
    keys: set[str] = attrs.field(factory=set)


class StoreState:
    """Entries with compare-and-swap, leases and a log of changes."""

    def __init__(self, *, log_length: int = LOG_LENGTH) -> None:
        self._revision = 0
        self._entries: dict[str, EntryDocument] = {}
        self._lease_by_key: dict[str, str] = {}
        self._leases: dict[str, LeaseState] = {}
        self._lease_numbers: Final = itertools.count(1)
        self._log: collections.deque[EntryDocument] = collections.deque(maxlen=log_length)
        self._history: dict[str, list[tuple[float, EntryDocument]]] = {}
        self._revisions: list[tuple[float, int]] = []

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._revision

    @property
    def leases(self) -> int:
        """Return the number of leases."""
        return len(self._leases)

    def get(self, key: str, now: float, *, lag: float = 0.0) -> EntryDocument | None:
        """Return the entry as it was `lag` seconds ago."""
        self.expire_leases(now)
        if lag <= 0:
            return self._entries.get(key)
        return self._entry_at(key, now - lag)

    def list(self, prefix: str, now: float, *, lag: float = 0.0) -> Iterator[EntryDocument]:
        """Yield the entries under a prefix as they were `lag` seconds ago, sorted by key."""
        self.expire_leases(now)
        for key in sorted(self._history):
            if key.startswith(prefix):
                entry = self.get(key, now, lag=lag)
                if entry is not None:
                    yield entry

    def revision_at(self, now: float, *, lag: float = 0.0) -> int:
        """Return the store's revision as it was `lag` seconds ago."""
        if lag <= 0:
            return self._revision
        index = bisect.bisect_right(self._revisions, (now - lag, self._revision))
        return self._revisions[index - 1][1] if index else 0

    def write(
        self, key: str, value: bytes | None, now: float, *, expect: int, lease: str | None = None
    ) -> EntryDocument:
        """Write an entry, or delete it if `value` is None, if it has the expected revision.

        Raises ConflictError for another revision and UnknownLeaseError for an unknown lease.
        """
        self.expire_leases(now)
        if lease is not None and lease not in self._leases:
            raise UnknownLeaseError
        current = self._entries.get(key)
        if (0 if current is None else current.revision) != expect:
            raise ConflictError(current)
        if value is None and current is None:
            return EntryDocument(key=key, revision=self._revision)
        return self._apply(key, value, now, lease)

    def changes(self, prefix: str, after: int) -> tuple[EntryDocument, ...]:
        """Return the changes under a prefix after a revision, oldest first.

        Raises CompactedError if the log no longer has all of them.
        """
        if after < self._revision and (not self._log or self._log[0].revision > after + 1):
            raise CompactedError
        found: list[EntryDocument] = []
        for entry in reversed(self._log):
            if entry.revision <= after:
                break
            if entry.key.startswith(prefix):
                found.append(entry)
        return tuple(reversed(found))

    def grant(self, ttl: float, now: float) -> str:
        """Create a lease and return its id."""
        lease = f"lease-{next(self._lease_numbers)}"
        self._leases[lease] = LeaseState(ttl=ttl, expires_at=now + ttl)
        return lease

    def keep_alive(self, lease: str, now: float) -> float:
        """Renew a lease. Return its time to live in seconds."""
        self.expire_leases(now)
        if lease not in self._leases:
            raise UnknownLeaseError
        state = self._leases[lease]
        state.expires_at = now + state.ttl
        return state.ttl

    def revoke(self, lease: str, now: float) -> None:
        """End a lease and delete the entries attached to it."""
        self.expire_leases(now)
        if lease not in self._leases:
            raise UnknownLeaseError
        self._end_lease(lease, now)

    def expire_leases(self, now: float) -> bool:
        """End the leases that have expired. Return whether there were any."""
        due = [name for name, state in self._leases.items() if state.expires_at <= now]
        for lease in due:
            self._end_lease(lease, now)
        return bool(due)

    def compact(self) -> None:
        """Clear the log, so that a watch must list again."""
        self._log.clear()

    def _end_lease(self, lease: str, now: float) -> None:
        for key in sorted(self._leases.pop(lease).keys):
            self._apply(key, None, now, None)

    def _apply(self, key: str, value: bytes | None, now: float, lease: str | None) -> EntryDocument:
        self._detach_lease(key)
        self._revision += 1
        entry = EntryDocument(key=key, revision=self._revision, value=value)
        if value is None:
            del self._entries[key]
        else:
            self._entries[key] = entry
        if lease is not None:
            self._leases[lease].keys.add(key)
            self._lease_by_key[key] = lease
        self._log.append(entry)
        self._record_history(entry, now)
        return entry

    def _detach_lease(self, key: str) -> None:
        lease = self._leases.get(self._lease_by_key.pop(key, ""))
        if lease is not None:
            lease.keys.discard(key)

    def _record_history(self, entry: EntryDocument, now: float) -> None:
        history = self._history.setdefault(entry.key, [])
        history.append((now, entry))
        # The newest change before the horizon is kept: a read with the maximum lag returns it.
        while len(history) > 1 and history[1][0] < now - HISTORY_S:
            history.pop(0)
        self._revisions.append((now, entry.revision))
        if len(self._revisions) > 2 * LOG_LENGTH:
            del self._revisions[:LOG_LENGTH]

    def _entry_at(self, key: str, as_of: float) -> EntryDocument | None:
        found = None
        for changed_at, entry in self._history.get(key, ()):
            if changed_at > as_of:
                break
            found = entry
        return None if found is None or found.value is None else found
