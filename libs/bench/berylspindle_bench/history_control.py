"""Checkers of daemons: graceful shutdown, and propagation of configuration revisions.

Terms:
  interrupted  a request without an outcome, or one that failed because of a daemon's shutdown

Flow: signals and exit codes come from the run, adoptions from the event timelines of daemons, and
confirmations from the clients of operators. Propagation is not checked for daemons that were paused
or not yet started when a revision was confirmed.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise
from typing import Final

from berylspindle_bench.history_checks import Bounds, Checker, Violation
from berylspindle_bench.history_records import (
    Adoption,
    Confirmed,
    History,
    Life,
    OutcomeKind,
    StepKind,
    Try,
)
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_standins.call_log import CallStep

# Errors that a caller gets if the daemon that it called interrupts the request by its shutdown.
_INTERRUPTION_KINDS: Final = frozenset(
    {ErrorKind.CONNECTION_LOST, ErrorKind.CANCELLED, ErrorKind.SHUTTING_DOWN, ErrorKind.INTERNAL}
)


# Errors that a caller of another daemon gets if the shutdown interrupts a sub-request.
_REMOTE_INTERRUPTION_KINDS: Final = frozenset(
    {ErrorKind.CONNECTION_LOST, ErrorKind.CANCELLED, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.INTERNAL}
)


class GracefulShutdown(Checker):
    """Check that a daemon that gets SIGTERM interrupts no request and exits with code 0."""

    guarantee = "a graceful shutdown interrupts no request"

    def find(self, history: History) -> Iterator[Violation]:
        """Yield exit codes other than 0, and requests that a shutdown interrupted."""
        last_tries = {try_.request: try_ for try_ in history.tries}
        for life in history.lives:
            if life.terminated is None or life.end is None:
                continue
            if life.exit_code != 0:
                yield self.violation(
                    history,
                    f"{life.vm} exited with code {life.exit_code}",
                    vm=life.vm,
                    around=life.end,
                )
            only_shutdowns = _only_shutdowns(history)
            for try_ in history.tries:
                if not _overlaps(try_, life):
                    continue
                interrupted_here = try_.vm == life.vm and _is_interrupted(try_, last_tries, history)
                if interrupted_here or (only_shutdowns and _is_interrupted_remotely(try_)):
                    description = f"{try_.text!r} was interrupted by the shutdown of {life.vm}"
                    yield self.violation(history, description, text=try_.text)


class RevisionPropagation(Checker):
    """Check that a confirmed revision is in force everywhere within the bound and never reverts."""

    guarantee = "an accepted configuration is in force everywhere within seconds and never reverts"

    def __init__(self, bounds: Bounds) -> None:
        self._bounds: Final = bounds

    def find(self, history: History) -> Iterator[Violation]:
        """Yield reverted, lost and duplicate revisions, and daemons that adopt one too late."""
        by_vm: dict[str, list[Adoption]] = defaultdict(list)
        for adoption in sorted(history.adoptions, key=lambda a: (a.vm_id, a.sequence)):
            by_vm[adoption.vm_id].append(adoption)
        yield from self._reverted_revisions(history, by_vm)
        yield from self._lost_revisions(history)
        for life in history.lives:
            for confirmed in history.confirmed:
                if _misses_bound(history, life, confirmed, by_vm[life.vm_id], self._bounds):
                    description = (
                        f"{life.vm_id} did not adopt revision {confirmed.revision} within "
                    )
                    description += f"{self._bounds.in_force:.0f} s"
                    yield self.violation(history, description, around=confirmed.wall)

    def _reverted_revisions(
        self, history: History, by_vm: dict[str, list[Adoption]]
    ) -> Iterator[Violation]:
        for vm_id, adoptions in by_vm.items():
            for before, after in pairwise(adoptions):
                if after.revision <= before.revision:
                    description = (
                        f"{vm_id} went from revision {before.revision} to {after.revision}"
                    )
                    yield self.violation(history, description, around=after.wall)

    def _lost_revisions(self, history: History) -> Iterator[Violation]:
        plans: dict[int, str] = {}
        kept = {r.id: r.revision for r in history.final.intents} if history.final else None
        for confirmed in history.confirmed:
            if plans.setdefault(confirmed.revision, confirmed.plan) != confirmed.plan:
                description = f"revision {confirmed.revision} was confirmed for two plans"
                yield self.violation(history, description, around=confirmed.wall)
            elif kept is not None and kept.get(confirmed.plan) != confirmed.revision:
                description = (
                    f"the store has lost the plan confirmed at revision {confirmed.revision}"
                )
                yield self.violation(history, description, around=confirmed.wall)


def _overlaps(try_: Try, life: Life) -> bool:
    if life.terminated is None or life.end is None:
        return False
    return try_.start <= life.end and try_.end >= life.terminated


def _is_interrupted(try_: Try, last_tries: dict[int, Try], history: History) -> bool:
    """Return whether the shutdown of the called daemon left the caller without an outcome.

    An unknown outcome always counts. After "not run" a caller retries at another daemon, so that
    other failures count only for the last try of a request. Even then "not run" is no interruption
    if another daemon refused the request for a reason other than a shutdown, such as a claim in
    progress or an unavailable store.
    """
    if try_.told is OutcomeKind.UNKNOWN:
        return True
    if last_tries[try_.request] is not try_:
        return False
    not_run = try_.refused is not None and try_.refused.run is RunState.NOT_RUN
    if not_run and any(
        _gives_another_reason(other)
        for other in history.tries
        if _is_same_request_elsewhere(try_, other)
    ):
        return False
    return try_.told is OutcomeKind.UNREACHABLE or (
        try_.refused is not None and try_.refused.kind in _INTERRUPTION_KINDS
    )


def _is_same_request_elsewhere(try_: Try, other: Try) -> bool:
    return other.request == try_.request and other.vm != try_.vm


def _gives_another_reason(try_: Try) -> bool:
    return try_.refused is not None and try_.refused.kind not in _INTERRUPTION_KINDS


def _is_interrupted_remotely(try_: Try) -> bool:
    return try_.refused is not None and try_.refused.kind in _REMOTE_INTERRUPTION_KINDS


def _only_shutdowns(history: History) -> bool:
    """Return whether only shutdowns can have broken connections in this run."""
    harmless = {StepKind.TERMINATED, StepKind.RESTARTED, StepKind.TAKEN_OUT, StepKind.RETURNING}
    crashed = any(call.step is CallStep.CRASHED for call in history.calls)
    return not crashed and all(step.kind in harmless for step in history.steps)


def _misses_bound(
    history: History, life: Life, confirmed: Confirmed, adoptions: list[Adoption], bounds: Bounds
) -> bool:
    due = confirmed.wall + bounds.in_force
    if life.start > confirmed.wall or (life.end is not None and life.end < due):
        return False
    if not _recorded_until(history, due) or _paused(history, life, confirmed.wall, due):
        return False
    return not any(a.revision >= confirmed.revision and a.wall <= due for a in adoptions)


def _recorded_until(history: History, wall: float) -> bool:
    """Return whether the history covers a wall time; nothing is recorded after the last try."""
    return any(try_.end >= wall for try_ in history.tries)


def _paused(history: History, life: Life, begin: float, end: float) -> bool:
    kinds = (StepKind.PAUSED, StepKind.RESUMED)
    return any(
        step.kind in kinds and step.subject == life.vm and begin - 10 <= step.wall <= end
        for step in history.steps
    )
