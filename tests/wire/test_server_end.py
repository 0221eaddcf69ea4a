"""Connections that end while a request for them lies in the kernel, unread or not yet accepted."""

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
    """A caller's search ends with a reset while a VM is replaced.

    The VM closes connections that have been idle. Its loop is busy, and a request that a caller has
    written meanwhile lies in the kernel: a close would drop it and send a reset.
    """
    loop = asyncio.get_running_loop()
    async with await start() as server:
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            caller.setblocking(False)
            await loop.sock_sendall(caller, GET)
            assert (await loop.sock_recv(caller, 1000)).startswith(b"HTTP/1.1 200")
            # From here on the loop reads nothing until the sessions have been looked over.
            caller.send(GET)
            for session in server._sessions:
                session.check_time(loop.time() + 3600, 60.0)
            answer = await asyncio.wait_for(loop.sock_recv(caller, 1000), 5)
    assert answer.startswith(b"HTTP/1.1 200")


async def test_a_connection_made_just_before_the_port_closes_is_served() -> None:
    """A caller's search ends with a reset while a VM is replaced.

    The kernel has taken the caller's connection, the VM has not yet; closing the port resets what
    waits there. The connection is made in the same turn of the loop that closes the port.
    """
    loop = asyncio.get_running_loop()
    server = await start()
    made: list[socket.socket] = []

    def connect() -> None:
        try:
            made.append(socket.create_connection(("127.0.0.1", server.port)))
        except ConnectionRefusedError:
            # Closed already, which tells the caller that nothing was taken.
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
