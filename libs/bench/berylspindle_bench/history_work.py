"""Checkers of the work that reached backend servers, based on the call log of the stand-ins.

Terms:
  arrival   a call that reached a server, whether the server admitted or refused it

Flow: the call log is in order of time for each server. The checkers compare it with the outcomes of
tries, with the steps of faults, and with the slots of servers.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from berylspindle_bench.history_checks import Bounds, Checker, Violation
from berylspindle_bench.history_records import History, StepKind, Try
from berylspindle_model.backend_protocol import BackendError
from berylspindle_standins.call_log import CallStep, LoggedStep

_ARRIVAL_REFUSALS: Final = frozenset(
    {
        BackendError.SHED.value,
        BackendError.DRAINING.value,
        BackendError.COLD.value,
        BackendError.SNAPSHOT_GONE.value,
        BackendError.WRONG_SHARD.value,
    }
)


class ColdStartLimit(Checker):
    """Check that calls in flight at a server in a cold start do not exceed its cold slots."""

    guarantee = "a backend server in a cold start gets no more calls at once than its cold slots"

    def find(self, history: History) -> Iterator[Violation]:
        """Yield excess calls, except for those between an unannounced cold start and the crash.

        Callers cannot know of the cold start before the first excess call. That call crashes the
        server, which resets all connections and so signals the cold start to every sender.
        """
        slots = {server.id: server.cold_slots for server in history.configuration.servers}
        unannounced: set[str] = set()
        for call in history.calls:
            if call.step is CallStep.TURNED_COLD:
                unannounced.add(call.server)
            elif call.step in (CallStep.CRASHED, CallStep.TURNED_WARM):
                unannounced.discard(call.server)
            over_limit = call.step is CallStep.OVERRUN or (
                call.step is CallStep.ADMITTED
                and call.cold
                and call.in_flight > slots.get(call.server, call.in_flight)
            )
            if over_limit and call.server not in unannounced:
                description = f"{call.server} in a cold start got {call.in_flight} calls at once"
                yield self.violation(history, description, server=call.server, around=call.wall)


class NoWorkAfterTakeOut(Checker):
    """Check that a data centre that was taken out gets no new work after the bound."""

    guarantee = "a few seconds after operators take a data centre out, it gets no new work"

    def __init__(self, bounds: Bounds) -> None:
        self._bounds: Final = bounds

    def find(self, history: History) -> Iterator[Violation]:
        """Yield the first late arrival at each server in each period out of service."""
        place = {server.id: server.data_centre for server in history.configuration.servers}
        for step in history.steps:
            if step.kind is not StepKind.TAKEN_OUT:
                continue
            begin = step.wall + self._bounds.take_out
            end = _next_step(history, step.begun, StepKind.RETURNING, step.subject)
            late_arrivals = _first_arrivals(history, begin, end)
            for server, call in late_arrivals.items():
                if place.get(server) == step.subject:
                    description = (
                        f"{server} got work {call.wall - step.wall:.1f} s after its data centre"
                    )
                    description += f" {step.subject} was taken out"
                    yield self.violation(history, description, text=call.text)


class NoWorkWhileLeaving(Checker):
    """Check that a draining or retired backend server gets no new work after the bound."""

    guarantee = "a few seconds after a backend server starts leaving, it gets no new work"

    def __init__(self, bounds: Bounds) -> None:
        self._bounds: Final = bounds

    def find(self, history: History) -> Iterator[Violation]:
        """Yield the first late arrival at each server that drains or is retired."""
        for server, start, end in _leaving_spans(history):
            call = _first_arrivals(history, start + self._bounds.leaving, end).get(server)
            if call is not None:
                description = (
                    f"{server} got work {call.wall - start:.1f} s after its drain or retirement"
                )
                yield self.violation(history, description, text=call.text)


class NotRunAccuracy(Checker):
    """Check that requests refused as "not run" never started at a backend server."""

    guarantee = 'a refusal that says "not run" is true'

    def find(self, history: History) -> Iterator[Violation]:
        """Yield tries with the outcome "not run" that ran."""
        tries: dict[str, list[Try]] = defaultdict(list)
        for try_ in history.tries:
            tries[try_.text].append(try_)
        for text, calls in _started_by_text(history).items():
            # The log does not distinguish tries with the same text. A call must belong to a try
            # with an outcome other than "not run", so it can't precede the first such try.
            earliest_start = min(
                (try_.start for try_ in tries[text] if not try_.not_run), default=None
            )
            early = [call for call in calls if earliest_start is None or call.wall < earliest_start]
            if early and tries[text]:
                description = (
                    f"{text!r} ran on {early[0].server} although all tries so far got not run"
                )
                yield self.violation(history, description, text=text)


class AtMostOnce(Checker):
    """Check that a key starts at most once, and exactly once if a caller got its outcome."""

    guarantee = "a non-idempotent request runs at most once"

    def find(self, history: History) -> Iterator[Violation]:
        """Yield keys that ran more than once, and outcomes from servers that did not run them."""
        started = {
            text: [call for call in calls if call.execute]
            for text, calls in _started_by_text(history).items()
        }
        for key, calls in started.items():
            if len(calls) > 1:
                servers = ", ".join(call.server for call in calls)
                yield self.violation(history, f"{key!r} ran on {servers}", text=key)
        for try_ in history.tries:
            if try_.executed is None:
                continue
            ran_on = {call.server for call in started.get(try_.text, [])}
            if try_.executed.server not in ran_on:
                description = (
                    f"{try_.text!r} did not run on {try_.executed.server}, "
                    "the server that its outcome names"
                )
                yield self.violation(history, description, text=try_.text)


def _leaving_spans(history: History) -> Iterator[tuple[str, float, float]]:
    for call in history.calls:
        if call.step is CallStep.DRAIN:
            ends = (
                c.wall
                for c in history.calls
                if c.server == call.server
                and c.sequence > call.sequence
                and c.step in (CallStep.DRAIN_ENDED, CallStep.CRASHED)
            )
            yield call.server, call.wall, next(ends, float("inf"))
    for step in history.steps:
        if step.kind is StepKind.RETIRED:
            yield step.subject, step.wall, float("inf")


def _next_step(history: History, after: float, kind: StepKind, subject: str) -> float:
    walls = [s.wall for s in history.steps if s.kind is kind and s.subject == subject]
    return min((wall for wall in walls if wall >= after), default=float("inf"))


def _first_arrivals(history: History, begin: float, end: float) -> dict[str, LoggedStep]:
    first: dict[str, LoggedStep] = {}
    for call in history.calls:
        if begin < call.wall < end and _is_arrival(call):
            first.setdefault(call.server, call)
    return first


def _is_arrival(call: LoggedStep) -> bool:
    if call.step is CallStep.REFUSED:
        return call.detail in _ARRIVAL_REFUSALS
    return call.step in (CallStep.ADMITTED, CallStep.OVERRUN)


def _started_by_text(history: History) -> dict[str, list[LoggedStep]]:
    started: dict[str, list[LoggedStep]] = defaultdict(list)
    for call in history.calls:
        if call.step is CallStep.STARTED:
            started[call.text].append(call)
    return started
