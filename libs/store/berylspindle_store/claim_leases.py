"""Leases that many claims share, so that expiry costs next to no calls.

Terms:
  keep        seconds for which a claim must be kept
  share time  seconds during which new claims are bound to one lease

Flow: a lease is granted for `keep` plus the share time and never kept alive. A claim bound to it
within the share time is kept for at least `keep`; then the store deletes it by itself, also when
the VM is gone. One grant in each share time replaces a lease for each claim, or a sweep.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_store.store import Store

# A lease is renewed this share of the share time before its end, so that a claim which begins just
# before the end is not refused for having ended after it.
_RENEW_SHARE: Final = 0.1


@attrs.frozen(kw_only=True)
class SharedLease:
    """A lease to bind claims to until `use_before` (monotonic)."""

    id: str
    use_before: float


class ClaimLeases:
    """Hold one lease for each time to keep that is asked for."""

    def __init__(self, store: Store, *, share_for: float, now: Callable[[], float]) -> None:
        self._store: Final = store
        self._share_for: Final = share_for
        self._now: Final = now
        self._held: dict[float, SharedLease] = {}
        self._granting: dict[float, asyncio.Lock] = {}

    async def lease(self, keep: float) -> SharedLease:
        """Return a lease that keeps what is bound now for `keep` seconds; raises StoreError."""
        held = self._fresh(keep)
        if held is not None:
            return held
        # A burst after a quiet time would otherwise grant a lease for each of its claims.
        async with self._granting.setdefault(keep, asyncio.Lock()):
            held = self._fresh(keep)
            return held if held is not None else await self._grant(keep)

    def forget(self, lease: SharedLease) -> None:
        """Use a lease no longer, since the store does not know it."""
        for keep, held in tuple(self._held.items()):
            if held.id == lease.id:
                del self._held[keep]

    def _fresh(self, keep: float) -> SharedLease | None:
        held = self._held.get(keep)
        if held is None or self._now() >= held.use_before - _RENEW_SHARE * self._share_for:
            return None
        return held

    async def _grant(self, keep: float) -> SharedLease:
        # The store begins to count after this moment, so counting from it errs to the safe side.
        started = self._now()
        granted = await self._store.grant_lease(keep + self._share_for)
        lease = SharedLease(id=granted.id, use_before=started + self._share_for)
        self._held[keep] = lease
        return lease
