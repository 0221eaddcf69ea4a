"""Bounded request queue of one backend server, fair between callers.

Load: a few callers send most of the requests, long requests are mixed with short ones, and requests
are queued beyond their deadlines. In a FIFO queue one caller's hundred requests are ahead of
another's single one, long requests occupy all slots while short ones wait, and the server processes
requests whose callers no longer wait.

Terms:
  cost         expected work of an entry; an ordinary search costs 1
  served cost  cost of a caller's entries served so far; the caller with the lowest served cost is
               served next
  long         an entry whose cost is at least `long_cost`
  victim       a queued entry that is evicted for another, answered with CALLER_OVER_SHARE

Flow: `FairQueue.push` accepts an entry, refuses it, or accepts it and returns victims. `pop`
returns the next entry and all those that can no longer meet their deadlines; the owner answers
these at once. `flush` empties the queue when the server leaves or its data centre is taken out.

Limits: 64 entries keep 3 slots busy for 21 service times, after which most deadlines have passed. A
caller exceeds its share when its queued cost is more than an equal part of the total. Long entries
may use all slots but one, so that short entries wait only for short ones.
"""

from __future__ import annotations

import bisect
from typing import Generic, TypeVar

import attrs

from berylspindle_decisions.drain_rate import DrainRate
from berylspindle_model.errors import ErrorKind, Refusal, RunState

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class FairQueueOptions:
    """Settings of one queue.

    Attributes:
        max_entries: maximum number of queued entries.
        long_cost: minimum cost of a long entry, in ordinary searches.
        default_retry_ms: Retry-After while the drain rate is unknown.
    """

    max_entries: int = 64
    long_cost: float = 4.0
    default_retry_ms: int = 100


@attrs.frozen(kw_only=True)
class Pushed(Generic[T]):
    """The entry was queued; `evicted` were evicted for it."""

    evicted: tuple[T, ...] = ()


@attrs.frozen(kw_only=True)
class Popped(Generic[T]):
    """The entry to run now, if any, and those that can no longer meet their deadlines."""

    item: T | None
    expired: tuple[T, ...]
    long: bool = False


@attrs.define(kw_only=True, eq=False)
class _Entry(Generic[T]):
    item: T
    caller: str
    deadline: float
    cost: float
    number: int

    @property
    def rank(self) -> tuple[float, int]:
        return (self.deadline, self.number)


@attrs.define(kw_only=True, eq=False)
class _CallerQueue(Generic[T]):
    """Queued entries of one caller, earliest deadline first."""

    entries: list[_Entry[T]] = attrs.field(factory=list)
    served_cost: float = 0.0
    cost: float = 0.0


