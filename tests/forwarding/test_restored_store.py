"""The catalogue after the store has returned from a copy."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest
from forward_site import NoStore

from berylspindle_forwarding import applied_entries
from berylspindle_forwarding import catalogue as catalogue_module
from berylspindle_forwarding.catalogue import Catalogue
from berylspindle_forwarding.catalogue_changes import (
    CatalogueListener,
    CatalogueReader,
    Change,
    UnreadableEntry,
)
from berylspindle_forwarding.mirror import Mirror
from berylspindle_forwarding.upstream_selector import UpstreamSelector
from berylspindle_store.revisions import era_of, make_revision, number_of
from berylspindle_store.store import ListResult, StoredValue, WatchResult

SETTLE_S = 0.4


class TextReader(CatalogueReader):
    """Decode each entry as its key and value."""

    prefix = ""
    list_prefixes = ("",)

    def is_vm_key(self, key: str) -> bool:
        return False

    def decode(self, entry: StoredValue) -> Change:
        return UnreadableEntry(entry.key, (entry.value or b"deleted").decode())


class Recorder(CatalogueListener):
    """Record the state that the changes make up."""

    def __init__(self) -> None:
        self.state: dict[str, str] = {}
        self.lists = 0

    def on_change(self, change: Change) -> None:
        assert isinstance(change, UnreadableEntry)
        self.state[change.key] = change.reason

    def on_listed(self) -> None:
        self.lists += 1

    def on_older_entry(self, entry, known_revision, *, from_mirror) -> None: ...

    def on_entry_fault(self, key, error) -> None:
        raise AssertionError(key) from error

    def on_deferred_deletion(self, deletion) -> None: ...

    def on_deferral_end(self, seconds) -> None: ...
    def on_peer_isolation(self, cut_off, source) -> None: ...
    def on_store_reachability(self, reached, detail) -> None: ...


Copy = tuple[int, dict[str, StoredValue]]
"""Revision number and entries of a store."""


class RestoredStore(NoStore):
    """A store of some entries that may return from a copy."""

    def __init__(self, first_era: int) -> None:
        self.era, self.number = first_era, 1
        self.entries: dict[str, StoredValue] = {}
        self.changes: list[StoredValue] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: str | None) -> None:
        self.number += 1
        revision = make_revision(self.era, self.number)
        entry = StoredValue(key=key, value=value.encode() if value else None, revision=revision)
        self.entries.pop(key, None)
        if entry.value is not None:
            self.entries[key] = entry
        self.changes.append(entry)
        self._notify()

    def copy(self) -> Copy:
        return self.number, dict(self.entries)

    def restore(self, copy: Copy) -> None:
        self.era += 1
        self.number, entries = copy
        self.changes.clear()
        self.entries = {
            key: attrs.evolve(entry, revision=make_revision(self.era, number_of(entry.revision)))
            for key, entry in entries.items()
        }
        self._notify()

    async def list(self, prefix: str) -> ListResult:
        revision = make_revision(self.era, self.number)
        return ListResult(revision=revision, entries=tuple(self.entries.values()))

    async def watch(self, prefix: str, *, after: int, wait: float) -> WatchResult:
        try:
            async with asyncio.timeout(wait):
                while self._is_current(after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        if era_of(after) != self.era:
            return WatchResult(revision=after, compacted=True)
        entries = tuple(entry for entry in self.changes if entry.revision > after)
        return WatchResult(revision=make_revision(self.era, self.number), entries=entries)

    def _is_current(self, after: int) -> bool:
        return era_of(after) == self.era and number_of(after) >= self.number

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


@asynccontextmanager
async def open_catalogue(
    monkeypatch: pytest.MonkeyPatch, first_era: int = 1
) -> AsyncIterator[tuple[RestoredStore, Recorder]]:
    monkeypatch.setattr(applied_entries, "SETTLE_S", SETTLE_S)
    monkeypatch.setattr(catalogue_module, "BATCH_INTERVAL_S", 0.01)
    loop = asyncio.get_running_loop()
    store, recorder = RestoredStore(first_era), Recorder()
    selector = UpstreamSelector(store, mirrors=tuple, now=loop.time, rng=random.Random(1))
    catalogue = Catalogue(
        selector,
        TextReader(),
        recorder,
        Mirror(loop.time, loop.time),
        has_recent_requests=lambda: True,
        now=loop.time,
        uniform=lambda: 0.5,
    )
    task = asyncio.create_task(catalogue.run())
    try:
        yield store, recorder
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def wait_for(recorder: Recorder, **expected: str) -> None:
    async with asyncio.timeout(2.0):
        while not expected.items() <= recorder.state.items():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def restore(store: RestoredStore, recorder: Recorder, copy: Copy) -> None:
    lists = recorder.lists
    store.restore(copy)
    async with asyncio.timeout(2.0):
        while recorder.lists == lists:  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("first_era", [0, 1])
async def test_replica_known_to_be_leaving_or_gone_is_not_used_as_the_copy_has_it(
    monkeypatch: pytest.MonkeyPatch, first_era: int
) -> None:
    """Guard against requests to a leaving replica that the store's copy still has as ready."""
    async with open_catalogue(monkeypatch, first_era) as (store, recorder):
        store.put("leaving", "ready")
        store.put("gone", "ready")
        await wait_for(recorder, leaving="ready", gone="ready")
        copy = store.copy()
        store.put("leaving", "draining")
        store.put("gone", None)
        await wait_for(recorder, leaving="draining", gone="deleted")
        await restore(store, recorder, copy)
        assert recorder.state == {"leaving": "draining", "gone": "deleted"}
        store.put("leaving", "draining again")
        await wait_for(recorder, leaving="draining again", gone="deleted")
        # Nobody has written this entry again: the copy holds.
        await wait_for(recorder, leaving="draining again", gone="ready")


async def test_entry_written_after_the_copy_is_applied_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a VM that takes the writes after a return for the content of the copy."""
    async with open_catalogue(monkeypatch) as (store, recorder):
        store.put("replica", "ready")
        await wait_for(recorder, replica="ready")
        copy = store.copy()
        for number in range(5):
            store.put("replica", f"cold {number}")
        await wait_for(recorder, replica="cold 4")
        store.restore(copy)
        store.put("replica", "draining")
        async with asyncio.timeout(SETTLE_S / 2):
            await wait_for(recorder, replica="draining")
