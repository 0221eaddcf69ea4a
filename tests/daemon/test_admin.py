"""The operators' edge: routes, token, readiness, and contents of responses."""

from __future__ import annotations

import attrs
import pytest

from berylspindle_daemon.admin import ROUTES, AdminBackend, AdminEdge, AdminRoute
from berylspindle_model import codec
from berylspindle_model import operator_protocol as protocol
from berylspindle_model.caller_protocol import ErrorBody
from berylspindle_model.errors import ErrorKind, Refusal, refuse
from berylspindle_model.events import EventFilter, EventPage
from berylspindle_model.intents import (
    Confirmation,
    ConfirmRequest,
    Intent,
    IntentKind,
    Plan,
)
from berylspindle_model.operator_protocol import StatusReport
from berylspindle_model.stamps import Stamp
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.secret import Secret
from berylspindle_wire.http import HttpRequest

TOKEN = "s3cr3t-s3cr3t-s3cr3t"
INTENT = Intent(kind=IntentKind.TAKE_OUT, subject="d1")
PLAN = Plan(id="p1", base=3, intent=INTENT)
STALE = codec.to_json(ConfirmRequest(plan=Plan(id="p0", base=2, intent=INTENT)))
HEADERS = {"authorization": f"Bearer {TOKEN}", "x-operator": "ana"}


@attrs.define
class FakeBackend(AdminBackend):
    """Answers all requests and records their arguments."""

    refusal: Refusal | None = None
    received: list[object] = attrs.field(factory=list)

    def not_ready(self) -> Refusal | None:
        return self.refusal

    async def plan(self, intent: Intent) -> Plan:
        self.received.append(intent)
        return PLAN

    async def confirm(self, request: ConfirmRequest, operator: str) -> Confirmation:
        if request.plan.base != 3:
            raise refuse(ErrorKind.STALE_PLAN, "revision 4, not 3")
        self.received.append((request, operator))
        return Confirmation(id=request.plan.id, revision=4)

    async def status(self) -> StatusReport:
        return StatusReport(vm="vm1", data_centre="d1", revision=3, ready=True)

    async def configuration(self) -> bytes:
        return b"{}"

    async def timeline(self, requested: EventFilter) -> EventPage:
        self.received.append(requested)
        return EventPage(vm="vm1")

    async def metrics(self) -> bytes:
        return b"m 1\n"


def ask(method: str, path: str, **fields: object) -> HttpRequest:
    known = {"headers": HEADERS} | fields
    return HttpRequest(method=method, path=path, **known)  # type: ignore[arg-type]


@pytest.mark.parametrize("route", ROUTES, ids=lambda route: f"{route.method} {route.path}")
async def test_only_health_routes_need_no_token(route: AdminRoute) -> None:
    """Guard against an unauthorised client that takes a data centre out of service.

    All routes except liveness and readiness must refuse a missing, a malformed and a truncated
    token, and the response must not contain the expected one.
    """
    edge = AdminEdge(FakeBackend(), token=Secret(TOKEN), metrics=Metrics())
    method, path = route.method, route.path
    for headers in ({}, {"authorization": TOKEN}, {"authorization": f"Bearer {TOKEN[:-1]}"}):
        answer = await edge.handle(ask(method, path, headers=headers))
        if path in (protocol.LIVE_PATH, protocol.READY_PATH):
            assert answer.status == 200
            continue
        body = codec.from_json(answer.body, ErrorBody)
        assert (answer.status, body.error.kind) == (401, ErrorKind.UNAUTHORISED)
        assert TOKEN.encode() not in answer.body
    assert (await edge.handle(ask(method, path, body=b"{}"))).status != 401


