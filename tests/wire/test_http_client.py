"""Tests of the HTTP client connection against a scripted server."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from berylspindle_wire.exchange import open_exchange_connection
from berylspindle_wire.http import HttpRequest
from berylspindle_wire.http_client import FailurePhase, HttpConnection, HttpFailure, connect
from berylspindle_wire.reply_body import ReplyMemory

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
GET = HttpRequest(method="GET", path="/a b", query={"q": "x&y"})

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def connected(script: Script) -> AsyncIterator[HttpConnection]:
    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await script(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = await connect("127.0.0.1", port, timeout=5)
    try:
        yield connection
    finally:
        connection.close()
        server.close()


def replying(*replies: bytes) -> Script:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for reply in replies:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(reply)
        await writer.drain()

    return script


async def failure_of(connection: HttpConnection, **options) -> HttpFailure:
    with pytest.raises(HttpFailure) as caught:
        await connection.request(GET, **{"timeout": 5, **options})
    assert not connection.is_reusable
    return caught.value


async def test_request_and_reply():
    seen = []

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(2):
            seen.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" + OK)
        await reader.read()

    async with connected(script) as connection:
        for _ in range(2):
            reply = await connection.request(GET, timeout=5)
            assert (reply.status, reply.body, reply.close) == (200, b"ok", False)
            assert connection.is_reusable
    assert seen[0].startswith(b"GET /a%20b?q=x%26y HTTP/1.1\r\n")


@pytest.mark.parametrize(
    ("reply", "phase"),
    [
        (b"", FailurePhase.SENT),
        (b"HTTP/1.1 200 OK\r\nContent-", FailurePhase.BAD_REPLY),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", FailurePhase.BAD_REPLY),
        (b"HTTP/1.1 200 OK\r\n\r\nuntil the end", FailurePhase.BAD_REPLY),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            FailurePhase.BAD_REPLY,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",
            FailurePhase.BAD_REPLY,
        ),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n" + OK.replace(b"\r\n\r\n", b"\r\n b\r\n\r\n"),
            FailurePhase.BAD_REPLY,
        ),
        (b"garbage\r\n\r\n", FailurePhase.BAD_REPLY),
        (OK + b"HTTP/1.1 200 OK", FailurePhase.BAD_REPLY),
    ],
)
async def test_truncated_or_malformed_reply(reply, phase):
    """Guard against taking a reply truncated by a crash of the backend server as complete.

    Anything but a complete, unambiguous reply is a failure, and its connection is not reused.
    """
    async with connected(replying(reply)) as connection:
        failure = await failure_of(connection)
    assert failure.phase is phase


async def test_reply_truncated_at_any_byte_is_a_failure():
    """Close the connection after each possible byte of a reply, for both kinds of framing."""
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    for whole in (OK, chunked):
        for cut in range(len(whole)):
            async with connected(replying(whole[:cut])) as connection:
                failure = await failure_of(connection)
            assert failure.phase is (FailurePhase.BAD_REPLY if cut else FailurePhase.SENT)


async def test_reset_after_the_write_is_sent():
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()

    async with connected(script) as connection:
        failure = await failure_of(connection)
    assert (failure.phase, failure.timed_out) == (FailurePhase.SENT, False)


async def test_connection_closed_before_the_write_is_not_sent(until):
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.close()

    async with connected(script) as connection:
        await until(lambda: not connection.is_reusable)
        assert (await failure_of(connection)).phase is FailurePhase.NOT_SENT


async def test_refused_connect_is_not_sent():
    server = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    with pytest.raises(HttpFailure) as caught:
        await connect("127.0.0.1", port, timeout=5)
    assert caught.value.phase is FailurePhase.NOT_SENT


@pytest.mark.parametrize(("host", "port"), [("127.0.0.1", 70_000), ("10..3", 80), ("a\0b", 80)])
async def test_invalid_address_is_not_sent(host: str, port: int):
    """Guard against requests that wait for a connection since the task that opens it has failed."""
    with pytest.raises(HttpFailure) as caught:
        await connect(host, port, timeout=5)
    assert caught.value.phase is FailurePhase.NOT_SENT
    with pytest.raises(OSError, match="invalid address"):
        await open_exchange_connection(
            host,
            port,
            timeout=5,
            max_reply_bytes=100,
            memory=ReplyMemory(),
            on_free=lambda connection: None,
        )


async def test_unsolicited_bytes_close_an_idle_connection(until):
    """Guard against reading a late reply to an abandoned request as the reply to the next one."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(OK)
        await reader.read()

    async with connected(script) as connection:
        await until(lambda: not connection.is_reusable)
        assert (await failure_of(connection)).phase is FailurePhase.NOT_SENT


async def test_cancelled_request_closes_the_socket():
    """Guard against work that a backend server continues after its caller has disconnected."""
    asked, ended = asyncio.Event(), asyncio.Event()

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        asked.set()
        try:
            await reader.read()
        finally:
            ended.set()

    async with connected(script) as connection:
        task = asyncio.create_task(connection.request(GET, timeout=60))
        await asked.wait()
        task.cancel()
        await asyncio.wait_for(ended.wait(), 5)
        assert not connection.is_reusable


async def test_timeout_is_sent_and_closes():
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async with connected(script) as connection:
        failure = await failure_of(connection, timeout=0.05)
    assert (failure.phase, failure.timed_out, failure.silent) == (FailurePhase.SENT, True, False)


async def test_reply_without_progress_is_silent():
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async with connected(script) as connection:
        failure = await failure_of(connection, progress_timeout=0.05)
    assert (failure.phase, failure.timed_out, failure.silent) == (FailurePhase.SENT, True, True)


async def test_connection_close_of_the_peer_is_honoured():
    closing = OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    async with connected(replying(closing)) as connection:
        reply = await connection.request(GET, timeout=5)
        assert reply.close
        assert not connection.is_reusable
