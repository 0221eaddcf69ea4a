"""Metrics and timeline events of one service at an entry.

Flow: `ServiceState` holds one instance for as long as the service is configured; the strategy and
the driver of each fan-out record into it. Series are looked up once, since two of them are updated
per attempt.
"""

from __future__ import annotations

from typing import Final

from berylspindle_decisions.ejection import EjectionStatus, Ejector
from berylspindle_model.events import EventKind
from berylspindle_model.snapshot import Snapshot
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Counter, Metrics
from berylspindle_telemetry.timeline import Timeline


class ServiceMeters:
    """Metrics and events of one service at one entry."""

    def __init__(self, service: str, metrics: Metrics, timeline: Timeline) -> None:
        self._service: Final = service
        self._metrics: Final = metrics
        self._timeline: Final = timeline
        self._attempt_time: Final = metrics.summary(names.ATTEMPT_TIME, service=service)
        self._replies: dict[str, Counter] = {}
        self._ejections = 0
        self._ejected: set[str] = set()
        self._newest: Snapshot | None = None

    def on_reply(self, result: str, elapsed_ms: float) -> None:
        """Count a reply by its result, and record the time since its attempt was sent."""
        counter = self._replies.get(result)
        if counter is None:
            counter = self._replies[result] = self._metrics.counter(
                names.ATTEMPT_REPLIES, service=self._service, result=result
            )
        counter.value += 1
        self._attempt_time.observe(elapsed_ms)

    def on_discarded(self, reason: str) -> None:
        """Count a reply that was not merged."""
        self._metrics.count(names.REPLIES_DISCARDED, reason=reason)

    def on_denied(self, budget: str) -> None:
        """Count a hedge or a retry denied by its budget."""
        self._metrics.count(names.BUDGET_DENIED, service=self._service, budget=budget)

    def on_repin(self) -> None:
        """Count a fan-out that moved to another snapshot."""
        self._metrics.count(names.SNAPSHOT_CHANGES, service=self._service)

    def on_answer(self, snapshot: Snapshot) -> None:
        """Record a move of answers to a newer snapshot; pages of older snapshots are ignored."""
        if self._newest is not None and snapshot <= self._newest:
            return
        if self._newest is not None:
            detail = f"epoch {snapshot.epoch} version {snapshot.version}"
            self._record(EventKind.SNAPSHOT_CHANGED, "", detail)
        self._newest = snapshot

    def on_ejection_check(self, now: float, server: str, ejector: Ejector) -> None:
        """Record the ejection of a server or its end, after a reply or a failure."""
        if ejector.ejections > self._ejections:
            self._metrics.count(names.EJECTIONS, service=self._service)
            if server not in self._ejected:
                self._record(EventKind.EJECTED, server)
            self._ejections = ejector.ejections
            self._ejected.add(server)
        elif server in self._ejected and ejector.status(now, server) is EjectionStatus.ACTIVE:
            self._ejected.discard(server)
            self._record(EventKind.EJECTION_ENDED, server)

    def _record(self, kind: EventKind, server: str, detail: str = "") -> None:
        self._timeline.record(kind, service=self._service, server=server, detail=detail)
