"""An ordered, bounded log of events at stand-in backend servers, as ground truth for checkers.

Terms:
  step    one event of a call or of a server
  text    the query of a search or the idempotency key of an execute

Flow: all servers of a process write to one `CallLog`, so that steps are in the order of the
events; `GET /calls` returns them. A full log drops the oldest steps and reports their number.
"""

from __future__ import annotations

import collections
import enum
import itertools
import time
from typing import Final

import attrs

# A run of a few seconds logs some thousand steps; the limit bounds memory in runs of minutes.
MAX_STEPS: Final = 50_000


class CallStep(enum.StrEnum):
    """The kind of a step.

    ADMITTED to OVERRUN concern one call, the others the server. A call is ADMITTED when it passes
    admission, STARTED when it holds a slot, and then FINISHED or STOPPED. OVERRUN is a call beyond
    the capacity of a cold server, which crashes the server (`CRASHED`).
    """

    ADMITTED = "admitted"
    STARTED = "started"
    FINISHED = "finished"
    STOPPED = "stopped"
    REFUSED = "refused"
    OVERRUN = "overrun"
    CRASHED = "fell"
    TURNED_COLD = "turned_cold"
    TURNED_WARM = "turned_warm"
    DRAIN = "drain"
    DRAIN_ENDED = "drain_ended"
    PUBLISHED = "published"


@attrs.frozen(kw_only=True)
class LoggedStep:
    """One step.

    Attributes:
        sequence: number of the step within the process, from 1.
        wall: wall-clock time in seconds.
        text: query of a search or idempotency key of an execute.
        in_flight: calls running or queued at the server, including this one.
        cold: whether the server was cold.
        detail: reason of a refusal, or the published snapshot.
    """

    sequence: int
    wall: float
    server: str
    step: CallStep
    attempt: str = ""
    text: str = ""
    execute: bool = False
    in_flight: int = 0
    cold: bool = False
    detail: str = ""


@attrs.frozen(kw_only=True)
class CallsDocument:
    """Body of GET /calls; `dropped` is the number of steps that the log has dropped."""

    dropped: int
    steps: tuple[LoggedStep, ...]


class CallLog:
    """The most recent steps of all servers of one process."""

    def __init__(self, max_steps: int = MAX_STEPS) -> None:
        self._steps: Final[collections.deque[LoggedStep]] = collections.deque(maxlen=max_steps)
        self._sequence: Final = itertools.count(1)

    def add(
        self,
        server: str,
        step: CallStep,
        *,
        attempt: str = "",
        text: str = "",
        execute: bool = False,
        in_flight: int = 0,
        cold: bool = False,
        detail: str = "",
    ) -> None:
        """Append a step with the current wall-clock time."""
        self._steps.append(
            LoggedStep(
                sequence=next(self._sequence),
                wall=time.time(),
                server=server,
                step=step,
                attempt=attempt,
                text=text,
                execute=execute,
                in_flight=in_flight,
                cold=cold,
                detail=detail,
            )
        )

    def document(self) -> CallsDocument:
        """Return the logged steps, oldest first."""
        steps = tuple(self._steps)
        return CallsDocument(dropped=steps[0].sequence - 1 if steps else 0, steps=steps)
