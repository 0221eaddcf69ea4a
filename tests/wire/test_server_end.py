"""Tests of closing connections whose request is in the kernel, unread or not yet accepted."""

from __future__ import annotations

import asyncio
import socket

from berylspindle_wire.http import HttpLimits, HttpRequest, HttpResponse
from berylspindle_wire.http_server import HttpServer, serve

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"


async def ok(request: HttpRequest) -> HttpResponse:
    return HttpResponse(status=200, body=b"ok")


async def start() -> HttpServer:
    return await serve(ok, host="127.0.0.1", port=0, limits=HttpLimits(connections=1000))


async def test_an_idle_connection_with_an_unread_request_is_not_closed() -> None:
    """Guard against a VM replacement that resets a request that has already been written.

    While the loop is busy, a request arrives in the kernel on an idle connection. Closing that
    connection would drop the request and send a reset.
    """
    loop = asyncio.get_running_loop()
    async with await start() as server:
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            caller.setblocking(False)
            await loop.sock_sendall(caller, GET)
            assert (await loop.sock_recv(caller, 1000)).startswith(b"HTTP/1.1 200")
            # From here on the loop reads nothing until all sessions have been checked.
            caller.send(GET)
            for session in server._sessions:
                session.check_time(loop.time() + 3600, 60.0)
            answer = await asyncio.wait_for(loop.sock_recv(caller, 1000), 5)
    assert answer.startswith(b"HTTP/1.1 200")


async def test_a_connection_made_just_before_the_port_closes_is_served() -> None:
    """Guard against a VM replacement that resets connections in the queue of its port.

    The kernel has established the connection and the VM has not accepted it; closing the port
    resets such connections. It is made in the same loop iteration that closes the port.
    """
    loop = asyncio.get_running_loop()
    server = await start()
    made: list[socket.socket] = []

    def connect() -> None:
        try:
            made.append(socket.create_connection(("127.0.0.1", server.port)))
        except ConnectionRefusedError:
            # The port is closed: the caller knows that its request was not accepted.
            return
        made[-1].sendall(GET)

    loop.call_soon(connect)
    closing = loop.create_task(server.close(5.0))
    loop.call_soon(connect)
    await closing
    assert made
    for caller in made:
        with caller:
            caller.settimeout(5)
            answer = await asyncio.to_thread(caller.recv, 1000)
        assert answer.startswith(b"HTTP/1.1 200")
