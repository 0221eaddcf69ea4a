"""The callers' client over sockets: it tries another daemon only after "not run"."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs
import pytest

from berylspindle_client.addresses import Address, parse_addresses
from berylspindle_client.callers import CallerClient
from berylspindle_client.outcomes import Refused, Unknown, Unreachable
from berylspindle_model import caller_protocol as protocol
from berylspindle_model import codec
from berylspindle_model.errors import ANSWERS, ErrorKind, Refusal, RunState
from berylspindle_model.messages import Coverage, ExecuteAnswer, SearchAnswer
from berylspindle_model.snapshot import Snapshot
from berylspindle_wire.http import HttpRequest, HttpResponse, json_response
from berylspindle_wire.http_errors import refusal_response
from berylspindle_wire.http_server import serve

Answer = Callable[[HttpRequest], HttpResponse]
ANSWER = SearchAnswer(
    request_id="r1", snapshot=Snapshot(1, 2), coverage=Coverage(asked=2, answered=2), hits=()
)
EXECUTED = ExecuteAnswer(request_id="r2", key="k/1", server="s", result={"held": 1})


@attrs.define
class FakeDaemon:
    """A callers' edge with a given answer that records its requests."""

    address: Address
    requests: list[HttpRequest]


@asynccontextmanager
async def fake_daemon(answer: Answer) -> AsyncIterator[FakeDaemon]:
    requests: list[HttpRequest] = []

    async def handle(request: HttpRequest) -> HttpResponse:
        requests.append(request)
        return answer(request)

    async with await serve(handle, host="127.0.0.1", port=0) as server:
        yield FakeDaemon(Address(host="127.0.0.1", port=server.port), requests)


def refuse_with(kind: ErrorKind) -> Answer:
    return lambda _: refusal_response(Refusal(kind), "r9")


def answer_search(_: HttpRequest) -> HttpResponse:
    return json_response(200, codec.to_json(ANSWER))


async def test_a_search_sends_its_headers_and_returns_a_typed_answer() -> None:
    async with (
        fake_daemon(answer_search) as daemon,
        CallerClient([daemon.address], caller="c7") as client,
    ):
        outcome = await client.search("desk", "junmai", limit=3, request_id="r1", deadline_ms=900)
    assert outcome == ANSWER
    (request,) = daemon.requests
    assert protocol.parse_path(request.path) == protocol.Route(
        name=protocol.RouteName.SEARCH, service="desk"
    )
    assert request.headers[protocol.CALLER_HEADER] == "c7"
    assert request.headers[protocol.REQUEST_ID_HEADER] == "r1"
    assert 0 < int(request.headers[protocol.DEADLINE_HEADER]) <= 900
    assert codec.from_json(request.body, protocol.SearchBody).limit == 3


@pytest.mark.parametrize("kind", list(ErrorKind))
async def test_another_daemon_is_tried_only_after_not_run(kind: ErrorKind) -> None:
    """Guard against an execute that runs twice, or a search that crashes one server after another.

    The first daemon refuses. The client may try the second one only after "not run" with a refusal
    that is specific to the VM or allows an immediate retry.
    """
    async with (
        fake_daemon(refuse_with(kind)) as first,
        fake_daemon(answer_search) as second,
        CallerClient([first.address, second.address]) as client,
    ):
        outcome = await client.search("desk", "junmai")
    if second.requests:
        assert ANSWERS[kind].run is RunState.NOT_RUN
        assert outcome == ANSWER
    else:
        assert isinstance(outcome, Refused)
        assert outcome.kind is kind
        assert outcome.run is ANSWERS[kind].run
    expected = kind in (ErrorKind.NOT_READY, ErrorKind.SHUTTING_DOWN, ErrorKind.DATA_CENTRE_OUT)
    at_once = ANSWERS[kind].retry_after_ms == 0 and ANSWERS[kind].run is RunState.NOT_RUN
    assert bool(second.requests) == (expected or at_once)


async def test_a_lost_answer_is_unknown_and_not_sent_again() -> None:
    """Guard against an execute that runs twice because a second daemon gets it after a lost answer.

    The daemon reads the request and closes the connection. The request may have run; if the claim
    of its key was lost too, the second daemon would run it again.
    """

    async def cut(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"}}")
        writer.close()

    cutting = await asyncio.start_server(cut, "127.0.0.1", 0)
    port = cutting.sockets[0].getsockname()[1]
    async with (
        cutting,
        fake_daemon(answer_search) as second,
        CallerClient([Address(host="127.0.0.1", port=port), second.address]) as client,
    ):
        outcome = await client.execute("desk", "3", "k1", {"hold": {"lot": 1}})
    assert isinstance(outcome, Unknown)
    assert second.requests == []


async def test_an_unreachable_daemon_is_skipped() -> None:
    async with fake_daemon(answer_search) as gone:
        away = gone.address
    async with fake_daemon(answer_search) as second, CallerClient([away, second.address]) as client:
        assert await client.search("desk", "junmai") == ANSWER
    async with CallerClient([away]) as client:
        assert isinstance(await client.search("desk", "junmai"), Unreachable)


async def test_an_outcome_is_requested_by_a_key_with_a_slash() -> None:
    answer = json_response(200, codec.to_json(EXECUTED))
    async with (
        fake_daemon(lambda _: answer) as daemon,
        CallerClient([daemon.address]) as client,
    ):
        assert await client.outcome("desk", "k/1 ü%2F") == EXECUTED
    assert protocol.parse_path(daemon.requests[0].path) == protocol.Route(
        name=protocol.RouteName.OUTCOME, service="desk", key="k/1 ü%2F"
    )


def test_addresses_are_parsed_or_refused() -> None:
    addresses = parse_addresses("127.0.0.1:80, [::1]:81")
    assert list(map(str, addresses)) == ["127.0.0.1:80", "[::1]:81"]
    for bad in ("127.0.0.1", "127.0.0.1:0", "host:80", "127.0.0.1:x"):
        with pytest.raises(ValueError, match=bad.split(":")[0]):
            parse_addresses(bad)


@pytest.mark.parametrize("path", ["/", "/v1/services/", "/v1/services/a", "/v1/services//search"])
def test_other_paths_have_no_route(path: str) -> None:
    assert protocol.parse_path(path) is None
