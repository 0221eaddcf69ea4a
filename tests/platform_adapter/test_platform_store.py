"""`PlatformStore` against the stand-in store over sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from kv_standin import KvStandin, open_kv

from berylspindle_adapter.platform_store import PlatformStore
from berylspindle_store.connections import StoreOptions
from berylspindle_store.revisions import make_revision
from berylspindle_store.store import (
    StoreConflict,
    StoreLeaseNotFound,
    StoreOutcomeUnknown,
    StoreUnavailable,
)

OPTIONS = StoreOptions(read_timeout=0.3, write_timeout=0.3, watch_slack=0.3, connect_timeout=0.3)


@asynccontextmanager
async def open_store() -> AsyncIterator[tuple[KvStandin, PlatformStore]]:
    async with open_kv() as kv, PlatformStore("127.0.0.1", kv.port, OPTIONS) as store:
        yield kv, store


async def test_written_value_is_read_and_wrong_revision_is_rejected():
    async with open_store() as (_, store):
        assert await store.get("mine/a") is None
        created = await store.compare_and_swap("mine/a", b"\x00one", expect=0)
        read = await store.get("mine/a")
        assert read is not None
        assert (read.value, read.revision) == (b"\x00one", created.revision)
        with pytest.raises(StoreConflict) as raised:
            await store.compare_and_swap("mine/a", b"two", expect=0)
        assert raised.value.current == read
        await store.compare_and_swap("mine/a", None, expect=created.revision)
        with pytest.raises(StoreConflict) as raised:
            await store.compare_and_swap("mine/a", b"two", expect=created.revision)
        assert raised.value.current is None


async def test_list_of_many_pages_has_the_revision_of_the_first_page():
    """Guard against losing a change made between two pages.

    That happens if the watch starts at the revision of the last page.
    """
    async with open_store() as (kv, store):
        kv.page_size = 7
        for number in range(30):
            kv.put(f"servers/{number:02}", {"n": number})
        before = kv.rev
        listed = await store.list("servers/")
        assert [entry.key for entry in listed.entries] == [f"servers/{n:02}" for n in range(30)]
        assert listed.revision == make_revision(kv.era, before)
        assert kv.calls["kv-range"] == 5


async def test_watch_after_a_cached_list_returns_all_newer_changes():
    """Guard against losing changes between a list that is seconds old and the watch after it."""
    async with open_store() as (kv, store):
        kv.put("servers/a", {"n": 1})
        kv.put("servers/b", {"n": 1})
        kv.stale_copies.append(dict(kv.items))
        kv.put("servers/a", {"n": 2})
        kv.remove("servers/b")
        listed = await store.list_cached("servers/")
        assert [entry.key for entry in listed.entries] == ["servers/a", "servers/b"]
        watched = await store.watch("servers/", after=listed.revision, wait=1.0)
        assert [(entry.key, entry.value is None) for entry in watched.entries] == [
            ("servers/a", False),
            ("servers/b", True),
        ]


@pytest.mark.parametrize("oldest_first", [True, False])
async def test_watch_after_a_cached_list_returns_changes_that_its_oldest_page_lacks(
    oldest_first: bool,
):
    """Guard against a configuration that a restarted VM misses for good.

    The page with the configuration is read from an older copy than the page with a later change of
    a replica, or the other way round.
    """
    async with open_store() as (kv, store):
        kv.page_size = 2
        for key in ("op/config", "servers/a", "servers/b", "servers/c"):
            kv.put(key, {"n": 1})
        kv.stale_copies.append(dict(kv.items))
        changed = ("op/config", "servers/c") if oldest_first else ("servers/c", "op/config")
        for key in changed:
            kv.put(key, {"n": 2})
        kv.stale_copies.append(dict(kv.items))
        if not oldest_first:
            kv.stale_copies.rotate()
        listed = await store.list_cached("")
        known = {entry.key: entry.revision for entry in listed.entries}
        watched = await store.watch("", after=listed.revision, wait=0.1)
        known |= {entry.key: entry.revision for entry in watched.entries}
        current = {key: make_revision(kv.era, item.rev) for key, item in kv.items.items()}
        assert known == current
        assert kv.calls["kv-range"] == 2


async def test_watch_returns_changes_in_order_and_reports_compaction():
    async with open_store() as (kv, store):
        kv.put("op/config", {"version": 1})
        after = make_revision(kv.era, kv.rev)
        waiting = asyncio.create_task(store.watch("op/", after=after, wait=5))
        await asyncio.sleep(0.02)
        kv.put("servers/x", {})
        await asyncio.sleep(0.02)
        assert not waiting.done()
        kv.put("op/config", {"version": 2})
        watched = await waiting
        assert [entry.value for entry in watched.entries] == [b'{"version": 2}']
        kv.remove("op/config")
        rest = await store.watch("op/", after=watched.revision, wait=5)
        assert [entry.value for entry in rest.entries] == [None]
        kv.compact_history()
        await asyncio.sleep(0.02)
        kv.put("op/config", {"version": 3})
        assert (await store.watch("op/", after=after, wait=1)).compacted


@pytest.mark.parametrize(
    ("outage", "write_error"),
    [
        ("503", StoreUnavailable),
        ("429", StoreUnavailable),
        ("reset", StoreOutcomeUnknown),
        ("silent", StoreOutcomeUnknown),
    ],
)
async def test_outage_maps_to_store_errors(outage: str, write_error: type[Exception]):
    """Guard against a claim treated as not made when the store applied it without a response."""
    async with open_store() as (kv, store):
        kv.outage = outage
        with pytest.raises(StoreUnavailable):
            await store.get("a")
        with pytest.raises(StoreUnavailable):
            await store.watch("a", after=make_revision(kv.era, kv.rev), wait=0.1)
        with pytest.raises(write_error):
            await store.compare_and_swap("a", b"1", expect=0)


async def test_delayed_write_is_reported_as_outcome_unknown_and_then_conflicts():
    async with open_store() as (kv, store):
        kv.unanswered_writes, kv.write_delay_s = 1, 0.05
        with pytest.raises(StoreOutcomeUnknown):
            await store.compare_and_swap("a", b"mine", expect=0)
        await asyncio.sleep(0.1)
        with pytest.raises(StoreConflict) as raised:
            await store.compare_and_swap("a", b"again", expect=0)
        assert raised.value.current is not None
        assert raised.value.current.value == b"mine"


async def test_revoked_lease_removes_its_entries():
    async with open_store() as (kv, store):
        lease = await store.grant_lease(5.0)
        assert lease.ttl == 5.0
        await store.compare_and_swap("a", b"1", expect=0, lease=lease.id)
        assert (await store.keep_alive(lease.id)).ttl == 5.0
        await store.revoke(lease.id)
        assert kv.items == {}
        with pytest.raises(StoreLeaseNotFound):
            await store.keep_alive(lease.id)
        with pytest.raises(StoreLeaseNotFound):
            await store.compare_and_swap("a", b"1", expect=0, lease=lease.id)


async def test_revision_known_before_a_return_from_a_copy_is_not_written_over():
    """Guard against a write over an entry of another VM that got the same revision again."""
    async with open_store() as (kv, store):
        copy = kv.copy()
        mine = await store.compare_and_swap("mine/a", b"one", expect=0)
        kv.restore(copy)
        kv.put("mine/a", b"other")
        with pytest.raises(StoreUnavailable):
            await store.get("mine/a")
        other = await store.get("mine/a")
        assert other is not None
        assert other.revision > mine.revision
        with pytest.raises(StoreConflict) as raised:
            await store.compare_and_swap("mine/a", b"two", expect=mine.revision)
        assert raised.value.current == other
        await store.compare_and_swap("mine/a", b"two", expect=other.revision)


async def test_lease_granted_before_a_return_from_a_copy_is_not_taken_for_another_vms():
    """Guard against a VM that renews or ends the lease of another VM, which got its number."""
    async with open_store() as (kv, store):
        copy = kv.copy()
        mine = await store.grant_lease(15.0)
        kv.restore(copy)
        other = kv.grant_lease(15_000)
        with pytest.raises(StoreOutcomeUnknown):
            await store.keep_alive(mine.id)
        with pytest.raises(StoreLeaseNotFound):
            await store.keep_alive(mine.id)
        with pytest.raises(StoreLeaseNotFound):
            await store.revoke(mine.id)
        with pytest.raises(StoreLeaseNotFound):
            await store.compare_and_swap("mine/a", b"one", expect=0, lease=mine.id)
        assert list(kv.leases) == [other]
        assert "mine/a" not in kv.items


async def test_cached_list_from_before_a_return_from_a_copy_is_not_used():
    """Guard against a VM that starts with lost entries and ignores those written in their place."""
    async with open_store() as (kv, store):
        copy = kv.copy()
        for number in range(5):
            kv.put("op/config", {"version": number})
        kv.stale_copies.append(dict(kv.items))
        kv.restore(copy)
        kv.put("op/config", {"version": 9})
        listed = await store.list_cached("")
        assert [entry.value for entry in listed.entries] == [b'{"version": 9}']
        assert listed.revision == make_revision(kv.era, kv.rev)


async def test_empty_cached_list_is_of_the_current_era():
    """Guard against a second list by each VM that starts with an empty store."""
    async with open_store() as (kv, store):
        listed = await store.list_cached("")
        assert (listed.entries, listed.revision) == ((), make_revision(kv.era, 0))


@pytest.mark.parametrize("number", [-1, 2**40])
async def test_revision_out_of_range_fails_the_call_only(number: int):
    """Guard against a daemon that ends because of one malformed response of the store."""
    async with open_store() as (kv, store):
        kv.put("servers/a", b"")
        kv.items["servers/a"].rev = number
        with pytest.raises(StoreUnavailable):
            await store.list("servers/")
        with pytest.raises(StoreUnavailable):
            await store.get("servers/a")
        kv.rev = number
        with pytest.raises(StoreUnavailable):
            await store.list("nothing/")
