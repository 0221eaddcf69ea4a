"""Define the error kinds and the table from error kind to error response.

Terms:
  error kind   the reason for which a request fails; no other errors are returned to callers
  run state    whether a backend server ran the request: NOT_RUN only if no byte of it can have
               reached a backend server or the server itself refused it, MAY_HAVE_RUN if that is
               unknown, RAN if a backend server has confirmed it
  answer       HTTP status, run state, text and retry delay of an error response

Flow: the component that fails a request creates a `Refusal` of one kind; the edge looks the kind up
in `ANSWERS` and writes the response. A component that knows the run state more precisely than the
table sets it in the refusal; the edge never infers it.

Guard: a caller repeats what must not run twice after a status of `NOT_RUN_STATUSES`. A response has
such a status only if the run state is NOT_RUN; `status_for` replaces it otherwise.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Final


class RunState(enum.StrEnum):
    """Whether a backend server ran a request, as far as known."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorKind(enum.StrEnum):
    """Reason for a failed request; each kind needs an entry in `ANSWERS`."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADER_TOO_LARGE = "header_too_large"
    SLOW_SENDER = "slow_sender"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNAUTHORISED = "unauthorised"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_OUTCOME = "unknown_outcome"
    NOT_READY = "not_ready"
    SHUTTING_DOWN = "shutting_down"
    OVERLOADED = "overloaded"
    CALLER_OVER_SHARE = "caller_over_share"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_UNKNOWN = "quota_unknown"
    DATA_CENTRE_OUT = "data_centre_out"
    NO_REPLICA = "no_replica"
    SERVER_LEAVING = "server_leaving"
    NOT_OWNER = "not_owner"
    SERVER_SHED = "server_shed"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    INCOMPLETE = "incomplete"
    SNAPSHOT_GONE = "snapshot_gone"
    SNAPSHOT_MISMATCH = "snapshot_mismatch"
    QUARANTINED = "quarantined"
    CONNECTION_LOST = "connection_lost"
    PEER_LOST = "peer_lost"
    BAD_REPLY = "bad_reply"
    BACKEND_FAILED = "backend_failed"
    CANCELLED = "cancelled"
    STORE_AWAY = "store_away"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INVALID_CONFIGURATION = "invalid_configuration"
    STALE_PLAN = "stale_plan"
    UNSAFE_PLAN = "unsafe_plan"
    INTERNAL = "internal"


NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""HTTP statuses that promise that the request has not run and never will."""

_UNKNOWN_OUTCOME_STATUS: Final = 502


def status_for(status: int, run: RunState) -> int:
    """Return `status`, or 502 if it promises that a request has not run that may have."""
    if run is RunState.NOT_RUN or status not in NOT_RUN_STATUSES:
        return status
    return _UNKNOWN_OUTCOME_STATUS


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """Response to the caller for one kind of error.

    `retry_after_ms` is None if retrying the same request cannot succeed.
    """

    status: int
    run: RunState
    text: str
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Refusal:
    """Failure of a request.

    `run` and `retry_after_ms`, if set, override the run state and the retry delay in `ANSWERS`.
    """

    kind: ErrorKind
    detail: str = ""
    run: RunState | None = None
    retry_after_ms: int | None = None

    @property
    def run_state(self) -> RunState:
        """Return whether the request ran, as far as known."""
        return self.run if self.run is not None else ANSWERS[self.kind].run

    @property
    def status(self) -> int:
        """Return the HTTP status, which agrees with the run state."""
        return status_for(ANSWERS[self.kind].status, self.run_state)

    @property
    def retry_after(self) -> int | None:
        """Return the delay before a retry, in milliseconds, or None if a retry cannot succeed."""
        if self.retry_after_ms is not None:
            return self.retry_after_ms
        return ANSWERS[self.kind].retry_after_ms


