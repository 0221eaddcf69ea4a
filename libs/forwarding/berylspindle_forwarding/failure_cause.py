"""Find the cause of a refused, failed or late request in its trace.

Terms:
  unanswered   a service without an answer when the request ended

Flow: `cause_of` is called when a request has ended, with its outcome and trace. The cause goes into
the request's log line and a counter; docs/OPERATIONS.md describes the remedy for each.

Guard: a failed request over ten shards has about forty steps, most of them successful. The cause is
taken from the unanswered services, and among these from the one with the fewest steps.
"""

from __future__ import annotations

from typing import Final

import attrs

from berylspindle_decisions.hedged_request import GiveUpReason
from berylspindle_forwarding.reply_check import ReplyClass
from berylspindle_forwarding.request_trace import RequestTrace, Step, StepKind
from berylspindle_model.causes import Cause
from berylspindle_model.errors import ErrorKind, Refusal
from berylspindle_model.key_faults import KeyFault
from berylspindle_wire.exchange import ExchangeFailureKind

LITTLE_TIME_FACTOR: Final = 2.0
"""Time left on arrival, in median latencies, below which replicas are not at fault: half of all
sub-requests take longer than the median, and the network adds to it."""

TABLE_WAIT_MS: Final = 20.0
"""Wait for the first routing table, in milliseconds, from which it is the cause of a late answer;
longer than a typical sub-request."""


@attrs.frozen(kw_only=True)
class RequestFacts:
    """Facts of a finished request; times are in milliseconds.

    Attributes:
        outcome: the refusal, or the status of the response.
        left_ms: time left to the caller on arrival, or None if not stated.
        table_wait_ms: wait for the first routing table.
        usual_ms: median latency of the route's sub-requests, or 0 if unknown.
    """

    outcome: Refusal | int
    left_ms: float | None
    table_wait_ms: float
    usual_ms: float


_BY_KIND: Final[dict[str, Cause]] = {
    ErrorKind.NOT_READY: Cause.NO_TABLE,
    ErrorKind.NOT_FOUND: Cause.NO_ROUTE,
    ErrorKind.SHUTTING_DOWN: Cause.STOPPING,
    ErrorKind.CANCELLED: Cause.CALLER_LEFT,
    ErrorKind.QUARANTINED: Cause.CRASHES_REPLICAS,
    "quota_exceeded": Cause.QUOTA_EXCEEDED,
    "quota_unknown": Cause.QUOTA_UNKNOWN,
}

_BY_KEY_FAULT: Final[dict[str, Cause]] = {
    KeyFault.MISSING: Cause.KEY_MISSING,
    KeyFault.MALFORMED: Cause.KEY_MALFORMED,
    KeyFault.UNKNOWN: Cause.KEY_UNKNOWN,
}

_BY_VERDICT: Final = {
    ReplyClass.REFUSED: Cause.REPLICAS_REFUSED,
    ReplyClass.MISDIRECTED: Cause.NO_USABLE_REPLICA,
    ReplyClass.FAILURE: Cause.REPLICA_FAILED,
    ReplyClass.FOREIGN: Cause.BAD_REPLY,
    ReplyClass.FINAL: Cause.REQUEST_AT_FAULT,
}


def cause_of(facts: RequestFacts, trace: RequestTrace | None) -> Cause:
    """Return the cause of a refused, failed or late request."""
    outcome = facts.outcome
    if isinstance(outcome, Refusal) and outcome.kind in _BY_KIND:
        return _BY_KIND[outcome.kind]
    if isinstance(outcome, Refusal) and outcome.kind is ErrorKind.UNAUTHORISED:
        return _BY_KEY_FAULT.get(outcome.detail, Cause.KEY_UNKNOWN)
    if trace is None:
        return Cause.NO_USABLE_REPLICA
    if trace.merger:
        return Cause.MERGER_LOST
    if trace.cut_off:
        return Cause.CUT_OFF
    if trace.overloaded:
        return Cause.OVERLOADED
    if isinstance(outcome, Refusal):
        return _cause_of_refusal(facts, trace)
    if 400 <= outcome < 500:
        return Cause.REQUEST_AT_FAULT
    if outcome >= 500:
        return Cause.REPLICA_FAILED
    return _cause_of_late(facts, trace)


def _cause_of_refusal(facts: RequestFacts, trace: RequestTrace) -> Cause:
    for step in trace.steps:
        if step.kind is StepKind.LOST:
            return _cause_of_loss(step, trace)
    unanswered = _unanswered(trace)
    if not unanswered:
        return Cause.NO_USABLE_REPLICA
    cause = _last_cause(min(unanswered, key=len), default=Cause.REPLICAS_SILENT)
    if cause is Cause.REPLICAS_SILENT and _has_little_time(facts):
        return Cause.LITTLE_TIME
    return cause


def _cause_of_loss(lost: Step, trace: RequestTrace) -> Cause:
    if lost.label is GiveUpReason.RETRY_BUDGET_EXHAUSTED:
        return Cause.RETRY_BUDGET_SPENT
    steps = [step for step in trace.steps if step.service == lost.service]
    return _last_cause(steps, default=Cause.NO_USABLE_REPLICA)


def _cause_of_late(facts: RequestFacts, trace: RequestTrace) -> Cause:
    if facts.table_wait_ms >= TABLE_WAIT_MS:
        return Cause.WAITED_FOR_TABLE
    if unanswered := _unanswered(trace):
        return _last_cause(min(unanswered, key=len), default=Cause.SLOW_REPLICA)
    last = _last_step(trace.steps, StepKind.REPLIED)
    if last is None:
        return Cause.SLOW_REPLICA
    own = [step for step in trace.steps if step.service == last.service]
    failed = any(_cause_of_step(step) is not None for step in own)
    return Cause.RETRIED if failed else Cause.SLOW_REPLICA


def _last_cause(steps: list[Step], *, default: Cause) -> Cause:
    """Return the cause of the last failed step, or `default` if no step failed."""
    causes = [cause for cause in map(_cause_of_step, steps) if cause is not None]
    return causes[-1] if causes else default


def _cause_of_step(step: Step) -> Cause | None:
    if step.kind is StepKind.REPLIED:
        return _BY_VERDICT.get(step.label)  # type: ignore[call-overload,no-any-return]
    if step.kind is StepKind.ENDED:
        return (
            Cause.UNREACHABLE if step.label is ExchangeFailureKind.NOT_SENT else Cause.ANSWER_LOST
        )
    return None


def _unanswered(trace: RequestTrace) -> list[list[Step]]:
    """Return the steps of each unanswered service."""
    services: dict[str, list[Step]] = {}
    answered: set[str] = set()
    for step in trace.steps:
        services.setdefault(step.service, []).append(step)
        if step.kind is StepKind.REPLIED and step.label in (ReplyClass.ANSWER, ReplyClass.FINAL):
            answered.add(step.service)
    return [steps for service, steps in services.items() if service not in answered]


def _has_little_time(facts: RequestFacts) -> bool:
    return facts.left_ms is not None and facts.left_ms < LITTLE_TIME_FACTOR * facts.usual_ms


def _last_step(steps: list[Step], kind: StepKind) -> Step | None:
    return next((step for step in reversed(steps) if step.kind is kind), None)
