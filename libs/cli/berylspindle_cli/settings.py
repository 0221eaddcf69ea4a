"""Settings shared by several commands of the operators' tool.

Flow: cyclopts fills these classes from flags and from environment variables with the prefix
`BERYLSPINDLE_CLI_`; `operator_client` and `caller_client` create clients from them. The token is
read from a file or from BERYLSPINDLE_CLI_TOKEN, never from a flag, since flags show in the list of
processes.
"""

from __future__ import annotations

import getpass
import os
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Annotated, Final, Literal

import attrs
from cyclopts import Group, Parameter
from cyclopts.validators import Number

from berylspindle_cli.exit_codes import ExitCode
from berylspindle_client.addresses import parse_addresses
from berylspindle_client.callers import CallerClient
from berylspindle_client.operators import OperatorClient
from berylspindle_telemetry.secret import Secret
from berylspindle_wire.tls import TlsFiles, TlsSettingsError, client_context

ENV_PREFIX: Final = "BERYLSPINDLE_CLI_"
TOKEN_ENV: Final = "BERYLSPINDLE_CLI_TOKEN"

_CONNECTION: Final = Group("Connection", sort_key=10)
_OUTPUT: Final = Group("Output", sort_key=9)

Output = Literal["table", "json"]
OutputFlag = Annotated[
    Output, Parameter(group=_OUTPUT, help="A table for people or JSON for scripts.")
]
PageFlag = Annotated[
    Literal["table", "json", "html"],
    Parameter(group=_OUTPUT, help="A table, one JSON object per line, or an HTML page."),
]


class ToolError(Exception):
    """Exit the tool with one line on standard error and an exit code."""

    def __init__(self, code: ExitCode, line: str) -> None:
        super().__init__(line)
        self.code = code
        self.line = line


@Parameter(name="*")
@attrs.frozen(kw_only=True)
class OperatorSettings:
    """Connection settings for the operators' edges of the daemons."""

    admins: Annotated[
        str,
        Parameter(
            group=_CONNECTION,
            help="Addresses of the daemons' operators' edges, host:port, comma-separated.",
        ),
    ] = "127.0.0.1:8081"
    token_file: Annotated[
        Path | None,
        Parameter(group=_CONNECTION, help=f"File with the operators' token; or set {TOKEN_ENV}."),
    ] = None
    tls_ca: Annotated[
        Path | None,
        Parameter(
            group=_CONNECTION,
            help="PEM file of the CA of the daemons' certificates; enables TLS.",
        ),
    ] = None
    tls_certificate: Annotated[
        Path | None, Parameter(group=_CONNECTION, help="PEM file of the operator's certificate.")
    ] = None
    tls_key: Annotated[
        Path | None,
        Parameter(group=_CONNECTION, help="PEM file of its key, if not in the same file."),
    ] = None
    operator: Annotated[
        str, Parameter(group=_CONNECTION, help="Name of the operator; defaults to the login name.")
    ] = ""
    timeout: Annotated[
        float,
        Parameter(
            group=_CONNECTION,
            help="Timeout of one call, s.",
            validator=Number(gte=0.1, lte=300),
        ),
    ] = 5.0


@Parameter(name="*")
@attrs.frozen(kw_only=True)
class CallerSettings:
    """Connection settings for the callers' edges of the daemons."""

    callers: Annotated[
        str,
        Parameter(
            group=_CONNECTION,
            help="Addresses of the daemons' callers' edges, host:port, comma-separated.",
        ),
    ] = "127.0.0.1:8080"
    caller: Annotated[
        str, Parameter(group=_CONNECTION, help="Name of the caller, for fair queueing.")
    ] = "berylspindle"
    deadline_ms: Annotated[
        int,
        Parameter(
            group=_CONNECTION,
            help="Deadline of the request, ms.",
            validator=Number(gte=1, lte=60_000),
        ),
    ] = 2000


def _tls_context(settings: OperatorSettings) -> ssl.SSLContext | None:
    """Return the TLS context of a client, or None if no TLS flag is given."""
    paths = (settings.tls_ca, settings.tls_certificate, settings.tls_key)
    if not any(paths):
        return None
    ca, certificate, key = (str(path) if path is not None else None for path in paths)
    return client_context(TlsFiles(ca=ca, certificate=certificate, key=key))


@asynccontextmanager
async def operator_client(settings: OperatorSettings) -> AsyncIterator[OperatorClient]:
    """Open a client of the operators' edges; raises ToolError for an invalid setting."""
    try:
        addresses = parse_addresses(settings.admins)
        client = OperatorClient(
            addresses,
            token=_read_token(settings.token_file),
            operator=settings.operator or _login_name(),
            timeout=settings.timeout,
            tls=_tls_context(settings),
        )
    except TlsSettingsError as error:
        raise ToolError(ExitCode.USAGE, f"--tls-ca: {error}") from None
    except ValueError as error:
        raise ToolError(ExitCode.USAGE, f"--admins: {error}") from None
    async with client:
        yield client


@asynccontextmanager
async def caller_client(settings: CallerSettings) -> AsyncIterator[CallerClient]:
    """Open a client of the callers' edges; raises ToolError for an invalid setting."""
    try:
        client = CallerClient(parse_addresses(settings.callers), caller=settings.caller)
    except ValueError as error:
        raise ToolError(ExitCode.USAGE, f"--callers: {error}") from None
    async with client:
        yield client


def read_file(path: Path, description: str) -> bytes:
    """Return the contents of a file; raises ToolError, whose line contains `description`."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise ToolError(ExitCode.USAGE, f"cannot read {description}: {error.strerror}") from None


def write_file(path: Path, data: bytes) -> None:
    """Write a file; raises ToolError on failure."""
    try:
        path.write_bytes(data)
    except OSError as error:
        raise ToolError(ExitCode.USAGE, f"cannot write {path}: {error.strerror}") from None


def _read_token(path: Path | None) -> Secret | None:
    if path is not None:
        text = read_file(path, "the file of --token-file").decode("utf-8", "replace")
    else:
        text = os.environ.get(TOKEN_ENV, "")
    return Secret(text.strip()) if text.strip() else None


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "operator"
