"""A part of a search that another VM merges, and what its answer means."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_wire.http import HttpResponse

SubsetOutcome = HttpResponse | Refusal | None


@attrs.frozen(kw_only=True)
class SubsetCall:
    """Shards that another VM merges, and the call that asks it.

    The call returns its answer or a refusal; None where it has surely not begun.
    """

    positions: tuple[int, ...]
    send: Callable[[], Coroutine[Any, Any, SubsetOutcome]]


def refusal_of(response: HttpResponse) -> Refusal:
    """Return the refusal that another VM has answered, with its time to come back."""
    seconds = dict(response.raw_headers).get(b"retry-after", b"")
    try:
        retry_after_ms = int(float(seconds) * 1000)
    except ValueError:
        retry_after_ms = None
    return Refusal(
        ErrorKind.OVERLOADED,
        "the merger of a subset refused it",
        RunState.NOT_RUN,
        retry_after_ms=retry_after_ms,
    )
