"""Trace the attempts of one request, their outcomes and the shards without an answer.

Terms:
  step   one event: an attempt was sent, replied to or ended without a reply, or a shard was lost

Flow: `scatter_gather` records steps, at the cost of one append each; they are formatted only for
requests whose log line is written. `failure_cause` derives the cause of a failure from them.
"""

from __future__ import annotations

import enum
from typing import Final, NamedTuple

from berylspindle_decisions.hedged_request import GiveUpReason
from berylspindle_forwarding.replica_registry import ReplicaHandle
from berylspindle_forwarding.reply_check import ReplyClass
from berylspindle_wire.exchange import ExchangeFailure, ExchangeFailureKind


class StepKind(enum.Enum):
    """Kind of a step; the log line has `Step.label` instead."""

    SENT = "sent"
    REPLIED = "replied"
    ENDED = "ended"
    LOST = "lost"


class Step(NamedTuple):
    """One step; a tuple, since a request over ten shards has about forty.

    `label` is the reason of an attempt, the class of a reply, the kind of an end, or the reason why
    a shard is lost. `load` and `pace` are the state of the replica as known at the time of
    sending: attempts in flight, and its latency over the usual one.
    """

    at: float
    kind: StepKind
    label: str | ReplyClass | ExchangeFailureKind | GiveUpReason
    service: str
    replica: str = ""
    detail: str | int = ""
    load: int = 0
    pace: float = 0.0


class RequestTrace:
    """The steps of one request, formatted with milliseconds since its arrival."""

    __slots__ = ("_started", "cut_off", "extra_attempts", "merger", "overloaded", "steps")

    def __init__(self, started: float) -> None:
        self._started: Final = started
        self.steps: list[Step] = []
        self.extra_attempts = 0
        self.cut_off = False
        self.overloaded = False
        self.merger = ""

    def record_sent(self, now: float, handle: ReplicaHandle, reason: str) -> None:
        """Record an attempt that is sent, with the known state of the replica."""
        if reason != "first":
            self.extra_attempts += 1
        replica, health = handle.replica, handle.health
        self.steps.append(
            Step(
                now,
                StepKind.SENT,
                reason,
                replica.service,
                replica.id,
                "",
                health.outstanding,
                health.latency_factor(now),
            )
        )

    def replied(self, now: float, handle: ReplicaHandle, verdict: ReplyClass, status: int) -> None:
        """Record a complete reply."""
        replica = handle.replica
        self.steps.append(Step(now, StepKind.REPLIED, verdict, replica.service, replica.id, status))

    def record_end(self, now: float, handle: ReplicaHandle, end: ExchangeFailure) -> None:
        """Record the end of an attempt without a reply."""
        replica = handle.replica
        self.steps.append(
            Step(now, StepKind.ENDED, end.kind, replica.service, replica.id, end.detail)
        )

    def record_loss(self, now: float, service: str, reason: GiveUpReason) -> None:
        """Record that a service will not answer."""
        self.steps.append(Step(now, StepKind.LOST, reason, service))

    def text(self) -> str:
        """Return the steps as written to the log: `<ms> <step>` joined by "; "."""
        return "; ".join(map(self._step_text, self.steps))

    def _step_text(self, step: Step) -> str:
        at = f"{(step.at - self._started) * 1000:.1f}"
        if step.kind is StepKind.SENT:
            return f"{at} {step.label} {step.replica} out={step.load} pace={step.pace:.1f}"
        if step.kind is StepKind.LOST:
            return f"{at} given up {step.service} {step.label}"
        return f"{at} {step.label} {step.replica} {step.detail}"
