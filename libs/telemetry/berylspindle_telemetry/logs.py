"""Configure logging: text or JSON lines on standard error or to a `LineWriter`.

Terms:
  channel   the component that a line comes from, such as `daemon` or `timeline`
  level     the lowest severity that is written: debug, info, notice, warning, error or critical

Flow: `log_context` installs one logbook handler for the whole process, which also receives the
records of libraries that use the standard `logging`. A daemon passes a `LineWriter`, which does not
block on the reader of the log; lines for which it has no room are counted by channel, and the next
line that is written is preceded by one with the number of dropped lines. JSON lines contain a stamp
of the hybrid logical clock, so that lines of several VMs can be sorted.

Guard: the error message of a library may quote a header and thus a token. The secrets of the
settings are masked in each line before it is written.
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
    """Handler that formats records as lines, masks secrets and counts the lines."""

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
        """Write a record, or count it as dropped if the writer has no room."""
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
        """Return the line of a record; in text form, a traceback follows on further lines."""
        if self._metrics is not None:
            self._metrics.count(names.LOG_LINES, level=record.level_name.lower())
        line = self._format_json(record) if self._as_json else self._format_text(record)
        for secret in self._secrets:
            line = line.replace(secret, MASK)
        return line

    def _format_text(self, record: Any) -> str:
        stamp = record.time.strftime(_TIME_FORMAT)[:-3]
        fields = "".join(f" {key}={value}" for key, value in sorted(record.extra.items()))
        text = f"{stamp}Z {record.level_name:<8} {self._vm} {record.channel}: {record.message}"
        return text + fields + "".join("\n" + line for line in _format_traceback(record))

    def _format_json(self, record: Any) -> str:
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
        if trace := _format_traceback(record):
            fields["traceback"] = "\n".join(trace)
        return codec.to_json(fields).decode()


def _format_traceback(record: Any) -> list[str]:
    if not record.exc_info:
        return []
    return "".join(traceback.format_exception(*record.exc_info)).splitlines()


def log_context(
    *,
    level: str = "info",
    log_format: str = "text",
    vm: str = "-",
    secrets: Sequence[Secret] = (),
    metrics: Metrics | None = None,
    stream: TextIO | None = None,
    writer: LineWriter | None = None,
    clock: HybridClock | None = None,
) -> AbstractContextManager[Any]:
    """Return a context in which the whole process logs to `stream`, or standard error if None.

    If there is a `writer`, lines go there instead without blocking; it is closed on exit.

    Raise ValueError for a level or format that is not in `LEVELS` or `FORMATS`.
    """
    if level not in LEVELS or log_format not in FORMATS:
        raise ValueError(f"unknown log level or format: {level}, {log_format}")
    handler = LineHandler(
        stream if stream is not None else sys.stderr,
        level=level,
        as_json=log_format == "json",
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
    """Return a logger whose lines carry `channel` as the component that they come from."""
    return logbook.Logger(channel)
