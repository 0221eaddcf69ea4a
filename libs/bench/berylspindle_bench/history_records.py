"""The records of the history of one run, and their encoding as JSON lines.

Terms:
  try       one request sent to one daemon by one caller; after the outcome "not run" the caller
            retries at another daemon, which is the next try of the same request
  step      one action on the system: a fault changed, a signal sent, an intent confirmed
  life      the lifetime of one daemon process; a restarted daemon has a new one
  wall      seconds of the wall clock of this machine, which all processes of a run share

Flow: the callers of a run record tries and its faults record steps. The run adds the logs of the
stand-ins and the event timelines of daemons. `write_history` writes one record per line, with the
name of its class.
"""

from __future__ import annotations

import enum
from pathlib import Path

import attrs

from berylspindle_client.outcomes import Refused
from berylspindle_model import codec
from berylspindle_model.configuration import Configuration
from berylspindle_model.errors import RunState
from berylspindle_model.messages import ExecuteAnswer, SearchAnswer
from berylspindle_standins.call_log import LoggedStep


class OutcomeKind(enum.StrEnum):
    """Kind of the outcome of a try."""

    ANSWER = "answer"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Try:
    """One try and its outcome at the caller.

    Attributes:
        request: number of the request in the run, shared by all its tries.
        vm: name of the daemon that the request was sent to.
        text: the query, usually unique to the try, or the idempotency key.
        told: kind of the outcome.
        shard: shard of an execute; empty for a search.
        offset: number of hits before the requested page.
        detail: error of the client if the outcome is UNREACHABLE or UNKNOWN.
    """

    request: int
    vm: str
    service: str
    text: str
    start: float
    end: float
    told: OutcomeKind
    request_id: str = ""
    shard: str = ""
    limit: int = 10
    offset: int = 0
    answer: SearchAnswer | None = None
    executed: ExecuteAnswer | None = None
    refused: Refused | None = None
    detail: str = ""

    @property
    def is_execute(self) -> bool:
        """Return whether the request is an execute, which is not idempotent."""
        return bool(self.shard)

    @property
    def not_run(self) -> bool:
        """Return whether the caller knows that the request did not run."""
        if self.refused is not None:
            return self.refused.run is RunState.NOT_RUN
        return self.told is OutcomeKind.UNREACHABLE


class StepKind(enum.StrEnum):
    """Kind of action on the system; SWITCHED and CLEARED change faults of the stand-ins."""

    SWITCHED = "switched"
    CLEARED = "cleared"
    TAKEN_OUT = "taken_out"
    RETURNING = "returning"
    RETIRED = "retired"
    TERMINATED = "terminated"
    KILLED = "killed"
    PAUSED = "paused"
    RESUMED = "resumed"
    RESTARTED = "restarted"


@attrs.frozen(kw_only=True)
class Step:
    """One action on the system.

    Attributes:
        begun: when the confirm of an intent was sent; `wall` is when its reply arrived. Another
            operator may have reverted the intent in between.
        subject: the affected data centre, server or daemon, if any.
    """

    wall: float
    begun: float = 0.0
    fault: str
    kind: StepKind
    subject: str = ""
    detail: str = ""


@attrs.frozen(kw_only=True)
class Life:
    """The lifetime of one daemon process; `exit_code` is None while it runs.

    `terminated` is when it got SIGTERM, or None if it did not.
    """

    vm: str
    vm_id: str
    start: float
    end: float | None = None
    exit_code: int | None = None
    terminated: float | None = None


@attrs.frozen(kw_only=True)
class Adoption:
    """The adoption of a configuration revision by a daemon."""

    vm_id: str
    sequence: int
    wall: float
    revision: int


@attrs.frozen(kw_only=True)
class Confirmed:
    """A confirmation received by an operator."""

    wall: float
    plan: str
    revision: int
    operator: str = ""
    detail: str = ""


@attrs.frozen(kw_only=True)
class History:
    """All records of one run, each kind in order of time.

    Attributes:
        configuration: the configuration at the start of the run.
        final: the configuration in the store at the end, or None if unknown.
        dropped: number of log entries of stand-ins and of timeline events that are missing.
    """

    configuration: Configuration
    final: Configuration | None = None
    tries: tuple[Try, ...] = ()
    calls: tuple[LoggedStep, ...] = ()
    steps: tuple[Step, ...] = ()
    lives: tuple[Life, ...] = ()
    adoptions: tuple[Adoption, ...] = ()
    confirmed: tuple[Confirmed, ...] = ()
    dropped: int = 0

    @property
    def start(self) -> float:
        """Return the wall time of the first try or step; 0 without any."""
        walls = [one.start for one in self.tries] + [one.wall for one in self.steps]
        return min(walls, default=0.0)


@attrs.frozen(kw_only=True)
class HistoryLine:
    """One line of the file: a record and the name of its class."""

    record: str
    value: object


def write_history(history: History, path: Path) -> None:
    """Write the history as JSON lines, grouped by kind of record."""
    path.parent.mkdir(parents=True, exist_ok=True)
    records: list[object] = [history.configuration]
    for part in ("steps", "lives", "adoptions", "confirmed", "tries", "calls"):
        records += getattr(history, part)
    lines = [codec.to_json(HistoryLine(record=type(each).__name__, value=each)) for each in records]
    path.write_bytes(b"\n".join(lines) + b"\n")
