"""The settings of the daemon, each a flag and an environment variable.

Terms:
  edge     a listener of the daemon: callers', operators' and peers'
  secret   the peers' key or the operators' token; read from a file or the environment, never
           from a flag, since flags show in the list of processes

Flow: cyclopts fills `Options` from flags and from environment variables with the prefix
`BERYLSPINDLE_` (`--listen-port` is BERYLSPINDLE_LISTEN_PORT); `complete_options` makes the checks
that involve several settings, reads the secrets and generates the VM's id. A flag takes precedence
over its variable.
"""

from __future__ import annotations

import ipaddress
import secrets
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Final, Literal, TypeVar

import attrs
from cyclopts import Group, Parameter
from cyclopts.validators import Number

from berylspindle_daemon.exit_codes import DaemonError, ExitCode
from berylspindle_telemetry.secret import Secret

ENV_PREFIX: Final = "BERYLSPINDLE_"
# Prefix of the operators' tool, whose variables may be set in the same environment.
CLI_ENV_PREFIX: Final = "BERYLSPINDLE_CLI_"
PEER_KEY_ENV: Final = "BERYLSPINDLE_PEER_KEY"
ADMIN_TOKEN_ENV: Final = "BERYLSPINDLE_ADMIN_TOKEN"
# Long enough to make guessing over a network infeasible, short enough to type.
MIN_SECRET_LENGTH: Final = 16

_IDENTITY: Final = Group("Identity", sort_key=1)
_EDGES: Final = Group("Addresses", sort_key=2)
_PLATFORM: Final = Group("Platform", sort_key=3)
_SECRETS: Final = Group("Secrets", sort_key=4)
_LIMITS: Final = Group("Limits", sort_key=5)
_TIMINGS: Final = Group("Timings", sort_key=6)
_LOGS: Final = Group("Logs and time line", sort_key=7)

Times = TypeVar("Times", bound=attrs.AttrsInstance)
LogLevel = Literal["debug", "info", "notice", "warning", "error", "critical"]
LogFormat = Literal["text", "json"]


def _text(group: Group, text: str) -> Parameter:
    return Parameter(group=group, help=text)


def _number(group: Group, text: str, minimum: float, maximum: float) -> Parameter:
    return Parameter(group=group, help=text, validator=Number(gte=minimum, lte=maximum))


def _port(group: Group, text: str, minimum: int = 0) -> Parameter:
    return _number(group, text, minimum, 65535)


