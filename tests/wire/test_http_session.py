"""Tests of one connection of the HTTP server on a mock transport."""

from __future__ import annotations

import asyncio
import socket
from unittest.mock import Mock

from berylspindle_wire.http import HttpLimits, HttpRequest, HttpResponse
from berylspindle_wire.http_session import Admission, HttpSession, SessionRules

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"


async def echo(request: HttpRequest) -> HttpResponse:
    return HttpResponse(status=200, body=f"{request.method} {request.path}".encode())


def make_session(handler=echo) -> tuple[HttpSession, Mock]:
    """Return a session on a transport that only records its calls."""
    rules = SessionRules(handler=handler, limits=HttpLimits(), on_fault=lambda _: None)
    session = HttpSession(rules, lambda _: Admission.SERVE, lambda _: None)
    transport = Mock(spec=asyncio.Transport)
    transport.get_write_buffer_size.return_value = 0
    # A session checks its socket for unread input; this socket never has any.
    transport.pair = socket.socketpair()
    transport.get_extra_info.return_value = transport.pair[0]
    session.connection_made(transport)
    return session, transport


async def test_request_that_arrives_just_before_the_idle_timeout_is_served():
    """Guard against a drain that closes a connection on which a request has arrived.

    The sweep of idle connections runs after the bytes were received and before the connection's
    task has processed them.
    """
    session, transport = make_session()
    await asyncio.sleep(0)
    session.data_received(GET)
    session.check_time(asyncio.get_running_loop().time() + 100, 0.25)
    assert not transport.write_eof.called
    assert not transport.close.called
    await asyncio.sleep(0.01)
    assert b"GET /a" in transport.write.call_args.args[0]
    session.check_time(asyncio.get_running_loop().time() + 100, 0.25)
    assert transport.write_eof.called


async def test_disconnect_cancels_the_handler_once():
    """Guard against a second cancellation, which interrupts the cancelling of work at other VMs.

    The end of input is followed by the loss of the connection; only the first may cancel.
    """
    cleaned_up = []

    async def handler(request: HttpRequest) -> HttpResponse:
        try:
            await asyncio.sleep(60)
        finally:
            await asyncio.sleep(0.001)
            cleaned_up.append(request.path)
        return HttpResponse(status=200)

    session, _ = make_session(handler)
    session.data_received(GET)
    await asyncio.sleep(0.01)
    session.eof_received()
    await asyncio.sleep(0)
    session.connection_lost(None)
    await asyncio.sleep(0.02)
    assert cleaned_up == ["/a"]


async def test_request_of_a_disconnected_caller_is_not_handled():
    """Guard against handling a request whose caller disconnects in the same loop iteration."""
    served = []

    async def handler(request: HttpRequest) -> HttpResponse:
        served.append(request)
        return HttpResponse(status=200)

    session, _ = make_session(handler)
    session.data_received(GET)
    session.eof_received()
    await asyncio.sleep(0.01)
    assert served == []
