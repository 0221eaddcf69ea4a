"""Announce this VM to the others through the store, under a lease.

Terms:
  entry   one key of this VM: where its peers reach it, bound to a lease

Flow: `run` takes a lease, writes the entry and renews the lease; whatever fails is tried again,
later and later. `withdraw` ends the lease in a planned shutdown, so that the others need not wait
it out.

Guards: an entry that the last process of this VM left behind is replaced under its revision, and so
never taken for another VM's. A renewal costs a tenth of a call, and one that goes unanswered is
told, so that whoever waits for the store can ask anew. A VM that is gone is counted for `LEASE_S`
at most, which makes the others' shares of budgets smaller, never larger.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from berylspindle_store.store import (
    Store,
    StoreAway,
    StoreConflict,
    StoreError,
    StoreLeaseGone,
)

LEASE_S: Final = 15.0
RENEW_S: Final = 5.0
RENEW_WATCHER_S: Final = 1.5
"""Seconds between two renewals. A third of the lease does for the lease; a watcher's renewals also
show an outage of the store that its waiting watch does not, and the shortest that matters lasts
about two."""

RETRY_S: Final = 1.0
RETRY_MOST_S: Final = 5.0
"""Seconds before a call that failed is tried again: as many at first, then twice as many each time.
Eighty VMs that try each second make four hundred calls of an outage of five seconds."""


class VmAnnouncer:
    """Keep one entry in the store; `on_failure` is told of each call that failed."""

    def __init__(
        self,
        store: Store,
        *,
        key: str,
        value: bytes,
        on_failure: Callable[[str], None],
        is_watcher: Callable[[], bool],
    ) -> None:
        self._is_watcher: Final = is_watcher
        self._store: Final = store
        self._key: Final = key
        self._value: Final = value
        self._on_failure: Final = on_failure
        self._lease: str | None = None

    async def run(self) -> None:
        """Announce and renew until cancelled."""
        pause = RETRY_S
        while True:
            try:
                await self._step()
                pause = RETRY_S
                await asyncio.sleep(RENEW_WATCHER_S if self._is_watcher() else RENEW_S)
            except StoreLeaseGone:
                self._lease = None
            except StoreError as error:
                self._on_failure(str(error))
                await asyncio.sleep(RETRY_S if self._is_watcher() else pause)
                pause = min(RETRY_MOST_S, 2 * pause)

    async def withdraw(self) -> None:
        """End the lease, if there is one; a store that is away is not waited for."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            await self._store.revoke(lease)
        except StoreError as error:
            self._on_failure(str(error))

    async def _step(self) -> None:
        if self._lease is not None:
            await self._store.keep_alive(self._lease)
            return
        lease = await self._store.grant_lease(LEASE_S)
        await self._write(lease.id)
        self._lease = lease.id

    async def _write(self, lease: str) -> None:
        expect = 0
        for _ in range(3):
            try:
                await self._store.compare_and_swap(
                    self._key, self._value, expect=expect, lease=lease
                )
            except StoreConflict as conflict:
                expect = conflict.current.revision if conflict.current is not None else 0
            else:
                return
        raise StoreAway("the entry changed again and again")
