"""A client connection for HTTP exchanges that reports results by callback.

Terms:
  exchange   one request and its complete reply
  sink       receiver of the result of an exchange: exactly one call, from the event loop
  leftover   bytes received after a complete reply; they belong to no request

Flow: `open_exchange_connection` connects; `send` writes one request and stores its sink. The sink
receives the reply once it is complete, and the connection can be used again if `is_free`. Callbacks
are used since a fan-out sends ten requests at a time, and a task and a future for each would cost
more than the exchange itself.

A reply is delivered only if it is complete by its own framing. A connection with leftovers, with
unwritten request bytes, or past the idle timeout announced by its peer is never used again, so that
no reply can be taken for the reply to another request. Unacknowledged packets end the connection
after a short timeout, since the path to a peer can fail without a reset. Heads and bodies without
end are broken off by their size (`reply_body`); whoever sends a request bounds its time.
"""

from __future__ import annotations

import abc
import asyncio
import enum
import re
from collections.abc import Callable
from typing import Final, cast

import attrs
import h11

from berylspindle_wire.addresses import invalid_address_as_os_error
from berylspindle_wire.reply_body import (
    UNCOUNTED_BYTES,
    ReplyBody,
    ReplyMemory,
    ReplyReceiver,
)
from berylspindle_wire.sockets import enable_dead_path_detection, has_input

DEFAULT_IDLE_TIMEOUT_S: Final = 4.0
"""Seconds for which an idle connection is reused if its peer announces no timeout: common servers
close idle connections after five or more."""

IDLE_TIMEOUT_FRACTION: Final = 0.7
"""Fraction of the peer's announced idle timeout within which a connection is reused; the rest
covers the network delay and a busy event loop."""

MAX_HEAD_BYTES: Final = 16 * 1024
MAX_INFORMATIONAL: Final = 8

_KEEP_ALIVE: Final = re.compile(rb"(?:^|[,;\s])timeout\s*=\s*(\d{1,9})", re.IGNORECASE)


class ExchangeFailureKind(enum.StrEnum):
    """How an exchange ended without a complete reply.

    NOT_SENT: no byte was written to the connection. LOST: bytes were written and the connection
    ended before any byte of a reply. BROKEN: the reply is malformed or incomplete.
    """

    NOT_SENT = "not_sent"
    LOST = "lost"
    BROKEN = "broken"


@attrs.frozen
class ExchangeFailure:
    """Why an exchange got no complete reply."""

    kind: ExchangeFailureKind
    detail: str


@attrs.frozen
class ExchangeReply:
    """One complete reply; header names are lower case, as the parser returns them."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def header(self, name: bytes) -> str | None:
        """Return the value of a header; repeated headers are joined by commas."""
        values = [value for key, value in self.headers if key == name]
        return b", ".join(values).decode("latin-1") if values else None


@attrs.frozen
class ExchangeRequest:
    """One request as sent on the wire; `target` is written unchanged."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""


class ConnectionUse(enum.Enum):
    """Whether a connection may carry a request.

    LAST_RESORT: only if the request can get no other connection to the same peer.
    """

    ALLOWED = "allowed"
    LAST_RESORT = "last_resort"
    FORBIDDEN = "forbidden"


class ExchangeSink(abc.ABC):
    """Receiver of the result of an exchange: `on_reply` or `on_failure` is called exactly once."""

    @abc.abstractmethod
    def connection_use(self, connection: ExchangeConnection) -> ConnectionUse:
        """Return whether the request may be sent on a connection.

        A peer may send a second copy of a reply late, in place of the reply to the next request on
        the connection. A request id tells it from the reply to another request, not from the reply
        to another attempt of the same one.
        """

    @abc.abstractmethod
    def on_reply(self, reply: ExchangeReply) -> None:
        """Handle a complete reply."""

    @abc.abstractmethod
    def on_failure(self, end: ExchangeFailure) -> None:
        """Handle the end of the exchange without a complete reply."""

    @abc.abstractmethod
    def on_connection_assigned(self, connection: ExchangeConnection) -> None:
        """Record the connection assigned to a request that waited for one."""


