"""Measure the process: processor time, memory, and the lag of its event loop.

Flow: the daemon calls `register_process_metrics` once and runs `measure_loop_lag` as a task. Event
loop lag is the first symptom of a daemon that is saturating its core, before queues grow.
"""

from __future__ import annotations

import asyncio
import resource
import time
from typing import Final

from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics

# Short enough to detect stalls of 0.1 s, long enough that its cost is negligible.
LOOP_INTERVAL_S: Final = 0.1
# Linux reports the peak resident memory in KiB.
_MAXRSS_UNIT_BYTES: Final = 1024


def register_process_metrics(metrics: Metrics) -> None:
    """Register gauges of processor time and peak resident memory."""
    metrics.gauge_function(names.CPU_SECONDS, time.process_time)
    metrics.gauge_function(names.RESIDENT_BYTES, _resident_bytes)


async def measure_loop_lag(metrics: Metrics, interval_s: float = LOOP_INTERVAL_S) -> None:
    """Record the lag of the event loop every `interval_s` seconds; does not return."""
    lag = metrics.summary(names.LOOP_LAG)
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + interval_s
        await asyncio.sleep(interval_s)
        lag.observe((loop.time() - due) * 1000)


def _resident_bytes() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _MAXRSS_UNIT_BYTES
