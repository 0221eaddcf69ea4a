"""Serve HTTP/1.1 over h11: accept connections, call a handler for each request, drain and close.

Terms:
  drain   later responses carry `Connection: close` and idle connections are closed, while new
          connections are still accepted; callers move away without an error

Flow: `serve` binds a socket; each connection becomes an `HttpSession` with a task of its own (see
`http_session`). One task here looks over all sessions a few times a second and ends those that
send too slowly or idle too long, which costs less than timers per request. `close` lets requests
in flight finish within a grace time before it cancels them.
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

DRAIN_IDLE: Final = 0.25
"""Seconds a connection must have been idle before a draining server closes it: longer than a
request that its peer has already written takes to arrive."""

_MOST_REFUSALS: Final = 100
"""Connections over the limit that are answered OVERLOADED at a time; more are dropped unanswered,
since each answer takes memory until its peer has read it."""

_SWEEPS_PER_TIMEOUT: Final = 8
_LONGEST_SWEEP: Final = 0.1

OnFault = Callable[[BaseException], None]


def _ignore(_: BaseException) -> None:
    """Drop an exception; the default where no hook is given."""


class HttpServer:
    """A listening HTTP server; made by `serve`."""

    def __init__(self, rules: SessionRules) -> None:
        self._rules = rules
        self._sessions: set[HttpSession] = set()
        self._stack = AsyncExitStack()
        self._all_gone = asyncio.Event()
        self._all_gone.set()
        self._acceptor: Acceptor | None = None
        self._port = 0
        self._closed = False

    @property
    def port(self) -> int:
        """Return the port that is bound; of use where port 0 was asked for."""
        return self._port

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._sessions)

    @property
    def in_flight(self) -> int:
        """Return how many requests are with the handler."""
        return sum(session.is_handling for session in self._sessions)

    def set_limits(self, limits: HttpLimits) -> None:
        """Change the bounds; what connections hold of the old ones ends with them."""
        self._rules.limits = limits

    def ask_to_go(self, on: bool) -> None:
        """Ask peers to go, or no longer: `Connection: close` while it lasts, nothing is closed."""
        self._rules.asking_to_go = on

    def begin_drain(self) -> None:
        """Ask peers to go: `Connection: close` from now on, idle connections closed soon."""
        self._rules.draining = True

    async def close(self, grace: float = 0.0) -> None:
        """Stop accepting, let requests in flight finish for `grace` seconds, then cancel them.

        A request that is cancelled here is answered SHUTTING_DOWN, with a run state that says it
        may have run.
        """
        if self._closed:
            return
        self._closed = True
        self.begin_drain()
        if self._acceptor is not None:
            await self._acceptor.close()
        if grace > 0 and self._sessions:
            try:
                await asyncio.wait_for(self._all_gone.wait(), grace)
            except TimeoutError:
                pass
        for session in tuple(self._sessions):
            session.stop()
        await self._all_gone.wait()
        await self._stack.aclose()

    async def __aenter__(self) -> HttpServer:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def _listen(
        self, host: str, port: int, tls: ssl.SSLContext | None, bound: socket.socket | None
    ) -> None:
        self._acceptor = listen(
            host,
            port,
            lambda: HttpSession(self._rules, self._enter, self._forget),
            tls=tls,
            handshake_timeout=None if tls is None else self._rules.limits.read_timeout,
            on_fault=self._rules.on_fault,
            bound=bound,
        )
        self._port = self._acceptor.port
        self._stack.callback(self._acceptor.abort)
        sweeper = asyncio.get_running_loop().create_task(self._sweep())
        self._stack.callback(sweeper.cancel)

    def _enter(self, session: HttpSession) -> Admission:
        excess = len(self._sessions) - self._rules.limits.connections
        self._sessions.add(session)
        self._all_gone.clear()
        if excess < 0:
            return Admission.SERVE
        return Admission.REFUSE if excess < _MOST_REFUSALS else Admission.DROP

    def _forget(self, session: HttpSession) -> None:
        self._sessions.discard(session)
        if not self._sessions:
            self._all_gone.set()

    async def _sweep(self) -> None:
        limits = self._rules.limits
        shortest = min(limits.read_timeout, limits.idle_timeout)
        pause = min(_LONGEST_SWEEP, shortest / _SWEEPS_PER_TIMEOUT)
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(pause)
            now = loop.time()
            idle_bound = DRAIN_IDLE if self._rules.draining else limits.idle_timeout
            for session in tuple(self._sessions):
                session.check_time(now, idle_bound)


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
    bound: socket.socket | None = None,
) -> HttpServer:
    """Listen on host and port and call `handler` for each request.

    `on_fault` is told of every exception of the handler that isn't a RefusalError; the caller is
    answered INTERNAL. `read` and `refuse` are as in `SessionRules`. `bound` is a socket that
    listens already, in place of host and port. Raises OSError where the address can't be bound.
    """
    rules = SessionRules(
        handler=handler, limits=limits, on_fault=on_fault, read=read, refuse=refuse
    )
    server = HttpServer(rules)
    await server._listen(host, port, tls, bound)
    return server
