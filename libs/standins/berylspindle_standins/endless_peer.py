"""A stand-in server that answers with bytes without end, until the client closes.

Flow: `open_endless_peer` listens; each connection reads one request head and then writes the pieces
of its `EndlessReply` again and again, as fast as the client reads them or with a pause between two.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import attrs

_OK: Final = b"HTTP/1.1 200 OK\r\n"
_BLOCK: Final = b"x" * 16384


class EndlessReply(enum.Enum):
    """Where the reply has no end: its first bytes, and those that are repeated."""

    GARBAGE = (b"", b"\x17" * 4096)
    STATUS_LINE = (b"HTTP/1.1 200 ", b"O" * 4096)
    HEADERS = (_OK, b"x-noise: more\r\n" * 64)
    HEADER_VALUE = (_OK + b"x-noise: ", b"m" * 4096)
    INFORMATIONAL = (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 16)
    BODY_UNTIL_CLOSE = (_OK + b"x-replica-signature: s\r\n\r\n", _BLOCK)
    BODY_OF_LENGTH = (_OK + b"content-length: 999999999999\r\n\r\n", _BLOCK)
    CHUNKS = (_OK + b"transfer-encoding: chunked\r\n\r\n", b"4000\r\n" + _BLOCK + b"\r\n")
    SMALL_CHUNKS = (_OK + b"transfer-encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 2048)
    CHUNK_EXTENSION = (_OK + b"transfer-encoding: chunked\r\n\r\n1;", b"e" * 4096)
    TRAILERS = (_OK + b"transfer-encoding: chunked\r\n\r\n0\r\n", b"x-noise: more\r\n" * 64)


@attrs.define
class EndlessPeer:
    """State of the server.

    Attributes:
        pause_s: seconds between two pieces; each piece is then one byte.
        written: bytes written on all connections.
        connections: connections on which a request has arrived.
        open_connections: those of them that the client has not closed.
    """

    reply: EndlessReply
    pause_s: float = 0.0
    port: int = 0
    written: int = 0
    connections: int = 0
    open_connections: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.connections += 1
            self.open_connections += 1
            try:
                await self._write_until_closed(writer)
            finally:
                self.open_connections -= 1
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _write_until_closed(self, writer: asyncio.StreamWriter) -> None:
        first, repeated = self.reply.value
        piece = repeated[:1] if self.pause_s else repeated
        writer.write(first)
        while True:
            writer.write(piece)
            self.written += len(piece)
            await writer.drain()
            await asyncio.sleep(self.pause_s)


@asynccontextmanager
async def open_endless_peer(
    reply: EndlessReply, *, pause_s: float = 0.0
) -> AsyncIterator[EndlessPeer]:
    """Listen on a free port of the loopback interface."""
    peer = EndlessPeer(reply, pause_s)
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    peer.port = server.sockets[0].getsockname()[1]
    try:
        yield peer
    finally:
        server.close()
