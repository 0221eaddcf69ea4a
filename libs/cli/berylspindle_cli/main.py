"""The command `berylspindle`: the operators' tool, and a caller for trying things out.

Flow: cyclopts parses flags and the environment and runs one command, which prints its answer and
returns an `ExitCode`. Whatever is wrong with the flags becomes one line on standard error.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping, Sequence
from importlib.metadata import version
from typing import Final

from cyclopts import App
from cyclopts.config import Env
from cyclopts.exceptions import CycloptsError

from berylspindle_cli.caller_commands import execute, outcome, search
from berylspindle_cli.configuration_commands import configuration
from berylspindle_cli.exit_codes import ExitCode
from berylspindle_cli.explain_command import explain
from berylspindle_cli.plan_commands import confirm, import_, plan
from berylspindle_cli.settings import ENV_PREFIX, TOKEN_ENV, ToolError
from berylspindle_cli.status_command import status
from berylspindle_cli.timeline_command import timeline

configuration.command(import_, name="import")

PROGRAM: Final = "berylspindle"

HELP: Final = """Drive the query tier: state an intent, read its plan, confirm it.

Every flag is also an environment variable, BERYLSPINDLE_CLI_ and its name in capitals.

Exit codes:

- 0 done;
- 1 refused, nothing changed and nothing ran;
- 2 a flag, variable or file is wrong;
- 3 no daemon reached, nothing ran;
- 4 the plan is stale or conflicts;
- 5 the plan breaks a promise and needs an override;
- 6 it may have run;
- 7 not whole, or not in force everywhere;
- 8 the compared configurations differ.
"""


def make_app() -> App:
    """Return the tool with all its commands."""
    app = App(
        name=PROGRAM,
        help=HELP,
        help_format="markdown",
        version=version("berylspindle-cli"),
        config=Env(ENV_PREFIX, command=False),
        result_action="return_value",
    )
    for command in (
        search,
        execute,
        outcome,
        plan,
        confirm,
        status,
        timeline,
        explain,
        configuration,
    ):
        app.command(command)
    return app


def refuse_unknown_variables(app: App, environ: Mapping[str, str]) -> None:
    """Guard against a misspelt variable, which shows as a tool that asks the wrong daemons."""
    known = {TOKEN_ENV} | {ENV_PREFIX + _variable(flag) for flag in _flags(app)}
    for name in sorted(environ):
        if name.startswith(ENV_PREFIX) and name not in known:
            raise ToolError(ExitCode.USAGE, f"unknown setting in the environment: {name}")


def run(arguments: Sequence[str] | None = None) -> None:
    """Run one command and exit; the entry point of the tool."""
    given = sys.argv[1:] if arguments is None else list(arguments)
    try:
        app = make_app()
        refuse_unknown_variables(app, os.environ)
        result = app(given, exit_on_error=False, print_error=False)
        code = result if isinstance(result, ExitCode) else ExitCode.OK
    except CycloptsError as error:
        code = _say(ExitCode.USAGE, " ".join(str(error).split()))
    except ToolError as error:
        code = _say(error.code, error.line)
    except KeyboardInterrupt:
        code = ExitCode.OK
    sys.exit(code)


def _flags(app: App) -> set[str]:
    flags: set[str] = set()
    if app.default_command is not None:
        for argument in app.assemble_argument_collection():
            flags.update(argument.names)
    for name in app:
        if not name.startswith("-"):
            flags |= _flags(app[name])
    return flags


def _variable(flag: str) -> str:
    return flag.lstrip("-").replace("-", "_").upper()


def _say(code: ExitCode, line: str) -> ExitCode:
    print(f"{PROGRAM}: {line}", file=sys.stderr)
    return code
