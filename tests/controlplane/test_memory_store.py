"""The store in memory ends its calls as a real one does when their VM is killed."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

KEY = "watched/key"


async def test_a_watch_ends_when_it_is_cancelled_as_the_store_changes(cluster: Any) -> None:
    """Guards against a killed VM whose watch swallows its cancellation and runs on for ever."""
    await cluster.start("a1", "a")
    watch = asyncio.create_task(cluster.stores["a1"].watch("watched/", after=0, wait=30.0))
    await asyncio.sleep(0.01)
    cluster.store.write(KEY, b"1", 0)
    watch.cancel()
    with pytest.raises(asyncio.CancelledError):
        await watch
