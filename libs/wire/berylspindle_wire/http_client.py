"""Send HTTP/1.1 requests over h11, one at a time on one connection.

Terms:
  failure phase   how far a request got before it failed: NOT_SENT, SENT or BAD_REPLY; it decides
                  whether "not run" may be said and whether a retry is safe
  progress        any byte of the reply
  reusable        a connection with no reply outstanding, no failure and no wish to close

Flow: `connect` opens a socket; `request` writes one request and waits until `data_received` has
completed the reply. Whatever goes wrong closes the connection, so that a late reply to one request
can never be read as the reply to another.
"""

from __future__ import annotations

import asyncio
import enum
import ssl
from typing import Final, cast
from urllib.parse import quote, urlencode

import h11

from berylspindle_wire.http import HttpLimits, HttpRequest, HttpResponse
from berylspindle_wire.http_head import HEAD_END, framing_fault
from berylspindle_wire.sockets import has_ended, watch_path

_MOST_INFORMATIONAL: Final = 8
_PATH_SAFE: Final = "/:@!$&'()*+,;=~"


class FailurePhase(enum.StrEnum):
    """How far a request got before it failed.

    NOT_SENT: no byte of it was handed to the socket. SENT: bytes were written and no whole reply
    came. BAD_REPLY: a reply came that is malformed or truncated.
    """

    NOT_SENT = "not_sent"
    SENT = "sent"
    BAD_REPLY = "bad_reply"


