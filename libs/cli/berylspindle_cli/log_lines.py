"""Read the daemons' JSON lines, and find in them why one request failed.

Terms:
  line      one JSON object of a daemon's log; whatever stands before its first brace is passed over
  context   lines of the same VM before the request's end that tell what the VM went by: the
            replicas that the request names, routing tables, the store, the network, the shutdown

Flow: `read_lines` takes any text; `explain_request` puts the lines of one request in the order of
their stamps, finds its cause, and adds the context.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

import attrs

from berylspindle_model import codec
from berylspindle_model.causes import CAUSES, Cause, CauseText
from berylspindle_model.stamps import Stamp

CONTEXT_MS: Final = 15_000
"""Milliseconds before a request's line whose other lines may have to do with it: as long as a VM
that is gone is still counted, and longer than a shutdown."""

MOST_CONTEXT: Final = 20
REQUEST_CHANNEL: Final = "request"
_INPUTS: Final = (
    "result",
    "run_state",
    "ms",
    "left_ms",
    "aim_ms",
    "usual_ms",
    "table_wait_ms",
    "table",
    "vms",
    "in_flight",
    "extra_left",
    "cut_off",
    "asked",
    "detail",
)


@attrs.frozen
class LogLine:
    """One line of a daemon's log."""

    stamp: int
    vm: str
    channel: str
    message: str
    fields: dict[str, Any]

    @property
    def at(self) -> Stamp:
        """Return the line's stamp."""
        return Stamp.unpack(self.stamp)


@attrs.frozen(kw_only=True)
class RequestEnd:
    """How one request ended, as its line tells it. `cause` is None for one that was in time."""

    line: LogLine
    cause: Cause | None
    text: CauseText | None
    inputs: dict[str, Any]
    steps: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Explanation:
    """All that the logs hold of one request."""

    ends: tuple[RequestEnd, ...]
    context: tuple[LogLine, ...]


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the lines that are a daemon's, in the order of their stamps."""
    found = [line for line in map(_line, texts) if line is not None]
    found.sort(key=lambda line: line.stamp)
    return found


def explain_request(lines: list[LogLine], request: str) -> Explanation:
    """Return what the lines tell of a request; nothing where they don't name it."""
    own = [
        line
        for line in lines
        if line.channel == REQUEST_CHANNEL and line.fields.get("request") == request
    ]
    ends = tuple(map(_end, own))
    context: list[LogLine] = []
    for end in ends:
        context += [line for line in lines if _has_to_do(line, end)]
    return Explanation(ends=ends, context=tuple(context[-MOST_CONTEXT:]))


def _line(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = codec.from_json(text[start:].strip().encode(), dict[str, Any])
    except codec.MalformedError:
        # Whatever else stands in the file, such as a line that was cut.
        return None
    try:
        return LogLine(
            int(fields.pop("stamp", 0)),
            str(fields.pop("vm")),
            str(fields.pop("channel")),
            str(fields.pop("message")),
            fields,
        )
    except (KeyError, ValueError):
        return None


def _end(line: LogLine) -> RequestEnd:
    told = line.fields.get("cause")
    cause = Cause(told) if told in set(Cause) else None
    return RequestEnd(
        line=line,
        cause=cause,
        text=CAUSES[cause] if cause is not None else None,
        inputs={name: line.fields[name] for name in _INPUTS if name in line.fields},
        steps=tuple(step for step in str(line.fields.get("steps", "")).split("; ") if step),
    )


def _has_to_do(line: LogLine, end: RequestEnd) -> bool:
    if line.vm != end.line.vm or line.channel == REQUEST_CHANNEL:
        return False
    if not 0 <= end.line.at.millis - line.at.millis <= CONTEXT_MS or line.stamp > end.line.stamp:
        return False
    replica = line.fields.get("replica")
    return replica is None or any(str(replica) in step for step in end.steps)
