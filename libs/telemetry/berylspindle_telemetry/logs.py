"""Set up the log: lines on standard error, for people or as JSON.

Terms:
  channel   the part of the program that a line comes from, such as `daemon` or `timeline`
  level     the least severity that is written: debug, info, notice, warning, error or critical

Flow: `logs_to` pushes one logbook handler for the whole process. What libraries say through the
standard `logging` goes the same way. A daemon gives it a `LineWriter`, which never waits for the
reader of the log; lines that it has no room for are counted by channel, and the next line that is
written is preceded by one that says how many were dropped. JSON lines hold the hybrid clock's
stamp, so that lines of several VMs can be put in order.

Guard: a library's error text may quote a header, and so a token. Each line is searched for the
secrets of the settings before it is written, and they are masked.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Sequence
from contextlib import AbstractContextManager, ExitStack
from datetime import UTC, datetime
from typing import Any, Final, TextIO

import logbook
import logbook.compat

from berylspindle_model import codec
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.clock import HybridClock
from berylspindle_telemetry.line_writer import LineWriter
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.secret import MASK, Secret

LEVELS: Final = ("debug", "info", "notice", "warning", "error", "critical")
FORMATS: Final = ("text", "json")
_TIME_FORMAT: Final = "%Y-%m-%dT%H:%M:%S.%f"


class LineHandler(logbook.StreamHandler):  # type: ignore[misc]  # logbook has no types
    """Write records as lines of one form, with secrets masked, and count them."""

    def __init__(
        self,
        stream: TextIO,
        *,
        level: str,
        as_json: bool,
        vm: str,
        secrets: Sequence[Secret] = (),
        metrics: Metrics | None = None,
        writer: LineWriter | None = None,
        clock: HybridClock | None = None,
    ) -> None:
        super().__init__(stream, level=level.upper(), bubble=False)
        self._writer = writer
        self._clock = clock
        self._dropped = 0
        self._as_json = as_json
        self._vm = vm
        self._secrets = tuple(secret.reveal() for secret in secrets)
        self._metrics = metrics

    def emit(self, record: Any) -> None:
        """Write a record, or count it where nobody reads the log fast enough."""
        if self._writer is None:
            super().emit(record)
            return
        line = self.format(record)
        if self._dropped and self._writer.put(self._dropped_line()):
            self._dropped = 0
        if not self._dropped and self._writer.put(line):
            return
        self._dropped += 1
        if self._metrics is not None:
            self._metrics.count(names.LOG_DROPPED, channel=record.channel)

    def _dropped_line(self) -> str:
        fields = {
            "time": datetime.now(UTC).strftime(_TIME_FORMAT)[:-3] + "Z",
            "level": "warning",
            "vm": self._vm,
            "channel": "log",
            "message": "lines dropped",
            "lines": str(self._dropped),
        }
        return codec.to_json(fields).decode() if self._as_json else str(fields)

    def format(self, record: Any) -> str:
        """Return one line for a record; a traceback is folded into it as JSON or follows it."""
        if self._metrics is not None:
            self._metrics.count(names.LOG_LINES, level=record.level_name.lower())
        line = self._json(record) if self._as_json else self._text(record)
        for secret in self._secrets:
            line = line.replace(secret, MASK)
        return line

    def _text(self, record: Any) -> str:
        stamp = record.time.strftime(_TIME_FORMAT)[:-3]
        fields = "".join(f" {key}={value}" for key, value in sorted(record.extra.items()))
        text = f"{stamp}Z {record.level_name:<8} {self._vm} {record.channel}: {record.message}"
        return text + fields + "".join("\n" + line for line in _traceback(record))

    def _json(self, record: Any) -> str:
        fields: dict[str, Any] = {
            "time": record.time.strftime(_TIME_FORMAT)[:-3] + "Z",
            "level": record.level_name.lower(),
            "vm": self._vm,
            "channel": record.channel,
            "message": record.message,
        }
        if self._clock is not None:
            fields["stamp"] = self._clock.tick().pack()
        fields.update((key, str(value)) for key, value in sorted(record.extra.items()))
        if trace := _traceback(record):
            fields["traceback"] = "\n".join(trace)
        return codec.to_json(fields).decode()


def _traceback(record: Any) -> list[str]:
    if not record.exc_info:
        return []
    return "".join(traceback.format_exception(*record.exc_info)).splitlines()


def logs_to(
    *,
    level: str = "info",
    form: str = "text",
    vm: str = "-",
    secrets: Sequence[Secret] = (),
    metrics: Metrics | None = None,
    stream: TextIO | None = None,
    writer: LineWriter | None = None,
    clock: HybridClock | None = None,
) -> AbstractContextManager[Any]:
    """Return a context in which the whole process logs to `stream`, standard error if None.

    With a `writer` lines go there instead, and no write ever waits; it is closed at the end.

    Raises ValueError for a level or form that isn't in `LEVELS` or `FORMATS`.
    """
    if level not in LEVELS or form not in FORMATS:
        raise ValueError(f"no such log level or format: {level}, {form}")
    handler = LineHandler(
        stream if stream is not None else sys.stderr,
        level=level,
        as_json=form == "json",
        vm=vm,
        secrets=secrets,
        metrics=metrics,
        writer=writer,
        clock=clock,
    )
    stack = ExitStack()
    if writer is not None:
        stack.callback(writer.close)
    stack.enter_context(handler.applicationbound())
    stack.enter_context(logbook.compat.redirected_logging())
    return stack


def logger(channel: str) -> Any:
    """Return the logger of one part of the program."""
    return logbook.Logger(channel)
