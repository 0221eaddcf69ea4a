"""Test API keys and the organisation's header, over sockets."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from forward_site import DIALECT, HOST, Site, merged_route, open_site, plain_route

from berylspindle_forwarding.catalogue_changes import VmChange, VmEntry
from berylspindle_forwarding.forward_daemon import EdgeOptions, Endpoint, ForwardDaemon
from berylspindle_forwarding.relay import RelayPort
from berylspindle_model.errors import ErrorKind, Refusal
from berylspindle_model.routing import Organisation
from berylspindle_telemetry.metrics import Metrics
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http_server import HttpServer

SECRET = "s3cr3t-key"
ACME = Organisation(name="acme", keys=(SECRET,), priority=3)
KEY = {"authorization": f"Bearer {SECRET}"}
ORGANISATION = DIALECT.organisation.decode()
FORGED = {ORGANISATION: "forged"}
SHARDS = tuple(f"t{n}" for n in range(12))


def publish(*sites: Site, organisations: tuple[Organisation, ...] = (ACME,)) -> None:
    public = plain_route(name="public", prefix="/open/", public=True)
    for site in sites:
        site.route(merged_route(SHARDS), plain_route(), public, organisations=organisations)


def heads(*sites: Site) -> list[str]:
    """Return the heads of all requests that reached a replica, in lower case."""
    found = {id(r): r for site in sites for r in site.replicas.values()}
    return [head.decode("latin-1").lower() for r in found.values() for head in r.counts.heads]


def organisations_in(received: list[str]) -> set[str]:
    """Return the values of all organisation headers, "" for a request without any."""
    lines = [
        [line for line in head.split("\r\n") if line.startswith(ORGANISATION)] for head in received
    ]
    return {",".join(found).replace(f"{ORGANISATION}: ", "") for found in lines}


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    async with open_site() as opened:
        await opened.replica("r1", "booking")
        publish(opened)
        yield opened


@pytest.mark.parametrize(
    "authorization",
    [
        [],
        ["Basic x"],
        ["Bearer"],
        ["Bearer nobody"],
        [f"bearer {SECRET.upper()}"],
        [f"Bearer {SECRET}"] * 2,
    ],
)
async def test_request_without_a_valid_key_is_refused_at_once(
    site: Site, authorization: list[str], caplog: pytest.LogCaptureFixture
) -> None:
    """Guard against requests of unknown callers, and keys in logs, metrics or responses."""
    caplog.set_level(logging.DEBUG)
    lines = [f"GET /booking/1 HTTP/1.1\r\nHost: {HOST}\r\n{ORGANISATION}: acme\r\n"]
    lines += [f"Authorization: {value}\r\n" for value in authorization]
    reader, writer = await asyncio.open_connection("127.0.0.1", site.server.port)
    writer.write("".join([*lines, "\r\n"]).encode())
    response = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    writer.close()
    assert response.startswith("http/1.1 401 ")
    assert "www-authenticate: bearer" in response
    assert not heads(site)
    metrics = site.forwarder._metrics.render().decode()
    assert 'cause="no_valid_key"' in metrics
    written = repr([vars(record) for record in caplog.records]) + metrics + response
    assert SECRET.lower() not in written.lower()


async def test_replica_gets_the_organisation_in_place_of_the_key(site: Site) -> None:
    """Guard against keys that reach replicas, and against forged organisations.

    A caller may declare its key and the organisation's header as hop-by-hop.
    """
    for extra in ({}, FORGED, {"connection": f"authorization, {ORGANISATION}"}):
        assert (await site.ask("/booking/1", extra={**KEY, **extra})).status == 200
        assert (await site.ask("/open/1", extra={**KEY, **extra})).status == 200
    received = heads(site)
    assert len(received) == 6
    assert organisations_in(received) == {"acme"}
    assert not [head for head in received if "authorization" in head]


async def test_public_route_serves_requests_without_a_valid_key(site: Site) -> None:
    for extra in (FORGED, {**FORGED, "authorization": "Bearer nobody"}):
        assert (await site.ask("/open/1", extra=extra)).status == 200
    assert organisations_in(heads(site)) == {""}
    assert not [head for head in heads(site) if "authorization" in head]


async def test_without_organisations_headers_pass_unchanged(site: Site) -> None:
    publish(site, organisations=())
    assert (await site.ask("/booking/1", extra={**KEY, **FORGED})).status == 200
    (head,) = heads(site)
    assert SECRET in head
    assert organisations_in([head]) == {"forged"}


async def test_vm_without_a_table_does_not_refuse_keys() -> None:
    """Guard against a 401 from a VM that is starting, which callers treat as final."""
    async with open_site() as opened:
        assert (await opened.ask("/booking/1", left_ms=200)).status == 503


async def test_quota_hook_sees_each_request_once_and_its_table_stays(site: Site) -> None:
    """Guard against a request that changes its organisation while it waits for its quota."""
    seen: list[tuple[str, int]] = []

    async def admit(organisation, route, times) -> Refusal | None:
        seen.append((organisation.name, route.priority))
        publish(site, organisations=(Organisation(name="other", keys=(SECRET,)),))
        return Refusal(ErrorKind.CALLER_OVER_SHARE) if route.public else None

    site.forwarder.front._admit_quota = admit  # type: ignore[misc]
    assert (await site.ask("/booking/1", extra=KEY)).status == 200
    assert (await site.ask("/booking/1")).status == 401
    assert (await site.ask("/open/1")).status == 200
    assert (await site.ask("/open/1", extra=KEY)).status == 429
    assert seen == [("acme", 3), ("other", 0)]
    assert organisations_in(heads(site)) == {"acme", ""}


async def test_crash_record_and_canary_hold_no_key(
    site: Site, caplog: pytest.LogCaptureFixture
) -> None:
    """Guard against keys in the records and lines about requests that crash replicas."""
    caplog.set_level(logging.DEBUG)
    replica = site.replicas["r1"]
    replica.behaviour.crash_marker = "poison"
    for _ in range(2):
        await site.ask("/booking/poison", extra=KEY, left_ms=1000)
        while site.forwarder._crashes._tasks:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        await replica.restart()
    assert replica.counts.crashes >= 2
    exported = site.forwarder._crashes._quarantine.export(asyncio.get_running_loop().time())
    assert exported
    assert SECRET not in repr([vars(record) for record in caplog.records]) + repr(exported)
    assert organisations_in(heads(site)) == {"acme"}
    assert SECRET not in "".join(heads(site))


@asynccontextmanager
async def open_vms(port: RelayPort) -> AsyncIterator[tuple[Site, Site, HttpServer]]:
    """Yield a small VM, one in the same and one in another data centre, and the latter's daemon."""
    async with AsyncExitStack() as stack:
        options = {"relay_port": port, "callers_port": 1}
        small = await stack.enter_async_context(open_site(vm="small", bears=0.5, **options))
        big = await stack.enter_async_context(open_site(vm="big", bears=2.0, **options))
        for number, shard in enumerate(SHARDS):
            replica = await big.replica(f"{shard}-0", shard, data_centre="ab"[number % 2])
            small.announce(replica, data_centre="ab"[number % 2])
        edges = EdgeOptions(
            callers=Endpoint("127.0.0.1", 0), relays=Endpoint("127.0.0.1", 0), grace_s=2.0
        )
        daemon = ForwardDaemon(edges, big.forwarder, Metrics())
        await daemon.start()
        stack.push_async_callback(daemon.close)
        publish(small, big)
        assert daemon._relays is not None
        yield small, big, daemon


