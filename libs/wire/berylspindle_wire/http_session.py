"""One connection of the HTTP server, with its own task.

Terms:
  session      one accepted connection, from its first byte to its close
  pipelined    bytes of the next request received before the current one is answered; they are
               buffered

Flow: asyncio calls `data_received`, which only buffers bytes and wakes the task; the task reads a
complete request, awaits the handler, writes the response and starts again. Reading continues while
the handler runs, so that the handler is cancelled as soon as its peer disconnects: abandoned work
must not occupy a slot of a backend server.
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
from berylspindle_wire.http import (
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    RequestCancelledError,
)
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

LINGERING_CLOSE_S: Final = 1.0
"""Seconds for which input is read and discarded after the last response. A close with unread input,
such as a request already in transit, makes the kernel send a reset, which can destroy the response
before the peer has read it."""

_SHUTDOWN_REFUSAL: Final = Refusal(
    ErrorKind.SHUTTING_DOWN, "cancelled by shutdown before it was answered", RunState.MAY_HAVE_RUN
)
_REASON_PHRASES: Final = {status.value: status.phrase.encode() for status in HTTPStatus}
_STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})


@attrs.define(kw_only=True)
class SessionRules:
    """State and callbacks shared by all sessions of one server.

    `draining` changes once, from False to True. `connection_close` makes each response close its
    connection while it is set. `read` converts a parsed head to a request, `refuse` a refusal to a
    response.
    """

    handler: Handler
    limits: HttpLimits
    on_fault: Callable[[BaseException], None]
    draining: bool = False
    connection_close: bool = False
    read: Callable[[h11.Request], HttpRequest] = read_head
    refuse: Callable[[Refusal], HttpResponse] = refusal_response


def _exceeds(since: float | None, now: float, timeout: float) -> bool:
    return since is not None and now - since > timeout


class Admission(enum.Enum):
    """The decision on a new connection: DROP closes it without an answer."""

    SERVE = "serve"
    REFUSE = "refuse"
    DROP = "drop"


class _PeerClosedError(Exception):
    """The peer closed or reset the connection, between requests or within one."""


class _IdleTimeoutError(Exception):
    """The idle timeout has expired and this side has sent the end of its output."""


class HttpSession(asyncio.Protocol):
    """Serve one connection.

    `admit` is called once the connection is open, after any TLS handshake, and decides whether it
    is served; `on_closed` is called once it is closed.
    """

    def __init__(
        self,
        rules: SessionRules,
        admit: Callable[[HttpSession], Admission],
        on_closed: Callable[[HttpSession], None],
    ) -> None:
        self._rules = rules
        self._admit = admit
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=rules.limits.header_bytes
        )
        self._buffer = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._is_head_request = False
        self._is_first_request = True
        self._peer_closed = False
        self._lost = False
        self._discarding = False
        self._reading_paused = False
        self._is_handling = False
        self._read_timed_out = False
        self._idle_expired = False
        self._idle_since: float | None = self._loop.time()
        self._reading_since: float | None = None
        self._writing_since: float | None = None
        self._closing_since: float | None = None
        self._unwritten_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport = cast(asyncio.Transport, None)

    @property
    def is_handling(self) -> bool:
        """Return whether a request of this connection is being handled."""
        return self._is_handling

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task of this connection, if it is admitted."""
        self._transport = cast(asyncio.Transport, transport)
        admission = self._admit(self)
        if admission is Admission.DROP:
            self._transport.abort()
            return
        self._task = self._loop.create_task(self._run(admission))

    def data_received(self, data: bytes) -> None:
        """Buffer bytes for the task; pause reading while the buffer is full."""
        if self._discarding:
            return
        self._buffer += data
        if self._waiter is not None:
            self._wake()
        elif len(self._buffer) > self._rules.limits.header_bytes and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Treat the end of input as a disconnect, since callers don't half-close."""
        self._on_peer_closed()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the close of the socket."""
        self._lost = True
        self._writable.set()
        self._on_peer_closed()
        self._on_closed(self)

    def pause_writing(self) -> None:
        """Make the task wait until the peer has read more of the response."""
        self._writable.clear()
        self._writing_since = self._loop.time()

    def resume_writing(self) -> None:
        """Let the task continue to write."""
        self._writable.set()
        self._writing_since = None

    def check_time(self, now: float, idle_limit: float) -> None:
        """Enforce the timeouts for reading a request, writing a response and being idle."""
        read_timeout_s = self._rules.limits.read_timeout
        self._update_write_progress(now)
        if _exceeds(self._writing_since, now, read_timeout_s) or _exceeds(
            self._closing_since, now, read_timeout_s
        ):
            self._transport.abort()
        elif _exceeds(self._reading_since, now, read_timeout_s):
            self._read_timed_out = True
            self._wake()
        elif _exceeds(self._idle_since, now, idle_limit) and not self._has_input():
            self._close_idle()

    def _close_idle(self) -> None:
        """Send the end of output at once, so that the peer stops using the connection.

        A transport closes its socket only in the next loop iteration. A peer that sends a request
        before that would get a reset, although its own kernel still reported the connection open.
        """
        self._idle_expired = True
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._wake()

    def _has_input(self) -> bool:
        """Return whether input has arrived that the task has not yet processed.

        Input may also be in the kernel's buffer, not yet read by a busy loop: a close would drop it
        and reset the connection during a request that the peer was entitled to send.
        """
        if self._buffer:
            return True
        return has_input(self._transport.get_extra_info("socket"))

    def _update_write_progress(self, now: float) -> None:
        """Restart the write timeout if the peer has read more of the response."""
        unwritten_bytes = self._transport.get_write_buffer_size()
        if unwritten_bytes < self._unwritten_bytes:
            self._writing_since = now if self._writing_since is not None else None
            self._closing_since = now if self._closing_since is not None else None
        self._unwritten_bytes = unwritten_bytes

    def stop(self) -> None:
        """Cancel the request in flight, answer it by its run state and close."""
        if self._task is not None:
            self._task.cancel()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _on_peer_closed(self) -> None:
        if self._peer_closed:
            # Already handled. A second cancellation would interrupt the handler's clean-up after
            # the first, such as cancelling the work at other VMs.
            return
        self._peer_closed = True
        if self._is_handling and self._task is not None:
            self._task.cancel()
        else:
            self._wake()

    async def _run(self, admission: Admission) -> None:
        try:
            if admission is Admission.REFUSE:
                await self._refuse_and_close(Refusal(ErrorKind.OVERLOADED, "too many connections"))
                return
            while await self._serve_one():
                pass
            await self._lingering_close()
        except RequestFault as fault:
            await self._refuse_and_close(fault.refusal)
        except _IdleTimeoutError:
            await self._lingering_close()
        except _PeerClosedError:
            pass
        except asyncio.CancelledError as cancellation:
            # Either the peer disconnected, and no answer is needed, or the server's grace period is
            # over.
            response = self._response_to(cancellation)
            if response is not None and not self._peer_closed:
                self._write(response, close=True)
        except Exception as error:
            self._rules.on_fault(error)
        finally:
            self._closing_since = self._loop.time()
            self._transport.close()

    def _response_to(self, cancellation: asyncio.CancelledError) -> HttpResponse | None:
        """Return the response to a request that was cancelled, or None if there is no request."""
        if isinstance(cancellation, RequestCancelledError):
            return cancellation.response
        if self._is_handling:
            # The handler may have dispatched work before it was cancelled.
            return self._rules.refuse(_SHUTDOWN_REFUSAL)
        if self._reading_since is not None:
            return self._rules.refuse(Refusal(ErrorKind.SHUTTING_DOWN))
        return None

    async def _serve_one(self) -> bool:
        """Serve one request and return whether the connection can carry another."""
        request = await self._read_request()
        if self._peer_closed:
            raise _PeerClosedError
        self._is_handling = True  # Stays set if the handler is cancelled; see `_run`.
        response = await self._answer(request)
        self._is_handling = False
        close = response.close or self._rules.draining or self._rules.connection_close
        if not self._write(response, close=close):
            return False
        if not self._writable.is_set():
            await self._writable.wait()
        self._idle_since = self._loop.time()
        return self._reset_parser()

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._rules.handler(request)
        except RefusalError as error:
            return self._rules.refuse(error.refusal)
        except asyncio.CancelledError as error:
            if self._task is None or self._task.cancelling():
                raise
            # This task was not cancelled: the handler awaited something else that was.
            self._rules.on_fault(error)
        except Exception as error:
            self._rules.on_fault(error)
        return self._rules.refuse(Refusal(ErrorKind.INTERNAL))

    async def _wait_for_input(self) -> None:
        """Wait for more input; raise if the peer disconnects or a timeout expires."""
        if self._peer_closed:
            raise _PeerClosedError
        if self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
        if self._read_timed_out:
            raise RequestFault(Refusal(ErrorKind.SLOW_SENDER))
        if self._idle_expired and not self._discarding:
            raise _IdleTimeoutError

    async def _read_request(self) -> HttpRequest:
        self._is_head_request = False
        head = await self._read_head()
        fault = framing_fault(head)
        if fault is not None:
            raise bad_request(fault)
        try:
            self._parser.receive_data(head)
            event = self._parser.next_event()
            if not isinstance(event, h11.Request):
                raise bad_request("message is not a request")
            self._is_head_request = event.method == b"HEAD"
            request = self._rules.read(event)
            body = await self._read_body(event)
        except h11.RemoteProtocolError as error:
            # The parser's own message quotes the request, which must not be echoed.
            raise bad_request("request is not valid HTTP") from error
        self._reading_since = None
        is_first, self._is_first_request = self._is_first_request, False
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
            await self._wait_for_input()

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
                raise bad_request("unexpected event in the request body")

    async def _feed_body(self) -> None:
        if self._parser.they_are_waiting_for_100_continue and not self._buffer:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._parser.send(continue_response) or b"")
        while not self._buffer:
            await self._wait_for_input()
        self._parser.receive_data(bytes(self._buffer))
        self._buffer.clear()

    def _reset_parser(self) -> bool:
        """Reset the parser and return whether the connection can carry another request."""
        if self._parser.our_state is not h11.DONE or self._parser.their_state is not h11.DONE:
            return False
        # The parser holds bytes of the next request that were received with a body. They return to
        # the buffer, since each head is validated there before it reaches a parser.
        unparsed, _ = self._parser.trailing_data
        if unparsed:
            self._buffer[:0] = unparsed
            self._parser = h11.Connection(
                h11.SERVER, max_incomplete_event_size=self._rules.limits.header_bytes
            )
        else:
            self._parser.start_next_cycle()
        return True

    def _write(self, response: HttpResponse, *, close: bool) -> bool:
        """Write a response; return False if the connection is lost."""
        if self._lost:
            return False
        body = b"" if response.status in _STATUSES_WITHOUT_BODY else response.body
        headers: list[tuple[bytes, bytes]] = list(response.raw_headers)
        headers += [(n.encode("latin-1"), v.encode("latin-1")) for n, v in response.headers.items()]
        if response.status not in _STATUSES_WITHOUT_BODY:
            headers.append((b"content-length", b"%d" % len(body)))
        if close:
            headers.append((b"connection", b"close"))
        reason = _REASON_PHRASES.get(response.status, b"")
        try:
            head = h11.Response(status_code=response.status, headers=headers, reason=reason)
        except h11.LocalProtocolError as error:
            # The handler set an invalid header. The parser has not seen any of the response.
            self._rules.on_fault(error)
            return self._write(self._rules.refuse(Refusal(ErrorKind.INTERNAL)), close=close)
        self._transport.write(self._encode(head, body))
        return True

    def _encode(self, head: h11.Response, body: bytes) -> bytes:
        data = self._parser.send(head) or b""
        # A response to HEAD has the content length of the body that it omits.
        if body and not self._is_head_request:
            data += self._parser.send(h11.Data(data=body)) or b""
        return data + (self._parser.send(h11.EndOfMessage()) or b"")

    async def _refuse_and_close(self, refusal: Refusal) -> None:
        """Answer with a refusal and close."""
        if not self._peer_closed and self._write(self._rules.refuse(refusal), close=True):
            await self._lingering_close()

    async def _lingering_close(self) -> None:
        """Read and discard input until the peer closes too or the time is over."""
        self._reading_since = self._idle_since = None
        self._discarding = True
        self._buffer.clear()
        if self._transport.can_write_eof() and not self._lost:
            self._transport.write_eof()
        try:
            async with asyncio.timeout(LINGERING_CLOSE_S):
                await self._wait_for_input()
        except (TimeoutError, _PeerClosedError):
            pass
