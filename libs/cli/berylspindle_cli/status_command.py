"""The command `status`: whether the newest revision is in force on all VMs."""

from __future__ import annotations

import asyncio
from typing import Annotated, Final

from cyclopts import Parameter
from cyclopts.validators import Number
from rich.console import Group as Rows
from rich.console import RenderableType
from rich.text import Text

from berylspindle_cli.exit_codes import ExitCode
from berylspindle_cli.output import format_seconds, make_table, print_answer, print_failure
from berylspindle_cli.settings import OperatorSettings, Output, OutputFlag, operator_client
from berylspindle_client.fleet import FleetStatus
from berylspindle_client.operators import OperatorClient
from berylspindle_model.operator_protocol import ServerReport, VmReport, VmState

_DEFAULT: Final = OperatorSettings()
_MAX_INTENTS: Final = 5


async def status(
    *,
    watch: Annotated[bool, Parameter(help="Repeat until interrupted.")] = False,
    every: Annotated[
        float, Parameter(help="Interval of --watch, s.", validator=Number(gte=0.1))
    ] = 1.0,
    until_in_force: Annotated[
        bool, Parameter(help="Repeat until the newest revision is in force everywhere.")
    ] = False,
    servers: Annotated[bool, Parameter(help="Also show the backend servers.")] = False,
    output: OutputFlag = "table",
    settings: OperatorSettings = _DEFAULT,
) -> ExitCode:
    """Show whether the newest revision is in force on all VMs, and name VMs that may lag.

    Exit 0 if it is in force everywhere, 7 if VMs lag, are in an unknown state or did not answer.
    """
    async with operator_client(settings) as client:
        while True:
            code = await _print_status(client, output, servers)
            if code is ExitCode.OK and until_in_force:
                return code
            if not watch and not until_in_force:
                return code
            await asyncio.sleep(every)


async def _print_status(client: OperatorClient, output: Output, servers: bool) -> ExitCode:
    fleet = await client.status()
    if not isinstance(fleet, FleetStatus):
        return print_failure(fleet, output)
    print_answer(_document(fleet), output, lambda: _tables(fleet, servers))
    return ExitCode.OK if fleet.in_force else ExitCode.INCOMPLETE


def _document(fleet: FleetStatus) -> dict[str, object]:
    return {
        "revision": fleet.revision,
        "in_force": fleet.in_force,
        "lagging": [vm.vm for vm in fleet.lagging],
        "unheard": [vm.vm for vm in fleet.unheard],
        "unreachable": list(fleet.unreachable),
        "vms": fleet.vms,
        "reports": fleet.reports,
        "intents": fleet.intents,
    }


def _tables(fleet: FleetStatus, servers: bool) -> RenderableType:
    parts: list[RenderableType] = [Text(_headline(fleet)), _vms_table(fleet)]
    if fleet.intents:
        table = make_table("latest intents", "id", "intent", "subject", "operator", "revision")
        for intent in fleet.intents[-_MAX_INTENTS:]:
            row = (intent.id, intent.kind, intent.subject, intent.operator, str(intent.revision))
            table.add_row(*map(Text, row))
        parts.append(table)
    if servers:
        parts.append(_servers_table(fleet))
    return Rows(*parts)


def _headline(fleet: FleetStatus) -> str:
    if fleet.in_force:
        return f"revision {fleet.revision} is in force on all {len(fleet.vms)} VMs"
    return (
        f"revision {fleet.revision} is NOT KNOWN to be in force everywhere: "
        f"{len(fleet.lagging)} VMs lag, {len(fleet.unheard)} are in an unknown state, "
        f"{len(fleet.unreachable)} addresses did not answer"
        + "".join(f"\n  no answer: {address}" for address in fleet.unreachable)
    )


def _vms_table(fleet: FleetStatus) -> RenderableType:
    reports = {report.vm: report for report in fleet.reports}
    table = make_table("VMs", "VM", "data centre", "state", "revision", "since", "ready", "store")
    for vm in fleet.vms:
        report = reports.get(vm.vm)
        ready = "?" if report is None else "yes" if report.ready else f"no: {report.reason}"
        store_away_ms = report.store_away_ms if report is not None else 0
        table.add_row(
            Text(vm.vm),
            Text(vm.data_centre),
            _state_text(vm, fleet.revision),
            str(vm.revision),
            format_seconds(vm.since_ms),
            Text(ready),
            f"away {format_seconds(store_away_ms)}" if store_away_ms else "",
        )
    return table


def _state_text(vm: VmReport, newest: int) -> Text:
    if vm.state is VmState.LIVE and vm.revision < newest:
        return Text("lags", style="yellow")
    styles = {VmState.LIVE: "green", VmState.DEAD: "dim"}
    return Text(vm.state.value, style=styles.get(vm.state, "red"))


def _servers_table(fleet: FleetStatus) -> RenderableType:
    columns = ("server", "service", "shard", "owner", "phase", "in flight", "cap", "queued")
    table = make_table("backend servers", *columns)
    rows = [(server, report.vm) for report in fleet.reports for server in report.servers]
    for server, owner in sorted(rows, key=_server_order):
        table.add_row(
            *map(Text, (server.server, server.service, server.shard, owner, server.phase.value)),
            *map(str, (server.in_flight, server.cap, server.queued)),
        )
    return table


def _server_order(row: tuple[ServerReport, str]) -> tuple[str, str, str]:
    server, _ = row
    return (server.service, server.shard, server.server)