def announce_merger(small: Site, daemon: ForwardDaemon, data_centre: str) -> None:
    entry = VmEntry(
        host="127.0.0.1",
        port=1,
        data_centre=data_centre,
        callers_port=daemon._relays.port,
        bears=2.0,
    )
    small.forwarder.on_change(VmChange("big", entry))


@pytest.mark.parametrize("data_centre", ["a", "b"])
async def test_relayed_search_keeps_the_organisation_of_its_origin(data_centre: str) -> None:
    """Guard against keys and forged organisations in searches or subsets merged elsewhere."""
    async with open_vms(RelayPort.SEPARATE) as (small, big, daemon):
        announce_merger(small, daemon, data_centre)
        response = await small.ask("/lots/1", extra={**KEY, **FORGED})
        assert (response.status, response.headers[DIALECT.absent.decode()]) == (200, "0")
        assert big.forwarder._context.retry_budgets
        received = heads(big)
        assert len(received) == 12
        assert organisations_in(received) == {"acme"}
        assert SECRET not in "".join(received)


async def test_without_a_separate_port_searches_are_not_relayed() -> None:
    """Guard against a search that arrives without its key where relay headers aren't trusted."""
    for port in (RelayPort.CALLERS, RelayPort.NONE):
        async with open_vms(port) as (small, big, daemon):
            announce_merger(small, daemon, "a")
            assert (await small.ask("/lots/1", extra=KEY)).status == 200
            assert not big.forwarder._context.retry_budgets


@pytest.mark.parametrize("port", RelayPort)
async def test_forged_relay_headers_have_no_effect(port: RelayPort) -> None:
    """Guard against callers that pass as another VM: without a key, or with another's name."""
    async with open_vms(port) as (_, big, daemon):
        forged = {"x-relay-table": str(big.version), "x-relay-aim-ms": "900", "x-relay-shards": "1"}
        assert (await big.ask("/lots/1", extra={**forged, **FORGED})).status == 401
        response = await big.ask("/lots/1", extra={**forged, **FORGED, **KEY})
        assert len(response.headers[DIALECT.parts.decode()].split(", ")) == 12
        assert "x-relay-load" not in response.headers
        assert organisations_in(heads(big)) == {"acme"}
        assert not [head for head in heads(big) if "x-relay" in head]
        async with HttpClient("127.0.0.1", daemon._relays.port) as other:
            direct = await other.request("GET", "/lots/1", headers={"host": HOST, **KEY})
            assert direct.status == 400


async def test_shutdown_finishes_pending_relayed_searches() -> None:
    """Guard against searches that fail because their merger is stopped."""
    async with open_vms(RelayPort.SEPARATE) as (small, big, daemon):
        announce_merger(small, daemon, "a")
        for replica in big.replicas.values():
            replica.behaviour.service_time_s = 0.5
        asking = asyncio.create_task(small.ask("/lots/1", extra=KEY))
        while not heads(big):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        await daemon.shut_down()
        assert (await asking).status == 200
        assert len(heads(big)) == 12
