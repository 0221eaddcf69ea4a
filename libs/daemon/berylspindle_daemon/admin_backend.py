"""Implementation of the operators' interface on top of the parts of one daemon.

Flow: `AdminEdge` calls these methods; each delegates to the control plane, the data plane, the
time line or the metrics. The class is stateless.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from importlib.metadata import version
from typing import Final

from berylspindle_controlplane.control_plane import ControlPlane
from berylspindle_daemon.admin import AdminBackend
from berylspindle_dataplane.plane import DataPlane
from berylspindle_model.configuration_codec import canonical
from berylspindle_model.errors import ErrorKind, Refusal, refuse
from berylspindle_model.events import EventFilter, EventPage
from berylspindle_model.intents import Confirmation, ConfirmRequest, Intent, Plan
from berylspindle_model.operator_protocol import StatusReport
from berylspindle_model.topology import Vm
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.timeline import Timeline

# Number of latest intents in a status report; the configuration holds more.
_MAX_REPORTED_INTENTS: Final = 10


class DaemonBackend(AdminBackend):
    """Serve operators' requests from the parts of one daemon."""

    def __init__(
        self,
        vm: Vm,
        *,
        control: ControlPlane,
        data: DataPlane,
        metrics: Metrics,
        timeline: Timeline,
        store_unavailable_since: Callable[[], float | None],
        update_counters: Callable[[], None],
    ) -> None:
        self._vm: Final = vm
        self._control: Final = control
        self._data: Final = data
        self._metrics: Final = metrics
        self._timeline: Final = timeline
        self._store_unavailable_since: Final = store_unavailable_since
        self._update_counters: Final = update_counters

    def not_ready(self) -> Refusal | None:
        """Return the reason for which the readiness check fails, or None if it passes."""
        return self._data.readiness_refusal()

    async def plan(self, intent: Intent) -> Plan:
        """Return the plan for an intent without changing anything."""
        return await self._control.plan(intent)

    async def confirm(self, request: ConfirmRequest, operator: str) -> Confirmation:
        """Apply exactly this plan at most once and return the confirmation."""
        return await self._control.confirm(request.plan, operator, override=request.override)

    async def status(self) -> StatusReport:
        """Return the status of this VM and its view of the other VMs."""
        vms = await self._control.status()
        configuration = self._control.state.configuration
        refusal = self._data.readiness_refusal()
        unavailable_since = self._store_unavailable_since()
        return StatusReport(
            vm=self._vm.id,
            data_centre=self._vm.data_centre,
            revision=configuration.revision if configuration is not None else 0,
            ready=refusal is None,
            reason=refusal.kind.value if refusal is not None else "",
            version=version("berylspindle-daemon"),
            store_away_ms=(
                int((time.monotonic() - unavailable_since) * 1000)
                if unavailable_since is not None
                else 0
            ),
            intents=(
                configuration.intents[-_MAX_REPORTED_INTENTS:] if configuration is not None else ()
            ),
            vms=vms,
            servers=self._data.owner.reports(),
            quarantined=self._data.quarantine.quarantined,
        )

    async def configuration(self) -> bytes:
        """Return the canonical text of the configuration in force on this VM."""
        configuration = self._control.state.configuration
        if configuration is None:
            raise refuse(ErrorKind.NOT_READY)
        return canonical(configuration)

    async def timeline(self, requested: EventFilter) -> EventPage:
        """Return the events of this VM that match the filter."""
        return self._timeline.select(requested)

    async def metrics(self) -> bytes:
        """Return all metrics in the text exposition format."""
        self._update_counters()
        return await self._metrics.render_in_steps()
