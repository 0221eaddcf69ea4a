"""Test requests over all shards of a shard set, over sockets."""

from __future__ import annotations

import asyncio
import time

import pytest
from forward_site import DIALECT, Site, merged_route, open_site

from berylspindle_decisions.record_merge import top_records
from berylspindle_forwarding.scatter_gather import ScatterGather
from berylspindle_standins.forward_replica import ReplyFault, answer_body, signature_of
from berylspindle_wire.http import HttpResponse

SHARDS = ("s0", "s1", "s2", "s3")


async def open_shards(site: Site, *, per_shard: int = 2) -> None:
    for shard in SHARDS:
        for number in range(per_shard):
            await site.replica(f"{shard}-{number}", shard)


def parts_of(response: HttpResponse) -> set[str]:
    return set(filter(None, response.headers.get(DIALECT.parts.decode(), "").split(", ")))


def check(
    response: HttpResponse, path: str, request_id: str, *, absent: tuple[str, ...] = ()
) -> None:
    """Check that an answer consists of exactly the parts that it names."""
    assert response.status == 200
    bodies = {shard: answer_body(shard, path) for shard in SHARDS if shard not in absent}
    assert parts_of(response) == {signature_of(s, request_id, body) for s, body in bodies.items()}
    assert response.headers[DIALECT.absent.decode()] == str(len(absent))
    assert response.body == top_records(bodies.values(), 5)


async def test_answer_has_the_greatest_records_of_all_shards_and_names_them():
    async with open_site() as site:
        await open_shards(site)
        site.route(merged_route(SHARDS))
        for number in range(5):
            path = f"/lots/{number}"
            check(await site.ask(path, request_id=f"id-{number}"), path, f"id-{number}")
        assert sum(site.runs().values()) == 5 * len(SHARDS)


@pytest.mark.parametrize("reply_fault", [s for s in ReplyFault if s is not ReplyFault.EARLY])
async def test_malformed_part_is_omitted_or_retried_and_never_merged(reply_fault: ReplyFault):
    """Guard against merging parts of another search, and against hiding missing parts."""
    async with open_site() as site:
        await open_shards(site)
        bad = site.replicas["s0-0"]
        bad.behaviour.reply_fault, bad.behaviour.faulty_replies = reply_fault, -1
        site.route(merged_route(SHARDS))
        for number in range(10):
            path = f"/lots/{number}"
            response = await site.ask(path, request_id=f"id-{number}")
            await asyncio.sleep(0.012)
            absent = () if response.headers[DIALECT.absent.decode()] == "0" else ("s0",)
            check(response, path, f"id-{number}", absent=absent)


async def test_unreachable_shard_is_counted_as_absent_and_too_few_parts_fail():
    async with open_site() as site:
        await open_shards(site, per_shard=1)
        site.route(merged_route(SHARDS))
        site.replicas["s1-0"].crash()
        check(await site.ask("/lots/1", request_id="id-1"), "/lots/1", "id-1", absent=("s1",))
        site.replicas["s2-0"].crash()
        response = await site.ask("/lots/2")
        assert response.status in (502, 503, 504)
        assert response.body != b""


async def test_paused_replica_is_hedged_in_time_and_its_late_reply_is_dropped():
    """Guard against a search that is late because a single replica pauses."""
    async with open_site() as site:
        await open_shards(site)
        site.route(merged_route(SHARDS, aim_ms=400))
        for number in range(10):
            await site.ask(f"/lots/{number}")
        for name in SHARDS:
            site.replicas[f"{name}-0"].pause()
        path = "/lots/paused"
        began = time.monotonic()
        check(await site.ask(path, request_id="id-p"), path, "id-p")
        assert time.monotonic() - began < 0.4
        for name in SHARDS:
            site.replicas[f"{name}-0"].resume()
        await asyncio.sleep(0.05)
        check(await site.ask("/lots/after", request_id="id-a"), "/lots/after", "id-a")


async def test_partial_result_is_sent_at_the_latency_target():
    """Guard against waiting for a hanging shard beyond the latency target."""
    async with open_site() as site:
        await open_shards(site)
        for number in range(2):
            site.replicas[f"s3-{number}"].pause()
        site.route(merged_route(SHARDS, aim_ms=150))
        began = time.monotonic()
        response = await site.ask("/lots/1", request_id="id-1")
        assert 0.05 < time.monotonic() - began < 1.0
        check(response, "/lots/1", "id-1", absent=("s3",))


async def test_request_uses_the_shards_of_a_single_table():
    """Guard against mixing shards of the old and the new partitioning in one answer."""
    async with open_site() as site:
        await open_shards(site, per_shard=1)
        for shard in ("t0", "t1"):
            await site.replica(f"{shard}-0", shard)
        for replica in site.replicas.values():
            replica.behaviour.service_time_s = 0.05
        site.route(merged_route(SHARDS))
        before = asyncio.create_task(site.ask("/lots/1", request_id="id-1"))
        await asyncio.sleep(0.02)
        site.route(merged_route(("t0", "t1")))
        after = await site.ask("/lots/2", request_id="id-2")
        check(await before, "/lots/1", "id-1")
        bodies = {shard: answer_body(shard, "/lots/2") for shard in ("t0", "t1")}
        assert parts_of(after) == {signature_of(s, "id-2", body) for s, body in bodies.items()}


async def test_shard_runs_at_no_more_replicas_than_the_route_allows():
    """Guard against multiplying the work when all replicas fail."""
    async with open_site() as site:
        await open_shards(site, per_shard=4)
        for replica in site.replicas.values():
            replica.behaviour.failed_requests = -1
        site.route(merged_route(SHARDS))
        await asyncio.gather(*(site.ask(f"/lots/{n}", request_id=f"id-{n}") for n in range(10)))
        for shard in SHARDS:
            for number in range(10):
                ran = sum(
                    replica.counts.runs[f"id-{number}"]
                    for name, replica in site.replicas.items()
                    if name.startswith(shard)
                )
                assert ran <= 2


async def test_waiting_request_runs_its_timer_only_when_a_step_is_due(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a busy loop of timers while a request waits.

    If an answered shard keeps the past time of its hedge, the timer is due at once, again and
    again, until the request completes. On a VM with few cores this takes half of the processor.
    """
    calls = 0
    on_timer = ScatterGather._on_timer

    def counted(request: ScatterGather) -> None:
        nonlocal calls
        calls += 1
        on_timer(request)

    monkeypatch.setattr(ScatterGather, "_on_timer", counted)
    async with open_site() as site:
        await open_shards(site)
        site.route(merged_route(SHARDS, aim_ms=400, least=1.0))
        for number in range(2):
            site.replicas[f"s3-{number}"].pause()
        asking = asyncio.create_task(site.ask("/lots/1", request_id="id-1"))
        await asyncio.sleep(0.5)
        assert calls <= 12
        for number in range(2):
            site.replicas[f"s3-{number}"].resume()
        check(await asking, "/lots/1", "id-1")
