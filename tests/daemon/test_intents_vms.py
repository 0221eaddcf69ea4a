"""Replaced VMs: one shuts down with work in flight, others start during a store outage."""

from __future__ import annotations

import asyncio
import signal
from contextlib import AsyncExitStack
from pathlib import Path

from socket_helpers import (
    DEADLINE_MS,
    SERVICE,
    open_caller,
    open_operator,
    revisions_by_vm,
    search_until_complete,
    start_small_cluster,
    wait_until,
)

from berylspindle_bench.cluster import HOST, Cluster, DaemonPlan
from berylspindle_client.callers import CallerClient
from berylspindle_client.outcomes import Refused, Unreachable
from berylspindle_model import caller_protocol
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import ExecuteAnswer, SearchAnswer
from berylspindle_standins.platform_faults import PlatformChange
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http_client import HttpFailure

EXECUTES = 24
# Longer than the interval of a VM's retries to the store and to its seeds.
ALONE_S = 2.0
# Shortens the wait for ownership before readiness: without the store no VM can join a view.
FAST_PACE = {"BERYLSPINDLE_CONTROL_PACE": "0.5"}


async def test_a_shutdown_leaves_no_execute_outcome_unknown(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against a graceful shutdown that leaves the outcome of executes unknown.

    A VM gets SIGTERM while executes and searches run through it and at servers that it owns. Each
    reported outcome must be true, and each execute must run at most once.
    """
    cluster = await start_small_cluster(stack, tmp_path, "--mean-ms=200")
    leaving, other = cluster.plan.daemons[0], cluster.plan.daemons[1]
    callers = [
        await stack.enter_async_context(CallerClient([one.callers_address], caller="test"))
        for one in (leaving, other)
    ]
    holds = {
        f"hold-{n}": asyncio.create_task(
            callers[n % 2].execute(
                SERVICE, str(n // 2 % 4), f"hold-{n}", {"lot": n}, deadline_ms=DEADLINE_MS
            )
        )
        for n in range(EXECUTES)
    }
    searches = [
        asyncio.create_task(callers[n % 2].search(SERVICE, f"lot {n}", deadline_ms=DEADLINE_MS))
        for n in range(8)
    ]
    await wait_until(lambda: _executes_run(cluster), "no execute was started")
    process = cluster.daemons[leaving.vm]
    process.send_signal(signal.SIGTERM)
    result = dict(zip(holds, await asyncio.gather(*holds.values()), strict=True))
    search_results = await asyncio.gather(*searches)
    assert await process.wait(30.0) == 0
    assert [one for one in search_results if not isinstance(one, SearchAnswer)] == []
    ran = await _executions(cluster)
    assert max(ran.values()) == 1
    for key, one in result.items():
        if isinstance(one, ExecuteAnswer):
            assert ran[key] == 1
            assert isinstance(await callers[1].outcome(SERVICE, key), ExecuteAnswer)
        else:
            assert isinstance(one, Refused), one
            assert one.run is RunState.NOT_RUN, one
            assert key not in ran


async def test_a_new_vm_gets_its_configuration_from_peers(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against a VM replaced during a store outage that stays unready until the store is back.

    The VM must refuse requests as not run until a peer has sent it the configuration, and then
    serve.
    """
    cluster = await start_small_cluster(stack, tmp_path, settings=FAST_PACE)
    replacement = cluster.plan.daemons[0]
    await cluster.daemons[replacement.vm].stop()
    await cluster.change_platform(PlatformChange(set={"outage": "reset"}))
    await cluster.start_daemon(replacement)
    caller = await open_caller(stack, cluster)
    await wait_until(lambda: _serves(caller), "no peer sent it the configuration")
    await cluster.wait_ready(replacement)
    for number in range(10):
        await search_until_complete(caller, f"lot {number}")
    assert set((await revisions_by_vm(await open_operator(stack, cluster, 0))).values()) == {1}


async def test_a_new_vm_without_peers_and_store_stays_unready(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against "unknown service" or empty answers from a VM without a configuration.

    One VM starts while all others are stopped and the store is unavailable. It must refuse requests
    as not ready, and serve when the store is back.
    """
    cluster = await start_small_cluster(stack, tmp_path, settings=FAST_PACE)
    await cluster.stop_daemons()
    await cluster.change_platform(PlatformChange(set={"outage": "reset"}))
    only = cluster.plan.daemons[0]
    log_offset = len(cluster.daemons[only.vm].log.read_text())
    process = await cluster.start_daemon(only)
    caller = await open_caller(stack, cluster)
    await wait_until(lambda: _readiness(only, 503), "the callers' edge does not listen")
    loop = asyncio.get_running_loop()
    deadline = loop.time() + ALONE_S
    while loop.time() < deadline:
        result = await caller.search(SERVICE, "lot", deadline_ms=DEADLINE_MS)
        assert isinstance(result, Refused)
        assert (result.kind, result.run) == (ErrorKind.NOT_READY, RunState.NOT_RUN)
        assert await _readiness(only, 503)
        await asyncio.sleep(0.05)
    lines = process.log.read_text()[log_offset:].splitlines()
    assert len([line for line in lines if "store_away" in line]) == 1, lines
    await cluster.change_platform(PlatformChange(clear=True))
    await cluster.wait_ready(only)
    await search_until_complete(caller)


async def _serves(caller: CallerClient) -> bool:
    """Return whether a VM answers a search; an earlier refusal must be "not ready"."""
    result = await caller.search(SERVICE, "lot", deadline_ms=DEADLINE_MS)
    if isinstance(result, Refused):
        assert (result.kind, result.run) == (ErrorKind.NOT_READY, RunState.NOT_RUN)
    else:
        assert isinstance(result, SearchAnswer | Unreachable), result
    return isinstance(result, SearchAnswer)


async def _executes_run(cluster: Cluster) -> bool:
    return len(await _executions(cluster)) >= 4


async def _executions(cluster: Cluster) -> dict[str, int]:
    """Return the number of executions at all servers by idempotency key."""
    ran: dict[str, int] = {}
    for one in (await cluster.backend_counts()).values():
        for key, count in one.counts.executions.items():
            ran[key] = ran.get(key, 0) + count
    return ran


async def _readiness(plan: DaemonPlan, status: int) -> bool:
    async with HttpClient(HOST, plan.callers_port) as http:
        try:
            return (await http.get(caller_protocol.READY_PATH)).status == status
        except HttpFailure:
            return False
