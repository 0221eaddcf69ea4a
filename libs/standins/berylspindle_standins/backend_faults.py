"""Options, faults and counts of one stand-in backend server.

Terms:
  option   a setting that is fixed for the whole run, such as the mean service time
  fault    an injected fault that is set over HTTP while the server runs
  count    a counter of calls or events at the server, as ground truth for tests and benchmarks

Flow: `PUT /faults` carries a `FaultChange`; `apply_change` sets the given fields of the faults and
the host performs the actions. `GET /counts` returns the counts.
"""

from __future__ import annotations

import enum
from typing import Any

import attrs

from berylspindle_model import codec


@attrs.frozen(kw_only=True)
class BackendOptions:
    """Options of a stand-in backend server for the whole run.

    Attributes:
        mean_ms: mean of the lognormally distributed service time, without stragglers.
        sigma: standard deviation of the logarithm of the service time; 0 makes it constant.
        straggler_probability: probability that a call is a straggler.
        straggler_factor: factor on the service time of a straggler.
        queue: calls that may wait for a slot; further calls are shed.
        connect_ms: delay before the first read from a new connection.
        warm_after: finished calls after which a cold server is warm; 0 starts it warm.
        restart_ms: time for which a crashed server is down before it serves again, cold.
        crash_marker: text in a query or payload that crashes the server running the call.
        seed: seed of the service times, combined with the server's id.
    """

    mean_ms: float = 4.0
    sigma: float = 0.35
    straggler_probability: float = 0.0
    straggler_factor: float = 20.0
    queue: int = 8
    connect_ms: float = 0.0
    warm_after: int = 0
    restart_ms: float = 500.0
    crash_marker: str = "crash-this-server"
    seed: int = 1


@attrs.define(kw_only=True)
class BackendFaults:
    """Active faults. Counted faults decrease by one with each use; -1 means unlimited.

    Attributes:
        delay_ms: time added to each service time.
        slow_factor: factor on each service time.
        straggler_probability: overrides that of the options; None keeps it.
        late_reply_ms: delay of the reply to a finished call, after its slot is released.
        load_in_flight: value that /load reports; None reports the actual value.
        health_state: state that /health reports; None reports the actual state.
        cold_refuses: a cold server refuses calls beyond its capacity instead of crashing.
        refuse_connections: new connections are reset.
        crossed_replies: replies that carry the answer to another call.
        truncated_replies: replies whose body ends early.
        partial_replies: searches that cover only a part of the shard.
        failed_replies: calls that run and then report a failure.
        dropped_replies: calls that run and whose connection is then closed without a reply.
    """

    delay_ms: float = 0.0
    slow_factor: float = 1.0
    straggler_probability: float | None = None
    late_reply_ms: float = 0.0
    load_in_flight: int | None = None
    health_state: str | None = None
    cold_refuses: bool = False
    refuse_connections: bool = False
    crossed_replies: int = 0
    truncated_replies: int = 0
    partial_replies: int = 0
    failed_replies: int = 0
    dropped_replies: int = 0

    def consume(self, counter: str) -> bool:
        """Use a counted fault once. Return False if none is remaining."""
        remaining: int = getattr(self, counter)
        if remaining > 0:
            setattr(self, counter, remaining - 1)
        return remaining != 0


class BackendAction(enum.StrEnum):
    """A one-time action of a server."""

    TURN_COLD = "turn_cold"
    TURN_WARM = "turn_warm"
    CRASH = "crash"
    DRAIN = "drain"
    END_DRAIN = "end_drain"
    SILENCE_CONNECTIONS = "silence_connections"
    RESET_CONNECTIONS = "reset_connections"
    PUBLISH = "publish"
    REPARTITION = "repartition"


@attrs.frozen(kw_only=True)
class FaultChange:
    """Body of PUT /faults: selected servers, fault fields to set and one-time actions.

    An empty selection means every server. `clear` resets all faults before `set` applies.
    `version` and `epoch` are the new snapshot of PUBLISH and REPARTITION; `shards` maps the old to
    the new shard names of REPARTITION.
    """

    servers: tuple[str, ...] = ()
    service: str | None = None
    shard: str | None = None
    data_centre: str | None = None
    set: dict[str, Any] = attrs.field(factory=dict)
    actions: tuple[BackendAction, ...] = ()
    version: int | None = None
    epoch: int | None = None
    shards: dict[str, str] = attrs.field(factory=dict)
    clear: bool = False


@attrs.define(kw_only=True)
class BackendCounts:
    """Counts of one server. In flight means running or waiting for a slot.

    `executions` is the number of executes that began to run, by idempotency key;
    `searches_started` and `executes_started` count calls that acquired a slot. `last_arrival_*` is
    the arrival time of the last admitted call in seconds, on the event loop's monotonic clock and
    on the wall clock.
    """

    arrived: int = 0
    searches_started: int = 0
    executes_started: int = 0
    finished: int = 0
    cancelled: int = 0
    failed: int = 0
    sheds: int = 0
    drain_refusals: int = 0
    cold_refusals: int = 0
    expired: int = 0
    snapshot_refusals: int = 0
    max_in_flight: int = 0
    max_in_flight_cold: int = 0
    cold_overruns: int = 0
    crashes: int = 0
    connections_made: int = 0
    connections_refused: int = 0
    connections_peak: int = 0
    last_arrival_monotonic: float = 0.0
    last_arrival_wall: float = 0.0
    executions: dict[str, int] = attrs.field(factory=dict)


def apply_change(faults: BackendFaults, change: FaultChange) -> BackendFaults:
    """Return the faults with a change applied. Raises DecodeError for an invalid field."""
    base = BackendFaults() if change.clear else faults
    unknown = sorted(set(change.set) - {field.name for field in attrs.fields(BackendFaults)})
    if unknown:
        raise codec.DecodeError(f"no such fault: {', '.join(unknown)}")
    return codec.from_json(codec.to_json({**attrs.asdict(base), **change.set}), BackendFaults)
