"""One client connection that carries whole exchanges, told by calls rather than awaited.

Terms:
  exchange   one request and its whole reply
  sink       who is told how an exchange ended: exactly one call, from the event loop
  leftover   bytes that a peer sends after a whole reply; they belong to no request

Flow: `open_exchanges` connects; `send` writes one request and remembers its sink; when the reply is
whole the sink gets it, and the connection is free again where `is_free` says so. A fan-out sends
ten requests at a time, and a task and a future for each would cost more than the exchange itself.

Guards: a reply is told only when it is whole by its own framing; a connection with leftovers, with
a request still unwritten, or past the idle time that its peer has stated is never used again, so
that no reply can be taken for the reply to another request. Packets that nobody acknowledges end
the connection soon, for the path to a peer can go silent without a reset.
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

from berylspindle_wire.sockets import has_ended, watch_path

DEFAULT_IDLE_S: Final = 4.0
"""Seconds for which an idle connection is trusted where its peer states no time: common servers
close theirs after five or more."""

IDLE_SHARE: Final = 0.7
"""Share of the idle time stated by the peer within which a connection is used again; the rest
covers the way there and a busy event loop."""

MOST_INFORMATIONAL: Final = 8

_KEEP_ALIVE: Final = re.compile(rb"(?:^|[,;\s])timeout\s*=\s*(\d{1,9})", re.IGNORECASE)


class EndKind(enum.StrEnum):
    """How an exchange ended without a whole reply.

    NOT_SENT: no byte was handed to the connection. LOST: bytes were written and the connection
    ended before any byte of a reply. BROKEN: what came is no whole reply.
    """

    NOT_SENT = "not_sent"
    LOST = "lost"
    BROKEN = "broken"


@attrs.frozen
class ExchangeEnd:
    """Why an exchange got no whole reply."""

    kind: EndKind
    detail: str


@attrs.frozen
class ExchangeReply:
    """One whole reply; header names are lower case, as the parser gives them."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def header(self, name: bytes) -> str | None:
        """Return the value of a header, joined by commas where it came several times."""
        values = [value for key, value in self.headers if key == name]
        return b", ".join(values).decode("latin-1") if values else None


