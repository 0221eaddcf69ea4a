"""Metrics of the process."""

from __future__ import annotations

import asyncio

from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.process import measure_loop_lag, register_process_metrics


async def test_processor_time_memory_and_loop_lag_are_recorded() -> None:
    metrics = Metrics()
    register_process_metrics(metrics)
    task = asyncio.create_task(measure_loop_lag(metrics, interval_s=0.0))
    for _ in range(100):
        await asyncio.sleep(0)
    task.cancel()
    text = (await metrics.render_in_steps()).decode()
    assert metrics.value(names.CPU_SECONDS) > 0
    assert metrics.value(names.RESIDENT_BYTES) > 1 << 20
    assert "berylspindle_loop_lag_ms_count " in text
    assert metrics.summary(names.LOOP_LAG).count > 0
    assert text.splitlines()[0].startswith("# HELP berylspindle_")
