"""Shared dependencies of one entry: clock, metrics, deadlines, quarantine and admission."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from berylspindle_dataplane.entry_quarantine import EntryQuarantine
from berylspindle_dataplane.shedding_events import SheddingEvents
from berylspindle_decisions.admission import AdmissionOptions
from berylspindle_decisions.deadlines import Deadlines
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.timeline import Timeline


@attrs.frozen(kw_only=True)
class EntryContext:
    """Shared dependencies of one entry; `random` is uniform in [0, 1)."""

    metrics: Metrics
    timeline: Timeline
    now: Callable[[], float]
    random: Callable[[], float]
    new_id: Callable[[], str]
    deadlines: Deadlines
    quarantine: EntryQuarantine
    admission: AdmissionOptions
    shedding: SheddingEvents
