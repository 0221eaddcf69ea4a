"""Run a request that may not be repeated at most once, by claims in the platform's store.

Terms: see `claim_records`. Besides:
  settle     store the outcome of a claim that was dispatched
  release    delete a claim that was surely never dispatched
  abandoned  a claim whose write could not be settled in time: it may stand, or come to stand
             later, and this VM will never dispatch it

Flow: `claim` writes the key's entry by compare-and-swap that expects none; only who made the entry
dispatches. Then `settle` replaces it with the outcome. That is two writes for each execute, plus a
grant for each VM in each share time; a repetition costs one write, which fails. Nothing is read to
decide: reads can lag, the conflict of a compare-and-swap cannot.

A lost reply is settled by writing again with the same token: either the first write had taken
effect, and the conflict shows the own token, or it had not, and this one decides; a first write
that arrives later still fails, since it expects no entry. When no try is answered, the attempt is
abandoned: the caller is told that the store is away and that the request was not run, which is
true, as nothing was dispatched. But the claim may stand, and a retry must not take it as free on
its word: another VM cannot tell an abandoned claim from one whose VM has dispatched and died. So
  - this VM keeps the abandoned token in memory. A retry that comes to it takes the claim over, by a
    compare-and-swap from that very revision, which only one of several can win;
  - it goes on in the background to release the claim, after which any VM may claim the key anew;
  - a retry at another VM before that finds the claim and is told that the request may have run;
  - if this VM is lost, the claim stands until its lease lapses. Nobody dispatches it. This costs
    the key its use for that time, and never a second run.

A lease that lapses while its holder is paused is the other way to two dispatches: the key is free
again and a retry claims it, then the paused VM wakes. Hence `dispatch_before`: half of the claim's
validity, by the VM's own monotonic clock, from before the write. And hence a claim is kept for one
and a half times its validity: a retry that comes just within the validity, and whose write then
hangs, still finds the claim for as long as it could be dispatched. A retry later than the validity
is a new request; callers must not send it.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_store.claim_leases import ClaimLeases, SharedLease
from berylspindle_store.claim_records import (
    AlreadyClaimed,
    Claim,
    Claimed,
    ClaimOutcome,
    ClaimRecord,
    ClaimState,
    DispatchOutcome,
    KeyReused,
    SettleState,
    StoreIsAway,
    claim_path,
    decode_record,
    encode_record,
)
from berylspindle_store.pending_claims import PendingClaims
from berylspindle_store.store import (
    Store,
    StoreAway,
    StoreConflict,
    StoredValue,
    StoreError,
    StoreLeaseGone,
    StoreUnsure,
)

# Share of a claim's validity within which its dispatch must begin.
DISPATCH_SHARE: Final = 0.5


@attrs.frozen(kw_only=True)
class ClaimOptions:
    """Bounds of claims.

    Attributes:
        valid_for: seconds for which a claim is kept where the request names no time; other
            times are rounded up to a multiple of it, so that few leases serve all.
        longest: seconds beyond which a request's validity is refused.
        share_for: seconds during which new claims share a lease.
        tries: writes of one claim, the first included, until it is abandoned.
        max_bytes: largest record kept; a result that makes it larger is left out.
    """

    valid_for: float = 600.0
    longest: float = 86_400.0
    share_for: float = 60.0
    tries: int = 3
    max_bytes: int = 64 * 1024


class Claims:
    """Claim, settle, release and find, for one VM.

    `vm` must never have been used before, by this VM or another: a restarted one has a new id.
    `now` is monotonic, `now_wall` wall clock, both in seconds.
    """

    def __init__(
        self,
        store: Store,
        *,
        vm: str,
        options: ClaimOptions,
        now: Callable[[], float],
        now_wall: Callable[[], float],
    ) -> None:
        self._store: Final = store
        self._vm: Final = vm
        self._options: Final = options
        self._now: Final = now
        self._now_wall: Final = now_wall
        self._numbers: Final = itertools.count(1)
        self._leases: Final = ClaimLeases(store, share_for=options.share_for, now=now)
        self._pending: Final = PendingClaims(store, max_bytes=options.max_bytes, now=now)

    @property
    def pending(self) -> int:
        """Return how many outcomes and releases wait for the store."""
        return len(self._pending)

    async def claim(
        self,
        service: str,
        key: str,
        fingerprint: str,
        attempt_id: str,
        valid_ms: int | None = None,
        *,
        within: float | None = None,
    ) -> ClaimOutcome:
        """Claim a key for one dispatch within so many seconds; never raises a StoreError.

        `valid_ms` is how long the request may be repeated, None for the default. Raises ValueError
        where it is longer than the longest. Without `within` the store's own timeouts bound this.
        """
        known = self._pending.outcome_of(claim_path(service, key))
        if known is not None:
            return _of_other(known, fingerprint)
        valid = self._valid(valid_ms)
        started = self._now()
        record = self._record(service, key, fingerprint, attempt_id, valid)
        try:
            # A store that answers nothing takes all tries' timeouts, long after the caller's
            # deadline; the caller is to hear at once that it was given up.
            async with asyncio.timeout(within):
                lease = await self._leases.lease((1 + DISPATCH_SHARE) * valid)
                outcome = await self._claim(
                    record, lease, dispatch_before=started + DISPATCH_SHARE * valid
                )
        except (TimeoutError, StoreError):
            return StoreIsAway(may_stand=self._pending.is_abandoned(record.token))
        if isinstance(outcome, Claimed) and self._now() > lease.use_before:
            # The VM was paused between taking the lease and the reply: the lease ends too soon
            # to keep the claim for its time, and a retry would then be dispatched a second time.
            self._abandon(record)
            return StoreIsAway(may_stand=True)
        return outcome

    async def settle(self, claim: Claim, outcome: DispatchOutcome) -> SettleState:
        """Store the outcome of a dispatched claim; where the store is away it stays pending."""
        finished = attrs.evolve(claim.record, state=ClaimState.FINISHED, outcome=outcome)
        return await self._pending.settle(claim, finished)

    async def release(self, claim: Claim) -> None:
        """Free the key of a claim that was surely not run: never sent, or refused unrun.

        Where the store is away this goes on in `retry_pending`.
        """
        self._abandon(claim.record)
        await self._pending.release(claim.record.token)

    async def find(self, service: str, key: str) -> ClaimRecord | None:
        """Return the record of a key, or None where there surely is none now.

        Raises StoreAway. A record that is found can lag; a None is proved by a write, since a
        lagging read would deny a request that has run.
        """
        path = claim_path(service, key)
        known = self._pending.outcome_of(path)
        if known is not None:
            return known
        found = await self._store.get(path)
        if found is None:
            found = await self._prove_absence(path)
        return None if found is None else decode_record(found)

    async def retry_pending(self) -> int:
        """Try once to store and release what waits for the store; returns how many still wait."""
        await self._pending.retry()
        return len(self._pending)

    async def _prove_absence(self, path: str) -> StoredValue | None:
        try:
            await self._store.compare_and_swap(path, None, expect=0)
        except StoreConflict as conflict:
            return conflict.current
        except StoreUnsure as error:
            raise StoreAway(str(error)) from error
        return None

    async def _claim(
        self, record: ClaimRecord, lease: SharedLease, *, dispatch_before: float
    ) -> ClaimOutcome:
        try:
            return await self._write_claim(record, lease, dispatch_before)
        except BaseException:
            # The caller went away, or its time is over: the write may stand all the same, and
            # nobody is left to dispatch it.
            self._abandon(record)
            raise

    async def _write_claim(
        self, record: ClaimRecord, lease: SharedLease, dispatch_before: float
    ) -> ClaimOutcome:
        expect = 0
        unsure = False
        for _ in range(self._options.tries):
            try:
                entry = await self._entry_after_write(record, expect, lease)
            except StoreUnsure:
                unsure = True
                continue
            except StoreAway:
                break
            except StoreLeaseGone:
                # What was bound to the lease has gone with it, an earlier try included.
                self._leases.forget(lease)
                return StoreIsAway(may_stand=False)
            if entry is None:
                # The abandoned claim that was to be taken over has been released meanwhile.
                expect = 0
                continue
            holder = decode_record(entry)
            if holder.token == record.token:
                return Claimed(_claim(record, entry.revision, lease, dispatch_before))
            if holder.fingerprint != record.fingerprint or not self._may_take_over(holder):
                return _of_other(holder, record.fingerprint)
            expect = entry.revision
        if unsure:
            self._abandon(record)
        return StoreIsAway(may_stand=unsure)

    async def _entry_after_write(
        self, record: ClaimRecord, expect: int, lease: SharedLease
    ) -> StoredValue | None:
        """Try to write a claim; returns the entry as it then is, the own one or another's."""
        path = claim_path(record.service, record.key)
        data = encode_record(record, self._options.max_bytes)
        try:
            return await self._store.compare_and_swap(path, data, expect=expect, lease=lease.id)
        except StoreConflict as conflict:
            return conflict.current

    def _may_take_over(self, record: ClaimRecord) -> bool:
        """Tell whether a claim was abandoned by this very VM, and so surely never dispatched."""
        return self._pending.is_abandoned(record.token)

    def _abandon(self, record: ClaimRecord) -> None:
        """Remember a claim that is never dispatched for longer than it can stand."""
        longest = (1 + DISPATCH_SHARE) * self._options.longest + 2 * self._options.share_for
        self._pending.abandon(record, keep_until=self._now() + longest)

    def _valid(self, valid_ms: int | None) -> float:
        options = self._options
        seconds = options.valid_for if valid_ms is None else valid_ms / 1000
        if not 0 < seconds <= options.longest:
            raise ValueError(f"validity of {seconds} s is not within 0 and {options.longest} s")
        return math.ceil(seconds / options.valid_for) * options.valid_for

    def _record(
        self, service: str, key: str, fingerprint: str, attempt: str, valid: float
    ) -> ClaimRecord:
        wall = self._now_wall()
        return ClaimRecord(
            service=service,
            key=key,
            fingerprint=fingerprint,
            token=f"{self._vm}/{next(self._numbers)}",
            attempt=attempt,
            vm=self._vm,
            state=ClaimState.CLAIMED,
            claimed_at=wall,
            valid_until=wall + valid,
        )


def _claim(record: ClaimRecord, revision: int, lease: SharedLease, dispatch_before: float) -> Claim:
    return Claim(record=record, revision=revision, lease=lease.id, dispatch_before=dispatch_before)


def _of_other(record: ClaimRecord, fingerprint: str) -> AlreadyClaimed | KeyReused:
    if record.fingerprint != fingerprint:
        return KeyReused(record)
    return AlreadyClaimed(record)
