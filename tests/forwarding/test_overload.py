"""Test a burst of requests over sockets: responses to callers and requests at replicas."""

from __future__ import annotations

import asyncio

from forward_site import Site, merged_route, open_site, plain_route

from berylspindle_wire.http import HttpResponse

SHARDS = ("s0", "s1", "s2", "s3")
WORK_S = 0.02
LEFT_MS = 3000


async def open_shards(site: Site) -> None:
    for shard in SHARDS:
        for number in range(2):
            replica = await site.replica(f"{shard}-{number}", shard, slots=1)
            replica.behaviour.service_time_s = WORK_S
    sweep = merged_route(SHARDS, least=1.0, name="sweep", priority=1, aim_ms=200)
    check = merged_route(
        SHARDS, least=0.5, name="check", priority=2, aim_ms=200, prefix="/check/", max_replicas=2
    )
    site.route(sweep, check)


async def send(site: Site, path: str, count: int, gap: float) -> dict[str, HttpResponse]:
    """Send requests at a constant rate without waiting for earlier responses.

    Each request has its time from the start of the sending. With a pause after each request, a
    sender on a busy core would stay below the capacity that it is to exceed.
    """
    sending = {}
    loop = asyncio.get_running_loop()
    started = loop.time()
    for number in range(count):
        request_id = f"{path.strip('/')}-{number}"
        ask = site.ask(f"{path}{number}", request_id=request_id, left_ms=LEFT_MS)
        sending[request_id] = asyncio.create_task(ask)
        await asyncio.sleep(max(0.0, started + (number + 1) * gap - loop.time()))
    return dict(zip(sending, await asyncio.gather(*sending.values()), strict=True))


def shards_that_ran(site: Site, request_id: str) -> set[str]:
    return {r.service for r in site.replicas.values() if r.counts.runs[request_id]}


async def test_requests_beyond_capacity_are_refused_at_once_and_run_at_no_shard():
    """Guard against a burst that makes all searches late because each shard serves other searches.

    The burst brings three times the parts that the eight slots can run. A refused search must reach
    no replica, an admitted one all of its shards, and the burst must have both.
    """
    async with open_site() as site:
        await open_shards(site)
        for number in range(40):
            await site.ask(f"/lots/warm-{number}")
        responses = await send(site, "/lots/", 150, WORK_S / 6)
        refused = [name for name, answer in responses.items() if answer.status == 503]
        answered = [name for name, answer in responses.items() if answer.status == 200]
        assert len(refused) >= 20
        assert len(answered) >= 20
        failed = {name: r for name, r in responses.items() if r.status not in (200, 503)}
        assert len(refused) + len(answered) == 150, failed
        for name in refused:
            assert shards_that_ran(site, name) == set()
            wait_ms = float(responses[name].headers["retry-after"]) * 1000
            assert 0 < wait_ms <= LEFT_MS / 3
        for name in answered:
            assert shards_that_ran(site, name) == set(SHARDS)
        waits = {responses[name].headers["retry-after"] for name in refused}
        assert len(waits) >= len(refused) / 2, "retry-after times are not spread"


async def test_normal_load_after_a_burst_is_not_refused():
    """Guard against queues of a burst that persist under a load the replicas can serve."""
    async with open_site() as site:
        await open_shards(site)
        for number in range(40):
            await site.ask(f"/lots/warm-{number}")
        await send(site, "/lots/", 100, WORK_S / 6)
        await asyncio.sleep(0.5)
        responses = await send(site, "/check/", 20, WORK_S * 2)
        assert {answer.status for answer in responses.values()} == {200}


async def test_waits_for_connections_do_not_count_as_replica_latency():
    """Guard against refusals by a VM that has just started when all callers return after an outage.

    The VM opens its connections only then, so attempts wait although the replica is free. If the
    wait counts as latency without a queue, every short queue seems as long as the latency target.
    """
    async with open_site(expected_vms=12) as site:
        replica = await site.replica("b-0", "booking", slots=3)
        replica.behaviour.service_time_s = WORK_S
        site.route(plain_route(aim_ms=400))
        responses = await asyncio.gather(*(site.ask(f"/booking/{n}") for n in range(45)))
        assert {answer.status for answer in responses} == {200}
        for number in range(40):
            await site.ask(f"/booking/later-{number}")
        (unqueued,) = site.forwarder._context.unqueued_profiles.values()
        assert unqueued.has_enough_samples
        assert unqueued.quantile(0.75) < 5 * WORK_S * 1000