async def test_a_plan_is_made_and_confirmed_under_the_operators_name() -> None:
    backend = FakeBackend()
    edge = AdminEdge(backend, token=Secret(TOKEN))
    answer = await edge.handle(ask("POST", protocol.PLAN_PATH, body=codec.to_json(INTENT)))
    assert codec.from_json(answer.body, Plan) == PLAN
    request = ConfirmRequest(plan=PLAN, override=True)
    body = codec.to_json(request)
    answer = await edge.handle(ask("POST", protocol.CONFIRM_PATH, body=body))
    assert codec.from_json(answer.body, Confirmation) == Confirmation(id="p1", revision=4)
    assert backend.received == [INTENT, (request, "ana")]
    unnamed = HEADERS | {"x-operator": "\x07"}
    bad = await edge.handle(ask("POST", protocol.CONFIRM_PATH, headers=unnamed, body=body))
    assert bad.status == 400


async def test_a_configuration_yields_an_intent_or_all_its_faults() -> None:
    backend = FakeBackend()
    edge = AdminEdge(backend, token=None)
    text = b'{"revision": 3, "deployment": "d"}'
    assert (await edge.handle(ask("PUT", protocol.CONFIGURATION_PATH, body=text))).status == 200
    (intent,) = backend.received
    assert isinstance(intent, Intent)
    assert (intent.kind, intent.subject) == (IntentKind.REPLACE, "d")
    faulty = b'{"revision": 0, "deployment": ""}'
    answer = await edge.handle(ask("PUT", protocol.CONFIGURATION_PATH, body=faulty))
    assert answer.status == 422
    detail = codec.from_json(answer.body, ErrorBody).error.detail
    assert "$.revision" in detail
    assert "$.deployment" in detail


async def test_refusals_have_the_status_of_the_error_table_and_are_counted() -> None:
    metrics = Metrics()
    edge = AdminEdge(FakeBackend(), token=None, metrics=metrics)
    cases = [
        ("POST", protocol.CONFIRM_PATH, 409, ErrorKind.STALE_PLAN),
        ("POST", protocol.PLAN_PATH, 400, ErrorKind.BAD_REQUEST),
        ("GET", "/admin/unknown", 404, ErrorKind.NOT_FOUND),
        ("DELETE", protocol.CONFIGURATION_PATH, 405, ErrorKind.METHOD_NOT_ALLOWED),
    ]
    for method, path, status, kind in cases:
        body = STALE if kind is ErrorKind.STALE_PLAN else b"{}"
        answer = await edge.handle(ask(method, path, body=body))
        assert answer.status == status
        assert codec.from_json(answer.body, ErrorBody).error.kind is kind
        assert metrics.value(names.EDGE_REFUSALS, edge="operators", kind=kind.value) == 1


async def test_readiness_differs_from_liveness() -> None:
    edge = AdminEdge(FakeBackend(Refusal(ErrorKind.SHUTTING_DOWN)), token=None)
    assert (await edge.handle(ask("GET", protocol.READY_PATH))).status == 503
    assert (await edge.handle(ask("GET", protocol.LIVE_PATH))).status == 200


async def test_the_time_line_is_filtered_or_the_filter_is_refused() -> None:
    backend = FakeBackend()
    edge = AdminEdge(backend, token=None)
    requested = EventFilter(since=Stamp(7, 1), until=Stamp(9), service="a", request_id="r")
    query = protocol.timeline_query(requested)
    assert (await edge.handle(ask("GET", protocol.TIMELINE_PATH, query=query))).status == 200
    assert backend.received == [requested]
    for bad in ({"since": "-1"}, {"until": "1" * 30}, {"what": "x"}):
        assert (await edge.handle(ask("GET", protocol.TIMELINE_PATH, query=bad))).status == 400


async def test_a_refusal_has_the_request_id_in_its_body() -> None:
    """Guard against a refusal whose body lacks the request ID.

    Callers that log only the body could not find the refusal in the time line.
    """
    edge = AdminEdge(FakeBackend(), token=Secret(TOKEN), metrics=Metrics())
    answer = await edge.handle(ask("GET", protocol.STATUS_PATH, headers={"x-request-id": "r-7"}))
    assert codec.from_json(answer.body, ErrorBody).request_id == "r-7"
    assert answer.headers["x-request-id"] == "r-7"
