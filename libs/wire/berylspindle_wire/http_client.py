"""Send HTTP/1.1 requests over h11, one at a time on one connection.

Terms:
  failure phase   how far a request got before it failed: NOT_SENT, SENT or BAD_REPLY; it decides
                  whether "not run" may be reported and whether a retry is safe
  progress        any byte of the reply
  reusable        a connection without an outstanding reply, a failure or a pending close

Flow: `connect` opens a socket; `request` writes one request and waits until `data_received` has
completed the reply. Any failure closes the connection, so that a late reply to one request can
never be read as the reply to another.
"""

from __future__ import annotations

import asyncio
import enum
import ssl
from typing import Final, cast
from urllib.parse import quote, urlencode

import h11

from berylspindle_wire.addresses import invalid_address_as_os_error
from berylspindle_wire.http import HttpLimits, HttpRequest, HttpResponse
from berylspindle_wire.http_head import HEAD_END, framing_fault
from berylspindle_wire.reply_body import ReplyBody
from berylspindle_wire.sockets import enable_dead_path_detection, peer_has_closed

_MAX_INFORMATIONAL: Final = 8
_PATH_SAFE: Final = "/:@!$&'()*+,;=~"


class FailurePhase(enum.StrEnum):
    """How far a request got before it failed.

    NOT_SENT: no byte of it was written to the socket. SENT: bytes were written and no complete
    reply was received. BAD_REPLY: the reply is malformed or truncated.
    """

    NOT_SENT = "not_sent"
    SENT = "sent"
    BAD_REPLY = "bad_reply"


class HttpFailure(Exception):  # noqa: N818
    """A request got no complete reply.

    `timed_out` marks a request that was sent and timed out without a connection reset; unlike a
    reset, this does not indicate that the request crashed the server. `silent` marks a timed-out
    request that exceeded `progress_timeout` before any byte of the reply was received.
    """

    def __init__(
        self, phase: FailurePhase, detail: str, *, timed_out: bool = False, silent: bool = False
    ) -> None:
        super().__init__(f"{phase}: {detail}")
        self.phase: Final = phase
        self.detail: Final = detail
        self.timed_out: Final = timed_out
        self.silent: Final = silent


