"""Faults and counts of the platform's stand-in that the tests of its client do not cover."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest

from berylspindle_model import codec
from berylspindle_standins.platform_faults import PlatformChange
from berylspindle_standins.platform_standin import PlatformStandin, start_platform
from berylspindle_standins.store_state import StoreState
from berylspindle_store.connections import StoreOptions
from berylspindle_store.http_store import HttpStore, open_store
from berylspindle_store.store import StoreOutcomeUnknown, StoreUnavailable
from berylspindle_wire.client import HttpClient

OPTIONS = StoreOptions(read_timeout=0.2, write_timeout=0.2)
HELD_MS = 600_000


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


async def test_a_delayed_write_has_no_effect_and_a_late_reply_follows_one(
    platform: PlatformStandin, store: HttpStore
) -> None:
    set_faults(platform, delay_ms=HELD_MS)
    with pytest.raises(StoreOutcomeUnknown):
        await store.compare_and_swap("delayed", b"1", expect=0)
    set_faults(platform, delay_ms=0, late_reply_ms=HELD_MS)
    with pytest.raises(StoreOutcomeUnknown):
        await store.compare_and_swap("late", b"1", expect=0)
    assert [entry.key for entry in (await store.list("")).entries] == ["late"]


async def test_lost_replies_are_drawn_with_the_seed() -> None:
    outcomes = []
    for _ in range(2):
        async with await start_platform(seed=7) as platform:
            set_faults(platform, lost_reply_share=0.5)
            async with open_store("127.0.0.1", platform.port, OPTIONS) as store:
                outcomes.append([await _is_lost(store, f"k{n}") for n in range(20)])
    assert outcomes[0] == outcomes[1]
    assert 0 < sum(outcomes[0]) < 20


async def _is_lost(store: HttpStore, key: str) -> bool:
    try:
        await store.compare_and_swap(key, b"1", expect=0)
    except StoreOutcomeUnknown:
        return True
    return False


async def test_delayed_watch_events_exclude_changes_during_the_delay(
    platform: PlatformStandin, store: HttpStore
) -> None:
    set_faults(platform, watch_delay_ms=50)
    first = await store.compare_and_swap("w/a", b"1", expect=0)
    watching = asyncio.create_task(store.watch("w/", after=0, wait=5.0))
    async with asyncio.timeout(10):
        while platform.counts.calls["watch"] == 0:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
    await store.compare_and_swap("w/a", b"2", expect=first.revision)
    seen = await watching
    assert [entry.value for entry in seen.entries] == [b"1"]
    assert seen.revision == first.revision


async def test_repeated_watch_events_end_with_an_old_one(
    platform: PlatformStandin, store: HttpStore
) -> None:
    first = await store.compare_and_swap("w/a", b"1", expect=0)
    second = await store.compare_and_swap("w/a", b"2", expect=first.revision)
    set_faults(platform, watch_repeats=1)
    seen = await store.watch("w/", after=first.revision, wait=0.0)
    assert [entry.revision for entry in seen.entries] == [second.revision, first.revision]
    assert seen.revision == second.revision


async def test_calls_over_a_limit_are_refused_and_have_no_effect(
    platform: PlatformStandin, store: HttpStore
) -> None:
    set_faults(platform, writes_per_second=0, reads_per_second=0)
    with pytest.raises(StoreUnavailable):
        await store.compare_and_swap("k", b"1", expect=0)
    with pytest.raises(StoreUnavailable):
        await store.get("k")
    set_faults(platform, writes_per_second=None, reads_per_second=None)
    assert await store.get("k") is None
    assert platform.counts.refused == 2


async def test_counts_faults_and_vms_over_http_during_an_outage(
    platform: PlatformStandin, store: HttpStore
) -> None:
    await store.compare_and_swap("k", b"1", expect=0)
    watching = asyncio.create_task(store.watch("k", after=1, wait=30.0))
    async with HttpClient("127.0.0.1", platform.admin_port) as admin:
        async with asyncio.timeout(10):
            while platform.counts.waiting_watches == 0:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
        outage = await admin.put("/faults", body=b'{"set": {"outage": "reset"}}')
        assert outage.status == 200
        with pytest.raises(StoreUnavailable):
            await watching
        counts = codec.from_json((await admin.get("/counts")).body, dict[str, Any])
        assert counts["calls"] == {"put": 1, "watch": 1}
        assert (counts["writes"], counts["reads"]) == (1, 1)
        assert (counts["waiting_watches"], counts["peak_waiting_watches"]) == (0, 1)
        vms = await admin.put("/vms", body=b'{"vms": []}')
        assert vms.status == 200
        rejected = await admin.put("/faults", body=b'{"set": {"outage": "sometimes"}}')
        assert rejected.status == 400


def test_lagging_reads_return_past_entries() -> None:
    state = StoreState()
    first = state.write("k", b"1", 10.0, expect=0)
    second = state.write("k", b"2", 20.0, expect=first.revision)
    state.write("k", None, 30.0, expect=second.revision)
    seen = [state.get("k", 31.0, lag=lag) for lag in (0.0, 5.0, 15.0, 25.0)]
    assert [None if entry is None else entry.value for entry in seen] == [None, b"2", b"1", None]
    assert [state.revision_at(31.0, lag=lag) for lag in (0.0, 5.0, 15.0, 25.0)] == [3, 2, 1, 0]


def test_lease_expiry_deletes_only_attached_entries() -> None:
    state = StoreState()
    lease = state.grant(5.0, 0.0)
    state.write("bound", b"1", 0.0, expect=0, lease=lease)
    state.write("free", b"1", 0.0, expect=0)
    state.keep_alive(lease, 4.0)
    assert not state.expire_leases(8.0)
    assert state.get("bound", 9.5) is None
    assert state.get("free", 9.5) is not None
