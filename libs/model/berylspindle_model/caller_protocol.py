"""The protocol of the callers' edge: every route, header and body in one place.

Terms:
  route     a method and a form of path
  key       the idempotency key that a caller gives to a request that may not be repeated

Flow: the edge finds the `Route` of a request with `parse_path`; the client makes its paths with
`search_path`, `execute_path` and `outcome_path`. The answers are `SearchAnswer` and `ExecuteAnswer`
of `messages`, every refusal is an `ErrorBody`. A change of the protocol touches this module alone.

    POST /v1/services/{service}/search            SearchBody, 200 SearchAnswer
    POST /v1/services/{service}/execute           ExecuteBody, 200 ExecuteAnswer
    GET  /v1/services/{service}/outcomes/{key}    200 ExecuteAnswer
    GET  /readyz                                  200 while the balancer may send, else 503
    GET  /healthz                                 200 while the process runs
"""

from __future__ import annotations

import enum
from typing import Any, Final

import attrs

from berylspindle_model.errors import ErrorKind, RunState

READY_PATH: Final = "/readyz"
LIVE_PATH: Final = "/healthz"
SERVICES_PATH: Final = "/v1/services/"

# Who asks; fair shares are counted by it. At most 128 printable characters.
CALLER_HEADER: Final = "x-caller"
# Milliseconds that the caller still waits, as a decimal integer.
DEADLINE_HEADER: Final = "x-deadline-ms"
# Names the request in answers, logs and the time line; made by the edge where it is missing.
REQUEST_ID_HEADER: Final = "x-request-id"
# Needed by execute: the same key never runs twice.
IDEMPOTENCY_KEY_HEADER: Final = "idempotency-key"


class RouteName(enum.StrEnum):
    """The routes under a service."""

    SEARCH = "search"
    EXECUTE = "execute"
    OUTCOME = "outcomes"


METHODS: Final[dict[RouteName, str]] = {
    RouteName.SEARCH: "POST",
    RouteName.EXECUTE: "POST",
    RouteName.OUTCOME: "GET",
}


@attrs.frozen(kw_only=True)
class Route:
    """What a path asks for; `key` is empty but for OUTCOME."""

    name: RouteName
    service: str
    key: str = ""

    @property
    def method(self) -> str:
        """Return the one method of the route."""
        return METHODS[self.name]


@attrs.frozen(kw_only=True)
class SearchBody:
    """The body of a search. `page` is the `next_page` of an earlier answer to the same query."""

    query: str
    limit: int = 10
    page: str | None = None


@attrs.frozen(kw_only=True)
class ExecuteBody:
    """The body of a request that may not be repeated; `shard` holds what it changes."""

    shard: str
    payload: dict[str, Any]


@attrs.frozen(kw_only=True)
class ErrorDetails:
    """Why a request got no answer, and whether a backend server may have run it."""

    kind: ErrorKind
    run: RunState
    text: str = ""
    detail: str = ""
    retry_after_ms: int | None = None


@attrs.frozen(kw_only=True)
class ErrorBody:
    """The body of every refusal."""

    error: ErrorDetails
    request_id: str = ""


def parse_path(path: str) -> Route | None:
    """Return the route that a decoded path names, or None where there is no such route."""
    if not path.startswith(SERVICES_PATH):
        return None
    # A key may hold slashes; a service's name may not.
    parts = path[len(SERVICES_PATH) :].split("/", 2)
    if not all(parts):
        return None
    if len(parts) == 2 and parts[1] in (RouteName.SEARCH, RouteName.EXECUTE):
        return Route(name=RouteName(parts[1]), service=parts[0])
    if len(parts) == 3 and parts[1] == RouteName.OUTCOME:
        return Route(name=RouteName.OUTCOME, service=parts[0], key=parts[2])
    return None


def search_path(service: str) -> str:
    """Return the path of a search of a service."""
    return f"{SERVICES_PATH}{service}/{RouteName.SEARCH}"


def execute_path(service: str) -> str:
    """Return the path of a request of a service that may not be repeated."""
    return f"{SERVICES_PATH}{service}/{RouteName.EXECUTE}"


def outcome_path(service: str, key: str) -> str:
    """Return the path of the outcome of an earlier execute."""
    return f"{SERVICES_PATH}{service}/{RouteName.OUTCOME}/{key}"
