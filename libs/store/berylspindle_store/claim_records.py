"""What is kept of a request that may not be repeated, and what an attempt to claim it can yield.

Terms:
  claim         the right to dispatch one request once, an entry of the store under its key
  token         names one attempt to claim; it is unique over all VMs and all time
  fingerprint   digest of the request's content; tells a key that is used for another request
  outcome       what the dispatch came to, kept until the claim's lease lapses

Flow: `claims` writes a `ClaimRecord` in state CLAIMED before dispatch and in state FINISHED, with
its outcome, after it.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass
from typing import Any, Final

import attrs

from berylspindle_model import codec
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_store.store import StoreAway, StoredValue

CLAIMS_PREFIX: Final = "claims/"


class ClaimState(enum.StrEnum):
    """How far a claimed request got.

    CLAIMED: it may have been dispatched, or not yet, or never. FINISHED: it was, with an outcome.
    There is no state between: it would cost a third write and tell a retry nothing more, since a
    VM can be lost between that write and the dispatch as well.
    """

    CLAIMED = "claimed"
    FINISHED = "finished"


@attrs.frozen(kw_only=True)
class DispatchOutcome:
    """What a dispatch came to.

    Attributes:
        server: the backend server that it went to.
        result: the server's result, or None after an error.
        error: why there is no result; OUTCOME_UNKNOWN where it cannot be known.
        run: whether the server ran it.
        trimmed: the result was too large to keep; the request did run.
    """

    server: str
    run: RunState
    result: dict[str, Any] | None = None
    error: ErrorKind | None = None
    detail: str = ""
    trimmed: bool = False


@attrs.frozen(kw_only=True)
class ClaimRecord:
    """The entry of one claim. Times are wall clock seconds, for people and never for decisions."""

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
    """A claim that is held. A dispatch must not begin after `dispatch_before` (monotonic)."""

    record: ClaimRecord
    revision: int
    lease: str
    dispatch_before: float


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is held by this attempt alone: dispatch once, then settle, or release."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """An earlier attempt holds the key: do not dispatch; answer from its record."""

    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key belongs to a request with another content: do not dispatch."""

    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class StoreIsAway:
    """No claim could be had: do not dispatch; the request was surely not run by this attempt.

    `may_stand` tells that a claim that nobody dispatches may be left in the store for a while.
    """

    may_stand: bool


ClaimOutcome = Claimed | AlreadyClaimed | KeyReused | StoreIsAway


class SettleState(enum.StrEnum):
    """What became of storing an outcome.

    PENDING: the store is away, `Claims.retry_pending` tries again. LAPSED: the claim's time was
    over and the outcome was dropped.
    """

    STORED = "stored"
    PENDING = "pending"
    LAPSED = "lapsed"


def claim_path(service: str, key: str) -> str:
    """Return where the claim of a key is kept; hashed, since a caller's key may hold anything."""
    digest = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()
    return f"{CLAIMS_PREFIX}{service}/{digest}"


def encode_record(record: ClaimRecord, max_bytes: int) -> bytes:
    """Return a record's bytes; a result that makes it too large is left out and marked so."""
    data = codec.to_json(record)
    if len(data) <= max_bytes or record.outcome is None:
        return data
    trimmed = attrs.evolve(record.outcome, result=None, detail="", trimmed=True)
    return codec.to_json(attrs.evolve(record, outcome=trimmed))


def decode_record(entry: StoredValue) -> ClaimRecord:
    """Return the record of an entry; raises StoreAway where it is none.

    Whatever it is, the key is taken: refusing it as if there were no store is true and safe.
    """
    try:
        return codec.from_json(entry.value or b"", ClaimRecord)
    except codec.MalformedError as error:
        raise StoreAway(f"{entry.key} holds no claim: {error}") from error
