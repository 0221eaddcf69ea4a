"""Define all metrics: name, kind, labels and help text of each.

Terms:
  counter   a total that only increases while the process runs
  gauge     a value that can increase and decrease
  summary   quantiles over the last one to two minutes, and sum and count since the start
  label     a dimension of a metric with few values, which excludes callers and request ids

Flow: code passes one of these constants to `metrics.Metrics`. Other metrics cannot be recorded, so
that this list is complete. Times are in milliseconds.
"""

from __future__ import annotations

import enum
from typing import Final

import attrs

PREFIX: Final = "berylspindle_"


class MetricKind(enum.StrEnum):
    """Type of a metric in the text exposition."""

    COUNTER = "counter"
    GAUGE = "gauge"
    SUMMARY = "summary"


@attrs.frozen(eq=False)
class Metric:
    """One metric, compared by identity for fast look-up in the registry."""

    name: str
    kind: MetricKind
    help: str
    labels: tuple[str, ...] = ()


METRICS: Final[list[Metric]] = []


def _metric(kind: MetricKind, name: str, help_text: str, *labels: str) -> Metric:
    metric = Metric(PREFIX + name, kind, help_text, labels)
    METRICS.append(metric)
    return metric


def _counter(name: str, help_text: str, *labels: str) -> Metric:
    return _metric(MetricKind.COUNTER, name + "_total", help_text, *labels)


def _gauge(name: str, help_text: str, *labels: str) -> Metric:
    return _metric(MetricKind.GAUGE, name, help_text, *labels)


def _summary(name: str, help_text: str, *labels: str) -> Metric:
    return _metric(MetricKind.SUMMARY, name + "_ms", help_text, *labels)


# The callers' edge.
REQUESTS: Final = _counter(
    "requests",
    "requests of callers by result: whole, partial, or an error kind",
    "service",
    "operation",
    "result",
)
REQUEST_TIME: Final = _summary(
    "request", "time from the last byte of a request to its answer", "service", "operation"
)
REQUESTS_IN_FLIGHT: Final = _gauge("requests_in_flight", "requests of callers being worked on")
EDGE_CONNECTIONS: Final = _gauge("edge_connections", "open connections of one edge", "edge")
EDGE_REFUSALS: Final = _counter(
    "edge_refusals", "requests refused before they were admitted, by error kind", "edge", "kind"
)
READY: Final = _gauge("ready", "1 while the balancer may send, else 0")

# The fan-out.
ATTEMPTS: Final = _counter(
    "attempts", "attempts by reason: first, hedge, retry, canary or re_pin", "service", "reason"
)
ATTEMPT_REPLIES: Final = _counter(
    "attempt_replies", "replies to attempts by result: ok or an error kind", "service", "result"
)
ATTEMPT_TIME: Final = _summary("attempt", "time of an attempt as the entry sees it", "service")
BUDGET_DENIED: Final = _counter(
    "budget_denied", "hedges and retries that the budget did not allow", "service", "budget"
)
SHARDS_MISSING: Final = _counter("shards_missing", "shards missing from answers", "service")
REPLIES_DISCARDED: Final = _counter(
    "replies_discarded",
    "replies not merged: late, or mismatched with the snapshot asked for",
    "reason",
)
SNAPSHOT_CHANGES: Final = _counter(
    "snapshot_changes", "fan-outs that moved to a newer snapshot", "service"
)

# The owner of backend servers.
SERVERS_OWNED: Final = _gauge("servers_owned", "backend servers that this VM owns")
SERVER_IN_FLIGHT: Final = _gauge("server_in_flight", "attempts under way at a server", "server")
SERVER_CAP: Final = _gauge("server_cap", "attempts that a server may have under way", "server")
SERVER_QUEUE: Final = _gauge("server_queue", "attempts waiting for a server", "server")
SERVER_CONNECTIONS: Final = _gauge("server_connections", "open connections to a server", "server")
DISPATCHES: Final = _counter(
    "dispatches", "attempts sent to a server by result: ok or an error kind", "server", "result"
)
QUEUE_TIME: Final = _summary("queue", "wait of an attempt at its owner", "service")
SERVED_TIME: Final = _summary("served", "time from dispatch to the server's reply", "service")
CONNECTIONS_OPENED: Final = _counter("connections_opened", "connections opened", "server")
CONNECTIONS_REPLACED: Final = _counter(
    "connections_replaced", "connections given up: silent, broken or outstanding", "reason"
)
TURNED_COLD: Final = _counter("turned_cold", "servers set back to the cold cap", "evidence")
EJECTIONS: Final = _counter("ejections", "servers ejected for a while", "service")
QUARANTINED: Final = _gauge("quarantined", "fingerprints refused because they crashed servers")

