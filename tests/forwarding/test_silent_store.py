"""The store falls silent for a moment under a watch that waits."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from forward_site import NoStore, plain_route

from berylspindle_forwarding.catalogue import CatalogueReader, Change, TableChange
from berylspindle_forwarding.forward_options import ForwardOptions
from berylspindle_forwarding.forwarder import Forwarder, open_forwarder
from berylspindle_forwarding.upstream_selector import MirrorAddress
from berylspindle_model.routing import CallerLimits, RoutingTable
from berylspindle_store.store import Lease, ListResult, StoredValue, StoreUnsure, WatchResult
from berylspindle_telemetry.metrics import Metrics

CALL_S = 0.2


class TableReader(CatalogueReader):
    """Each entry is a routing table whose version is its revision."""

    prefix = ""
    parts = ("",)

    def is_vm(self, key: str) -> bool:
        return key.startswith("vms/")

    def read(self, entry: StoredValue) -> Change:
        return TableChange(RoutingTable(entry.revision, (plain_route(),), {}, CallerLimits()))


class SilentStore(NoStore):
    """A store of one entry. Calls that wait or come while it is silent are never answered."""

    def __init__(self) -> None:
        self.revision = 1
        self.watches = 0
        self._changed = asyncio.Event()
        self._silences = 0
        self._is_silent = False

    def write(self) -> None:
        self.revision += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def fall_silent(self, seconds: float) -> None:
        self._silences += 1
        self._is_silent = True
        await asyncio.sleep(seconds)
        self._is_silent = False

    async def list(self, prefix: str) -> ListResult:
        await self._answer_or_not()
        return ListResult(revision=self.revision, entries=(self._entry(),))

    async def watch(self, prefix: str, *, after: int, wait: float) -> WatchResult:
        await self._answer_or_not()
        self.watches += 1
        silences = self._silences
        while self.revision <= after:
            await self._changed.wait()
        if silences != self._silences:
            await asyncio.sleep(3600)
        return WatchResult(revision=self.revision, entries=(self._entry(),))

    async def grant_lease(self, ttl: float) -> Lease:
        await self._answer_or_not()
        return Lease(id="1", ttl=ttl)

    async def compare_and_swap(self, key, value, *, expect, lease=None) -> StoredValue:
        return StoredValue(key=key, value=value, revision=self.revision)

    async def keep_alive(self, lease: str) -> Lease:
        await self._answer_or_not()
        return Lease(id=lease, ttl=15.0)

    async def revoke(self, lease: str) -> None:
        pass

    async def _answer_or_not(self) -> None:
        if self._is_silent:
            await asyncio.sleep(CALL_S)
            raise StoreUnsure("no answer")

    def _entry(self) -> StoredValue:
        return StoredValue(key="table", value=b"", revision=self.revision)


@asynccontextmanager
async def following(store: SilentStore) -> AsyncIterator[Forwarder]:
    async with AsyncExitStack() as stack:
        options = ForwardOptions(
            vm="vm-1",
            data_centre="a",
            expected_vms=1,
            announce_key="vms/1",
            peers=MirrorAddress("127.0.0.1", 1),
        )
        yield await open_forwarder(
            options, store=store, reader=TableReader(), metrics=Metrics(), stack=stack
        )


async def until(forwarder: Forwarder, version: int, seconds: float) -> None:
    async with asyncio.timeout(seconds):
        while forwarder.table_version < version:  # noqa: ASYNC110
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("seconds", [1.8, 2.4])
async def test_a_change_after_a_silent_outage_is_followed_though_a_watch_was_lost(
    seconds: float,
) -> None:
    """Callers of a new route are told 404 by some VMs for up to half a minute.

    A watch waits; the store falls silent for two seconds and forgets it, without a sign on its
    connection; the operator then adds the route. The store is well, other calls are answered, and
    the watch goes on waiting until its time is over.
    """
    store = SilentStore()
    async with following(store) as forwarder:
        await until(forwarder, 1, 2.0)
        # The next watch waits once the changes of the start have been collected.
        while store.watches < 1:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        await store.fall_silent(seconds)
        store.write()
        await until(forwarder, 2, 4.0)


async def test_a_watch_of_a_store_that_answers_is_left_alone() -> None:
    """Each renewal that is answered must not cost a watch too: calls to the store are counted."""
    store = SilentStore()
    async with following(store) as forwarder:
        await until(forwarder, 1, 2.0)
        await asyncio.sleep(4.0)
        assert store.watches == 1
