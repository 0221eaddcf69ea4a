"""The protocol of the operators' edge: every route, header and body in one place.

Terms:
  report   what one VM says of itself and of the others
  lag      a VM that has not yet adopted the newest accepted revision

Flow: the daemon's admin interface serves these routes; the operators' client asks several daemons
and merges what they say. Every refusal is an `ErrorBody` as at the callers' edge. A change of the
protocol touches this module alone. All routes but the first two need `authorization: Bearer TOKEN`
where the daemon has a token.

    GET  /healthz                200 while the process runs
    GET  /readyz                 200 while the balancer may send, else 503
    GET  /metrics                the text exposition of all metrics
    POST /admin/plan             Intent, 200 Plan
    POST /admin/confirm          ConfirmRequest, 200 Confirmation
    GET  /admin/status           200 StatusReport
    GET  /admin/configuration    200 the configuration in its canonical text
    PUT  /admin/configuration    a configuration, 200 the Plan that would bring it into force
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
# Who acts, for the record of the intent; at most 128 printable characters.
OPERATOR_HEADER: Final = "x-operator"

# A year of milliseconds by a factor of many; a longer number is no stamp.
_MAX_STAMP_DIGITS: Final = 19


class VmState(enum.StrEnum):
    """What one VM holds another to be."""

    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"
    UNHEARD = "unheard"


class ServerPhase(enum.StrEnum):
    """What the owner holds a backend server to be."""

    WARM = "warm"
    WARMING = "warming"
    COLD = "cold"
    EJECTED = "ejected"
    LEAVING = "leaving"
    AWAY = "away"


@attrs.frozen(kw_only=True)
class VmReport:
    """What one VM last heard of another.

    `revision` is 0 where none was heard; `since_ms` how long the VM has been lagging or has not
    been heard, 0 where it is live and not behind.
    """

    vm: str
    data_centre: str
    state: VmState
    revision: int = 0
    since_ms: int = 0


@attrs.frozen(kw_only=True)
class ServerReport:
    """One backend server as its owner sees it."""

    server: str
    service: str
    shard: str
    phase: ServerPhase
    in_flight: int = 0
    cap: int = 0
    queued: int = 0


@attrs.frozen(kw_only=True)
class StatusReport:
    """What one VM says of itself and of the others.

    Attributes:
        reason: why it is not ready, empty where it is.
        store_away_ms: how long the store has not answered it, 0 where it does.
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


def timeline_query(wanted: EventFilter) -> dict[str, str]:
    """Return the query parameters that ask for these events; `parse_timeline_query` reads them."""
    fields = {
        "since": "" if wanted.since is None else str(wanted.since.pack()),
        "until": "" if wanted.until is None else str(wanted.until.pack()),
        "service": wanted.service,
        "server": wanted.server,
        "request": wanted.request_id,
    }
    return {name: value for name, value in fields.items() if value}


def parse_timeline_query(query: dict[str, str]) -> EventFilter:
    """Return the filter of query parameters; raises ValueError for an unknown or malformed one."""
    unknown = query.keys() - {"since", "until", "service", "server", "request"}
    if unknown:
        raise ValueError(f"unknown parameter {min(unknown)!r:.80}")
    return EventFilter(
        since=_stamp(query, "since"),
        until=_stamp(query, "until"),
        service=query.get("service", ""),
        server=query.get("server", ""),
        request_id=query.get("request", ""),
    )


def _stamp(query: dict[str, str], name: str) -> Stamp | None:
    text = query.get(name, "")
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_STAMP_DIGITS:
        raise ValueError(f"{name} is not a packed stamp")
    return Stamp.unpack(int(text))
