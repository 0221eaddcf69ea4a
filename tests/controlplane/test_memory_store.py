"""Test that calls to the in-memory store end when their VM is killed, as with the real store."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

KEY = "watched/key"


async def test_a_watch_that_is_cancelled_during_a_change_ends(cluster: Any) -> None:
    """Guard against a watch that ignores its cancellation when the store changes."""
    await cluster.start("a1", "a")
    watch = asyncio.create_task(cluster.stores["a1"].watch("watched/", after=0, wait=30.0))
    await asyncio.sleep(0.01)
    cluster.store.write(KEY, b"1", 0)
    watch.cancel()
    with pytest.raises(asyncio.CancelledError):
        await watch
