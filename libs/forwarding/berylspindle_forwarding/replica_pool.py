"""The connections of this VM to one replica.

Terms:
  free      a connection that can carry a request now
  waiting   requests for which there is no free connection yet
  opening   connects under way

Flow: `submit` sends on the most recently used free connection, else the request waits for the first
that becomes free or is opened. A connect that fails ends all that wait as NOT_SENT, for the replica
takes no connection just now and another one may. `withdraw` takes back what still waits.

Guards: a request may wait for longer than its caller has left, and states the time that is left; so
it is written only when a connection carries it. A replica takes a limited number of connections of
all VMs together and resets those beyond, so that each VM keeps to its share of them, `limit`.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_wire.exchange import (
    EndKind,
    ExchangeConnection,
    ExchangeEnd,
    ExchangeRequest,
    ExchangeSink,
    open_exchanges,
)

WriteRequest = Callable[[], ExchangeRequest]

ASK_AFTER_S: Final = 0.5
"""Seconds of idleness after which the kernel is asked whether a connection has ended; replicas
close theirs after several seconds."""


@attrs.frozen(kw_only=True)
class PoolOptions:
    """Bounds of the connections to one replica.

    Attributes:
        connect_timeout: seconds for a connect; a replica takes one within some milliseconds, so
            that half a second means that nobody is there.
        most_bytes: longest answer that is taken.
    """

    connect_timeout: float = 0.5
    most_bytes: int = 4 * 1024 * 1024


class ReplicaPool:
    """Connections to one address, `limit` at most; needs a running loop when made."""

    def __init__(
        self,
        host: str,
        port: int,
        *,
        limit: int,
        options: PoolOptions,
        on_opened: Callable[[], None],
    ) -> None:
        self._address: Final = (host, port)
        self._options: Final = options
        self._on_opened: Final = on_opened
        self.limit = max(1, limit)
        self._loop: Final = asyncio.get_running_loop()
        self._open: Final[set[ExchangeConnection]] = set()
        self._free: Final[list[ExchangeConnection]] = []
        self._waiting: Final[deque[tuple[WriteRequest, ExchangeSink]]] = deque()
        self._tasks: Final[set[asyncio.Task[None]]] = set()
        self._failures = 0
        self._closed = False

    @property
    def open_connections(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._open) + len(self._tasks)

    def submit(self, write: WriteRequest, sink: ExchangeSink) -> ExchangeConnection | None:
        """Send a request, or let it wait; return the connection that carries it, if one does.

        `write` returns the request as it is at that moment. One that waits gets its connection by
        `sink.on_carried`.
        """
        while self._free:
            connection, request = self._free.pop(), write()
            if self._is_trusted(connection, request):
                connection.send(request, sink)
                return connection
            connection.close()
        self._waiting.append((write, sink))
        self._open_more()
        return None

    def withdraw(self, sink: ExchangeSink) -> bool:
        """Take back a request that still waits; return False where it no longer does."""
        for entry in self._waiting:
            if entry[1] is sink:
                self._waiting.remove(entry)
                return True
        return False

    def warm_up(self) -> None:
        """Open one connection ahead of need, unless there is one."""
        if not self._open and not self._tasks:
            self._start_opening()

    async def is_reachable(self) -> bool:
        """Return whether the address takes a connection; one that is opened stays in the pool."""
        if any(not connection.peer_has_ended() for connection in self._free):
            return True
        if self._closed:
            return False
        if not self._tasks:
            self._start_opening()
        failures = self._failures
        await asyncio.wait(tuple(self._tasks), return_when=asyncio.FIRST_COMPLETED)
        return self._failures == failures

    async def close(self) -> None:
        """Close all connections; what is under way or waits is told so."""
        self._closed = True
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in tuple(self._open):
            connection.close()
        self._end_waiting("the pool is closed")

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is under way or waits."""
        return not self._waiting and len(self._free) == len(self._open)

    def _is_trusted(self, connection: ExchangeConnection, request: ExchangeRequest) -> bool:
        """Tell whether a connection may carry a request.

        Asking the kernel costs a call, which a request without a body, that can be sent again, is
        spared on a connection that was in use just now.
        """
        if not connection.is_free:
            return False
        if not request.body and connection.idle_for() < ASK_AFTER_S:
            return True
        return not connection.peer_has_ended()

    def _open_more(self) -> None:
        while len(self._waiting) > len(self._tasks) and self.open_connections < self.limit:
            self._start_opening()

    def _start_opening(self) -> None:
        task = self._loop.create_task(self._open_one())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_one(self) -> None:
        try:
            connection = await open_exchanges(
                *self._address,
                timeout=self._options.connect_timeout,
                most_bytes=self._options.most_bytes,
                on_free=self._on_free,
            )
        except OSError as error:
            self._failures += 1
            self._end_waiting(f"connect: {error or type(error).__name__}")
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
        while self._waiting:
            write, sink = self._waiting.popleft()
            sink.on_carried(connection)
            connection.send(write(), sink)
            return
        self._free.append(connection)

    def _end_waiting(self, detail: str) -> None:
        ended, waiting = ExchangeEnd(EndKind.NOT_SENT, detail), list(self._waiting)
        self._waiting.clear()
        for _, sink in waiting:
            sink.on_end(ended)


class RetiredPools:
    """Pools to addresses that are gone; each is closed once what is under way there has ended."""

    def __init__(self) -> None:
        self._tasks: Final[set[asyncio.Task[None]]] = set()

    def retire(self, pool: ReplicaPool) -> None:
        """Close a pool as soon as nothing is under way or waits."""
        task = asyncio.get_running_loop().create_task(_finish(pool))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Wait for nothing any more."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _finish(pool: ReplicaPool) -> None:
    # Seldom and unhurried, so that a look now and then costs less than telling of each end.
    while not pool.is_idle:  # noqa: ASYNC110
        await asyncio.sleep(0.25)
    await pool.close()
