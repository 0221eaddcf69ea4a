"""Test requests to a replica that sends late copies of its rejections, over sockets."""

from __future__ import annotations

import asyncio

import pytest
from forward_site import Site, open_site, plain_route, until
from raw_server import open_raw_server

from berylspindle_forwarding.replica_pool import PoolOptions, ReplicaPool
from berylspindle_model.routing import ServiceRules
from berylspindle_standins.forward_replica import ForwardReplica
from berylspindle_wire.exchange import (
    ConnectionUse,
    ExchangeConnection,
    ExchangeFailure,
    ExchangeReply,
    ExchangeRequest,
    ExchangeSink,
)
from berylspindle_wire.reply_body import ReplyMemory

COPY_DELAY_S = 0.03
WORK_S = 0.1


async def open_booking(site: Site, *, connections: int, repeatable: bool) -> ForwardReplica:
    """Announce the only replica of a service, at which work takes longer than a copy."""
    replica = await site.replica("only", "booking")
    replica.behaviour.service_time_s = WORK_S
    rules = ServiceRules(name="booking", max_connections=connections)
    site.route(plain_route(repeatable=repeatable), booking=rules)
    return replica


@pytest.mark.parametrize("connections", [1, 3])
async def test_late_copy_of_a_rejection_is_not_taken_for_the_reply_to_the_next_attempt(
    connections: int,
) -> None:
    """Guard against a booking that runs twice since a copied rejection ends its second attempt."""
    async with open_site() as site:
        replica = await open_booking(site, connections=connections, repeatable=False)
        replica.behaviour.refusal_copy_delay_s = COPY_DELAY_S
        for number in range(6):
            replica.behaviour.refused_requests = 1
            response = await site.ask(f"/booking/{number}", method="POST", body=b"{}")
            assert response.status == 200
        assert replica.counts.refused == 6
        assert set(replica.counts.runs.values()) == {1}


async def test_request_is_rejected_as_not_run_while_copies_of_rejections_arrive() -> None:
    async with open_site() as site:
        replica = await open_booking(site, connections=3, repeatable=False)
        replica.behaviour.refusal_copy_delay_s = 0.005
        replica.behaviour.refused_requests = -1
        response = await site.ask("/booking/1", method="POST", body=b"{}", left_ms=400)
        assert response.status == 503
        assert replica.counts.refused > 2
        assert not replica.counts.runs


@pytest.mark.parametrize(
    ("connections", "repeatable", "opened"), [(3, False, 2), (3, True, 2), (1, True, 1)]
)
async def test_rejected_requests_are_sent_again_without_a_new_connection_each(
    connections: int, repeatable: bool, opened: int
) -> None:
    """Guard against connects that occupy the slots of a replica which is full already."""
    async with open_site() as site:
        replica = await open_booking(site, connections=connections, repeatable=repeatable)
        for number in range(10):
            replica.behaviour.refused_requests = 1
            response = await site.ask(f"/booking/{number}", method="POST", body=b"{}")
            assert response.status == 200
        assert (replica.counts.refused, replica.counts.connections) == (10, opened)


async def test_rejected_request_does_not_wait_for_the_work_of_another() -> None:
    """Guard against a rejected booking that waits for seconds although the replica has room."""
    async with open_site() as site:
        replica = await open_booking(site, connections=3, repeatable=False)
        replica.behaviour.service_time_s = 1.5
        long_work = asyncio.create_task(site.ask("/booking/long", method="POST", body=b"{}"))
        await until(lambda: replica.counts.runs)
        replica.behaviour.service_time_s = 0.01
        replica.behaviour.refused_requests = 1
        response = await site.ask("/booking/2", method="POST", body=b"{}", left_ms=1000)
        assert response.status == 200
        assert not long_work.done()
        assert (await long_work).status == 200


class RecordingSink(ExchangeSink):
    """A sink that allows all connections and records the outcome."""

    def __init__(self) -> None:
        self.outcome: asyncio.Future[ExchangeReply | ExchangeFailure] = asyncio.Future()

    def connection_use(self, connection: ExchangeConnection) -> ConnectionUse:
        return ConnectionUse.ALLOWED

    def on_connection_assigned(self, connection: ExchangeConnection) -> None:
        pass

    def on_reply(self, reply: ExchangeReply) -> None:
        self.outcome.set_result(reply)

    def on_failure(self, end: ExchangeFailure) -> None:
        self.outcome.set_result(end)


async def test_connection_with_unread_bytes_is_not_used() -> None:
    """Guard against a booking lost to a late reply that was in the kernel before it was sent."""
    writers: list[asyncio.StreamWriter] = []
    reply = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        while await reader.readuntil(b"\r\n\r\n"):
            await reader.readexactly(2)
            writer.write(reply)

    async with open_raw_server(serve) as port:
        pool = ReplicaPool(
            "127.0.0.1",
            port,
            limit=1,
            options=PoolOptions(),
            memory=ReplyMemory(),
            on_opened=lambda: None,
        )
        request = ExchangeRequest(b"POST", b"/", ((b"host", b"a"),), b"{}")
        for _ in range(2):
            sink = RecordingSink()
            if writers:
                writers[0].write(reply)
            pool.submit(lambda: request, sink)
            assert isinstance(await sink.outcome, ExchangeReply)
        assert len(writers) == 2
        await pool.close()