class FairQueue(Generic[T]):
    """Bounded queue that serves the caller with the lowest served cost first."""

    def __init__(self, options: FairQueueOptions | None = None) -> None:
        self._options = options or FairQueueOptions()
        self._callers: dict[str, _CallerQueue[T]] = {}
        self._size = 0
        self._next_number = 0
        self._served_floor = 0.0
        self._drain = DrainRate()

    def __len__(self) -> int:
        return self._size

    @property
    def cost(self) -> float:
        """Return the total cost of the queued entries."""
        return sum(queue.cost for queue in self._callers.values())

    def queued(self, caller: str) -> int:
        """Return the number of queued entries of one caller."""
        queue = self._callers.get(caller)
        return len(queue.entries) if queue is not None else 0

    def push(
        self, now: float, item: T, *, caller: str, deadline: float, cost: float = 1.0
    ) -> Pushed[T] | Refusal:
        """Queue an item until `deadline`, in seconds on the clock of `now`."""
        if deadline <= now:
            return Refusal(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed", RunState.NOT_RUN)
        victims: tuple[T, ...] = ()
        if self._size >= self._options.max_entries:
            victim = self._choose_victim(caller, cost)
            if victim is None:
                return self._refuse(now, caller, cost)
            self._remove_entry(victim)
            victims = (victim.item,)
        self._insert(item, caller=caller, deadline=deadline, cost=cost)
        return Pushed(evicted=victims)

    def pop(
        self, now: float, *, expected_service: float, long_running: int = 0, slots: int = 2
    ) -> Popped[T]:
        """Return the next item of the caller with the lowest served cost.

        `expected_service` is in seconds for a cost of 1. `long_running` is the number of long
        entries in service and `slots` the current concurrency limit: a long entry is skipped while
        it would take the last slot that is available to short ones.
        """
        expired = self.expire(now, expected_service=expected_service)
        long_allowed = long_running < max(1, slots - 1)
        entry = self._next_entry(long_allowed)
        if entry is None:
            return Popped(item=None, expired=expired)
        queue = self._callers[entry.caller]
        self._served_floor = max(self._served_floor, queue.served_cost)
        queue.served_cost += entry.cost
        self._remove_entry(entry)
        self._drain.on_done(now, entry.cost)
        return Popped(item=entry.item, expired=expired, long=self._is_long(entry))

    def expire(self, now: float, *, expected_service: float) -> tuple[T, ...]:
        """Remove and return all items that can no longer meet their deadlines."""
        late = [
            entry
            for queue in self._callers.values()
            for entry in queue.entries
            if entry.deadline - now < expected_service * entry.cost
        ]
        for entry in late:
            self._remove_entry(entry)
        return tuple(entry.item for entry in late)

    def remove(self, item: T) -> bool:
        """Remove the item of a cancelled request; return False if it is not queued."""
        for queue in self._callers.values():
            for entry in queue.entries:
                if entry.item is item or entry.item == item:
                    self._remove_entry(entry)
                    return True
        return False

    def flush(self) -> list[T]:
        """Empty the queue and return its items, earliest deadline first."""
        entries = [entry for queue in self._callers.values() for entry in queue.entries]
        entries.sort(key=lambda entry: entry.rank)
        self._callers.clear()
        self._size = 0
        return [entry.item for entry in entries]

    def wait_ms(self, now: float) -> int | None:
        """Return the time in which all queued entries are served, or None if unknown."""
        return self._drain.wait_ms(now, self.cost) if self._size else 0

    def _insert(self, item: T, *, caller: str, deadline: float, cost: float) -> None:
        queue = self._callers.get(caller)
        if queue is None:
            queue = self._callers[caller] = _CallerQueue(served_cost=self._served_floor)
        elif not queue.entries:
            # An idle caller earns no credit: its served cost is raised to that of the callers that
            # are served now, else it could take all slots for as long as it was idle.
            queue.served_cost = max(queue.served_cost, self._served_floor)
        number = self._next_number
        self._next_number += 1
        entry = _Entry(item=item, caller=caller, deadline=deadline, cost=cost, number=number)
        bisect.insort(queue.entries, entry, key=lambda other: other.rank)
        queue.cost += cost
        self._size += 1

    def _remove_entry(self, entry: _Entry[T]) -> None:
        queue = self._callers[entry.caller]
        queue.entries.remove(entry)
        queue.cost -= entry.cost
        self._size -= 1
        if not queue.entries:
            self._remove_idle_callers()

    def _remove_idle_callers(self) -> None:
        # A caller without entries is kept only while its served cost is above that of the others,
        # so that invented caller names can't exhaust the memory.
        for caller in [c for c, queue in self._callers.items() if not queue.entries]:
            if self._callers[caller].served_cost <= self._served_floor or self._size == 0:
                del self._callers[caller]

    def _next_entry(self, long_allowed: bool) -> _Entry[T] | None:
        best: _Entry[T] | None = None
        best_served_cost = 0.0
        for queue in self._callers.values():
            entry = self._first_allowed(queue, long_allowed)
            if entry is None:
                continue
            if best is None or (queue.served_cost, entry.rank) < (best_served_cost, best.rank):
                best, best_served_cost = entry, queue.served_cost
        return best

    def _first_allowed(self, queue: _CallerQueue[T], long_allowed: bool) -> _Entry[T] | None:
        if long_allowed:
            return queue.entries[0] if queue.entries else None
        return next((entry for entry in queue.entries if not self._is_long(entry)), None)

    def _is_long(self, entry: _Entry[T]) -> bool:
        return entry.cost >= self._options.long_cost

    def _choose_victim(self, caller: str, cost: float) -> _Entry[T] | None:
        """Return the newest entry of the caller with the highest cost, if it may be evicted."""
        queue = self._callers.get(caller)
        new_cost = cost + (queue.cost if queue is not None else 0.0)
        heaviest = max(
            (other for other in self._callers.values() if other.entries),
            key=lambda other: other.cost,
        )
        newest = max(heaviest.entries, key=lambda entry: entry.number)
        if newest.caller == caller:
            return None
        # The new entry's caller must not end up with more queued cost than the evicted one's, else
        # two callers at their share would evict each other's entries indefinitely.
        return newest if new_cost <= heaviest.cost - newest.cost else None

    def _refuse(self, now: float, caller: str, cost: float) -> Refusal:
        active = sum(1 for queue in self._callers.values() if queue.entries)
        queue = self._callers.get(caller)
        own_cost = queue.cost if queue is not None else 0.0
        over_share = active > 1 and own_cost + cost > self.cost / active
        kind = ErrorKind.CALLER_OVER_SHARE if over_share else ErrorKind.OVERLOADED
        retry_ms = self._drain.reserve_retry_after_ms(now, ahead=cost, work=cost)
        return Refusal(
            kind, "the queue is full", RunState.NOT_RUN, retry_ms or self._options.default_retry_ms
        )
