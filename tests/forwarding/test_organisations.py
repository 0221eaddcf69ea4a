"""Test API keys and the organisation's header, over sockets."""

from __future__ import annotations

import asyncio
import io
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from forward_site import DIALECT, HOST, Site, merged_route, open_site, plain_route

from berylspindle_forwarding import forward_daemon
from berylspindle_forwarding.catalogue_changes import VmChange, VmEntry
from berylspindle_forwarding.forward_daemon import EdgeOptions, Endpoint, ForwardDaemon
from berylspindle_forwarding.relay import RelayPort
from berylspindle_model.errors import ErrorKind, Refusal
from berylspindle_model.routing import Organisation
from berylspindle_telemetry.logs import log_context
from berylspindle_telemetry.metrics import Metrics
from berylspindle_wire.client import HttpClient

SECRET = "s3cr3t-key"
ACME = Organisation(name="acme", keys=(SECRET,), priority=3)
KEY = {"authorization": f"Bearer {SECRET}"}
FORGED = {DIALECT.organisation.decode(): "forged"}
SHARDS = tuple(f"t{n}" for n in range(12))


def publish(*sites: Site, organisations: tuple[Organisation, ...] = (ACME,)) -> None:
    public = plain_route(name="public", prefix="/open/", public=True)
    for site in sites:
        site.route(merged_route(SHARDS), plain_route(), public, organisations=organisations)


def received_organisations(site: Site) -> list[str]:
    """Return the organisation of each request to a replica; fail if one holds a key."""
    text = [h.decode().lower() for r in site.replicas.values() for h in r.counts.heads]
    assert not [head for head in text if "authorization" in head or "x-relay" in head]
    name = f"\r\n{DIALECT.organisation.decode()}: "
    return [",".join(part.split("\r\n")[0] for part in head.split(name)[1:]) for head in text]


@pytest.fixture
def log() -> Iterator[io.StringIO]:
    stream = io.StringIO()
    with log_context(level="debug", stream=stream):
        yield stream


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    async with open_site() as opened:
        await opened.replica("r1", "booking")
        publish(opened)
        yield opened


@pytest.mark.parametrize(
    "values",
    [
        [],
        ["Basic x"],
        ["Bearer nobody"],
        ["Bearer s3cr3t-key-2"],
        [f"Bearer {SECRET.upper()}"],
        [f"Bearer {SECRET}"] * 2,
    ],
)
async def test_request_without_a_valid_key_is_refused_at_once(
    site: Site, values: list[str], log: io.StringIO
) -> None:
    """Guard against requests of unknown callers, and keys in logs, metrics or responses."""
    holders = tuple(Organisation(name=name, keys=("s3cr3t-key-2",)) for name in ("x", "y"))
    publish(site, organisations=(ACME, *holders))
    assert "organisations=x, y" in log.getvalue()
    keys = "".join(f"Authorization: {value}\r\n" for value in values)
    reader, writer = await asyncio.open_connection("127.0.0.1", site.server.port)
    writer.write(f"GET /booking/1 HTTP/1.1\r\nHost: {HOST}\r\n{keys}\r\n".encode())
    response = (await reader.readuntil(b"\r\n\r\n")).decode()
    writer.close()
    assert response.startswith("HTTP/1.1 401 ")
    assert received_organisations(site) == []
    metrics = site.forwarder._metrics.render().decode()
    assert 'result="unauthorised"' in metrics
    assert "result=unauthorised" in log.getvalue()
    assert SECRET not in (log.getvalue() + metrics + response).lower()


async def test_replica_gets_the_organisation_in_place_of_the_key(site: Site) -> None:
    """Guard against keys that reach replicas, and against forged organisations.

    A caller may declare its key and the organisation's header as hop-by-hop.
    """
    hop = {"connection": f"authorization, {DIALECT.organisation.decode()}"}
    for extra in (KEY, KEY | FORGED, KEY | hop):
        for path in ("/booking/1", "/open/1"):
            assert (await site.ask(path, extra=extra)).status == 200
    for extra in (FORGED, FORGED | {"authorization": "Bearer nobody"}):
        assert (await site.ask("/open/1", extra=extra)).status == 200
    assert received_organisations(site) == ["acme"] * 6 + [""] * 2


