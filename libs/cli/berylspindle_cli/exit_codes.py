"""The exit codes of the operators' tool, and their mapping from failures.

Flow: a command prints its result and returns an `ExitCode`, from which a script can decide what to
do next. docs/OPERATIONS.md lists the codes.
"""

from __future__ import annotations

import enum
from typing import Final

from berylspindle_client.outcomes import Failure, Refused, Unreachable
from berylspindle_model.errors import ErrorKind, RunState


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    """Done."""

    REFUSED = 1
    """A daemon refused the request; nothing was changed and nothing ran."""

    USAGE = 2
    """A flag, an environment variable or a file is invalid; no daemon was contacted."""

    UNREACHABLE = 3
    """No daemon could be reached; nothing ran."""

    CONFLICT = 4
    """The plan is stale or conflicts with another operator's change: plan again."""

    UNSAFE = 5
    """The plan would violate a guarantee; it needs an explicit override."""

    UNKNOWN = 6
    """The request may have run: query the outcome, or confirm the same plan again."""

    INCOMPLETE = 7
    """The answer is partial: VMs lag or did not answer, or shards are missing."""

    DIFFERENT = 8
    """The compared configurations differ."""


_CONFLICTS: Final = frozenset({ErrorKind.STALE_PLAN, ErrorKind.KEY_REUSED, ErrorKind.IN_PROGRESS})


def exit_code_of(failure: Failure) -> ExitCode:
    """Return the exit code for a failed call."""
    if isinstance(failure, Unreachable):
        return ExitCode.UNREACHABLE
    if not isinstance(failure, Refused):
        return ExitCode.UNKNOWN
    if failure.kind in _CONFLICTS:
        return ExitCode.CONFLICT
    if failure.kind is ErrorKind.UNSAFE_PLAN:
        return ExitCode.UNSAFE
    if failure.run is RunState.MAY_HAVE_RUN:
        return ExitCode.UNKNOWN
    return ExitCode.REFUSED