@attrs.frozen(kw_only=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@Parameter(name="*")
@attrs.frozen(kw_only=True)
class Options:
    """Settings of the daemon. Durations are in seconds unless the name ends in `_ms`."""

    data_centre: Annotated[str, _text(_IDENTITY, "Name of the data centre of this VM.")]
    vm_id: Annotated[
        str, _text(_IDENTITY, "Id of this VM, never reused; if empty, a random one is made.")
    ] = ""

    listen_host: Annotated[str, _text(_EDGES, "Callers' edge, IP address.")] = "127.0.0.1"
    listen_port: Annotated[int, _port(_EDGES, "Callers' edge, TCP port; 0 picks a free one.")] = (
        8080
    )
    admin_host: Annotated[str, _text(_EDGES, "Operators' edge, IP address.")] = "127.0.0.1"
    admin_port: Annotated[int, _port(_EDGES, "Operators' edge, TCP port; 0 picks a free one.")] = (
        8081
    )
    peer_host: Annotated[str, _text(_EDGES, "Peers' edge, IP address.")] = "127.0.0.1"
    peer_port: Annotated[int, _port(_EDGES, "Peers' edge, TCP and UDP port.", 1)] = 8082
    seeds: Annotated[
        str, _text(_EDGES, "Seed peers to join through, host:port, comma-separated; may be empty.")
    ] = ""

    store_host: Annotated[str, _text(_PLATFORM, "Configuration store, host.")]
    store_port: Annotated[int, _port(_PLATFORM, "Configuration store, TCP port.", 1)]
    vm_list_host: Annotated[str, _text(_PLATFORM, "VM list, host; defaults to the store's.")] = ""
    vm_list_port: Annotated[int, _port(_PLATFORM, "VM list, TCP port; 0 means the store's.")] = 0

    peer_key_file: Annotated[
        Path | None,
        _text(_SECRETS, f"File with the key shared by all VMs; or set {PEER_KEY_ENV}."),
    ] = None
    admin_token_file: Annotated[
        Path | None,
        _text(_SECRETS, f"File with the operators' token; or set {ADMIN_TOKEN_ENV}."),
    ] = None
    admin_tls_certificate: Annotated[
        Path | None,
        _text(_SECRETS, "PEM file of the operators' edge's certificate; enables TLS there."),
    ] = None
    admin_tls_key: Annotated[
        Path | None, _text(_SECRETS, "PEM file of its key, if not in the certificate file.")
    ] = None
    admin_tls_ca: Annotated[
        Path | None,
        _text(_SECRETS, "PEM file of the CA; operators then need a certificate signed by it."),
    ] = None
    peer_key: Annotated[Secret | None, Parameter(parse=False)] = None
    admin_token: Annotated[Secret | None, Parameter(parse=False)] = None

    header_bytes: Annotated[
        int, _number(_LIMITS, "Maximum size of request line and headers, bytes.", 1024, 1 << 20)
    ] = (16 * 1024)
    body_bytes: Annotated[
        int, _number(_LIMITS, "Maximum size of a request body, bytes.", 1024, 64 << 20)
    ] = (1024 * 1024)
    connections: Annotated[
        int, _number(_LIMITS, "Maximum open connections of callers.", 1, 100_000)
    ] = 1000
    admin_connections: Annotated[
        int, _number(_LIMITS, "Maximum open connections of operators.", 1, 10_000)
    ] = 50
    requests_in_flight: Annotated[
        int, _number(_LIMITS, "Maximum concurrent requests of callers.", 1, 100_000)
    ] = 256
    server_queue: Annotated[
        int, _number(_LIMITS, "Maximum queued attempts per owned backend server.", 1, 100_000)
    ] = 64

    read_timeout: Annotated[
        float, _number(_TIMINGS, "Timeout for receiving one request, s.", 0.1, 300)
    ] = 5.0
    idle_timeout: Annotated[
        float, _number(_TIMINGS, "Timeout of idle connections, s.", 1, 3600)
    ] = 60.0
    connect_timeout: Annotated[
        float, _number(_TIMINGS, "Timeout for opening a connection, s.", 0.01, 60)
    ] = 1.0
    store_timeout: Annotated[
        float, _number(_TIMINGS, "Timeout of one call to the store, s.", 0.01, 60)
    ] = 1.0
    unready_seconds: Annotated[
        float, _number(_TIMINGS, "Time to keep serving after readiness fails, s.", 0, 300)
    ] = 3.0
    shutdown_grace: Annotated[
        float,
        _number(_TIMINGS, "Maximum duration of the graceful shutdown after that, s.", 0, 3600),
    ] = 20.0
    control_pace: Annotated[
        float,
        _number(_TIMINGS, "Factor on all lease and probe times; the same on all VMs.", 0.1, 10),
    ] = 1.0
    vm_list_interval: Annotated[
        float, _number(_TIMINGS, "Interval between reads of the VM list, s.", 0.1, 3600)
    ] = 5.0

    log_level: Annotated[LogLevel, _text(_LOGS, "Minimum severity of log lines.")] = "info"
    log_format: Annotated[LogFormat, _text(_LOGS, "Plain text or JSON lines.")] = "text"
    timeline_events: Annotated[
        int, _number(_LOGS, "Maximum number of events in the time line.", 10, 1_000_000)
    ] = 5000

    @property
    def seed_addresses(self) -> tuple[Address, ...]:
        """Return the seeds as addresses; raises ValueError for a malformed one."""
        return tuple(parse_address(part) for part in self.seeds.split(",") if part.strip())

    @property
    def open_edges(self) -> tuple[str, ...]:
        """Return the names of the edges without a secret, for the log."""
        edges = []
        if self.peer_key is None:
            edges.append("peers' edge")
        if not self.is_admin_authenticated:
            edges.append("operators' edge")
        return tuple(edges)

    @property
    def is_admin_authenticated(self) -> bool:
        """Return whether operators need a token or a certificate."""
        return self.admin_token is not None or self.admin_tls_ca is not None


def parse_address(text: str) -> Address:
    """Parse `host:port` or `[host]:port`; raises ValueError."""
    host, colon, port = text.strip().rpartition(":")
    host = host.strip("[]")
    if not colon or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text.strip()!r} is not host:port")
    return Address(host=str(ipaddress.ip_address(host)), port=int(port))


