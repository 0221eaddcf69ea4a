"""Leases shared by many claims, so that claims expire with very few calls to the store.

Terms:
  min_ttl         seconds for which a claim must be kept
  sharing period  seconds during which new claims are bound to the same lease

Flow: a lease is granted for `min_ttl` plus the sharing period and never renewed. A claim bound to
it within the sharing period is kept for at least `min_ttl`; then the store deletes it, even if the
VM no longer exists. This takes one grant per sharing period, and neither a lease for each claim nor
a clean-up task.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_store.store import Store

# Last fraction of the sharing period, in which new claims already get a new lease. Otherwise the
# reply to a claim that begins just before the end could arrive after it, and the claim would be
# refused.
_REPLACEMENT_MARGIN: Final = 0.1


@attrs.frozen(kw_only=True)
class SharedLease:
    """A lease to which claims can be bound until `bind_before` (monotonic seconds)."""

    id: str
    bind_before: float


class ClaimLeases:
    """The current leases, one per requested `min_ttl`."""

    def __init__(self, store: Store, *, share_for: float, now: Callable[[], float]) -> None:
        self._store: Final = store
        self._share_for: Final = share_for
        self._now: Final = now
        self._current: dict[float, SharedLease] = {}
        self._grant_locks: dict[float, asyncio.Lock] = {}

    async def lease(self, min_ttl: float) -> SharedLease:
        """Return a lease that lasts at least `min_ttl` seconds from now. Raises StoreError."""
        current = self._usable_lease(min_ttl)
        if current is not None:
            return current
        # Without the lock, each claim of a burst after an idle time would grant a lease.
        async with self._grant_locks.setdefault(min_ttl, asyncio.Lock()):
            current = self._usable_lease(min_ttl)
            return current if current is not None else await self._grant(min_ttl)

    def discard(self, lease: SharedLease) -> None:
        """Stop using a lease that the store no longer knows."""
        for min_ttl, current in tuple(self._current.items()):
            if current.id == lease.id:
                del self._current[min_ttl]

    def _usable_lease(self, min_ttl: float) -> SharedLease | None:
        current = self._current.get(min_ttl)
        if (
            current is None
            or self._now() >= current.bind_before - _REPLACEMENT_MARGIN * self._share_for
        ):
            return None
        return current

    async def _grant(self, min_ttl: float) -> SharedLease:
        # The store starts the TTL after this time, so a claim that is bound before `bind_before`
        # is kept for at least `min_ttl`.
        started = self._now()
        granted = await self._store.grant_lease(min_ttl + self._share_for)
        lease = SharedLease(id=granted.id, bind_before=started + self._share_for)
        self._current[min_ttl] = lease
        return lease
