"""A hybrid logical clock: wall time that never puts an effect before its cause.

Terms:
  stamp   wall milliseconds and a counter (`berylspindle_model.stamps.Stamp`)
  tick    the stamp of an event of this VM or of a message that it sends
  merge   what a VM does with the stamp of a message that it received

Flow: every message between VMs carries the sender's tick; the receiver merges it before it does
anything with the message, so that all it records later sorts after the sender's record, though
the sender's wall clock may run ahead. A merge costs one comparison and reads the clock once.

Guard: a VM whose wall clock is far off would drag every other VM's stamps to its own time, and
they would stay there. It shows as events of today stamped next week. A stamp more than
`MAX_AHEAD_MS` ahead of this VM's wall clock is therefore not adopted but counted; the clock of a
VM stays within that bound of the greatest wall time it has read, whatever its peers send. The
price: the order between this VM and the one that is far off is lost until its clock is mended.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

from berylspindle_model.stamps import MAX_COUNT, Stamp

# Well above what time synchronisation leaves between VMs (milliseconds, a second after a pause),
# and well below what a person reading the time line would take for another incident.
MAX_AHEAD_MS: Final = 10_000


class HybridClock:
    """Give stamps that grow with every call and follow the wall clock."""

    def __init__(
        self, now_wall: Callable[[], float] = time.time, *, max_ahead_ms: int = MAX_AHEAD_MS
    ) -> None:
        """Take a function that returns the wall time in seconds since 1970."""
        self._now_wall = now_wall
        self._max_ahead_ms = max_ahead_ms
        self._last = Stamp(0)
        self._rejected = 0

    @property
    def last(self) -> Stamp:
        """Return the greatest stamp given or adopted so far."""
        return self._last

    @property
    def rejected(self) -> int:
        """Return how many stamps of peers were too far ahead to adopt."""
        return self._rejected

    def tick(self) -> Stamp:
        """Return a stamp greater than all given or adopted before."""
        return self._advance(self._wall_ms(), self._last)

    def merge(self, remote: Stamp) -> Stamp:
        """Return a stamp greater than `remote` and than all before it.

        A `remote` too far ahead of the wall clock is counted and otherwise ignored.
        """
        wall = self._wall_ms()
        if remote.millis > wall + self._max_ahead_ms:
            self._rejected += 1
            return self._advance(wall, self._last)
        return self._advance(wall, max(self._last, remote))

    def _wall_ms(self) -> int:
        return int(self._now_wall() * 1000)

    def _advance(self, wall: int, floor: Stamp) -> Stamp:
        if wall > floor.millis:
            self._last = Stamp(wall)
        elif floor.count < MAX_COUNT:
            self._last = Stamp(floor.millis, floor.count + 1)
        else:
            # The counter is full: 65,536 events in one millisecond, or a wall clock set back.
            self._last = Stamp(floor.millis + 1)
        return self._last
