"""Connection pool for one backend server, with spare connections and probes of idle ones.

Terms:
  spare      idle connections kept open in advance, so that no request waits for a connect (about
             6 ms)
  silent     a connection on which nothing is reset and nothing is answered, because a middlebox
             between the two ends has dropped its state
  trusted    an idle connection whose last reply is at most `idle_probe_after` seconds old

Flow: `request` takes the most recently used idle connection, else joins a FIFO queue that returned
and newly opened connections serve. All connects are tasks of the pool, so that a cancelled request
wastes none. The maintenance task opens spares and checks idle connections.

A probe (GET /health) of an idle connection costs the backend server one cheap request and refreshes
the state of middleboxes; a new connection costs the server and the pool a connect. Hence up to
`spare` connections are probed before they stop being trusted, in the background and outside the
pool; the rest, opened for an earlier burst, are closed. No request waits for a probe. A trusted
connection that goes silent is detected by `progress_timeout`. All idle connections whose last
success is not more recent are then closed too, since the middlebox has probably dropped their state
as well.
"""

from __future__ import annotations

import asyncio
import ssl
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Final

from berylspindle_wire.http import HttpLimits, HttpRequest, HttpResponse
from berylspindle_wire.http_client import FailurePhase, HttpConnection, HttpFailure, connect

PROBE_PATH: Final = "/health"
MAX_IDLE_AGE_S: Final = 45.0
"""Default of `max_idle_age`, in seconds. Idle connections are checked at least every quarter of
`max_idle_age`. The setting closes no connection by itself: `idle_probe_after` determines the age at
which connections are probed or closed. The value is below the 60 s after which common servers close
idle connections."""

_NEW_CONNECTION_S: Final = 1.0
"""Seconds for which a connection that has carried no request counts as new, not reused."""

_INITIAL_BACKOFF_S: Final = 0.1
_MAX_BACKOFF_S: Final = 5.0

OnEvent = Callable[[str], None]


def _ignore(_: str) -> None:
    """Ignore an event; the default hook."""


