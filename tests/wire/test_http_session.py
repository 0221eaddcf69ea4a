"""One connection of the HTTP server on a transport that only notes its calls."""

from __future__ import annotations

import asyncio
import socket
from unittest.mock import Mock

from berylspindle_wire.http import HttpLimits, HttpRequest, HttpResponse
from berylspindle_wire.http_session import Admission, HttpSession, SessionRules

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"


async def echo(request: HttpRequest) -> HttpResponse:
    return HttpResponse(status=200, body=f"{request.method} {request.path}".encode())


def bare_session(handler=echo) -> tuple[HttpSession, Mock]:
    """Return a session on a transport that only notes its calls."""
    rules = SessionRules(handler=handler, limits=HttpLimits(), on_fault=lambda _: None)
    session = HttpSession(rules, lambda _: Admission.SERVE, lambda _: None)
    transport = Mock(spec=asyncio.Transport)
    transport.get_write_buffer_size.return_value = 0
    # A session asks its socket whether the kernel holds unread bytes; this one never does.
    transport.pair = socket.socketpair()
    transport.get_extra_info.return_value = transport.pair[0]
    session.connection_made(transport)
    return session, transport


async def test_request_that_came_just_before_the_idle_bound_is_served():
    """A VM drains, and now and then a caller's request is cut off though it had arrived.

    The sweep that closes idle connections runs after the bytes have come and before the
    connection's task has seen them.
    """
    session, transport = bare_session()
    await asyncio.sleep(0)
    session.data_received(GET)
    session.check_time(asyncio.get_running_loop().time() + 100, 0.25)
    assert not transport.write_eof.called
    assert not transport.close.called
    await asyncio.sleep(0.01)
    assert b"GET /a" in transport.write.call_args.args[0]
    session.check_time(asyncio.get_running_loop().time() + 100, 0.25)
    assert transport.write_eof.called


async def test_caller_gone_cancels_the_handler_once():
    """A caller hangs up, and the work that its search left at other VMs is never cancelled.

    The end of input is followed by the loss of the connection; if each cancels the handler, the
    second ends the cleaning up after the first.
    """
    cleaned = []

    async def handler(request: HttpRequest) -> HttpResponse:
        try:
            await asyncio.sleep(60)
        finally:
            await asyncio.sleep(0.001)
            cleaned.append(request.path)
        return HttpResponse(status=200)

    session, _ = bare_session(handler)
    session.data_received(GET)
    await asyncio.sleep(0.01)
    session.eof_received()
    await asyncio.sleep(0)
    session.connection_lost(None)
    await asyncio.sleep(0.02)
    assert cleaned == ["/a"]


async def test_request_of_a_caller_gone_already_reaches_no_handler():
    """A caller hangs up in the same turn of the loop in which its request comes."""
    served = []

    async def handler(request: HttpRequest) -> HttpResponse:
        served.append(request)
        return HttpResponse(status=200)

    session, _ = bare_session(handler)
    session.data_received(GET)
    session.eof_received()
    await asyncio.sleep(0.01)
    assert served == []
