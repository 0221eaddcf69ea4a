"""Pool this VM's connections to one replica.

Terms:
  free      a connection that can carry a request now
  waiting   requests for which no connection is free yet

Flow: `submit` sends on the most recently used free connection that the request allows; otherwise
the request waits for the first one that becomes free or is opened. If no more can be opened and
only a connection that it does not allow is free, it takes that as a last resort, or another one is
opened in its place: at once if it allows none of the open ones, else after `MAX_EXCHANGE_WAIT_S`.
A failed connect ends all waiting requests as NOT_SENT, because the replica accepts no connections
and another one may. `fail_waiting` does the same for a replica that must get no more requests.
`withdraw` removes a request that still waits.

Guards: a request states the time left to its caller and may wait for a connection, so it is built
only when a connection can carry it. A replica accepts a limited number of connections from all VMs
together and resets those beyond it, so each VM stays within its share, `limit`.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_wire.exchange import (
    ConnectionUse,
    ExchangeConnection,
    ExchangeFailure,
    ExchangeFailureKind,
    ExchangeRequest,
    ExchangeSink,
    open_exchange_connection,
)
from berylspindle_wire.reply_body import ReplyMemory

BuildRequest = Callable[[], ExchangeRequest]

MAX_EXCHANGE_WAIT_S: Final = 0.05
"""Seconds for which a request waits for the exchange of another one before a connection is replaced
for it. A connect occupies a slot of the replica, and an exchange that ends frees one."""

IDLE_CHECK_AFTER_S: Final = 0.5
"""Idle time in seconds after which a connection is checked for closure by the peer before reuse;
replicas close idle connections after several seconds."""

RESET_SETTLE_S: Final = 0.05
"""Seconds after a lost connection in which the resets of the others arrive, if their process has
ended: they come one after the other, and those that have not arrived look open."""


@attrs.frozen(kw_only=True)
class PoolOptions:
    """Limits of the connections to one replica.

    Attributes:
        connect_timeout: connect timeout in seconds; a running replica accepts within a few
            milliseconds, so half a second without an accept means that it is down.
        most_bytes: maximum size of a reply body, in bytes.
    """

    connect_timeout: float = 0.5
    most_bytes: int = 4 * 1024 * 1024


@attrs.frozen(eq=False)
class _WaitingRequest:
    """A request without a connection; it waits since a time of the event loop's clock."""

    build: BuildRequest
    sink: ExchangeSink
    since: float


