"""Provide a hybrid logical clock: wall-clock time that always orders a cause before its effect.

Terms:
  stamp   wall-clock milliseconds and a counter (`berylspindle_model.stamps.Stamp`)
  tick    create the stamp of a local event or of an outgoing message
  merge   advance the clock beyond the stamp of a received message

Flow: each message between VMs carries a tick of the sender; the receiver merges it before it
processes the message, so that everything that it then records sorts after the sender's event even
if the sender's wall clock is ahead. A merge costs one comparison and one reading of the clock.

Guard: a VM whose wall clock is far ahead would advance the stamps of all other VMs to its own time
for good, so that current events would carry dates in the future. A stamp more than `MAX_AHEAD_MS`
ahead of the local wall clock is therefore not adopted but counted; whatever peers send, a VM's
clock stays within that bound of the highest wall-clock time that it has read. Until the faulty
clock is corrected, events of its VM are not ordered against those of others.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

from berylspindle_model.stamps import MAX_COUNT, Stamp

# Far above the clock differences of synchronised VMs (milliseconds, a second after a pause), and
# small enough that events of one incident stay together in the timeline.
MAX_AHEAD_MS: Final = 10_000


class HybridClock:
    """Clock whose stamps increase with every call and follow the wall clock."""

    def __init__(
        self, now_wall: Callable[[], float] = time.time, *, max_ahead_ms: int = MAX_AHEAD_MS
    ) -> None:
        """Create a clock; `now_wall` returns the wall-clock time in seconds since 1970."""
        self._now_wall = now_wall
        self._max_ahead_ms = max_ahead_ms
        self._last = Stamp(0)
        self._rejected = 0

    @property
    def last(self) -> Stamp:
        """Return the highest stamp so far."""
        return self._last

    @property
    def rejected(self) -> int:
        """Return the number of peers' stamps that were rejected as too far ahead."""
        return self._rejected

    def tick(self) -> Stamp:
        """Return a stamp higher than all previous ones."""
        return self._advance(self._wall_ms(), self._last)

    def merge(self, remote: Stamp) -> Stamp:
        """Return a stamp higher than `remote` and all previous ones.

        A `remote` too far ahead of the wall clock is counted as rejected and otherwise ignored.
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
            # Counter overflow: 65,536 events in one millisecond, or a wall clock that was set back.
            self._last = Stamp(floor.millis + 1)
        return self._last
