"""A VM that follows the mirror of a VM which has just started."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from forward_site import NoStore
from test_restored_store import Recorder, TextReader

from berylspindle_decisions.confirmed_span import ConfirmedSpan
from berylspindle_forwarding.catalogue import Catalogue
from berylspindle_forwarding.mirror import Mirror
from berylspindle_forwarding.upstream_selector import MirrorAddress, UpstreamSelector
from berylspindle_store.store import ListResult, StoredValue, StoreUnavailable, WatchResult
from berylspindle_wire.http_server import serve

REPLICA = StoredValue(key="replica", value=b"ready", revision=5)


class FirstListStore(NoStore):
    """A store that answers one list, and is unavailable after it."""

    def __init__(self) -> None:
        self._is_listed = False

    async def list(self, prefix: str) -> ListResult:
        if self._is_listed:
            raise StoreUnavailable("unavailable")
        self._is_listed = True
        return ListResult(revision=5, entries=(REPLICA,))

    async def watch(self, prefix: str, *, after: int, wait: float) -> WatchResult:
        raise StoreUnavailable("unavailable")


@asynccontextmanager
async def open_follower(
    *mirrors: MirrorAddress, confirmed_s: float = 0.0
) -> AsyncIterator[Recorder]:
    """Follow mirrors after the first list; the view was confirmed for `confirmed_s` before it."""
    loop = asyncio.get_running_loop()
    recorder = Recorder()
    selector = UpstreamSelector(
        FirstListStore(), mirrors=lambda: mirrors, now=loop.time, rng=random.Random(1)
    )
    catalogue = Catalogue(
        selector,
        TextReader(),
        recorder,
        Mirror(loop.time, loop.time),
        has_recent_requests=lambda: True,
        now=loop.time,
        uniform=lambda: 0.5,
    )
    if confirmed_s:
        catalogue._view.add(ConfirmedSpan(loop.time() - confirmed_s, loop.time()))
    task = asyncio.create_task(catalogue.run())
    try:
        yield recorder
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await selector.close()


async def test_deletion_from_a_mirror_without_a_confirmation_does_not_take_effect() -> None:
    """Guard against live replicas that a VM drops by the list of a VM which has just started."""
    loop = asyncio.get_running_loop()
    started = Mirror(loop.time, loop.time)
    started.replace_entries([], 6)
    async with await serve(started.handle, host="127.0.0.1", port=0) as server:
        address = MirrorAddress("127.0.0.1", server.port, True)
        async with open_follower(address, confirmed_s=9.0) as recorder:
            await asyncio.sleep(2.0)
            assert recorder.state == {"replica": "ready"}
