"""The command `timeline`: the events of all VMs in causal order."""

from __future__ import annotations

import time
from typing import Annotated, Final

from cyclopts import Parameter
from rich.console import Group as Rows
from rich.console import RenderableType
from rich.text import Text

from berylspindle_cli.exit_codes import ExitCode
from berylspindle_cli.output import fail, show, table_of
from berylspindle_cli.settings import OperatorSettings, PageFlag, ToolError, connected
from berylspindle_cli.spans import parse_point
from berylspindle_cli.timeline_page import time_text, timeline_page
from berylspindle_client.operators import FleetTimeline
from berylspindle_model import codec
from berylspindle_model.events import EventFilter
from berylspindle_model.stamps import Stamp

_DEFAULT: Final = OperatorSettings()


async def timeline(
    *,
    since: Annotated[
        str | None, Parameter(help="First time, such as 10m (ago) or 2031-05-04T13:30:00Z.")
    ] = None,
    until: Annotated[str | None, Parameter(help="First time that is not asked for.")] = None,
    service: Annotated[str, Parameter(help="Only events of this service.")] = "",
    server: Annotated[str, Parameter(help="Only events of this backend server.")] = "",
    request: Annotated[str, Parameter(help="Only events of this request id.")] = "",
    output: PageFlag = "table",
    settings: OperatorSettings = _DEFAULT,
) -> ExitCode:
    """Show the events of all VMs in causal order; exit 7 where a VM did not answer."""
    wanted = EventFilter(
        since=_point(since, "--since"),
        until=_point(until, "--until"),
        service=service,
        server=server,
        request_id=request,
    )
    async with connected(settings) as client:
        found = await client.timeline(wanted)
    if not isinstance(found, FleetTimeline):
        return fail(found, "json" if output == "json" else "table")
    if output == "json":
        _print_lines(found)
    elif output == "html":
        title = f"berylspindle time line, {_span(since, until)}"
        print(timeline_page(found.events, found.vms, found.unreachable, title), end="")
    else:
        show(found, "table", lambda: _table(found))
    return ExitCode.INCOMPLETE if found.unreachable else ExitCode.OK


def _point(text: str | None, flag: str) -> Stamp | None:
    if text is None:
        return None
    try:
        return parse_point(text, time.time())
    except ValueError:
        line = f"{flag}: {text!r} is neither a time nor how long ago, such as 10m"
        raise ToolError(ExitCode.USAGE, line) from None


def _span(since: str | None, until: str | None) -> str:
    return f"from {since or 'the first event'} until {until or 'now'}"


def _print_lines(found: FleetTimeline) -> None:
    """Print an event a line, and last what is missing from them."""
    for event in found.events:
        print(codec.to_json(event).decode())
    missing = {"unreachable": found.unreachable, "dropped": found.dropped}
    print(codec.to_json(missing).decode())


def _table(found: FleetTimeline) -> RenderableType:
    columns = ("time", "VM", "event", "service", "server", "request", "detail")
    table = table_of(f"{len(found.events)} events of {len(found.vms)} VMs", *columns)
    for event in found.events:
        row = (event.vm, event.kind.value, event.service, event.server, event.request_id)
        table.add_row(time_text(event.stamp), *map(Text, (*row, event.detail)))
    notes = [f"no answer from {address}" for address in found.unreachable]
    notes += [f"{vm} has lost its first {n} events" for vm, n in sorted(found.dropped.items())]
    return Rows(table, *map(Text, notes))
