"""The command `berylspindle`: the operators' tool, which can also send callers' requests.

Flow: cyclopts parses flags and the environment and runs one command, which prints its result and
returns an `ExitCode`. A usage error becomes one line on standard error.
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
from berylspindle_cli.quotas_command import quotas
from berylspindle_cli.settings import ENV_PREFIX, TOKEN_ENV, ToolError
from berylspindle_cli.status_command import status
from berylspindle_cli.timeline_command import timeline

configuration.command(import_, name="import")

PROGRAM: Final = "berylspindle"

HELP: Final = """Operate the query tier: request the plan of an intent, review it, confirm it.

Every flag is also an environment variable: BERYLSPINDLE_CLI_ and its name in upper case.

Exit codes:

- 0 success;
- 1 refused, nothing changed and nothing ran;
- 2 a flag, variable or file is invalid;
- 3 no daemon could be reached, nothing ran;
- 4 the plan is stale or conflicts with another change;
- 5 the plan violates a guarantee and needs an override;
- 6 the request may have run;
- 7 the answer is partial, or the revision is not in force everywhere;
- 8 the compared configurations differ.
"""


def make_app() -> App:
    """Return the application with all its commands."""
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
        quotas,
        configuration,
    ):
        app.command(command)
    return app


def reject_unknown_variables(app: App, environ: Mapping[str, str]) -> None:
    """Reject unknown variables: with a misspelt one the tool would contact the wrong daemons."""
    known = {TOKEN_ENV} | {ENV_PREFIX + _variable_name(flag) for flag in _flags(app)}
    for name in sorted(environ):
        if name.startswith(ENV_PREFIX) and name not in known:
            raise ToolError(ExitCode.USAGE, f"unknown setting in the environment: {name}")


def run(arguments: Sequence[str] | None = None) -> None:
    """Run one command and exit; the entry point of the tool."""
    tokens = sys.argv[1:] if arguments is None else list(arguments)
    try:
        app = make_app()
        reject_unknown_variables(app, os.environ)
        result = app(tokens, exit_on_error=False, print_error=False)
        code = result if isinstance(result, ExitCode) else ExitCode.OK
    except CycloptsError as error:
        code = _print_error(ExitCode.USAGE, " ".join(str(error).split()))
    except ToolError as error:
        code = _print_error(error.code, error.line)
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


def _variable_name(flag: str) -> str:
    return flag.lstrip("-").replace("-", "_").upper()


def _print_error(code: ExitCode, line: str) -> ExitCode:
    print(f"{PROGRAM}: {line}", file=sys.stderr)
    return code
