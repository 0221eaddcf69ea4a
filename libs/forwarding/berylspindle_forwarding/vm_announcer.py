"""Announce this VM to the others through the store, under a lease.

Terms:
  entry   one key of this VM: where its peers reach it, bound to a lease

Flow: `run` waits until the store's entries are listed, takes a lease, writes the entry and renews
the lease; whatever fails is tried again, later and later. A process that finds the entry of the one
before it, with the same value, renews that entry's lease and writes nothing. `withdraw` ends the
lease in a planned shutdown, so that the others need not wait it out.

Guards: an entry that the last process of this VM left behind is replaced under its revision, and so
never taken for another VM's. An entry that has gone, or is bound to another lease than the one that
is renewed, is written again. A renewal costs a tenth of a call, and one that goes unanswered is
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
    StoredValue,
    StoreError,
    StoreLeaseGone,
)

LEASE_S: Final = 30.0
LEASE_WATCHER_S: Final = 15.0
RENEW_S: Final = 10.0
RENEW_WATCHER_S: Final = 1.5
"""Seconds between two renewals. A third of the lease does for the lease; a watcher's renewals also
show an outage of the store that its waiting watch does not, and the shortest that matters lasts
about two."""

RETRY_S: Final = 1.0
RETRY_MOST_S: Final = 5.0
"""Seconds before a call that failed is tried again: as many at first, then twice as many each time.
Eighty VMs that try each second make four hundred calls of an outage of five seconds."""

MISSED_MOST: Final = 2
"""Renewals in a row at which the entry is not as it should be, before it is written again: what
this VM knows of the store lags a little."""


class VmAnnouncer:
    """Keep one entry in the store.

    `known` returns the entry as this VM knows it and `listed` waits until it knows all entries;
    `on_failure` is told of each call that failed.
    """

    def __init__(
        self,
        store: Store,
        *,
        key: str,
        value: bytes,
        known: Callable[[], StoredValue | None],
        listed: asyncio.Event,
        on_failure: Callable[[str], None],
        is_watcher: Callable[[], bool],
    ) -> None:
        self._is_watcher: Final = is_watcher
        self._store: Final = store
        self._key: Final = key
        self._value: Final = value
        self._known: Final = known
        self._listed: Final = listed
        self._on_failure: Final = on_failure
        self._lease: str | None = None
        self._ended_leases: set[str] = set()
        self._missed = 0

    async def run(self) -> None:
        """Announce and renew until cancelled."""
        await self._listed.wait()
        pause = RETRY_S
        while True:
            try:
                await self._step()
                pause = RETRY_S
                await asyncio.sleep(RENEW_WATCHER_S if self._is_watcher() else RENEW_S)
            except StoreLeaseGone:
                self._forget_lease()
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
            await self._renew(self._lease)
        elif (lease := self._lease_of_last_process()) is not None:
            self._lease = lease
            await self._store.keep_alive(lease)
        else:
            await self._announce()

    def _lease_of_last_process(self) -> str | None:
        entry = self._known()
        if entry is None or entry.value != self._value or entry.lease in self._ended_leases:
            return None
        return entry.lease or None

    async def _announce(self) -> None:
        ttl = LEASE_WATCHER_S if self._is_watcher() else LEASE_S
        lease = await self._store.grant_lease(ttl)
        await self._write(lease.id)
        self._lease = lease.id
        self._missed = 0

    async def _renew(self, lease: str) -> None:
        await self._store.keep_alive(lease)
        entry = self._known()
        if entry is not None and entry.value == self._value and entry.lease in ("", lease):
            self._missed = 0
            return
        self._missed += 1
        if self._missed >= MISSED_MOST:
            await self._write(lease)
            self._missed = 0

    def _forget_lease(self) -> None:
        if self._lease is not None:
            self._ended_leases.add(self._lease)
        self._lease = None

    async def _write(self, lease: str) -> None:
        entry = self._known()
        expect = entry.revision if entry is not None else 0
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
