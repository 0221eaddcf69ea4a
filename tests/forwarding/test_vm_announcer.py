"""A VM's entry in the store after restarts, expired leases and deletions."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs
import pytest
from forward_site import NoStore

from berylspindle_decisions.follower_count import FollowerCount
from berylspindle_forwarding import vm_announcer
from berylspindle_forwarding.boot_clock import boot_time
from berylspindle_forwarding.catalogue_changes import VmEntry
from berylspindle_forwarding.vm_announcer import VmAnnouncer
from berylspindle_model import codec
from berylspindle_store.store import (
    Lease,
    ListResult,
    StoreConflict,
    StoredValue,
    StoreLeaseNotFound,
)

KEY = "vms/1"
ENTRY = VmEntry(host="127.0.0.1", port=1, data_centre="a", bears=1.0)
VALUE = codec.to_json(ENTRY)


@pytest.fixture(autouse=True)
def shorten_need_check(monkeypatch) -> None:
    monkeypatch.setattr(vm_announcer, "NEED_CHECK_INTERVAL_S", 0.01)


class LeaseStore(NoStore):
    """A store of one key and its leases."""

    def __init__(self) -> None:
        self.entry: StoredValue | None = None
        self.others: tuple[StoredValue, ...] = ()
        self.leases: set[str] = set()
        self.calls: Counter[str] = Counter()

    async def list(self, prefix: str) -> ListResult:
        self.calls["list"] += 1
        assert prefix == "vms/"
        return ListResult(revision=100, entries=self.others)

    async def grant_lease(self, ttl: float) -> Lease:
        self.calls["grant"] += 1
        lease = f"lease-{self.calls['grant']}"
        self.leases.add(lease)
        return Lease(id=lease, ttl=ttl)

    async def compare_and_swap(self, key, value, *, expect, lease=None) -> StoredValue:
        self.calls["write"] += 1
        if expect != (self.entry.revision if self.entry is not None else 0):
            raise StoreConflict(self.entry)
        revision = 100 + self.calls["write"]
        self.entry = StoredValue(key=key, value=value, revision=revision, lease=lease)
        return self.entry

    async def keep_alive(self, lease: str) -> Lease:
        self.calls["renew"] += 1
        if lease not in self.leases:
            raise StoreLeaseNotFound(lease)
        return Lease(id=lease, ttl=15.0)

    async def revoke(self, lease: str) -> None:
        self.leases.discard(lease)


@asynccontextmanager
async def announcing(
    store: LeaseStore,
    *,
    followers: FollowerCount | None = None,
    is_needed: bool = True,
    is_watcher: Callable[[], bool] = lambda: False,
    clock: Callable[[], float] = boot_time,
) -> AsyncIterator[VmAnnouncer]:
    listed = asyncio.Event()
    listed.set()
    announcer = VmAnnouncer(
        store,
        key=KEY,
        entry=ENTRY,
        followers=followers or FollowerCount(),
        known_vms=lambda: (),
        required=1 if is_needed else 0,
        stored_entry=lambda: store.entry,
        listed=listed,
        on_failure=lambda detail: None,
        is_watcher=is_watcher,
        uniform=lambda: 0.0,
        clock=clock,
    )
    task = asyncio.create_task(announcer.run())
    yield announcer
    task.cancel()


async def test_restarted_vm_renews_the_lease_of_its_previous_process() -> None:
    """Guard against needless calls to the store when a data centre's power returns.

    All its VMs start together, and each would make four calls for a new lease and entry instead of
    one renewal.
    """
    store = LeaseStore()
    store.leases.add("old")
    store.entry = StoredValue(key=KEY, value=VALUE, revision=7, lease="old")
    async with announcing(store):
        await asyncio.sleep(0.3)
    assert store.calls == {"renew": 1}


async def test_lease_counts_from_when_its_last_renewal_was_sent(monkeypatch) -> None:
    """Guard against a VM that relies on its lease after the store has ended it."""
    monkeypatch.setattr(vm_announcer, "RENEW_INTERVAL_S", 0.01)
    store, now = LeaseStore(), [100.0]
    store.leases.add("old")
    store.entry = StoredValue(key=KEY, value=VALUE, revision=7, lease="old")
    renew = store.keep_alive

    async def renew_slowly(lease: str) -> Lease:
        now[0] += 3.0
        return await renew(lease)

    store.keep_alive = renew_slowly
    async with announcing(store, clock=lambda: now[0]) as announcer:
        while store.calls["renew"] < 3:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        sent = now[0] - 3.0
        assert announcer.lease_valid_until == sent + 15.0 - vm_announcer.LEASE_MARGIN_S
        assert announcer.announced_at == -math.inf
        store.leases.clear()
        while not store.calls["write"]:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        assert announcer.announced_at == now[0]
        await announcer.withdraw()
        assert announcer.lease_valid_until == -math.inf


async def test_entry_with_an_expired_lease_is_replaced_under_its_revision() -> None:
    """Guard against a VM that repeatedly renews an expired lease and remains unannounced."""
    store = LeaseStore()
    store.entry = StoredValue(key=KEY, value=VALUE, revision=7, lease="ended")
    async with announcing(store):
        await asyncio.sleep(0.3)
    assert store.calls == {"renew": 1, "grant": 1, "write": 1}
    assert store.entry.lease in store.leases


async def test_vms_that_start_together_are_not_all_announced() -> None:
    """Guard against an entry and a lease of each VM while changes wait for the next batch.

    The store has enough entries of other VMs; the VM's mirror does not have them yet.
    """
    store = LeaseStore()
    bigger = codec.to_json(attrs.evolve(ENTRY, port=2, bears=2.0))
    store.others = (StoredValue(key="vms/2", value=bigger, revision=99, lease="other"),)
    async with announcing(store):
        await asyncio.sleep(0.3)
    assert store.calls["list"] >= 1
    assert set(store.calls) == {"list"}


@pytest.mark.parametrize(
    "value",
    [
        codec.to_json(attrs.evolve(ENTRY, bears=0.5)),
        codec.to_json(attrs.evolve(ENTRY, data_centre="b")),
        b"unreadable",
    ],
)
async def test_entries_that_do_not_replace_this_one_do_not_count(value: bytes) -> None:
    """Guard against a data centre without an entry because of smaller or distant VMs."""
    store = LeaseStore()
    store.others = (StoredValue(key="vms/2", value=value, revision=99, lease="other"),)
    async with announcing(store):
        await asyncio.sleep(0.3)
    assert store.calls == {"list": 1, "grant": 1, "write": 1}


async def test_vm_that_need_not_be_announced_does_not_call_the_store() -> None:
    """Guard against 940 leases where 15 are enough."""
    store = LeaseStore()
    async with announcing(store, is_needed=False):
        await asyncio.sleep(0.3)
    assert store.calls == {}


async def test_restarted_vm_keeps_the_follower_count_of_its_previous_process(monkeypatch) -> None:
    """Guard against budgets divided by too few VMs in the first seconds after a loss of power."""
    monkeypatch.setattr(vm_announcer, "RENEW_INTERVAL_S", 0.01)
    store, followers = LeaseStore(), FollowerCount()
    store.leases.add("old")
    vm = attrs.evolve(ENTRY, followers=30, follower_bears=0.5)
    store.entry = StoredValue(key=KEY, value=codec.to_json(vm), revision=7, lease="old")
    async with announcing(store, followers=followers):
        await asyncio.sleep(0.1)
        assert store.calls["write"] == 0
        now = asyncio.get_running_loop().time()
        assert followers.count(now) == 30
        for number in range(40):
            followers.on_read(now, f"vm-{number}", capacity=0.5)
        await asyncio.sleep(0.1)
        assert codec.from_json(store.entry.value, VmEntry).followers == 40
        assert store.calls["write"] == 1


async def test_entry_with_another_address_is_replaced() -> None:
    """Guard against a VM that is known by the address of its previous process."""
    store = LeaseStore()
    store.leases.add("old")
    store.entry = StoredValue(
        key=KEY, value=codec.to_json(attrs.evolve(ENTRY, port=2)), revision=7, lease="old"
    )
    async with announcing(store):
        await asyncio.sleep(0.3)
    assert store.entry.value == VALUE
    assert store.calls == {"grant": 1, "write": 1}


async def test_missing_entry_or_one_with_another_lease_is_written_again(monkeypatch) -> None:
    """Guard against a VM that renews a lease to which its entry is not bound."""
    monkeypatch.setattr(vm_announcer, "RENEW_INTERVAL_S", 0.01)
    store = LeaseStore()
    async with announcing(store):
        await asyncio.sleep(0.3)
        for entry in (None, StoredValue(key=KEY, value=VALUE, revision=9, lease="older")):
            store.entry = entry
            await asyncio.sleep(0.1)
            assert store.entry is not None
            assert store.entry.lease == "lease-1"
    assert store.calls["grant"] == 1
    assert store.calls["write"] == 3


async def test_vm_that_becomes_a_watcher_after_its_announcement_renews_at_a_watchers_interval(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a data centre with an old table: its watcher does not notice an outage."""
    monkeypatch.setattr(vm_announcer, "WATCHER_RENEW_INTERVAL_S", 0.05)
    store, watchers = LeaseStore(), set[str]()
    async with announcing(store, is_watcher=lambda: bool(watchers)):
        while not store.calls["write"]:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        watchers.add(KEY)
        await asyncio.sleep(0.5)
    assert store.calls["renew"] >= 5
