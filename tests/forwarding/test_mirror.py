"""A VM's copy of the store's entries, and following one in place of the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from forward_site import NoStore

from berylspindle_forwarding.mirror import MOST_CHANGES, Mirror, MirrorStore
from berylspindle_forwarding.upstream_selector import MirrorAddress, UpstreamSelector
from berylspindle_store.store import StoreAway, StoredValue
from berylspindle_wire.http_server import serve


def entry(key: str, revision: int, value: bytes | None = b"v") -> StoredValue:
    return StoredValue(key=key, value=value, revision=revision)


@asynccontextmanager
async def followed() -> AsyncIterator[tuple[Mirror, MirrorStore]]:
    mirror = Mirror(asyncio.get_running_loop().time)
    async with await serve(mirror.answer, host="127.0.0.1", port=0) as server:
        store = MirrorStore("127.0.0.1", server.port)
        try:
            yield mirror, store
        finally:
            await store.close()


async def test_a_mirror_is_listed_and_watched_like_the_store() -> None:
    async with followed() as (mirror, store):
        with pytest.raises(StoreAway):
            await store.list("a/")
        mirror.set_listed([entry("a/1", 5), entry("b/1", 6)], 7)
        listed = await store.list("a/")
        assert (listed.revision, listed.entries) == (7, (entry("a/1", 5),))
        waiting = asyncio.create_task(store.watch("", after=7, wait=5))
        await asyncio.sleep(0.02)
        mirror.add([entry("a/1", 8, None), entry("a/2", 9, b"\x00\xff")], 9)
        told = await waiting
        assert (told.revision, told.compacted) == (9, False)
        assert told.entries == (entry("a/1", 8, None), entry("a/2", 9, b"\x00\xff"))
        assert (await store.watch("", after=9, wait=0.05)).entries == ()
        assert (await store.list("")).entries == (entry("b/1", 6), entry("a/2", 9, b"\x00\xff"))


async def test_who_lags_behind_what_a_mirror_remembers_is_told_to_list_anew() -> None:
    """A follower misses the removal of a replica that the mirror has forgotten."""
    async with followed() as (mirror, store):
        mirror.set_listed([], 10)
        assert (await store.watch("", after=9, wait=0.05)).compacted
        for revision in range(11, 13 + MOST_CHANGES):
            mirror.add([entry("a", revision)], revision)
        assert (await store.watch("", after=10, wait=0.05)).compacted
        told = await store.watch("", after=13, wait=0.05)
        assert not told.compacted
        assert len(told.entries) == MOST_CHANGES - 1


async def test_a_mirror_of_five_thousand_replicas_is_listed_and_watched() -> None:
    """A VM that starts in a large fleet takes the lists of all its peers for broken.

    They are longer than the megabyte that is the usual bound of an answer, so that it falls back
    on the store, as all other VMs do, or knows nothing while the store is away.
    """
    async with followed() as (mirror, store):
        known = [entry(f"replicas/i-{n:010}", n + 1, b"x" * 230) for n in range(5200)]
        mirror.set_listed([*known, entry("table", 6000, b"x" * 1_000_000)], 6000)
        assert len((await store.list("")).entries) == 5201
        mirror.add([entry("table", 6001, b"y" * 1_000_000)], 6001)
        told = await store.watch("", after=6000, wait=1)
        assert [len(changed.value or b"") for changed in told.entries] == [1_000_000]


async def test_a_mirror_says_that_it_is_not_in_step_itself() -> None:
    async with followed() as (mirror, store):
        mirror.set_listed([], 1)
        await store.watch("", after=1, wait=0.01)
        assert store.behind_ms > 0
        mirror.set_in_step(True)
        await store.watch("", after=1, wait=0.01)
        assert store.behind_ms == 0


class Broken(MirrorStore):
    """A store that is only told apart from others."""


async def test_while_the_store_is_away_mirrors_and_the_store_are_asked_in_turn() -> None:
    """A VM that the store turns away never looks whether it is back, or never follows its peers."""
    store = Broken("127.0.0.1", 1)
    near, far = MirrorAddress("127.0.0.1", 2, True), MirrorAddress("127.0.0.1", 3)
    choice = UpstreamSelector(
        store, mirrors=lambda: (near, far), now=lambda: 0.0, rng=random.Random(1)
    )
    assert choice.pick().store is store
    await choice.failed(choice.pick())
    first, second, third = choice.pick(), choice.pick(), choice.pick()
    assert (first.is_mirror, second.is_mirror, third.is_mirror) == (True, False, True)
    assert second.wait is not None
    assert second.wait < 1
    assert first.store is third.store
    await choice.failed(third)
    choice.pick()
    assert choice.pick().store is not third.store
    await choice.worked(second)
    assert not choice.store_away
    assert choice.pick().wait is None
    await choice.close()
    await store.close()


async def test_a_vm_without_peers_keeps_to_the_store() -> None:
    store = Broken("127.0.0.1", 1)
    choice = UpstreamSelector(store, mirrors=tuple, now=lambda: 0.0, rng=random.Random(1))
    await choice.failed(choice.pick())
    assert [choice.pick().is_mirror for _ in range(3)] == [False] * 3
    await store.close()


@pytest.mark.parametrize("first", ["list", "watch"])
async def test_a_vm_that_starts_in_a_cut_off_data_centre_hears_of_it_at_once(first: str) -> None:
    """Guards against one ready VM for whose sake a balancer goes on using a whole data centre."""
    async with followed() as (mirror, store):
        mirror.set_listed([entry("a", 3)], 3)
        mirror.set_cut_off(True)
        async with asyncio.timeout(2.0):
            if first == "list":
                await store.list("")
            else:
                await store.watch("", after=3, wait=5.0)
        assert store.cut_off


async def test_mirrors_here_are_read_on_while_they_lag_and_others_seldom() -> None:
    """Guards against VMs of a cut off data centre that try others while news waits next door."""
    clock = [0.0]
    near = tuple(MirrorAddress("127.0.0.1", port, True) for port in (1, 2))
    far = tuple(MirrorAddress("127.0.0.2", port) for port in range(1, 9))
    choice = UpstreamSelector(
        NoStore(), mirrors=lambda: (*near, *far), now=lambda: clock[0], rng=random.Random(5)
    )
    chosen = []
    for _ in range(100):
        followed = choice.pick()
        if not followed.is_mirror:
            await choice.failed(followed)
            continue
        assert isinstance(followed.store, MirrorStore)
        followed.store.behind_ms = 1
        address = choice._current[0] if choice._current is not None else None
        chosen.append(address)
        if address in near:
            await choice.worked(followed)
        else:
            await choice.failed(followed)
        clock[0] += 0.2
    assert sum(address in far for address in chosen) <= 6
    await choice.close()
