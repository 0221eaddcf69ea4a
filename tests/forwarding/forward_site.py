"""Share test fixtures for forwarding: replicas on sockets, and a front that routes to them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager

import attrs

from berylspindle_forwarding.catalogue_changes import (
    DataCentreExclusionChange,
    ReplicaChange,
    TableChange,
)
from berylspindle_forwarding.dialect import Dialect
from berylspindle_forwarding.forward_options import ForwardOptions
from berylspindle_forwarding.forwarder import Forwarder
from berylspindle_forwarding.front import refusal_reply
from berylspindle_model.routing import (
    CallerLimits,
    Organisation,
    Replica,
    Route,
    RoutingTable,
    ServiceRules,
    ShardSet,
    WeightedService,
)
from berylspindle_standins.forward_replica import ForwardReplica, start_replica
from berylspindle_store.store import ListResult, Store, WatchResult
from berylspindle_telemetry.metrics import Metrics
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import HttpResponse
from berylspindle_wire.http_head import read_raw_head
from berylspindle_wire.http_server import HttpServer, serve

HOST = "search.example"
DIALECT = Dialect()


def plain_route(service: str = "booking", **changes) -> Route:
    """Return a route to one service; `changes` override its fields."""
    fields = {
        "name": "plain",
        "host": HOST,
        "prefix": "/booking/",
        "repeatable": True,
        "timeout_ms": 5000,
        "aim_ms": 2000,
        "max_replicas": 2,
        "targets": (WeightedService(service=service),),
    }
    return Route(**{**fields, **changes})


def merged_route(shards: tuple[str, ...], least: float = 0.7, **changes) -> Route:
    """Return a route over shards; `changes` override its fields."""
    fields = {
        "name": "merged",
        "host": HOST,
        "prefix": "/lots/",
        "repeatable": True,
        "timeout_ms": 5000,
        "aim_ms": 2000,
        "max_replicas": 2,
        "shard_set": ShardSet(shards=shards, top=5, least_share=least),
    }
    return Route(**{**fields, **changes})


async def until(condition: Callable[[], object], within_s: float = 5.0) -> None:
    """Wait until a condition holds. Raises TimeoutError."""
    async with asyncio.timeout(within_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


class NoStore(Store):
    """A store that is never called; tests pass all changes to the forwarder themselves."""

    async def get(self, key):
        raise NotImplementedError

    async def list(self, prefix) -> ListResult:
        raise NotImplementedError

    async def compare_and_swap(self, key, value, *, expect, lease=None):
        raise NotImplementedError

    async def watch(self, prefix, *, after, wait) -> WatchResult:
        raise NotImplementedError

    async def grant_lease(self, ttl):
        raise NotImplementedError

    async def keep_alive(self, lease):
        raise NotImplementedError

    async def revoke(self, lease):
        raise NotImplementedError


@attrs.define(kw_only=True)
class Site:
    """A front on a socket, its forwarder, and replicas that may be announced to it."""

    forwarder: Forwarder
    server: HttpServer
    client: HttpClient
    stack: AsyncExitStack
    replicas: dict[str, ForwardReplica] = attrs.field(factory=dict)
    version: int = 0
    count: int = 0

    def route(
        self,
        *routes: Route,
        limits: CallerLimits | None = None,
        organisations: tuple[Organisation, ...] = (),
        **rules: ServiceRules,
    ):
        """Publish a new routing table with these routes."""
        self.version += 1
        table = RoutingTable(self.version, routes, rules, limits or CallerLimits(), organisations)
        self.forwarder.on_change(TableChange(table))

    async def replica(self, name: str, service: str, *, slots: int = 3, **fields) -> ForwardReplica:
        """Start a replica and announce it."""
        replica = await start_replica(name, service, slots=slots)
        self.stack.push_async_callback(replica.close)
        self.replicas[name] = replica
        self.announce(replica, slots=slots, **fields)
        return replica

    def announce(self, replica: ForwardReplica, *, slots: int = 3, **fields) -> None:
        """Announce a replica; `fields` override what is announced."""
        defaults = {
            "id": replica.id,
            "service": replica.service,
            "host": "127.0.0.1",
            "port": replica.port,
            "data_centre": "a",
            "slots": slots,
        }
        announced = Replica(**{**defaults, **fields})
        self.forwarder.on_change(ReplicaChange(announced.id, announced))

    def withdraw(self, replica: ForwardReplica) -> None:
        """Withdraw the announcement of a replica."""
        self.forwarder.on_change(ReplicaChange(replica.id, None))

    def take_out(self, data_centre: str, *, out: bool = True) -> None:
        """Take a data centre out of service, or return it."""
        self.forwarder.on_change(DataCentreExclusionChange(data_centre, out))

    async def ask(
        self,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        request_id: str = "",
        left_ms: int | None = 4000,
        host: str = HOST,
        extra: Mapping[str, str] | None = None,
    ) -> HttpResponse:
        """Send one request, with `extra` headers, and return the response."""
        self.count += 1
        headers = {
            "host": host,
            DIALECT.request_id.decode(): request_id or f"request-{self.count}",
        }
        if left_ms is not None:
            headers[DIALECT.time_left.decode()] = str(left_ms)
        headers |= extra or {}
        return await self.client.request(method, path, headers=headers, body=body, timeout=10)

    def runs(self) -> dict[str, int]:
        """Return the number of runs at each replica."""
        return {name: sum(r.counts.runs.values()) for name, r in self.replicas.items()}


@asynccontextmanager
async def open_site(*, store: Store | None = None, **options) -> AsyncIterator[Site]:
    async with AsyncExitStack() as stack:
        settings = ForwardOptions(
            **{"vm": "vm-1", "data_centre": "a", "expected_vms": 1, **options}
        )
        forwarder = Forwarder(settings, store or NoStore(), None, Metrics())  # type: ignore[arg-type]
        stack.push_async_callback(forwarder.registry.close)
        stack.push_async_callback(forwarder._crashes.close)
        if forwarder.quotas is not None:
            stack.push_async_callback(forwarder.quotas.close)
        # The slack of the retry budget grows over the first seconds of a process.
        forwarder._context.started -= 60.0
        server = await serve(
            forwarder.front.handle,
            host="127.0.0.1",
            port=0,
            read=read_raw_head,
            refuse=lambda refusal: refusal_reply(refusal, DIALECT.request_id, b""),
        )
        stack.push_async_callback(server.close, 0.0)
        client = await stack.enter_async_context(HttpClient("127.0.0.1", server.port, limit=50))
        yield Site(forwarder=forwarder, server=server, client=client, stack=stack)
        await asyncio.sleep(0)
