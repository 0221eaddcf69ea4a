"""HTTP/1.1 server over h11: accept connections, call a handler for each request, drain and close.

Terms:
  drain   responses carry `Connection: close` and idle connections are closed, while new
          connections are still accepted; callers move to other VMs without an error

Flow: `serve` binds a socket; each connection becomes an `HttpSession` with its own task (see
`http_session`). One sweeper task checks all sessions several times a second and closes those that
exceed the read or idle timeout, which costs less than timers for each request. `finish` lets
requests in flight finish within a grace period; `close` cancels those that are left.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final

import h11

from berylspindle_model.errors import Refusal
from berylspindle_wire.acceptor import Acceptor, listen
from berylspindle_wire.http import Handler, HttpLimits, HttpRequest, HttpResponse
from berylspindle_wire.http_errors import refusal_response
from berylspindle_wire.http_head import read_head
from berylspindle_wire.http_session import Admission, HttpSession, SessionRules

DRAIN_IDLE_S: Final = 0.25
"""Seconds for which a connection must be idle before a draining server closes it: longer than the
network delay of a request that its peer has already written."""

_MAX_REFUSALS: Final = 100
"""Connections over the limit that are answered OVERLOADED at a time; others are closed without an
answer, since each answer occupies memory until its peer has read it."""

_SWEEPS_PER_TIMEOUT: Final = 8
_MAX_SWEEP_INTERVAL_S: Final = 0.1

OnFault = Callable[[BaseException], None]


def _ignore(_: BaseException) -> None:
    """Ignore an exception; the default hook."""


class HttpServer:
    """A listening HTTP server, created by `serve`."""

    def __init__(self, rules: SessionRules) -> None:
        self._rules = rules
        self._sessions: set[HttpSession] = set()
        self._stack = AsyncExitStack()
        self._no_sessions = asyncio.Event()
        self._no_sessions.set()
        self._acceptor: Acceptor | None = None
        self._port = 0
        self._finishing = False
        self._closed = False

    @property
    def port(self) -> int:
        """Return the bound port number, which differs from the requested one if that was 0."""
        return self._port

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._sessions)

    @property
    def in_flight(self) -> int:
        """Return the number of requests being handled."""
        return sum(session.is_handling for session in self._sessions)

    def set_limits(self, limits: HttpLimits) -> None:
        """Replace the limits; open connections may keep parts of the previous ones."""
        self._rules.limits = limits

    def set_connection_close(self, on: bool) -> None:
        """Send `Connection: close` with each response while on; idle connections stay open."""
        self._rules.connection_close = on

    def begin_drain(self) -> None:
        """Send `Connection: close` from now on and close idle connections after a short time."""
        self._rules.draining = True

    async def finish(self, grace: float) -> None:
        """Stop accepting, and let requests in flight finish for `grace` seconds."""
        if self._finishing:
            return
        self._finishing = True
        self.begin_drain()
        if self._acceptor is not None:
            await self._acceptor.close()
        if grace > 0 and self._sessions:
            try:
                await asyncio.wait_for(self._no_sessions.wait(), grace)
            except TimeoutError:
                # `close` cancels the requests that are left.
                pass

    async def close(self, grace: float = 0.0) -> None:
        """Stop accepting, let requests in flight finish for `grace` seconds, then cancel them.

        A request cancelled by this is answered with the response of its handler, if it states one
        by `RequestCancelledError`, else SHUTTING_DOWN with run state MAY_HAVE_RUN.
        """
        if self._closed:
            return
        self._closed = True
        await self.finish(grace)
        for session in tuple(self._sessions):
            session.stop()
        await self._no_sessions.wait()
        await self._stack.aclose()

    async def __aenter__(self) -> HttpServer:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def _listen(
        self, host: str, port: int, tls: ssl.SSLContext | None, bound: socket.socket | None
    ) -> None:
        self._acceptor = listen(
            host,
            port,
            lambda: HttpSession(self._rules, self._admit, self._remove),
            tls=tls,
            handshake_timeout=None if tls is None else self._rules.limits.read_timeout,
            on_fault=self._rules.on_fault,
            listening_socket=bound,
        )
        self._port = self._acceptor.port
        self._stack.callback(self._acceptor.abort)
        sweeper = asyncio.get_running_loop().create_task(self._sweep())
        self._stack.callback(sweeper.cancel)

    def _admit(self, session: HttpSession) -> Admission:
        excess = len(self._sessions) - self._rules.limits.connections
        self._sessions.add(session)
        self._no_sessions.clear()
        if excess < 0:
            return Admission.SERVE
        return Admission.REFUSE if excess < _MAX_REFUSALS else Admission.DROP

    def _remove(self, session: HttpSession) -> None:
        self._sessions.discard(session)
        if not self._sessions:
            self._no_sessions.set()

    async def _sweep(self) -> None:
        limits = self._rules.limits
        shortest_timeout = min(limits.read_timeout, limits.idle_timeout)
        interval = min(_MAX_SWEEP_INTERVAL_S, shortest_timeout / _SWEEPS_PER_TIMEOUT)
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(interval)
            now = loop.time()
            idle_limit = DRAIN_IDLE_S if self._rules.draining else limits.idle_timeout
            for session in tuple(self._sessions):
                session.check_time(now, idle_limit)


async def serve(
    handler: Handler,
    *,
    host: str,
    port: int,
    limits: HttpLimits = HttpLimits(),  # noqa: B008
    tls: ssl.SSLContext | None = None,
    on_fault: OnFault = _ignore,
    read: Callable[[h11.Request], HttpRequest] = read_head,
    refuse: Callable[[Refusal], HttpResponse] = refusal_response,
    listening_socket: socket.socket | None = None,
) -> HttpServer:
    """Listen on host and port and call `handler` for each request.

    `on_fault` is called with every exception of the handler that isn't a RefusalError; the caller
    gets INTERNAL. `read` and `refuse` are as in `SessionRules`. `listening_socket` is a socket that
    is already listening, used in place of host and port. Raise OSError if the address can't be
    bound.
    """
    rules = SessionRules(
        handler=handler, limits=limits, on_fault=on_fault, read=read, refuse=refuse
    )
    server = HttpServer(rules)
    await server._listen(host, port, tls, listening_socket)
    return server
