"""Outcomes and releases of a VM's claims that are not yet in the store.

Terms: see `claims`, and
  pending outcome   the outcome of a request that has run and is not yet stored
  abandoned token   token of a claim that this VM did not dispatch and never will

Flow: `store_outcome` and `release` write at once; what could not be written is kept here, and a
background task calls `retry` until it is written or has expired. If the VM is lost, its pending
items are lost too: the claim stays CLAIMED, and a retry is answered that the request may have run.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_store.claim_records import (
    Claim,
    ClaimRecord,
    OutcomeWriteState,
    claim_path,
    decode_record,
    encode_record,
)
from berylspindle_store.store import (
    Store,
    StoreConflict,
    StoredValue,
    StoreError,
    StoreLeaseNotFound,
    StoreOutcomeUnknown,
    StoreUnavailable,
)

# If a token is evicted, its key merely stays unusable until the lease expires.
MAX_ABANDONED_TOKENS: Final = 10_000
# At up to 64 KB each, this bounds the memory used while the store is unavailable.
MAX_PENDING_OUTCOMES: Final = 1_000
# A release that finds no entry is repeated, since an abandoned write may still arrive.
RELEASE_ATTEMPTS: Final = 3
_OUTCOME_WRITE_ATTEMPTS: Final = 3


@attrs.frozen(kw_only=True)
class _PendingOutcome:
    claim: Claim
    finished: ClaimRecord


@attrs.define(kw_only=True)
class _AbandonedClaim:
    record: ClaimRecord
    keep_until: float
    attempts_left: int = RELEASE_ATTEMPTS


class PendingClaims:
    """The outcomes and releases that one VM has yet to write to the store."""

    def __init__(self, store: Store, *, max_bytes: int, now: Callable[[], float]) -> None:
        self._store: Final = store
        self._max_bytes: Final = max_bytes
        self._now: Final = now
        self._outcomes: collections.OrderedDict[str, _PendingOutcome] = collections.OrderedDict()
        self._abandoned: collections.OrderedDict[str, _AbandonedClaim] = collections.OrderedDict()
        self._dropped = 0

    def __len__(self) -> int:
        waiting = sum(1 for item in self._abandoned.values() if item.attempts_left)
        return len(self._outcomes) + waiting

    @property
    def dropped(self) -> int:
        """Return the number of outcomes dropped because of `MAX_PENDING_OUTCOMES`."""
        return self._dropped

    def outcome_of(self, path: str) -> ClaimRecord | None:
        """Return the finished record of a path that is not yet stored, or None."""
        pending = self._outcomes.get(path)
        return None if pending is None else pending.finished

    def is_abandoned(self, token: str) -> bool:
        """Return whether the token belongs to a claim that this VM never dispatches."""
        return token in self._abandoned

    def abandon(self, record: ClaimRecord, *, keep_until: float) -> None:
        """Record that a claim will never be dispatched; `retry` releases it."""
        self._abandoned[record.token] = _AbandonedClaim(record=record, keep_until=keep_until)
        while len(self._abandoned) > MAX_ABANDONED_TOKENS:
            self._abandoned.popitem(last=False)

    async def store_outcome(self, claim: Claim, finished: ClaimRecord) -> OutcomeWriteState:
        """Store a finished record, or keep it pending."""
        # The outcome is kept in memory before it is written, so that this VM can answer a retry
        # throughout an outage of the store.
        path = claim_path(finished.service, finished.key)
        pending = _PendingOutcome(claim=claim, finished=finished)
        self._outcomes[path] = pending
        while len(self._outcomes) > MAX_PENDING_OUTCOMES:
            self._outcomes.popitem(last=False)
            self._dropped += 1
        return await self._try_store_outcome(path, pending)

    async def release(self, token: str) -> None:
        """Try once to delete the abandoned claim with this token."""
        item = self._abandoned[token]
        try:
            await self._release(item)
        except (StoreUnavailable, StoreOutcomeUnknown):
            return

    async def retry(self) -> None:
        """Try each pending item once; stop as soon as the store proves to be unavailable."""
        for path, pending in tuple(self._outcomes.items()):
            if await self._try_store_outcome(path, pending) is OutcomeWriteState.PENDING:
                return
        for token, item in tuple(self._abandoned.items()):
            if item.keep_until <= self._now():
                del self._abandoned[token]
            elif item.attempts_left:
                try:
                    await self._release(item)
                except StoreError:
                    return

    async def _try_store_outcome(self, path: str, pending: _PendingOutcome) -> OutcomeWriteState:
        state = await self._write_outcome(path, pending)
        if state is not OutcomeWriteState.PENDING and self._outcomes.get(path) is pending:
            del self._outcomes[path]
        return state

    async def _write_outcome(self, path: str, pending: _PendingOutcome) -> OutcomeWriteState:
        claim, finished = pending.claim, pending.finished
        data = encode_record(finished, self._max_bytes)
        for _ in range(_OUTCOME_WRITE_ATTEMPTS):
            try:
                await self._store.compare_and_swap(
                    path, data, expect=claim.revision, lease=claim.lease
                )
            except StoreOutcomeUnknown:
                continue
            except StoreUnavailable:
                return OutcomeWriteState.PENDING
            except StoreLeaseNotFound:
                return OutcomeWriteState.LAPSED
            except StoreConflict as conflict:
                # This VM's token at another revision: an earlier attempt succeeded and its reply
                # was lost.
                own = conflict.current is not None and _token(conflict.current) == finished.token
                return OutcomeWriteState.STORED if own else OutcomeWriteState.LAPSED
            return OutcomeWriteState.STORED
        return OutcomeWriteState.PENDING

    async def _release(self, item: _AbandonedClaim) -> None:
        record = item.record
        path = claim_path(record.service, record.key)
        expect = 0
        while True:
            try:
                await self._store.compare_and_swap(path, None, expect=expect)
            except StoreConflict as conflict:
                current = conflict.current
                if current is None:
                    expect = 0
                    continue
                if _token(current) != record.token:
                    # Another attempt holds the key, so an abandoned write that arrives later fails.
                    item.attempts_left = 0
                    return
                expect = current.revision
                continue
            item.attempts_left = 0 if expect else item.attempts_left - 1
            return


def _token(entry: StoredValue) -> str:
    try:
        return decode_record(entry).token
    except StoreUnavailable:
        return ""
