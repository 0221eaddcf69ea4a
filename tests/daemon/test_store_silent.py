"""A store that accepts calls and never answers: callers still get responses in time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from berylspindle_bench.cluster import Cluster, start_cluster
from berylspindle_client.callers import CallerClient
from berylspindle_client.outcomes import Refused
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import ExecuteAnswer
from berylspindle_standins.backend_faults import FaultChange
from berylspindle_standins.platform_faults import PlatformChange

# Below the timeouts of the store including retries; the client waits 0.25 s longer.
DEADLINE_MS = 900
SILENT = PlatformChange(set={"outage": "silent"})


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    settings = {"BERYLSPINDLE_UNREADY_SECONDS": "0.2"}
    async with start_cluster("small", tmp_path, settings=settings) as cluster:
        yield cluster
        await cluster.change_platform(PlatformChange(clear=True))


async def test_an_execute_that_cannot_be_claimed_is_refused_in_time(cluster: Cluster) -> None:
    """Guard against a caller without a response while the VM waits for the store.

    The store accepts the claim and does not answer before the deadline of the caller.
    """
    async with CallerClient([cluster.plan.daemons[0].callers_address], caller="test") as caller:
        # The VM has its lease for claims from an earlier execute.
        assert isinstance(await caller.execute("lots", "0", "hold-0", {}), ExecuteAnswer)
        await cluster.change_platform(SILENT)
        result = await caller.execute("lots", "0", "hold-1", {}, deadline_ms=2 * DEADLINE_MS)
    assert isinstance(result, Refused), result
    assert (result.kind, result.run) == (ErrorKind.STORE_AWAY, RunState.NOT_RUN)


async def test_an_execute_that_ran_is_answered_though_the_store_is_silent(cluster: Cluster) -> None:
    """Guard against withholding the result of an execute whose outcome can't be stored.

    The store stops answering between the claim and the outcome, while the backend server works.
    """
    await cluster.change_backends(FaultChange(set={"delay_ms": 400.0}))
    async with CallerClient([cluster.plan.daemons[0].callers_address], caller="test") as caller:
        work = asyncio.create_task(
            caller.execute("lots", "0", "hold-2", {}, deadline_ms=DEADLINE_MS)
        )
        for _ in range(400):
            counts = await cluster.backend_counts()
            if any(one.counts.executes_started for one in counts.values()):
                break
            await asyncio.sleep(0.002)
        await cluster.change_platform(SILENT)
        result = await work
    assert isinstance(result, ExecuteAnswer), result
