"""A data centre is taken out of service and returned under load."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from pathlib import Path

from socket_helpers import (
    FULL_COVERAGE,
    STOP_WORK_LIMIT_S,
    Load,
    counts_in,
    fleet_status,
    open_operator,
    plan_and_confirm,
    start_small_cluster,
    wait_until,
)

from berylspindle_bench.cluster import Cluster
from berylspindle_model.intents import IntentKind
from berylspindle_standins.backend_faults import BackendAction, FaultChange


async def test_a_data_centre_is_taken_out_and_returned_under_load(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against searches that fail, reach a data centre taken out, or overload it on return.

    Its servers restart while it is out and are cold when it is returned under the same load.
    """
    cluster = await start_small_cluster(stack, tmp_path, "--warm-after=20", policy=FULL_COVERAGE)
    admin = await open_operator(stack, cluster)
    name = cluster.plan.configuration.data_centres[1].name
    async with Load(cluster) as load:
        await wait_until(lambda: _work_since(cluster, name, {}), "no work before the intent")
        started_at = time.time()
        await plan_and_confirm(admin, IntentKind.TAKE_OUT, name)
        await asyncio.sleep(STOP_WORK_LIMIT_S)
        out = {one.server: one.counts.searches_started for one in await counts_in(cluster, name)}
        answered_before = len(load.outcomes)
        await wait_until(
            lambda: _answered(load, answered_before + 100), "callers are not served while it is out"
        )
        counts_now = await counts_in(cluster, name)
        assert {one.server: one.counts.searches_started for one in counts_now} == out
        last = max(one.counts.last_arrival_wall for one in counts_now)
        print(f"last new work {last - started_at:.3f} s after the intent was submitted")
        reports = (await fleet_status(admin)).reports
        assert {one.data_centre for one in reports if not one.ready} == {name}
        change = FaultChange(data_centre=name, actions=(BackendAction.TURN_COLD,))
        await cluster.change_backends(change)
        await plan_and_confirm(admin, IntentKind.RETURN, name)
        await wait_until(lambda: _work_since(cluster, name, out), "no work after the return")
        # Enough for each server to become warm again.
        more = {server: started + 30 for server, started in out.items()}
        await wait_until(
            lambda: _work_since(cluster, name, more),
            "the servers get too little work after the return",
        )
    assert load.unanswered == []
    assert load.partial == []
    counts = await cluster.backend_counts()
    assert {one.server for one in counts.values() if one.counts.cold_overruns} == set()


async def _work_since(cluster: Cluster, name: str, before: dict[str, int]) -> bool:
    counts_now = await counts_in(cluster, name)
    return all(one.counts.searches_started > before.get(one.server, 0) for one in counts_now)


async def _answered(load: Load, count: int) -> bool:
    return len(load.outcomes) >= count
