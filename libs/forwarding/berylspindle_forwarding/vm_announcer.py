"""Announce this VM in the store under a lease, if an announcement is needed.

Terms:
  entry   one key of this VM with its address for peers, bound to a lease

Flow: `run` waits until the store's entries are listed, obtains a lease, writes the entry and renews
the lease. Failed calls are retried with exponential backoff. If the previous process of this VM
left an entry with the same addresses, its lease is renewed and nothing is written. `withdraw`
revokes the lease in a planned shutdown, so that the other VMs need not wait for its expiry.

A VM with enough bigger VMs to follow is not announced: those count it as a follower and publish the
count in their entries. If they disappear, the remaining VMs are announced after a random delay
each, until there are enough again. Before its announcement a VM lists the entries in the store: its
mirror lags by up to a batch interval, in which all VMs that start together would be announced.

Guards: the entry of a previous process is replaced under its revision, and so never mistaken for
another VM's. An entry that is missing, or bound to a lease other than the one renewed, is written
again. A renewal costs the store a tenth of any other call; a failed one is reported. A VM that has
stopped is counted for `LEASE_S` at most, which makes the other VMs' shares of budgets smaller,
never larger.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Sequence
from typing import Final

import attrs

from berylspindle_decisions.follower_count import FollowerCount
from berylspindle_forwarding.boot_clock import boot_time
from berylspindle_forwarding.catalogue_changes import VmEntry
from berylspindle_model import codec
from berylspindle_store.store import (
    Lease,
    Store,
    StoreConflict,
    StoredValue,
    StoreError,
    StoreLeaseNotFound,
    StoreUnavailable,
)

LEASE_S: Final = 30.0
WATCHER_LEASE_S: Final = 15.0
RENEW_INTERVAL_S: Final = 10.0
WATCHER_RENEW_INTERVAL_S: Final = 1.5
"""Seconds between two renewals. A third of the lease is enough to keep it; a watcher's lease is
short, and the store may be unavailable for several renewals."""

LENDER_RENEW_INTERVAL_S: Final = 2.5
"""Seconds between two renewals of a VM that may own quotas. It lends only while its lease is
certain, and the store may reject a VM for ten seconds of the shortest lease."""

RETRY_MIN_S: Final = 1.0
RETRY_MAX_S: Final = 5.0
"""Seconds before a failed call is retried: the minimum at first, then doubled up to the maximum.
With a retry each second, eighty VMs would make four hundred calls in an outage of five seconds."""

NEED_CHECK_INTERVAL_S: Final = 2.0
"""Seconds, with a jitter of 50%, between two checks whether a VM without an entry has to be
announced. The first check comes after this delay divided by the capacity of the VM in cores."""

MIN_CAPACITY: Final = 0.25

LEASE_MARGIN_S: Final = 1.0
"""Seconds before the expiry of its lease from which on this VM does not rely on it any more."""

MAX_MISMATCHED_RENEWALS: Final = 2
"""Consecutive renewals with a missing or different entry before it is written again: the entry is
read from this VM's mirror, which lags a little behind the store."""


