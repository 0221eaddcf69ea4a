"""Keep connections to one backend server: bounded, ready before they are needed, and trusted.

Terms:
  spare      idle connections kept ready, so that no request pays for a connect (about 6 ms)
  silent     a connection on which nothing is reset and nothing is ever answered, because
             something between the two ends has lost track of it
  trusted    an idle connection that has carried a reply not longer ago than `idle_probe_after`

Flow: `request` takes the most recently used idle connection, else joins a first-in first-out queue
that returned and newly opened connections serve. All connects are tasks of the pool, so that a
cancelled request wastes none. The keeper task opens spares and looks after idle connections.

Silent connections are weighed thus. A probe (GET /health) of an untrusted idle connection costs the
backend server one cheap request and refreshes what middleboxes know of it; a new connection costs
the server and the pool a connect. Hence up to `spare` untrusted connections are probed, in the
background and out of the pool meanwhile, and the rest are closed: those were opened for a
burst that is over. No request ever waits for a probe. A connection that goes silent within its
trusted time is caught by `progress_timeout`: then all idle connections whose last success is not
younger are dropped too, since whatever forgot the one has probably forgotten them.
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
MAX_IDLE_AGE: Final = 45.0
"""Seconds after which an idle connection is closed: below the 60 s after which common servers close
theirs, so that a request seldom meets a connection that its server is just closing."""

_NEW_FOR: Final = 1.0
"""Seconds for which a connection without a request yet counts as new rather than as reused."""

_FIRST_BACKOFF: Final = 0.1
_LAST_BACKOFF: Final = 5.0

OnEvent = Callable[[str], None]


def _ignore(_: str) -> None:
    """Drop an event; the default where no hook is given."""


class ConnectionPool:
    """Connections to one backend server, never more than `limit`, those being opened included.

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
        max_idle_age: float = MAX_IDLE_AGE,
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
        self._failures = 0
        self._connect_not_before = 0.0
        self._closed = False
        self._keeper = self._loop.create_task(self._keep())

    @property
    def open_connections(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._idle) + len(self._busy) + len(self._probing) + self._opening

    @property
    def idle_connections(self) -> int:
        """Return how many connections are ready for a request."""
        return len(self._idle)

    async def request(
        self,
        request: HttpRequest,
        *,
        timeout: float,
        progress_timeout: float | None = None,
        cancel_wait: float = 0.0,
    ) -> HttpResponse:
        """Send one request and return the reply; retry nothing.

        `progress_timeout` applies to a reused connection only: on a new one, silence is the
        backend server's own. `cancel_wait` is that of `HttpConnection.request`. Raises
        HttpFailure; it is for the caller to decide on a retry.
        """
        deadline = self._loop.time() + timeout
        connection = await self._take(timeout)
        age = self._loop.time() - connection.last_success
        reused = connection.requests > 0 or age > _NEW_FOR
        try:
            return await connection.request(
                request,
                timeout=max(0.0, deadline - self._loop.time()),
                progress_timeout=progress_timeout if reused else None,
                cancel_wait=cancel_wait,
            )
        except HttpFailure as failure:
            if failure.silent:
                self._drop_older(connection)
            raise
        finally:
            self._busy.discard(connection)
            self._give(connection)

    async def close(self) -> None:
        """Close all connections; requests in flight and waiting fail."""
        self._closed = True
        tasks = [self._keeper, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for connection in [*self._idle, *self._busy, *self._probing]:
            connection.close()
        self._idle.clear()
        while self._waiters:
            _fail(self._waiters.popleft(), "the pool is closed")

    async def _take(self, timeout: float) -> HttpConnection:
        if self._closed:
            raise HttpFailure(FailurePhase.NOT_SENT, "the pool is closed")
        oldest_trusted = self._loop.time() - self._idle_probe_after
        while self._idle and not self._waiters:
            if self._idle[-1].last_success < oldest_trusted:
                break
            connection = self._idle.pop()
            if not connection.is_reusable:
                continue
            if connection.peer_has_ended():
                connection.close()
                continue
            self._busy.add(connection)
            self._open_needed()
            return connection
        return await self._wait_for_connection(timeout)

    async def _wait_for_connection(self, timeout: float) -> HttpConnection:
        waiter: asyncio.Future[HttpConnection] = self._loop.create_future()
        self._waiters.append(waiter)
        self._look_after_idle()
        self._open_needed()
        timer = self._loop.call_later(timeout, _fail, waiter, "no connection in time")
        try:
            return await waiter
        except asyncio.CancelledError:
            # A connection may have been handed over in the same turn of the loop; it goes back.
            if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
                self._busy.discard(waiter.result())
                self._give(waiter.result())
            raise
        finally:
            timer.cancel()
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _give(self, connection: HttpConnection) -> None:
        """Hand a connection to the first in the queue, or keep it as the most recent idle one."""
        if self._closed:
            connection.close()
            return
        if not connection.is_reusable:
            self._open_needed()
            return
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                self._busy.add(connection)
                waiter.set_result(connection)
                return
        self._idle.append(connection)

    def _open_needed(self) -> None:
        """Start as many connects as waiting requests and spares ask for, within the limit."""
        if self._closed:
            return
        wanted = len(self._waiters) - self._opening
        if wanted > 0 and self._probing and self.open_connections >= self._limit:
            # A request must not wait for a probe: its connection makes room for a new one.
            next(iter(self._probing)).close()
        if self._loop.time() >= self._connect_not_before:
            wanted += self._spare - len(self._idle) - len(self._probing)
        for _ in range(min(wanted, self._limit - self.open_connections)):
            self._opening += 1
            self._start(self._open())

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self) -> None:
        try:
            connection = await connect(
                *self._address, timeout=self._connect_timeout, limits=self._limits, tls=self._tls
            )
        except HttpFailure as failure:
            self._opening -= 1
            self._on_connect_failed(failure)
        except BaseException:
            self._opening -= 1
            raise
        else:
            self._opening -= 1
            self._failures = 0
            self._connect_not_before = 0.0
            self._on_event("opened")
            self._give(connection)

    def _on_connect_failed(self, failure: HttpFailure) -> None:
        """Fail the first waiting request; put spare connects off for a growing while."""
        self._on_event("connect_failed")
        backoff = min(_LAST_BACKOFF, _FIRST_BACKOFF * 2.0**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._connect_not_before = self._loop.time() + backoff
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                _fail(waiter, failure.detail)
                break
        self._open_needed()

    def _drop_older(self, silent: HttpConnection) -> None:
        """Close the idle connections that probably went silent with this one."""
        self._on_event("silent")
        for connection in tuple(self._idle):
            if connection.last_success <= silent.last_success:
                self._idle.remove(connection)
                connection.close()
                self._on_event("dropped")

    async def _keep(self) -> None:
        pause = min(1.0, self._idle_probe_after / 4, self._max_idle_age / 4)
        while True:
            self._look_after_idle()
            self._open_needed()
            await asyncio.sleep(pause)

    def _look_after_idle(self) -> None:
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
                self._start(self._probe(connection))
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
        self._give(connection)


def _fail(waiter: asyncio.Future[HttpConnection], detail: str) -> None:
    if not waiter.done():
        waiter.set_exception(HttpFailure(FailurePhase.NOT_SENT, detail))
