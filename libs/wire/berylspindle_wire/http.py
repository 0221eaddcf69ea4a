"""The typed HTTP/1.1 messages that both sides of every edge use.

Terms:
  request    method, target, headers and body, read whole and checked before anything sees it
  response   status, headers and body, whole
  handler    a coroutine from request to response; it is cancelled when its peer goes away

Flow: `http_server.serve` reads requests off sockets and calls a handler; `http_client` sends
requests and returns responses. Header names are lower case throughout.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import attrs

JSON_TYPE: Final = "application/json"


@attrs.frozen(kw_only=True)
class HttpLimits:
    """Bounds on what one peer can make this process hold.

    Attributes:
        header_bytes: longest request line and headers together.
        body_bytes: longest body.
        read_timeout: seconds a peer may take to send one request once its first byte arrived.
        idle_timeout: seconds a connection may stay open between requests.
        connections: open connections of one server; one more is answered 503 and closed.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    read_timeout: float = 5.0
    idle_timeout: float = 60.0
    connections: int = 1000


@attrs.frozen(kw_only=True)
class HttpRequest:
    """One request, read whole. `path` has no query; `query` holds the decoded parameters.

    Where a server reads requests raw, to pass them on, nothing is decoded: `target` is the request
    target as it came, `raw_headers` are all headers in order, `path` and `headers` stay empty.
    """

    method: str
    path: str
    headers: dict[str, str] = attrs.field(factory=dict)
    query: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    target: str = ""
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()
    is_first: bool = True
    """Whether it is the first request of its connection."""


@attrs.frozen(kw_only=True)
class HttpResponse:
    """One response. `close` asks the server to close the connection after it.

    `raw_headers` are written as they are, before `headers`.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = attrs.field(factory=dict)
    close: bool = False
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def json_response(status: int, body: bytes, *, close: bool = False) -> HttpResponse:
    """Return a response that carries JSON text."""
    return HttpResponse(status=status, body=body, headers={"content-type": JSON_TYPE}, close=close)
