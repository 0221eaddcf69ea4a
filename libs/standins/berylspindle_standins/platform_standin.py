"""The stand-in of the platform: its store, its VM list and its faults.

Terms:
  admin port   serves `PUT /faults`, `GET /counts` and `PUT /vms`, also during an outage

Flow: `start_platform` listens on two ports. A call on the first is counted, delayed, and refused in
an outage or above a rate limit, else executed; the reply to a write may then be delayed or lost.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
from typing import Final, Self

from berylspindle_model import codec
from berylspindle_standins.platform_calls import PlatformCalls, call_kind
from berylspindle_standins.platform_faults import (
    Outage,
    PlatformChange,
    PlatformCounts,
    PlatformFaults,
    apply_platform_change,
)
from berylspindle_standins.standin_http import (
    Connection,
    ConnectionHost,
    Reply,
    bound_port,
    json_reply,
    listen,
)
from berylspindle_standins.store_state import StoreState
from berylspindle_store import routes
from berylspindle_store.routes import VmDocument, VmListDocument
from berylspindle_wire.http import HttpRequest

FAULTS_PATH: Final = "/faults"
COUNTS_PATH: Final = "/counts"
VMS_ADMIN_PATH: Final = "/vms"

DROPPED_REPLY: Final = Reply(status=500, drop=True)
READ_KINDS: Final = frozenset({"get", "list", "watch", "vms"})


class PlatformStandin(ConnectionHost):
    """The platform's protocol on one port and its admin port on another."""

    def __init__(self, vms: tuple[VmDocument, ...], seed: int) -> None:
        self._state: Final = StoreState()
        self._random = random.Random(seed)
        self._connections: set[Connection] = set()
        self._stack: Final = contextlib.AsyncExitStack()
        self._calls: Final = PlatformCalls(self._state, vms)
        self._admin: Final = _AdminHost(self)
        self._ports = (0, 0)
        self._calls_per_second: dict[bool, collections.Counter[int]] = {
            True: collections.Counter(),
            False: collections.Counter(),
        }

    @property
    def port(self) -> int:
        """Return the port of the platform's protocol."""
        return self._ports[0]

    @property
    def admin_port(self) -> int:
        """Return the admin port."""
        return self._ports[1]

    @property
    def state(self) -> StoreState:
        """Return the state of the store."""
        return self._state

    @property
    def faults(self) -> PlatformFaults:
        """Return the active faults."""
        return self._calls.faults

    @property
    def counts(self) -> PlatformCounts:
        """Return the counts of calls, connections and watches."""
        return self._calls.counts

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def start(self, host: str, port: int, admin_port: int) -> None:
        """Listen on both ports. Raises OSError if a port is in use."""
        try:
            server = await listen(self, host, port)
            self._stack.callback(self.reset_connections)
            self._stack.callback(server.close)
            admin = await listen(self._admin, host, admin_port)
        except OSError:
            await self._stack.aclose()
            raise
        self._stack.callback(self._admin.reset_connections)
        self._stack.callback(admin.close)
        self._stack.callback(self._calls.close)
        self._ports = (bound_port(server), bound_port(admin))

    async def close(self) -> None:
        """Close both ports and all connections."""
        await self._stack.aclose()

    def change(self, change: PlatformChange) -> None:
        """Set faults; the outage RESET also resets the open connections."""
        self._calls.faults = apply_platform_change(self.faults, change)
        if change.compact:
            self._state.compact()
        if self.faults.outage is Outage.RESET:
            self.reset_connections()

    def set_vms(self, vms: tuple[VmDocument, ...]) -> None:
        """Replace the VM list; readers see it after `vm_list_lag_ms`."""
        self._calls.set_vms(vms)

    def accept(self, connection: Connection) -> bool:
        """Accept a connection unless the outage is RESET."""
        if self.faults.outage is Outage.RESET:
            self.counts.refused += 1
            return False
        self._connections.add(connection)
        return True

    def on_closed(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def reset_connections(self) -> None:
        """Close every open connection at once and discard buffered output."""
        for connection in tuple(self._connections):
            connection.reset()

    async def answer(self, request: HttpRequest) -> Reply:
        """Count a call, run it and apply the faults."""
        kind = call_kind(request)
        if kind is None:
            return json_reply(routes.STATUS_NOT_FOUND, {"error": "no such route"})
        refusal = await self._refusal(kind)
        if refusal is not None:
            return refusal
        reply = await self._calls.run(kind, request)
        if kind in READ_KINDS:
            return reply
        if self.faults.late_reply_ms > 0:
            await asyncio.sleep(self.faults.late_reply_ms / 1000)
        if self._should_lose_reply():
            self.counts.lost += 1
            return DROPPED_REPLY
        return reply

    async def _refusal(self, kind: str) -> Reply | None:
        within_limit = self._count_call(kind)
        if self.faults.delay_ms > 0:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        outage = self.faults.outage
        if outage is Outage.NONE and within_limit:
            return None
        self.counts.refused += 1
        if outage is Outage.SILENT:
            await asyncio.Event().wait()
        if outage is Outage.RESET:
            return DROPPED_REPLY
        return json_reply(routes.STATUS_UNAVAILABLE, {"error": "unavailable"})

    def _count_call(self, kind: str) -> bool:
        """Count a call. Return whether it is within the rate limits."""
        counts, faults = self.counts, self.faults
        is_read = kind in READ_KINDS
        counts.calls[kind] += 1
        second = int(asyncio.get_running_loop().time())
        calls_per_second = self._calls_per_second[is_read]
        calls_per_second[second] += 1
        if len(calls_per_second) > 2:
            del calls_per_second[min(calls_per_second)]
        if is_read:
            counts.reads += 1
            counts.peak_reads_per_second = max(
                counts.peak_reads_per_second, calls_per_second[second]
            )
        else:
            counts.writes += 1
            counts.peak_writes_per_second = max(
                counts.peak_writes_per_second, calls_per_second[second]
            )
        limit = faults.reads_per_second if is_read else faults.writes_per_second
        return limit is None or calls_per_second[second] <= limit

    def _should_lose_reply(self) -> bool:
        if self.faults.consume("lost_replies"):
            return True
        return self._random.random() < self.faults.lost_reply_share


class _AdminHost(ConnectionHost):
    """The admin port of the platform."""

    def __init__(self, platform: PlatformStandin) -> None:
        self._platform: Final = platform
        self._connections: set[Connection] = set()

    def accept(self, connection: Connection) -> bool:
        self._connections.add(connection)
        return True

    def on_closed(self, connection: Connection) -> None:
        self._connections.discard(connection)

    def reset_connections(self) -> None:
        for connection in tuple(self._connections):
            connection.reset()

    async def answer(self, request: HttpRequest) -> Reply:
        route = (request.method, request.path)
        try:
            if route == ("GET", COUNTS_PATH):
                return json_reply(200, self._platform.counts)
            if route == ("PUT", FAULTS_PATH):
                self._platform.change(codec.from_json(request.body, PlatformChange))
                return json_reply(200, self._platform.faults)
            if route == ("PUT", VMS_ADMIN_PATH):
                document = codec.from_json(request.body, VmListDocument)
                self._platform.set_vms(document.vms)
                return json_reply(200, document)
        except codec.MalformedError as error:
            return json_reply(400, {"error": str(error)})
        return json_reply(404, {"error": "no such route"})


async def start_platform(
    host: str = "127.0.0.1",
    port: int = 0,
    *,
    admin_port: int = 0,
    vms: tuple[VmDocument, ...] = (),
    seed: int = 1,
) -> PlatformStandin:
    """Start a stand-in of the platform. Raises OSError if a port is in use."""
    platform = PlatformStandin(vms, seed)
    await platform.start(host, port, admin_port)
    return platform
