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
    KEY_MISSING = "key_missing"
    KEY_MALFORMED = "key_malformed"
    KEY_UNKNOWN = "key_unknown"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_UNKNOWN = "quota_unknown"


@attrs.frozen
class CauseText:
    """Explanation of a cause, and what an operator should check."""

    meaning: str
    look_at: str


CAUSES: Final[dict[Cause, CauseText]] = {
    Cause.NO_TABLE: CauseText(
        "the VM had just started and had not received a routing table yet",
        "'the store answers' and 'routing table in force' in the VM's log: what delayed them",
    ),
    Cause.NO_ROUTE: CauseText(
        "the active routing table has no route for this host and path",
        "the table version in the line against the one published; the requested host and path",
    ),
    Cause.STOPPING: CauseText(
        "the VM was shutting down and had no time left for the request",
        "'shutdown' in the VM's log; whether requests take longer than the grace period",
    ),
    Cause.CUT_OFF: CauseText(
        "the VM could reach no other data centre, and too few shards have a replica in its own",
        "'cut off from other data centres' in the VM's log: the network between data centres",
    ),
    Cause.OVERLOADED: CauseText(
        "refused without being run: queueing at the replicas would have exceeded its time",
        "the load of the services; slow or missing replicas, and the pressure in the line",
    ),
    Cause.NO_USABLE_REPLICA: CauseText(
        "a service had no usable replica: none announced, or all draining or out of service",
        "'replica announced' and 'replica gone' of that service; data centres out of service",
    ),
    Cause.UNREACHABLE: CauseText(
        "all replicas of a service refused connections or were unreachable",
        "the replicas with not_sent in the steps: whether they are running",
    ),
    Cause.REPLICAS_REFUSED: CauseText(
        "replicas refused the request without running it until its deadline or attempt limit",
        "the load of the service: more requests than the slots and queues of its replicas can take",
    ),
    Cause.RETRY_BUDGET_SPENT: CauseText(
        "a failed attempt was not retried: the retry budget was used up",
        "why so many requests are retried: replicas on hold, replies by kind",
    ),
    Cause.ANSWER_LOST: CauseText(
        "the connection was lost after the request was sent; it may have run",
        "the replica with lost or broken in the steps: whether it crashed",
    ),
    Cause.BAD_REPLY: CauseText(
        "a replica's reply belonged to another request or violated the protocol",
        "the replica with foreign in the steps",
    ),
    Cause.REPLICA_FAILED: CauseText(
        "a replica ran the request and failed",
        "the log of the replica with failure in the steps",
    ),
    Cause.REQUEST_AT_FAULT: CauseText(
        "a replica rejected the request as invalid",
        "the request; the caller has to correct it",
    ),
    Cause.LITTLE_TIME: CauseText(
        "the caller's remaining time was shorter than the usual latency of the replicas",
        "left_ms against usual_ms; what delayed the caller before this attempt",
    ),
    Cause.REPLICAS_SILENT: CauseText(
        "replicas received the request and did not respond in time",
        "the replicas that the steps send to without a later reply: slow, paused or unreachable",
    ),
    Cause.WAITED_FOR_TABLE: CauseText(
        "late response: the VM had just started and the request waited for the routing table",
        "'started' in the VM's log, and table_wait_ms",
    ),
    Cause.RETRIED: CauseText(
        "late response: an earlier attempt failed or was refused",
        "the failed step and its replica",
    ),
    Cause.SLOW_REPLICA: CauseText(
        "late response: a replica was slow",
        "the last answer in the steps, and the latency of its replica",
    ),
    Cause.CALLER_LEFT: CauseText(
        "the caller closed its connection before the response",
        "the latency of the route; nothing if callers close connections on their own",
    ),
    Cause.MERGER_LOST: CauseText(
        "the larger VM that was running the request as merger did not respond",
        "the merger VM in the line: whether it was running, and its own line of the request",
    ),
    Cause.CRASHES_REPLICAS: CauseText(
        "the request is quarantined for a while: replicas that ran it before have crashed",
        "'request crashes replicas' in any VM's log; the request and its caller",
    ),
    Cause.KEY_MISSING: CauseText(
        "the request had no API key, and its route is not public",
        "whether the caller sends 'Authorization: Bearer KEY'; whether the route should be public",
    ),
    Cause.KEY_MALFORMED: CauseText(
        "the request's Authorization header is not one Bearer key",
        "the caller: one header, the scheme Bearer and one key; a proxy that adds a second header",
    ),
    Cause.KEY_UNKNOWN: CauseText(
        "no organisation holds the request's key, or more than one does",
        "the table version in the line against the one with the key; the warning on shared keys",
    ),
    Cause.QUOTA_EXCEEDED: CauseText(
        "the organisation's requests on all VMs together are beyond its limit; not run",
        "the organisation in 'berylspindle quotas': use against limit; the caller has to send less",
    ),
    Cause.QUOTA_UNKNOWN: CauseText(
        "neither lender nor owner of the organisation answered, and no standby was left; not run",
        "owner and lender in 'berylspindle quotas --organisation': whether the VM reaches them",
    ),
}
