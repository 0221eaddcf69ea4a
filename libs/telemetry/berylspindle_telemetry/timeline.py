"""Record the latest state changes of one VM in a bounded buffer.

Terms:
  event     a state change (`berylspindle_model.events`)
  dropped   events that were overwritten because the buffer was full

Flow: components of the daemon call `record` on state changes, but never for each request; the event
gets a stamp of the hybrid logical clock, is logged and counted. The operators' interface responds
with the result of `select`. A VM's events are lost when it stops; peers' events about it remain.

Guard: a flapping state would fill the memory of the process with identical events. The buffer holds
`capacity` events and counts those that it has dropped; each event has a sequence number, so that
readers can detect the gap.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Final

from berylspindle_model.events import Event, EventFilter, EventKind, EventPage
from berylspindle_model.stamps import Stamp
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.clock import HybridClock
from berylspindle_telemetry.logs import logger
from berylspindle_telemetry.metrics import Metrics

__all__ = ["Event", "EventFilter", "EventKind", "EventPage", "Stamp", "Timeline"]

# Some hours of events under normal conditions, about 2 MB.
DEFAULT_CAPACITY: Final = 5000

_WARNINGS: Final = frozenset(
    {
        EventKind.VM_SUSPECTED,
        EventKind.VM_DEAD,
        EventKind.OWNERSHIP_LAPSED,
        EventKind.CONFIGURATION_REJECTED,
        EventKind.TURNED_COLD,
        EventKind.EJECTED,
        EventKind.QUARANTINED,
        EventKind.SHEDDING_STARTED,
        EventKind.STORE_AWAY,
        EventKind.OUTCOME_UNKNOWN,
        EventKind.INTERNAL_FAULT,
    }
)


class Timeline:
    """Bounded buffer of the latest events of one VM."""

    def __init__(
        self,
        vm: str,
        capacity: int = DEFAULT_CAPACITY,
        clock: HybridClock | None = None,
        *,
        metrics: Metrics | None = None,
        data_centre: str = "",
    ) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._clock = clock if clock is not None else HybridClock()
        self._events: deque[Event] = deque(maxlen=capacity)
        self._recorded = 0
        self._metrics = metrics
        self._log: Any = logger("timeline")
        if metrics is not None:
            metrics.gauge_function(names.EVENTS_DROPPED, lambda: self.dropped)
            metrics.gauge_function(names.CLOCK_REJECTED, lambda: self._clock.rejected)

    @property
    def clock(self) -> HybridClock:
        """Return the clock that also stamps messages between VMs."""
        return self._clock

    @property
    def dropped(self) -> int:
        """Return the number of events that were overwritten."""
        return self._recorded - len(self._events)

    def record(
        self,
        kind: EventKind,
        *,
        service: str = "",
        server: str = "",
        request_id: str = "",
        detail: str = "",
    ) -> Event:
        """Record a state change, log it and count it."""
        self._recorded += 1
        event = Event(
            vm=self._vm,
            sequence=self._recorded,
            stamp=self._clock.tick(),
            kind=kind,
            service=service,
            server=server,
            request_id=request_id,
            detail=detail,
        )
        self._events.append(event)
        if self._metrics is not None:
            self._metrics.count(names.EVENTS, kind=kind.value)
        self._log_event(event)
        return event

    def select(self, event_filter: EventFilter | None = None) -> EventPage:
        """Return the events that match a filter, or all events without one, oldest first."""
        effective_filter = event_filter if event_filter is not None else EventFilter()
        return EventPage(
            vm=self._vm,
            data_centre=self._data_centre,
            dropped=self.dropped,
            events=tuple(event for event in self._events if effective_filter.matches(event)),
        )

    def since(self, stamp: Stamp) -> tuple[Event, ...]:
        """Return the events at or after a stamp, oldest first."""
        return self.select(EventFilter(since=stamp)).events

    def _log_event(self, event: Event) -> None:
        fields = {
            name: value
            for name, value in (
                ("service", event.service),
                ("server", event.server),
                ("request", event.request_id),
                ("detail", event.detail),
            )
            if value
        }
        log = self._log.warning if event.kind in _WARNINGS else self._log.info
        log(event.kind.value, extra=fields)
