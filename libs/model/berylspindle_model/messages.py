"""Define the messages between callers, entries, owners and backend servers.

Terms:
  entry         the VM that received a caller's request
  owner         the only VM that sends to a given backend server
  sub-request   the part of a request for one shard
  attempt       one try of a sub-request, with its own id, which each reply must repeat
  batch         the attempts of one request to the same owner, in one message

Flow: caller -> SearchRequest -> entry -> AttemptBatch -> owner -> backend server, and back as one
AttemptReply per attempt -> entry -> SearchAnswer or a Refusal. Deadlines are sent as the remaining
time in milliseconds, since the clocks of VMs differ.
"""

from __future__ import annotations

from typing import Any

import attrs

from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.snapshot import Snapshot


@attrs.frozen(kw_only=True)
class SearchRequest:
    """A caller's search, validated by the entry.

    `offset` is a position in the merged hits; `pin` comes from the page token of an earlier answer.
    """

    request_id: str
    service: str
    caller: str
    query: str
    limit: int
    offset: int = 0
    pin: Snapshot | None = None
    deadline_ms: int | None = None


@attrs.frozen(kw_only=True)
class Hit:
    """One search result. `fields` is a JSON object of the backend server, passed on unchanged."""

    id: str
    score: float
    fields: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Coverage:
    """Shards that an answer covers.

    `asked` and `answered` are numbers of shards, `missing` names shards without a reply. `partial`
    names shards whose replies report that only a part of the shard was searched.
    """

    asked: int
    answered: int
    missing: tuple[str, ...] = ()
    partial: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class SearchAnswer:
    """Merged answer to a search, all of it computed on `snapshot`."""

    request_id: str
    snapshot: Snapshot
    coverage: Coverage
    hits: tuple[Hit, ...]
    next_page: str | None = None


@attrs.frozen(kw_only=True)
class Attempt:
    """One try of one sub-request at one backend server.

    Attributes:
        pin: snapshot to search; if None, the server uses its newest (first attempt of a fan-out).
        execute_key: idempotency key of a non-idempotent request, else None. Such an attempt has
            its body in `payload` and is dispatched at most once.
    """

    id: str
    request_id: str
    server: str
    service: str
    shard: str
    query: str = ""
    limit: int = 10
    pin: Snapshot | None = None
    execute_key: str | None = None
    payload: dict[str, Any] | None = None


@attrs.frozen(kw_only=True)
class AttemptBatch:
    """Attempts that an entry sends to an owner in one message.

    `is_canary` is set if the request is suspected of crashing backend servers and the entry
    therefore runs it on one shard first; an owner with the same suspicion refuses other attempts.
    """

    entry: str
    caller: str
    deadline_ms: int
    revision: int
    attempts: tuple[Attempt, ...]
    fingerprint: str = ""
    is_canary: bool = False


@attrs.frozen(kw_only=True)
class AttemptReply:
    """Outcome of one attempt.

    `error` is None for success. `versions` are the snapshots that the server reports, newest last,
    for success and for SNAPSHOT_GONE. `queued_ms` is the queueing time at the owner and `served_ms`
    the time from dispatch to reply, both measured by the owner. `lost_together` is the number of
    attempts, including this one, that the owner lost at once with the server's connections, and
    `loss_event` the number of such events that the owner has seen at the server; both are 0 for
    all other outcomes.
    """

    attempt: str
    server: str
    shard: str
    snapshot: Snapshot | None = None
    hits: tuple[Hit, ...] = ()
    partial: bool = False
    result: dict[str, Any] | None = None
    error: ErrorKind | None = None
    run: RunState | None = None
    detail: str = ""
    retry_after_ms: int | None = None
    versions: tuple[Snapshot, ...] = ()
    queued_ms: float = 0.0
    served_ms: float = 0.0
    lost_together: int = 0
    loss_event: int = 0


@attrs.frozen(kw_only=True)
class ExecuteRequest:
    """A caller's non-idempotent request, such as an order confirmation.

    `shard` is the shard of the lot or hold that the request changes.
    """

    request_id: str
    service: str
    caller: str
    key: str
    shard: str
    payload: dict[str, Any]
    deadline_ms: int | None = None


@attrs.frozen(kw_only=True)
class ExecuteAnswer:
    """Result of a non-idempotent request that a backend server has run."""

    request_id: str
    key: str
    server: str
    result: dict[str, Any]
    repeated: bool = False
