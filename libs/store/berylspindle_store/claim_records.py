"""Stored records of claims for non-idempotent requests, and the results of claiming a key.

Terms:
  claim         the right to dispatch one request once; an entry of the store under its key
  token         identifies one attempt to claim; unique over all VMs and restarts
  fingerprint   digest of the request's content; detects a key that is reused for another request
  outcome       result or error of the dispatch, kept until the claim's lease expires

Flow: `claims` writes a `ClaimRecord` in state CLAIMED before the dispatch and replaces it by one in
state FINISHED, with the outcome, after the dispatch.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass
from typing import Any, Final

import attrs

from berylspindle_model import codec
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_store.store import StoredValue, StoreUnavailable

CLAIMS_PREFIX: Final = "claims/"


class ClaimState(enum.StrEnum):
    """Progress of a claimed request.

    CLAIMED: the request may have been dispatched or not. FINISHED: it was dispatched and has an
    outcome. There is no state "dispatched" in between: it would cost a third write without giving
    a retry more information, since a VM can also be lost between that write and the dispatch.
    """

    CLAIMED = "claimed"
    FINISHED = "finished"


@attrs.frozen(kw_only=True)
class DispatchOutcome:
    """Outcome of a dispatch.

    Attributes:
        server: id of the backend server.
        run: whether the server ran the request.
        result: the server's result; None after an error.
        error: reason for a missing result; OUTCOME_UNKNOWN if the server's outcome is unknown.
        trimmed: the request ran, but its result was too large to store.
    """

    server: str
    run: RunState
    result: dict[str, Any] | None = None
    error: ErrorKind | None = None
    detail: str = ""
    trimmed: bool = False


@attrs.frozen(kw_only=True)
class ClaimRecord:
    """The stored entry of a claim. Times are wall clock seconds, for display only."""

    service: str
    key: str
    fingerprint: str
    token: str
    attempt: str
    vm: str
    state: ClaimState
    claimed_at: float
    valid_until: float
    outcome: DispatchOutcome | None = None


@attrs.frozen(kw_only=True)
class Claim:
    """A held claim. A dispatch must not begin after `dispatch_before` (monotonic seconds)."""

    record: ClaimRecord
    revision: int
    lease: str
    dispatch_before: float


@dataclass(frozen=True, slots=True)
class Claimed:
    """This attempt holds the claim: dispatch once and then store the outcome, or release."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """An earlier attempt holds the key: do not dispatch, answer from its record."""

    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key belongs to a request with different content: do not dispatch."""

    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The key could not be claimed: do not dispatch. This attempt did not run the request.

    `may_exist` is set if a claim that no VM will dispatch may remain in the store for a while.
    """

    may_exist: bool


ClaimOutcome = Claimed | AlreadyClaimed | KeyReused | ClaimUnavailable


class OutcomeWriteState(enum.StrEnum):
    """Result of storing an outcome.

    PENDING: the store is unavailable and `Claims.retry_pending` retries. LAPSED: the claim had
    expired and the outcome was dropped.
    """

    STORED = "stored"
    PENDING = "pending"
    LAPSED = "lapsed"


def claim_path(service: str, key: str) -> str:
    """Return the store key of a claim. The caller's key is hashed, as it can be any text."""
    digest = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()
    return f"{CLAIMS_PREFIX}{service}/{digest}"


def encode_record(record: ClaimRecord, max_bytes: int) -> bytes:
    """Encode a record; if it exceeds `max_bytes`, omit the result and set `trimmed`."""
    data = codec.to_json(record)
    if len(data) <= max_bytes or record.outcome is None:
        return data
    trimmed = attrs.evolve(record.outcome, result=None, detail="", trimmed=True)
    return codec.to_json(attrs.evolve(record, outcome=trimmed))


def decode_record(entry: StoredValue) -> ClaimRecord:
    """Decode the record of an entry. Raises StoreUnavailable if the entry holds no valid record.

    The key is in use whatever the entry holds, so it is safe to refuse the request as if the store
    were unavailable.
    """
    try:
        return codec.from_json(entry.value or b"", ClaimRecord)
    except codec.MalformedError as error:
        raise StoreUnavailable(f"no valid claim in {entry.key}: {error}") from error
