"""HTTP interface of the daemon for operators.

Terms:
  edge      a listener of the daemon together with its request handler
  backend   the implementation behind the edge (`AdminBackend`): the parts of one daemon, or a fake
            in tests
  token     the operators' secret; compared in constant time

Flow: `AdminEdge.handle` looks up the route in `ROUTES`, checks the token and calls the route's
handler, which decodes the request and calls the backend. Every refusal is encoded by the table of
error kinds. If no token is set, requests are not authenticated; `options.complete_options` allows
that only on loopback or with client certificates.
"""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import attrs

from berylspindle_model import codec
from berylspindle_model import operator_protocol as protocol
from berylspindle_model.caller_protocol import REQUEST_ID_HEADER
from berylspindle_model.configuration_codec import InvalidConfigurationError, parse_configuration
from berylspindle_model.errors import ErrorKind, Refusal, RefusalError, refuse
from berylspindle_model.events import EventFilter, EventPage
from berylspindle_model.intents import (
    Confirmation,
    ConfirmRequest,
    Intent,
    IntentKind,
    Plan,
)
from berylspindle_model.operator_protocol import StatusReport
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import CONTENT_TYPE, Metrics
from berylspindle_telemetry.secret import Secret
from berylspindle_wire.http import HttpRequest, HttpResponse, json_response
from berylspindle_wire.http_errors import refusal_response

T = TypeVar("T")

EDGE: Final = "operators"
MAX_NAME_CHARS: Final = 128


class AdminBackend(abc.ABC):
    """Operations of the daemon that the operators' edge exposes.

    A `RefusalError` raised by a method becomes the response.
    """

    @abc.abstractmethod
    def not_ready(self) -> Refusal | None:
        """Return the reason for which the readiness check fails, or None if it passes."""

    @abc.abstractmethod
    async def plan(self, intent: Intent) -> Plan:
        """Return the plan for an intent without changing anything."""

    @abc.abstractmethod
    async def confirm(self, request: ConfirmRequest, operator: str) -> Confirmation:
        """Apply exactly this plan at most once and return the confirmation."""

    @abc.abstractmethod
    async def status(self) -> StatusReport:
        """Return the status of this VM and its view of the other VMs."""

    @abc.abstractmethod
    async def configuration(self) -> bytes:
        """Return the canonical text of the configuration in force on this VM."""

    @abc.abstractmethod
    async def timeline(self, requested: EventFilter) -> EventPage:
        """Return the events of this VM that match the filter."""

    @abc.abstractmethod
    async def metrics(self) -> bytes:
        """Return all metrics in the text exposition format."""


@attrs.frozen(kw_only=True)
class AdminRoute:
    """One route; `is_public` exempts it from the token, for load balancers and supervisors."""

    method: str
    path: str
    handler: Callable[[AdminBackend, HttpRequest], Awaitable[HttpResponse]]
    is_public: bool = False