class HttpFailure(Exception):  # noqa: N818
    """A request got no whole reply.

    `timed_out` marks a request that was sent and given up when its time was over, though nothing
    was reset: no evidence that it harmed the server. `silent` marks, of those, one given up by
    `progress_timeout` before any byte of the reply came.
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
    """One client connection; made by `connect`."""

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
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._progress = 0
        self._lost = False
        self._closed: Final[asyncio.Future[None]] = self._loop.create_future()
        self._last_success = self._loop.time()
        self._requests = 0

    @property
    def is_reusable(self) -> bool:
        """Tell whether another request may be sent on this connection."""
        return not self._lost and self._reply is None and not self._transport.is_closing()

    @property
    def last_success(self) -> float:
        """Return the loop's time of the last whole reply, or of the connect before any."""
        return self._last_success

    @property
    def requests(self) -> int:
        """Return how many requests were sent on this connection."""
        return self._requests

    def peer_has_ended(self) -> bool:
        """Ask the kernel whether the peer has ended the connection, though nobody looked yet."""
        return has_ended(self._transport.get_extra_info("socket"))

    async def request(
        self,
        request: HttpRequest,
        *,
        timeout: float,
        progress_timeout: float | None = None,
        cancel_wait: float = 0.0,
    ) -> HttpResponse:
        """Send one request and return the whole reply.

        All times are in seconds; `progress_timeout` bounds the wait for the next byte of the
        reply. Raises HttpFailure. Cancelling this closes the socket, which is how work is
        cancelled at a backend server; with `cancel_wait` it waits as long at most until the peer
        has closed its side, and so has ended the work.
        """
        if not self.is_reusable:
            raise HttpFailure(FailurePhase.NOT_SENT, "the connection is closed")
        try:
            data = self._encode(request)
        except h11.LocalProtocolError as error:
            self.close()
            raise HttpFailure(FailurePhase.NOT_SENT, str(error)) from error
        reply: asyncio.Future[HttpResponse] = self._loop.create_future()
        self._reply = reply
        timers = [self._loop.call_later(timeout, self._time_out, "no whole reply in time")]
        if progress_timeout is not None:
            self._watch(timers, progress_timeout, 0)
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
        """Close the socket; a reply that is outstanding fails."""
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and have the kernel watch for a silent path."""
        self._transport = cast(asyncio.Transport, transport)
        watch_path(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse part of the reply; bytes that nobody asked for close the connection."""
        if self._reply is None or self._reply.done():
            self._transport.abort()
            return
        self._progress += 1
        try:
            if not self._head_checked:
                self._check_head(data)
            self._parser.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._fail(FailurePhase.BAD_REPLY, str(error))

    def eof_received(self) -> bool:
        """Fail the reply that is outstanding; its kind depends on what had come of it."""
        if self._progress:
            self._fail(FailurePhase.BAD_REPLY, "the reply ended early")
        else:
            self._fail(FailurePhase.SENT, "the peer closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the reply that is outstanding."""
        self._lost = True
        self._closed.set_result(None)
        self._fail(FailurePhase.SENT, "the connection was reset" if exc else "it was closed")

    async def _half_close(self, wait: float) -> None:
        """Close this side, and wait at most `wait` seconds until the peer has closed its own."""
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
        start = h11.Request(method=request.method, target=target, headers=headers)
        data = self._parser.send(start)
        if request.body:
            data += self._parser.send(h11.Data(data=request.body))
        return data + self._parser.send(h11.EndOfMessage())

    def _check_head(self, data: bytes) -> None:
        """Refuse a reply whose boundary can be read in two ways."""
        self._raw_head += data
        end = self._raw_head.find(HEAD_END)
        if end < 0:
            if len(self._raw_head) > self._limits.header_bytes:
                raise h11.RemoteProtocolError("the headers are larger than the limit")
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
                self._add_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete()
                return
            else:
                raise h11.RemoteProtocolError("unexpected end of the reply")

    def _skip_informational(self) -> None:
        self._head_checked = False
        self._check_head(self._parser.trailing_data[0])
        self._informational += 1
        if self._informational > _MOST_INFORMATIONAL:
            raise h11.RemoteProtocolError("too many informational responses")

    def _add_body(self, part: bytes) -> None:
        self._body.append(part)
        self._body_bytes += len(part)
        if self._body_bytes > self._limits.body_bytes:
            raise h11.RemoteProtocolError("the body is larger than the limit")

    def _complete(self) -> None:
        assert self._head is not None
        if self._parser.trailing_data[0]:
            raise h11.RemoteProtocolError("more bytes than the reply holds")
        headers: dict[str, str] = {}
        for raw_name, raw_value in self._head.headers:
            name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        response = HttpResponse(
            status=self._head.status_code,
            body=b"".join(self._body),
            headers=headers,
            close=self._parser.their_state is not h11.DONE,
        )
        self._renew()
        reply, self._reply = self._reply, None
        if reply is not None and not reply.done():
            reply.set_result(response)

    def _renew(self) -> None:
        """Get ready for a next request, or close where the peer wants to."""
        self._last_success = self._loop.time()
        self._head = None
        self._head_checked = False
        self._informational = 0
        self._body = []
        self._body_bytes = 0
        self._progress = 0
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
        else:
            self._transport.close()

    def _watch(self, timers: list[asyncio.TimerHandle], bound: float, seen: int) -> None:
        """Fail the reply if no byte of it has come within `bound` seconds, again and again."""
        timers[1:] = [self._loop.call_later(bound, self._check_progress, timers, bound, seen)]

    def _check_progress(self, timers: list[asyncio.TimerHandle], bound: float, seen: int) -> None:
        if self._progress == seen:
            self._time_out("no byte of the reply came in time", silent=seen == 0)
        else:
            self._watch(timers, bound, self._progress)

    def _time_out(self, detail: str, *, silent: bool = False) -> None:
        self._end(HttpFailure(FailurePhase.SENT, detail, timed_out=True, silent=silent))

    def _fail(self, phase: FailurePhase, detail: str) -> None:
        self._end(HttpFailure(phase, detail))

    def _end(self, failure: HttpFailure) -> None:
        """Fail the reply that is outstanding, if one is, and close the connection."""
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

    Raises HttpFailure with NOT_SENT where it is refused, unreachable or too slow.
    """
    loop = asyncio.get_running_loop()
    host_header = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
    try:
        async with asyncio.timeout(timeout):
            _, connection = await loop.create_connection(
                lambda: HttpConnection(host_header, limits),
                host,
                port,
                ssl=tls,
                server_hostname=host if tls is not None else None,
            )
    except TimeoutError as error:
        raise HttpFailure(FailurePhase.NOT_SENT, "the connect timed out") from error
    except OSError as error:
        raise HttpFailure(FailurePhase.NOT_SENT, f"the connect failed: {error}") from error
    return connection
