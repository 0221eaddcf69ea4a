"""Metrics and timeline events of one backend server at its worker.

Flow: the worker creates one instance and reports events to it. `remove_gauges` drops the gauges
when this VM no longer owns the server, before another worker for the same server registers its own.
Series are looked up once, since the worker updates three of them per attempt.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from berylspindle_decisions.ownership import RightLevel
from berylspindle_model.configuration import Server
from berylspindle_model.events import EventKind
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metric_names import Metric
from berylspindle_telemetry.metrics import Counter, Metrics
from berylspindle_telemetry.timeline import Timeline


class ServerMeters:
    """Metrics and events of one backend server at its owner."""

    def __init__(self, server: Server, metrics: Metrics, timeline: Timeline) -> None:
        self._server: Final = server
        self._metrics: Final = metrics
        self._timeline: Final = timeline
        self._queue_time: Final = metrics.summary(names.QUEUE_TIME, service=server.service)
        self._served_time: Final = metrics.summary(names.SERVED_TIME, service=server.service)
        self._dispatches: dict[str, Counter] = {}
        self._gauges: list[Metric] = []
        self._was_warm = False
        self._warming = False
        self._had_right = False

    def add_gauge(self, metric: Metric, read: Callable[[], float]) -> None:
        """Register a gauge of this server that is read whenever metrics are rendered."""
        self._metrics.gauge_function(metric, read, server=self._server.id)
        self._gauges.append(metric)

    def remove_gauges(self) -> None:
        """Remove the gauges of this server."""
        for metric in self._gauges:
            self._metrics.remove(metric, server=self._server.id)
        self._gauges.clear()

    def on_reply(self, result: str, *, queued_ms: float, served_ms: float) -> None:
        """Count one dispatch by its result, and record its times."""
        counter = self._dispatches.get(result)
        if counter is None:
            counter = self._dispatches[result] = self._metrics.counter(
                names.DISPATCHES, server=self._server.id, result=result
            )
        counter.value += 1
        self._queue_time.observe(queued_ms)
        self._served_time.observe(served_ms)

    def on_warm_state(self, *, warm: bool, evidence: str) -> None:
        """Record a transition between warm and cold, or the start of a warm-up.

        Empty `evidence` means a successful reply.
        """
        if warm == self._was_warm:
            if not warm and not self._warming and not evidence:
                self._warming = True
                self._record(EventKind.WARM_UP_STARTED)
            return
        self._was_warm = warm
        self._warming = False
        if warm:
            self._record(EventKind.WARM_UP_FINISHED)
            return
        self._metrics.count(names.TURNED_COLD, evidence=evidence)
        self._record(EventKind.TURNED_COLD, evidence)

    def on_dispatch_right(self, right: RightLevel) -> None:
        """Record each lapse of the right to dispatch."""
        has_right = right is not RightLevel.NONE
        if self._had_right and not has_right:
            self._record(EventKind.OWNERSHIP_LAPSED)
        self._had_right = has_right

    def on_draining(self, is_draining: bool) -> None:
        """Record that the server reports draining, or no longer does."""
        kind = EventKind.SERVER_LEAVING if is_draining else EventKind.SERVER_RETURNED
        self._record(kind, "its own report")

    def _record(self, kind: EventKind, detail: str = "") -> None:
        server = self._server
        self._timeline.record(kind, service=server.service, server=server.id, detail=detail)