class ReplicaPool:
    """At most `limit` connections to one address; requires a running event loop."""

    def __init__(
        self,
        host: str,
        port: int,
        *,
        limit: int,
        options: PoolOptions,
        memory: ReplyMemory,
        on_opened: Callable[[], None],
    ) -> None:
        """Initialize; `memory` limits the unfinished replies of all pools of this VM together."""
        self._address: Final = (host, port)
        self._options: Final = options
        self._memory: Final = memory
        self._on_opened: Final = on_opened
        self.limit = max(1, limit)
        self._loop: Final = asyncio.get_running_loop()
        self._open: Final[set[ExchangeConnection]] = set()
        self._free: Final[list[ExchangeConnection]] = []
        self._waiting: Final[deque[_WaitingRequest]] = deque()
        self._replacement_timer: asyncio.TimerHandle | None = None
        self._tasks: Final[set[asyncio.Task[None]]] = set()
        self._failures = 0
        self._closed = False

    @property
    def open_connections(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._open) + len(self._tasks)

    def submit(self, build: BuildRequest, sink: ExchangeSink) -> ExchangeConnection | None:
        """Send or queue a request; return its connection, or None if it waits for one.

        `build` returns the request as of the time of sending. The connection of a request that
        waited is passed to `sink.on_connection_assigned`.
        """
        while (connection := self._take_free(sink)) is not None:
            request = build()
            if self._is_usable(connection, request):
                connection.send(request, sink)
                return connection
            connection.close()
        self._waiting.append(_WaitingRequest(build, sink, self._loop.time()))
        self._open_more()
        self._serve_last_resort()
        return None

    def withdraw(self, sink: ExchangeSink) -> bool:
        """Remove a request that waits for a connection; return False if it doesn't wait."""
        for waiting in self._waiting:
            if waiting.sink is sink:
                self._waiting.remove(waiting)
                return True
        return False

    def fail_waiting(self, detail: str) -> None:
        """End all requests that wait for a connection as NOT_SENT."""
        ended, waiting = ExchangeFailure(ExchangeFailureKind.NOT_SENT, detail), list(self._waiting)
        self._waiting.clear()
        for one in waiting:
            one.sink.on_failure(ended)

    def warm_up(self) -> None:
        """Open a connection in advance unless one is open or being opened."""
        if not self._open and not self._tasks:
            self._start_opening()

    async def is_reachable(self) -> bool:
        """Return whether the process is running, after a connection to it was lost.

        It is if it keeps a free connection open or accepts a new one, which stays in the pool.
        """
        if self._free or self._tasks:
            await asyncio.sleep(RESET_SETTLE_S)
            if any(not connection.has_unread_input() for connection in self._free):
                return True
        if self._closed:
            return False
        if not self._tasks:
            self._start_opening()
        failures = self._failures
        await asyncio.wait(tuple(self._tasks), return_when=asyncio.FIRST_COMPLETED)
        return self._failures == failures

    async def close(self) -> None:
        """Close all connections, and end the requests in flight and those that wait."""
        self._closed = True
        if self._replacement_timer is not None:
            self._replacement_timer.cancel()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in tuple(self._open):
            connection.close()
        self.fail_waiting("connection pool is closed")

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in flight or waits."""
        return not self._waiting and len(self._free) == len(self._open)

    def _is_usable(self, connection: ExchangeConnection, request: ExchangeRequest) -> bool:
        """Return whether a free connection can carry a request.

        Checking for unread input costs a system call. It is skipped on a recently used connection
        for a request without a body, which can be sent again.
        """
        if not connection.is_free:
            return False
        if not request.body and connection.idle_for() < IDLE_CHECK_AFTER_S:
            return True
        return not connection.has_unread_input()

    def _take_free(self, sink: ExchangeSink) -> ExchangeConnection | None:
        """Remove and return the most recently used free connection that a request allows."""
        for connection in reversed(self._free):
            if sink.connection_use(connection) is ConnectionUse.ALLOWED:
                self._free.remove(connection)
                return connection
        return None

    def _open_more(self) -> None:
        while len(self._waiting) > len(self._tasks) and self.open_connections < self.limit:
            self._start_opening()

    def _start_opening(self) -> None:
        task = self._loop.create_task(self._open_one())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_one(self) -> None:
        try:
            connection = await open_exchange_connection(
                *self._address,
                timeout=self._options.connect_timeout,
                max_reply_bytes=self._options.most_bytes,
                memory=self._memory,
                on_free=self._on_free,
            )
        except OSError as error:
            self._failures += 1
            self.fail_waiting(f"connect: {error or type(error).__name__}")
            return
        if self._closed:
            connection.close()
            return
        self._open.add(connection)
        self._on_opened()
        self._on_free(connection)

    def _on_free(self, connection: ExchangeConnection) -> None:
        if not connection.is_free:
            self._open.discard(connection)
            if connection in self._free:
                self._free.remove(connection)
            if not self._closed:
                self._open_more()
            return
        if not self._send_next(connection, ConnectionUse.ALLOWED):
            self._free.append(connection)
            self._serve_last_resort()

    def _send_next(self, connection: ExchangeConnection, use: ConnectionUse) -> bool:
        """Send the first waiting request with this use of a connection, if there is one."""
        for waiting in self._waiting:
            if waiting.sink.connection_use(connection) is use:
                self._waiting.remove(waiting)
                waiting.sink.on_connection_assigned(connection)
                connection.send(waiting.build(), waiting.sink)
                return True
        return False

    def _serve_last_resort(self) -> None:
        """Serve a request that waits although a connection is free, if no more can be opened."""
        if not self._waiting or not self._free or self._tasks or self._closed:
            return
        if self.open_connections < self.limit:
            return
        connection = self._free.pop()
        is_usable = connection.is_free and not connection.has_unread_input()
        if is_usable and self._send_next(connection, ConnectionUse.LAST_RESORT):
            return
        due = min(map(self._replacement_due, self._waiting))
        if is_usable and due > self._loop.time():
            self._free.append(connection)
            self._set_replacement_timer(due)
            return
        # Its end opens another one.
        connection.close()

    def _replacement_due(self, waiting: _WaitingRequest) -> float:
        """Return when a connection is replaced for a request that can use no free one."""
        is_served_later = any(
            waiting.sink.connection_use(connection) is ConnectionUse.ALLOWED
            for connection in self._open
        )
        return waiting.since + (MAX_EXCHANGE_WAIT_S if is_served_later else 0.0)

    def _set_replacement_timer(self, due: float) -> None:
        if self._replacement_timer is not None:
            self._replacement_timer.cancel()
        self._replacement_timer = self._loop.call_at(due, self._serve_last_resort)


class RetiredPools:
    """Pools to addresses no longer in use; each is closed after its last request has ended."""

    def __init__(self) -> None:
        self._tasks: Final[set[asyncio.Task[None]]] = set()

    def retire(self, pool: ReplicaPool) -> None:
        """Close a pool as soon as it is idle."""
        task = asyncio.get_running_loop().create_task(_close_when_idle(pool))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop waiting for pools to become idle."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _close_when_idle(pool: ReplicaPool) -> None:
    # Retirement is rare and not urgent, so polling costs less than a notification per exchange.
    while not pool.is_idle:  # noqa: ASYNC110
        await asyncio.sleep(0.25)
    await pool.close()
