"""Concurrent operators, and plans that would leave a shard without a replica."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

from socket_helpers import make_plan, open_operator, plan_and_confirm, start_small_cluster

from berylspindle_client.operators import OperatorClient
from berylspindle_client.outcomes import Refused
from berylspindle_model.configuration import Configuration, DataCentreState, ServerState
from berylspindle_model.configuration_codec import parse_configuration
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.intents import Confirmation, IntentKind


async def test_one_of_three_concurrent_plans_is_accepted(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against concurrent plans that together take both data centres out of service.

    Two operators take out one data centre each, a third retires a server. Each plan assumes that
    the rest stays in service. All plans have the same base revision and are confirmed concurrently
    through different VMs.
    """
    cluster = await start_small_cluster(stack, tmp_path)
    admins = [await open_operator(stack, cluster, number) for number in range(3)]
    first, second = (centre.name for centre in cluster.plan.configuration.data_centres)
    plans = [
        await make_plan(admins[0], IntentKind.TAKE_OUT, first),
        await make_plan(admins[1], IntentKind.TAKE_OUT, second),
        await make_plan(admins[2], IntentKind.RETIRE, "lots-0-0"),
    ]
    assert {plan.base for plan in plans} == {1}
    pairs = zip(admins, plans, strict=True)
    result = await asyncio.gather(*(admin.confirm(plan) for admin, plan in pairs))
    accepted = [one for one in result if isinstance(one, Confirmation)]
    refused = [one for one in result if isinstance(one, Refused)]
    assert [one.revision for one in accepted] == [2]
    stale = (ErrorKind.STALE_PLAN, RunState.NOT_RUN)
    assert [(one.kind, one.run) for one in refused] == [stale, stale]
    now = await configuration(await open_operator(stack, cluster, result.index(accepted[0])))
    assert [record.id for record in now.intents] == [accepted[0].id]
    out = [centre.name for centre in now.data_centres if centre.state is DataCentreState.OUT]
    retired = [one.id for one in now.servers if one.state is ServerState.RETIRED]
    assert [*out, *retired] == [plans[result.index(accepted[0])].intent.subject]


async def test_removing_the_last_replica_needs_an_override(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against removing the last replica of a shard by planning again after a conflict.

    One operator retires a server; the other one takes out the data centre with the only replica
    left.
    """
    cluster = await start_small_cluster(stack, tmp_path)
    one, other = await open_operator(stack, cluster, 0), await open_operator(stack, cluster, 1)
    servers = cluster.plan.configuration.replicas("lots", "0")
    lost = await make_plan(other, IntentKind.TAKE_OUT, servers[1].data_centre)
    await plan_and_confirm(one, IntentKind.RETIRE, servers[0].id)
    result = await other.confirm(lost)
    assert isinstance(result, Refused)
    assert result.kind is ErrorKind.STALE_PLAN
    plan = await make_plan(other, IntentKind.TAKE_OUT, servers[1].data_centre)
    assert plan.needs_override
    assert any("1 of 4 shards without a replica" in text for text in plan.breaks)
    result = await other.confirm(plan)
    assert isinstance(result, Refused)
    assert (result.kind, result.run) == (ErrorKind.UNSAFE_PLAN, RunState.NOT_RUN)
    assert (await configuration(other)).revision == 2
    assert await other.confirm(plan, override=True) == Confirmation(id=plan.id, revision=3)


async def configuration(admin: OperatorClient) -> Configuration:
    text = await admin.configuration()
    assert isinstance(text, bytes), text
    return parse_configuration(text)
