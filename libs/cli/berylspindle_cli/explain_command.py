"""The command `explain`: find in the logs why a forwarded request was refused, failed or late."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter
from rich.console import Group as Rows
from rich.console import RenderableType
from rich.text import Text

from berylspindle_cli.exit_codes import ExitCode
from berylspindle_cli.log_lines import (
    Explanation,
    LogLine,
    RequestEnd,
    explain_request,
    read_lines,
)
from berylspindle_cli.output import make_table, print_answer
from berylspindle_cli.settings import OutputFlag, ToolError
from berylspindle_cli.timeline_page import format_time
from berylspindle_model import codec


def explain(
    request: Annotated[str, Parameter(help="Id of the request, as sent by the caller.")],
    *files: Annotated[Path, Parameter(help="Log files of daemons; standard input if not given.")],
    output: OutputFlag = "table",
) -> ExitCode:
    """Explain a forwarded request from the daemons' JSON logs; exit 7 if they lack it."""
    explanation = explain_request(read_lines(_read_texts(files)), request)
    if output == "json":
        print(codec.to_json(_document(explanation)).decode())
    else:
        print_answer(explanation, "table", lambda: _render(request, explanation))
    return ExitCode.OK if explanation.ends else ExitCode.INCOMPLETE


def _read_texts(files: tuple[Path, ...]) -> list[str]:
    if not files:
        return sys.stdin.readlines()
    texts: list[str] = []
    for file in files:
        try:
            texts += file.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            raise ToolError(ExitCode.USAGE, f"{file}: {error.strerror}") from error
    return texts


def _document(explanation: Explanation) -> dict[str, Any]:
    return {
        "ends": [
            {
                "vm": end.line.vm,
                "kind": end.line.message,
                "cause": end.cause.value if end.cause is not None else None,
                "inputs": end.inputs,
                "steps": end.steps,
            }
            for end in explanation.ends
        ],
        "context": [
            {"vm": line.vm, "message": line.message, **line.fields} for line in explanation.context
        ],
    }


def _render(request: str, explanation: Explanation) -> RenderableType:
    if not explanation.ends:
        return Text(
            f"no log line of request {request}: it was answered in time, or its line was suppressed"
        )
    rows: list[RenderableType] = []
    for end in explanation.ends:
        rows += _render_end(request, end)
    if explanation.context:
        table = make_table("earlier log lines of the VM", "time", "message", "fields")
        for line in explanation.context:
            table.add_row(format_time(line.at), Text(line.message), Text(_format_fields(line)))
        rows.append(table)
    return Rows(*rows)


def _render_end(request: str, end: RequestEnd) -> list[RenderableType]:
    rows: list[RenderableType] = [
        Text(f"{request} at {end.line.vm}, {format_time(end.line.at)}: {end.line.message}")
    ]
    if end.cause is not None and end.text is not None:
        rows.append(Text(f"cause: {end.cause}: {end.text.meaning}"))
        rows.append(Text(f"look at: {end.text.look_at}"))
    rows.append(Text("inputs: " + ", ".join(f"{k}={v}" for k, v in end.inputs.items())))
    if end.steps:
        table = make_table("steps", "ms", "step")
        for step in end.steps:
            at, _, description = step.partition(" ")
            table.add_row(at, Text(description))
        rows.append(table)
    return rows


def _format_fields(line: LogLine) -> str:
    omitted = {"time", "level"}
    return " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in omitted)
