"""Backend servers that leave: told by an operator, by themselves, or by the VM list."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from contextlib import AsyncExitStack
from pathlib import Path

import attrs
from socket_helpers import (
    BOUND_SECONDS,
    DEADLINE_MS,
    SERVICE,
    WHOLE,
    Load,
    client,
    confirmed,
    operator,
    start,
    until,
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
    """Searches break off when the platform takes a server's VM away.

    Under load one server is retired by an operator, one begins to drain by itself, and one is
    leaving by the VM list. The last two come back later, and must get work again.
    """
    fast = {"BERYLSPINDLE_VM_LIST_INTERVAL": "1"}
    cluster = await start(stack, tmp_path, policy=WHOLE, settings=fast)
    asker = await operator(stack, cluster)
    async with Load(cluster) as load:
        await until(lambda: _worked(cluster, LEAVING, {}), "no work came before")
        asked_at = time.time()
        drain = FaultChange(servers=(DRAINED,), actions=(BackendAction.DRAIN,))
        await cluster.change_backends(drain)
        await _list_servers(cluster, {LISTED: "leaving"})
        await confirmed(asker, IntentKind.RETIRE, RETIRED)
        await asyncio.sleep(BOUND_SECONDS)
        bound = await _counts(cluster)
        asked = len(load.outcomes)
        await until(lambda: _answered(load, asked + 100), "callers are not served meanwhile")
        now = await _counts(cluster)
        # What a draining server refuses counts as arrived; owners must not go on trying it.
        for server in LEAVING:
            assert now[server].arrived == bound[server].arrived, server
            last = now[server].last_arrival_wall - asked_at
            print(f"last new work at {server} {last:.3f} s after it began to leave")
        end = FaultChange(servers=(DRAINED,), actions=(BackendAction.END_DRAIN,))
        await cluster.change_backends(end)
        await _list_servers(cluster, {LISTED: "live"})
        started = {name: counts.searches_started for name, counts in now.items()}
        back = (DRAINED, LISTED)
        await until(lambda: _worked(cluster, back, started), "no work came after the return")
        assert (await _counts(cluster))[RETIRED].arrived == bound[RETIRED].arrived
    assert load.unanswered == []
    assert load.partial == []


async def test_what_runs_at_a_retired_server_ends_there(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """A retired server's last searches are cut, and their callers miss a shard.

    Searches run at both replicas, some tenths of a second each, when one of them is retired.
    """
    policy = attrs.evolve(WHOLE, hedge_share=0.0)
    cluster = await start(stack, tmp_path, "--mean-ms=300", "--sigma=0", policy=policy)
    asker, caller = await operator(stack, cluster), await client(stack, cluster)
    searches = [
        asyncio.create_task(caller.search(SERVICE, f"lot {n}", deadline_ms=DEADLINE_MS))
        for n in range(8)
    ]
    await until(lambda: _worked(cluster, (RETIRED,), {}), "no search reached it")
    await confirmed(asker, IntentKind.RETIRE, RETIRED)
    told = await asyncio.gather(*searches)
    assert [one for one in told if not isinstance(one, SearchAnswer)] == []
    missing = {one.coverage.missing for one in told if isinstance(one, SearchAnswer)}
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
    """Name the VMs of these backend servers in the VM list, with the state of each."""
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
