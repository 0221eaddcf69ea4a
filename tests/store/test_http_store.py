"""Test the platform's client against the stand-in, over sockets, with faults of the platform."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from berylspindle_standins.platform_faults import PlatformChange
from berylspindle_standins.platform_standin import PlatformStandin, start_platform
from berylspindle_store.connections import StoreOptions
from berylspindle_store.http_store import HttpStore, open_store
from berylspindle_store.routes import VmDocument
from berylspindle_store.store import (
    StoreConflict,
    StoreLeaseNotFound,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from berylspindle_store.vm_list import VmRole, VmState, open_vm_list
from berylspindle_wire.http import HttpRequest, HttpResponse
from berylspindle_wire.http_server import serve

OPTIONS = StoreOptions(read_timeout=0.3, write_timeout=0.3)


@pytest.fixture
async def platform() -> AsyncIterator[PlatformStandin]:
    async with await start_platform() as standin:
        yield standin


@pytest.fixture
async def store(platform: PlatformStandin) -> AsyncIterator[HttpStore]:
    async with open_store("127.0.0.1", platform.port, OPTIONS) as client:
        yield client


def set_faults(platform: PlatformStandin, **faults: object) -> None:
    platform.change(PlatformChange(set=dict(faults)))


async def test_compare_and_swap_requires_the_expected_revision(store: HttpStore) -> None:
    first = await store.compare_and_swap("a/b c?", b"\x00one", expect=0)
    assert await store.get("a/b c?") == first
    second = await store.compare_and_swap("a/b c?", b"two", expect=first.revision)
    assert second.revision > first.revision
    with pytest.raises(StoreConflict) as conflict:
        await store.compare_and_swap("a/b c?", b"three", expect=first.revision)
    assert conflict.value.current == second
    await store.compare_and_swap("a/b c?", None, expect=second.revision)
    assert await store.get("a/b c?") is None


async def test_deleting_a_missing_entry_confirms_its_absence(store: HttpStore) -> None:
    await store.compare_and_swap("absent", None, expect=0)
    present = await store.compare_and_swap("present", b"1", expect=0)
    with pytest.raises(StoreConflict) as conflict:
        await store.compare_and_swap("present", None, expect=0)
    assert conflict.value.current == present


async def test_a_list_has_the_entries_of_one_prefix_in_order(store: HttpStore) -> None:
    for key in ("x/2", "y/1", "x/1"):
        await store.compare_and_swap(key, key.encode(), expect=0)
    listed = await store.list("x/")
    assert [entry.value for entry in listed.entries] == [b"x/1", b"x/2"]
    assert listed.revision == 3


async def test_a_watch_returns_changes_in_order_and_waits_for_the_next(store: HttpStore) -> None:
    await store.compare_and_swap("w/a", b"1", expect=0)
    await store.compare_and_swap("w/b", b"2", expect=0)
    seen = await store.watch("w/", after=0, wait=0.0)
    assert [entry.key for entry in seen.entries] == ["w/a", "w/b"]
    waiting = asyncio.create_task(store.watch("w/", after=seen.revision, wait=5.0))
    await store.compare_and_swap("other", b"3", expect=0)
    await store.compare_and_swap("w/a", None, expect=seen.entries[0].revision)
    later = await waiting
    assert [(entry.key, entry.value) for entry in later.entries] == [("w/a", None)]
    nothing = await store.watch("w/", after=later.revision, wait=0.01)
    assert nothing.entries == ()


async def test_a_watch_from_a_compacted_revision_reports_it(
    platform: PlatformStandin, store: HttpStore
) -> None:
    await store.compare_and_swap("w/a", b"1", expect=0)
    platform.change(PlatformChange(compact=True))
    seen = await store.watch("w/", after=0, wait=0.0)
    assert seen.compacted
    assert seen.revision == 1


async def test_an_expired_lease_deletes_its_entries_and_ends_watches(store: HttpStore) -> None:
    lease = await store.grant_lease(0.05)
    bound = await store.compare_and_swap("l/a", b"1", expect=0, lease=lease.id)
    seen = await store.watch("l/", after=bound.revision, wait=5.0)
    assert [(entry.key, entry.value) for entry in seen.entries] == [("l/a", None)]
    with pytest.raises(StoreLeaseNotFound):
        await store.keep_alive(lease.id)
    with pytest.raises(StoreLeaseNotFound):
        await store.compare_and_swap("l/b", b"1", expect=0, lease=lease.id)


async def test_revoking_a_lease_deletes_only_entries_still_bound_to_it(store: HttpStore) -> None:
    lease = await store.grant_lease(60)
    bound = await store.compare_and_swap("l/a", b"1", expect=0, lease=lease.id)
    await store.compare_and_swap("l/b", b"1", expect=0, lease=lease.id)
    await store.compare_and_swap("l/a", b"2", expect=bound.revision)
    await store.revoke(lease.id)
    assert [entry.key for entry in (await store.list("l/")).entries] == ["l/a"]


async def test_a_lost_reply_is_outcome_unknown_and_the_write_took_effect(
    platform: PlatformStandin, store: HttpStore
) -> None:
    """Guard against a change that is applied twice after a lost reply.

    The write takes effect and the connection breaks before the reply. If the client reported it as
    not done, the caller would repeat it.
    """
    set_faults(platform, lost_replies=1)
    with pytest.raises(StoreOutcomeUnknown):
        await store.compare_and_swap("k", b"1", expect=0)
    entry = await store.get("k")
    assert entry is not None
    assert entry.value == b"1"
    assert platform.counts.lost == 1


async def test_an_unresponsive_store_makes_writes_outcome_unknown_and_reads_unavailable(
    platform: PlatformStandin, store: HttpStore
) -> None:
    set_faults(platform, outage="silent")
    with pytest.raises(StoreOutcomeUnknown):
        await store.compare_and_swap("k", b"1", expect=0)
    with pytest.raises(StoreUnavailable):
        await store.get("k")


async def test_a_refusing_store_is_unavailable_for_reads_and_writes(
    platform: PlatformStandin, store: HttpStore
) -> None:
    set_faults(platform, outage="refuse")
    with pytest.raises(StoreUnavailable):
        await store.compare_and_swap("k", b"1", expect=0)
    with pytest.raises(StoreUnavailable):
        await store.get("k")
    set_faults(platform, outage="none")
    assert await store.get("k") is None


async def test_a_store_that_resets_never_changes_anything(
    platform: PlatformStandin, store: HttpStore
) -> None:
    set_faults(platform, outage="reset")
    with pytest.raises((StoreUnavailable, StoreOutcomeUnknown)):
        await store.compare_and_swap("k", b"1", expect=0)
    set_faults(platform, outage="none")
    assert await store.get("k") is None


async def test_a_port_without_a_listener_is_unavailable() -> None:
    async with await start_platform() as standin:
        port = standin.port
    async with open_store("127.0.0.1", port, OPTIONS) as store:
        with pytest.raises(StoreUnavailable):
            await store.compare_and_swap("k", b"1", expect=0)


async def test_a_404_from_an_intermediary_is_no_absence() -> None:
    """Guard against a 404 from a load balancer being taken for a missing configuration."""

    async def balancer(_: HttpRequest) -> HttpResponse:
        return HttpResponse(status=404)

    server = await serve(balancer, host="127.0.0.1", port=0)
    async with server, open_store("127.0.0.1", server.port, OPTIONS) as store:
        with pytest.raises(StoreUnavailable):
            await store.get("k")


async def test_a_conflict_shows_the_current_entry_despite_lagging_reads(
    platform: PlatformStandin, store: HttpStore
) -> None:
    """Guard against reporting a request that ran as unknown.

    A read can be answered by a replica of the store that lags behind the claim's write; the
    conflict of a compare-and-swap always shows the current entry.
    """
    await store.compare_and_swap("k", b"1", expect=0)
    set_faults(platform, read_lag_ms=30_000)
    assert await store.get("k") is None
    assert (await store.list("k")).entries == ()
    with pytest.raises(StoreConflict) as conflict:
        await store.compare_and_swap("k", None, expect=0)
    assert conflict.value.current is not None


async def test_a_value_over_a_megabyte_is_refused_before_sending(
    platform: PlatformStandin, store: HttpStore
) -> None:
    await store.compare_and_swap("big", bytes(1024 * 1024), expect=0)
    with pytest.raises(ValueError, match="exceed"):
        await store.compare_and_swap("bigger", bytes(1024 * 1024 + 1), expect=0)
    assert platform.counts.calls["put"] == 1


async def test_the_vm_list_lags_and_skips_unknown_roles(
    platform: PlatformStandin,
) -> None:
    def listed(name: str, role: str) -> VmDocument:
        return VmDocument(
            id=name, data_centre="a", host="127.0.0.1", port=1, role=role, state="leaving"
        )

    platform.set_vms((listed("vm1", "entry"), listed("vm2", "janitor")))
    async with open_vm_list("127.0.0.1", platform.port, OPTIONS) as vms:
        (only,) = await vms.fetch()
        assert (only.id, only.role, only.state) == ("vm1", VmRole.ENTRY, VmState.LEAVING)
        set_faults(platform, vm_list_lag_ms=30_000)
        assert await vms.fetch() == ()
        set_faults(platform, outage="refuse")
        with pytest.raises(StoreUnavailable):
            await vms.fetch()
