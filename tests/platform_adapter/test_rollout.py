"""Rollouts in a running daemon: an order, replicas of two versions, and the status."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from platform_site import DIALECT, Platform, open_platform, start_replica, start_vm

SERVICE = "s1"
TERM_S = 6
CALLERS = 6
WORK_S = 0.02
"""Processing time of a request, long enough that a delay of some milliseconds on a busy machine
does not make the response look slow."""
STATUS = f"status/rollout/{SERVICE}"


def rollout_state(platform: Platform) -> str:
    item = platform.kv.items.get(STATUS)
    return json.loads(item.value)["state"] if item is not None else ""


async def wait_for_state(platform: Platform, *states: str) -> None:
    async with asyncio.timeout(4 * TERM_S):
        while rollout_state(platform) not in states:  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@asynccontextmanager
async def under_load(platform: Platform):
    """Send searches from `CALLERS` concurrent callers; yield the list of response statuses."""
    statuses: list[int] = []

    async def call() -> None:
        while True:
            statuses.append((await platform.request(f"/lots/{len(statuses)}")).status)
            await asyncio.sleep(0.02)

    callers = [asyncio.create_task(call()) for _ in range(CALLERS)]
    yield statuses
    for caller in callers:
        caller.cancel()
    results = await asyncio.gather(*callers, return_exceptions=True)
    assert all(isinstance(result, asyncio.CancelledError) for result in results)


async def order_rollout(platform: Platform, *, fails: bool) -> tuple[list, list]:
    """Order a rollout to v2; return the replicas of v1 and those of v2."""
    old = [r for r in platform.replicas.values() if r.service == SERVICE]
    for replica in old:
        replica.behaviour.service_time_s = WORK_S
        platform.announce(replica, version="v1")
    platform.kv.put(
        f"op/rollout/{SERVICE}",
        {"service": SERVICE, "target_version": "v2", "term_s": TERM_S},
    )
    new = []
    for number in range(2):
        replica = await start_replica(f"i-new-{number}", SERVICE, dialect=DIALECT)
        platform.stack.push_async_callback(replica.close)
        replica.behaviour.service_time_s = WORK_S
        replica.behaviour.failed_requests = 10**6 if fails else 0
        platform.announce(replica, version="v2")
        new.append(replica)
    return old, new


def count_runs(replicas: list) -> int:
    return sum(sum(replica.counts.runs.values()) for replica in replicas)


async def test_old_replicas_may_stop_as_soon_as_the_rollout_is_completed(tmp_path: Path) -> None:
    """Guard against cut requests: old replicas stop as soon as the status is `completed`."""
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        async with under_load(platform) as statuses:
            old, new = await order_rollout(platform, fails=False)
            await wait_for_state(platform, "running")
            await wait_for_state(platform, "completed", "rolled_back")
            assert rollout_state(platform) == "completed"
            runs_before = count_runs(old)
            for replica in old:
                await replica.close()
            sent_before = len(statuses)
            while len(statuses) < sent_before + 30:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            assert count_runs(old) == runs_before
        assert count_runs(new) > 30
        assert set(statuses) == {200}


async def test_failing_version_is_rolled_back_and_receives_no_more_requests(tmp_path: Path) -> None:
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        async with under_load(platform) as statuses:
            _, new = await order_rollout(platform, fails=True)
            await wait_for_state(platform, "completed", "rolled_back")
            assert rollout_state(platform) == "rolled_back"
            # The daemon receives its own status entry through its watch.
            await asyncio.sleep(1.5)
            runs_before, sent_before = count_runs(new), len(statuses)
            while len(statuses) < sent_before + 50:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            assert count_runs(new) == runs_before
            assert 0 < runs_before <= 0.1 * sent_before + 50
        assert set(statuses) == {200}


async def test_another_vm_continues_a_rollout_when_the_first_is_killed(tmp_path: Path) -> None:
    """Guard against a rollout that waits for a VM that was killed."""
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        _, client, ready, _ = await start_vm(
            platform.stack, platform.kv, tmp_path, "front-2", (platform.control,)
        )
        first, platform.ready = platform.ready, ready
        await platform.until_ready()
        platform.client, platform.ready = client, first
        async with under_load(platform) as statuses:
            await order_rollout(platform, fails=False)
            await wait_for_state(platform, "running")
            platform.process.kill()
            await wait_for_state(platform, "completed", "rolled_back")
        assert set(statuses) == {200}


async def test_order_for_the_current_version_is_completed_at_once(tmp_path: Path) -> None:
    """Guard against a service without usable replicas when all already run the ordered version.

    Replicas of an ordered version receive only trial requests until all requests shift to it; here
    no others are left for the regular requests.
    """
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        replicas = [r for r in platform.replicas.values() if r.service == SERVICE]
        for replica in replicas:
            platform.announce(replica, version="v2")
        async with under_load(platform) as statuses:
            runs_before = count_runs(replicas)
            platform.kv.put(
                f"op/rollout/{SERVICE}",
                {"service": SERVICE, "target_version": "v2", "term_s": TERM_S},
            )
            await wait_for_state(platform, "completed")
            sent_before = len(statuses)
            while len(statuses) < sent_before + 20:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            assert count_runs(replicas) - runs_before >= len(statuses)
        assert set(statuses) == {200}


@pytest.mark.parametrize("value", [b"", b"[]", b'{"target_version": 3}'])
async def test_malformed_order_is_ignored(tmp_path: Path, value: bytes) -> None:
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        platform.kv.put(f"op/rollout/{SERVICE}", value)
        await asyncio.sleep(1.0)
        assert (await platform.request("/lots/1")).status == 200
        assert rollout_state(platform) == ""
