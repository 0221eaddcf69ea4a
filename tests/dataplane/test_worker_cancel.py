"""Cancelling an attempt at any moment releases its slot."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from berylspindle_dataplane.server_worker import ServerWorker
from berylspindle_dataplane.worker_context import QueuedAttempt
from berylspindle_decisions.concurrency import WarmUpState
from berylspindle_model.messages import Attempt

MakeWorker = Callable[[WarmUpState | None], ServerWorker]

WARM = WarmUpState(cap=3, baseline_ms=4.0)
# Loop iterations that a started attempt needs to reach its backend server and return.
LOOP_ITERATIONS = 4


@pytest.mark.parametrize("iterations", range(LOOP_ITERATIONS))
async def test_an_attempt_cancelled_before_its_first_step_frees_its_slot(
    endless_worker: MakeWorker, iterations: int
) -> None:
    """Guards against a slot that is never freed, which loses shards and blocks a shutdown.

    A fan-out is cancelled in the loop iteration in which its attempt started, because the server of
    another shard refused at once. A task cancelled before its first step never runs.
    """
    loop = asyncio.get_running_loop()
    worker = endless_worker(WARM)
    attempt = Attempt(id="1", request_id="r", server="s", service="lots", shard="0")
    worker.submit(QueuedAttempt(attempt, "c", loop.time() + 60.0, lambda reply: None, loop.time()))
    for _ in range(iterations):
        await asyncio.sleep(0)
    assert worker.cancel("1")
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)
    assert worker.in_flight == 0
    async with asyncio.timeout(5):
        await worker.wait_idle()
    await worker.close()
