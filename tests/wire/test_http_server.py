"""Tests of the HTTP server over loopback sockets."""

from __future__ import annotations

import ast
import asyncio
import json
from pathlib import Path

import pytest

from berylspindle_model.errors import ErrorKind, refuse
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    RequestCancelledError,
    json_response,
)
from berylspindle_wire.http_server import HttpServer, serve
from berylspindle_wire.sockets import peer_has_closed

LIMITS = HttpLimits(header_bytes=2048, body_bytes=64, read_timeout=0.3, connections=4)
GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"


async def echo(request: HttpRequest) -> HttpResponse:
    text = f"{request.method} {request.path} {sorted(request.query.items())} ".encode()
    return HttpResponse(status=200, body=text + request.body)


async def start(handler=echo, **options) -> HttpServer:
    return await serve(handler, host="127.0.0.1", port=0, **{"limits": LIMITS, **options})


async def exchange(port: int, data: bytes) -> bytes:
    """Send bytes and return everything received until the server closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), 5)
    finally:
        writer.close()


def status_of(reply: bytes) -> int:
    return int(reply.split(b" ", 2)[1])


def load_malformed_cases() -> list[tuple[str, int, bytes]]:
    lines = (Path(__file__).parent / "data" / "malformed_requests.txt").read_text().splitlines()
    cases = []
    for line in lines:
        if line and not line.startswith("#"):
            name, status, escaped = (part.strip() for part in line.split("|", 2))
            cases.append((name, int(status), ast.literal_eval(f'b"""{escaped}"""')))
    return cases


@pytest.mark.parametrize(
    ("status", "data"),
    [case[1:] for case in load_malformed_cases()],
    ids=[case[0] for case in load_malformed_cases()],
)
async def test_malformed_request_is_refused_and_nothing_after_it_is_served(status, data):
    """Guard against request smuggling, which gives a caller the answer to another's request.

    If a load balancer and this server read different ends of a request, the bytes between are
    served as another request. Each ambiguous request is rejected and its connection closed.
    """
    served = []

    async def handler(request: HttpRequest) -> HttpResponse:
        served.append(request)
        return HttpResponse(status=200)

    async with await start(handler) as server:
        reply = await exchange(server.port, data + GET)
        assert status_of(reply) == status
        assert reply.count(b"HTTP/1.1") == 1
        assert served == []
        error = json.loads(reply.split(b"\r\n\r\n", 1)[1])["error"]
        assert error["run"] == "not_run"


async def test_pipelined_requests_are_answered_in_order():
    chunked = (
        b"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" b"2\r\nhi\r\n0\r\n\r\n"
    )
    last = b"GET /d?x=1%20y HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    async with await start() as server:
        reply = await exchange(server.port, GET + chunked + b"\r\n" + GET + last)
    order = [reply.index(text) for text in (b"GET /a", b"POST /c [] hi", b"GET /d [('x', '1 y')]")]
    assert order == sorted(order)
    assert reply.count(b"HTTP/1.1 200") == 4


async def test_head_after_a_chunked_body_is_validated_too():
    """Guard against a malformed request that is not validated because it follows a chunked body.

    The first request is valid, so that the connection stays open for the second one.
    """
    chunked = b"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    hidden = b"GET /x HTTP/1.1\r\nHost: a\r\nX: y\r\n folded\r\n\r\n"
    async with await start() as server:
        reply = await exchange(server.port, chunked + hidden)
    assert reply.count(b"HTTP/1.1 200") == 1
    assert reply.count(b"HTTP/1.1 400") == 1


async def test_request_in_any_two_pieces_is_read_the_same():
    data = (
        b"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nhi\r\n0\r\n\r\n"
        b"POST /d?q=1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nho"
    )
    async with await start() as server:
        whole = await exchange(server.port, data)
        for cut in range(1, len(data)):
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(data[:cut])
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            writer.write(data[cut:])
            assert await reader.read() == whole, cut
            writer.close()


async def test_head_larger_than_the_limit_is_431():
    async with await start() as server:
        reply = await exchange(server.port, b"GET / HTTP/1.1\r\nX: " + b"a" * 5000)
    assert status_of(reply) == 431


@pytest.mark.parametrize(
    "sent", [b"GET / HT", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na"]
)
async def test_slow_sender_is_408(sent):
    """Guard against callers with incomplete requests that occupy all connections."""
    async with await start() as server:
        reply = await exchange(server.port, sent)
    assert status_of(reply) == 408
    assert b"slow_sender" in reply


async def test_connection_over_the_limit_is_refused():
    async with await start() as server:
        held = [await asyncio.open_connection("127.0.0.1", server.port) for _ in range(4)]
        reply = await exchange(server.port, b"")
        assert status_of(reply) == 503
        assert b"overloaded" in reply
        for _, writer in held:
            writer.close()


async def test_connections_beyond_the_refusal_limit_are_dropped(until):
    """Guard against exhausting the memory with answers to thousands of excess connections."""
    async with await start(limits=HttpLimits(connections=0)) as server:
        opened = [await asyncio.open_connection("127.0.0.1", server.port) for _ in range(110)]
        await until(lambda: server.connections == 100)
        replies = [await reader.read() for reader, _ in opened]
        assert sum(b"overloaded" in reply for reply in replies) == 100
        for _, writer in opened:
            writer.close()


async def test_peer_that_does_not_read_is_disconnected(until):
    """Guard against a caller that never reads a large answer and occupies memory indefinitely."""

    async def handler(request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200, body=b"x" * 20_000_000)

    async with await start(handler) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port, limit=1)
        writer.write(GET)
        await until(lambda: server.connections == 1)
        await until(lambda: server.connections == 0)
        del reader
        writer.close()


async def test_request_behind_a_last_response_does_not_destroy_it():
    """Guard against a reset by the close after the last response.

    If the caller's next request is in transit when a draining server closes, the kernel sends a
    reset, which discards the part of the response that the caller has not read.
    """

    async def handler(request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200, body=b"x" * 1_000_000, close=True)

    async with await start(handler) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(GET)
        first = await reader.readexactly(10_000)
        writer.write(GET)
        await writer.drain()
        rest = await reader.read()
        assert (first + rest).count(b"x") == 1_000_000
        writer.close()


async def test_close_of_an_idle_connection_is_visible_to_the_peer_at_once():
    """Guard against a reset of a request that a peer sends in the loop iteration of the close."""
    async with await start() as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(GET)
        assert status_of(await reader.readuntil(b"\r\n")) == 200
        (session,) = server._sessions
        peer = writer.get_extra_info("socket")
        assert not peer_has_closed(peer)
        session.check_time(asyncio.get_running_loop().time() + 60.0, 0.25)
        assert peer_has_closed(peer)
        # A request that crosses the close is read and discarded, without a reset.
        writer.write(GET)
        await reader.read()
        writer.close()


async def test_idle_connection_is_closed():
    limits = HttpLimits(idle_timeout=0.2)
    async with await start(limits=limits) as server:
        assert await exchange(server.port, b"") == b""


async def test_disconnect_of_the_caller_cancels_the_handler():
    """Guard against abandoned requests that occupy slots of backend servers.

    The server detects the end of input while the handler runs and cancels it.
    """
    started, cancelled = asyncio.Event(), asyncio.Event()

    async def handler(request: HttpRequest) -> HttpResponse:
        started.set()
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            cancelled.set()
            raise
        return HttpResponse(status=200)

    async with await start(handler) as server:
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(GET)
        await started.wait()
        assert server.in_flight == 1
        writer.transport.abort()
        await asyncio.wait_for(cancelled.wait(), 5)


async def test_refusals_and_exceptions_become_error_responses():
    faults = []

    async def handler(request: HttpRequest) -> HttpResponse:
        if request.path == "/refused":
            raise refuse(ErrorKind.OVERLOADED, "busy", retry_after_ms=1200)
        if request.path == "/header":
            return HttpResponse(status=200, headers={"x": "a\r\nb: c"})
        if request.path == "/cancelled":
            raise asyncio.CancelledError
        raise ValueError("broken")

    async with (
        await start(handler, on_fault=faults.append) as server,
        HttpClient("127.0.0.1", server.port) as client,
    ):
        refused = await client.get("/refused")
        assert (refused.status, refused.headers["retry-after"]) == (503, "2")
        assert json.loads(refused.body)["error"] == {
            "kind": "overloaded",
            "run": "not_run",
            "text": "the queue is full",
            "detail": "busy",
            "retry_after_ms": 1200,
        }
        internal = await client.get("/broken")
        assert (internal.status, "retry-after" in internal.headers) == (500, False)
        assert [type(fault) for fault in faults] == [ValueError]
        assert (await client.get("/header")).status == 500
        assert (await client.get("/cancelled")).status == 500
        assert len(faults) == 3


async def test_head_and_bodiless_responses_keep_the_connection():
    async def handler(request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=204 if request.path == "/none" else 200, body=b"hello")

    async with await start(handler) as server:
        data = b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\nGET /none HTTP/1.1\r\nHost: a\r\n\r\n"
        reply = await exchange(
            server.port, data + GET.replace(b"Host", b"Connection: close\r\nHost")
        )
    assert reply.count(b"HTTP/1.1 ") == 3
    assert reply.count(b"content-length: 5") == 2
    assert reply.count(b"hello") == 1


async def test_drain_aborts_no_request(until):
    """Guard against requests reset by a VM that shuts down while callers keep sending.

    Order: requests in flight, start of the drain, more requests on open and new connections, close.
    Each request gets its answer, and each answer has `Connection: close`.
    """
    release = asyncio.Event()

    async def handler(request: HttpRequest) -> HttpResponse:
        if request.path == "/slow":
            await release.wait()
        return json_response(200, b"{}")

    server = await start(handler)
    async with HttpClient("127.0.0.1", server.port, limit=4) as client:
        await client.get("/open")
        slow = [asyncio.create_task(client.get("/slow")) for _ in range(2)]
        await until(lambda: server.in_flight == 2)
        server.begin_drain()
        late = await client.get("/late")
        closing = asyncio.create_task(server.close(grace=5))
        await asyncio.sleep(0)
        release.set()
        replies = [late, *await asyncio.gather(*slow)]
        await closing
    assert [reply.status for reply in replies] == [200, 200, 200]
    assert all(reply.headers["connection"] == "close" for reply in replies)
    assert server.connections == 0


async def test_request_cancelled_at_the_end_of_the_grace_period_may_have_run(until):
    """Guard against a status that promises "not run" for a request that a replica works on."""

    async def handler(request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(60)
        return HttpResponse(status=200)

    server = await start(handler)
    pending = asyncio.create_task(exchange(server.port, GET))
    await until(lambda: server.in_flight == 1)
    await server.close(grace=0.05)
    reply = await pending
    assert status_of(reply) == 502
    assert b'"run":"may_have_run"' in reply


async def test_cancelled_handler_states_its_response(until):
    async def handler(request: HttpRequest) -> HttpResponse:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError as cancellation:
            raise RequestCancelledError(HttpResponse(status=503)) from cancellation
        return HttpResponse(status=200)

    server = await start(handler)
    pending = asyncio.create_task(exchange(server.port, GET))
    await until(lambda: server.in_flight == 1)
    await server.close()
    assert status_of(await pending) == 503


async def test_request_half_read_at_the_end_of_the_grace_period_has_not_run(until):
    server = await start(limits=HttpLimits())
    pending = asyncio.create_task(exchange(server.port, GET[:-2]))
    await until(lambda: server.connections == 1)
    await server.close(grace=0.05)
    reply = await pending
    assert status_of(reply) == 503
    assert b'"run":"not_run"' in reply


async def test_expect_continue_is_honoured():
    async with await start() as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        head = b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n"
        writer.write(head + b"Connection: close\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 100")
        writer.write(b"hi")
        assert (await reader.read()).endswith(b"hi")
        writer.close()
