"""The command `berylspindled`: read the settings, run the daemon, return an exit code.

Flow: cyclopts parses flags and the environment into `Options`; `options.complete_options` checks
them and reads the secrets; the log is set up; `daemon.run_daemon` runs until SIGTERM or SIGINT. Any
failure becomes one line on standard error and an `ExitCode`.
"""

from __future__ import annotations

import asyncio
import errno
import os
import sys
from collections.abc import Sequence
from importlib.metadata import version
from typing import Annotated, Final

from cyclopts import App, Parameter
from cyclopts.config import Env
from cyclopts.exceptions import CycloptsError, MissingArgumentError

from berylspindle_daemon.exit_codes import DaemonError, ExitCode
from berylspindle_daemon.options import ENV_PREFIX, Options, complete_options, environment_variable
from berylspindle_telemetry.logs import log_context, logger

PROGRAM: Final = "berylspindled"
_LISTEN_ERRORS: Final = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES})

HELP: Final = """Run one daemon of the query tier on this VM.

Every setting is a flag and an environment variable; the flag takes precedence. While the platform
is unreachable the daemon does not exit: it stays unready and reports the reason.

Exit codes:

- 0 stopped on request;
- 1 internal fault;
- 2 a setting is unknown, missing or invalid;
- 3 cannot listen;
- 4 an edge without a secret would listen beyond loopback;
- 5 a secret can't be read or is too short;
- 6 the shutdown cut off requests.
"""


def parse(arguments: Sequence[str]) -> Options | None:
    """Return the completed options, or None if only help or the version was requested.

    Environment variables supply the flags that aren't given. Raises DaemonError for an invalid
    setting.
    """
    parsed: list[Options] = []

    def daemon(*, options: Annotated[Options, Parameter(name="*")]) -> None:
        parsed.append(options)

    app = App(
        name=PROGRAM,
        help=HELP,
        help_format="markdown",
        version=version("berylspindle-daemon"),
        config=Env(ENV_PREFIX, command=False),
        result_action="return_value",
    )
    app.default(daemon)
    try:
        app(list(arguments), exit_on_error=False, print_error=False)
    except CycloptsError as error:
        raise DaemonError(ExitCode.USAGE, _usage_line(error, arguments)) from None
    return complete_options(parsed[0], os.environ) if parsed else None


def _usage_line(error: CycloptsError, arguments: Sequence[str]) -> str:
    argument = error.argument
    if not isinstance(error, MissingArgumentError) or argument is None:
        return " ".join(str(error).split())
    if any(part.startswith(argument.name) for part in arguments):
        return " ".join(str(error).split())
    variable = environment_variable(argument.name.lstrip("-").replace("-", "_"))
    return f"{argument.name} is required: pass it or set {variable}"


def run(arguments: Sequence[str] | None = None) -> None:
    """Run the daemon and exit; the entry point of the command."""
    try:
        options = parse(sys.argv[1:] if arguments is None else arguments)
        code = ExitCode.OK if options is None else _serve(options)
    except DaemonError as error:
        print(f"{PROGRAM}: {error.line}", file=sys.stderr)
        code = error.code
    sys.exit(code)


def _serve(options: Options) -> ExitCode:
    # Imported here to keep --help and usage errors from loading the whole daemon.
    from berylspindle_daemon.daemon import run_daemon
    from berylspindle_telemetry.metrics import Metrics

    metrics = Metrics()
    secrets = [secret for secret in (options.peer_key, options.admin_token) if secret is not None]
    with log_context(
        level=options.log_level,
        log_format=options.log_format,
        vm=options.vm_id,
        secrets=secrets,
        metrics=metrics,
    ):
        log = logger("main")
        for edge in options.open_edges:
            log.warning(f"the {edge} accepts any process of this machine: no secret is set")
        try:
            asyncio.run(run_daemon(options, metrics))
        except KeyboardInterrupt:
            return ExitCode.OK
        except Exception as error:
            raise _daemon_error(error) from error
    return ExitCode.OK


def _daemon_error(error: Exception) -> DaemonError:
    """Return the line and exit code for an exception; log one that isn't expected."""
    cause: Exception = error
    while isinstance(cause, ExceptionGroup) and len(cause.exceptions) == 1:
        cause = cause.exceptions[0]
    if isinstance(cause, DaemonError):
        return cause
    if isinstance(cause, OSError) and cause.errno in _LISTEN_ERRORS:
        return DaemonError(ExitCode.CANNOT_LISTEN, f"cannot listen: {cause.strerror or cause}")
    logger("main").error("internal fault", exc_info=(type(error), error, error.__traceback__))
    return DaemonError(ExitCode.INTERNAL, f"internal fault: {type(cause).__name__}")
