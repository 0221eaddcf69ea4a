"""A small HTTP/1.1 server with fault injection on its connections.

The server of berylspindle_wire always follows the protocol. A stand-in must also reset or refuse
connections, stop replying and truncate bodies, so this server uses h11 directly on the transport.

Terms:
  host         owner of connections: accepts or refuses them and answers their requests
  reply        status, headers and body, with the faults to apply to them
  silent       a connection that stays open but sends nothing more

Flow: `listen` binds a host to a port. A connection reads one request at a time and runs
`host.answer` in a task, which is cancelled when the peer closes the connection.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import Final
from urllib.parse import parse_qsl, unquote, urlsplit

import attrs
import h11

from berylspindle_model import codec
from berylspindle_wire.http import JSON_TYPE, HttpRequest

MAX_BODY_BYTES: Final = 4 * 1024 * 1024


@attrs.frozen(kw_only=True)
class Reply:
    """The reply of a host to a request.

    Attributes:
        truncate: send half of the body and close, with the content length of the whole body.
        drop: close without a reply, as if the reply was lost in the network.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    truncate: bool = False
    drop: bool = False


def json_reply(status: int, message: object) -> Reply:
    """Return a reply with a message encoded as JSON."""
    return Reply(status=status, body=codec.to_json(message), headers=(("content-type", JSON_TYPE),))


class ConnectionHost(ABC):
    """The owner of connections, which accepts them and answers their requests."""

    @abstractmethod
    def accept(self, connection: Connection) -> bool:
        """Return whether to accept a new connection; a refused one is reset."""

    @abstractmethod
    def on_closed(self, connection: Connection) -> None:
        """Handle the end of a connection that `accept` has accepted."""

    @abstractmethod
    async def answer(self, request: HttpRequest) -> Reply:
        """Return the reply to a request. Cancelled when the peer closes the connection."""

    @property
    def connect_delay(self) -> float:
        """Return the delay before the first read from a new connection, in seconds."""
        return 0.0


class Connection(asyncio.Protocol):
    """One accepted connection."""

    def __init__(self, host: ConnectionHost) -> None:
        self._host: Final = host
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._accepted = False
        self._connect_delayed = False
        self._silent = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept or reset the connection, as the host decides."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._accepted = self._host.accept(self)
        if not self._accepted:
            transport.abort()
            return
        delay = self._host.connect_delay
        if delay > 0:
            self._connect_delayed = True
            asyncio.get_running_loop().call_later(delay, self._end_connect_delay)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress and notify the host."""
        if self._task is not None:
            self._task.cancel()
        if self._accepted:
            self._accepted = False
            self._host.on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; a silent connection discards the data."""
        if self._silent:
            return
        self._http.receive_data(data)
        if not self._connect_delayed:
            self._read()

    def silence(self) -> None:
        """Keep the connection open but send nothing more."""
        self._silent = True

    def reset(self) -> None:
        """Close at once and discard buffered output."""
        if self._transport is not None:
            self._transport.abort()

    def _end_connect_delay(self) -> None:
        self._connect_delayed = False
        if self._accepted and not self._silent:
            self._read()

    def _read(self) -> None:
        try:
            request = self._next_request()
        except h11.RemoteProtocolError:
            self.reset()
            return
        if request is not None:
            self._task = asyncio.get_running_loop().create_task(self._serve(request))

    def _next_request(self) -> HttpRequest | None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._request = event
                self._body.clear()
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MAX_BODY_BYTES:
                    raise h11.RemoteProtocolError("request body exceeds MAX_BODY_BYTES")
            elif isinstance(event, h11.EndOfMessage):
                assert self._request is not None
                return _http_request(self._request, bytes(self._body))
            else:
                # NEED_DATA, PAUSED or closed by the peer: no request to answer.
                return None

    async def _serve(self, request: HttpRequest) -> None:
        reply = await self._host.answer(request)
        transport = self._transport
        if self._silent or transport is None or transport.is_closing():
            return
        self._task = None
        if reply.drop:
            transport.abort()
            return
        self._send(transport, reply)

    def _send(self, transport: asyncio.Transport, reply: Reply) -> None:
        headers = [*reply.headers, ("content-length", str(len(reply.body)))]
        parts = [self._http.send(h11.Response(status_code=reply.status, headers=headers))]
        body = reply.body[: len(reply.body) // 2] if reply.truncate else reply.body
        parts.append(self._http.send(h11.Data(data=body)))
        if not reply.truncate:
            parts.append(self._http.send(h11.EndOfMessage()))
        transport.write(b"".join(part for part in parts if part))
        if reply.truncate or self._http.our_state is not h11.DONE:
            transport.close()
            return
        if self._http.their_state is not h11.DONE:
            transport.close()
            return
        self._http.start_next_cycle()
        self._read()


async def listen(host: ConnectionHost, address: str, port: int) -> asyncio.Server:
    """Bind a host to a port; 0 lets the system choose one."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: Connection(host), address, port, backlog=1024)


def bound_port(server: asyncio.Server) -> int:
    """Return the port that a server listens on."""
    port: int = server.sockets[0].getsockname()[1]
    return port


def _http_request(request: h11.Request, body: bytes) -> HttpRequest:
    target = urlsplit(request.target.decode("ascii"))
    return HttpRequest(
        method=request.method.decode("ascii"),
        path=unquote(target.path),
        headers={name.decode("ascii"): value.decode("latin-1") for name, value in request.headers},
        query=dict(parse_qsl(target.query, keep_blank_values=True)),
        body=body,
    )
