"""Requests over sockets through a small deployment of daemon and stand-in processes."""

from __future__ import annotations

import asyncio
import signal
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from socket_helpers import (
    DEADLINE_MS,
    SERVICE,
    open_caller,
    search_until_complete,
    start_small_cluster,
)

from berylspindle_client.callers import CallerClient
from berylspindle_client.outcomes import Refused
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import ExecuteAnswer, SearchAnswer
from berylspindle_model.snapshot import Snapshot
from berylspindle_standins.backend_faults import BackendAction, FaultChange
from berylspindle_standins.platform_faults import PlatformChange

# Concurrent callers at a VM that shuts down; few enough that it admits all of them.
SHUTDOWN_CALLERS = 6


async def test_pages_of_one_search_stay_on_one_snapshot(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against a second page of a search that repeats or skips hits.

    A new version is published between the two pages; the second page is requested from another VM.
    """
    cluster = await start_small_cluster(stack, tmp_path)
    first, other = await open_caller(stack, cluster, 0), await open_caller(stack, cluster, 1)
    page = await search_until_complete(first)
    assert page.next_page is not None
    await cluster.change_backends(FaultChange(actions=(BackendAction.PUBLISH,), version=2))
    second = await other.search(SERVICE, "lot", page=page.next_page, deadline_ms=DEADLINE_MS)
    assert isinstance(second, SearchAnswer)
    assert second.snapshot == page.snapshot == Snapshot(1, 1)
    assert not {hit.id for hit in page.hits} & {hit.id for hit in second.hits}


async def test_searches_switch_to_a_new_version_without_mixing(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against answers with hits of two versions, which repeat or lack an entry.

    Versions 2 and 3 are published during searches, each first at half of the servers.
    """
    cluster = await start_small_cluster(stack, tmp_path)
    caller = await open_caller(stack, cluster)
    seen: list[SearchAnswer] = []
    servers = [server.id for server in cluster.plan.configuration.servers]
    for version in (2, 3):
        for part in (servers[::2], servers[1::2]):
            await cluster.change_backends(
                FaultChange(servers=tuple(part), actions=(BackendAction.PUBLISH,), version=version)
            )
            seen += [await search_until_complete(caller, f"lot {number}") for number in range(6)]
    assert all({hit.fields["version"] for hit in a.hits} <= {a.snapshot.version} for a in seen)
    assert seen[-1].snapshot == Snapshot(1, 3)


async def test_an_execute_sent_through_every_vm_runs_once(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against an execute that runs twice because it is sent through several VMs.

    A client sends the same execute with the same key through all VMs concurrently.
    """
    cluster = await start_small_cluster(stack, tmp_path)
    callers = [await open_caller(stack, cluster, n) for n in range(len(cluster.plan.daemons))]
    result = await asyncio.gather(
        *(
            caller.execute(SERVICE, "1", "hold-7", {"lot": 7}, deadline_ms=DEADLINE_MS)
            for caller in callers
        )
    )
    counts = await cluster.backend_counts()
    assert sum(one.counts.executions.get("hold-7", 0) for one in counts.values()) == 1
    assert sum(isinstance(one, ExecuteAnswer) and not one.repeated for one in result) == 1
    for one in result:
        assert isinstance(one, ExecuteAnswer) or (
            isinstance(one, Refused) and one.kind is ErrorKind.IN_PROGRESS
        )
    outcome_answer = await callers[0].outcome(SERVICE, "hold-7", deadline_ms=DEADLINE_MS)
    assert isinstance(outcome_answer, ExecuteAnswer)
    other = await callers[1].execute(SERVICE, "1", "hold-7", {"lot": 8}, deadline_ms=DEADLINE_MS)
    assert isinstance(other, Refused)
    assert other.kind is ErrorKind.KEY_REUSED


async def test_without_the_store_executes_are_not_run_and_searches_work(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against an execute that runs more than once because it has no claim in the store.

    The platform's store is unavailable; the execute must be refused as not run, and must not reach
    any backend server. Searches need no store.
    """
    cluster = await start_small_cluster(stack, tmp_path)
    caller = await open_caller(stack, cluster)
    await search_until_complete(caller)
    await cluster.change_platform(PlatformChange(set={"outage": "reset"}))
    result = await caller.execute(SERVICE, "0", "hold-1", {"lot": 1}, deadline_ms=DEADLINE_MS)
    assert isinstance(result, Refused)
    assert (result.kind, result.run) == (ErrorKind.STORE_AWAY, RunState.NOT_RUN)
    await search_until_complete(caller)
    counts = await cluster.backend_counts()
    assert not any(one.counts.executions for one in counts.values())


async def test_an_execute_runs_once_after_a_lost_reply_to_its_claim(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against refusing an execute for its own claim, with its key unusable for a day.

    The store accepts the claim and its reply is lost; the VM must recognise the claim as its own.
    """
    cluster = await start_small_cluster(stack, tmp_path)
    caller = await open_caller(stack, cluster)
    first = await caller.execute(SERVICE, "0", "warm-up", {}, deadline_ms=DEADLINE_MS)
    assert isinstance(first, ExecuteAnswer)
    await cluster.change_platform(PlatformChange(set={"lost_replies": 1}))
    result = await caller.execute(SERVICE, "0", "hold-2", {"lot": 2}, deadline_ms=DEADLINE_MS)
    assert isinstance(result, ExecuteAnswer)
    counts = await cluster.backend_counts()
    assert sum(one.counts.executions.get("hold-2", 0) for one in counts.values()) == 1


async def test_an_unknown_outcome_is_reported_and_not_run_again(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against an execute that runs again when it is repeated after a lost reply.

    The backend server runs the execute and its connection breaks before the reply.
    """
    cluster = await start_small_cluster(stack, tmp_path)
    caller = await open_caller(stack, cluster)
    await cluster.change_backends(FaultChange(set={"dropped_replies": 1}))
    result = await caller.execute(SERVICE, "0", "hold-3", {"lot": 3}, deadline_ms=DEADLINE_MS)
    assert isinstance(result, Refused)
    assert (result.kind, result.run) == (ErrorKind.OUTCOME_UNKNOWN, RunState.MAY_HAVE_RUN)
    await cluster.change_backends(FaultChange(clear=True))
    again = await caller.execute(SERVICE, "0", "hold-3", {"lot": 3}, deadline_ms=DEADLINE_MS)
    assert isinstance(again, Refused)
    assert again.kind is ErrorKind.OUTCOME_UNKNOWN
    counts = await cluster.backend_counts()
    assert sum(one.counts.executions.get("hold-3", 0) for one in counts.values()) == 1


@pytest.mark.parametrize("fault", ["crossed_replies", "truncated_replies", "failed_replies"])
async def test_a_bad_reply_reaches_no_caller(
    stack: AsyncExitStack, tmp_path: Path, fault: str
) -> None:
    """Guard against answers with hits of another search or with only a part of the hits.

    Every server replies to some calls with the reply of another call, a truncated one or an error.
    """
    cluster = await start_small_cluster(stack, tmp_path)
    caller = await open_caller(stack, cluster)
    expected = {
        word: (await search_until_complete(caller, word)).hits for word in ("junmai", "rope")
    }
    await cluster.change_backends(FaultChange(set={fault: 2}))
    for _ in range(6):
        for word, hits in expected.items():
            result = await caller.search(SERVICE, word, deadline_ms=DEADLINE_MS)
            if isinstance(result, SearchAnswer) and not result.coverage.missing:
                assert result.hits == hits
            elif isinstance(result, SearchAnswer):
                assert {hit.fields["shard"] for hit in result.hits}.isdisjoint(
                    result.coverage.missing
                )


async def test_a_cold_server_is_not_overloaded(stack: AsyncExitStack, tmp_path: Path) -> None:
    """Guard against four VMs that overload a cold server with one request each.

    All servers turn cold without notice while 200 searches arrive through all VMs.
    """
    cluster = await start_small_cluster(stack, tmp_path, "--warm-after=20")
    callers = [await open_caller(stack, cluster, n) for n in range(len(cluster.plan.daemons))]
    await asyncio.gather(
        *(
            callers[number % len(callers)].search(SERVICE, f"lot {number}", deadline_ms=2000)
            for number in range(200)
        )
    )
    counts = await cluster.backend_counts()
    assert sum(one.counts.cold_overruns for one in counts.values()) == 0
    assert sum(one.counts.searches_started for one in counts.values()) > 0


async def test_a_crashing_search_takes_down_few_servers(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against a crashing search that takes down every replica of every shard.

    Its caller sends it through each VM, three times over.
    """
    cluster = await start_small_cluster(stack, tmp_path, "--restart-ms=100")
    callers = [await open_caller(stack, cluster, n) for n in range(len(cluster.plan.daemons))]
    for caller in callers:
        await search_until_complete(caller)
    for _ in range(3):
        for caller in callers:
            await caller.search(SERVICE, "crash-this-server", deadline_ms=2000)
    counts = await cluster.backend_counts()
    crashes = sum(one.counts.crashes for one in counts.values())
    # The first fan-out reaches each of the four shards once. The second one may precede the crash
    # reports and reach owners that have not lost a server yet. Of the later ones, one runs as a
    # canary on one shard, and after its crash all VMs refuse the rest.
    assert crashes <= 4 + 4 + 1


async def test_a_graceful_shutdown_cuts_off_no_search(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against errors at callers while a VM is replaced.

    A VM that owns servers and has open callers' connections gets SIGTERM during searches; its
    callers try another VM only after "not run".
    """
    cluster = await start_small_cluster(stack, tmp_path)
    leaving, *others = cluster.plan.daemons
    caller = await stack.enter_async_context(
        CallerClient(
            [leaving.callers_address, *(other.callers_address for other in others)], caller="test"
        )
    )
    await search_until_complete(caller)
    process = cluster.daemons[leaving.vm]
    result: list[object] = []

    async def search_repeatedly(worker: int) -> None:
        while process.is_running:
            one = await caller.search(SERVICE, f"lot {worker}", deadline_ms=DEADLINE_MS)
            while isinstance(one, Refused) and one.kind is ErrorKind.OVERLOADED:
                # A VM short of processor time sheds load regardless of its shutdown; the caller
                # retries after the requested delay.
                assert one.run is RunState.NOT_RUN
                await asyncio.sleep((one.retry_after_ms or 1) / 1000)
                one = await caller.search(SERVICE, f"lot {worker}", deadline_ms=DEADLINE_MS)
            result.append(one)

    workers = [asyncio.create_task(search_repeatedly(n)) for n in range(SHUTDOWN_CALLERS)]
    while len(result) < SHUTDOWN_CALLERS:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    process.send_signal(signal.SIGTERM)
    await asyncio.gather(*workers)
    assert len(result) > 2 * SHUTDOWN_CALLERS
    assert await process.wait() == 0
    assert [one for one in result if not isinstance(one, SearchAnswer)] == []


async def test_the_servers_of_a_killed_vm_are_taken_over(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against servers of a killed VM that stay without an owner.

    Other VMs must take them over when the store's view excludes the VM.
    """
    cluster = await start_small_cluster(stack, tmp_path)
    victim, *others = cluster.plan.daemons
    cluster.daemons[victim.vm].send_signal(signal.SIGKILL)
    caller = await open_caller(stack, cluster, 1)
    # Searches prefer the other data centre, which is closer to the caller, unless it is slower.
    for data_centre in {daemon.data_centre for daemon in others} - {victim.data_centre}:
        await cluster.change_backends(FaultChange(data_centre=data_centre, set={"delay_ms": 30.0}))
    for _ in range(1000):
        await search_until_complete(caller)
        counts = await cluster.backend_counts()
        own_counts = [one for one in counts.values() if one.data_centre == victim.data_centre]
        started = {one.server: one.counts.searches_started for one in own_counts}
        if all(started.values()):
            break
        await asyncio.sleep(0.02)
    assert all(started.values())
