"""Open a TCP server for a test, and close its connections with it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def stay_silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Leave a connection open and never reply on it."""


@asynccontextmanager
async def open_raw_server(handler: Handler = stay_silent) -> AsyncIterator[int]:
    """Serve each connection with `handler` on loopback, and yield the port.

    A `StreamWriter` does not close its connection when the peer does. One that is collected after
    its event loop was closed raises an error, which pytest attributes to another test.
    """
    writers: list[asyncio.StreamWriter] = []

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        await handler(reader, writer)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for writer in writers:
            writer.transport.abort()
