"""The list of all checkers, and the verdict on one history.

Flow: `judge` runs every checker and returns the violations. A history without answers or with
dropped records cannot show that the guarantees hold and is reported as a violation.
"""

from __future__ import annotations

from typing import Final

from berylspindle_bench.history_answers import (
    AnswerIntegrity,
    CoverageAccuracy,
    SnapshotConsistency,
)
from berylspindle_bench.history_checks import Bounds, Checker, Violation
from berylspindle_bench.history_control import GracefulShutdown, RevisionPropagation
from berylspindle_bench.history_records import History, OutcomeKind
from berylspindle_bench.history_work import (
    AtMostOnce,
    ColdStartLimit,
    NotRunAccuracy,
    NoWorkAfterTakeOut,
    NoWorkWhileLeaving,
)

COMPLETE_HISTORY: Final = "the history is complete and contains an answer"


def checkers(bounds: Bounds | None = None) -> tuple[Checker, ...]:
    """Return one checker for each guarantee."""
    limits = bounds if bounds is not None else Bounds()
    return (
        SnapshotConsistency(),
        CoverageAccuracy(),
        ColdStartLimit(),
        NoWorkAfterTakeOut(limits),
        AnswerIntegrity(),
        NotRunAccuracy(),
        AtMostOnce(),
        NoWorkWhileLeaving(limits),
        GracefulShutdown(),
        RevisionPropagation(limits),
    )


def judge(history: History, bounds: Bounds | None = None) -> tuple[Violation, ...]:
    """Return all violations that the checkers find in a history."""
    found = [each for checker in checkers(bounds) for each in checker.find(history)]
    answered = sum(one.told is OutcomeKind.ANSWER for one in history.tries)
    if not answered or history.dropped:
        description = f"{answered} answers, {history.dropped} records dropped"
        found.append(Violation(guarantee=COMPLETE_HISTORY, description=description))
    return tuple(found)
