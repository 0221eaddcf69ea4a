"""Shared dependencies of the server workers of one VM, and the queued attempt.

Terms:
  queued   an attempt at its owner, from its arrival to its reply
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_dataplane.router import OnReply
from berylspindle_decisions.deadlines import Deadlines
from berylspindle_decisions.fair_queue import FairQueueOptions
from berylspindle_decisions.ownership import DispatchRights
from berylspindle_decisions.quarantine import Quarantine
from berylspindle_model.messages import Attempt
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.timeline import Timeline


@attrs.frozen(kw_only=True)
class WorkerContext:
    """Shared dependencies of all server workers of one VM.

    `quarantine` belongs to the owner: it records requests that crashed backend servers of this VM.
    """

    rights: DispatchRights
    metrics: Metrics
    timeline: Timeline
    now: Callable[[], float]
    deadlines: Deadlines
    queue: FairQueueOptions
    quarantine: Quarantine = attrs.field(factory=Quarantine)


# Hits that a shard returns for an ordinary page: the page and one more. At a depth of about 400
# hits the cost reaches 4, from which on the fair queue treats an attempt as long-running.
ORDINARY_HITS: Final = 101


@attrs.define(eq=False)
class QueuedAttempt:
    """An attempt at its owner; `deadline` and `enqueued_at` are in monotonic seconds."""

    attempt: Attempt
    caller: str
    deadline: float
    on_reply: OnReply
    enqueued_at: float
    fingerprint: str = ""
    is_canary: bool = False
    task: asyncio.Task[None] | None = None
    abandoned: bool = False
    is_long: bool = False

    @property
    def cost(self) -> float:
        """Return the expected work at the server, relative to an ordinary page.

        A shard sorts and sends all hits up to the end of the requested page, so a deep page is
        expensive. The cost of an execute is not known here; it counts as 1.
        """
        return max(1.0, self.attempt.limit / ORDINARY_HITS)