class ExchangeConnection(asyncio.Protocol, ReplyReceiver):
    """One connection, created by `open_exchange_connection`. `on_free` is called when it can be
    used again or has ended."""

    def __init__(
        self,
        *,
        now: Callable[[], float],
        max_reply_bytes: int,
        memory: ReplyMemory,
        on_free: Callable[[ExchangeConnection], None],
    ) -> None:
        self._now: Final = now
        self._memory: Final = memory
        self._on_free: Final = on_free
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport = cast(asyncio.Transport, None)
        self._sink: ExchangeSink | None = None
        self._head: h11.Response | None = None
        self._body: Final = ReplyBody(max_reply_bytes)
        self._informational = 0
        self._reply_started = False
        self._closed = False
        self._idle_since = now()
        self._usable_until = self._idle_since + DEFAULT_IDLE_TIMEOUT_S
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._exchanges = 0

    @property
    def is_free(self) -> bool:
        """Return whether a request may be sent now."""
        return (
            not self._closed
            and self._sink is None
            and self._now() < self._usable_until
            and not self._transport.is_closing()
        )

    @property
    def is_closed(self) -> bool:
        """Return whether the connection has ended."""
        return self._closed

    @property
    def exchanges(self) -> int:
        """Return the number of requests sent."""
        return self._exchanges

    def idle_for(self) -> float:
        """Return the seconds since the last complete reply, or since the connect before any."""
        return self._now() - self._idle_since

    def has_unread_input(self) -> bool:
        """Ask the kernel whether the idle peer has sent bytes or closed, even if not yet read."""
        return has_input(self._transport.get_extra_info("socket"))

    def send(self, request: ExchangeRequest, sink: ExchangeSink) -> None:
        """Write one request; the connection must be free. Raise ValueError for an invalid request,
        of which nothing is written."""
        try:
            data = self._encode(request)
        except h11.LocalProtocolError as error:
            self.close()
            raise ValueError(str(error)) from error
        self._sink = sink
        self._reply_started = False
        self._exchanges += 1
        self._transport.write(data)

    def close(self) -> None:
        """Close the connection at once; an exchange in flight ends as LOST or BROKEN."""
        self._transport.abort()
        self._finish("closed locally")

    def discard(self) -> None:
        """Close the connection without notifying the sink, which has abandoned the exchange."""
        self._sink = None
        self.close()

    def break_off(self, detail: str) -> None:
        """Close the connection; the exchange in flight ends as BROKEN."""
        self._transport.abort()
        self._finish(detail, broken=True)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable kernel detection of a dead path."""
        self._transport = cast(asyncio.Transport, transport)
        enable_dead_path_detection(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse part of a reply; unsolicited bytes close the connection."""
        if self._sink is None:
            self.close()
            return
        self._reply_started = True
        try:
            self._parser.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self.break_off(str(error))

    def eof_received(self) -> bool:
        """Complete a reply delimited by the end of the connection, or fail a truncated one."""
        if self._sink is not None:
            try:
                self._parser.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError as error:
                self._finish(str(error), broken=self._reply_started)
        self._finish("the peer closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in flight."""
        self._finish(f"reset: {exc}" if exc is not None else "closed")

    def _encode(self, request: ExchangeRequest) -> bytes:
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        data = self._parser.send(head)
        if request.body:
            data += self._parser.send(h11.Data(data=request.body))
        return data + self._parser.send(h11.EndOfMessage())

    def _read_events(self) -> None:
        while self._sink is not None:
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                self._add_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._complete()
            elif isinstance(event, h11.InformationalResponse):
                self._informational += 1
                if self._informational > MAX_INFORMATIONAL:
                    raise h11.RemoteProtocolError("too many informational responses")
            else:
                raise h11.RemoteProtocolError("reply truncated")

    def _add_body(self, part: bytes) -> None:
        self._body.add(part)
        if self._body.size > UNCOUNTED_BYTES:
            self._memory.update(self, self._body.size)

    def _release_body(self) -> None:
        if self._body.size > UNCOUNTED_BYTES:
            self._memory.release(self)
        self._body.clear()

    def _complete(self) -> None:
        head, sink = self._head, self._sink
        assert head is not None
        assert sink is not None
        reply = ExchangeReply(head.status_code, tuple(head.headers), self._body.content())
        self._release_body()
        self._sink = self._head = None
        self._informational = 0
        self._update_idle_timeout(reply)
        # The unwritten tail of a request would be read as the start of the next one.
        unwritten = self._transport.get_write_buffer_size() > 0
        done = self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE
        if done and not unwritten and not self._parser.trailing_data[0]:
            self._parser.start_next_cycle()
        else:
            self._closed = True
            self._transport.close()
        sink.on_reply(reply)
        self._on_free(self)

    def _update_idle_timeout(self, reply: ExchangeReply) -> None:
        for name, value in reply.headers:
            if name == b"keep-alive":
                match = _KEEP_ALIVE.search(value)
                if match is not None:
                    self._idle_timeout_s = int(match[1]) * IDLE_TIMEOUT_FRACTION
        self._idle_since = self._now()
        self._usable_until = self._idle_since + self._idle_timeout_s

    def _finish(self, detail: str, *, broken: bool | None = None) -> None:
        """Notify the sink of the exchange in flight, if any, that there will be no reply."""
        newly_closed, self._closed = not self._closed, True
        sink, self._sink = self._sink, None
        self._release_body()
        if sink is not None:
            is_broken = self._reply_started if broken is None else broken
            sink.on_failure(
                ExchangeFailure(
                    ExchangeFailureKind.BROKEN if is_broken else ExchangeFailureKind.LOST, detail
                )
            )
        if newly_closed:
            self._on_free(self)


async def open_exchange_connection(
    host: str,
    port: int,
    *,
    timeout: float,
    max_reply_bytes: int,
    memory: ReplyMemory,
    on_free: Callable[[ExchangeConnection], None],
) -> ExchangeConnection:
    """Connect within `timeout` seconds; `max_reply_bytes` limits the body of a reply, `memory` all
    unfinished ones. Raise OSError, which includes TimeoutError."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout):
        with invalid_address_as_os_error(host, port):
            _, connection = await loop.create_connection(
                lambda: ExchangeConnection(
                    now=loop.time, max_reply_bytes=max_reply_bytes, memory=memory, on_free=on_free
                ),
                host,
                port,
            )
    return connection
