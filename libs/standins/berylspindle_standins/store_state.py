"""The state of the platform's store, without sockets: entries, revisions, leases, history.

Terms:
  history   every change with its time, so that a lagging read can answer as of earlier
  log       the last changes, for watches; older ones are compacted

Flow: each method takes the present time, lets leases lapse that are due, and then acts. A refused
compare-and-swap raises `ConflictError` with the present entry.
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
HISTORY_SECONDS: Final = 60.0


class ConflictError(Exception):
    """The entry has another revision than expected."""

    def __init__(self, current: EntryDocument | None) -> None:
        super().__init__(current)
        self.current: Final = current


class UnknownLeaseError(Exception):
    """There is no such lease, or it has lapsed."""


class CompactedError(Exception):
    """The log does not reach back to the asked revision."""


@attrs.define(kw_only=True)
class LeaseState:
    """One lease and the keys bound to it."""

    ttl: float
    lapses_at: float
    keys: set[str] = attrs.field(factory=set)


class StoreState:
    """Entries with compare-and-swap, leases and a log of changes."""

    def __init__(self, *, log_length: int = LOG_LENGTH) -> None:
        self._revision = 0
        self._entries: dict[str, EntryDocument] = {}
        self._bound: dict[str, str] = {}
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
        """Return how many leases are held."""
        return len(self._leases)

    def get(self, key: str, now: float, *, lag: float = 0.0) -> EntryDocument | None:
        """Return the entry as it was `lag` seconds ago."""
        self.lapse(now)
        if lag <= 0:
            return self._entries.get(key)
        return self._as_of(key, now - lag)

    def list(self, prefix: str, now: float, *, lag: float = 0.0) -> Iterator[EntryDocument]:
        """Yield the entries under a prefix as they were `lag` seconds ago, by key."""
        self.lapse(now)
        for key in sorted(self._history):
            if key.startswith(prefix):
                entry = self.get(key, now, lag=lag)
                if entry is not None:
                    yield entry

    def revision_at(self, now: float, *, lag: float = 0.0) -> int:
        """Return the store's revision of `lag` seconds ago."""
        if lag <= 0:
            return self._revision
        at = bisect.bisect_right(self._revisions, (now - lag, self._revision))
        return self._revisions[at - 1][1] if at else 0

    def write(
        self, key: str, value: bytes | None, now: float, *, expect: int, lease: str | None = None
    ) -> EntryDocument:
        """Write or delete an entry if it has the expected revision."""
        self.lapse(now)
        if lease is not None and lease not in self._leases:
            raise UnknownLeaseError
        current = self._entries.get(key)
        if (0 if current is None else current.revision) != expect:
            raise ConflictError(current)
        if value is None and current is None:
            return EntryDocument(key=key, revision=self._revision)
        return self._put(key, value, now, lease)

    def changes(self, prefix: str, after: int) -> tuple[EntryDocument, ...]:
        """Return the changes under a prefix after a revision, oldest first."""
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
        """Return the id of a new lease."""
        lease = f"lease-{next(self._lease_numbers)}"
        self._leases[lease] = LeaseState(ttl=ttl, lapses_at=now + ttl)
        return lease

    def keep_alive(self, lease: str, now: float) -> float:
        """Let a lease begin anew; returns its time to live."""
        self.lapse(now)
        if lease not in self._leases:
            raise UnknownLeaseError
        state = self._leases[lease]
        state.lapses_at = now + state.ttl
        return state.ttl

    def revoke(self, lease: str, now: float) -> None:
        """End a lease and delete what is bound to it."""
        self.lapse(now)
        if lease not in self._leases:
            raise UnknownLeaseError
        self._end(lease, now)

    def lapse(self, now: float) -> bool:
        """End the leases that are due; tell whether there was one."""
        due = [name for name, state in self._leases.items() if state.lapses_at <= now]
        for lease in due:
            self._end(lease, now)
        return bool(due)

    def compact(self) -> None:
        """Forget the log, so that a watch must list anew."""
        self._log.clear()

    def _end(self, lease: str, now: float) -> None:
        for key in sorted(self._leases.pop(lease).keys):
            self._put(key, None, now, None)

    def _put(self, key: str, value: bytes | None, now: float, lease: str | None) -> EntryDocument:
        self._unbind(key)
        self._revision += 1
        entry = EntryDocument(key=key, revision=self._revision, value=value)
        if value is None:
            del self._entries[key]
        else:
            self._entries[key] = entry
        if lease is not None:
            self._leases[lease].keys.add(key)
            self._bound[key] = lease
        self._log.append(entry)
        self._remember(entry, now)
        return entry

    def _unbind(self, key: str) -> None:
        lease = self._leases.get(self._bound.pop(key, ""))
        if lease is not None:
            lease.keys.discard(key)

    def _remember(self, entry: EntryDocument, now: float) -> None:
        history = self._history.setdefault(entry.key, [])
        history.append((now, entry))
        # The newest one from before the horizon is what a read that lags so far must answer.
        while len(history) > 1 and history[1][0] < now - HISTORY_SECONDS:
            history.pop(0)
        self._revisions.append((now, entry.revision))
        if len(self._revisions) > 2 * LOG_LENGTH:
            del self._revisions[:LOG_LENGTH]

    def _as_of(self, key: str, then: float) -> EntryDocument | None:
        found = None
        for changed_at, entry in self._history.get(key, ()):
            if changed_at > then:
                break
            found = entry
        return None if found is None or found.value is None else found
