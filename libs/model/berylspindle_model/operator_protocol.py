"""Define the protocol of the operators' interface: routes, headers and bodies.

Terms:
  report   the state of a VM and of its peers as that VM knows it
  lagging  a VM that has not yet adopted the newest accepted revision

Flow: the daemon's admin interface serves these routes; the operators' client queries several
daemons and merges their responses. Each error response is an `ErrorBody`, as at the callers' edge.
All details of the protocol are confined to this module. All routes except the first two require
`authorization: Bearer TOKEN` if the daemon has a token.

    GET  /healthz                200 while the process runs
    GET  /readyz                 200 while the load balancer may send, else 503
    GET  /metrics                the text exposition of all metrics
    POST /admin/plan             Intent, 200 Plan
    POST /admin/confirm          ConfirmRequest, 200 Confirmation
    GET  /admin/status           200 StatusReport
    GET  /admin/configuration    200 the configuration in its canonical text
    PUT  /admin/configuration    a configuration, 200 the Plan that would put it into effect
    GET  /admin/timeline         200 EventPage; ?since=&until=&service=&server=&request=
"""

from __future__ import annotations

import enum
from typing import Final

import attrs

from berylspindle_model.configuration import IntentRecord
from berylspindle_model.events import EventFilter
from berylspindle_model.stamps import Stamp

LIVE_PATH: Final = "/healthz"
READY_PATH: Final = "/readyz"
METRICS_PATH: Final = "/metrics"
PLAN_PATH: Final = "/admin/plan"
CONFIRM_PATH: Final = "/admin/confirm"
STATUS_PATH: Final = "/admin/status"
CONFIGURATION_PATH: Final = "/admin/configuration"
TIMELINE_PATH: Final = "/admin/timeline"

TOKEN_HEADER: Final = "authorization"
TOKEN_SCHEME: Final = "Bearer "
# Name of the operator for the intent record; at most 128 printable characters.
OPERATOR_HEADER: Final = "x-operator"

# Packed stamps of the present have 18 digits; longer numbers are rejected.
_MAX_STAMP_DIGITS: Final = 19


class VmState(enum.StrEnum):
    """State of a VM as known to a peer."""

    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"
    UNHEARD = "unheard"


class ServerPhase(enum.StrEnum):
    """State of a backend server as known to its owner."""

    WARM = "warm"
    WARMING = "warming"
    COLD = "cold"
    EJECTED = "ejected"
    LEAVING = "leaving"
    AWAY = "away"


@attrs.frozen(kw_only=True)
class VmReport:
    """State of one VM as last received by another.

    `revision` is 0 if unknown. `since_ms` is the time for which the VM has been lagging or has not
    been heard from; 0 if it is live and up to date.
    """

    vm: str
    data_centre: str
    state: VmState
    revision: int = 0
    since_ms: int = 0


@attrs.frozen(kw_only=True)
class ServerReport:
    """State of one backend server, reported by its owner."""

    server: str
    service: str
    shard: str
    phase: ServerPhase
    in_flight: int = 0
    cap: int = 0
    queued: int = 0


@attrs.frozen(kw_only=True)
class StatusReport:
    """State of one VM and of its peers as that VM knows it.

    Attributes:
        reason: why it is not ready; empty if it is.
        store_away_ms: time since the store stopped answering; 0 if it answers.
        intents: the latest confirmed intents, newest last.
        servers: the backend servers that it owns.
    """

    vm: str
    data_centre: str
    revision: int
    ready: bool
    reason: str = ""
    version: str = ""
    store_away_ms: int = 0
    intents: tuple[IntentRecord, ...] = ()
    vms: tuple[VmReport, ...] = ()
    servers: tuple[ServerReport, ...] = ()
    quarantined: int = 0


def timeline_query(event_filter: EventFilter) -> dict[str, str]:
    """Return the query parameters of a filter, the inverse of `parse_timeline_query`."""
    fields = {
        "since": "" if event_filter.since is None else str(event_filter.since.pack()),
        "until": "" if event_filter.until is None else str(event_filter.until.pack()),
        "service": event_filter.service,
        "server": event_filter.server,
        "request": event_filter.request_id,
    }
    return {name: value for name, value in fields.items() if value}


def parse_timeline_query(query: dict[str, str]) -> EventFilter:
    """Return the filter of query parameters; raise ValueError for an unknown or malformed one."""
    unknown = query.keys() - {"since", "until", "service", "server", "request"}
    if unknown:
        raise ValueError(f"unknown parameter {min(unknown)!r:.80}")
    return EventFilter(
        since=_parse_stamp(query, "since"),
        until=_parse_stamp(query, "until"),
        service=query.get("service", ""),
        server=query.get("server", ""),
        request_id=query.get("request", ""),
    )


def _parse_stamp(query: dict[str, str], name: str) -> Stamp | None:
    text = query.get(name, "")
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_STAMP_DIGITS:
        raise ValueError(f"{name} is not a valid packed stamp")
    return Stamp.unpack(int(text))
