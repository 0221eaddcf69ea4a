"""Define all metrics: name, kind, labels and help text of each.

Terms:
  counter   a total that only increases while the process runs
  gauge     a value that can increase and decrease
  summary   quantiles over the last one to two minutes, and sum and count since the start
  label     a dimension of a metric with few values; callers and request ids are no labels, since
            they are unbounded

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
    "callers' requests by result: whole, partial or an error kind",
    "service",
    "operation",
    "result",
)
REQUEST_TIME: Final = _summary(
    "request", "time from the last byte of a request to its response", "service", "operation"
)
REQUESTS_IN_FLIGHT: Final = _gauge("requests_in_flight", "callers' requests in flight")
EDGE_CONNECTIONS: Final = _gauge("edge_connections", "open connections of an edge", "edge")
EDGE_REFUSALS: Final = _counter(
    "edge_refusals", "requests refused before admission, by error kind", "edge", "kind"
)
READY: Final = _gauge("ready", "1 while the load balancer may send, else 0")

# The fan-out.
ATTEMPTS: Final = _counter(
    "attempts", "attempts by reason: first, hedge, retry, canary or re_pin", "service", "reason"
)
ATTEMPT_REPLIES: Final = _counter(
    "attempt_replies", "replies to attempts by result: ok or an error kind", "service", "result"
)
ATTEMPT_TIME: Final = _summary("attempt", "time of an attempt, measured by the entry", "service")
BUDGET_DENIED: Final = _counter(
    "budget_denied", "hedges and retries denied by the budget", "service", "budget"
)
SHARDS_MISSING: Final = _counter("shards_missing", "shards missing in answers", "service")
REPLIES_DISCARDED: Final = _counter(
    "replies_discarded",
    "replies not merged: late or of another snapshot",
    "reason",
)
SNAPSHOT_CHANGES: Final = _counter(
    "snapshot_changes", "fan-outs that changed to a newer snapshot", "service"
)

# The owner of backend servers.
SERVERS_OWNED: Final = _gauge("servers_owned", "backend servers that this VM owns")
SERVER_IN_FLIGHT: Final = _gauge("server_in_flight", "attempts in flight at a server", "server")
SERVER_CAP: Final = _gauge("server_cap", "maximum attempts in flight at a server", "server")
SERVER_QUEUE: Final = _gauge("server_queue", "attempts queued for a server", "server")
SERVER_CONNECTIONS: Final = _gauge("server_connections", "open connections to a server", "server")
DISPATCHES: Final = _counter(
    "dispatches", "attempts sent to a server by result: ok or an error kind", "server", "result"
)
QUEUE_TIME: Final = _summary("queue", "queueing delay of an attempt at its owner", "service")
SERVED_TIME: Final = _summary("served", "time from dispatch to the server's reply", "service")
CONNECTIONS_OPENED: Final = _counter("connections_opened", "connections opened", "server")
CONNECTIONS_REPLACED: Final = _counter(
    "connections_replaced", "connections replaced: silent, broken or outstanding", "reason"
)
TURNED_COLD: Final = _counter(
    "turned_cold", "servers reset to the cold concurrency limit", "evidence"
)
EJECTIONS: Final = _counter("ejections", "ejections of servers", "service")
QUARANTINED: Final = _gauge(
    "quarantined", "quarantined request fingerprints, which crashed servers"
)

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
    "claims", "claims of at-most-once requests: taken, repeated, unknown or away", "result"
)

# The control plane.
REVISION: Final = _gauge("configuration_revision", "revision of the active configuration")
VIEW_EPOCH: Final = _gauge("view_epoch", "epoch of the view of a data centre", "data_centre")
VMS: Final = _gauge("vms", "VMs of a view by state: live or suspect", "data_centre", "state")
CONTROL_MESSAGES: Final = _counter(
    "control_messages", "control messages between VMs", "direction", "kind"
)
CONTROL_BYTES: Final = _counter(
    "control_bytes", "bytes of control messages between VMs", "direction"
)
CONTROL_REJECTED: Final = _counter(
    "control_rejected", "control messages rejected: unsigned or malformed", "reason"
)
LINKS_LOST: Final = _counter(
    "links_lost", "links to other VMs that were not opened, broke or were silent", "reason"
)
CLOCK_REJECTED: Final = _gauge(
    "clock_rejected", "stamps of peers rejected as too far ahead of this VM's clock"
)

# The process itself.
EVENTS: Final = _counter("events", "events of the timeline", "kind")
EVENTS_DROPPED: Final = _gauge("events_dropped", "events overwritten in the timeline")
LOG_LINES: Final = _counter("log_lines", "log lines written", "level")
LOG_DROPPED: Final = _counter(
    "log_dropped", "log lines dropped because the reader of the log was too slow", "channel"
)
LOG_LEFT_OUT: Final = _counter(
    "log_left_out", "request log lines suppressed by the rate limit of their kind", "kind"
)
SERIES_DROPPED: Final = _counter(
    "series_dropped", "samples recorded as 'other' because a metric has too many series"
)
LOOP_LAG: Final = _summary("loop_lag", "lag of the event loop")
CPU_SECONDS: Final = _gauge("cpu_seconds", "processor time of this process since its start")
RESIDENT_BYTES: Final = _gauge("resident_bytes", "peak resident memory of this process")

FORWARD_REQUESTS: Final = _counter(
    "forward_requests", "Forwarded requests by result.", "route", "result"
)
FORWARD_CAUSES: Final = _counter(
    "forward_causes", "Forwarded requests that were refused, failed or late, by cause.", "cause"
)
FORWARD_TIME: Final = _summary(
    "forward_time", "Time from the arrival of a forwarded request to its response.", "route"
)
FORWARD_ATTEMPTS: Final = _counter(
    "forward_attempts", "Attempts at replicas: first, hedge or retry.", "reason"
)
FORWARD_REPLIES: Final = _counter(
    "forward_replies", "Replies of replicas to attempts, by kind.", "kind"
)
FORWARD_DENIED: Final = _counter(
    "forward_denied", "Hedges and retries denied by the retry budget.", "reason"
)
FORWARD_CONNECTIONS: Final = _counter(
    "forward_connections", "Connections opened to replicas.", "reason"
)
FORWARD_RELAYED: Final = _counter(
    "forward_relayed", "Requests relayed to a larger VM, by result.", "result"
)
ROLLOUT_ANSWERS: Final = _gauge(
    "rollout_answers",
    "Responses on which the new version of a service is judged, of all data centres.",
    "service",
    "version",
    "result",
)
REPLICAS_KNOWN: Final = _gauge("replicas_known", "Replicas announced to this VM.")
VIEW_AGE: Final = _gauge(
    "view_age_ms", "Time since the store has confirmed the entries of this VM."
)
OLDER_ENTRIES: Final = _counter(
    "older_entries", "Entries ignored because a newer revision was known.", "upstream"
)
FAULTY_ENTRIES: Final = _counter(
    "faulty_entries", "Entries that were skipped because of an unexpected error."
)
TASK_FAILURES: Final = _counter(
    "task_failures", "Failures of tasks that run as long as the process.", "task"
)
DEFERRED_DELETIONS: Final = _counter(
    "deferred_deletions",
    "Deletions of entries that were deferred, by kind of entry.",
    "entry",
)
ROUTING_VERSION: Final = _gauge("routing_version", "Version of the active routing table.")
ANNOUNCE_FAILED: Final = _counter(
    "announce_failed", "Failed calls to the store for this VM's own entry."
)
QUOTA_REQUESTS: Final = _counter(
    "quota_requests",
    "Requests of organisations with a quota, by result: admitted or an error kind.",
    "organisation",
    "result",
)
QUOTA_TOKENS: Final = _counter(
    "quota_tokens",
    "Quota tokens of an organisation, by use: spent by this VM, or lent to other VMs.",
    "organisation",
    "use",
)
QUOTA_CALLS: Final = _counter(
    "quota_calls",
    "Calls to other VMs for quota tokens, by role of the callee and result.",
    "role",
    "result",
)
QUOTA_STATE_AGE: Final = _gauge(
    "quota_state_age_ms",
    "Time since this VM was last granted tokens of an organisation.",
    "organisation",
)
CUT_OFF: Final = _gauge("cut_off", "1 while this VM needs another data centre and can reach none.")
