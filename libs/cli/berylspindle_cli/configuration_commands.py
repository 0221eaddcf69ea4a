"""The commands `configuration export`, `check`, `diff` and `import`.

Flow: all of them use the canonical text, so that snapshots in version control differ only where
the configurations differ. `check` and `diff` of two files contact no daemon. `import` changes
nothing: it requests the plan for putting the file into force.
"""

from __future__ import annotations

import difflib
import sys
from pathlib import Path
from typing import Annotated, Final

from cyclopts import App, Parameter
from rich.text import Text

from berylspindle_cli.exit_codes import ExitCode
from berylspindle_cli.output import make_table, print_answer, print_failure
from berylspindle_cli.settings import (
    OperatorSettings,
    OutputFlag,
    ToolError,
    operator_client,
    read_file,
    write_file,
)
from berylspindle_model.configuration import Configuration
from berylspindle_model.configuration_codec import (
    InvalidConfigurationError,
    canonical,
    parse_configuration,
)

_DEFAULT: Final = OperatorSettings()

configuration = App(
    name="configuration", help="Export, check, compare and restore the whole configuration."
)


@configuration.command
async def export(
    *,
    file: Annotated[Path | None, Parameter(help="Output file; standard output if not given.")] = (
        None
    ),
    settings: OperatorSettings = _DEFAULT,
) -> ExitCode:
    """Write the configuration in force as canonical text."""
    async with operator_client(settings) as client:
        text = await client.configuration()
    if not isinstance(text, bytes):
        return print_failure(text, "table")
    if file is None:
        sys.stdout.write(text.decode())
    else:
        write_file(file, text)
    return ExitCode.OK


@configuration.command
async def check(file: Path, /, *, output: OutputFlag = "table") -> ExitCode:
    """List all faults of a configuration file; exit 2 if there are any."""
    try:
        found = parse_configuration(read_file(file, "the configuration"))
    except InvalidConfigurationError as error:
        faults = error.faults
    else:
        parts = ("services", "servers", "data_centres")
        counts = {part: len(getattr(found, part)) for part in parts}
        print_answer(
            {"faults": [], "revision": found.revision} | counts, output, lambda: Text("no faults")
        )
        return ExitCode.OK
    table = make_table(f"{len(faults)} faults", "path", "fault")
    for fault in faults:
        table.add_row(Text(fault.path), Text(fault.text))
    print_answer({"faults": faults}, output, lambda: table)
    return ExitCode.USAGE


@configuration.command
async def diff(
    old: Path,
    new: Path | None = None,
    /,
    *,
    settings: OperatorSettings = _DEFAULT,
) -> ExitCode:
    """Compare two files, or a file with the configuration in force; exit 8 if they differ."""
    before = canonical(_read_configuration(old))
    if new is not None:
        after, name = canonical(_read_configuration(new)), str(new)
    else:
        async with operator_client(settings) as client:
            text = await client.configuration()
        if not isinstance(text, bytes):
            return print_failure(text, "table")
        after, name = text, "in force"
    lines = list(
        difflib.unified_diff(
            before.decode().splitlines(), after.decode().splitlines(), str(old), name, lineterm=""
        )
    )
    for line in lines:
        print(line)
    return ExitCode.DIFFERENT if lines else ExitCode.OK


def _read_configuration(path: Path) -> Configuration:
    try:
        return parse_configuration(read_file(path, str(path)))
    except InvalidConfigurationError as error:
        line = f"{path} has {len(error.faults)} faults; `configuration check` lists them"
        raise ToolError(ExitCode.USAGE, line) from None