# The configuration store.
STORE_CALLS: Final = _counter(
    "store_calls",
    "calls to the store by result: ok, conflict, lease_gone, lost or away",
    "operation",
    "result",
)
STORE_CALL_TIME: Final = _summary("store_call", "time of a call to the store", "operation")
STORE_AWAY: Final = _gauge("store_away", "1 while the store does not answer, else 0")
CLAIMS: Final = _counter(
    "claims", "claims for requests that run at most once: taken, repeated, unknown, away", "result"
)

# The control plane.
REVISION: Final = _gauge("configuration_revision", "revision of the configuration in force here")
VIEW_EPOCH: Final = _gauge("view_epoch", "epoch of the view of a data centre", "data_centre")
VMS: Final = _gauge("vms", "VMs of a view by state: live or suspect", "data_centre", "state")
CONTROL_MESSAGES: Final = _counter(
    "control_messages", "control messages between VMs", "direction", "kind"
)
CONTROL_BYTES: Final = _counter("control_bytes", "control bytes between VMs", "direction")
CONTROL_REJECTED: Final = _counter(
    "control_rejected", "control messages not accepted: unsigned or malformed", "reason"
)
CLOCK_REJECTED: Final = _gauge(
    "clock_rejected", "stamps of peers too far ahead of this VM's clock to adopt"
)

# The process itself.
EVENTS: Final = _counter("events", "events of the time line", "kind")
EVENTS_DROPPED: Final = _gauge("events_dropped", "events that the time line no longer holds")
LOG_LINES: Final = _counter("log_lines", "log lines written", "level")
LOG_DROPPED: Final = _counter(
    "log_dropped", "log lines that nobody read fast enough to take", "channel"
)
LOG_LEFT_OUT: Final = _counter("log_left_out", "request lines over their kind's allowance", "kind")
SERIES_DROPPED: Final = _counter("series_dropped", "samples folded since a metric had too many")
LOOP_LAG: Final = _summary("loop_lag", "how late a timer of the event loop fires")
CPU_SECONDS: Final = _gauge("cpu_seconds", "processor time of this process since its start")
RESIDENT_BYTES: Final = _gauge("resident_bytes", "greatest resident memory of this process")

FORWARD_REQUESTS: Final = _counter(
    "forward_requests", "Forwarded requests by what became of them.", "route", "result"
)
FORWARD_CAUSES: Final = _counter(
    "forward_causes", "Forwarded requests that were refused, failed or late, by cause.", "cause"
)
FORWARD_TIME: Final = _summary(
    "forward_time", "Time from a forwarded request's arrival to its answer.", "route"
)
FORWARD_ATTEMPTS: Final = _counter(
    "forward_attempts", "Attempts at replicas: first, hedge or retry.", "reason"
)
FORWARD_REPLIES: Final = _counter("forward_replies", "What came of attempts at replicas.", "kind")
FORWARD_DENIED: Final = _counter(
    "forward_denied", "Hedges and retries that the extra share did not allow.", "reason"
)
FORWARD_CONNECTIONS: Final = _counter(
    "forward_connections", "Connections opened to replicas.", "reason"
)
FORWARD_RELAYED: Final = _counter(
    "forward_relayed", "Requests passed on to a bigger VM, by what came of it.", "result"
)
ROLLOUT_ANSWERS: Final = _gauge(
    "rollout_answers",
    "Answers by which a service's new version is judged, of all data centres.",
    "service",
    "version",
    "result",
)
REPLICAS_KNOWN: Final = _gauge("replicas_known", "Replicas announced to this VM.")
ROUTING_VERSION: Final = _gauge("routing_version", "Version of the routing table in force.")
ANNOUNCE_FAILED: Final = _counter(
    "announce_failed", "Calls to the store for this VM's own entry that failed."
)
CUT_OFF: Final = _gauge("cut_off", "1 while this VM reaches no other data centre and needs one.")