class HttpConnection(asyncio.Protocol):
    """One client connection, created by `connect`."""

    def __init__(self, host_header: str, limits: HttpLimits) -> None:
        self._host_header = host_header
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=limits.header_bytes)
        self._transport: asyncio.Transport = cast(asyncio.Transport, None)
        self._reply: asyncio.Future[HttpResponse] | None = None
        self._head: h11.Response | None = None
        self._raw_head = bytearray()
        self._head_checked = False
        self._informational = 0
        self._body: Final = ReplyBody(limits.body_bytes)
        self._received_chunks = 0
        self._lost = False
        self._closed: Final[asyncio.Future[None]] = self._loop.create_future()
        self._last_success = self._loop.time()
        self._requests = 0

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent on this connection."""
        return not self._lost and self._reply is None and not self._transport.is_closing()

    @property
    def last_success(self) -> float:
        """Return the loop time of the last complete reply, or of the connect before any."""
        return self._last_success

    @property
    def requests(self) -> int:
        """Return the number of requests sent on this connection."""
        return self._requests

    def is_closed_by_peer(self) -> bool:
        """Ask the kernel whether the peer has closed the connection, even if not yet read."""
        return peer_has_closed(self._transport.get_extra_info("socket"))

    async def request(
        self,
        request: HttpRequest,
        *,
        timeout: float,
        progress_timeout: float | None = None,
        cancel_wait: float = 0.0,
    ) -> HttpResponse:
        """Send one request and return the complete reply; raise HttpFailure.

        All times are in seconds; `progress_timeout` limits the wait for the next byte of the
        reply. Cancelling this coroutine closes the socket, which cancels the work at a backend
        server. With `cancel_wait`, this coroutine first closes only the sending side and waits up
        to that time for the peer to close its own, which shows that the work has ended.
        """
        if not self.is_reusable:
            raise HttpFailure(FailurePhase.NOT_SENT, "connection is closed")
        try:
            data = self._encode(request)
        except h11.LocalProtocolError as error:
            self.close()
            raise HttpFailure(FailurePhase.NOT_SENT, str(error)) from error
        reply: asyncio.Future[HttpResponse] = self._loop.create_future()
        self._reply = reply
        timers = [
            self._loop.call_later(
                timeout, self._fail_timed_out, "no complete reply within the timeout"
            )
        ]
        if progress_timeout is not None:
            self._schedule_progress_check(timers, progress_timeout, 0)
        self._requests += 1
        self._transport.write(data)
        try:
            return await reply
        except asyncio.CancelledError:
            if cancel_wait > 0.0:
                await self._half_close(cancel_wait)
            raise
        finally:
            for timer in timers:
                timer.cancel()
            if self._reply is not None:
                self._reply = None
                self._transport.abort()

    def close(self) -> None:
        """Close the socket; an outstanding reply fails."""
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable kernel detection of a dead path."""
        self._transport = cast(asyncio.Transport, transport)
        enable_dead_path_detection(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse part of the reply; unsolicited bytes close the connection."""
        if self._reply is None or self._reply.done():
            self._transport.abort()
            return
        self._received_chunks += 1
        try:
            if not self._head_checked:
                self._check_head(data)
            self._parser.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._fail(FailurePhase.BAD_REPLY, str(error))

    def eof_received(self) -> bool:
        """Fail the outstanding reply: BAD_REPLY if part of it was received, else SENT."""
        if self._received_chunks:
            self._fail(FailurePhase.BAD_REPLY, "reply truncated")
        else:
            self._fail(FailurePhase.SENT, "peer closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the outstanding reply."""
        self._lost = True
        self._closed.set_result(None)
        self._fail(FailurePhase.SENT, "connection reset" if exc else "connection closed")

    async def _half_close(self, wait: float) -> None:
        """Close this side and wait up to `wait` seconds for the peer to close its own."""
        if not self._transport.can_write_eof() or self._transport.is_closing():
            return
        self._transport.write_eof()
        await asyncio.wait([self._closed], timeout=wait)

    def _encode(self, request: HttpRequest) -> bytes:
        target = quote(request.path, safe=_PATH_SAFE)
        if request.query:
            target = f"{target}?{urlencode(request.query)}"
        headers = list(request.headers.items())
        if "host" not in request.headers:
            headers.insert(0, ("host", self._host_header))
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append(("content-length", str(len(request.body))))
        head = h11.Request(method=request.method, target=target, headers=headers)
        data = self._parser.send(head)
        if request.body:
            data += self._parser.send(h11.Data(data=request.body))
        return data + self._parser.send(h11.EndOfMessage())

    def _check_head(self, data: bytes) -> None:
        """Reject a reply whose message boundary is ambiguous."""
        self._raw_head += data
        end = self._raw_head.find(HEAD_END)
        if end < 0:
            if len(self._raw_head) > self._limits.header_bytes:
                raise h11.RemoteProtocolError("headers exceed the size limit")
            return
        fault = framing_fault(bytes(self._raw_head[: end + len(HEAD_END)]))
        if fault is not None:
            raise h11.RemoteProtocolError(fault)
        self._raw_head.clear()
        self._head_checked = True

    def _read_events(self) -> None:
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                return
            if isinstance(event, h11.InformationalResponse):
                self._skip_informational()
            elif isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body.add(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._complete()
                return
            else:
                raise h11.RemoteProtocolError("unexpected end of reply")

    def _skip_informational(self) -> None:
        self._head_checked = False
        self._check_head(self._parser.trailing_data[0])
        self._informational += 1
        if self._informational > _MAX_INFORMATIONAL:
            raise h11.RemoteProtocolError("too many informational responses")

    def _complete(self) -> None:
        assert self._head is not None
        if self._parser.trailing_data[0]:
            raise h11.RemoteProtocolError("unexpected bytes after the reply")
        headers: dict[str, str] = {}
        for raw_name, raw_value in self._head.headers:
            name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        response = HttpResponse(
            status=self._head.status_code,
            body=self._body.content(),
            headers=headers,
            close=self._parser.their_state is not h11.DONE,
        )
        self._prepare_next_request()
        reply, self._reply = self._reply, None
        if reply is not None and not reply.done():
            reply.set_result(response)

    def _prepare_next_request(self) -> None:
        """Prepare for the next request, or close if the peer requires it."""
        self._last_success = self._loop.time()
        self._head = None
        self._head_checked = False
        self._informational = 0
        self._body.clear()
        self._received_chunks = 0
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
        else:
            self._transport.close()

    def _schedule_progress_check(
        self, timers: list[asyncio.TimerHandle], interval: float, seen_chunks: int
    ) -> None:
        """Fail the reply once `interval` seconds pass without a byte of it."""
        timers[1:] = [
            self._loop.call_later(interval, self._check_progress, timers, interval, seen_chunks)
        ]

    def _check_progress(
        self, timers: list[asyncio.TimerHandle], interval: float, seen_chunks: int
    ) -> None:
        if self._received_chunks == seen_chunks:
            self._fail_timed_out(
                "no byte of the reply within the progress timeout", silent=seen_chunks == 0
            )
        else:
            self._schedule_progress_check(timers, interval, self._received_chunks)

    def _fail_timed_out(self, detail: str, *, silent: bool = False) -> None:
        self._fail_outstanding(
            HttpFailure(FailurePhase.SENT, detail, timed_out=True, silent=silent)
        )

    def _fail(self, phase: FailurePhase, detail: str) -> None:
        self._fail_outstanding(HttpFailure(phase, detail))

    def _fail_outstanding(self, failure: HttpFailure) -> None:
        """Fail the outstanding reply, if any, and close the connection."""
        reply = self._reply
        if reply is not None and not reply.done():
            reply.set_exception(failure)
        self._transport.abort()


async def connect(
    host: str,
    port: int,
    *,
    timeout: float,
    limits: HttpLimits = HttpLimits(),  # noqa: B008
    tls: ssl.SSLContext | None = None,
) -> HttpConnection:
    """Open a connection within `timeout` seconds.

    Raise HttpFailure with NOT_SENT if the address refuses, is unreachable or times out.
    """
    loop = asyncio.get_running_loop()
    host_header = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
    try:
        async with asyncio.timeout(timeout):
            with invalid_address_as_os_error(host, port):
                _, connection = await loop.create_connection(
                    lambda: HttpConnection(host_header, limits),
                    host,
                    port,
                    ssl=tls,
                    server_hostname=host if tls is not None else None,
                )
    except TimeoutError as error:
        raise HttpFailure(FailurePhase.NOT_SENT, "connect timed out") from error
    except OSError as error:
        raise HttpFailure(FailurePhase.NOT_SENT, f"connect failed: {error}") from error
    return connection
