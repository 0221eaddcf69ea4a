"""Base class of history checkers, and timelines of the violations that they find.

Terms:
  guarantee   a property that every history must have
  violation   one case in which a guarantee did not hold
  timeline    the tries, calls and steps about one request, server or daemon, in order of time

Flow: each `Checker` yields violations of one guarantee, and `timeline_of` selects the records that
explain a violation. Checkers compare order and counts and use generous time bounds, so that a slow
machine does not cause false violations.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from berylspindle_bench.history_records import History, Step, Try
from berylspindle_standins.call_log import LoggedStep

# A timeline includes the steps in this time span before its first record.
_STEP_LOOKBACK_S: Final = 6.0
_MAX_TIMELINE_LINES: Final = 40


@attrs.frozen(kw_only=True)
class Bounds:
    """Time bounds of guarantees, in seconds. "A few seconds" in a guarantee is at most 5 s.

    Attributes:
        take_out: from the confirmed intent to the last new work in that data centre.
        leaving: from the start of a drain or retirement to the last new work for that server.
        in_force: from the confirmation of a revision until every running daemon has adopted it.
    """

    take_out: float = 3.0
    leaving: float = 3.0
    in_force: float = 5.0


@attrs.frozen(kw_only=True)
class Violation:
    """One case in which a guarantee did not hold."""

    guarantee: str
    description: str
    timeline: tuple[str, ...] = ()

    def __str__(self) -> str:
        lines = (
            f"VIOLATED: {self.guarantee}",
            f"  {self.description}",
            *(f"  {each}" for each in self.timeline),
        )
        return "\n".join(lines)


class Checker(ABC):
    """Check one guarantee on a history."""

    guarantee: str

    @abstractmethod
    def find(self, history: History) -> Iterator[Violation]:
        """Yield every violation of the guarantee."""

    def violation(
        self,
        history: History,
        description: str,
        *,
        text: str = "",
        server: str = "",
        vm: str = "",
        around: float | None = None,
    ) -> Violation:
        """Return a violation with the timeline of a request, a server or a daemon."""
        timeline = timeline_of(history, text=text, server=server, vm=vm, around=around)
        return Violation(guarantee=self.guarantee, description=description, timeline=timeline)


def timeline_of(
    history: History,
    *,
    text: str = "",
    server: str = "",
    vm: str = "",
    around: float | None = None,
) -> tuple[str, ...]:
    """Return the lines about a request's text, a server or a daemon, in order of time.

    If `around` is given, only tries and calls within 1 s of that wall time are included. Steps are
    included from 6 s before the first of these lines to 1 s after the last.
    """
    lines = [*_try_lines(history, text, vm), *_call_lines(history, text, server)]
    if around is not None:
        lines = [line for line in lines if abs(line[0] - around) <= 1.0]
    walls = [wall for wall, _ in lines] or [around if around is not None else history.start]
    first, last = min(walls), max(walls)
    lines += [
        (step.wall, _step_line(step))
        for step in history.steps
        if first - _STEP_LOOKBACK_S <= step.wall <= last + 1.0
    ]
    start = history.start
    timeline = [f"{(wall - start) * 1000:9.1f} ms  {line}" for wall, line in sorted(lines)]
    return tuple(
        timeline
        if len(timeline) <= _MAX_TIMELINE_LINES
        else [*timeline[:_MAX_TIMELINE_LINES], "..."]
    )


def _try_lines(history: History, text: str, vm: str) -> Iterable[tuple[float, str]]:
    for try_ in history.tries:
        if (text and try_.text == text) or (vm and try_.vm == vm):
            kind = "execute" if try_.is_execute else "search"
            yield try_.start, f"caller sends {kind} {try_.text!r} to {try_.vm}"
            yield try_.end, f"caller gets {_outcome(try_)} for {try_.text!r} from {try_.vm}"


def _outcome(try_: Try) -> str:
    if try_.refused is not None:
        refused = try_.refused
        return f"{refused.kind.value} ({refused.run.value}) {refused.detail}".rstrip()
    if try_.answer is not None:
        return f"an answer at {try_.answer.snapshot}, {try_.answer.coverage}"
    if try_.executed is not None:
        again = "the repeated" if try_.executed.repeated else "the"
        return f"{again} outcome of {try_.executed.key} from {try_.executed.server}"
    return f"{try_.told.value}: {try_.detail}"


def _call_lines(history: History, text: str, server: str) -> Iterable[tuple[float, str]]:
    for call in history.calls:
        if (text and call.text == text) or (server and call.server == server):
            yield call.wall, _call_line(call)


def _call_line(call: LoggedStep) -> str:
    about = f" {call.text!r} attempt {call.attempt}" if call.attempt else ""
    state = f" [{call.in_flight} in flight{', cold' if call.cold else ''}]"
    return f"{call.server}: {call.step.value}{about}{state} {call.detail}".rstrip()


def _step_line(step: Step) -> str:
    return f"-- {step.fault}: {step.kind.value} {step.subject} {step.detail}".rstrip()
