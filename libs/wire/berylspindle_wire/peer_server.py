"""The owner's side of the peer protocol, and the control calls of every VM.

Terms:
  link          one entry's stream of frames; see `peer_codec`
  control call  one method from bytes to bytes, used by membership and configuration

Flow: `start` listens; each link is served by an `OwnerLink`. `begin_drain` sends `closing` on every
link: the entry then submits no more work and ends its side, so that the stream is closed from both
ends after the last reply and no batch can be lost in between. `close` waits for that up to its
grace period, then closes the remaining links.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack
from typing import Any, Final
from weakref import WeakSet

from grpclib import GRPCError, Status
from grpclib.config import Configuration
from grpclib.const import Cardinality
from grpclib.const import Handler as Route
from grpclib.protocol import H2Protocol
from grpclib.server import Server, Stream

from berylspindle_model.codec import to_json
from berylspindle_model.errors import ErrorKind, Refusal, RefusalError
from berylspindle_wire.owner_link import BatchHandler, OwnerLink
from berylspindle_wire.peer_auth import CallVerifier, require_key
from berylspindle_wire.peer_codec import CONTROL_PATH, LINK_PATH, PeerCodec, PeerFrame

ControlMethod = Callable[[bytes], Awaitable[bytes]]
OnFault = Callable[[BaseException], None]

_CONFIG: Final = Configuration(
    # An entry lost without a reset is detected within 80 s; until then its link only occupies
    # memory. More frequent pings would take a large share of the control traffic.
    _keepalive_time=60.0,
    _keepalive_timeout=20.0,
    _keepalive_permit_without_calls=True,
    _http2_max_pings_without_data=0,
    _http2_min_sent_ping_interval_without_data=30,
)

# grpclib would log a traceback for each peer that disconnects, which is not an error here.
logging.getLogger("grpclib").setLevel(logging.CRITICAL)


def _ignore(_: BaseException) -> None:
    """Ignore an exception; the default hook."""


class _ClosingServer(Server):
    """A grpclib server that also closes its connections when it stops; grpclib's own leaves them
    open, so that a peer waits for replies that are never sent."""

    def __init__(self, handlers: list[PeerServer]) -> None:
        super().__init__(handlers, codec=PeerCodec(), config=_CONFIG)
        self._protocols: WeakSet[H2Protocol] = WeakSet()

    @property
    def port(self) -> int:
        """Return the bound port number."""
        assert isinstance(self._server, asyncio.Server)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def stop(self) -> None:
        """Stop listening, cancel running calls and close all connections."""
        self.close()
        # grpclib creates a protocol one loop iteration before its connection is made. Without this
        # yield, a peer that connects at this moment makes the daemon exit with an internal error.
        await asyncio.sleep(0)
        for protocol in tuple(self._protocols):
            if hasattr(protocol, "connection") and not protocol.connection.is_closing():
                protocol.processor.close("the server was closed")
        await self.wait_closed()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol


class PeerServer:
    """Serve links and control calls of peers on one TCP port.

    Raise KeyRequiredError if there is no key and `host` is not a loopback address. `on_fault` is
    called with exceptions of the batch handler and of control methods.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        batch_handler: BatchHandler,
        control: Mapping[str, ControlMethod],
        key: bytes | None,
        on_fault: OnFault = _ignore,
    ) -> None:
        require_key(host, key)
        self._host: Final = host
        self._port = port
        self._batch_handler = batch_handler
        self._control = control
        self._verifier = CallVerifier(key)
        self._on_fault = on_fault
        self._links: set[OwnerLink] = set()
        self._no_links = asyncio.Event()
        self._no_links.set()
        self._draining = False
        self._stack = AsyncExitStack()
        self.unauthorised = 0

    @property
    def port(self) -> int:
        """Return the bound port number."""
        return self._port

    @property
    def links(self) -> int:
        """Return the number of open links."""
        return len(self._links)

    async def start(self) -> None:
        """Start listening; raise OSError if the address can't be bound."""
        server = _ClosingServer([self])
        await server.start(self._host, self._port)
        self._stack.push_async_callback(server.stop)
        self._port = server.port

    def begin_drain(self) -> None:
        """Send `closing` to all entries and refuse new links."""
        self._draining = True
        for link in self._links:
            link.send_closing()

    async def close(self, grace: float = 0.0) -> None:
        """Drain for up to `grace` seconds until all batches are answered, then close all links."""
        self.begin_drain()
        if grace > 0:
            try:
                await asyncio.wait_for(self._no_links.wait(), grace)
            except TimeoutError:
                pass
        await self._stack.aclose()

    def __mapping__(self) -> dict[str, Route]:
        """Return the routes for grpclib."""
        routes = {LINK_PATH: Route(self._link, Cardinality.STREAM_STREAM, PeerFrame, PeerFrame)}
        for name, method in self._control.items():
            routes[CONTROL_PATH + name] = Route(
                self._control_route(CONTROL_PATH + name, method),
                Cardinality.UNARY_UNARY,
                bytes,
                bytes,
            )
        return routes

    def _check(self, path: str, stream: Stream[Any, Any]) -> None:
        if not self._verifier.accepts(path, stream.metadata or {}):
            self.unauthorised += 1
            raise GRPCError(Status.UNAUTHENTICATED, "peer key is missing or wrong")

    async def _link(self, stream: Stream[PeerFrame, PeerFrame]) -> None:
        self._check(LINK_PATH, stream)
        if self._draining:
            raise GRPCError(Status.UNAVAILABLE, "this VM is shutting down")
        link = OwnerLink(stream, self._batch_handler, self._on_fault)
        self._links.add(link)
        self._no_links.clear()
        try:
            await link.serve()
        finally:
            self._links.discard(link)
            if not self._links:
                self._no_links.set()

    def _control_route(
        self, path: str, method: ControlMethod
    ) -> Callable[[Stream[bytes, bytes]], Awaitable[None]]:
        async def call(stream: Stream[bytes, bytes]) -> None:
            self._check(path, stream)
            payload = await stream.recv_message()
            try:
                reply = await method(payload or b"")
            except RefusalError as error:
                raise _to_grpc_error(error.refusal) from error
            except Exception as error:
                self._on_fault(error)
                raise _to_grpc_error(Refusal(ErrorKind.INTERNAL)) from error
            await stream.send_message(reply)

        return call


def _to_grpc_error(refusal: Refusal) -> GRPCError:
    return GRPCError(Status.ABORTED, to_json(refusal).decode())