def scale_times(times: Times, pace: float) -> Times:
    """Return an attrs instance with all its floats, also nested ones, multiplied by `pace`.

    The times of leases and probes depend on each other, within one VM and between VMs: a VM whose
    settling time is shorter than another VM's lease would dispatch concurrently with it. Therefore
    they are not separate settings but scale together, by the same factor on all VMs.
    """
    values = {field.name: getattr(times, field.name) for field in attrs.fields(type(times))}
    for name, value in values.items():
        if isinstance(value, float):
            values[name] = value * pace
        elif attrs.has(type(value)):
            values[name] = scale_times(value, pace)
    return type(times)(**values)


def complete_options(options: Options, environ: Mapping[str, str]) -> Options:
    """Return the options with secrets and derived defaults filled in.

    Raises DaemonError for inconsistent settings, an unreadable secret, an unknown environment
    variable, and an edge without a secret that would listen beyond loopback.
    """
    _reject_unknown_variables(environ)
    _check_addresses(options)
    completed = attrs.evolve(
        options,
        vm_id=options.vm_id or f"vm-{secrets.token_hex(6)}",
        vm_list_host=options.vm_list_host or options.store_host,
        vm_list_port=options.vm_list_port or options.store_port,
        peer_key=_load_secret(options.peer_key_file, environ, "peer-key", PEER_KEY_ENV),
        admin_token=_load_secret(options.admin_token_file, environ, "admin-token", ADMIN_TOKEN_ENV),
    )
    _reject_open_edges(completed)
    return completed


def environment_variable(field: str) -> str:
    """Return the environment variable of a setting."""
    return ENV_PREFIX + field.upper()


def _reject_unknown_variables(environ: Mapping[str, str]) -> None:
    """Reject unknown variables: a misspelt one would silently have no effect."""
    known = {environment_variable(field.name) for field in attrs.fields(Options)}
    for name in sorted(environ):
        if name.startswith(CLI_ENV_PREFIX) or not name.startswith(ENV_PREFIX):
            continue
        if name not in known:
            raise DaemonError(ExitCode.USAGE, f"unknown setting in the environment: {name}")


def _check_addresses(options: Options) -> None:
    for flag, host in (
        ("--listen-host", options.listen_host),
        ("--admin-host", options.admin_host),
        ("--peer-host", options.peer_host),
    ):
        try:
            ipaddress.ip_address(host)
        except ValueError:
            raise DaemonError(ExitCode.USAGE, f"{flag}: {host!r} is not an IP address") from None
    try:
        _ = options.seed_addresses
    except ValueError as error:
        raise DaemonError(ExitCode.USAGE, f"--seeds: {error}") from None
    if not options.data_centre:
        raise DaemonError(ExitCode.USAGE, "--data-centre: must not be empty")
    if not options.store_host:
        raise DaemonError(ExitCode.USAGE, "--store-host: must not be empty")


def _load_secret(
    path: Path | None, environ: Mapping[str, str], flag: str, variable: str
) -> Secret | None:
    """Read one secret. Messages name the setting, never its value, which may be the secret."""
    if path is not None and variable in environ:
        raise DaemonError(ExitCode.USAGE, f"--{flag}-file and {variable} are both set")
    if path is None and variable not in environ:
        return None
    if path is None:
        value, source = environ[variable].strip(), variable
    else:
        value, source = _read_secret_file(path, flag), f"the file of --{flag}-file"
    if len(value) < MIN_SECRET_LENGTH:
        raise DaemonError(
            ExitCode.SECRET_UNREADABLE,
            f"{source} has fewer than {MIN_SECRET_LENGTH} characters",
        )
    return Secret(value)


def _read_secret_file(path: Path, flag: str) -> str:
    try:
        return path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8 text"
        raise DaemonError(
            ExitCode.SECRET_UNREADABLE, f"cannot read the file of --{flag}-file: {reason}"
        ) from None


def _reject_open_edges(options: Options) -> None:
    """Reject an edge without a secret that listens on an address other than loopback.

    A forgotten secret would have no visible effect until an unauthorised client used the edge, for
    example to take a data centre out of service.
    """
    if options.admin_tls_certificate is None and (options.admin_tls_key or options.admin_tls_ca):
        raise DaemonError(
            ExitCode.USAGE, "--admin-tls-certificate: required by the other TLS flags"
        )
    for is_authenticated, edge, flag, host in (
        (options.peer_key is not None, "peers' edge", "peer-key", options.peer_host),
        (options.is_admin_authenticated, "operators' edge", "admin-token", options.admin_host),
    ):
        if not is_authenticated and not ipaddress.ip_address(host).is_loopback:
            raise DaemonError(
                ExitCode.OPEN_EDGE,
                f"the {edge} on {host} needs a secret: set --{flag}-file, or listen on " "loopback",
            )
