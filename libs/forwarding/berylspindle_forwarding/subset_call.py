"""Describe the call that asks another VM to merge a subset of a search."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_wire.http import HttpResponse

SubsetOutcome = HttpResponse | Refusal | None


@attrs.frozen(kw_only=True)
class SubsetCall:
    """Positions of the shards that another VM merges, and the call to it.

    `send` returns the response or a refusal, or None if the VM has certainly not begun.
    """

    positions: tuple[int, ...]
    send: Callable[[], Coroutine[Any, Any, SubsetOutcome]]


def refusal_of(response: HttpResponse) -> Refusal:
    """Return the refusal of another VM, with its retry-after."""
    seconds = dict(response.raw_headers).get(b"retry-after", b"")
    try:
        retry_after_ms = int(float(seconds) * 1000)
    except (ValueError, OverflowError):
        retry_after_ms = None
    return Refusal(
        ErrorKind.OVERLOADED,
        "the VM merging a subset of the shards refused it",
        RunState.NOT_RUN,
        retry_after_ms=retry_after_ms,
    )
