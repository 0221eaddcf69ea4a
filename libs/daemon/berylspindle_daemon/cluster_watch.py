"""Derive gauges and time line events of one daemon from cluster state and store calls.

Terms:
  away   the store is unavailable: two consecutive calls failed, or its watcher reported it

Flow: `on_state` handles each new state of the cluster, `on_event` each change that the control
plane reports, and `on_store_call` the result of each call to the store.

Only two VMs of a data centre watch the store. The other VMs, and a VM that starts during an outage,
could not detect an outage by a watch; therefore the store calls of all parts of the daemon are
observed. A single failed call does not count as an outage: with a slow store such events would fill
the time line.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

from berylspindle_model.events import EventKind
from berylspindle_model.topology import ClusterState, View
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.timeline import Timeline

UNAVAILABLE_AFTER_FAILURES: Final = 2


class ClusterObserver:
    """Update gauges and record events on changes of the cluster's state and of the store."""

    def __init__(
        self, metrics: Metrics, timeline: Timeline, now: Callable[[], float] = time.monotonic
    ) -> None:
        self._metrics: Final = metrics
        self._timeline: Final = timeline
        self._now: Final = now
        self._views: dict[str, View] = {}
        self._failures = 0
        self._store_unavailable_since: float | None = None
        metrics.gauge(names.STORE_AWAY, 0)

    @property
    def store_unavailable_since(self) -> float | None:
        """Return the monotonic time in seconds at which the store became unavailable, or None."""
        return self._store_unavailable_since

    def on_state(self, state: ClusterState) -> None:
        """Update the gauges from a new cluster state and record changes of membership."""
        if state.configuration is not None:
            self._metrics.gauge(names.REVISION, state.configuration.revision)
        for view in state.views:
            self._metrics.gauge(names.VIEW_EPOCH, view.epoch, data_centre=view.data_centre)
            suspects = sum(vm.id in state.suspects for vm in view.members)
            live = len(view.members) - suspects
            self._metrics.gauge(names.VMS, live, data_centre=view.data_centre, state="live")
            self._metrics.gauge(names.VMS, suspects, data_centre=view.data_centre, state="suspect")
            self._record_membership_changes(view)

    def on_event(self, kind: str, fields: dict[str, str | int]) -> None:
        """Record a change of state that the control plane reports."""
        event = EventKind(kind)
        if event is EventKind.STORE_AWAY:
            self._mark_store_unavailable(str(fields.get("detail", "")))
        elif event is EventKind.STORE_BACK:
            self._mark_store_available()
        else:
            detail = " ".join(f"{name}={value}" for name, value in sorted(fields.items()))
            self._timeline.record(event, detail=detail)

    def on_store_call(self, reached: bool, detail: str) -> None:
        """Update the availability of the store from the result of one call."""
        if reached:
            self._mark_store_available()
            return
        self._failures += 1
        if self._failures >= UNAVAILABLE_AFTER_FAILURES:
            self._mark_store_unavailable(detail)

    def _mark_store_unavailable(self, detail: str) -> None:
        if self._store_unavailable_since is not None:
            return
        self._store_unavailable_since = self._now()
        self._metrics.gauge(names.STORE_AWAY, 1)
        self._timeline.record(EventKind.STORE_AWAY, detail=detail)

    def _mark_store_available(self) -> None:
        self._failures = 0
        if self._store_unavailable_since is None:
            return
        self._store_unavailable_since = None
        self._metrics.gauge(names.STORE_AWAY, 0)
        self._timeline.record(EventKind.STORE_BACK)

    def _record_membership_changes(self, view: View) -> None:
        old = self._views.get(view.data_centre)
        self._views[view.data_centre] = view
        if old is None or old.epoch == view.epoch:
            # The members of the first known view of a data centre may have joined long ago.
            return
        for vm in view.members:
            if old.member(vm.id) is None:
                self._timeline.record(EventKind.VM_JOINED, detail=f"vm={vm.id}")
        for vm in old.members:
            if view.member(vm.id) is None and vm.id in view.released:
                self._timeline.record(EventKind.VM_LEFT, detail=f"vm={vm.id}")
