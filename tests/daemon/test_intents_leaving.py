"""Backend servers that leave: by an operator, by draining, or by the VM list."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from contextlib import AsyncExitStack
from pathlib import Path

import attrs
from socket_helpers import (
    DEADLINE_MS,
    FULL_COVERAGE,
    SERVICE,
    STOP_WORK_LIMIT_S,
    Load,
    open_caller,
    open_operator,
    plan_and_confirm,
    start_small_cluster,
    wait_until,
)

from berylspindle_bench.cluster import HOST, Cluster
from berylspindle_model import codec
from berylspindle_model.intents import IntentKind
from berylspindle_model.messages import SearchAnswer
from berylspindle_standins.backend_faults import BackendAction, BackendCounts, FaultChange
from berylspindle_standins.platform_standin import VMS_ADMIN_PATH
from berylspindle_store.routes import VmDocument, VmListDocument
from berylspindle_wire.client import HttpClient

RETIRED, DRAINED, LISTED = "lots-0-0", "lots-1-0", "lots-2-0"
LEAVING = (RETIRED, DRAINED, LISTED)


async def test_leaving_servers_get_no_new_work(stack: AsyncExitStack, tmp_path: Path) -> None:
    """Guard against searches that are cut off when the platform removes the VM of a server.

    Under load one server is retired by an operator, one starts to drain, and one is leaving
    according to the VM list. The last two return later and must get work again.
    """
    settings = {"BERYLSPINDLE_VM_LIST_INTERVAL": "1"}
    cluster = await start_small_cluster(stack, tmp_path, policy=FULL_COVERAGE, settings=settings)
    admin = await open_operator(stack, cluster)
    async with Load(cluster) as load:
        await wait_until(lambda: _worked(cluster, LEAVING, {}), "no work before they leave")
        started_at = time.time()
        drain = FaultChange(servers=(DRAINED,), actions=(BackendAction.DRAIN,))
        await cluster.change_backends(drain)
        await _list_servers(cluster, {LISTED: "leaving"})
        await plan_and_confirm(admin, IntentKind.RETIRE, RETIRED)
        await asyncio.sleep(STOP_WORK_LIMIT_S)
        counts_after = await _counts(cluster)
        answered_before = len(load.outcomes)
        await wait_until(
            lambda: _answered(load, answered_before + 100), "callers are not served after they left"
        )
        now = await _counts(cluster)
        # A refusal by a draining server counts as an arrival; owners must stop trying it.
        for server in LEAVING:
            assert now[server].arrived == counts_after[server].arrived, server
            last = now[server].last_arrival_wall - started_at
            print(f"last new work at {server} {last:.3f} s after it started to leave")
        end = FaultChange(servers=(DRAINED,), actions=(BackendAction.END_DRAIN,))
        await cluster.change_backends(end)
        await _list_servers(cluster, {LISTED: "live"})
        started = {name: counts.searches_started for name, counts in now.items()}
        returned = (DRAINED, LISTED)
        await wait_until(lambda: _worked(cluster, returned, started), "no work after the return")
        assert (await _counts(cluster))[RETIRED].arrived == counts_after[RETIRED].arrived
    assert load.unanswered == []
    assert load.partial == []


async def test_searches_at_a_retired_server_finish(stack: AsyncExitStack, tmp_path: Path) -> None:
    """Guard against searches that are cut off at a retired server and miss a shard.

    Searches of some tenths of a second run at both replicas when one of them is retired.
    """
    policy = attrs.evolve(FULL_COVERAGE, hedge_share=0.0)
    cluster = await start_small_cluster(
        stack, tmp_path, "--mean-ms=300", "--sigma=0", policy=policy
    )
    admin, caller = await open_operator(stack, cluster), await open_caller(stack, cluster)
    searches = [
        asyncio.create_task(caller.search(SERVICE, f"lot {n}", deadline_ms=DEADLINE_MS))
        for n in range(8)
    ]
    await wait_until(lambda: _worked(cluster, (RETIRED,), {}), "no search reached the server")
    await plan_and_confirm(admin, IntentKind.RETIRE, RETIRED)
    result = await asyncio.gather(*searches)
    assert [one for one in result if not isinstance(one, SearchAnswer)] == []
    missing = {one.coverage.missing for one in result if isinstance(one, SearchAnswer)}
    assert missing == {()}
    counts = (await _counts(cluster))[RETIRED]
    assert counts.finished == counts.searches_started > 0
    assert counts.cancelled == 0


async def _counts(cluster: Cluster) -> dict[str, BackendCounts]:
    return {name: one.counts for name, one in (await cluster.backend_counts()).items()}


async def _worked(cluster: Cluster, servers: Iterable[str], before: dict[str, int]) -> bool:
    counts = await _counts(cluster)
    return all(counts[name].searches_started > before.get(name, 0) for name in servers)


async def _answered(load: Load, count: int) -> bool:
    return len(load.outcomes) >= count


async def _list_servers(cluster: Cluster, states: dict[str, str]) -> None:
    """List the VMs of these backend servers with the given states in the VM list."""
    servers = (cluster.plan.configuration.server(name) for name in states)
    listed = tuple(
        VmDocument(
            id=server.id,
            data_centre=server.data_centre,
            host=HOST,
            port=server.port,
            role="backend",
            state=states[server.id],
        )
        for server in servers
        if server is not None
    )
    body = codec.to_json(VmListDocument(vms=listed))
    async with HttpClient(HOST, cluster.plan.store_admin_port) as http:
        assert (await http.put(VMS_ADMIN_PATH, body=body)).status == 200
