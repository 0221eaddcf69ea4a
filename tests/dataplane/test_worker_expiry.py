"""Attempts that cannot start in time are refused before their entry stops waiting."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from berylspindle_dataplane.server_worker import ServerWorker
from berylspindle_dataplane.worker_context import QueuedAttempt
from berylspindle_decisions.concurrency import WarmUpState
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import Attempt, AttemptReply

MakeWorker = Callable[[WarmUpState | None], ServerWorker]


@pytest.mark.parametrize("seconds", [0.101, 0.107, 0.113, 0.119])
async def test_an_execute_that_never_started_is_refused_as_not_run(
    endless_worker: MakeWorker, seconds: float
) -> None:
    """Guards against an unknown outcome and an unusable key of an execute that was never started.

    The only slot of a cold server is taken. At the last periodic check of the queue the second
    execute has a few milliseconds left; its entry stops waiting before the next check.
    """
    loop = asyncio.get_running_loop()
    worker = endless_worker(None)
    order: list[object] = []
    first, second = (
        Attempt(id=name, request_id=name, server="s", service="lots", shard="0", execute_key=name)
        for name in ("hold-1", "hold-2")
    )
    now = loop.time()
    worker.submit(QueuedAttempt(first, "c", now + 60.0, lambda reply: None, now))

    def on_reply(reply: AttemptReply) -> None:
        order.append((reply.error, reply.run))

    worker.submit(QueuedAttempt(second, "c", now + seconds, on_reply, now))
    timed_out = asyncio.Event()

    def on_timeout() -> None:
        order.append("the entry timed out")
        timed_out.set()

    loop.call_at(now + seconds, on_timeout)
    await timed_out.wait()
    await worker.close()
    assert order[0] == (ErrorKind.DEADLINE_EXCEEDED, RunState.NOT_RUN)
