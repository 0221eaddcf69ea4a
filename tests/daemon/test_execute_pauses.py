"""Executes in progress while the process of their entry or owner pauses for a moment."""

from __future__ import annotations

import asyncio
import signal
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from berylspindle_bench.cluster import start_cluster
from berylspindle_client.callers import CallerClient
from berylspindle_model.messages import ExecuteAnswer
from berylspindle_standins.backend_faults import BackendAction, FaultChange

SHARDS = ("0", "1", "2", "3")
EXECUTE_MS = 3000
# Longer than the time after which a link without a frame counts as silent.
PAUSE_S = 1.5


@pytest.mark.parametrize("paused", ["entry", "owners"])
async def test_executes_in_progress_survive_a_pause(tmp_path: Path, paused: str) -> None:
    """Guard against lost outcomes of executes that their backend servers complete."""
    async with AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(start_cluster("small", tmp_path))
        entry = cluster.plan.daemons[0]
        local, remote = entry.data_centre, cluster.plan.daemons[1].data_centre
        assert local != remote
        caller = await stack.enter_async_context(CallerClient([entry.callers_address]))
        await cluster.change_backends(
            FaultChange(data_centre=local, actions=(BackendAction.DRAIN,))
        )
        await cluster.change_backends(FaultChange(set={"delay_ms": float(EXECUTE_MS)}))
        holds = [
            asyncio.create_task(caller.execute("lots", shard, shard, {}, deadline_ms=10_000))
            for shard in SHARDS
        ]
        started = 0
        while started < len(SHARDS) and not any(hold.done() for hold in holds):
            counts = await cluster.backend_counts()
            started = sum(one.counts.executes_started for one in counts.values())
        data_centre = local if paused == "entry" else remote
        processes = [
            cluster.daemons[plan.vm]
            for plan in cluster.plan.daemons
            if plan.data_centre == data_centre
        ]
        for process in processes:
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        for process in processes:
            process.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*holds)
    assert all(isinstance(answer, ExecuteAnswer) for answer in answers)
