"""The command `timeline`: the events of all VMs in causal order."""

from __future__ import annotations

import time
from typing import Annotated, Final

from cyclopts import Parameter
from rich.console import Group as Rows
from rich.console import RenderableType
from rich.text import Text

from berylspindle_cli.exit_codes import ExitCode
from berylspindle_cli.output import make_table, print_answer, print_failure
from berylspindle_cli.settings import OperatorSettings, PageFlag, ToolError, operator_client
from berylspindle_cli.spans import parse_time
from berylspindle_cli.timeline_page import format_time, timeline_page
from berylspindle_client.operators import FleetTimeline
from berylspindle_model import codec
from berylspindle_model.events import EventFilter
from berylspindle_model.stamps import Stamp

_DEFAULT: Final = OperatorSettings()


async def timeline(
    *,
    since: Annotated[
        str | None, Parameter(help="Start, inclusive, such as 10m (ago) or 2031-05-04T13:30:00Z.")
    ] = None,
    until: Annotated[str | None, Parameter(help="End, exclusive, in the same forms.")] = None,
    service: Annotated[str, Parameter(help="Only events of this service.")] = "",
    server: Annotated[str, Parameter(help="Only events of this backend server.")] = "",
    request: Annotated[str, Parameter(help="Only events of this request id.")] = "",
    output: PageFlag = "table",
    settings: OperatorSettings = _DEFAULT,
) -> ExitCode:
    """Show the events of all VMs in causal order; exit 7 if a VM did not answer."""
    event_filter = EventFilter(
        since=_parse_bound(since, "--since"),
        until=_parse_bound(until, "--until"),
        service=service,
        server=server,
        request_id=request,
    )
    async with operator_client(settings) as client:
        found = await client.timeline(event_filter)
    if not isinstance(found, FleetTimeline):
        return print_failure(found, "json" if output == "json" else "table")
    if output == "json":
        _print_json_lines(found)
    elif output == "html":
        title = f"berylspindle time line, {_span_text(since, until)}"
        print(timeline_page(found.events, found.vms, found.unreachable, title), end="")
    else:
        print_answer(found, "table", lambda: _table(found))
    return ExitCode.INCOMPLETE if found.unreachable else ExitCode.OK


def _parse_bound(text: str | None, flag: str) -> Stamp | None:
    if text is None:
        return None
    try:
        return parse_time(text, time.time())
    except ValueError:
        line = f"{flag}: {text!r} is neither a time nor an age such as 10m"
        raise ToolError(ExitCode.USAGE, line) from None


def _span_text(since: str | None, until: str | None) -> str:
    return f"from {since or 'the first event'} until {until or 'now'}"


def _print_json_lines(found: FleetTimeline) -> None:
    """Print one event per line, then a line with the unreachable daemons and dropped events."""
    for event in found.events:
        print(codec.to_json(event).decode())
    missing = {"unreachable": found.unreachable, "dropped": found.dropped}
    print(codec.to_json(missing).decode())


def _table(found: FleetTimeline) -> RenderableType:
    columns = ("time", "VM", "event", "service", "server", "request", "detail")
    table = make_table(f"{len(found.events)} events of {len(found.vms)} VMs", *columns)
    for event in found.events:
        row = (event.vm, event.kind.value, event.service, event.server, event.request_id)
        table.add_row(format_time(event.stamp), *map(Text, (*row, event.detail)))
    notes = [f"no answer from {address}" for address in found.unreachable]
    notes += [f"{vm} dropped its first {n} events" for vm, n in sorted(found.dropped.items())]
    return Rows(table, *map(Text, notes))
