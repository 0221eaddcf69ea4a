"""Discrete-event simulation clock: time advances from one event to the next.

Terms:
  event   an action scheduled for a time, in seconds from the start

Flow: `at` and `after` schedule actions; `run` executes them by time, and in the order of scheduling
if times are equal, so that a simulation with one seed is reproducible.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable


class EventClock:
    """Execute scheduled actions in the order of their times."""

    def __init__(self) -> None:
        self._now = 0.0
        self._next_number = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """Return the simulated time in seconds from the start."""
        return self._now

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action; a time in the past means now."""
        heapq.heappush(self._events, (max(time, self._now), self._next_number, action))
        self._next_number += 1

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self._now + delay_s, action)

    def run(self, until: float) -> None:
        """Execute all actions due up to and including a time, then advance the clock to it."""
        while self._events and self._events[0][0] <= until:
            self._now, _, action = heapq.heappop(self._events)
            action()
        self._now = max(self._now, until)
