"""Cancelled attempts and the slots of a backend server, over sockets."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Iterator

from berylspindle_dataplane.http_backend import BackendOptions, open_http_backend
from berylspindle_dataplane.server_worker import ServerWorker
from berylspindle_dataplane.worker_context import QueuedAttempt, WorkerContext
from berylspindle_decisions.concurrency import WarmUpState
from berylspindle_decisions.deadlines import Deadlines
from berylspindle_decisions.fair_queue import FairQueueOptions
from berylspindle_decisions.ownership import DispatchRights, RightLevel
from berylspindle_model.configuration import Server
from berylspindle_model.messages import Attempt, AttemptReply
from berylspindle_standins.backend_faults import BackendOptions as StandinOptions
from berylspindle_standins.backend_standin import start_backends
from berylspindle_standins.deployments import small
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.timeline import Timeline

ROUNDS = 40


class HeldRights(DispatchRights):
    def level(self, server_id: str, now: float) -> RightLevel:
        return RightLevel.HELD

    def usable_from(self, server_id: str) -> float:
        return 0.0


def make_worker(server: Server) -> ServerWorker:
    context = WorkerContext(
        rights=HeldRights(),
        metrics=Metrics(),
        timeline=Timeline("vm"),
        now=asyncio.get_running_loop().time,
        deadlines=Deadlines(),
        queue=FairQueueOptions(max_entries=64),
    )
    backend = open_http_backend(server, BackendOptions(spare=server.slots + 1), lambda event: None)
    return ServerWorker(server, backend, context, WarmUpState(cap=server.slots, baseline_ms=4.0))


@contextlib.contextmanager
def event_loop_in_thread() -> Iterator[asyncio.AbstractEventLoop]:
    """Yield an event loop that runs in another thread, in place of another process."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    yield loop
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


async def submit_and_cancel(server: Server) -> None:
    worker = make_worker(server)
    replies: list[AttemptReply] = []
    now = asyncio.get_running_loop().time()
    for number in range(ROUNDS):
        names = [f"{number}-{copy}" for copy in range(server.slots)]
        for name in names:
            attempt = Attempt(
                id=name, request_id=name, server=server.id, service="lots", shard="0", limit=3
            )
            worker.submit(QueuedAttempt(attempt, "c", now + 60.0, replies.append, now, "", False))
        await asyncio.sleep(0.004)
        for name in names:
            worker.cancel(name)
    await worker.close()


def test_a_cancelled_attempt_keeps_its_slot_until_the_server_has_ended_it() -> None:
    """Guards against exceeding a server's slots after hedged attempts were cancelled."""
    options = StandinOptions(mean_ms=20.0, sigma=0.0)
    with event_loop_in_thread() as loop:
        starting = asyncio.run_coroutine_threadsafe(start_backends(small(), options=options), loop)
        standin = starting.result(timeout=10)
        server = standin.configuration.servers[0]
        asyncio.run(submit_and_cancel(server))
        counts = standin.counts()[server.id]
        asyncio.run_coroutine_threadsafe(standin.close(), loop).result(timeout=10)
    assert counts.cancelled >= ROUNDS
    assert counts.max_in_flight <= server.slots
