"""Let searches that can no longer be in time go after those that can.

Pattern of load: all VMs lose power. When they are back, the callers of a second have been waiting,
on every VM, and are let in at once. Replicas work through them first come, first served, for some
tenths of a second; whoever asks meanwhile waits behind them and is late as well.

Terms:
  overdue   a search whose caller has waited for longer than the latency target, or since before
            this VM had its first routing table

Flow: an overdue search calls `begin`; where that says no it is put into the queue by `push` and
goes on when `end` returns it, the newest first: it is the likeliest to be in time after all. All
others pass by. A search that has waited for `WAIT_SHARE` of what its caller has left goes on
whatever the queue, so that under lasting load nobody is held until the deadline.
"""

from __future__ import annotations

from typing import Final, Generic, TypeVar

T = TypeVar("T")

AT_ONCE: Final = 2
"""Overdue searches that one VM carries out at a time: all VMs together so keep the replicas busy
and their queues short."""

WAIT_SHARE: Final = 0.3


def is_overdue(*, timeout_ms: float, left_ms: float | None, target_ms: float) -> bool:
    """Return whether a caller with so much time left has waited for longer than the target.

    Callers begin with the route's timeout; one that allows less from the start looks overdue, and
    one that doesn't say how much it has left never does.
    """
    return left_ms is not None and timeout_ms - left_ms > target_ms


class LateQueue(Generic[T]):
    """The overdue searches of one VM."""

    def __init__(self, at_once: int = AT_ONCE) -> None:
        self._at_once: Final = at_once
        self._running = 0
        self._waiting: Final[list[T]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def begin(self, *, forced: bool = False) -> bool:
        """Return whether an overdue search goes on now; if so `end` has to follow."""
        if not forced and self._running >= self._at_once:
            return False
        self._running += 1
        return True

    def push(self, search: T) -> None:
        """Let a search wait."""
        self._waiting.append(search)

    def remove(self, search: T) -> None:
        """Take back a search that waits no longer."""
        self._waiting.remove(search)

    def end(self) -> T | None:
        """Note that a search is over; return the one that goes on in its place, if any."""
        if self._waiting and self._running <= self._at_once:
            return self._waiting.pop()
        self._running -= 1
        return None
