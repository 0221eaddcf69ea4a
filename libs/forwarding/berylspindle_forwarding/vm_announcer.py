"""Announce this VM to the others through the store, under a lease, where it is needed.

Terms:
  entry   one key of this VM: where its peers reach it, bound to a lease

Flow: `run` waits until the store's entries are listed, takes a lease, writes the entry and renews
the lease; whatever fails is tried again, later and later. A process that finds the entry of the one
before it, with the same addresses, renews that entry's lease and writes nothing. `withdraw` ends
the lease in a planned shutdown, so that the others need not wait it out.

A VM that has enough bigger ones to follow announces nothing: those count it as a follower and say
so in their entries. Where they are gone the others come forward, each after a while of its own, and
not those that see enough by then.

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

import attrs

from berylspindle_decisions.follower_count import FollowerCount
from berylspindle_forwarding.catalogue import VmEntry
from berylspindle_model import codec
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

LOOK_S: Final = 2.0
"""Seconds, more or less by half, between two looks of a VM without an entry at the others; before
the first one as many for a VM of one core, and more for a smaller one."""

LEAST_BEARS: Final = 0.25

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
        entry: VmEntry,
        followers: FollowerCount,
        is_needed: Callable[[], bool],
        known: Callable[[], StoredValue | None],
        listed: asyncio.Event,
        on_failure: Callable[[str], None],
        is_watcher: Callable[[], bool],
        u: Callable[[], float],
    ) -> None:
        self._is_watcher: Final = is_watcher
        self._entry: Final = entry
        self._followers: Final = followers
        self._is_needed: Final = is_needed
        self._u: Final = u
        self._written = 0
        self._store: Final = store
        self._key: Final = key
        self._known: Final = known
        self._listed: Final = listed
        self._on_failure: Final = on_failure
        self._lease: str | None = None
        self._ended_leases: set[str] = set()
        self._missed = 0

    async def run(self) -> None:
        """Announce and renew until cancelled."""
        await self._listed.wait()
        if self._lease_of_last_process() is None:
            await self._until_needed()
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

    @property
    def is_announced(self) -> bool:
        """Return whether this VM has an entry."""
        return self._lease is not None

    async def _until_needed(self) -> None:
        # The bigger VMs come first, and the others see them.
        delay = LOOK_S / max(LEAST_BEARS, self._entry.bears)
        while True:
            await asyncio.sleep(delay * (0.5 + self._u()))
            if self._is_needed():
                return
            delay = LOOK_S

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
        told = self._read(entry)
        if entry is None or told is None or entry.lease in self._ended_leases:
            return None
        if told.followers and not self._written:
            self._written = told.followers
            self._followers.restore(_now(), told.followers, bears=told.follower_bears)
        return entry.lease or None

    def _read(self, entry: StoredValue | None) -> VmEntry | None:
        """Return what an entry says, if it is this VM's own with the addresses of now."""
        if entry is None or entry.value is None:
            return None
        try:
            told = codec.from_json(entry.value, VmEntry)
        except codec.MalformedError:
            return None
        is_own = attrs.evolve(told, followers=0, follower_bears=0.0) == self._entry
        return told if is_own else None

    async def _announce(self) -> None:
        ttl = LEASE_WATCHER_S if self._is_watcher() else LEASE_S
        lease = await self._store.grant_lease(ttl)
        await self._write(lease.id)
        self._lease = lease.id
        self._missed = 0

    async def _renew(self, lease: str) -> None:
        await self._store.keep_alive(lease)
        entry = self._known()
        if entry is not None and self._read(entry) is not None and entry.lease in ("", lease):
            self._missed = 0
            if self._followers.is_due(_now(), self._written):
                await self._write(lease)
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
        self._written = self._followers.count(_now())
        told = attrs.evolve(
            self._entry,
            followers=self._written,
            follower_bears=self._followers.least_bears(),
        )
        value = codec.to_json(told)
        entry = self._known()
        expect = entry.revision if entry is not None else 0
        for _ in range(3):
            try:
                await self._store.compare_and_swap(self._key, value, expect=expect, lease=lease)
            except StoreConflict as conflict:
                expect = conflict.current.revision if conflict.current is not None else 0
            else:
                return
        raise StoreAway("the entry changed again and again")


def _now() -> float:
    return asyncio.get_running_loop().time()
