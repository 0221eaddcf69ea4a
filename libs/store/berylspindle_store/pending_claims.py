"""Outcomes and releases that wait for the store, held by the VM that knows them.

Terms: see `claims`.
  pending outcome   a request has run, and the store has not yet heard what it came to
  abandoned token   names a claim that this VM never dispatched and never will

Flow: `settle` and `release` try at once; what the store could not take stays here, and `retry`
tries it again, from a background task, until it is done or its time is over. A VM that is lost
takes what waits with it: the claim stays CLAIMED, so a retry is told that it may have run.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_store.claim_records import (
    Claim,
    ClaimRecord,
    SettleState,
    claim_path,
    decode_record,
    encode_record,
)
from berylspindle_store.store import (
    Store,
    StoreAway,
    StoreConflict,
    StoredValue,
    StoreError,
    StoreLeaseGone,
    StoreUnsure,
)

# Most abandoned tokens remembered. Forgetting one costs its key a wait for the lease, no more.
MAX_ABANDONED: Final = 10_000
# Most outcomes held for a store that is away; at 64 KB each this bounds the memory of a VM.
MAX_OUTCOMES: Final = 1_000
# A release that finds no entry is tried so often: the write that was given up may still arrive.
RELEASE_CHECKS: Final = 3
_SETTLE_TRIES: Final = 3


@attrs.frozen(kw_only=True)
class _PendingOutcome:
    claim: Claim
    finished: ClaimRecord


@attrs.define(kw_only=True)
class _Abandoned:
    record: ClaimRecord
    keep_until: float
    checks_left: int = RELEASE_CHECKS


class PendingClaims:
    """What one VM still has to tell the store about its claims."""

    def __init__(self, store: Store, *, max_bytes: int, now: Callable[[], float]) -> None:
        self._store: Final = store
        self._max_bytes: Final = max_bytes
        self._now: Final = now
        self._outcomes: collections.OrderedDict[str, _PendingOutcome] = collections.OrderedDict()
        self._abandoned: collections.OrderedDict[str, _Abandoned] = collections.OrderedDict()
        self._dropped = 0

    def __len__(self) -> int:
        waiting = sum(1 for item in self._abandoned.values() if item.checks_left)
        return len(self._outcomes) + waiting

    @property
    def dropped(self) -> int:
        """Return how many outcomes were lost for want of room."""
        return self._dropped

    def outcome_of(self, path: str) -> ClaimRecord | None:
        """Return the finished record of a path that the store has not heard of yet, or None."""
        pending = self._outcomes.get(path)
        return None if pending is None else pending.finished

    def is_abandoned(self, token: str) -> bool:
        """Tell whether this VM surely never dispatched, nor will, the claim of a token."""
        return token in self._abandoned

    def abandon(self, record: ClaimRecord, *, keep_until: float) -> None:
        """Remember that a claim is never dispatched, and release it in the background."""
        self._abandoned[record.token] = _Abandoned(record=record, keep_until=keep_until)
        while len(self._abandoned) > MAX_ABANDONED:
            self._abandoned.popitem(last=False)

    async def settle(self, claim: Claim, finished: ClaimRecord) -> SettleState:
        """Store a finished record, or keep it pending."""
        # It is known here before the store hears of it, so that a retry at this VM is answered
        # from here all through an outage.
        path = claim_path(finished.service, finished.key)
        pending = _PendingOutcome(claim=claim, finished=finished)
        self._outcomes[path] = pending
        while len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)
            self._dropped += 1
        return await self._settle(path, pending)

    async def release(self, token: str) -> None:
        """Try once to delete the abandoned claim of a token."""
        item = self._abandoned[token]
        try:
            await self._release(item)
        except (StoreAway, StoreUnsure):
            return

    async def retry(self) -> None:
        """Try each pending item once; ends at the first sign that the store is still away."""
        for path, pending in tuple(self._outcomes.items()):
            if await self._settle(path, pending) is SettleState.PENDING:
                return
        for token, item in tuple(self._abandoned.items()):
            if item.keep_until <= self._now():
                del self._abandoned[token]
            elif item.checks_left:
                try:
                    await self._release(item)
                except StoreError:
                    return

    async def _settle(self, path: str, pending: _PendingOutcome) -> SettleState:
        state = await self._write_outcome(path, pending)
        if state is not SettleState.PENDING and self._outcomes.get(path) is pending:
            del self._outcomes[path]
        return state

    async def _write_outcome(self, path: str, pending: _PendingOutcome) -> SettleState:
        claim, finished = pending.claim, pending.finished
        data = encode_record(finished, self._max_bytes)
        for _ in range(_SETTLE_TRIES):
            try:
                await self._store.compare_and_swap(
                    path, data, expect=claim.revision, lease=claim.lease
                )
            except StoreUnsure:
                continue
            except StoreAway:
                return SettleState.PENDING
            except StoreLeaseGone:
                return SettleState.LAPSED
            except StoreConflict as conflict:
                # The own token with another revision is an earlier try whose reply was lost.
                own = conflict.current is not None and _token(conflict.current) == finished.token
                return SettleState.STORED if own else SettleState.LAPSED
            return SettleState.STORED
        return SettleState.PENDING

    async def _release(self, item: _Abandoned) -> None:
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
                    # Another attempt has the key; a write given up earlier can only fail now.
                    item.checks_left = 0
                    return
                expect = current.revision
                continue
            item.checks_left = 0 if expect else item.checks_left - 1
            return


def _token(entry: StoredValue) -> str:
    try:
        return decode_record(entry).token
    except StoreAway:
        return ""