class VmAnnouncer:
    """Keep this VM's entry in the store.

    An entry is needed while fewer than `required` other VMs of the data centre that are at least as
    big have one; `known_vms` returns the entries that this VM's mirror holds of other VMs.
    `stored_entry` returns the entry of this VM as its mirror holds it, and `listed` is set once all
    entries are listed; `on_failure` receives the error of each failed call.
    """

    def __init__(
        self,
        store: Store,
        *,
        key: str,
        entry: VmEntry,
        followers: FollowerCount,
        known_vms: Callable[[], Iterable[VmEntry]],
        required: int,
        stored_entry: Callable[[], StoredValue | None],
        listed: asyncio.Event,
        on_failure: Callable[[str], None],
        is_watcher: Callable[[], bool],
        uniform: Callable[[], float],
        clock: Callable[[], float] = boot_time,
        owns_quotas: Callable[[], bool] = lambda: False,
    ) -> None:
        self._clock: Final = clock
        self._owns_quotas: Final = owns_quotas
        self._is_watcher: Final = is_watcher
        self._entry: Final = entry
        self._followers: Final = followers
        self._known_vms: Final = known_vms
        self._required: Final = required
        self._uniform: Final = uniform
        self._written_followers = 0
        self._store: Final = store
        self._key: Final = key
        self._stored_entry: Final = stored_entry
        self._listed: Final = listed
        self._on_failure: Final = on_failure
        self._lease: str | None = None
        self._ended_leases: set[str] = set()
        self._mismatched_renewals = 0
        self._lease_valid_until = -math.inf
        self._announced_at = -math.inf

    async def run(self) -> None:
        """Announce and renew until cancelled."""
        await self._listed.wait()
        if self._inherited_lease() is None:
            await self._wait_until_needed()
        pause = RETRY_MIN_S
        while True:
            try:
                await self._step()
                pause = RETRY_MIN_S
                await self._wait_until_renewal()
            except StoreLeaseNotFound:
                self._discard_lease()
            except StoreError as error:
                self._on_failure(str(error))
                await asyncio.sleep(RETRY_MIN_S if self._relies_on_lease() else pause)
                pause = min(RETRY_MAX_S, 2 * pause)

    async def withdraw(self) -> None:
        """Revoke the lease, if any; a failure is reported and not retried."""
        lease, self._lease = self._lease, None
        self._lease_valid_until = -math.inf
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

    @property
    def lease_valid_until(self) -> float:
        """Return the time of `clock` until which the store is certain to keep this VM's lease.

        It counts from the time at which the last successful renewal was sent, less a margin.
        """
        return self._lease_valid_until

    @property
    def announced_at(self) -> float:
        """Return the time of `clock` at which this process was last granted a new lease.

        Minus infinity if it renews the lease of the previous process of this VM.
        """
        return self._announced_at

    async def _wait_until_needed(self) -> None:
        # Bigger VMs are announced first, so that smaller ones need not be.
        delay = NEED_CHECK_INTERVAL_S / max(MIN_CAPACITY, self._entry.bears)
        while True:
            await asyncio.sleep(delay * (0.5 + self._uniform()))
            if await self._needs_entry():
                return
            delay = NEED_CHECK_INTERVAL_S

    async def _needs_entry(self) -> bool:
        if not self._is_needed(self._known_vms()):
            return False
        # An entry of a previous process is replaced, which adds none.
        if self._stored_entry() is not None:
            return True
        others = await self._list_others()
        return others is not None and self._is_needed(others)

    def _is_needed(self, others: Iterable[VmEntry]) -> bool:
        own = self._entry
        bigger = [
            vm for vm in others if vm.data_centre == own.data_centre and vm.bears >= own.bears
        ]
        return len(bigger) < self._required

    async def _list_others(self) -> Sequence[VmEntry] | None:
        """Return the entries of other VMs in the store, or None if the store does not answer."""
        prefix = self._key[: self._key.rfind("/") + 1]
        try:
            listed = await self._store.list(prefix)
        except StoreError as error:
            self._on_failure(str(error))
            return None
        found = (_decode(entry) for entry in listed.entries if self._is_other(entry, prefix))
        return [vm for vm in found if vm is not None]

    def _is_other(self, entry: StoredValue, prefix: str) -> bool:
        return entry.key.startswith(prefix) and entry.key != self._key

    async def _wait_until_renewal(self) -> None:
        """Wait for a renewal interval, which may become shorter meanwhile."""
        waited = 0.0
        while waited < self._renew_interval():
            step = min(WATCHER_RENEW_INTERVAL_S, RENEW_INTERVAL_S - waited)
            await asyncio.sleep(step)
            waited += step

    def _relies_on_lease(self) -> bool:
        return self._is_watcher() or self._owns_quotas()

    def _renew_interval(self) -> float:
        if self._is_watcher():
            return WATCHER_RENEW_INTERVAL_S
        return LENDER_RENEW_INTERVAL_S if self._owns_quotas() else RENEW_INTERVAL_S

    async def _step(self) -> None:
        if self._lease is not None:
            await self._renew(self._lease)
        elif (lease := self._inherited_lease()) is not None:
            self._lease = lease
            await self._keep_alive(lease)
        else:
            await self._announce()

    def _inherited_lease(self) -> str | None:
        entry = self._stored_entry()
        vm = self._decode_own(entry)
        if entry is None or vm is None or entry.lease in self._ended_leases:
            return None
        if vm.followers and not self._written_followers:
            self._written_followers = vm.followers
            self._followers.restore(_now(), vm.followers, capacity=vm.follower_bears)
        return entry.lease or None

    def _decode_own(self, entry: StoredValue | None) -> VmEntry | None:
        """Decode an entry; return None unless it is this VM's own with its current addresses."""
        vm = _decode(entry) if entry is not None else None
        if vm is None:
            return None
        is_own = attrs.evolve(vm, followers=0, follower_bears=0.0) == self._entry
        return vm if is_own else None

    async def _announce(self) -> None:
        ttl = WATCHER_LEASE_S if self._is_watcher() else LEASE_S
        sent = self._clock()
        lease = await self._store.grant_lease(ttl)
        await self._write(lease.id)
        self._lease = lease.id
        self._announced_at = self._clock()
        self._record_renewal(sent, lease)
        self._mismatched_renewals = 0

    async def _keep_alive(self, lease: str) -> None:
        sent = self._clock()
        self._record_renewal(sent, await self._store.keep_alive(lease))

    def _record_renewal(self, sent: float, lease: Lease) -> None:
        self._lease_valid_until = sent + lease.ttl - LEASE_MARGIN_S

    async def _renew(self, lease: str) -> None:
        await self._keep_alive(lease)
        entry = self._stored_entry()
        if entry is not None and self._decode_own(entry) is not None and entry.lease in ("", lease):
            self._mismatched_renewals = 0
            if self._followers.needs_write(_now(), self._written_followers):
                await self._write(lease)
            return
        self._mismatched_renewals += 1
        if self._mismatched_renewals >= MAX_MISMATCHED_RENEWALS:
            await self._write(lease)
            self._mismatched_renewals = 0

    def _discard_lease(self) -> None:
        if self._lease is not None:
            self._ended_leases.add(self._lease)
        self._lease = None
        self._lease_valid_until = -math.inf

    async def _write(self, lease: str) -> None:
        self._written_followers = self._followers.count(_now())
        vm = attrs.evolve(
            self._entry,
            followers=self._written_followers,
            follower_bears=self._followers.min_capacity(),
        )
        value = codec.to_json(vm)
        entry = self._stored_entry()
        expect = entry.revision if entry is not None else 0
        for _ in range(3):
            try:
                await self._store.compare_and_swap(self._key, value, expect=expect, lease=lease)
            except StoreConflict as conflict:
                expect = conflict.current.revision if conflict.current is not None else 0
            else:
                return
        raise StoreUnavailable("the entry was changed by another writer at each of 3 attempts")


def _decode(entry: StoredValue) -> VmEntry | None:
    """Decode an entry; return None if it is deleted or malformed."""
    if entry.value is None:
        return None
    try:
        return codec.from_json(entry.value, VmEntry)
    except codec.MalformedError:
        return None


def _now() -> float:
    return asyncio.get_running_loop().time()
