"""Find the cause of a refused, failed or late request in its trace.

Terms:
  waiting  a service whose answer was not there when the request ended

Flow: `cause_of` is asked once a request is over, with its outcome and its steps. The cause stands
in the request's line of the log and in a counter; docs/OPERATIONS.md says for each what to do.

Guard: a request over ten shards that fails has forty steps, most of them sound. The cause is that
of the services it was still waiting for, and of those the one that has tried least.
"""

from __future__ import annotations

from typing import Final

import attrs

from berylspindle_decisions.hedged_request import LossReason
from berylspindle_forwarding.reply_check import ReplyClass
from berylspindle_forwarding.request_trace import RequestTrace, Step, StepKind
from berylspindle_model.causes import Cause
from berylspindle_model.errors import ErrorKind, Refusal
from berylspindle_wire.exchange import EndKind

LITTLE_TIME: Final = 2.0
"""A request that comes with less than this many usual latencies left can't be blamed on replicas:
half of them take longer than one, and the way there and back has its share."""

TABLE_WAIT_MS: Final = 20.0
"""Waiting for the first routing table for longer than a usual sub-request makes an answer late."""


@attrs.frozen(kw_only=True)
class RequestFacts:
    """What is known of a request that is over; times are milliseconds.

    Attributes:
        outcome: the refusal, or the status of the answer.
        table_wait_ms: how long it waited for the first routing table.
        usual_ms: the usual latency of its route's sub-requests, 0 where none is known.
    """

    outcome: Refusal | int
    left_ms: float | None
    table_wait_ms: float
    usual_ms: float


_BY_KIND: Final = {
    ErrorKind.NOT_READY: Cause.NO_TABLE,
    ErrorKind.NOT_FOUND: Cause.NO_ROUTE,
    ErrorKind.SHUTTING_DOWN: Cause.STOPPING,
    ErrorKind.CANCELLED: Cause.CALLER_LEFT,
    ErrorKind.QUARANTINED: Cause.CRASHES_REPLICAS,
}

_BY_VERDICT: Final = {
    ReplyClass.REFUSED: Cause.REPLICAS_REFUSED,
    ReplyClass.MISDIRECTED: Cause.NO_USABLE_REPLICA,
    ReplyClass.FAILURE: Cause.REPLICA_FAILED,
    ReplyClass.FOREIGN: Cause.BAD_REPLY,
    ReplyClass.FINAL: Cause.REQUEST_AT_FAULT,
}


def cause_of(facts: RequestFacts, trace: RequestTrace | None) -> Cause:
    """Return why a request was refused, failed or late."""
    outcome = facts.outcome
    if isinstance(outcome, Refusal) and outcome.kind in _BY_KIND:
        return _BY_KIND[outcome.kind]
    if trace is None:
        return Cause.NO_USABLE_REPLICA
    if trace.merger:
        return Cause.MERGER_LOST
    if trace.cut_off:
        return Cause.CUT_OFF
    if trace.pressed:
        return Cause.OVERLOADED
    if isinstance(outcome, Refusal):
        return _of_refusal(facts, trace)
    if 400 <= outcome < 500:
        return Cause.REQUEST_AT_FAULT
    if outcome >= 500:
        return Cause.REPLICA_FAILED
    return _of_late(facts, trace)


def _of_refusal(facts: RequestFacts, trace: RequestTrace) -> Cause:
    for step in trace.steps:
        if step.kind is StepKind.LOST:
            return _of_loss(step, trace)
    waiting = _waiting(trace)
    if not waiting:
        return Cause.NO_USABLE_REPLICA
    found = _of_service(min(waiting, key=len), default=Cause.REPLICAS_SILENT)
    if found is Cause.REPLICAS_SILENT and _has_little_time(facts):
        return Cause.LITTLE_TIME
    return found


def _of_loss(lost: Step, trace: RequestTrace) -> Cause:
    if lost.what is LossReason.EXTRA_SPENT:
        return Cause.RETRY_BUDGET_SPENT
    steps = [step for step in trace.steps if step.service == lost.service]
    return _of_service(steps, default=Cause.NO_USABLE_REPLICA)


def _of_late(facts: RequestFacts, trace: RequestTrace) -> Cause:
    if facts.table_wait_ms >= TABLE_WAIT_MS:
        return Cause.WAITED_FOR_TABLE
    if waiting := _waiting(trace):
        return _of_service(min(waiting, key=len), default=Cause.SLOW_REPLICA)
    last = _last(trace.steps, StepKind.REPLIED)
    if last is None:
        return Cause.SLOW_REPLICA
    own = [step for step in trace.steps if step.service == last.service]
    failed = any(_failure(step) is not None for step in own)
    return Cause.RETRIED if failed else Cause.SLOW_REPLICA


def _of_service(steps: list[Step], *, default: Cause) -> Cause:
    """Return what its last attempts came to; `default` where none of them has ended."""
    found = [cause for cause in map(_failure, steps) if cause is not None]
    return found[-1] if found else default


def _failure(step: Step) -> Cause | None:
    if step.kind is StepKind.REPLIED:
        return _BY_VERDICT.get(step.what)  # type: ignore[call-overload,no-any-return]
    if step.kind is StepKind.ENDED:
        return Cause.UNREACHABLE if step.what is EndKind.NOT_SENT else Cause.ANSWER_LOST
    return None


def _waiting(trace: RequestTrace) -> list[list[Step]]:
    """Return the steps of each service that has not answered."""
    services: dict[str, list[Step]] = {}
    answered: set[str] = set()
    for step in trace.steps:
        services.setdefault(step.service, []).append(step)
        if step.kind is StepKind.REPLIED and step.what in (ReplyClass.ANSWER, ReplyClass.FINAL):
            answered.add(step.service)
    return [steps for service, steps in services.items() if service not in answered]


def _has_little_time(facts: RequestFacts) -> bool:
    return facts.left_ms is not None and facts.left_ms < LITTLE_TIME * facts.usual_ms


def _last(steps: list[Step], kind: StepKind) -> Step | None:
    return next((step for step in reversed(steps) if step.kind is kind), None)
