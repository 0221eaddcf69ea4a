"""The command `explain`: why one forwarded request was refused, failed or late, from logs alone."""

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
from berylspindle_cli.output import show, table_of
from berylspindle_cli.settings import OutputFlag, ToolError
from berylspindle_cli.timeline_page import time_text
from berylspindle_model import codec


def explain(
    request: Annotated[str, Parameter(help="The request's id, as the caller sent it.")],
    *files: Annotated[Path, Parameter(help="Logs of daemons; standard input if there is none.")],
    output: OutputFlag = "table",
) -> ExitCode:
    """Explain a forwarded request from the daemons' JSON logs; exit 7 where they don't hold it."""
    found = explain_request(read_lines(_texts(files)), request)
    if output == "json":
        print(codec.to_json(_document(found)).decode())
    else:
        show(found, "table", lambda: _page(request, found))
    return ExitCode.OK if found.ends else ExitCode.INCOMPLETE


def _texts(files: tuple[Path, ...]) -> list[str]:
    if not files:
        return sys.stdin.readlines()
    texts: list[str] = []
    for file in files:
        try:
            texts += file.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            raise ToolError(ExitCode.USAGE, f"{file}: {error.strerror}") from error
    return texts


def _document(found: Explanation) -> dict[str, Any]:
    return {
        "ends": [
            {
                "vm": end.line.vm,
                "kind": end.line.message,
                "cause": end.cause.value if end.cause is not None else None,
                "inputs": end.inputs,
                "steps": end.steps,
            }
            for end in found.ends
        ],
        "context": [
            {"vm": line.vm, "message": line.message, **line.fields} for line in found.context
        ],
    }


def _page(request: str, found: Explanation) -> RenderableType:
    if not found.ends:
        return Text(f"no line of request {request}: answered in time, or its line was left out")
    rows: list[RenderableType] = []
    for end in found.ends:
        rows += _end_rows(request, end)
    if found.context:
        table = table_of("what that VM learned before", "time", "line", "fields")
        for line in found.context:
            table.add_row(time_text(line.at), Text(line.message), Text(_fields(line)))
        rows.append(table)
    return Rows(*rows)


def _end_rows(request: str, end: RequestEnd) -> list[RenderableType]:
    rows: list[RenderableType] = [
        Text(f"{request} at {end.line.vm}, {time_text(end.line.at)}: {end.line.message}")
    ]
    if end.cause is not None and end.text is not None:
        rows.append(Text(f"cause: {end.cause}: {end.text.meaning}"))
        rows.append(Text(f"look at: {end.text.look_at}"))
    rows.append(Text("inputs: " + ", ".join(f"{k}={v}" for k, v in end.inputs.items())))
    if end.steps:
        table = table_of("steps", "ms", "step")
        for step in end.steps:
            at, _, what = step.partition(" ")
            table.add_row(at, Text(what))
        rows.append(table)
    return rows


def _fields(line: LogLine) -> str:
    left_out = {"time", "level"}
    return " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in left_out)
