"""Intents while the platform's store is unavailable, notifies late, or loses a reply."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from socket_helpers import (
    FULL_COVERAGE,
    Load,
    counts_in,
    fleet_status,
    make_plan,
    open_caller,
    open_operator,
    plan_and_confirm,
    revisions_by_vm,
    search_until_complete,
    start_small_cluster,
    wait_until,
)

from berylspindle_bench.cluster import Cluster
from berylspindle_client.operators import OperatorClient
from berylspindle_client.outcomes import Refused
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.intents import Confirmation, IntentKind
from berylspindle_standins.backend_standin import ServerCounts
from berylspindle_standins.platform_faults import PlatformChange

OUTAGES = ("reset", "silent")
# Long enough for several reads and watches after the store has recovered.
RECOVERY_S = 1.0


@pytest.mark.parametrize("outage", OUTAGES)
async def test_a_confirm_in_an_outage_changes_nothing(
    stack: AsyncExitStack, tmp_path: Path, outage: str
) -> None:
    """Guard against a refused confirm that takes effect when the store is back.

    The store is unavailable when the plan is confirmed. The confirm must be refused as not run,
    nothing may change even after recovery, and searches go on in both data centres.
    """
    cluster = await start_small_cluster(stack, tmp_path, policy=FULL_COVERAGE)
    admin = await open_operator(stack, cluster)
    name = cluster.plan.configuration.data_centres[1].name
    plan = await make_plan(admin, IntentKind.TAKE_OUT, name)
    async with Load(cluster, workers=2) as load:
        await cluster.change_platform(PlatformChange(set={"outage": outage}))
        result = await admin.confirm(plan)
        assert isinstance(result, Refused)
        assert (result.kind, result.run) == (ErrorKind.STORE_AWAY, RunState.NOT_RUN)
        started = _started(await counts_in(cluster, name))
        await wait_until(
            lambda: _more_than(cluster, name, started), "no search reaches the data centre"
        )
        await cluster.change_platform(PlatformChange(clear=True))
        await _stays_at(admin, 1)
    assert load.unanswered == []
    result = await admin.confirm(plan)
    assert isinstance(result, Confirmation)
    assert (result.revision, result.repeated) == (2, False)


@pytest.mark.parametrize(("outage", "compact"), [("reset", True), ("silent", False)])
async def test_an_accepted_intent_comes_into_force_without_the_store(
    stack: AsyncExitStack, tmp_path: Path, outage: str, compact: bool
) -> None:
    """Guard against VMs that read an old configuration and send work to a data centre that is out.

    The store fails right after it accepted the change, before its watchers are notified; peers
    propagate the change. After recovery its watches repeat old changes, or its history is
    compacted, so that watchers read all entries again and get those before the change.
    """
    cluster = await start_small_cluster(stack, tmp_path, policy=FULL_COVERAGE)
    admin, first = await open_operator(stack, cluster), await open_operator(stack, cluster, 0)
    name = cluster.plan.configuration.data_centres[1].name
    delays = {"watch_repeats": -1, "watch_delay_ms": 30_000}
    await cluster.change_platform(PlatformChange(set=delays))
    started_at = asyncio.get_running_loop().time()
    accepted = await plan_and_confirm(first, IntentKind.TAKE_OUT, name)
    await cluster.change_platform(PlatformChange(set={"outage": outage}))
    await wait_until(lambda: _all_at(admin, accepted.revision), "it is not in force everywhere")
    before = _started(await counts_in(cluster, name))
    caller = await open_caller(stack, cluster)
    for number in range(20):
        await search_until_complete(caller, f"lot {number}")
    lag = asyncio.get_running_loop().time() - started_at + RECOVERY_S
    recovered = {"outage": "none", "watch_delay_ms": 0, "read_lag_ms": 1000 * lag}
    await cluster.change_platform(PlatformChange(set=recovered, compact=compact))
    await _stays_at(admin, accepted.revision)
    await search_until_complete(caller)
    assert _started(await counts_in(cluster, name)) == before


async def test_a_lost_reply_to_the_change_is_resolved(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against applying an intent twice when an operator confirms again after a lost reply.

    The store accepts the change and its reply is lost. The VM must find the record of the intent,
    and a second confirm must be reported as a repetition.
    """
    cluster = await start_small_cluster(stack, tmp_path)
    admin = await open_operator(stack, cluster, 0)
    name = cluster.plan.configuration.data_centres[1].name
    plan = await make_plan(admin, IntentKind.TAKE_OUT, name)
    # Replies to writes are delayed to set the fault between the two writes of a confirm: the first
    # one checks the contents of the store, the second one is the change.
    await cluster.change_platform(PlatformChange(set={"late_reply_ms": 500}))
    puts = await _puts(cluster)
    confirming = asyncio.create_task(admin.confirm(plan))
    await wait_until(lambda: _put_since(cluster, puts), "the change was not written")
    await cluster.change_platform(PlatformChange(set={"late_reply_ms": 0, "lost_replies": 1}))
    result = await confirming
    assert (await cluster.platform_counts()).lost == 1
    assert isinstance(result, Confirmation)
    assert (result.id, result.revision, result.repeated) == (plan.id, 2, False)
    again = await (await open_operator(stack, cluster, 1)).confirm(plan)
    assert again == Confirmation(id=plan.id, revision=2, repeated=True)
    all_vms = await open_operator(stack, cluster)
    await wait_until(lambda: _all_at(all_vms, 2), "it is not in force everywhere")
    assert [record.id for record in (await fleet_status(all_vms)).intents] == [plan.id]


