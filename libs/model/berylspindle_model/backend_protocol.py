"""Define the protocol of the backend servers: routes, headers, bodies and error codes.

Terms:
  call     a request to a backend server: a search of its shard or a non-idempotent execute
  reply    the body of a 200 response
  refusal  the body of any other response; its `error` code says whether the call ran

Flow: the data plane's adapter encodes a call and decodes the reply or the refusal; a backend
server does the reverse. All details of the protocol are confined to this module. A peer that
closes its connection cancels the calls in flight on it.
"""

from __future__ import annotations

import enum
from typing import Any, Final

import attrs

from berylspindle_model.errors import RunState
from berylspindle_model.messages import Hit
from berylspindle_model.snapshot import Snapshot

SEARCH_PATH: Final = "/search"
EXECUTE_PATH: Final = "/execute"
HEALTH_PATH: Final = "/health"
LOAD_PATH: Final = "/load"

# Remaining time until the reply is no longer needed: a decimal integer, in milliseconds.
DEADLINE_HEADER: Final = "x-deadline-ms"


class BackendError(enum.StrEnum):
    """Error codes of a refusal; no others are valid."""

    SHED = "shed"
    DRAINING = "draining"
    COLD = "cold"
    EXPIRED = "expired"
    SNAPSHOT_GONE = "snapshot_gone"
    WRONG_SHARD = "wrong_shard"
    BAD_REQUEST = "bad_request"
    DEADLINE = "deadline"
    FAILED = "failed"


# HTTP status and run state of each error code. EXPIRED: the deadline passed while the call was
# queued for a slot. DEADLINE: it passed while the call ran.
REFUSALS: Final[dict[BackendError, tuple[int, RunState]]] = {
    BackendError.SHED: (503, RunState.NOT_RUN),
    BackendError.DRAINING: (503, RunState.NOT_RUN),
    BackendError.COLD: (503, RunState.NOT_RUN),
    BackendError.EXPIRED: (503, RunState.NOT_RUN),
    BackendError.SNAPSHOT_GONE: (409, RunState.NOT_RUN),
    BackendError.WRONG_SHARD: (404, RunState.NOT_RUN),
    BackendError.BAD_REQUEST: (400, RunState.NOT_RUN),
    BackendError.DEADLINE: (504, RunState.RAN),
    BackendError.FAILED: (500, RunState.RAN),
}


class BackendState(enum.StrEnum):
    """State that a backend server reports of itself; it may be out of date."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class SearchCall:
    """Search one shard, on the pinned snapshot or else on the server's newest."""

    attempt: str
    service: str
    shard: str
    query: str
    limit: int
    pin: Snapshot | None = None


@attrs.frozen(kw_only=True)
class SearchReply:
    """Hits of one shard, best first, all computed on `snapshot`.

    Attributes:
        versions: snapshots that the server holds, newest last.
        partial: whether the server searched only a part of its shard.
        total: number of matching documents in the shard; `hits` holds the first `limit` of them.
    """

    attempt: str
    server: str
    service: str
    shard: str
    snapshot: Snapshot
    versions: tuple[Snapshot, ...]
    partial: bool
    hits: tuple[Hit, ...]
    total: int = 0


@attrs.frozen(kw_only=True)
class ExecuteCall:
    """Run a non-idempotent request. The server does not detect duplicates of `key`."""

    attempt: str
    key: str
    service: str
    shard: str
    payload: dict[str, Any]


@attrs.frozen(kw_only=True)
class ExecuteReply:
    """Outcome of an execute that ran."""

    attempt: str
    key: str
    server: str
    result: dict[str, Any]


@attrs.frozen(kw_only=True)
class BackendRefusal:
    """Reason for the missing reply. `attempt` is empty if the call could not be parsed."""

    error: BackendError
    attempt: str = ""
    detail: str = ""
    retry_after_ms: int | None = None
    versions: tuple[Snapshot, ...] = ()


@attrs.frozen(kw_only=True)
class HealthReport:
    """Body of GET /health."""

    server: str
    state: BackendState
    versions: tuple[Snapshot, ...]


@attrs.frozen(kw_only=True)
class LoadReport:
    """Body of GET /load; the report may be inaccurate."""

    server: str
    in_flight: int
    slots: int
    queued: int
