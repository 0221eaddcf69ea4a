"""Executes whose owner refuses them without execution, with owners that the test answers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import pytest
from entry_harness import EntryHarness

from berylspindle_dataplane.executor import Executor
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.messages import AttemptReply, ExecuteAnswer, ExecuteRequest
from berylspindle_standins.platform_standin import start_platform
from berylspindle_store.claims import ClaimOptions, Claims
from berylspindle_store.http_store import open_store

DEADLINE_MS = 600
REQUEST = ExecuteRequest(
    request_id="r",
    service="lots",
    caller="c",
    key="k",
    shard="0",
    payload={},
    deadline_ms=DEADLINE_MS,
)


class ExecutorHarness(EntryHarness):
    """Executor with fake owners and the claims of a stand-in's store."""

    def __init__(self, claims: Claims) -> None:
        super().__init__()
        self.executor = Executor(self.router, self.entry, claims, self.context, lambda vm: True)

    async def wait_sent(self, count: int) -> None:
        async with asyncio.timeout(5):
            while len(self.owners.sent) < count:  # noqa: ASYNC110
                await asyncio.sleep(0.001)


@pytest.fixture
async def harness() -> AsyncIterator[ExecutorHarness]:
    async with await start_platform() as standin, open_store("127.0.0.1", standin.port) as store:
        claims = Claims(
            store, vm="vm", options=ClaimOptions(), now=time.monotonic, now_wall=time.time
        )
        yield ExecutorHarness(claims)


@pytest.mark.parametrize(
    "kind", [ErrorKind.PEER_LOST, ErrorKind.NOT_OWNER, ErrorKind.SHUTTING_DOWN]
)
async def test_an_execute_is_sent_again_if_its_owner_could_not_take_it(
    harness: ExecutorHarness, kind: ErrorKind
) -> None:
    """Guard against refusing an execute with time left because its owner was slow or changed."""
    execute = asyncio.create_task(harness.executor.execute(REQUEST))
    await harness.wait_sent(1)
    harness.owners.refuse(kind)
    await harness.wait_sent(2)
    _, attempt, on_reply = harness.owners.sent[-1]
    on_reply(AttemptReply(attempt=attempt.id, server="s", shard="0", result={"done": True}))
    answer = await execute
    assert isinstance(answer, ExecuteAnswer)
    assert answer.result == {"done": True}


async def test_an_execute_without_an_owner_is_refused_while_the_caller_has_time_left(
    harness: ExecutorHarness,
) -> None:
    """Guard against holding an execute near its deadline, when no other VM can take it in time."""
    started = harness.context.now()
    execute = asyncio.create_task(harness.executor.execute(REQUEST))
    refused = 0
    while not execute.done():
        if len(harness.owners.sent) > refused:
            refused = len(harness.owners.sent)
            harness.owners.refuse(ErrorKind.PEER_LOST)
        await asyncio.sleep(0.001)
    refusal = execute.result()
    assert isinstance(refusal, Refusal)
    assert (refusal.kind, refusal.run_state) == (ErrorKind.PEER_LOST, RunState.NOT_RUN)
    assert harness.context.now() - started < 0.75 * DEADLINE_MS / 1000
    assert len({attempt.id for _, attempt, _ in harness.owners.sent}) == refused > 2


async def test_an_execute_that_may_have_run_is_not_sent_again(harness: ExecutorHarness) -> None:
    """Guard against executing a request twice after its owner was lost."""
    execute = asyncio.create_task(harness.executor.execute(REQUEST))
    await harness.wait_sent(1)
    harness.owners.refuse(ErrorKind.PEER_LOST, RunState.MAY_HAVE_RUN)
    refusal = await execute
    assert isinstance(refusal, Refusal)
    assert refusal.kind is ErrorKind.OUTCOME_UNKNOWN
    assert len(harness.owners.sent) == 1