@attrs.frozen
class ExchangeRequest:
    """One request as it goes on the wire; `target` is passed on unchanged."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""


class ExchangeSink(abc.ABC):
    """Who is told how an exchange ended; exactly one of the two is called, once."""

    @abc.abstractmethod
    def on_reply(self, reply: ExchangeReply) -> None:
        """Take a whole reply."""

    @abc.abstractmethod
    def on_end(self, end: ExchangeEnd) -> None:
        """Take that there will be no reply."""

    @abc.abstractmethod
    def on_carried(self, connection: ExchangeConnection) -> None:
        """Take the connection that carries a request which had to wait for one."""


class ExchangeConnection(asyncio.Protocol):
    """One connection; made by `open_exchanges`. `on_free` is told when it can be used again or
    has ended."""

    def __init__(
        self,
        *,
        now: Callable[[], float],
        most_bytes: int,
        on_free: Callable[[ExchangeConnection], None],
    ) -> None:
        self._now: Final = now
        self._most_bytes: Final = most_bytes
        self._on_free: Final = on_free
        self._parser = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport = cast(asyncio.Transport, None)
        self._sink: ExchangeSink | None = None
        self._head: h11.Response | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._informational = 0
        self._started = False
        self._ended = False
        self._since = now()
        self._until = self._since + DEFAULT_IDLE_S
        self._idle_s = DEFAULT_IDLE_S
        self._exchanges = 0

    @property
    def is_free(self) -> bool:
        """Tell whether a request may be sent now."""
        return (
            not self._ended
            and self._sink is None
            and self._now() < self._until
            and not self._transport.is_closing()
        )

    @property
    def has_ended(self) -> bool:
        """Tell whether the connection is gone."""
        return self._ended

    @property
    def exchanges(self) -> int:
        """Return how many requests were sent."""
        return self._exchanges

    def idle_for(self) -> float:
        """Return for how many seconds nothing was sent or received."""
        return self._now() - self._since

    def peer_has_ended(self) -> bool:
        """Ask the kernel whether the peer has ended the connection, though nobody looked yet."""
        return has_ended(self._transport.get_extra_info("socket"))

    def send(self, request: ExchangeRequest, sink: ExchangeSink) -> None:
        """Write one request; the connection must be free. Raises ValueError for an illegal one,
        of which nothing was written."""
        try:
            data = self._encode(request)
        except h11.LocalProtocolError as error:
            self.close()
            raise ValueError(str(error)) from error
        self._sink = sink
        self._started = False
        self._exchanges += 1
        self._transport.write(data)

    def close(self) -> None:
        """End the connection at once; an exchange under way is told, as LOST or BROKEN."""
        self._transport.abort()
        self._finish("closed here")

    def forget(self) -> None:
        """End the connection without telling the sink, which has given the exchange up."""
        self._sink = None
        self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and have the kernel watch for a silent path."""
        self._transport = cast(asyncio.Transport, transport)
        watch_path(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse part of a reply; bytes that nobody asked for end the connection."""
        if self._sink is None:
            self.close()
            return
        self._started = True
        try:
            self._parser.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._transport.abort()
            self._finish(str(error), broken=True)

    def eof_received(self) -> bool:
        """Complete a reply that ends with its connection, or fail one that is cut."""
        if self._sink is not None:
            try:
                self._parser.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError as error:
                self._finish(str(error), broken=self._started)
        self._finish("the peer closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the exchange under way."""
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
                self._add_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete()
            elif isinstance(event, h11.InformationalResponse):
                self._informational += 1
                if self._informational > MOST_INFORMATIONAL:
                    raise h11.RemoteProtocolError("too many informational responses")
            else:
                raise h11.RemoteProtocolError("the reply ended early")

    def _add_body(self, part: bytes) -> None:
        self._body.append(part)
        self._body_bytes += len(part)
        if self._body_bytes > self._most_bytes:
            raise h11.RemoteProtocolError("the reply is larger than the limit")

    def _complete(self) -> None:
        head, sink = self._head, self._sink
        assert head is not None
        assert sink is not None
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        reply = ExchangeReply(head.status_code, tuple(head.headers), body)
        self._sink = self._head = None
        self._body = []
        self._body_bytes = self._informational = 0
        self._note_idle_time(reply)
        # A request whose tail is still unwritten would be read as the start of the next one.
        unwritten = self._transport.get_write_buffer_size() > 0
        done = self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE
        if done and not unwritten and not self._parser.trailing_data[0]:
            self._parser.start_next_cycle()
        else:
            self._ended = True
            self._transport.close()
        sink.on_reply(reply)
        self._on_free(self)

    def _note_idle_time(self, reply: ExchangeReply) -> None:
        for name, value in reply.headers:
            if name == b"keep-alive":
                stated = _KEEP_ALIVE.search(value)
                if stated is not None:
                    self._idle_s = int(stated[1]) * IDLE_SHARE
        self._since = self._now()
        self._until = self._since + self._idle_s

    def _finish(self, detail: str, *, broken: bool | None = None) -> None:
        """Tell the sink of an exchange under way that there will be no reply."""
        first, self._ended = not self._ended, True
        sink, self._sink = self._sink, None
        if sink is not None:
            cut = self._started if broken is None else broken
            sink.on_end(ExchangeEnd(EndKind.BROKEN if cut else EndKind.LOST, detail))
        if first:
            self._on_free(self)


async def open_exchanges(
    host: str,
    port: int,
    *,
    timeout: float,
    most_bytes: int,
    on_free: Callable[[ExchangeConnection], None],
) -> ExchangeConnection:
    """Connect within `timeout` seconds; replies may have `most_bytes`. Raises OSError, of which
    TimeoutError is one."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout):
        _, connection = await loop.create_connection(
            lambda: ExchangeConnection(now=loop.time, most_bytes=most_bytes, on_free=on_free),
            host,
            port,
        )
    return connection