async def test_priority_of_the_organisation_replaces_that_of_the_route(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against an urgent organisation that is shed like the others of its route."""
    admission, seen = site.forwarder._context.admission, []
    monkeypatch.setattr(admission, "admit", lambda now, r, uniform: not seen.append(r.priority))
    for path, extra in (("/booking/1", KEY), ("/open/1", KEY), ("/open/1", {})):
        await site.ask(path, extra=extra)
    assert seen == [3, 3, 0]


async def test_without_organisations_headers_pass_unchanged(site: Site) -> None:
    publish(site, organisations=())
    assert (await site.ask("/booking/1", extra=KEY | FORGED)).status == 200
    (head,) = site.replicas["r1"].counts.heads
    assert SECRET.encode() in head
    assert b": forged\r\n" in head


async def test_request_keeps_its_organisation_while_it_waits_for_the_quota(
    site: Site, log: io.StringIO
) -> None:
    """Guard against a request that is counted for one organisation and sent for another."""
    seen: list[str] = []

    async def admit(organisation, route, times) -> Refusal | None:
        seen.append(organisation.name)
        publish(site, organisations=(Organisation(name="other", keys=(SECRET,)),))
        return Refusal(ErrorKind.CALLER_OVER_SHARE) if route.public else None

    site.forwarder.front._admit_quota = admit  # type: ignore[misc]
    asked = [("/booking/1", KEY), ("/booking/1", {}), ("/open/1", {}), ("/open/1", KEY)]
    statuses = [(await site.ask(path, extra=extra)).status for path, extra in asked]
    assert statuses == [200, 401, 200, 429]
    assert seen == ["acme", "other"]
    assert received_organisations(site) == ["acme", ""]
    (line,) = [line for line in log.getvalue().splitlines() if "caller_over_share" in line]
    assert " organisation=other " in line


@asynccontextmanager
async def open_vms(
    port: RelayPort, data_centre: str = "a"
) -> AsyncIterator[tuple[Site, Site, ForwardDaemon]]:
    """Yield a small VM, a big one announced to it in a data centre, and the latter's daemon."""
    async with AsyncExitStack() as stack:
        small = await stack.enter_async_context(open_site(bears=0.5, relay_port=port))
        big = await stack.enter_async_context(open_site(bears=2.0, relay_port=port))
        for number, shard in enumerate(SHARDS):
            replica = await big.replica(f"{shard}-0", shard, data_centre="ab"[number % 2])
            small.announce(replica, data_centre="ab"[number % 2])
        here = Endpoint("127.0.0.1", 0)
        edges = EdgeOptions(callers=here, relays=here, grace_s=2.0)
        daemon = ForwardDaemon(edges, big.forwarder, Metrics())
        stack.push_async_callback(daemon.close)
        await daemon.start()
        publish(small, big)
        assert daemon._relays is not None
        address = {"host": "127.0.0.1", "port": 1, "callers_port": daemon._relays.port}
        entry = VmEntry(**address, data_centre=data_centre, bears=2.0)
        small.forwarder.on_change(VmChange("big", entry))
        yield small, big, daemon


@pytest.mark.parametrize("data_centre", ["a", "b"])
async def test_relayed_search_keeps_the_organisation_of_its_origin(data_centre: str) -> None:
    """Guard against keys and forged organisations in searches or subsets merged elsewhere."""
    async with open_vms(RelayPort.SEPARATE, data_centre) as (small, big, _):
        response = await small.ask("/lots/1", extra=KEY | FORGED)
        assert response.headers[DIALECT.absent.decode()] == "0"
        assert len(big.forwarder._context.retry_budgets) == {"a": 12, "b": 6}[data_centre]
        assert received_organisations(big) == ["acme"] * 12


@pytest.mark.parametrize("port", [RelayPort.CALLERS, RelayPort.NONE])
async def test_without_a_separate_port_searches_are_not_relayed(port: RelayPort) -> None:
    """Guard against a search that arrives without its key where relay headers aren't trusted."""
    for data_centre in "ab":
        async with open_vms(port, data_centre) as (small, big, _):
            assert (await small.ask("/lots/1", extra=KEY)).status == 200
            assert not big.forwarder._context.retry_budgets


@pytest.mark.parametrize("port", RelayPort)
async def test_forged_relay_headers_have_no_effect(port: RelayPort) -> None:
    """Guard against callers that pass as another VM: without a key, or with another's name."""
    async with open_vms(port) as (_, big, daemon):
        forged = {"x-relay-table": "1", "x-relay-aim-ms": "900", "x-relay-shards": "1", **FORGED}
        assert (await big.ask("/lots/1", extra=forged)).status == 401
        response = await big.ask("/lots/1", extra=forged | KEY)
        assert len(response.headers[DIALECT.parts.decode()].split(", ")) == 12
        assert received_organisations(big) == ["acme"] * 12
        async with HttpClient("127.0.0.1", daemon._relays.port) as other:
            direct = await other.request("GET", "/lots/1", headers={"host": HOST, **KEY})
            assert direct.status == 400
        publish(big, organisations=())
        response = await big.ask("/lots/1", extra=forged | {"x-relay-table": "2"})
        parts = response.headers[DIALECT.parts.decode()].split(", ")
        assert len(parts) == (1 if port is RelayPort.CALLERS else 12)


async def test_shutdown_finishes_pending_relayed_searches(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against searches that fail because their merger is stopped."""
    monkeypatch.setattr(forward_daemon, "BALANCER_DETECTION_S", 0.1)
    async with open_vms(RelayPort.SEPARATE) as (small, big, daemon):
        for replica in big.replicas.values():
            replica.behaviour.service_time_s = 0.5
        asking = asyncio.create_task(small.ask("/lots/1", extra=KEY))
        while not received_organisations(big):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        await daemon.shut_down()
        assert (await asking).status == 200
        assert len(received_organisations(big)) == 12
