"""The stand-in backend servers of one process, with an admin port for faults and counts.

Terms:
  admin port   serves `PUT /faults` with a `FaultChange`, `GET /counts` with a `CountsDocument`
               and `GET /calls` with a `CallsDocument`

Flow: `start_backends` listens on the port of each server of a configuration and on the admin port.
A server with port 0 gets a free port; the property `configuration` has the bound ports.
"""

from __future__ import annotations

import contextlib
from typing import Final, Self

import attrs

from berylspindle_model import codec
from berylspindle_model.configuration import Configuration, Server
from berylspindle_model.snapshot import Snapshot
from berylspindle_standins.backend_faults import BackendCounts, BackendOptions, FaultChange
from berylspindle_standins.backend_host import BackendHost
from berylspindle_standins.call_log import CallLog
from berylspindle_standins.standin_http import (
    Connection,
    ConnectionHost,
    Reply,
    bound_port,
    json_reply,
    listen,
)
from berylspindle_wire.http import HttpRequest

FAULTS_PATH: Final = "/faults"
COUNTS_PATH: Final = "/counts"
CALLS_PATH: Final = "/calls"
FIRST_VERSION: Final = 1


@attrs.frozen(kw_only=True)
class ServerCounts:
    """Counts and current state of one server."""

    server: str
    service: str
    shard: str
    data_centre: str
    state: str
    down: bool
    in_flight: int
    connections: int
    snapshots: tuple[Snapshot, ...]
    counts: BackendCounts


@attrs.frozen(kw_only=True)
class CountsDocument:
    """Body of GET /counts: one entry per server."""

    servers: tuple[ServerCounts, ...]


class BackendStandin(ConnectionHost):
    """All backend servers of one process and their admin port."""

    def __init__(
        self,
        configuration: Configuration,
        options: BackendOptions,
        service_options: dict[str, BackendOptions],
    ) -> None:
        self._configuration = configuration
        self._stack: Final = contextlib.AsyncExitStack()
        self._admin_connections: set[Connection] = set()
        self._admin_port = 0
        self._log: Final = CallLog()
        self._hosts: Final = {
            spec.id: BackendHost(
                spec,
                service_options.get(spec.service, options),
                _first_snapshot(configuration, spec),
                self._log,
            )
            for spec in configuration.servers
        }

    @property
    def configuration(self) -> Configuration:
        """Return the configuration with the bound ports."""
        return self._configuration

    @property
    def admin_port(self) -> int:
        """Return the admin port."""
        return self._admin_port

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def start(self, host: str, port: int) -> None:
        """Listen on all ports. Raises OSError, after closing the open ones, if a port is in use."""
        try:
            ports = {name: await item.start(self._stack) for name, item in self._hosts.items()}
            server = await listen(self, host, port)
        except OSError:
            await self._stack.aclose()
            raise
        self._stack.callback(self._reset_admin_connections)
        self._stack.callback(server.close)
        self._admin_port = bound_port(server)
        servers = tuple(attrs.evolve(s, port=ports[s.id]) for s in self._configuration.servers)
        self._configuration = attrs.evolve(self._configuration, servers=servers)

    async def close(self) -> None:
        """Close all ports and connections."""
        await self._stack.aclose()

    def change(self, change: FaultChange) -> list[str]:
        """Apply a change to the servers that it selects. Return their ids."""
        selected = [host for host in self._hosts.values() if _selects(change, host.backend.spec)]
        for host in selected:
            host.change(change)
        return [host.backend.spec.id for host in selected]

    def counts(self) -> dict[str, BackendCounts]:
        """Return the counts by server."""
        return {name: host.backend.counts for name, host in self._hosts.items()}

    def document(self) -> CountsDocument:
        """Return the counts and current state of every server, the body of GET /counts."""
        return CountsDocument(servers=tuple(_server_counts(h) for h in self._hosts.values()))

    def executions(self) -> dict[str, int]:
        """Return the number of executions over all servers by idempotency key."""
        total: dict[str, int] = {}
        for counts in self.counts().values():
            for key, times in counts.executions.items():
                total[key] = total.get(key, 0) + times
        return total

    def accept(self, connection: Connection) -> bool:
        """Accept every connection to the admin port."""
        self._admin_connections.add(connection)
        return True

    def on_closed(self, connection: Connection) -> None:
        """Remove a closed connection to the admin port."""
        self._admin_connections.discard(connection)

    async def answer(self, request: HttpRequest) -> Reply:
        """Answer a request on the admin port."""
        if (request.method, request.path) == ("GET", COUNTS_PATH):
            return json_reply(200, self.document())
        if (request.method, request.path) == ("GET", CALLS_PATH):
            return json_reply(200, self._log.document())
        if (request.method, request.path) == ("PUT", FAULTS_PATH):
            return self._put_faults(request.body)
        return json_reply(404, {"error": "no such route"})

    def _put_faults(self, body: bytes) -> Reply:
        try:
            changed = self.change(codec.from_json(body, FaultChange))
        except (codec.MalformedError, ValueError) as error:
            return json_reply(400, {"error": str(error)})
        return json_reply(200, {"servers": changed})

    def _reset_admin_connections(self) -> None:
        for connection in tuple(self._admin_connections):
            connection.reset()


async def start_backends(
    configuration: Configuration,
    *,
    options: BackendOptions | None = None,
    service_options: dict[str, BackendOptions] | None = None,
    host: str = "127.0.0.1",
    admin_port: int = 0,
) -> BackendStandin:
    """Start stand-ins for all backend servers of a configuration.

    `service_options` overrides `options` by service name. Raises OSError if a port is in use.
    """
    standin = BackendStandin(configuration, options or BackendOptions(), service_options or {})
    await standin.start(host, admin_port)
    return standin


def _first_snapshot(configuration: Configuration, spec: Server) -> Snapshot:
    service = configuration.service(spec.service)
    return Snapshot(1 if service is None else service.epoch, FIRST_VERSION)


def _selects(change: FaultChange, spec: Server) -> bool:
    if change.servers and spec.id not in change.servers:
        return False
    selected = (change.service, change.shard, change.data_centre)
    actual = (spec.service, spec.shard, spec.data_centre)
    return all(
        value is None or value == other for value, other in zip(selected, actual, strict=True)
    )


def _server_counts(host: BackendHost) -> ServerCounts:
    backend = host.backend
    return ServerCounts(
        server=backend.spec.id,
        service=backend.spec.service,
        shard=backend.spec.shard,
        data_centre=backend.spec.data_centre,
        state=backend.state.value,
        down=backend.down,
        in_flight=backend.in_flight,
        connections=host.connections,
        snapshots=backend.snapshots,
        counts=backend.counts,
    )
