"""Count and time each call to the platform's store, and notice when it does not answer.

Terms:
  result   how a call ended: ok, conflict, lease_gone, lost (it may have taken effect) or away

Flow: the daemon wraps the one store that all its parts share. Each call is counted by operation and
result; `on_reached` is told of each that shows whether the store answers, on whichever VM and for
whichever part it was made. A watch is timed only where it fails, since waiting is its work.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from berylspindle_store.store import (
    Lease,
    ListResult,
    Store,
    StoreAway,
    StoreConflict,
    StoredValue,
    StoreLeaseGone,
    StoreUnsure,
    WatchResult,
)
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics

T = TypeVar("T")

# Whether the store was reached, and what the failure said.
OnReached = Callable[[bool, str], None]


class CountedStore(Store):
    """A store that counts what goes to another one."""

    def __init__(
        self,
        inner: Store,
        metrics: Metrics,
        on_reached: OnReached,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._inner: Final = inner
        self._metrics: Final = metrics
        self._on_reached: Final = on_reached
        self._now: Final = now

    async def get(self, key: str) -> StoredValue | None:
        """Return an entry or None. May lag."""
        return await self._call("get", self._inner.get(key))

    async def list(self, prefix: str) -> ListResult:
        """Return all entries whose keys start with `prefix`, by key. May lag."""
        return await self._call("list", self._inner.list(prefix))

    async def compare_and_swap(
        self, key: str, value: bytes | None, *, expect: int, lease: str | None = None
    ) -> StoredValue:
        """Write or delete an entry that has revision `expect`; see `Store`."""
        work = self._inner.compare_and_swap(key, value, expect=expect, lease=lease)
        return await self._call("compare_and_swap", work)

    async def watch(self, prefix: str, *, after: int, wait: float) -> WatchResult:
        """Wait up to `wait` seconds for changes under `prefix` after a revision."""
        work = self._inner.watch(prefix, after=after, wait=wait)
        return await self._call("watch", work, is_timed=False)

    async def grant_lease(self, ttl: float) -> Lease:
        """Return a new lease; see `Store`."""
        return await self._call("grant_lease", self._inner.grant_lease(ttl))

    async def keep_alive(self, lease: str) -> Lease:
        """Let a lease begin its time anew; see `Store`."""
        return await self._call("keep_alive", self._inner.keep_alive(lease))

    async def revoke(self, lease: str) -> None:
        """End a lease and delete what is bound to it; see `Store`."""
        await self._call("revoke", self._inner.revoke(lease))

    async def _call(self, operation: str, work: Awaitable[T], *, is_timed: bool = True) -> T:
        started = self._now()
        try:
            answer = await work
        except (StoreAway, StoreUnsure) as error:
            result = "lost" if isinstance(error, StoreUnsure) else "away"
            self._note(operation, result, started)
            self._on_reached(False, str(error))
            raise
        except (StoreConflict, StoreLeaseGone) as error:
            result = "conflict" if isinstance(error, StoreConflict) else "lease_gone"
            self._note(operation, result, started)
            self._on_reached(True, "")
            raise
        self._note(operation, "ok", started if is_timed else None)
        self._on_reached(True, "")
        return answer

    def _note(self, operation: str, result: str, started: float | None) -> None:
        self._metrics.count(names.STORE_CALLS, operation=operation, result=result)
        if started is not None:
            elapsed_ms = (self._now() - started) * 1000
            self._metrics.observe(names.STORE_CALL_TIME, elapsed_ms, operation=operation)
