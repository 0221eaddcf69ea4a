"""Timeline events for the start and end of load shedding at an entry.

Flow: the entry reports each admission verdict. Shedding starts with the first refusal and ends once
requests have been admitted for one second without a refusal; the end is detected at the next
admitted request.

Under steady overload, refusals and admissions alternate within milliseconds. Recording each of them
would fill the timeline with identical events.
"""

from __future__ import annotations

from typing import Final

from berylspindle_model.events import EventKind
from berylspindle_telemetry.timeline import Timeline

QUIET_SECONDS: Final = 1.0


class SheddingEvents:
    """Record when an entry starts and stops shedding load."""

    def __init__(self, timeline: Timeline) -> None:
        self._timeline: Final = timeline
        self._refused_at: float | None = None

    def on_refused(self, now: float, kind: str) -> None:
        """Record a refused request."""
        if self._refused_at is None:
            self._timeline.record(EventKind.SHEDDING_STARTED, detail=kind)
        self._refused_at = now

    def on_admitted(self, now: float) -> None:
        """Record an admitted request."""
        if self._refused_at is not None and now - self._refused_at >= QUIET_SECONDS:
            self._refused_at = None
            self._timeline.record(EventKind.SHEDDING_STOPPED)
