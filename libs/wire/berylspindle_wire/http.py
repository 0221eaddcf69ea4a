"""Typed HTTP/1.1 messages shared by server and client.

Terms:
  request    method, target, headers and body, fully read and validated before it is handled
  response   status, headers and body, complete
  handler    a coroutine from request to response; it is cancelled when its peer disconnects, and at
             the end of the server's grace period

Flow: `http_server.serve` reads requests from sockets and calls a handler; `http_client` sends
requests and returns responses. Header names are lower case throughout.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

JSON_TYPE: Final = "application/json"


@attrs.frozen(kw_only=True)
class HttpLimits:
    """Limits on the resources that peers can occupy in this process.

    Attributes:
        header_bytes: maximum size of request line and headers together.
        body_bytes: maximum size of a body.
        read_timeout: seconds for receiving one request after its first byte.
        idle_timeout: seconds for which a connection may stay open between requests.
        connections: open connections of one server; one more gets a 503 and is closed.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    read_timeout: float = 5.0
    idle_timeout: float = 60.0
    connections: int = 1000


@attrs.frozen(kw_only=True)
class HttpRequest:
    """One complete request. `path` has no query; `query` holds the decoded parameters.

    A server that forwards requests reads them undecoded: `target` is the request target as
    received, `raw_headers` are all headers in order, `path` and `headers` stay empty.
    """

    method: str
    path: str
    headers: dict[str, str] = attrs.field(factory=dict)
    query: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    target: str = ""
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()
    is_first: bool = True
    """Whether this is the first request of its connection."""


@attrs.frozen(kw_only=True)
class HttpResponse:
    """One response. `close` makes the server close the connection after it.

    `raw_headers` are written unchanged, before `headers`.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = attrs.field(factory=dict)
    close: bool = False
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()


class RequestCancelledError(asyncio.CancelledError):
    """Raised by a cancelled handler in place of CancelledError, with the response to send.

    The response is sent if the peer is still connected. Only the handler knows whether the request
    has run; without a response the server has to assume that it may have.
    """

    def __init__(self, response: HttpResponse) -> None:
        super().__init__()
        self.response: Final = response


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def json_response(status: int, body: bytes, *, close: bool = False) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status=status, body=body, headers={"content-type": JSON_TYPE}, close=close)
