"""Dispatch non-idempotent requests at most once, by means of claims in the platform's store.

Terms: see `claim_records`, and
  outcome    the result of a dispatch, which replaces the claim in its entry
  release    delete a claim that was never dispatched
  abandoned  a claim whose write got no conclusive reply in time: it may exist, or come into
             existence later, and this VM never dispatches it

Flow: `claim` creates the key's entry by a compare-and-swap that expects no entry; only the VM that
created the entry dispatches. `store_outcome` then replaces the entry with the outcome. An execute
costs two writes, plus one lease grant per VM and sharing period; a repeated request costs one
write, which fails. No decision is based on a read: reads can lag, the conflict of a
compare-and-swap cannot.

After a lost reply the write is repeated with the same token. If the first write took effect, the
conflict shows the VM's own token; if it did not, the second write decides. A first write that
arrives later still fails, since it expects no entry. If no attempt gets a reply, the claim is
abandoned, and the caller gets an error saying that the store is unavailable and the request was not
run, which is true since nothing was dispatched. The claim may exist nevertheless, and a retry must
not treat it as free: another VM cannot distinguish an abandoned claim from one whose VM dispatched
and crashed. Therefore
  - this VM keeps the abandoned token in memory. A retry at this VM takes over the claim by a
    compare-and-swap from its revision, which only one of several retries can win;
  - this VM releases the claim in the background, after which any VM can claim the key again;
  - a retry at another VM before that finds the claim and is answered that the request may have run;
  - if this VM is lost, the claim exists until its lease expires. No VM dispatches it: the key is
    unusable for that time, but there is never a second run.

A lease that expires while its holder is paused could also lead to two dispatches: the key is free,
a retry claims it, and then the paused VM resumes. Two bounds prevent this. A dispatch must begin
before `dispatch_before`: half of the claim's validity, counted on the VM's monotonic clock from a
time before the write. And a claim is kept for one and a half times its validity: a retry that is
sent at the end of the validity, and whose write is delayed, still finds the claim for as long as
the retry could be dispatched. A retry after the validity counts as a new request; callers must not
send it.
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
    ClaimUnavailable,
    DispatchOutcome,
    KeyReused,
    OutcomeWriteState,
    claim_path,
    decode_record,
    encode_record,
)
from berylspindle_store.pending_claims import PendingClaims
from berylspindle_store.store import (
    Store,
    StoreConflict,
    StoredValue,
    StoreError,
    StoreLeaseNotFound,
    StoreOutcomeUnknown,
    StoreUnavailable,
)

# Fraction of a claim's validity within which its dispatch must begin.
DISPATCH_SHARE: Final = 0.5


@attrs.frozen(kw_only=True)
class ClaimOptions:
    """Limits of claims.

    Attributes:
        valid_for: default validity in seconds, for requests that specify none; other validities
            are rounded up to a multiple of it, so that few leases are needed.
        longest: maximum validity in seconds; a longer one is refused.
        share_for: seconds during which new claims share a lease.
        tries: maximum writes of one claim, including the first, before it is abandoned.
        max_bytes: maximum size of a stored record; a result that would exceed it is left out.
    """

    valid_for: float = 600.0
    longest: float = 86_400.0
    share_for: float = 60.0
    tries: int = 3
    max_bytes: int = 64 * 1024


class Claims:
    """The claims of one VM.

    `vm` must be unique over all VMs and restarts, since tokens are derived from it. `now` is a
    monotonic clock and `now_wall` a wall clock, both in seconds.
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
        self._sequence: Final = itertools.count(1)
        self._leases: Final = ClaimLeases(store, share_for=options.share_for, now=now)
        self._pending: Final = PendingClaims(store, max_bytes=options.max_bytes, now=now)

    @property
    def pending(self) -> int:
        """Return the number of outcomes and releases that still have to be written to the store."""
        return len(self._pending)

    async def claim(
        self,
        service: str,
        key: str,
        fingerprint: str,
        attempt_id: str,
        valid_ms: int | None = None,
        *,
        timeout: float | None = None,
    ) -> ClaimOutcome:
        """Claim a key for one dispatch, in at most `timeout` seconds. Never raises StoreError.

        `valid_ms` is the time during which the request may be repeated; None selects the default.
        If `timeout` is None, only the store's own timeouts apply. Raises ValueError if the validity
        is not within the limits.
        """
        finished = self._pending.outcome_of(claim_path(service, key))
        if finished is not None:
            return _refuse_claim(finished, fingerprint)
        validity = self._validity(valid_ms)
        started = self._now()
        record = self._new_record(service, key, fingerprint, attempt_id, validity)
        try:
            # If the store does not respond, the timeouts of all attempts together end long after
            # the caller's deadline; the caller must get its answer at the deadline.
            async with asyncio.timeout(timeout):
                lease = await self._leases.lease((1 + DISPATCH_SHARE) * validity)
                outcome = await self._claim_or_abandon(
                    record, lease, dispatch_before=started + DISPATCH_SHARE * validity
                )
        except (TimeoutError, StoreError):
            return ClaimUnavailable(may_exist=self._pending.is_abandoned(record.token))
        if isinstance(outcome, Claimed) and self._now() > lease.bind_before:
            # The VM was paused between selecting the lease and the reply: the lease may expire
            # within the claim's validity, and a retry would then be dispatched a second time.
            self._abandon(record)
            return ClaimUnavailable(may_exist=True)
        return outcome

    async def store_outcome(self, claim: Claim, outcome: DispatchOutcome) -> OutcomeWriteState:
        """Store the outcome of a dispatched claim; keep it pending if the store is unavailable."""
        finished = attrs.evolve(claim.record, state=ClaimState.FINISHED, outcome=outcome)
        return await self._pending.store_outcome(claim, finished)

    async def release(self, claim: Claim) -> None:
        """Free the key of a claim whose request was not sent or was refused as not run.

        If the store is unavailable, `retry_pending` repeats the release.
        """
        self._abandon(claim.record)
        await self._pending.release(claim.record.token)

    async def find(self, service: str, key: str) -> ClaimRecord | None:
        """Return the record of a key, or None if there is none.

        A record can lag behind the store. Absence is confirmed by a compare-and-swap, since a
        lagging read could miss the claim of a request that has run. Raises StoreUnavailable.
        """
        path = claim_path(service, key)
        finished = self._pending.outcome_of(path)
        if finished is not None:
            return finished
        entry = await self._store.get(path)
        if entry is None:
            entry = await self._confirm_absence(path)
        return None if entry is None else decode_record(entry)

    async def retry_pending(self) -> int:
        """Try each pending outcome and release once. Return how many remain pending."""
        await self._pending.retry()
        return len(self._pending)

    async def _confirm_absence(self, path: str) -> StoredValue | None:
        try:
            await self._store.compare_and_swap(path, None, expect=0)
        except StoreConflict as conflict:
            return conflict.current
        except StoreOutcomeUnknown as error:
            raise StoreUnavailable(str(error)) from error
        return None

    async def _claim_or_abandon(
        self, record: ClaimRecord, lease: SharedLease, *, dispatch_before: float
    ) -> ClaimOutcome:
        try:
            return await self._write_claim(record, lease, dispatch_before)
        except BaseException:
            # The caller disconnected or its deadline passed. The write may have taken effect, and
            # the claim will not be dispatched.
            self._abandon(record)
            raise

    async def _write_claim(
        self, record: ClaimRecord, lease: SharedLease, dispatch_before: float
    ) -> ClaimOutcome:
        expect = 0
        maybe_written = False
        for _ in range(self._options.tries):
            try:
                entry = await self._entry_after_write(record, expect, lease)
            except StoreOutcomeUnknown:
                maybe_written = True
                continue
            except StoreUnavailable:
                break
            except StoreLeaseNotFound:
                # Entries bound to the lease were deleted with it, including one written by an
                # earlier attempt.
                self._leases.discard(lease)
                return ClaimUnavailable(may_exist=False)
            if entry is None:
                # The abandoned claim to take over has been released in the meantime.
                expect = 0
                continue
            holder = decode_record(entry)
            if holder.token == record.token:
                return Claimed(_held_claim(record, entry.revision, lease, dispatch_before))
            if holder.fingerprint != record.fingerprint or not self._may_take_over(holder):
                return _refuse_claim(holder, record.fingerprint)
            expect = entry.revision
        if maybe_written:
            self._abandon(record)
        return ClaimUnavailable(may_exist=maybe_written)

    async def _entry_after_write(
        self, record: ClaimRecord, expect: int, lease: SharedLease
    ) -> StoredValue | None:
        """Try to write a claim. Return the current entry: the written or the conflicting one."""
        path = claim_path(record.service, record.key)
        data = encode_record(record, self._options.max_bytes)
        try:
            return await self._store.compare_and_swap(path, data, expect=expect, lease=lease.id)
        except StoreConflict as conflict:
            return conflict.current

    def _may_take_over(self, record: ClaimRecord) -> bool:
        """Return whether this VM abandoned the claim, so that it was never dispatched."""
        return self._pending.is_abandoned(record.token)

    def _abandon(self, record: ClaimRecord) -> None:
        """Mark a claim as never to be dispatched, for longer than its lease can last."""
        max_lifetime = (1 + DISPATCH_SHARE) * self._options.longest + 2 * self._options.share_for
        self._pending.abandon(record, keep_until=self._now() + max_lifetime)

    def _validity(self, valid_ms: int | None) -> float:
        options = self._options
        seconds = options.valid_for if valid_ms is None else valid_ms / 1000
        if not 0 < seconds <= options.longest:
            raise ValueError(f"validity of {seconds} s is not between 0 and {options.longest} s")
        return math.ceil(seconds / options.valid_for) * options.valid_for

    def _new_record(
        self, service: str, key: str, fingerprint: str, attempt: str, validity: float
    ) -> ClaimRecord:
        claimed_at = self._now_wall()
        return ClaimRecord(
            service=service,
            key=key,
            fingerprint=fingerprint,
            token=f"{self._vm}/{next(self._sequence)}",
            attempt=attempt,
            vm=self._vm,
            state=ClaimState.CLAIMED,
            claimed_at=claimed_at,
            valid_until=claimed_at + validity,
        )


def _held_claim(
    record: ClaimRecord, revision: int, lease: SharedLease, dispatch_before: float
) -> Claim:
    return Claim(record=record, revision=revision, lease=lease.id, dispatch_before=dispatch_before)


def _refuse_claim(record: ClaimRecord, fingerprint: str) -> AlreadyClaimed | KeyReused:
    if record.fingerprint != fingerprint:
        return KeyReused(record)
    return AlreadyClaimed(record)
