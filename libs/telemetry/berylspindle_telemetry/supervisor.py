"""Keep the long-lived tasks of a VM running.

A task that fails is reported and started again after a pause, and affects no other task. In a task
group, one failure would cancel all of them, and the process would serve on with what it knew.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Final

from logbook import Logger

from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics

RESTART_MIN_S: Final = 0.2
RESTART_MAX_S: Final = 10.0
"""Bounds in seconds of the pause before a restart, which doubles with each failure: a task that
fails again and again calls the store at each start."""


class TaskEndedError(Exception):
    """A task ended that should run until it is cancelled."""


async def keep_running(
    run: Callable[[], Awaitable[None]],
    on_failure: Callable[[Exception], None],
    *,
    may_end: bool = False,
    now: Callable[[], float] = time.monotonic,
) -> None:
    """Await `run` until cancelled, again after each failure.

    A return of `run` is a failure unless it `may_end`. So is a cancellation that does not come from
    outside: it ends `run` if a future that it awaits was cancelled. The pause is at its minimum
    again after a run of `RESTART_MAX_S` or more.
    """
    pause = RESTART_MIN_S
    while True:
        started = now()
        try:
            await run()
            if may_end:
                return
            on_failure(TaskEndedError("the task has ended"))
        except asyncio.CancelledError as error:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            on_failure(TaskEndedError(f"a future of the task was cancelled: {error}"))
        except Exception as error:
            on_failure(error)
        if now() - started >= RESTART_MAX_S:
            pause = RESTART_MIN_S
        await asyncio.sleep(pause)
        pause = min(RESTART_MAX_S, 2 * pause)


def report_failure(log: Logger, metrics: Metrics, task: str, error: Exception) -> None:
    """Count the failure of a task that is started again, and log it with its traceback."""
    metrics.count(names.TASK_FAILURES, task=task)
    log.error(
        "task failed and is started again",
        extra={"task": task},
        exc_info=(type(error), error, error.__traceback__),
    )
