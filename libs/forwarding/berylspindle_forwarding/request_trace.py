"""Trace of one request: each attempt, its end and each shard given up.

Terms:
  step   one decision or one thing learned: an attempt that went out, how one ended, a shard lost

Flow: `scatter_gather` notes the steps of a request, which costs an append each; they are written
out only for requests that the log tells of in full. `failure_cause` finds in them why a request
failed.
"""

from __future__ import annotations

import enum
from typing import Final, NamedTuple

from berylspindle_decisions.hedged_request import LossReason
from berylspindle_forwarding.replica_registry import ReplicaHandle
from berylspindle_forwarding.reply_check import ReplyClass
from berylspindle_wire.exchange import EndKind, ExchangeEnd


class StepKind(enum.Enum):
    """What a step is; the words of the log are `Step.what`."""

    SENT = "sent"
    REPLIED = "replied"
    ENDED = "ended"
    LOST = "lost"


class Step(NamedTuple):
    """One step. A tuple, for some forty are noted for each request over ten shards.

    `what` is the reason of an attempt, the class of a reply, the kind of an end or why a shard is
    lost. `load` and `pace` are what this VM held of a replica when it sent: attempts that were out,
    and its latency over the usual one.
    """

    at: float
    kind: StepKind
    what: str | ReplyClass | EndKind | LossReason
    service: str
    replica: str = ""
    detail: str | int = ""
    load: int = 0
    pace: float = 0.0


class RequestTrace:
    """The steps of one request; times are milliseconds since it came."""

    __slots__ = ("_started", "cut_off", "extras", "merger", "pressed", "steps")

    def __init__(self, started: float) -> None:
        self._started: Final = started
        self.steps: list[Step] = []
        self.extras = 0
        self.cut_off = False
        self.pressed = False
        self.merger = ""

    def sent(self, now: float, handle: ReplicaHandle, reason: str) -> None:
        """Note an attempt that goes out, and what this VM held of the replica."""
        if reason != "first":
            self.extras += 1
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
                health.pace(now),
            )
        )

    def replied(self, now: float, handle: ReplicaHandle, verdict: ReplyClass, status: int) -> None:
        """Note a whole reply."""
        replica = handle.replica
        self.steps.append(Step(now, StepKind.REPLIED, verdict, replica.service, replica.id, status))

    def ended(self, now: float, handle: ReplicaHandle, end: ExchangeEnd) -> None:
        """Note an attempt without a reply."""
        replica = handle.replica
        self.steps.append(
            Step(now, StepKind.ENDED, end.kind, replica.service, replica.id, end.detail)
        )

    def lost(self, now: float, service: str, reason: LossReason) -> None:
        """Note a service that gives no answer."""
        self.steps.append(Step(now, StepKind.LOST, reason, service))

    def told(self) -> str:
        """Return all steps as one text."""
        return "; ".join(map(self._text, self.steps))

    def _text(self, step: Step) -> str:
        at = f"{(step.at - self._started) * 1000:.1f}"
        if step.kind is StepKind.SENT:
            return f"{at} {step.what} {step.replica} out={step.load} pace={step.pace:.1f}"
        if step.kind is StepKind.LOST:
            return f"{at} given up {step.service} {step.what}"
        return f"{at} {step.what} {step.replica} {step.detail}"
