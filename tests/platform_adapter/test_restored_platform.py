"""The daemon as a separate process, after the platform's store has returned from a copy."""

from __future__ import annotations

import asyncio
from pathlib import Path

from platform_site import WATCH_TIMEOUT_S, Platform, open_platform, start_vm

from berylspindle_wire.client import HttpClient

DRAIN_S = 3.0
"""Seconds within which requests to a replica end after it has announced that it drains."""

CONFIG_APPLY_S = 7.0
"""Seconds within which a version is in force after the return of the store: the 4 s after which a
VM counts as in touch and the 3 s from there."""


async def test_replica_that_drains_after_the_store_returned_from_a_copy_gets_no_requests(
    tmp_path: Path,
) -> None:
    """Guard against requests to a replica whose announcement has a lower revision than before."""
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        copy = platform.kv.copy()
        await platform.lose_changes(copy)
        platform.announce_all()
        await asyncio.wait_for(platform.kv.until_watched(), WATCH_TIMEOUT_S)
        for number in range(2):
            platform.replicas[f"i-booking-{number}"].behaviour.service_time_s = 0.05
        leaving = platform.replicas["i-booking-0"]
        platform.announce(leaving, state="draining")
        await asyncio.sleep(DRAIN_S)
        arrivals = leaving.counts.arrivals
        responses = await asyncio.gather(*(platform.request(f"/booking/{n}") for n in range(12)))
        assert {response.status for response in responses} == {200}
        assert leaving.counts.arrivals == arrivals


async def until_route_is_dropped(platform: Platform, *clients: HttpClient) -> None:
    """Wait until all VMs answer requests of the route that version 2 drops with 404."""
    async with asyncio.timeout(CONFIG_APPLY_S):
        for platform.client in clients:
            while (await platform.request("/lots/2")).status != 404:  # noqa: ASYNC110
                await asyncio.sleep(0.05)


async def test_configuration_written_after_the_store_returned_from_a_copy_is_in_force(
    tmp_path: Path,
) -> None:
    """Guard against VMs that keep an old table: one follows the store, one a mirror."""
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        copy = platform.kv.copy()
        _, follower, ready, _ = await start_vm(
            platform.stack, platform.kv, tmp_path, "front-2", seeds=(platform.control,)
        )
        first, platform.ready = platform.client, ready
        await platform.until_ready()
        await platform.lose_changes(copy)
        await asyncio.wait_for(platform.kv.until_watched(), WATCH_TIMEOUT_S)
        platform.drop_merged_route()
        await until_route_is_dropped(platform, first, follower)


async def test_configuration_is_in_force_if_the_revision_watched_was_given_out_again(
    tmp_path: Path,
) -> None:
    """Guard against a watch that continues in another history and misses what was before."""
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        copy = platform.kv.copy()
        platform.announce(platform.replicas["i-s1-0"])
        await asyncio.wait_for(platform.kv.until_watched(), WATCH_TIMEOUT_S)
        platform.kv.outage = "reset"
        platform.kv.restore(copy)
        platform.drop_merged_route()
        platform.announce_all()
        platform.kv.outage = ""
        await until_route_is_dropped(platform, platform.client)
