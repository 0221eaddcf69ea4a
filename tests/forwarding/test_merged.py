"""Requests that go to one replica of each shard, over sockets."""

from __future__ import annotations

import asyncio
import time

import pytest
from forward_site import DIALECT, Site, merged_route, open_site

from berylspindle_decisions.record_merge import greatest
from berylspindle_forwarding.scatter_gather import ScatterGather
from berylspindle_standins.forward_replica import Spoil, answer_body, signature_of
from berylspindle_wire.http import HttpResponse

SHARDS = ("s0", "s1", "s2", "s3")


async def open_shards(site: Site, *, per_shard: int = 2) -> None:
    for shard in SHARDS:
        for number in range(per_shard):
            await site.replica(f"{shard}-{number}", shard)


def parts_of(told: HttpResponse) -> set[str]:
    return set(filter(None, told.headers.get(DIALECT.parts.decode(), "").split(", ")))


def check(told: HttpResponse, path: str, request_id: str, *, absent: tuple[str, ...] = ()) -> None:
    """Check that an answer is made of exactly the shards that it names."""
    assert told.status == 200
    bodies = {shard: answer_body(shard, path) for shard in SHARDS if shard not in absent}
    assert parts_of(told) == {signature_of(s, request_id, body) for s, body in bodies.items()}
    assert told.headers[DIALECT.absent.decode()] == str(len(absent))
    assert told.body == greatest(bodies.values(), 5)


async def test_an_answer_holds_the_greatest_records_of_all_shards_and_names_them():
    async with open_site() as site:
        await open_shards(site)
        site.route(merged_route(SHARDS))
        for number in range(5):
            path = f"/lots/{number}"
            check(await site.ask(path, request_id=f"id-{number}"), path, f"id-{number}")
        assert sum(site.runs().values()) == 5 * len(SHARDS)


@pytest.mark.parametrize("spoil", [s for s in Spoil if s is not Spoil.EARLY])
async def test_a_spoiled_part_is_left_out_or_asked_again_and_never_merged(spoil: Spoil):
    """A search shows lots that belong to another search, or hides some and says it is whole."""
    async with open_site() as site:
        await open_shards(site)
        bad = site.replicas["s0-0"]
        bad.behaviour.spoil, bad.behaviour.spoiled = spoil, -1
        site.route(merged_route(SHARDS))
        for number in range(10):
            path = f"/lots/{number}"
            told = await site.ask(path, request_id=f"id-{number}")
            await asyncio.sleep(0.012)
            absent = () if told.headers[DIALECT.absent.decode()] == "0" else ("s0",)
            check(told, path, f"id-{number}", absent=absent)


async def test_a_shard_without_a_replica_is_named_as_absent_and_too_few_are_no_answer():
    async with open_site() as site:
        await open_shards(site, per_shard=1)
        site.route(merged_route(SHARDS))
        site.replicas["s1-0"].go_down()
        check(await site.ask("/lots/1", request_id="id-1"), "/lots/1", "id-1", absent=("s1",))
        site.replicas["s2-0"].go_down()
        told = await site.ask("/lots/2")
        assert told.status in (502, 503, 504)
        assert told.body != b""


async def test_a_paused_replica_is_hedged_in_time_and_its_late_answer_is_dropped():
    """A search waits for the one replica of ten that pauses just now, and is late."""
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


async def test_at_the_aim_an_answer_goes_out_with_enough_of_the_parts():
    """A search over a shard whose replicas all hang is answered when nobody wants it any more."""
    async with open_site() as site:
        await open_shards(site)
        for number in range(2):
            site.replicas[f"s3-{number}"].pause()
        site.route(merged_route(SHARDS, aim_ms=150))
        began = time.monotonic()
        told = await site.ask("/lots/1", request_id="id-1")
        assert 0.05 < time.monotonic() - began < 1.0
        check(told, "/lots/1", "id-1", absent=("s3",))


async def test_a_route_keeps_the_shards_of_one_table_for_each_request():
    """A search over a repartitioned index mixes shards of the old and the new cut."""
    async with open_site() as site:
        await open_shards(site, per_shard=1)
        for shard in ("t0", "t1"):
            await site.replica(f"{shard}-0", shard)
        for replica in site.replicas.values():
            replica.behaviour.work = 0.05
        site.route(merged_route(SHARDS))
        before = asyncio.create_task(site.ask("/lots/1", request_id="id-1"))
        await asyncio.sleep(0.02)
        site.route(merged_route(("t0", "t1")))
        after = await site.ask("/lots/2", request_id="id-2")
        check(await before, "/lots/1", "id-1")
        bodies = {shard: answer_body(shard, "/lots/2") for shard in ("t0", "t1")}
        assert parts_of(after) == {signature_of(s, "id-2", body) for s, body in bodies.items()}


async def test_no_shard_of_one_request_runs_at_more_replicas_than_the_route_allows():
    """Searches that fail everywhere run three times the work when the replicas are in trouble."""
    async with open_site() as site:
        await open_shards(site, per_shard=4)
        for replica in site.replicas.values():
            replica.behaviour.fail = -1
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


async def test_a_request_that_waits_wakes_its_vm_only_when_something_is_due(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A VM of a few cores' worth spends half of its processor on requests that wait.

    A shard that has answered leaves the time of its hedge behind, which has passed; a timer for it
    is due at once, again and again, until the whole request has its answer.
    """
    woken = 0
    on_timer = ScatterGather._on_timer

    def counted(drive: ScatterGather) -> None:
        nonlocal woken
        woken += 1
        on_timer(drive)

    monkeypatch.setattr(ScatterGather, "_on_timer", counted)
    async with open_site() as site:
        await open_shards(site)
        site.route(merged_route(SHARDS, aim_ms=400, least=1.0))
        for number in range(2):
            site.replicas[f"s3-{number}"].pause()
        asking = asyncio.create_task(site.ask("/lots/1", request_id="id-1"))
        await asyncio.sleep(0.5)
        assert woken <= 12
        for number in range(2):
            site.replicas[f"s3-{number}"].resume()
        check(await asking, "/lots/1", "id-1")
