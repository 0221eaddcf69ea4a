"""The commands `plan ...`, `confirm` and `configuration import`: plan and apply intents.

Terms:
  plan file   the plan as JSON; `confirm` sends its contents unchanged to any daemon, so that
              daemons need not store plans

Flow: `plan` requests the plan of an intent from a daemon, prints it and writes the plan file; the
operator reviews it; `confirm` applies it by compare-and-swap on its base revision. Confirming the
same file again returns the first confirmation.
"""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path
from typing import Annotated, Final

import attrs
from cyclopts import App, Parameter
from cyclopts.validators import Number
from rich.console import Group as Rows
from rich.console import RenderableType
from rich.text import Text

from berylspindle_cli.exit_codes import ExitCode
from berylspindle_cli.output import make_table, print_answer, print_failure
from berylspindle_cli.settings import (
    ENV_PREFIX,
    OperatorSettings,
    Output,
    OutputFlag,
    ToolError,
    operator_client,
    read_file,
    write_file,
)
from berylspindle_client.fleet import FleetStatus
from berylspindle_client.operators import OperatorClient
from berylspindle_client.outcomes import Failure
from berylspindle_model import codec
from berylspindle_model.configuration import Server, Service
from berylspindle_model.intents import Confirmation, Intent, IntentKind, Plan, ServiceLoad

_DEFAULT: Final = OperatorSettings()
OVERRIDE_ENV: Final = ENV_PREFIX + "OVERRIDE"
_POLL_INTERVAL_S: Final = 0.2
# Long enough to keep the plans of one operator in distinct files.
_ID_PREFIX_CHARS: Final = 12

FileFlag = Annotated[
    Path | None,
    Parameter(help="Plan file; by default plan-ID.json, or none with JSON output."),
]

plan = App(name="plan", help="Show what an intent would change, without changing anything.")


@attrs.frozen(kw_only=True)
class StandUpFile:
    """Input of `plan stand-up`: a service and its backend servers."""

    service: Service
    servers: tuple[Server, ...]


@plan.command(name="stand-up")
async def stand_up(
    definition: Path,
    /,
    *,
    file: FileFlag = None,
    output: OutputFlag = "table",
    settings: OperatorSettings = _DEFAULT,
) -> ExitCode:
    """Plan to add the search service defined in the JSON file DEFINITION."""
    data = read_file(definition, "the definition")
    try:
        parsed = codec.from_json(data, StandUpFile)
    except codec.MalformedError as error:
        raise ToolError(ExitCode.USAGE, f"{definition}: {error}") from None
    intent = Intent(
        kind=IntentKind.STAND_UP,
        subject=parsed.service.name,
        service=parsed.service,
        servers=parsed.servers,
    )
    return await _request_plan(intent, file, output, settings)


@plan.command(name="take-out")
async def take_out(
    data_centre: str,
    /,
    *,
    file: FileFlag = None,
    output: OutputFlag = "table",
    settings: OperatorSettings = _DEFAULT,
) -> ExitCode:
    """Plan to take a data centre out of service."""
    return await _request_plan(
        _make_intent(IntentKind.TAKE_OUT, data_centre), file, output, settings
    )


@plan.command(name="return")
async def return_(
    data_centre: str,
    /,
    *,
    file: FileFlag = None,
    output: OutputFlag = "table",
    settings: OperatorSettings = _DEFAULT,
) -> ExitCode:
    """Plan to return a data centre to service."""
    return await _request_plan(_make_intent(IntentKind.RETURN, data_centre), file, output, settings)


@plan.command(name="retire")
async def retire(
    server: str,
    /,
    *,
    file: FileFlag = None,
    output: OutputFlag = "table",
    settings: OperatorSettings = _DEFAULT,
) -> ExitCode:
    """Plan to retire a backend server."""
    return await _request_plan(_make_intent(IntentKind.RETIRE, server), file, output, settings)


async def import_(
    snapshot: Path,
    /,
    *,
    file: FileFlag = None,
    output: OutputFlag = "table",
    settings: OperatorSettings = _DEFAULT,
) -> ExitCode:
    """Plan to replace the whole configuration by that of a file."""
    text = read_file(snapshot, "the configuration")
    async with operator_client(settings) as client:
        outcome = await client.plan_configuration(text)
    return _print_plan(outcome, file, output)


