"""Mirrors of the store's entries, and the selection between mirrors and the store."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from forward_site import NoStore

from berylspindle_decisions.confirmed_span import ConfirmedSpan
from berylspindle_decisions.upstream_choice import STORE_RETRY_S
from berylspindle_forwarding.mirror import (
    MAX_CHANGES,
    RECENT_READER_S,
    WATCH_PATH,
    Mirror,
    MirrorStore,
)
from berylspindle_forwarding.upstream_selector import MirrorAddress, UpstreamSelector
from berylspindle_store.store import StoredValue, StoreUnavailable
from berylspindle_wire.http import HttpRequest
from berylspindle_wire.http_server import serve


def entry(key: str, revision: int, value: bytes | None = b"v") -> StoredValue:
    return StoredValue(key=key, value=value, revision=revision)


@asynccontextmanager
async def open_mirror() -> AsyncIterator[tuple[Mirror, MirrorStore]]:
    mirror = Mirror(asyncio.get_running_loop().time)
    async with await serve(mirror.handle, host="127.0.0.1", port=0) as server:
        store = MirrorStore("127.0.0.1", server.port)
        try:
            yield mirror, store
        finally:
            await store.close()


async def test_mirror_is_listed_and_watched_like_the_store() -> None:
    async with open_mirror() as (mirror, store):
        with pytest.raises(StoreUnavailable):
            await store.list("a/")
        mirror.replace_entries([entry("a/1", 5), entry("b/1", 6)], 7)
        listed = await store.list("a/")
        assert (listed.revision, listed.entries) == (7, (entry("a/1", 5),))
        waiting = asyncio.create_task(store.watch("", after=7, wait=5))
        await asyncio.sleep(0.02)
        mirror.apply_changes([entry("a/1", 8, None), entry("a/2", 9, b"\x00\xff")], 9)
        result = await waiting
        assert (result.revision, result.compacted) == (9, False)
        assert result.entries == (entry("a/1", 8, None), entry("a/2", 9, b"\x00\xff"))
        assert (await store.watch("", after=9, wait=0.05)).entries == ()
        assert (await store.list("")).entries == (entry("b/1", 6), entry("a/2", 9, b"\x00\xff"))


async def test_watch_before_the_oldest_change_is_reported_as_compacted() -> None:
    """Guard against a follower that misses the removal of a replica.

    The change that removes it is older than all changes that the mirror keeps.
    """
    async with open_mirror() as (mirror, store):
        mirror.replace_entries([], 10)
        assert (await store.watch("", after=9, wait=0.05)).compacted
        for revision in range(11, 13 + MAX_CHANGES):
            mirror.apply_changes([entry("a", revision)], revision)
        assert (await store.watch("", after=10, wait=0.05)).compacted
        result = await store.watch("", after=13, wait=0.05)
        assert not result.compacted
        assert len(result.entries) == MAX_CHANGES - 1


async def test_mirror_of_five_thousand_replicas_is_listed_and_watched() -> None:
    """Guard against a VM of a large fleet that rejects the lists of all peers as malformed.

    The lists exceed the default limit of one megabyte for a response. All VMs would use the store
    instead, and have no entries if they start while it is unavailable.
    """
    async with open_mirror() as (mirror, store):
        known = [entry(f"replicas/i-{n:010}", n + 1, b"x" * 230) for n in range(5200)]
        mirror.replace_entries([*known, entry("table", 6000, b"x" * 1_000_000)], 6000)
        assert len((await store.list("")).entries) == 5201
        mirror.apply_changes([entry("table", 6001, b"y" * 1_000_000)], 6001)
        result = await store.watch("", after=6000, wait=1)
        assert [len(changed.value or b"") for changed in result.entries] == [1_000_000]


async def test_mirror_hands_on_the_age_of_its_view_and_not_that_of_its_last_response() -> None:
    """Guard against followers that take an outdated mirror for recent because it answers."""
    async with open_mirror() as (mirror, store):
        mirror.replace_entries([], 1)
        await store.watch("", after=1, wait=0.01)
        assert store.span is None
        confirmed = ConfirmedSpan(time.monotonic() - 20.0, time.monotonic() - 5.0)
        mirror.confirm(confirmed)
        for _ in range(2):
            await store.watch("", after=1, wait=0.05)
            assert store.span is not None
            assert confirmed.at - 0.01 <= store.span.at <= confirmed.at
            assert confirmed.since <= store.span.since <= confirmed.since + 0.05


async def test_watch_ends_as_soon_as_the_mirror_is_confirmed_later_than_the_reader() -> None:
    """Guard against ages that add up from hop to hop, by the wait of a watch for each."""
    async with open_mirror() as (mirror, store):
        mirror.replace_entries([], 1)
        mirror.confirm(ConfirmedSpan(0.0, time.monotonic()))
        store.age = 0.0
        waiting = asyncio.create_task(store.watch("", after=1, wait=4.0))
        await asyncio.sleep(0.4)
        assert not waiting.done()
        mirror.confirm(ConfirmedSpan(0.0, time.monotonic()))
        async with asyncio.timeout(0.2):
            await waiting
        assert store.span is not None
        assert time.monotonic() - store.span.at < 0.2


async def test_reader_with_a_more_recent_view_is_known_for_some_seconds() -> None:
    """Guard against a rejected watcher that does not notice which of its followers is served."""
    clock = [100.0]
    mirror = Mirror(lambda: clock[0], lambda: clock[0])
    mirror.confirm(ConfirmedSpan(0.0, 98.0))
    readers = (("older", "2.5"), ("vm:7", "1.0"), ("vm:8", "0.5"), ("no port", "0.1"))
    for address, age in readers:
        query = {"after": "0", "wait": "0", "mirror": address, "age": age}
        request = HttpRequest(method="GET", path=WATCH_PATH, query=query, headers={}, body=b"")
        await mirror.handle(request)
    assert mirror.recent_reader() == "vm:8"
    clock[0] += RECENT_READER_S
    assert mirror.recent_reader() is None


class PlaceholderStore(MirrorStore):
    """A store that is only compared by identity."""


@pytest.mark.parametrize("value", ["nan", "inf", "-inf", "1e999", "x"])
@pytest.mark.parametrize("field", ["wait", "bears", "age"])
async def test_query_with_a_number_that_is_not_finite_is_rejected(field: str, value: str) -> None:
    """Guard against a timer at NaN, which delays the other timers of the event loop."""
    query = {"after": "0", "wait": "0", "follower": "vm-2", field: value}
    request = HttpRequest(method="GET", path=WATCH_PATH, query=query, headers={}, body=b"")
    mirror = Mirror(asyncio.get_running_loop().time)
    assert (await mirror.handle(request)).status == 400


async def test_calls_alternate_between_mirrors_and_the_store_while_it_is_unavailable() -> None:
    """Guard against a VM rejected by the store that never probes it again, or follows no peer."""
    clock = [0.0]
    store = PlaceholderStore("127.0.0.1", 1)
    local, remote = MirrorAddress("127.0.0.1", 2, True), MirrorAddress("127.0.0.1", 3)
    selector = UpstreamSelector(
        store, mirrors=lambda: (local, remote), now=lambda: clock[0], rng=random.Random(1)
    )
    assert selector.pick(age=0.0, pause=0.5).store is store
    # A broken watch need not be an outage.
    for _ in range(2):
        upstream = selector.pick(age=1.0, pause=0.5)
        assert upstream.store is store
        await selector.record_failure(upstream)
    first = selector.pick(age=1.0, pause=0.5)
    assert first.is_mirror
    await selector.record_success(first, ConfirmedSpan(0.0, 0.0))
    clock[0] = 1.5 * STORE_RETRY_S
    second = selector.pick(age=1.0, pause=0.5)
    assert second.store is store
    assert second.call.wait < 1
    await selector.record_failure(second)
    third = selector.pick(age=1.0, pause=0.5)
    assert third.store is first.store
    await selector.record_failure(third)
    assert selector.pick(age=1.0, pause=0.5).store not in (store, third.store)
    clock[0] += 1.5 * STORE_RETRY_S
    probe = selector.pick(age=1.0, pause=0.5)
    await selector.record_success(probe, ConfirmedSpan(clock[0], clock[0]))
    assert not selector.store_unavailable
    assert selector.pick(age=0.0, pause=0.5).store is store
    await selector.close()
    await store.close()


async def test_vm_without_peers_calls_the_store() -> None:
    store = PlaceholderStore("127.0.0.1", 1)
    selector = UpstreamSelector(store, mirrors=tuple, now=lambda: 0.0, rng=random.Random(1))
    await selector.record_failure(selector.pick(age=9.0, pause=0.5))
    assert [selector.pick(age=9.0, pause=0.5).is_mirror for _ in range(3)] == [False] * 3
    await store.close()


@pytest.mark.parametrize("first", ["list", "watch"])
async def test_vm_that_starts_in_a_cut_off_data_centre_is_notified_at_once(first: str) -> None:
    """Guard against a single ready VM that keeps the balancer on a data centre that is cut off."""
    async with open_mirror() as (mirror, store):
        mirror.replace_entries([entry("a", 3)], 3)
        mirror.set_cut_off(True)
        async with asyncio.timeout(2.0):
            if first == "list":
                await store.list("")
            else:
                await store.watch("", after=3, wait=5.0)
        assert store.cut_off


async def test_lagging_local_mirrors_are_preferred_to_remote_ones() -> None:
    """Guard against VMs of a cut off data centre that miss local updates.

    While they wait for remote mirrors, they don't read the local ones.
    """
    clock = [0.0]
    local = tuple(MirrorAddress("127.0.0.1", port, True) for port in (1, 2))
    remote = tuple(MirrorAddress("127.0.0.2", port) for port in range(1, 9))
    selector = UpstreamSelector(
        NoStore(), mirrors=lambda: (*local, *remote), now=lambda: clock[0], rng=random.Random(5)
    )
    chosen = []
    for _ in range(100):
        upstream = selector.pick(age=9.0, pause=0.5)
        if not upstream.is_mirror:
            await selector.record_failure(upstream)
            continue
        address = upstream.call.mirror
        chosen.append(address)
        if address in local:
            await selector.record_success(upstream, ConfirmedSpan(-9.0, -9.0))
        else:
            await selector.record_failure(upstream)
        clock[0] += 0.2
    assert sum(address in remote for address in chosen) <= 6
    await selector.close()


async def test_vm_describes_itself_to_its_watchers_only() -> None:
    """Guard against limits that are divided by too many VMs: each VM asked counts a follower."""
    near, other = MirrorAddress("127.0.0.1", 2, True), MirrorAddress("127.0.0.1", 3, True)
    known = [near]
    selector = UpstreamSelector(
        NoStore(),
        mirrors=lambda: (*known, other),
        now=lambda: 0.0,
        rng=random.Random(1),
        watchers=lambda: tuple(known),
        extra_query=lambda: {"follower": "vm-1"},
    )
    followed = selector.pick(age=0.0, pause=0.5)
    assert followed.call.mirror == near
    assert isinstance(followed.store, MirrorStore)
    assert followed.store._introduction() == {"follower": "vm-1"}
    known.clear()
    await selector.record_failure(selector.pick(age=0.0, pause=0.5))
    await selector.record_failure(selector.pick(age=0.0, pause=0.5))
    fallback = selector.pick(age=0.0, pause=0.5)
    assert fallback.call.mirror == other
    assert isinstance(fallback.store, MirrorStore)
    assert fallback.store._introduction() == {}
    await selector.close()
