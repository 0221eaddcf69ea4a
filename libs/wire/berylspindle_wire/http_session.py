"""One connection of the HTTP server, with a task of its own.

Terms:
  session      one accepted connection, from its first byte to its close
  pipelined    bytes of a next request that arrive before the current one is answered; they wait

Flow: asyncio calls `data_received`, which only stores bytes and wakes the task; the task reads a
whole request, awaits the handler, writes the response and starts again. Reading goes on while the
handler runs, so that a peer that goes away is noticed and the handler cancelled at once: work
that nobody waits for must not hold a slot of a backend server.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, cast

import attrs
import h11

from berylspindle_model.errors import ErrorKind, Refusal, RefusalError, RunState
from berylspindle_wire.http import Handler, HttpLimits, HttpRequest, HttpResponse
from berylspindle_wire.http_errors import refusal_response
from berylspindle_wire.http_head import (
    HEAD_END,
    RequestFault,
    bad_request,
    framing_fault,
    illegal_bytes,
    read_head,
)
from berylspindle_wire.sockets import has_input

LINGER: Final = 1.0
"""Seconds for which input is read and dropped after a last response. A close with unread input, as
of a request that was already on its way, makes the kernel send a reset, which can destroy the
response before the peer has read it."""

_STOPPED: Final = Refusal(
    ErrorKind.SHUTTING_DOWN, "stopped before it was answered", RunState.MAY_HAVE_RUN
)
_REASONS: Final = {status.value: status.phrase.encode() for status in HTTPStatus}
_BODILESS: Final = frozenset({204, 304})


@attrs.define(kw_only=True)
class SessionRules:
    """What all sessions of one server share; `draining` changes once, from False to True.

    `asking_to_go` has each response close its connection, for a while. `read` turns a parsed head
    into a request, `refuse` a refusal into a response.
    """

    handler: Handler
    limits: HttpLimits
    on_fault: Callable[[BaseException], None]
    draining: bool = False
    asking_to_go: bool = False
    read: Callable[[h11.Request], HttpRequest] = read_head
    refuse: Callable[[Refusal], HttpResponse] = refusal_response


def _older(since: float | None, now: float, bound: float) -> bool:
    return since is not None and now - since > bound


class Admission(enum.Enum):
    """What becomes of a new connection: DROP closes it unanswered."""

    SERVE = "serve"
    REFUSE = "refuse"
    DROP = "drop"


class _PeerGoneError(Exception):
    """The peer closed or reset the connection between requests or within one."""


class _IdleTooLongError(Exception):
    """The peer has been told that the connection is over, since it was idle."""


class HttpSession(asyncio.Protocol):
    """Serve one connection.

    `enter` is called once it is open, after the handshake where there is TLS, and decides whether
    it is served; `leave` is called once it is closed.
    """

    def __init__(
        self,
        rules: SessionRules,
        enter: Callable[[HttpSession], Admission],
        leave: Callable[[HttpSession], None],
    ) -> None:
        self._rules = rules
        self._enter = enter
        self._leave = leave
        self._loop = asyncio.get_running_loop()
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=rules.limits.header_bytes
        )
        self._buffer = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._is_head = False
        self._is_first = True
        self._peer_gone = False
        self._lost = False
        self._discarding = False
        self._paused = False
        self._handling = False
        self._slow = False
        self._is_over = False
        self._idle_since: float | None = self._loop.time()
        self._reading_since: float | None = None
        self._writing_since: float | None = None
        self._closing_since: float | None = None
        self._unwritten = 0
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport = cast(asyncio.Transport, None)

    @property
    def is_handling(self) -> bool:
        """Tell whether a request of this connection is with the handler."""
        return self._handling

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that owns this connection."""
        self._transport = cast(asyncio.Transport, transport)
        admission = self._enter(self)
        if admission is Admission.DROP:
            self._transport.abort()
            return
        self._task = self._loop.create_task(self._run(admission))

    def data_received(self, data: bytes) -> None:
        """Store bytes for the task; stop reading while too many wait."""
        if self._discarding:
            return
        self._buffer += data
        if self._waiter is not None:
            self._wake()
        elif len(self._buffer) > self._rules.limits.header_bytes and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Take the end of input for a peer that is gone, as callers don't half-close."""
        self._on_gone()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the socket is gone."""
        self._lost = True
        self._writable.set()
        self._on_gone()
        self._leave(self)

    def pause_writing(self) -> None:
        """Make the task wait until the peer has read more."""
        self._writable.clear()
        self._writing_since = self._loop.time()

    def resume_writing(self) -> None:
        """Let the task write on."""
        self._writable.set()
        self._writing_since = None

    def check_time(self, now: float, idle_bound: float) -> None:
        """End what has lasted too long: a request being sent, a response unread, idleness."""
        allowed = self._rules.limits.read_timeout
        self._note_progress(now)
        if _older(self._writing_since, now, allowed) or _older(self._closing_since, now, allowed):
            self._transport.abort()
        elif _older(self._reading_since, now, allowed):
            self._slow = True
            self._wake()
        elif _older(self._idle_since, now, idle_bound) and not self._has_input():
            self._end_idle()

    def _end_idle(self) -> None:
        """Tell the peer at once that nothing more is read here.

        A transport closes its socket in the next turn of the loop only. Whatever the peer sends
        within this one would be reset, though it had asked the kernel whether the connection lasts.
        """
        self._is_over = True
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._wake()

    def _has_input(self) -> bool:
        """Tell whether a request has come that the task has not yet seen.

        Bytes may also lie in the kernel, where a busy loop has not read them: a close would drop
        them and reset the connection under a request that its peer has good reason to send.
        """
        if self._buffer:
            return True
        return has_input(self._transport.get_extra_info("socket"))

    def _note_progress(self, now: float) -> None:
        """Restart the time of a response that its peer is still reading, however slowly."""
        unwritten = self._transport.get_write_buffer_size()
        if unwritten < self._unwritten:
            self._writing_since = now if self._writing_since is not None else None
            self._closing_since = now if self._closing_since is not None else None
        self._unwritten = unwritten

    def stop(self) -> None:
        """Cancel the request in flight, answer it SHUTTING_DOWN and close."""
        if self._task is not None:
            self._task.cancel()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _on_gone(self) -> None:
        if self._peer_gone:
            # The end of input was seen before. A second cancellation would end what the handler
            # does about the first, such as cancelling the work at other VMs.
            return
        self._peer_gone = True
        if self._handling and self._task is not None:
            self._task.cancel()
        else:
            self._wake()

    async def _run(self, admission: Admission) -> None:
        try:
            if admission is Admission.REFUSE:
                await self._give_up(Refusal(ErrorKind.OVERLOADED, "too many connections"))
                return
            while await self._serve_one():
                pass
            await self._linger()
        except RequestFault as fault:
            await self._give_up(fault.refusal)
        except _IdleTooLongError:
            await self._linger()
        except _PeerGoneError:
            pass
        except asyncio.CancelledError:
            # Either the peer went away, and nobody reads an answer, or the server's grace time is
            # over. The handler may have sent work on before it was cancelled; a request that is
            # still being read has not run.
            if self._handling and not self._peer_gone:
                self._write(self._rules.refuse(_STOPPED), close=True)
            elif self._reading_since is not None and not self._peer_gone:
                self._write(self._rules.refuse(Refusal(ErrorKind.SHUTTING_DOWN)), close=True)
        except Exception as error:
            self._rules.on_fault(error)
        finally:
            self._closing_since = self._loop.time()
            self._transport.close()

    async def _serve_one(self) -> bool:
        """Serve one request and tell whether the connection can carry another."""
        request = await self._read_request()
        if self._peer_gone:
            raise _PeerGoneError
        self._handling = True  # Stays so where the handler is cancelled; see `_run`.
        response = await self._answer(request)
        self._handling = False
        close = response.close or self._rules.draining or self._rules.asking_to_go
        if not self._write(response, close=close):
            return False
        if not self._writable.is_set():
            await self._writable.wait()
        self._idle_since = self._loop.time()
        return self._renew_parser()

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._rules.handler(request)
        except RefusalError as error:
            return self._rules.refuse(error.refusal)
        except asyncio.CancelledError as error:
            if self._task is None or self._task.cancelling():
                raise
            # Nobody cancelled this task: the handler awaited something else that was cancelled.
            self._rules.on_fault(error)
        except Exception as error:
            self._rules.on_fault(error)
        return self._rules.refuse(Refusal(ErrorKind.INTERNAL))

    async def _more(self) -> None:
        """Wait for more input; raise what ends the wait instead."""
        if self._peer_gone:
            raise _PeerGoneError
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
        if self._slow:
            raise RequestFault(Refusal(ErrorKind.SLOW_SENDER))
        if self._is_over and not self._discarding:
            raise _IdleTooLongError

    async def _read_request(self) -> HttpRequest:
        self._is_head = False
        head = await self._read_head()
        fault = framing_fault(head)
        if fault is not None:
            raise bad_request(fault)
        try:
            self._parser.receive_data(head)
            event = self._parser.next_event()
            if not isinstance(event, h11.Request):
                raise bad_request("no request")
            self._is_head = event.method == b"HEAD"
            request = self._rules.read(event)
            body = await self._read_body(event)
        except h11.RemoteProtocolError as error:
            # The parser's own text quotes the request, which must not be echoed.
            raise bad_request("the request is not valid HTTP") from error
        self._reading_since = None
        is_first, self._is_first = self._is_first, False
        if body or not is_first:
            return attrs.evolve(request, body=body, is_first=is_first)
        return request

    async def _read_head(self) -> bytes:
        limit = self._rules.limits.header_bytes
        while True:
            while self._buffer.startswith(b"\r\n"):
                del self._buffer[:2]
            if self._buffer and self._reading_since is None:
                self._reading_since = self._loop.time()
                self._idle_since = None
            end = self._buffer.find(HEAD_END)
            if end > limit or (end < 0 and len(self._buffer) > limit):
                raise RequestFault(Refusal(ErrorKind.HEADER_TOO_LARGE))
            if end >= 0:
                head = bytes(self._buffer[: end + len(HEAD_END)])
                del self._buffer[: end + len(HEAD_END)]
                return head
            if illegal_bytes(self._buffer):
                raise bad_request("illegal character in the headers")
            await self._more()

    async def _read_body(self, head: h11.Request) -> bytes:
        limit = self._rules.limits.body_bytes
        for name, value in head.headers:
            if name == b"content-length" and int(value) > limit:
                raise RequestFault(Refusal(ErrorKind.BODY_TOO_LARGE))
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._parser.next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limit:
                    raise RequestFault(Refusal(ErrorKind.BODY_TOO_LARGE))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            elif event is h11.NEED_DATA:
                await self._feed_body()
            else:
                raise bad_request("the body does not end where it should")

    async def _feed_body(self) -> None:
        if self._parser.they_are_waiting_for_100_continue and not self._buffer:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._parser.send(go_on) or b"")
        while not self._buffer:
            await self._more()
        self._parser.receive_data(bytes(self._buffer))
        self._buffer.clear()

    def _renew_parser(self) -> bool:
        """Make the parser ready for a next request; tell whether the connection can carry one."""
        if self._parser.our_state is not h11.DONE or self._parser.their_state is not h11.DONE:
            return False
        # Bytes of a next request that came with a body are inside the parser. They go back into
        # the buffer, since each head is checked there before a parser sees it.
        left, _ = self._parser.trailing_data
        if left:
            self._buffer[:0] = left
            self._parser = h11.Connection(
                h11.SERVER, max_incomplete_event_size=self._rules.limits.header_bytes
            )
        else:
            self._parser.start_next_cycle()
        return True

    def _write(self, response: HttpResponse, *, close: bool) -> bool:
        """Write a response; return False where nobody is there to read it."""
        if self._lost:
            return False
        body = b"" if response.status in _BODILESS else response.body
        headers: list[tuple[bytes, bytes]] = list(response.raw_headers)
        headers += [(n.encode("latin-1"), v.encode("latin-1")) for n, v in response.headers.items()]
        if response.status not in _BODILESS:
            headers.append((b"content-length", b"%d" % len(body)))
        if close:
            headers.append((b"connection", b"close"))
        reason = _REASONS.get(response.status, b"")
        try:
            head = h11.Response(status_code=response.status, headers=headers, reason=reason)
        except h11.LocalProtocolError as error:
            # A header of the handler's is illegal. The parser has seen nothing of it yet.
            self._rules.on_fault(error)
            return self._write(self._rules.refuse(Refusal(ErrorKind.INTERNAL)), close=close)
        self._transport.write(self._encode(head, body))
        return True

    def _encode(self, head: h11.Response, body: bytes) -> bytes:
        data = self._parser.send(head) or b""
        # A response to HEAD states the length of the body that it leaves out.
        if body and not self._is_head:
            data += self._parser.send(h11.Data(data=body)) or b""
        return data + (self._parser.send(h11.EndOfMessage()) or b"")

    async def _give_up(self, refusal: Refusal) -> None:
        """Answer with a refusal, then close."""
        if not self._peer_gone and self._write(self._rules.refuse(refusal), close=True):
            await self._linger()

    async def _linger(self) -> None:
        """Read and drop input until the peer closes too, or for a while."""
        self._reading_since = self._idle_since = None
        self._discarding = True
        self._buffer.clear()
        if self._transport.can_write_eof() and not self._lost:
            self._transport.write_eof()
        try:
            async with asyncio.timeout(LINGER):
                await self._more()
        except (TimeoutError, _PeerGoneError):
            pass
