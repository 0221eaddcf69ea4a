"""The network side of one stand-in backend server: routes, connections and reply faults.

Flow: connections beyond the server's limit are refused. A request is decoded and passed to the
`BackendServer`; its reply or refusal is encoded. Reply faults then delay, cross, truncate or drop
the reply.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Final

from berylspindle_model import codec
from berylspindle_model.backend_protocol import (
    DEADLINE_HEADER,
    EXECUTE_PATH,
    HEALTH_PATH,
    LOAD_PATH,
    REFUSALS,
    SEARCH_PATH,
    BackendError,
    BackendRefusal,
    ExecuteCall,
    SearchCall,
)
from berylspindle_model.configuration import Server
from berylspindle_model.snapshot import Snapshot
from berylspindle_standins.backend_faults import (
    BackendAction,
    BackendOptions,
    FaultChange,
    apply_change,
)
from berylspindle_standins.backend_server import BackendServer, RefusedError, ServerDownError
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

DROPPED_REPLY: Final = Reply(status=500, drop=True)


class BackendHost(ConnectionHost):
    """Serve one backend server on its own port."""

    def __init__(
        self,
        spec: Server,
        options: BackendOptions,
        snapshot: Snapshot,
        log: CallLog | None = None,
    ) -> None:
        self._backend: Final = BackendServer(
            spec, options, snapshot=snapshot, on_crash=self.reset_connections, log=log
        )
        self._connections: set[Connection] = set()
        self._last_reply: Reply | None = None

    @property
    def backend(self) -> BackendServer:
        """Return the server behind this port."""
        return self._backend

    @property
    def connect_delay(self) -> float:
        """Return the delay before the first read from a new connection, in seconds."""
        return self._backend.options.connect_ms / 1000

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def start(self, stack: contextlib.AsyncExitStack) -> int:
        """Listen until the stack closes. Return the port."""
        spec = self._backend.spec
        server = await listen(self, spec.host, spec.port)
        stack.callback(self.reset_connections)
        stack.callback(server.close)
        return bound_port(server)

    def accept(self, connection: Connection) -> bool:
        """Refuse connections beyond the server's limit, and all connections while it is down."""
        backend = self._backend
        full = len(self._connections) >= backend.spec.connections
        if full or backend.down or backend.faults.refuse_connections:
            backend.counts.connections_refused += 1
            return False
        self._connections.add(connection)
        backend.counts.connections_made += 1
        peak = max(backend.counts.connections_peak, len(self._connections))
        backend.counts.connections_peak = peak
        return True

    def on_closed(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for connection in tuple(self._connections):
            connection.reset()

    async def answer(self, request: HttpRequest) -> Reply:
        """Answer a request, with reply faults applied."""
        if request.method == "GET":
            return self._report(request.path)
        try:
            attempt, reply = await self._call(request)
        except RefusedError as error:
            return self._refusal(error.refusal)
        except ServerDownError:
            return DROPPED_REPLY
        return await self._apply_reply_faults(attempt, reply)

    def change(self, change: FaultChange) -> None:
        """Set faults and perform the actions of a change."""
        self._backend.faults = apply_change(self._backend.faults, change)
        for action in change.actions:
            self._actions(change)[action]()

    def _report(self, path: str) -> Reply:
        if path == HEALTH_PATH:
            return json_reply(200, self._backend.health())
        if path == LOAD_PATH:
            return json_reply(200, self._backend.load())
        return json_reply(404, BackendRefusal(error=BackendError.BAD_REQUEST, detail="no route"))

    async def _call(self, request: HttpRequest) -> tuple[str, Reply]:
        try:
            remaining = _remaining(request)
            if request.path == SEARCH_PATH:
                search = codec.from_json(request.body, SearchCall)
                return search.attempt, json_reply(
                    200, await self._backend.search(search, remaining)
                )
            if request.path == EXECUTE_PATH:
                execute = codec.from_json(request.body, ExecuteCall)
                return execute.attempt, json_reply(
                    200, await self._backend.execute(execute, remaining)
                )
        except (codec.MalformedError, ValueError) as error:
            refusal = BackendRefusal(error=BackendError.BAD_REQUEST, detail=str(error))
            raise RefusedError(refusal) from error
        raise RefusedError(BackendRefusal(error=BackendError.BAD_REQUEST, detail="no route"))

    def _refusal(self, refusal: BackendRefusal) -> Reply:
        return json_reply(REFUSALS[refusal.error][0], refusal)

    async def _apply_reply_faults(self, attempt: str, reply: Reply) -> Reply:
        faults = self._backend.faults
        if faults.late_reply_ms > 0:
            await asyncio.sleep(faults.late_reply_ms / 1000)
        if faults.consume("dropped_replies"):
            return DROPPED_REPLY
        previous = self._last_reply
        self._last_reply = reply
        if faults.consume("crossed_replies"):
            return previous if previous is not None else _with_unknown_attempt(attempt, reply)
        if faults.consume("truncated_replies"):
            return Reply(status=200, body=reply.body, headers=reply.headers, truncate=True)
        return reply

    def _actions(self, change: FaultChange) -> dict[BackendAction, Callable[[], Any]]:
        backend = self._backend
        return {
            BackendAction.TURN_COLD: backend.turn_cold,
            BackendAction.TURN_WARM: backend.turn_warm,
            BackendAction.CRASH: backend.crash,
            BackendAction.DRAIN: lambda: backend.drain(on=True),
            BackendAction.END_DRAIN: lambda: backend.drain(on=False),
            BackendAction.SILENCE_CONNECTIONS: self._silence,
            BackendAction.RESET_CONNECTIONS: self.reset_connections,
            BackendAction.PUBLISH: lambda: self._publish(change),
            BackendAction.REPARTITION: lambda: self._publish(change),
        }

    def _silence(self) -> None:
        for connection in self._connections:
            connection.silence()

    def _publish(self, change: FaultChange) -> None:
        newest = self._backend.snapshots[-1]
        epoch = newest.epoch if change.epoch is None else change.epoch
        version = newest.version + 1 if change.version is None else change.version
        shard = change.shards.get(self._backend.spec.shard)
        self._backend.publish(Snapshot(epoch, version), shard)


def _remaining(request: HttpRequest) -> float | None:
    """Return the seconds until the caller's deadline, or None if there is none."""
    text = request.headers.get(DEADLINE_HEADER)
    return None if text is None else int(text) / 1000


def _with_unknown_attempt(attempt: str, reply: Reply) -> Reply:
    """Return the reply with the id of an attempt that does not exist."""
    body = reply.body.replace(attempt.encode(), attempt[::-1].encode() + b"-other", 1)
    return Reply(status=reply.status, body=body, headers=reply.headers)