class AdminEdge:
    """Handle operators' HTTP requests."""

    def __init__(
        self, backend: AdminBackend, *, token: Secret | None, metrics: Metrics | None = None
    ) -> None:
        self._backend = backend
        self._token = token
        self._metrics = metrics

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request; a refusal becomes the response that the error table gives it."""
        try:
            route = _find_route(request)
            if not route.is_public:
                self._check_token(request)
            return await route.handler(self._backend, request)
        except RefusalError as error:
            if self._metrics is not None:
                kind = error.refusal.kind.value
                self._metrics.count(names.EDGE_REFUSALS, edge=EDGE, kind=kind)
            return refusal_response(error.refusal, request.headers.get(REQUEST_ID_HEADER, ""))

    def _check_token(self, request: HttpRequest) -> None:
        if self._token is None:
            return
        authorization = request.headers.get(protocol.TOKEN_HEADER, "")
        scheme, token = (
            authorization[: len(protocol.TOKEN_SCHEME)],
            authorization[len(protocol.TOKEN_SCHEME) :],
        )
        # RFC 9110: the scheme is case-insensitive, the token is not.
        if scheme.lower() != protocol.TOKEN_SCHEME.lower() or not self._token.matches(token):
            raise refuse(ErrorKind.UNAUTHORISED)


def _find_route(request: HttpRequest) -> AdminRoute:
    path_routes = [route for route in ROUTES if route.path == request.path]
    if not path_routes:
        raise refuse(ErrorKind.NOT_FOUND, request.path[:MAX_NAME_CHARS])
    for route in path_routes:
        if route.method == request.method:
            return route
    methods = ", ".join(route.method for route in path_routes)
    raise refuse(ErrorKind.METHOD_NOT_ALLOWED, f"{request.path} supports only {methods}")


def _decode(data: bytes, kind: type[T]) -> T:
    try:
        return codec.from_json(data, kind)
    except codec.MalformedError as error:
        raise refuse(ErrorKind.BAD_REQUEST, str(error)) from None


def _operator_name(request: HttpRequest) -> str:
    name = request.headers.get(protocol.OPERATOR_HEADER, "")
    if len(name) > MAX_NAME_CHARS or not name.isprintable():
        raise refuse(
            ErrorKind.BAD_REQUEST, "the operator's name is too long or has unprintable characters"
        )
    return name


async def _live(backend: AdminBackend, request: HttpRequest) -> HttpResponse:
    return json_response(200, b'{"live":true}')


async def _ready(backend: AdminBackend, request: HttpRequest) -> HttpResponse:
    refusal = backend.not_ready()
    if refusal is not None:
        raise RefusalError(refusal)
    return json_response(200, b'{"ready":true}')


async def _metrics(backend: AdminBackend, request: HttpRequest) -> HttpResponse:
    body = await backend.metrics()
    return HttpResponse(status=200, body=body, headers={"content-type": CONTENT_TYPE})


async def _plan(backend: AdminBackend, request: HttpRequest) -> HttpResponse:
    intent = _decode(request.body, Intent)
    return json_response(200, codec.to_json(await backend.plan(intent)))


async def _confirm(backend: AdminBackend, request: HttpRequest) -> HttpResponse:
    confirmed = _decode(request.body, ConfirmRequest)
    confirmation = await backend.confirm(confirmed, _operator_name(request))
    return json_response(200, codec.to_json(confirmation))


async def _status(backend: AdminBackend, request: HttpRequest) -> HttpResponse:
    return json_response(200, codec.to_json(await backend.status()))


async def _configuration(backend: AdminBackend, request: HttpRequest) -> HttpResponse:
    return json_response(200, await backend.configuration())


async def _plan_configuration(backend: AdminBackend, request: HttpRequest) -> HttpResponse:
    try:
        requested = parse_configuration(request.body)
    except InvalidConfigurationError as error:
        raise refuse(ErrorKind.INVALID_CONFIGURATION, str(error)) from None
    intent = Intent(kind=IntentKind.REPLACE, subject=requested.deployment, configuration=requested)
    return json_response(200, codec.to_json(await backend.plan(intent)))


async def _timeline(backend: AdminBackend, request: HttpRequest) -> HttpResponse:
    try:
        requested = protocol.parse_timeline_query(request.query)
    except ValueError as error:
        raise refuse(ErrorKind.BAD_REQUEST, str(error)) from None
    return json_response(200, codec.to_json(await backend.timeline(requested)))


def _route(
    method: str,
    path: str,
    handler: Callable[[AdminBackend, HttpRequest], Awaitable[HttpResponse]],
    *,
    is_public: bool = False,
) -> AdminRoute:
    return AdminRoute(method=method, path=path, handler=handler, is_public=is_public)


ROUTES: Final = (
    _route("GET", protocol.LIVE_PATH, _live, is_public=True),
    _route("GET", protocol.READY_PATH, _ready, is_public=True),
    _route("GET", protocol.METRICS_PATH, _metrics),
    _route("POST", protocol.PLAN_PATH, _plan),
    _route("POST", protocol.CONFIRM_PATH, _confirm),
    _route("GET", protocol.STATUS_PATH, _status),
    _route("GET", protocol.CONFIGURATION_PATH, _configuration),
    _route("PUT", protocol.CONFIGURATION_PATH, _plan_configuration),
    _route("GET", protocol.TIMELINE_PATH, _timeline),
)
