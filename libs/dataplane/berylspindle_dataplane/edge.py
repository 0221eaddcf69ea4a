"""HTTP endpoint for callers: decodes requests, calls the entry or executor, encodes responses.

Flow: `CallerEdge.handle` resolves the route, validates and decodes headers and body, passes a typed
request to the entry or the executor and encodes the result. Every refusal is mapped through the
same table of error kinds. When the caller disconnects, the HTTP server cancels the handler, which
cancels the work down to the backend servers.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import attrs

from berylspindle_dataplane.page_token import MAX_DEPTH, decode_page
from berylspindle_model import caller_protocol as protocol
from berylspindle_model import codec
from berylspindle_model.errors import ErrorKind, Refusal, RefusalError, refuse
from berylspindle_model.messages import (
    ExecuteAnswer,
    ExecuteRequest,
    SearchAnswer,
    SearchRequest,
)
from berylspindle_wire.http import HttpRequest, HttpResponse, json_response
from berylspindle_wire.http_errors import refusal_response

T = TypeVar("T")

MAX_LIMIT: Final = 100
MAX_QUERY_CHARS: Final = 2048
MAX_NAME_CHARS: Final = 128
# No interactive search takes a minute; a longer deadline indicates that the caller confused the
# units.
MAX_DEADLINE_MS: Final = 60_000

SearchHandler = Callable[[SearchRequest], Awaitable[SearchAnswer | Refusal]]
ExecuteHandler = Callable[[ExecuteRequest], Awaitable[ExecuteAnswer | Refusal]]
OutcomeHandler = Callable[[str, str, str], Awaitable[ExecuteAnswer | Refusal]]


@attrs.frozen(kw_only=True)
class EdgeHandlers:
    """Callbacks of the edge.

    `readiness_refusal` returns why the load balancer should not send requests here;
    `request_refusal` returns the refusal of requests that arrive nevertheless. Both return None in
    normal operation.
    """

    search: SearchHandler
    execute: ExecuteHandler
    outcome: OutcomeHandler
    readiness_refusal: Callable[[], Refusal | None]
    request_refusal: Callable[[], Refusal | None]
    new_id: Callable[[], str]


class CallerEdge:
    """Handle HTTP requests of callers."""

    def __init__(self, handlers: EdgeHandlers) -> None:
        self._handlers: Final = handlers

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request; every RefusalError becomes a response of the error table."""
        request_id = self._handlers.new_id()
        try:
            named = _checked_header(request.headers.get(protocol.REQUEST_ID_HEADER), "request id")
            request_id = named or request_id
            return await self._route(request, request_id)
        except RefusalError as error:
            return refusal_response(error.refusal, request_id)

    async def _route(self, request: HttpRequest, request_id: str) -> HttpResponse:
        if request.path == protocol.READY_PATH:
            return self._ready(request_id)
        if request.path == protocol.LIVE_PATH:
            return json_response(200, b'{"live":true}')
        route = protocol.parse_path(request.path)
        if route is None:
            raise refuse(ErrorKind.NOT_FOUND, request.path[:MAX_NAME_CHARS])
        if request.method != route.method:
            raise refuse(ErrorKind.METHOD_NOT_ALLOWED, f"{request.path} requires {route.method}")
        if route.name is not protocol.RouteName.OUTCOME:
            refusal = self._handlers.request_refusal()
            if refusal is not None:
                return refusal_response(refusal, request_id)
        outcome: SearchAnswer | ExecuteAnswer | Refusal
        if route.name is protocol.RouteName.SEARCH:
            outcome = await self._search(request, request_id, route.service)
        elif route.name is protocol.RouteName.EXECUTE:
            outcome = await self._execute(request, request_id, route.service)
        else:
            outcome = await self._handlers.outcome(request_id, route.service, route.key)
        if isinstance(outcome, Refusal):
            return refusal_response(outcome, request_id)
        return json_response(200, codec.to_json(outcome))

    def _ready(self, request_id: str) -> HttpResponse:
        refusal = self._handlers.readiness_refusal()
        if refusal is not None:
            return refusal_response(refusal, request_id)
        return json_response(200, b'{"ready":true}')

    async def _search(
        self, request: HttpRequest, request_id: str, service: str
    ) -> SearchAnswer | Refusal:
        body = _decode(request.body, protocol.SearchBody)
        if len(body.query) > MAX_QUERY_CHARS:
            raise refuse(ErrorKind.BAD_REQUEST, f"query exceeds {MAX_QUERY_CHARS} characters")
        if not 1 <= body.limit <= MAX_LIMIT:
            raise refuse(ErrorKind.BAD_REQUEST, f"limit must be between 1 and {MAX_LIMIT}")
        page = decode_page(body.page, service=service, query=body.query) if body.page else None
        offset = page.offset if page else 0
        if offset + body.limit > MAX_DEPTH:
            raise refuse(ErrorKind.BAD_REQUEST, f"offset + limit exceeds {MAX_DEPTH} hits")
        return await self._handlers.search(
            SearchRequest(
                request_id=request_id,
                service=service,
                caller=_caller(request),
                query=body.query,
                limit=body.limit,
                offset=offset,
                pin=page.snapshot if page else None,
                deadline_ms=_deadline_ms(request),
            )
        )

    async def _execute(
        self, request: HttpRequest, request_id: str, service: str
    ) -> ExecuteAnswer | Refusal:
        key = _checked_header(
            request.headers.get(protocol.IDEMPOTENCY_KEY_HEADER), "idempotency key"
        )
        if not key:
            raise refuse(ErrorKind.BAD_REQUEST, "the idempotency-key header is missing")
        body = _decode(request.body, protocol.ExecuteBody)
        return await self._handlers.execute(
            ExecuteRequest(
                request_id=request_id,
                service=service,
                caller=_caller(request),
                key=key,
                shard=body.shard,
                payload=body.payload,
                deadline_ms=_deadline_ms(request),
            )
        )


def _decode(data: bytes, kind: type[T]) -> T:
    try:
        return codec.from_json(data, kind)
    except codec.MalformedError as error:
        raise refuse(ErrorKind.BAD_REQUEST, str(error)) from None


def _checked_header(value: str | None, what: str) -> str:
    if value is None:
        return ""
    if len(value) > MAX_NAME_CHARS or not value.isprintable():
        raise refuse(ErrorKind.BAD_REQUEST, f"the {what} is too long or not printable")
    return value


def _caller(request: HttpRequest) -> str:
    return _checked_header(request.headers.get(protocol.CALLER_HEADER), "caller") or "anonymous"


def _deadline_ms(request: HttpRequest) -> int | None:
    text = request.headers.get(protocol.DEADLINE_HEADER)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 6:
        raise refuse(ErrorKind.BAD_REQUEST, "the deadline is not a number of milliseconds")
    deadline = int(text)
    if not 1 <= deadline <= MAX_DEADLINE_MS:
        raise refuse(
            ErrorKind.BAD_REQUEST, f"the deadline must be between 1 and {MAX_DEADLINE_MS} ms"
        )
    return deadline
