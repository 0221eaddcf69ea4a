"""Each option, fault and action of the stand-in backend servers has its documented effect."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar

import attrs
import pytest

from berylspindle_model import codec
from berylspindle_model.backend_protocol import (
    DEADLINE_HEADER,
    EXECUTE_PATH,
    HEALTH_PATH,
    LOAD_PATH,
    SEARCH_PATH,
    BackendError,
    BackendRefusal,
    BackendState,
    ExecuteCall,
    ExecuteReply,
    HealthReport,
    LoadReport,
    SearchCall,
    SearchReply,
)
from berylspindle_model.configuration import Server
from berylspindle_model.snapshot import Snapshot
from berylspindle_standins.backend_faults import (
    BackendAction,
    BackendCounts,
    BackendOptions,
    FaultChange,
)
from berylspindle_standins.backend_standin import BackendStandin, start_backends
from berylspindle_standins.deployments import small
from berylspindle_standins.index import shard_hits
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import HttpResponse
from berylspindle_wire.http_client import FailurePhase, HttpFailure

T = TypeVar("T")

FAST = BackendOptions(mean_ms=1.0, sigma=0.0, restart_ms=50.0)
HELD_MS = 600_000.0
FIRST = Snapshot(1, 1)


@attrs.frozen(kw_only=True)
class FirstServer:
    """The first backend server of a stand-in and a client of it."""

    standin: BackendStandin
    spec: Server
    client: HttpClient

    @property
    def counts(self) -> BackendCounts:
        return self.standin.counts()[self.spec.id]

    def set(self, **faults: object) -> None:
        self.standin.change(FaultChange(set=dict(faults)))

    def act(self, *actions: BackendAction, **fields: Any) -> None:
        self.standin.change(FaultChange(actions=actions, **fields))

    async def search(self, query: str = "q", **fields: Any) -> HttpResponse:
        deadline = fields.pop("deadline_ms", None)
        call = SearchCall(
            **{"attempt": "a1", "service": "lots", "shard": "0", "limit": 3, "query": query}
            | fields
        )
        headers = {} if deadline is None else {DEADLINE_HEADER: str(deadline)}
        return await self.client.post(SEARCH_PATH, body=codec.to_json(call), headers=headers)

    async def execute(self, key: str) -> HttpResponse:
        call = ExecuteCall(attempt="a1", key=key, service="lots", shard="0", payload={"lot": 1})
        return await self.client.post(EXECUTE_PATH, body=codec.to_json(call))

    async def wait_until(self, condition: Callable[[BackendCounts], bool]) -> None:
        async with asyncio.timeout(10):
            while not condition(self.counts):  # noqa: ASYNC110
                await asyncio.sleep(0.001)


@contextlib.asynccontextmanager
async def running(options: BackendOptions = FAST, **fields: int) -> AsyncIterator[FirstServer]:
    configuration = small()
    servers = tuple(attrs.evolve(spec, **fields) for spec in configuration.servers)
    configuration = attrs.evolve(configuration, servers=servers)
    async with await start_backends(configuration, options=options) as standin:
        spec = standin.configuration.servers[0]
        async with HttpClient(spec.host, spec.port, limit=16) as client:
            yield FirstServer(standin=standin, spec=spec, client=client)


@pytest.fixture
async def server() -> AsyncIterator[FirstServer]:
    async with running() as server:
        yield server


async def cancel(tasks: list[asyncio.Task[HttpResponse]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


def read(response: HttpResponse, kind: type[T]) -> T:
    return codec.from_json(response.body, kind)


def error_of(response: HttpResponse) -> tuple[int, BackendError]:
    return response.status, read(response, BackendRefusal).error


async def test_replicas_of_a_shard_return_the_same_hits(server: FirstServer) -> None:
    reply = read(await server.search(), SearchReply)
    other = server.standin.configuration.servers[1]
    async with HttpClient(other.host, other.port) as client:
        call = SearchCall(attempt="a2", service="lots", shard="0", query="q", limit=3)
        second = read(await client.post(SEARCH_PATH, body=codec.to_json(call)), SearchReply)
    assert (reply.attempt, reply.server) == ("a1", "lots-0-0")
    assert (second.attempt, second.server) == ("a2", "lots-0-1")
    expected = shard_hits("lots", "0", FIRST, "q")
    assert reply.hits == second.hits == expected[:3]
    assert reply.total == len(expected)
    assert {hit.fields["version"] for hit in reply.hits} == {1}


async def test_published_versions_replace_the_oldest_of_two(server: FirstServer) -> None:
    server.act(BackendAction.PUBLISH)
    reply = read(await server.search(), SearchReply)
    assert (reply.snapshot, reply.versions) == (Snapshot(1, 2), (FIRST, Snapshot(1, 2)))
    pinned = read(await server.search(pin=FIRST), SearchReply)
    assert (pinned.snapshot, pinned.hits) == (FIRST, shard_hits("lots", "0", FIRST, "q")[:3])
    server.act(BackendAction.PUBLISH, version=9)
    refused = await server.search(pin=FIRST)
    assert error_of(refused) == (409, BackendError.SNAPSHOT_GONE)
    assert read(refused, BackendRefusal).versions == (Snapshot(1, 2), Snapshot(1, 9))


async def test_a_repartition_renames_the_shard_and_keeps_the_old_snapshot(
    server: FirstServer,
) -> None:
    server.act(BackendAction.REPARTITION, epoch=2, version=1, shards={"0": "0-new"})
    new = read(await server.search(shard="0-new"), SearchReply)
    assert new.snapshot == Snapshot(2, 1)
    old = read(await server.search(), SearchReply)
    assert old.snapshot == FIRST
    refused = await server.search(pin=Snapshot(2, 1))
    assert error_of(refused) == (409, BackendError.SNAPSHOT_GONE)


async def test_a_wrong_shard_or_service_is_refused(server: FirstServer) -> None:
    assert error_of(await server.search(shard="77")) == (404, BackendError.WRONG_SHARD)
    assert error_of(await server.search(service="desk")) == (404, BackendError.WRONG_SHARD)


async def test_a_malformed_call_is_refused(server: FirstServer) -> None:
    response = await server.client.post(SEARCH_PATH, body=b'{"attempt": 1}')
    assert error_of(response) == (400, BackendError.BAD_REQUEST)


async def test_calls_beyond_slots_are_queued_and_beyond_the_queue_shed() -> None:
    async with running(attrs.evolve(FAST, queue=2)) as server:
        server.set(delay_ms=HELD_MS)
        held = [asyncio.create_task(server.search()) for _ in range(5)]
        await server.wait_until(lambda counts: counts.arrived == 5)
        load = read(await server.client.get(LOAD_PATH), LoadReport)
        assert (load.in_flight, load.slots, load.queued) == (5, 3, 2)
        assert error_of(await server.search()) == (503, BackendError.SHED)
        assert server.counts.searches_started == 3
        assert (server.counts.sheds, server.counts.max_in_flight) == (1, 5)
        await cancel(held)


async def test_closing_the_connection_cancels_the_call_and_frees_the_slot() -> None:
    async with running() as server:
        server.set(delay_ms=HELD_MS)
        held = [asyncio.create_task(server.search()) for _ in range(4)]
        await server.wait_until(lambda counts: counts.arrived == 4)
        server.set(delay_ms=0)
        await cancel(held[:3])
        assert (await held[3]).status == 200
        assert (server.counts.cancelled, server.counts.finished) == (3, 1)


async def test_a_deadline_is_reported_as_not_run_in_the_queue_and_as_run_in_a_slot(
    server: FirstServer,
) -> None:
    server.set(delay_ms=HELD_MS)
    held = [asyncio.create_task(server.search()) for _ in range(2)]
    running_out = asyncio.create_task(server.search(deadline_ms=100))
    await server.wait_until(lambda counts: counts.arrived == 3)
    assert error_of(await server.search(deadline_ms=1)) == (503, BackendError.EXPIRED)
    assert error_of(await running_out) == (504, BackendError.DEADLINE)
    await cancel(held)


async def test_executions_are_counted_by_key(server: FirstServer) -> None:
    reply = read(await server.execute("k1"), ExecuteReply)
    assert (reply.key, reply.result["confirmed"]) == ("k1", "k1")
    await server.execute("k1")
    await server.execute("k2")
    assert server.standin.executions() == {"k1": 2, "k2": 1}


async def test_a_cold_server_crashes_beyond_its_cold_slots() -> None:
    async with running(attrs.evolve(FAST, warm_after=2)) as server:
        server.set(delay_ms=HELD_MS)
        first = asyncio.create_task(server.search())
        await server.wait_until(lambda counts: counts.searches_started == 1)
        results = await asyncio.gather(first, server.search(), return_exceptions=True)
        assert [type(result) for result in results] == [HttpFailure, HttpFailure]
        assert (server.counts.cold_overruns, server.counts.max_in_flight_cold) == (1, 1)


async def test_a_cold_server_turns_warm_after_finished_calls() -> None:
    async with running(attrs.evolve(FAST, warm_after=2)) as server:
        states = []
        for _ in range(3):
            health = read(await server.client.get(HEALTH_PATH), HealthReport)
            states.append(health.state)
            await server.search()
        assert states == [BackendState.COLD, BackendState.COLD, BackendState.WARM]


async def test_actions_turn_a_server_cold_and_warm(server: FirstServer) -> None:
    server.act(BackendAction.TURN_COLD)
    server.set(cold_refuses=True, delay_ms=HELD_MS)
    held = asyncio.create_task(server.search())
    await server.wait_until(lambda counts: counts.searches_started == 1)
    assert error_of(await server.search()) == (503, BackendError.COLD)
    server.act(BackendAction.TURN_WARM)
    server.set(delay_ms=0)
    assert (await server.search()).status == 200
    assert (server.counts.cold_refusals, server.counts.cold_overruns) == (1, 0)
    held.cancel()


async def test_a_draining_server_refuses_new_calls_and_finishes_those_in_flight(
    server: FirstServer,
) -> None:
    server.set(late_reply_ms=50)
    held = asyncio.create_task(server.search())
    await server.wait_until(lambda counts: counts.searches_started == 1)
    server.act(BackendAction.DRAIN)
    assert error_of(await server.search()) == (503, BackendError.DRAINING)
    assert (await held).status == 200
    assert read(await server.client.get(HEALTH_PATH), HealthReport).state is BackendState.DRAINING
    server.act(BackendAction.END_DRAIN)
    assert (await server.search()).status == 200
    assert server.counts.drain_refusals == 1


async def test_a_crash_marker_crashes_the_server_and_resets_its_connections(
    server: FirstServer,
) -> None:
    server.set(delay_ms=HELD_MS)
    held = asyncio.create_task(server.search())
    await server.wait_until(lambda counts: counts.searches_started == 1)
    server.set(delay_ms=0)
    with pytest.raises(HttpFailure) as crashed:
        await server.search(query="lot crash-this-server 7")
    assert crashed.value.phase is FailurePhase.SENT
    with pytest.raises(HttpFailure):
        await held
    assert server.counts.crashes == 1
    async with asyncio.timeout(10):
        while server.standin.document().servers[0].down:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
    assert read(await server.client.get(HEALTH_PATH), HealthReport).state is BackendState.COLD


async def test_the_crash_action_refuses_connections_while_down() -> None:
    async with running(attrs.evolve(FAST, restart_ms=HELD_MS)) as server:
        server.act(BackendAction.CRASH)
        with pytest.raises(HttpFailure):
            await server.search()
        assert server.counts.connections_refused >= 1
        assert server.counts.arrived == 0


async def test_connections_beyond_the_limit_are_refused() -> None:
    async with running(connections=2) as server:
        server.set(delay_ms=HELD_MS)
        held = [asyncio.create_task(server.search()) for _ in range(2)]
        await server.wait_until(lambda counts: counts.arrived == 2)
        with pytest.raises(HttpFailure):
            await server.search()
        assert (server.counts.connections_peak, server.counts.connections_refused) == (2, 1)
        await cancel(held)


async def test_a_fault_refuses_connections(server: FirstServer) -> None:
    server.set(refuse_connections=True)
    with pytest.raises(HttpFailure):
        await server.search()
    assert (server.counts.connections_made, server.counts.connections_refused) == (0, 1)


async def test_silent_connections_stay_open_and_new_ones_work(server: FirstServer) -> None:
    await server.search()
    server.act(BackendAction.SILENCE_CONNECTIONS)
    call = SearchCall(attempt="a1", service="lots", shard="0", query="q", limit=3)
    with pytest.raises(HttpFailure) as silent:
        await server.client.post(SEARCH_PATH, body=codec.to_json(call), timeout=0.1)
    assert silent.value.phase is FailurePhase.SENT
    assert server.counts.arrived == 1
    assert (await server.search()).status == 200


async def test_an_action_resets_connections(server: FirstServer) -> None:
    server.set(delay_ms=HELD_MS)
    held = asyncio.create_task(server.search())
    await server.wait_until(lambda counts: counts.searches_started == 1)
    server.act(BackendAction.RESET_CONNECTIONS)
    with pytest.raises(HttpFailure):
        await held
    assert server.counts.crashes == 0


async def test_a_new_connection_does_not_read_during_its_delay() -> None:
    async with running(attrs.evolve(FAST, connect_ms=HELD_MS)) as server:
        with pytest.raises(HttpFailure):
            await server.client.get(HEALTH_PATH, timeout=0.05)
        assert server.counts.connections_made == 1


async def test_a_late_reply_does_not_hold_its_slot(server: FirstServer) -> None:
    server.set(late_reply_ms=HELD_MS)
    held = asyncio.create_task(server.search())
    await server.wait_until(lambda counts: counts.finished == 1)
    assert read(await server.client.get(LOAD_PATH), LoadReport).in_flight == 0
    assert not held.done()
    held.cancel()


async def test_slow_factor_and_stragglers_increase_the_service_time(server: FirstServer) -> None:
    server.set(straggler_probability=1.0, slow_factor=HELD_MS)
    held = asyncio.create_task(server.search())
    await server.wait_until(lambda counts: counts.searches_started == 1)
    server.set(straggler_probability=0.0, slow_factor=1.0)
    assert (await server.search()).status == 200
    assert not held.done()
    held.cancel()


async def test_crossed_replies_carry_another_attempt(server: FirstServer) -> None:
    server.set(crossed_replies=1)
    assert read(await server.search(attempt="a7"), SearchReply).attempt != "a7"
    await server.search(attempt="a8", query="eight")
    server.set(crossed_replies=1)
    crossed = read(await server.search(attempt="a9", query="nine"), SearchReply)
    assert crossed.attempt == "a8"
    assert crossed.hits == shard_hits("lots", "0", FIRST, "eight")[:3]


async def test_truncated_replies_are_shorter_than_their_content_length(server: FirstServer) -> None:
    server.set(truncated_replies=1)
    with pytest.raises(HttpFailure) as cut:
        await server.search()
    assert cut.value.phase is FailurePhase.BAD_REPLY
    assert (await server.search()).status == 200


async def test_partial_replies_are_marked_as_partial(server: FirstServer) -> None:
    server.set(partial_replies=1)
    reply = read(await server.search(), SearchReply)
    complete = shard_hits("lots", "0", FIRST, "q")
    assert reply.partial
    assert reply.total < len(complete)
    assert not read(await server.search(), SearchReply).partial


async def test_calls_with_failed_replies_have_run(server: FirstServer) -> None:
    server.set(failed_replies=1)
    assert error_of(await server.execute("k1")) == (500, BackendError.FAILED)
    assert server.standin.executions() == {"k1": 1}


async def test_calls_with_dropped_replies_have_run(server: FirstServer) -> None:
    server.set(dropped_replies=1)
    with pytest.raises(HttpFailure) as dropped:
        await server.execute("k1")
    assert dropped.value.phase is FailurePhase.SENT
    assert server.standin.executions() == {"k1": 1}


async def test_faults_override_load_and_health_reports(server: FirstServer) -> None:
    server.set(load_in_flight=42, health_state="warm")
    server.act(BackendAction.TURN_COLD)
    assert read(await server.client.get(LOAD_PATH), LoadReport).in_flight == 42
    assert read(await server.client.get(HEALTH_PATH), HealthReport).state is BackendState.WARM
