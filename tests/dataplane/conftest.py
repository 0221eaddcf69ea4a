"""Fixture: a server worker whose backend server never answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from berylspindle_dataplane.backend import Backend, BackendReport
from berylspindle_dataplane.server_worker import ServerWorker
from berylspindle_dataplane.worker_context import WorkerContext
from berylspindle_decisions.concurrency import WarmUpState
from berylspindle_decisions.deadlines import Deadlines
from berylspindle_decisions.fair_queue import FairQueueOptions
from berylspindle_decisions.ownership import DispatchRights, RightLevel
from berylspindle_model.configuration import Server
from berylspindle_model.messages import Attempt, AttemptReply
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.timeline import Timeline

SERVER = Server(
    id="s",
    service="lots",
    shard="0",
    data_centre="a",
    host="127.0.0.1",
    port=1,
    slots=3,
    connections=30,
)


class EndlessBackend(Backend):
    """A backend server that never answers."""

    async def run(self, attempt: Attempt, *, deadline_ms: int) -> AttemptReply:
        await asyncio.Event().wait()
        raise AssertionError

    async def report(self) -> BackendReport | None:
        return None

    async def close(self) -> None:
        pass


class HeldRights(DispatchRights):
    """Dispatch rights that are always held."""

    def level(self, server_id: str, now: float) -> RightLevel:
        return RightLevel.HELD

    def usable_from(self, server_id: str) -> float:
        return 0.0


@pytest.fixture
def endless_worker() -> Callable[[WarmUpState | None], ServerWorker]:
    """Return a factory of workers; the test must close each of them."""

    def make(trust: WarmUpState | None) -> ServerWorker:
        context = WorkerContext(
            rights=HeldRights(),
            metrics=Metrics(),
            timeline=Timeline("vm"),
            now=asyncio.get_running_loop().time,
            deadlines=Deadlines(),
            queue=FairQueueOptions(max_entries=8),
        )
        return ServerWorker(SERVER, EndlessBackend(), context, trust)

    return make
