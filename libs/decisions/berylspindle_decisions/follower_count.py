"""How many VMs follow this one without an entry of their own in the store.

Pattern of load: 940 VMs that each keep a lease and an entry make most of the calls to the store,
and all of them at once when their power returns. The few that others follow can speak for them.

Terms:
  follower  a VM that reads this one's mirror and has no entry of its own

Flow: `seen` is told of each read; `count` is what this VM's entry says. `is_due` says when that has
to be written anew.

Thresholds: a follower reads once a second, so that one is gone after `FOLLOWER_S`. What all VMs
share is divided by the count, so that it rises at once and falls only after `FALL_S`: a follower
that is restarted, or reads another mirror for a moment, is still there. `restore` takes the count
of the process before this one.
"""

from __future__ import annotations

import math
from typing import Final

FOLLOWER_S: Final = 4.0
FALL_S: Final = 20.0
RISE_SHARE: Final = 0.1
"""Part by which a count has to have changed before the entry is written again."""


class FollowerCount:
    """The followers of one VM; times are in seconds of the caller's clock."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[float, float]] = {}
        self._floor = 0
        self._floor_bears = math.inf
        self._floor_until = -math.inf

    def seen(self, now: float, follower: str, *, bears: float) -> None:
        """Note that a follower has read this VM's mirror."""
        self._seen[follower] = (now, bears)

    def restore(self, now: float, count: int, *, bears: float) -> None:
        """Take what the last process of this VM had counted."""
        self._raise_floor(now, count, bears)

    def count(self, now: float) -> int:
        """Return how many followers there are, or were within `FALL_S`."""
        gone = [name for name, (at, _) in self._seen.items() if at < now - FOLLOWER_S]
        for name in gone:
            del self._seen[name]
        if now >= self._floor_until or len(self._seen) >= self._floor:
            least = min((bears for _, bears in self._seen.values()), default=math.inf)
            self._raise_floor(now, len(self._seen), least)
        return self._floor

    def least_bears(self) -> float:
        """Return the least that a follower bears; 0 where there is none."""
        return 0.0 if math.isinf(self._floor_bears) else self._floor_bears

    def is_due(self, now: float, written: int) -> bool:
        """Return whether an entry that says `written` is to be written anew."""
        return abs(self.count(now) - written) > RISE_SHARE * written

    def _raise_floor(self, now: float, count: int, bears: float) -> None:
        self._floor, self._floor_bears, self._floor_until = count, bears, now + FALL_S
