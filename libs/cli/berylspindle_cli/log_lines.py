"""Parse the daemons' JSON log lines and extract the cause of one request's failure.

Terms:
  line      one JSON object of a daemon's log; text before its first brace is ignored
  context   earlier lines of the same VM that show its state at the end of the request: replicas
            that the steps of the request name, routing tables, store, network, shutdown

Flow: `read_lines` parses any text and sorts the lines by stamp; `explain_request` selects the lines
of one request, extracts their causes, and adds the context.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

import attrs

from berylspindle_model import codec
from berylspindle_model.causes import CAUSES, Cause, CauseText
from berylspindle_model.stamps import Stamp

CONTEXT_WINDOW_MS: Final = 15_000
"""Length of the context before a request's line, in milliseconds: the time for which a lost VM
still counts as a member, and longer than a shutdown."""

MAX_CONTEXT_LINES: Final = 20
REQUEST_CHANNEL: Final = "request"
_INPUT_FIELDS: Final = (
    "result",
    "run_state",
    "organisation",
    "rate",
    "burst",
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
    """The end of one request, from its log line. `cause` is None if the line has no known cause."""

    line: LogLine
    cause: Cause | None
    text: CauseText | None
    inputs: dict[str, Any]
    steps: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Explanation:
    """The log lines about one request."""

    ends: tuple[RequestEnd, ...]
    context: tuple[LogLine, ...]


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the valid log lines of daemons in the order of their stamps."""
    parsed = [line for line in map(_parse_line, texts) if line is not None]
    parsed.sort(key=lambda line: line.stamp)
    return parsed


def explain_request(lines: list[LogLine], request: str) -> Explanation:
    """Return a `RequestEnd` for each line about the end of a request, and their context.

    Both are empty if no line names the request.
    """
    request_lines = [
        line
        for line in lines
        if line.channel == REQUEST_CHANNEL and line.fields.get("request") == request
    ]
    ends = tuple(map(_parse_end, request_lines))
    context: list[LogLine] = []
    for end in ends:
        context += [line for line in lines if _is_context(line, end)]
    return Explanation(ends=ends, context=tuple(context[-MAX_CONTEXT_LINES:]))


def _parse_line(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = codec.from_json(text[start:].strip().encode(), dict[str, Any])
    except codec.MalformedError:
        # Other text in the file, such as a truncated line.
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


def _parse_end(line: LogLine) -> RequestEnd:
    cause_name = line.fields.get("cause")
    cause = Cause(cause_name) if cause_name in set(Cause) else None
    return RequestEnd(
        line=line,
        cause=cause,
        text=CAUSES[cause] if cause is not None else None,
        inputs={name: line.fields[name] for name in _INPUT_FIELDS if name in line.fields},
        steps=tuple(step for step in str(line.fields.get("steps", "")).split("; ") if step),
    )


def _is_context(line: LogLine, end: RequestEnd) -> bool:
    if line.vm != end.line.vm or line.channel == REQUEST_CHANNEL:
        return False
    if (
        not 0 <= end.line.at.millis - line.at.millis <= CONTEXT_WINDOW_MS
        or line.stamp > end.line.stamp
    ):
        return False
    replica = line.fields.get("replica")
    return replica is None or any(str(replica) in step for step in end.steps)
