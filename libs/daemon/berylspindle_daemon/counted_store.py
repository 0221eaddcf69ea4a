"""Count and time the calls to the platform's store, and report whether the store answers.

Terms:
  result   how a call ended: ok, conflict, lease_gone, lost (it may have taken effect) or away (the
           store did not answer)

Flow: the daemon wraps the one store that all its parts share. Each call is counted by operation and
result, and `on_call` is called with whether it reached the store. A watch is timed only if it
fails, since a successful watch is expected to wait.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from berylspindle_store.store import (
    Lease,
    ListResult,
    Store,
    StoreConflict,
    StoredValue,
    StoreLeaseNotFound,
    StoreOutcomeUnknown,
    StoreUnavailable,
    WatchResult,
)
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics

T = TypeVar("T")

# Arguments: whether the store answered, and the text of the failure.
OnStoreCall = Callable[[bool, str], None]


class InstrumentedStore(Store):
    """A store that records metrics of the calls to another store."""

    def __init__(
        self,
        inner: Store,
        metrics: Metrics,
        on_call: OnStoreCall,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._inner: Final = inner
        self._metrics: Final = metrics
        self._on_call: Final = on_call
        self._now: Final = now

    async def get(self, key: str) -> StoredValue | None:
        """Return an entry or None; the read may be stale."""
        return await self._call("get", self._inner.get(key))

    async def list(self, prefix: str) -> ListResult:
        """Return the entries under `prefix` in the order of their keys; the read may be stale."""
        return await self._call("list", self._inner.list(prefix))

    async def compare_and_swap(
        self, key: str, value: bytes | None, *, expect: int, lease: str | None = None
    ) -> StoredValue:
        """Write or delete an entry if its revision is `expect`; see `Store`."""
        pending = self._inner.compare_and_swap(key, value, expect=expect, lease=lease)
        return await self._call("compare_and_swap", pending)

    async def watch(self, prefix: str, *, after: int, wait: float) -> WatchResult:
        """Wait up to `wait` seconds for changes under `prefix` after revision `after`."""
        pending = self._inner.watch(prefix, after=after, wait=wait)
        return await self._call("watch", pending, record_duration=False)

    async def grant_lease(self, ttl: float) -> Lease:
        """Grant a lease; see `Store`."""
        return await self._call("grant_lease", self._inner.grant_lease(ttl))

    async def keep_alive(self, lease: str) -> Lease:
        """Renew a lease; see `Store`."""
        return await self._call("keep_alive", self._inner.keep_alive(lease))

    async def revoke(self, lease: str) -> None:
        """Revoke a lease and delete the entries bound to it; see `Store`."""
        await self._call("revoke", self._inner.revoke(lease))

    async def _call(
        self, operation: str, pending: Awaitable[T], *, record_duration: bool = True
    ) -> T:
        started = self._now()
        try:
            answer = await pending
        except (StoreUnavailable, StoreOutcomeUnknown) as error:
            result = "lost" if isinstance(error, StoreOutcomeUnknown) else "away"
            self._record_call(operation, result, started)
            self._on_call(False, str(error))
            raise
        except (StoreConflict, StoreLeaseNotFound) as error:
            result = "conflict" if isinstance(error, StoreConflict) else "lease_gone"
            self._record_call(operation, result, started)
            self._on_call(True, "")
            raise
        self._record_call(operation, "ok", started if record_duration else None)
        self._on_call(True, "")
        return answer

    def _record_call(self, operation: str, result: str, started: float | None) -> None:
        self._metrics.count(names.STORE_CALLS, operation=operation, result=result)
        if started is not None:
            elapsed_ms = (self._now() - started) * 1000
            self._metrics.observe(names.STORE_CALL_TIME, elapsed_ms, operation=operation)
