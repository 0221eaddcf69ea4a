"""Measure how the cost of each component grows with its size, for the capacity tables.

Terms:
  point   a measured cost at one size
  slope   the cost of one more unit of size: the slope of the least-squares line through the points
  base    the intercept of that line

Flow: each function below runs production code of one component in this process at three sizes or
more and yields points of CPU time or bytes; `fit_slopes` fits a line to each series. CPU time comes
from the clock of the process, which other load on the machine affects little.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import time
import tracemalloc
from collections.abc import Iterator, Sequence
from contextlib import AsyncExitStack
from typing import Final

import attrs

from berylspindle_bench.capacity_fakes import (
    InstantBackend,
    InstantOwners,
    instant_entry,
    instant_worker,
    make_configuration,
    make_reply,
    make_view,
)
from berylspindle_dataplane.owner_table import OwnerTable
from berylspindle_decisions.merge import merge_hits
from berylspindle_model import codec
from berylspindle_model.configuration_codec import canonical, parse_configuration
from berylspindle_model.messages import Attempt, AttemptReply, SearchRequest
from berylspindle_model.topology import ClusterState
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import HttpRequest, HttpResponse, json_response
from berylspindle_wire.http_server import serve

SHARD_COUNTS: Final = (10, 50, 150, 470)
SERVER_COUNTS: Final = (500, 1500, 5200)
MEMBER_COUNTS: Final = (8, 32, 94, 188)
CALL_COUNTS: Final = (1, 5, 20, 50)
HOST: Final = "127.0.0.1"
HITS_PER_SHARD: Final = 10


@attrs.frozen(kw_only=True)
class Point:
    """One measured cost; `unit` is the unit of `cost`."""

    series: str
    size: int
    cost: float
    unit: str


@attrs.frozen(kw_only=True)
class Slope:
    """Least-squares line of one series: slope `per`, intercept `base`, and R squared `fit`."""

    series: str
    unit: str
    per: float
    base: float
    fit: float


def fit_slopes(points: Sequence[Point]) -> list[Slope]:
    """Return the least-squares line of each series."""
    fitted: list[Slope] = []
    for series in dict.fromkeys(point.series for point in points):
        series_points = [point for point in points if point.series == series]
        sizes, costs = [p.size for p in series_points], [p.cost for p in series_points]
        per, base = statistics.linear_regression(sizes, costs)
        fit = statistics.correlation(sizes, costs) ** 2 if len(set(costs)) > 1 else 1.0
        fitted.append(Slope(series=series, unit=series_points[0].unit, per=per, base=base, fit=fit))
    return fitted


def measure_points() -> Iterator[Point]:
    """Measure every series."""
    yield from asyncio.run(_entry_points())
    yield from asyncio.run(_worker_points())
    yield from asyncio.run(_http_points())
    yield from _merge_points()
    yield from _configuration_points()
    yield from _owner_points()


async def _entry_points() -> list[Point]:
    """Measure the CPU time of a search at an entry by the number of shards."""
    points = []
    for shards in SHARD_COUNTS:
        owners = InstantOwners(hits=HITS_PER_SHARD)
        entry, state = instant_entry(owners, shards=shards)
        entry.adopt(state)
        searches = max(20, 4000 // shards)
        for number in range(10):
            await entry.search(_request(number))
        started = time.process_time()
        for number in range(searches):
            await entry.search(_request(number))
        cost = (time.process_time() - started) / searches * 1e6
        points.append(Point(series="entry, a search by shards", size=shards, cost=cost, unit="us"))
    return points


def _request(number: int) -> SearchRequest:
    """Return one of twenty distinct searches."""
    query = f"q{number % 20}"
    return SearchRequest(
        request_id=str(number), service="all", caller="c", query=query, limit=HITS_PER_SHARD
    )


async def _worker_points() -> list[Point]:
    """Measure the CPU time of a server worker by the number of attempts."""
    points = []
    for count in (500, 1000, 2000):
        backend = InstantBackend()
        worker, submit = instant_worker(backend)
        started = time.process_time()
        for number in range(count):
            done = submit(
                Attempt(id=str(number), request_id="r", server="s", service="all", shard="0")
            )
            await done
        cost = (time.process_time() - started) * 1e6
        await worker.close()
        points.append(Point(series="owner, attempts", size=count, cost=cost, unit="us"))
    return points


def _merge_points() -> Iterator[Point]:
    """Measure decoding and merging at the entry, with and without earlier merging at the owner."""
    rng = random.Random(1)
    for shards in SHARD_COUNTS:
        replies = [make_reply(str(n), HITS_PER_SHARD, rng) for n in range(shards)]
        for name, group in (("entry, replies as they come", 1), ("entry, merged at the owner", 5)):
            merged = [
                _merge_replies(replies[start : start + group]) for start in range(0, shards, group)
            ]
            packed = [codec.to_msgpack(reply) for reply in merged]
            rounds = max(5, 2000 // shards)
            started = time.process_time()
            for _ in range(rounds):
                decoded_replies = [codec.from_msgpack(data, AttemptReply) for data in packed]
                merge_hits(
                    (reply.hits for reply in decoded_replies), offset=0, limit=HITS_PER_SHARD
                )
            cost = (time.process_time() - started) / rounds * 1e6
            yield Point(series=name, size=shards, cost=cost, unit="us")


def _merge_replies(replies: Sequence[AttemptReply]) -> AttemptReply:
    page = merge_hits((reply.hits for reply in replies), offset=0, limit=HITS_PER_SHARD)
    return attrs.evolve(replies[0], hits=page.hits)


def _configuration_points() -> Iterator[Point]:
    """Measure size and parsing of the whole configuration by the number of backend servers."""
    for servers in SERVER_COUNTS:
        configuration = make_configuration(servers)
        text = canonical(configuration)
        yield Point(
            series="configuration, packed",
            size=servers,
            cost=len(codec.to_msgpack(configuration)),
            unit="bytes",
        )
        started = time.process_time()
        parse_configuration(text)
        cost = (time.process_time() - started) * 1000
        yield Point(series="configuration, parse and check", size=servers, cost=cost, unit="ms")
        packed = codec.to_msgpack(configuration)
        tracemalloc.start()
        decoded = codec.from_msgpack(packed, type(configuration))
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        yield Point(
            series="configuration, memory", size=len(decoded.servers), cost=size, unit="bytes"
        )


def _owner_points() -> Iterator[Point]:
    """Measure the CPU time to compute the owners of 1,040 servers of a data centre by view size."""
    configuration = make_configuration(1040, data_centres=1)
    for members in MEMBER_COUNTS:
        state = ClusterState(configuration=configuration, views=(make_view(members),))
        table = OwnerTable()
        started = time.process_time()
        table.adopt(state.views)
        for server in configuration.servers:
            table.owner(server)
        cost = (time.process_time() - started) * 1000
        yield Point(series="owners after a view change", size=members, cost=cost, unit="ms")


async def _http_points() -> list[Point]:
    """Measure the CPU time of an HTTP round trip by the number of calls in a body.

    The time includes both sides, with encoding and decoding of the bodies.
    """
    replies = [
        make_reply(str(n), HITS_PER_SHARD, random.Random(1)) for n in range(max(CALL_COUNTS))
    ]

    async def handle(request: HttpRequest) -> HttpResponse:
        calls = codec.from_json(request.body, tuple[Attempt, ...])
        return json_response(200, codec.to_json(replies[: len(calls)]))

    points = []
    async with AsyncExitStack() as stack:
        server = await stack.enter_async_context(await serve(handle, host=HOST, port=0))
        client = await stack.enter_async_context(HttpClient(HOST, server.port))
        for calls in CALL_COUNTS:
            cost = await _round_trip(client, calls)
            points.append(Point(series="HTTP, calls in a body", size=calls, cost=cost, unit="us"))
    return points


async def _round_trip(client: HttpClient, calls: int) -> float:
    attempts = [
        Attempt(id=str(n), request_id="r", server="s", service="all", shard=str(n), query="junmai")
        for n in range(calls)
    ]
    rounds = max(50, 1000 // calls)
    started = time.process_time()
    for _ in range(rounds):
        response = await client.post("/search", body=codec.to_json(attempts))
        codec.from_json(response.body, tuple[AttemptReply, ...])
    return (time.process_time() - started) / rounds * 1e6