async def confirm(
    plan_file: Path,
    /,
    *,
    override: Annotated[
        bool, Parameter(help="Confirm a plan that violates a guarantee.", negative="")
    ] = False,
    wait: Annotated[
        float,
        Parameter(
            help="Maximum wait for it to be in force everywhere, s.", validator=Number(gte=0)
        ),
    ] = 0.0,
    output: OutputFlag = "table",
    settings: OperatorSettings = _DEFAULT,
) -> ExitCode:
    """Apply the plan in a plan file, at most once.

    Exit 4 if the plan is stale or conflicts with another operator's change, 5 if it needs
    --override, 6 if the answer was lost: confirm the same file again. With --wait, exit 7 if it is
    accepted but not yet in force everywhere.
    """
    if OVERRIDE_ENV in os.environ:
        # A forgotten variable would override the checks of every later plan.
        raise ToolError(
            ExitCode.USAGE, f"an override must be a flag, not a variable; unset {OVERRIDE_ENV}"
        )
    try:
        parsed = codec.from_json(read_file(plan_file, "the plan file"), Plan)
    except codec.MalformedError as error:
        raise ToolError(ExitCode.USAGE, f"{plan_file}: {error}") from None
    async with operator_client(settings) as client:
        answer = await client.confirm(parsed, override=override)
        if not isinstance(answer, Confirmation):
            return print_failure(answer, output)
        in_force = await _wait_until_in_force(client, answer.revision, wait) if wait else None
    print_answer(
        _document(answer, in_force), output, lambda: Text(_confirmation_text(answer, in_force))
    )
    return ExitCode.INCOMPLETE if in_force is False else ExitCode.OK


def _make_intent(kind: IntentKind, subject: str) -> Intent:
    return Intent(kind=kind, subject=subject)


async def _request_plan(
    intent: Intent, file: Path | None, output: Output, settings: OperatorSettings
) -> ExitCode:
    async with operator_client(settings) as client:
        outcome = await client.plan(intent)
    return _print_plan(outcome, file, output)


def _print_plan(outcome: Plan | Failure, file: Path | None, output: Output) -> ExitCode:
    if not isinstance(outcome, Plan):
        return print_failure(outcome, output)
    target = file
    if target is None and output == "table":
        target = Path(f"plan-{outcome.id[:_ID_PREFIX_CHARS]}.json")
    if target is not None:
        write_file(target, codec.to_json(outcome))
    print_answer(outcome, output, lambda: _render_plan(outcome, target))
    return ExitCode.UNSAFE if outcome.needs_override else ExitCode.OK


def _render_plan(outcome: Plan, target: Path | None) -> RenderableType:
    intent = f"{outcome.intent.kind.value.replace('_', ' ')} {outcome.intent.subject}"
    lines: list[RenderableType] = [Text(f"plan to {intent}, on revision {outcome.base}")]
    lines += [Text(f"BREAKS: {violation}", style="bold red") for violation in outcome.breaks]
    steps = [("now", outcome.before)]
    steps += [(f"{n}. {step.text}", step.services) for n, step in enumerate(outcome.steps, 1)]
    columns = ("step", "service", "slots", "busy", "shards covered", "fewest replicas")
    table = make_table("remaining capacity of each service", *columns)
    for text, loads in steps:
        for row in _load_rows(text, loads):
            table.add_row(*map(Text, row))
    lines.append(table)
    override = " --override" if outcome.needs_override else ""
    lines.append(Text(f"nothing is changed yet; to apply: berylspindle confirm {target}{override}"))
    return Rows(*lines)


def _load_rows(text: str, loads: tuple[ServiceLoad, ...]) -> list[tuple[str, ...]]:
    if not loads:
        return [(text, "", "", "", "", "")]
    rows: list[tuple[str, ...]] = []
    for index, load in enumerate(loads):
        covered = f"{load.covered} of {load.shards}"
        busy = f"{load.busy:.1f}" if load.busy else "?"
        step = text if index == 0 else ""
        rows.append((step, load.service, str(load.slots), busy, covered, str(load.fewest)))
    return rows


async def _wait_until_in_force(client: OperatorClient, revision: int, wait: float) -> bool:
    deadline = time.monotonic() + wait
    while True:
        fleet = await client.status()
        if isinstance(fleet, FleetStatus) and fleet.in_force and fleet.revision >= revision:
            return True
        if time.monotonic() + _POLL_INTERVAL_S >= deadline:
            return False
        await asyncio.sleep(_POLL_INTERVAL_S)


def _document(answer: Confirmation, in_force: bool | None) -> dict[str, object]:
    document = attrs.asdict(answer)
    return document if in_force is None else document | {"in_force": in_force}


def _confirmation_text(answer: Confirmation, in_force: bool | None) -> str:
    done = "was accepted before" if answer.repeated else "is accepted"
    line = f"plan {answer.id[:_ID_PREFIX_CHARS]} {done}, as revision {answer.revision}"
    if in_force is None:
        return line + "; berylspindle status shows where it is in force"
    if in_force:
        return line + ", and in force on all VMs"
    return line + ", but NOT YET KNOWN to be in force everywhere; see berylspindle status"