class ConnectionPool:
    """Connections to one backend server, at most `limit` including those being opened.

    `on_event` is called with one of: "opened", "connect_failed", "silent", "dropped", "probed",
    "probe_failed", "expired". Times are in seconds. `close` ends the pool's tasks.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        limit: int,
        spare: int,
        connect_timeout: float,
        idle_probe_after: float,
        on_event: OnEvent = _ignore,
        max_idle_age: float = MAX_IDLE_AGE_S,
        limits: HttpLimits = HttpLimits(),  # noqa: B008
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._address: Final = (host, port)
        self._limit: Final = limit
        self._spare: Final = min(spare, limit)
        self._connect_timeout: Final = connect_timeout
        self._idle_probe_after: Final = idle_probe_after
        self._max_idle_age: Final = max_idle_age
        self._on_event: Final = on_event
        self._limits: Final = limits
        self._tls: Final = tls
        self._loop = asyncio.get_running_loop()
        self._idle: list[HttpConnection] = []
        self._busy: set[HttpConnection] = set()
        self._probing: set[HttpConnection] = set()
        self._opening = 0
        self._waiters: deque[asyncio.Future[HttpConnection]] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._connect_failures = 0
        self._next_spare_connect = 0.0
        self._closed = False
        self._maintenance_task = self._loop.create_task(self._maintain())

    @property
    def open_connections(self) -> int:
        """Return the number of connections open or being opened."""
        return len(self._idle) + len(self._busy) + len(self._probing) + self._opening

    @property
    def idle_connections(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    async def request(
        self,
        request: HttpRequest,
        *,
        timeout: float,
        progress_timeout: float | None = None,
        cancel_wait: float = 0.0,
    ) -> HttpResponse:
        """Send one request and return the reply; raise HttpFailure. Nothing is retried.

        `progress_timeout` applies to a reused connection only: on a new one, the backend server
        itself must be slow. `cancel_wait` is as in `HttpConnection.request`.
        """
        deadline = self._loop.time() + timeout
        connection = await self._acquire(timeout)
        age = self._loop.time() - connection.last_success
        reused = connection.requests > 0 or age > _NEW_CONNECTION_S
        try:
            return await connection.request(
                request,
                timeout=max(0.0, deadline - self._loop.time()),
                progress_timeout=progress_timeout if reused else None,
                cancel_wait=cancel_wait,
            )
        except HttpFailure as failure:
            if failure.silent:
                self._drop_stale(connection)
            raise
        finally:
            self._busy.discard(connection)
            self._release(connection)

    async def close(self) -> None:
        """Close all connections; requests in flight or waiting fail."""
        self._closed = True
        tasks = [self._maintenance_task, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for connection in [*self._idle, *self._busy, *self._probing]:
            connection.close()
        self._idle.clear()
        while self._waiters:
            _fail(self._waiters.popleft(), "pool is closed")

    async def _acquire(self, timeout: float) -> HttpConnection:
        if self._closed:
            raise HttpFailure(FailurePhase.NOT_SENT, "pool is closed")
        oldest_trusted = self._loop.time() - self._idle_probe_after
        while self._idle and not self._waiters:
            if self._idle[-1].last_success < oldest_trusted:
                break
            connection = self._idle.pop()
            if not connection.is_reusable:
                continue
            if connection.is_closed_by_peer():
                connection.close()
                continue
            self._busy.add(connection)
            self._open_missing()
            return connection
        return await self._wait_for_connection(timeout)

    async def _wait_for_connection(self, timeout: float) -> HttpConnection:
        waiter: asyncio.Future[HttpConnection] = self._loop.create_future()
        self._waiters.append(waiter)
        self._check_idle()
        self._open_missing()
        timer = self._loop.call_later(
            timeout, _fail, waiter, "no pooled connection within the timeout"
        )
        try:
            return await waiter
        except asyncio.CancelledError:
            # A connection may have been assigned in the same loop iteration; return it.
            if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
                self._busy.discard(waiter.result())
                self._release(waiter.result())
            raise
        finally:
            timer.cancel()
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _release(self, connection: HttpConnection) -> None:
        """Assign a connection to the first waiting request, or add it to the idle ones."""
        if self._closed:
            connection.close()
            return
        if not connection.is_reusable:
            self._open_missing()
            return
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                self._busy.add(connection)
                waiter.set_result(connection)
                return
        self._idle.append(connection)

    def _open_missing(self) -> None:
        """Start the connects needed for waiting requests and spares, within the limit."""
        if self._closed:
            return
        needed = len(self._waiters) - self._opening
        if needed > 0 and self._probing and self.open_connections >= self._limit:
            # A request must not wait for a probe: close the probed connection to make room.
            next(iter(self._probing)).close()
        if self._loop.time() >= self._next_spare_connect:
            needed += self._spare - len(self._idle) - len(self._probing)
        for _ in range(min(needed, self._limit - self.open_connections)):
            self._opening += 1
            self._start_task(self._open())

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self) -> None:
        try:
            connection = await connect(
                *self._address, timeout=self._connect_timeout, limits=self._limits, tls=self._tls
            )
        except HttpFailure as failure:
            self._opening -= 1
            self._handle_connect_failure(failure)
        except BaseException:
            self._opening -= 1
            raise
        else:
            self._opening -= 1
            self._connect_failures = 0
            self._next_spare_connect = 0.0
            self._on_event("opened")
            self._release(connection)

    def _handle_connect_failure(self, failure: HttpFailure) -> None:
        """Fail the first waiting request; delay spare connects with exponential backoff."""
        self._on_event("connect_failed")
        backoff = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2.0**self._connect_failures)
        self._connect_failures = min(self._connect_failures + 1, 16)
        self._next_spare_connect = self._loop.time() + backoff
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                _fail(waiter, failure.detail)
                break
        self._open_missing()

    def _drop_stale(self, silent: HttpConnection) -> None:
        """Close the idle connections that have probably gone silent too."""
        self._on_event("silent")
        for connection in tuple(self._idle):
            if connection.last_success <= silent.last_success:
                self._idle.remove(connection)
                connection.close()
                self._on_event("dropped")

    async def _maintain(self) -> None:
        interval = min(1.0, self._idle_probe_after / 4, self._max_idle_age / 4)
        while True:
            self._check_idle()
            self._open_missing()
            await asyncio.sleep(interval)

    def _check_idle(self) -> None:
        now = self._loop.time()
        kept: list[HttpConnection] = []
        for connection in self._idle:
            age = now - connection.last_success
            if not connection.is_reusable:
                continue
            if age < self._idle_probe_after / 2:
                kept.append(connection)
            elif len(self._probing) < self._spare:
                self._probing.add(connection)
                self._start_task(self._probe(connection))
            else:
                self._on_event("expired")
                connection.close()
        self._idle = kept

    async def _probe(self, connection: HttpConnection) -> None:
        probe = HttpRequest(method="GET", path=PROBE_PATH)
        try:
            await connection.request(probe, timeout=self._connect_timeout)
            self._on_event("probed")
        except HttpFailure:
            self._on_event("probe_failed")
        finally:
            self._probing.discard(connection)
        self._release(connection)


def _fail(waiter: asyncio.Future[HttpConnection], detail: str) -> None:
    if not waiter.done():
        waiter.set_exception(HttpFailure(FailurePhase.NOT_SENT, detail))
