"""Count the VMs that follow this one without an entry of their own in the store.

If 940 VMs each kept a lease and an entry, the leases and entries would cause most of the calls to
the store, and after a power failure all of these calls would come at once. Instead, followers have
no entry, and each of the few VMs that they follow writes the number of its followers to its entry.

Terms:
  follower  a VM that reads this one's mirror and has no entry of its own

Flow: `on_read` records each read; `count` is the number for this VM's entry, and `needs_write`
returns whether the entry has to be written again.

Thresholds: a follower reads once a second, and expires after `FOLLOWER_TIMEOUT_S`. Cluster-wide
limits are divided by the count. The count therefore rises at once but falls only after
`DECREASE_DELAY_S`, since a follower that restarts, or reads another mirror for a moment, still
sends traffic. `restore` sets the count of the previous process of this VM.
"""

from __future__ import annotations

import math
from typing import Final

FOLLOWER_TIMEOUT_S: Final = 4.0
DECREASE_DELAY_S: Final = 20.0
MIN_RELATIVE_CHANGE: Final = 0.1
"""Relative change of the count from which the entry is written again."""


class FollowerCount:
    """The followers of one VM; times are in seconds of the caller's clock."""

    def __init__(self) -> None:
        self._followers: dict[str, tuple[float, float]] = {}
        self._floor = 0
        self._floor_capacity = math.inf
        self._floor_until = -math.inf

    def on_read(self, now: float, follower: str, *, capacity: float) -> None:
        """Record that a follower with capacity `capacity` has read this VM's mirror."""
        self._followers[follower] = (now, capacity)

    def restore(self, now: float, count: int, *, capacity: float) -> None:
        """Restore the count, and the lowest capacity, of the previous process of this VM."""
        self._set_floor(now, count, capacity)

    def count(self, now: float) -> int:
        """Return the number of followers; a decrease takes effect after `DECREASE_DELAY_S`."""
        expired = [
            name for name, (at, _) in self._followers.items() if at < now - FOLLOWER_TIMEOUT_S
        ]
        for name in expired:
            del self._followers[name]
        if now >= self._floor_until or len(self._followers) >= self._floor:
            lowest = min((capacity for _, capacity in self._followers.values()), default=math.inf)
            self._set_floor(now, len(self._followers), lowest)
        return self._floor

    def min_capacity(self) -> float:
        """Return the lowest capacity of a follower in cores; 0 without followers."""
        return 0.0 if math.isinf(self._floor_capacity) else self._floor_capacity

    def needs_write(self, now: float, written: int) -> bool:
        """Return whether an entry with the count `written` has to be written again."""
        return abs(self.count(now) - written) > MIN_RELATIVE_CHANGE * written

    def _set_floor(self, now: float, count: int, capacity: float) -> None:
        self._floor, self._floor_capacity, self._floor_until = (
            count,
            capacity,
            now + DECREASE_DELAY_S,
        )
