"""Test the answers to requests whose run state decides the status, over sockets."""

from __future__ import annotations

import asyncio

import pytest
from forward_site import HOST, Site, merged_route, open_site, plain_route, until
from test_relay import TWELVE, open_halves

from berylspindle_forwarding.forward_daemon import (
    CLOSE_RESERVE_S,
    EdgeOptions,
    Endpoint,
    ForwardDaemon,
)
from berylspindle_model.errors import ErrorKind
from berylspindle_model.routing import ServiceRules
from berylspindle_telemetry.metrics import Metrics
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import HttpResponse

ONE_CONNECTION = ServiceRules(name="booking", max_connections=1)


def book(site: Site, path: str, *, left_ms: int = 4000) -> asyncio.Task[HttpResponse]:
    return asyncio.create_task(site.ask(path, method="POST", body=b"{}", left_ms=left_ms))


async def end_grace_period(site: Site) -> None:
    site.forwarder.front.begin_stop()
    await site.server.close()


async def test_stop_reports_a_request_at_a_replica_as_possibly_run() -> None:
    """Guard against "not run" at the end of a shutdown for a booking that a replica works on."""
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.service_time_s = 3.0
        site.route(plain_route(repeatable=False))
        booking = book(site, "/booking/1")
        await until(lambda: replica.counts.runs)
        await end_grace_period(site)
        assert (await booking).status == 502


async def test_shutdown_of_the_daemon_answers_a_request_at_a_replica() -> None:
    """Guard against a shutdown that takes its own cancellations for callers that have left."""
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.service_time_s = 3.0
        site.route(plain_route(repeatable=False))
        edges = EdgeOptions(callers=Endpoint("127.0.0.1", 0), grace_s=CLOSE_RESERVE_S + 0.3)
        daemon = ForwardDaemon(edges, site.forwarder, Metrics())
        await daemon.start()
        async with HttpClient("127.0.0.1", daemon._callers.port) as client:
            headers = {"host": HOST, "x-request-id": "request-1"}
            booking = asyncio.create_task(
                client.request("POST", "/booking/1", headers=headers, body=b"{}", timeout=10)
            )
            await until(lambda: replica.counts.runs)
            await daemon.shut_down()
            response = await booking
        assert response.status == 502
        assert response.body.startswith(ErrorKind.SHUTTING_DOWN.value.encode())


async def test_stop_reports_a_request_that_waits_for_a_connection_as_not_run() -> None:
    """Guard against an unknown outcome, which callers can't retry, of a booking that never ran."""
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.service_time_s = 3.0
        site.route(plain_route(repeatable=False), booking=ONE_CONNECTION)
        first = book(site, "/booking/1")
        await until(lambda: replica.counts.runs)
        second = book(site, "/booking/2")
        await until(lambda: site.forwarder.front.in_flight == 2)
        await end_grace_period(site)
        assert ((await first).status, (await second).status) == (502, 503)
        await asyncio.sleep(0.05)
        assert replica.counts.targets == ["/booking/1"]


async def test_stop_reports_a_request_that_every_replica_rejected_as_not_run() -> None:
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.refused_requests = -1
        site.route(plain_route(repeatable=False))
        booking = book(site, "/booking/1")
        await until(lambda: replica.counts.refused)
        await end_grace_period(site)
        assert (await booking).status == 503
        assert not replica.counts.runs


async def test_stop_reports_a_request_without_a_routing_table_as_not_run() -> None:
    async with open_site() as site:
        booking = book(site, "/booking/1")
        await until(lambda: site.forwarder.front.in_flight)
        await end_grace_period(site)
        response = await booking
        assert response.status == 503
        assert response.headers["retry-after"] == "0.000"


async def test_request_that_waits_for_a_connection_until_its_deadline_has_not_run() -> None:
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.service_time_s = 1.0
        site.route(plain_route(repeatable=False), booking=ONE_CONNECTION)
        first = book(site, "/booking/1")
        await until(lambda: replica.counts.runs)
        assert (await book(site, "/booking/2", left_ms=300)).status == 503
        assert (await first).status == 200
        assert replica.counts.targets == ["/booking/1"]


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_failure_of_a_replica_is_not_forwarded_as_a_promise(status: int) -> None:
    """Guard against a booking that a replica ran and whose caller is told that it has not run."""
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.failed_requests = -1
        replica.behaviour.failure_status = status
        site.route(plain_route(repeatable=False))
        assert (await book(site, "/booking/1")).status == 502
        assert replica.counts.runs.total() == 1


async def test_search_whose_subset_is_refused_may_have_run_at_other_shards() -> None:
    """Guard against "not run" for a search that the replicas of the other shards have run."""
    async with open_halves() as (here, there):
        for shard in TWELVE[1::2]:
            there.replicas[f"{shard}-0"].behaviour.refused_requests = -1
        for site in (here, there):
            site.route(merged_route(TWELVE, least=1.0))
        response = await here.ask("/lots/1", left_ms=1500)
        assert sum(there.runs().values()) == 6
        assert response.status in (502, 504)
