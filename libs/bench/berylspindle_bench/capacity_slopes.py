"""Measure how the cost of each part grows, for the page on capacity.

Terms:
  point   one measured cost at one size
  slope   the cost of one more of what the size counts, by a least-squares line through the points
  base    what the line says at size zero

Flow: each function below runs real code of one part in this process at three sizes or more and
yields points of processor time or bytes; `slopes` fits a line to each series. Processor time is
read from the process's own clock, so that other work on the machine changes it little.
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
    make_view,
    reply_to,
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

SHARDS: Final = (10, 50, 150, 470)
SERVERS: Final = (500, 1500, 5200)
MEMBERS: Final = (8, 32, 94, 188)
CALLS: Final = (1, 5, 20, 50)
HOST: Final = "127.0.0.1"
HITS: Final = 10


@attrs.frozen(kw_only=True)
class Point:
    """One measured cost; `unit` names what `cost` is in."""

    series: str
    size: int
    cost: float
    unit: str


@attrs.frozen(kw_only=True)
class Slope:
    """The line through the points of one series; `fit` is the share of variance it explains."""

    series: str
    unit: str
    per: float
    base: float
    fit: float


def slopes(points: Sequence[Point]) -> list[Slope]:
    """Fit a line to each series."""
    lines: list[Slope] = []
    for series in dict.fromkeys(point.series for point in points):
        mine = [point for point in points if point.series == series]
        sizes, costs = [p.size for p in mine], [p.cost for p in mine]
        per, base = statistics.linear_regression(sizes, costs)
        fit = statistics.correlation(sizes, costs) ** 2 if len(set(costs)) > 1 else 1.0
        lines.append(Slope(series=series, unit=mine[0].unit, per=per, base=base, fit=fit))
    return lines


def all_points() -> Iterator[Point]:
    """Measure every series."""
    yield from asyncio.run(_entry_points())
    yield from asyncio.run(_worker_points())
    yield from asyncio.run(_http_points())
    yield from _merge_points()
    yield from _configuration_points()
    yield from _owner_points()


async def _entry_points() -> list[Point]:
    """Time one search at an entry whose owners answer at once, by the number of shards."""
    points = []
    for shards in SHARDS:
        owners = InstantOwners(hits=HITS)
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
    """Return one of twenty different searches."""
    query = f"q{number % 20}"
    return SearchRequest(request_id=str(number), service="all", caller="c", query=query, limit=HITS)


async def _worker_points() -> list[Point]:
    """Time attempts at a worker whose backend server answers at once, by attempts."""
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
    """Time what the entry does with replies, each shard's own or merged by the owner before."""
    draw = random.Random(1)
    for shards in SHARDS:
        replies = [reply_to(str(n), HITS, draw) for n in range(shards)]
        for name, group in (("entry, replies as they come", 1), ("entry, merged at the owner", 5)):
            merged = [_merged(replies[start : start + group]) for start in range(0, shards, group)]
            packed = [codec.to_msgpack(one) for one in merged]
            rounds = max(5, 2000 // shards)
            started = time.process_time()
            for _ in range(rounds):
                read = [codec.from_msgpack(data, AttemptReply) for data in packed]
                merge_hits((one.hits for one in read), offset=0, limit=HITS)
            cost = (time.process_time() - started) / rounds * 1e6
            yield Point(series=name, size=shards, cost=cost, unit="us")


def _merged(replies: Sequence[AttemptReply]) -> AttemptReply:
    page = merge_hits((reply.hits for reply in replies), offset=0, limit=HITS)
    return attrs.evolve(replies[0], hits=page.hits)


def _configuration_points() -> Iterator[Point]:
    """Time and size of the whole configuration, by backend servers."""
    for servers in SERVERS:
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
        kept = codec.from_msgpack(packed, type(configuration))
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        yield Point(series="configuration, memory", size=len(kept.servers), cost=size, unit="bytes")


def _owner_points() -> Iterator[Point]:
    """Time for all owners of one data centre's 1,040 servers, by members of its view."""
    configuration = make_configuration(1040, data_centres=1)
    for members in MEMBERS:
        state = ClusterState(configuration=configuration, views=(make_view(members),))
        table = OwnerTable()
        started = time.process_time()
        table.adopt(state.views)
        for server in configuration.servers:
            table.owner(server)
        cost = (time.process_time() - started) * 1000
        yield Point(series="owners after a view change", size=members, cost=cost, unit="ms")


async def _http_points() -> list[Point]:
    """Time one HTTP round trip, both sides and the decoding, by the calls that share its body."""
    replies = [reply_to(str(n), HITS, random.Random(1)) for n in range(max(CALLS))]

    async def answer(request: HttpRequest) -> HttpResponse:
        calls = codec.from_json(request.body, tuple[Attempt, ...])
        return json_response(200, codec.to_json(replies[: len(calls)]))

    points = []
    async with AsyncExitStack() as stack:
        server = await stack.enter_async_context(await serve(answer, host=HOST, port=0))
        client = await stack.enter_async_context(HttpClient(HOST, server.port))
        for calls in CALLS:
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