class RefusalError(Exception):
    """Raised to fail a request; the edge responds with the refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.kind}: {refusal.detail}")
        self.refusal: Final = refusal


def refuse(
    kind: ErrorKind,
    detail: str = "",
    *,
    run: RunState | None = None,
    retry_after_ms: int | None = None,
) -> RefusalError:
    """Return an exception with a refusal of one kind."""
    return RefusalError(Refusal(kind, detail, run, retry_after_ms))


_NOT_RUN: Final = RunState.NOT_RUN
_MAY_HAVE_RUN: Final = RunState.MAY_HAVE_RUN
_RAN: Final = RunState.RAN

ANSWERS: Final[dict[ErrorKind, ErrorAnswer]] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(400, _NOT_RUN, "the request is malformed"),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, _NOT_RUN, "the body is larger than the limit"),
    ErrorKind.HEADER_TOO_LARGE: ErrorAnswer(431, _NOT_RUN, "the headers are larger than the limit"),
    ErrorKind.SLOW_SENDER: ErrorAnswer(408, _NOT_RUN, "the request did not arrive in time"),
    ErrorKind.NOT_FOUND: ErrorAnswer(404, _NOT_RUN, "no such route"),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorAnswer(405, _NOT_RUN, "the route has no such method"),
    ErrorKind.UNAUTHORISED: ErrorAnswer(401, _NOT_RUN, "the token is missing or wrong"),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(404, _NOT_RUN, "no such service"),
    ErrorKind.UNKNOWN_OUTCOME: ErrorAnswer(404, _NOT_RUN, "no request with this key is known"),
    ErrorKind.NOT_READY: ErrorAnswer(503, _NOT_RUN, "no configuration is known yet", 1000),
    ErrorKind.SHUTTING_DOWN: ErrorAnswer(503, _NOT_RUN, "this VM is shutting down", 0),
    ErrorKind.OVERLOADED: ErrorAnswer(503, _NOT_RUN, "the queue is full", 500),
    ErrorKind.CALLER_OVER_SHARE: ErrorAnswer(429, _NOT_RUN, "the caller is over its share", 500),
    ErrorKind.QUOTA_EXCEEDED: ErrorAnswer(
        429, _NOT_RUN, "the organisation's quota is used up", 1000
    ),
    ErrorKind.QUOTA_UNKNOWN: ErrorAnswer(
        503, _NOT_RUN, "whether the organisation's quota is used up is not known", 300
    ),
    ErrorKind.DATA_CENTRE_OUT: ErrorAnswer(503, _NOT_RUN, "this data centre is out of service", 0),
    ErrorKind.NO_REPLICA: ErrorAnswer(503, _NOT_RUN, "no backend server can take it now", 1000),
    ErrorKind.SERVER_LEAVING: ErrorAnswer(503, _NOT_RUN, "the backend server is leaving", 0),
    ErrorKind.NOT_OWNER: ErrorAnswer(503, _NOT_RUN, "this VM does not own the backend server", 0),
    ErrorKind.SERVER_SHED: ErrorAnswer(503, _NOT_RUN, "the backend server refused the work", 200),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(504, _MAY_HAVE_RUN, "the deadline passed", 0),
    ErrorKind.INCOMPLETE: ErrorAnswer(504, _MAY_HAVE_RUN, "too few shards answered in time", 200),
    ErrorKind.SNAPSHOT_GONE: ErrorAnswer(410, _NOT_RUN, "the snapshot is no longer held"),
    ErrorKind.SNAPSHOT_MISMATCH: ErrorAnswer(503, _NOT_RUN, "no common snapshot was found", 200),
    ErrorKind.QUARANTINED: ErrorAnswer(422, _NOT_RUN, "this request has crashed backend servers"),
    ErrorKind.CONNECTION_LOST: ErrorAnswer(
        502, _MAY_HAVE_RUN, "the connection broke under the request", 0
    ),
    ErrorKind.PEER_LOST: ErrorAnswer(502, _MAY_HAVE_RUN, "the VM that had the request is gone", 0),
    ErrorKind.BAD_REPLY: ErrorAnswer(502, _MAY_HAVE_RUN, "the reply does not match the request", 0),
    ErrorKind.BACKEND_FAILED: ErrorAnswer(502, _RAN, "the backend server reported a failure"),
    ErrorKind.CANCELLED: ErrorAnswer(499, _MAY_HAVE_RUN, "the caller went away"),
    ErrorKind.STORE_AWAY: ErrorAnswer(503, _NOT_RUN, "the configuration store is away", 2000),
    ErrorKind.KEY_REUSED: ErrorAnswer(
        409, _NOT_RUN, "the idempotency key belongs to another request"
    ),
    ErrorKind.IN_PROGRESS: ErrorAnswer(
        409, _MAY_HAVE_RUN, "a request with this key is under way", 500
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        502, _MAY_HAVE_RUN, "the request may have run; its outcome is not known"
    ),
    ErrorKind.INVALID_CONFIGURATION: ErrorAnswer(422, _NOT_RUN, "the configuration has faults"),
    ErrorKind.STALE_PLAN: ErrorAnswer(
        409, _NOT_RUN, "the configuration has changed since the plan"
    ),
    ErrorKind.UNSAFE_PLAN: ErrorAnswer(422, _NOT_RUN, "the plan breaks a promise; override needed"),
    ErrorKind.INTERNAL: ErrorAnswer(500, _MAY_HAVE_RUN, "an internal fault"),
}