async def test_a_lost_reply_before_the_swap_changes_nothing_twice(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against a confirm that fails before the change but is applied or reported as unknown.

    The confirm loses the reply to its first write, which only checks the contents of the store.
    The first VM must report "not run", and the next one applies the plan once.
    """
    cluster = await start_small_cluster(stack, tmp_path)
    first_vm, admin = await open_operator(stack, cluster, 0), await open_operator(stack, cluster)
    name = cluster.plan.configuration.data_centres[1].name
    plan = await make_plan(admin, IntentKind.TAKE_OUT, name)
    await cluster.change_platform(PlatformChange(set={"lost_replies": 1}))
    result = await first_vm.confirm(plan)
    assert isinstance(result, Refused)
    assert (result.kind, result.run) == (ErrorKind.STORE_AWAY, RunState.NOT_RUN)
    assert set((await revisions_by_vm(admin)).values()) == {1}
    await cluster.change_platform(PlatformChange(set={"lost_replies": 1}))
    assert await admin.confirm(plan) == Confirmation(id=plan.id, revision=2)
    assert await first_vm.confirm(plan) == Confirmation(id=plan.id, revision=2, repeated=True)


async def _stays_at(admin: OperatorClient, revision: int) -> None:
    """Check repeatedly that every VM stays at this revision."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + RECOVERY_S
    while loop.time() < ends:
        assert set((await revisions_by_vm(admin)).values()) == {revision}
        await asyncio.sleep(0.1)


async def _all_at(admin: OperatorClient, revision: int) -> bool:
    revisions = await revisions_by_vm(admin)
    return len(revisions) == 4 and set(revisions.values()) == {revision}


def _started(counts: list[ServerCounts]) -> dict[str, int]:
    return {one.server: one.counts.searches_started for one in counts}


async def _more_than(cluster: Cluster, name: str, started: dict[str, int]) -> bool:
    now = _started(await counts_in(cluster, name))
    return all(now[server] > count for server, count in started.items())


async def _puts(cluster: Cluster) -> int:
    return (await cluster.platform_counts()).calls.get("put", 0)


async def _put_since(cluster: Cluster, puts: int) -> bool:
    return await _puts(cluster) > puts
