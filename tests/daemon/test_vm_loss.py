"""Searches in progress when a VM is killed."""

from __future__ import annotations

import asyncio
import signal
from contextlib import AsyncExitStack
from pathlib import Path

from socket_helpers import DEADLINE_MS, SERVICE, open_caller, start_small_cluster

from berylspindle_model.configuration import Policy, Preference
from berylspindle_model.messages import SearchAnswer


async def test_searches_through_a_killed_owner_miss_no_shard(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against searches that miss shards although a replica of each is available.

    A VM that owns two servers is killed while four searches wait there. The broken link to the VM
    must not be treated as a crash of the backend server, after which searches aren't retried.
    """
    policy = Policy(prefer=Preference.COVERAGE, deadline_ms=DEADLINE_MS, hedge_share=0.0)
    cluster = await start_small_cluster(stack, tmp_path, "--mean-ms=150", policy=policy)
    caller = await open_caller(stack, cluster, 1)
    for number in range(3):
        await caller.search(SERVICE, f"lot {number}", deadline_ms=DEADLINE_MS)
    searches = [
        asyncio.create_task(caller.search(SERVICE, f"lot {n}", deadline_ms=DEADLINE_MS))
        for n in range(4)
    ]
    await asyncio.sleep(0.1)
    cluster.daemons[cluster.plan.daemons[0].vm].send_signal(signal.SIGKILL)
    result = await asyncio.gather(*searches)
    missing = [one.coverage.missing for one in result if isinstance(one, SearchAnswer)]
    assert missing == [()] * 4
