"""Print answers and failures, as tables for people or as JSON for scripts.

Flow: a command passes its typed answer and a function that builds its table to `print_answer`, or
its failure to `print_failure`. With `json` both are written to standard output as one JSON
document; with `table` a failure is one line on standard error.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable

from rich.console import Console, RenderableType
from rich.table import Table

from berylspindle_cli.exit_codes import ExitCode, exit_code_of
from berylspindle_cli.settings import Output
from berylspindle_client.outcomes import Failure, Refused, Unreachable
from berylspindle_model import codec


def print_answer(answer: object, output: Output, build_table: Callable[[], RenderableType]) -> None:
    """Print an answer in the requested format."""
    if output == "json":
        print(json.dumps(json.loads(codec.to_json(answer)), indent=2, ensure_ascii=False))
    else:
        Console(soft_wrap=not sys.stdout.isatty()).print(build_table())


def print_failure(failure: Failure, output: Output) -> ExitCode:
    """Print a failure and return its exit code."""
    if output == "json":
        print(json.dumps({"error": json.loads(codec.to_json(failure))}, ensure_ascii=False))
    else:
        print(f"berylspindle: {format_failure(failure)}", file=sys.stderr)
    return exit_code_of(failure)


def format_failure(failure: Failure) -> str:
    """Return one line with the failure, whether the request may have run, and when to retry."""
    if isinstance(failure, Unreachable):
        addresses = ", ".join(failure.tried)
        return f"could not reach any daemon, nothing ran: {addresses}" + _detail_suffix(
            failure.detail
        )
    if not isinstance(failure, Refused):
        return f"no answer from {failure.daemon}, the request may have run" + _detail_suffix(
            failure.detail
        )
    run_state = failure.run.value.replace("_", " ")
    line = f"{failure.kind.value} ({run_state}) from {failure.daemon}: {failure.text}"
    line += _detail_suffix(failure.detail)
    if failure.retry_after_ms is not None:
        line += f"; retry after {failure.retry_after_ms} ms"
    return line + (f" [request {failure.request_id}]" if failure.request_id else "")


def make_table(title: str, *columns: str) -> Table:
    """Return an empty table in the style of the tool."""
    table = Table(title=title, title_justify="left", header_style="bold")
    for column in columns:
        table.add_column(column, overflow="fold")
    return table


def format_seconds(millis: int) -> str:
    """Return a duration in milliseconds as text in seconds, or an empty text for 0."""
    return f"{millis / 1000:.1f} s" if millis else ""


def _detail_suffix(detail: str) -> str:
    return f": {detail}" if detail else ""
