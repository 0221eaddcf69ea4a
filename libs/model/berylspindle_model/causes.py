"""Define the causes for which a forwarded request is refused, fails or is late.

Terms:
  cause   the condition that prevented the request from being answered in time

Flow: the daemon determines the cause of each such request, writes it to the request's log line and
counts it; the operators' tool prints it with the explanation in `CAUSES`.
"""

from __future__ import annotations

import enum
from typing import Final

import attrs


class Cause(enum.StrEnum):
    """Cause of a refused, failed or late request; each needs an entry in `CAUSES`."""

    NO_TABLE = "no_table"
    NO_ROUTE = "no_route"
    STOPPING = "stopping"
    CUT_OFF = "cut_off"
    OVERLOADED = "overloaded"
    NO_USABLE_REPLICA = "no_usable_replica"
    UNREACHABLE = "unreachable"
    REPLICAS_REFUSED = "replicas_refused"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    ANSWER_LOST = "answer_lost"
    BAD_REPLY = "bad_reply"
    REPLICA_FAILED = "replica_failed"
    REQUEST_AT_FAULT = "request_at_fault"
    LITTLE_TIME = "little_time"
    REPLICAS_SILENT = "replicas_silent"
    WAITED_FOR_TABLE = "waited_for_table"
    RETRIED = "retried"
    SLOW_REPLICA = "slow_replica"
    CALLER_LEFT = "caller_left"
    MERGER_LOST = "merger_lost"
    CRASHES_REPLICAS = "crashes_replicas"


@attrs.frozen
class CauseText:
    """Explanation of a cause, and what an operator should check."""

    meaning: str
    look_at: str


CAUSES: Final[dict[Cause, CauseText]] = {
    Cause.NO_TABLE: CauseText(
        "the VM had just started and knew no routing table yet",
        "'the store answers' and 'routing table in force' of that VM: what kept them",
    ),
    Cause.NO_ROUTE: CauseText(
        "the routing table in force has no route for this host and path",
        "the line's table version against the operator's; the host and path that were asked",
    ),
    Cause.STOPPING: CauseText(
        "the VM was stopping and had no time left for the request",
        "'shutdown' of that VM; whether requests are longer than the grace",
    ),
    Cause.CUT_OFF: CauseText(
        "the VM reached no other data centre, and too few shards have a replica in its own",
        "'cut off from other data centres' of that VM: the network between data centres",
    ),
    Cause.OVERLOADED: CauseText(
        "refused at once, unrun: waiting in replicas' queues would have cost its time",
        "the load of the services; replicas that are slow or few, and the pressure in the line",
    ),
    Cause.NO_USABLE_REPLICA: CauseText(
        "a service had no replica that may get requests: none announced, all draining or out",
        "'replica announced' and 'replica gone' of that service; data centres that are out",
    ),
    Cause.UNREACHABLE: CauseText(
        "all replicas of a service refused connections, or could not be reached",
        "the replicas that the steps name with not_sent: whether they run",
    ),
    Cause.REPLICAS_REFUSED: CauseText(
        "replicas refused the request unrun until its time or its attempts were over",
        "the load of the service: more requests than its replicas' slots and queues bear",
    ),
    Cause.RETRY_BUDGET_SPENT: CauseText(
        "what failed could not be tried again: the bound on repeats was reached",
        "why so much is repeated: replicas held off, replies by kind",
    ),
    Cause.ANSWER_LOST: CauseText(
        "a connection broke after the request was sent; it may have run",
        "the replica that the steps name with lost or broken: whether it crashed",
    ),
    Cause.BAD_REPLY: CauseText(
        "a replica's reply belonged to another request or was none of the protocol",
        "the replica that the steps name with foreign",
    ),
    Cause.REPLICA_FAILED: CauseText(
        "a replica ran the request and failed",
        "the log of the replica that the steps name with failure",
    ),
    Cause.REQUEST_AT_FAULT: CauseText(
        "a replica says that the request itself is at fault",
        "the request; the caller has to mend it",
    ),
    Cause.LITTLE_TIME: CauseText(
        "the caller left less time than the replicas usually take",
        "left_ms against usual_ms; what the caller did before this try",
    ),
    Cause.REPLICAS_SILENT: CauseText(
        "replicas had the request and did not answer in time",
        "the replicas that the steps send to and never name again: slow, paused or cut off",
    ),
    Cause.WAITED_FOR_TABLE: CauseText(
        "answered late: the VM had just started and the request waited for the routing table",
        "'started' of that VM, and table_wait_ms",
    ),
    Cause.RETRIED: CauseText(
        "answered late: an attempt failed or was refused first",
        "the step that failed, and its replica",
    ),
    Cause.SLOW_REPLICA: CauseText(
        "answered late: a replica was slow",
        "the last answer of the steps, and its replica's pace",
    ),
    Cause.CALLER_LEFT: CauseText(
        "the caller closed its connection before the answer",
        "the route's latency; nothing, if callers do so by themselves",
    ),
    Cause.MERGER_LOST: CauseText(
        "the bigger VM that carried the request out did not answer",
        "the VM that the line names as merger: whether it ran, and its line of the same request",
    ),
    Cause.CRASHES_REPLICAS: CauseText(
        "replicas that ran the same request before have crashed, so that it is not run for a while",
        "'request crashes replicas' of any VM; the request, with whoever sends it",
    ),
}
