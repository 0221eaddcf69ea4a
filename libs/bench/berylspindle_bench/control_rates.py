"""Benchmark the control plane over real sockets: propagation delay and cost per node.

Terms:
  node      a control plane with its own peer server, links, datagram port and store client
  at rest   all nodes are members and nothing changes
  in force  a node has adopted the revision that the store accepted

Flow: `measure_cluster` starts the platform's stand-in and the nodes in this process, waits until
all are members, measures an interval at rest, then writes one configuration after the other and
records when each node has adopted it. Bytes are those of datagrams in both directions, each with 28
bytes of IP and UDP headers. CPU time is that of the whole process with the stand-in, divided by the
number of nodes. All nodes share one event loop, so the propagation delays include queueing for one
core.
"""

from __future__ import annotations

import asyncio
import resource
import statistics
import sys
import time
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from typing import Final

import attrs
from rich.console import Console
from rich.table import Table

from berylspindle_controlplane.control_plane import ControlOptions, ControlPlane
from berylspindle_controlplane.documents import CONFIGURATION_KEY
from berylspindle_controlplane.wire_transport import WireTransport
from berylspindle_model.configuration import Configuration, DataCentre, Server, Service
from berylspindle_model.configuration_codec import to_stored
from berylspindle_model.messages import AttemptBatch, AttemptReply
from berylspindle_model.topology import ClusterState, Vm
from berylspindle_standins.platform_standin import PlatformStandin, start_platform
from berylspindle_store.http_store import HttpStore, open_store
from berylspindle_store.store import StoredValue
from berylspindle_wire.datagrams import DatagramPort, open_datagrams
from berylspindle_wire.owner_link import BatchHandler
from berylspindle_wire.peer_link import PeerLinks
from berylspindle_wire.peer_server import PeerServer

SIZES: Final = (8, 32, 128)
DATA_CENTRES: Final = ("a", "b", "c", "d")
SERVERS_PER_NODE: Final = 6
HEADER_BYTES: Final = 28
# Limit on nodes that start together: all run on one core, and each view change goes to every node.
START_GROUP_SIZE: Final = 16
KEY: Final = b"a key of the measurement"
# Below the ephemeral port range of the kernel, so that no outgoing connection takes a port.
FIRST_PORT: Final = 26_000


@attrs.frozen(kw_only=True)
class ControlRates:
    """Costs at one cluster size; messages and bytes are per second and node, in both directions."""

    nodes: int
    joined_seconds: float
    messages: float
    bytes: float
    cpu_share: float
    calls_at_rest: float
    watches: int
    in_force_p50: float
    in_force_p99: float
    in_force_worst: float
    calls_per_change: float
    bytes_per_change: float
    cpu_ms_per_change: float


class _Node:
    """A control plane with its sockets and its store client."""

    def __init__(self, vm: Vm, on_revision: asyncio.Queue[tuple[str, int, float]]) -> None:
        self.vm: Final = vm
        self.plane: ControlPlane
        self.port: DatagramPort
        self._revisions: Final = on_revision
        self._newest_revision = 0
        self._stack: Final = AsyncExitStack()

    async def start(self, platform: PlatformStandin, seeds: Sequence[tuple[str, int]]) -> None:
        """Open the sockets and start the control plane."""
        links = PeerLinks(self.vm.id, key=KEY)
        self._stack.push_async_callback(links.close)
        self.port = await open_datagrams(
            self.vm.host, self.vm.peer_port, key=KEY, on_message=self._on_message
        )
        self._stack.callback(self.port.close)
        store = await self._stack.enter_async_context(open_store("127.0.0.1", platform.port))
        self.plane = ControlPlane(
            ControlOptions(),
            local_vm=self.vm,
            store=store,
            vm_list=None,
            seeds=seeds,
            transport=WireTransport(links, self.port.send),
            on_state=self._on_state,
            on_event=lambda kind, fields: None,
        )
        server = PeerServer(
            self.vm.host,
            self.vm.peer_port,
            batch_handler=_NoBatches(),
            control=self.plane.peer_handlers,
            key=KEY,
        )
        await server.start()
        self._stack.push_async_callback(server.close)
        self._stack.push_async_callback(self.plane.close)
        await self.plane.start()

    async def close(self) -> None:
        """Close the control plane, then its sockets."""
        await self._stack.aclose()

    def _on_message(self, data: bytes, source: tuple[str, int]) -> None:
        self.plane.on_datagram(data, source)

    def _on_state(self, state: ClusterState) -> None:
        revision = state.configuration.revision if state.configuration is not None else 0
        if revision > self._newest_revision:
            self._newest_revision = revision
            self._revisions.put_nowait((self.vm.id, revision, time.monotonic()))


class _NoBatches(BatchHandler):
    """Batch handler that is never called: the benchmark sends no batches."""

    async def run(self, batch: AttemptBatch, reply: Callable[[AttemptReply], None]) -> None:
        raise NotImplementedError

    def cancel(self, attempts: Sequence[str]) -> None:
        raise NotImplementedError


@attrs.frozen
class _Reading:
    at: float
    messages: int
    size: int
    cpu: float
    calls: int


async def measure_cluster(nodes: int, *, rest: float = 15.0, changes: int = 20) -> ControlRates:
    """Return the costs of a cluster of this size at rest and for each configuration change.

    `rest` is the length of the interval at rest, in seconds.
    """
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(await start_platform())
        store = await stack.enter_async_context(open_store("127.0.0.1", platform.port))
        configuration = _configuration(nodes)
        stored = await store.compare_and_swap(CONFIGURATION_KEY, to_stored(configuration), expect=0)
        revisions: asyncio.Queue[tuple[str, int, float]] = asyncio.Queue()
        fleet = [_Node(vm, revisions) for vm in _vms(nodes)]
        started = time.monotonic()
        for first_of_group in range(0, nodes, START_GROUP_SIZE):
            group = fleet[first_of_group : first_of_group + START_GROUP_SIZE]
            for node in group:
                stack.push_async_callback(node.close)
            seeds = [("127.0.0.1", FIRST_PORT)]
            await asyncio.gather(*(node.start(platform, seeds) for node in group))
            await _wait_until_all_joined(fleet[: first_of_group + START_GROUP_SIZE])
        joined = time.monotonic() - started
        await asyncio.sleep(3.0)
        first = _reading(fleet, platform)
        await asyncio.sleep(rest)
        second = _reading(fleet, platform)
        watches = platform.counts.waiting_watches
        delays = await _apply_changes(store, stored, configuration, revisions, nodes, changes)
        third = _reading(fleet, platform)
        return _rates(nodes, joined, watches, delays, (first, second, third), changes)


def _rates(
    nodes: int,
    joined: float,
    watches: int,
    delays: list[float],
    readings: tuple[_Reading, _Reading, _Reading],
    changes: int,
) -> ControlRates:
    first, second, third = readings
    rest, busy = second.at - first.at, third.at - second.at
    messages, size = second.messages - first.messages, second.size - first.size
    cpu = (second.cpu - first.cpu) / rest
    calls = (second.calls - first.calls) / rest
    ranked = sorted(delays)
    extra_bytes = third.size - second.size - size / rest * busy
    extra_cpu = third.cpu - second.cpu - cpu * busy
    return ControlRates(
        nodes=nodes,
        joined_seconds=joined,
        messages=messages / rest / nodes,
        bytes=size / rest / nodes,
        cpu_share=cpu / nodes,
        calls_at_rest=calls,
        watches=watches,
        in_force_p50=ranked[len(ranked) // 2],
        in_force_p99=ranked[int(len(ranked) * 0.99)],
        in_force_worst=ranked[-1],
        # Minus the write of the change, since only the calls of the nodes count.
        calls_per_change=(third.calls - second.calls - calls * busy) / changes - 1,
        bytes_per_change=extra_bytes / changes / nodes,
        cpu_ms_per_change=1000 * extra_cpu / changes / nodes,
    )


async def _apply_changes(
    store: HttpStore,
    stored: StoredValue,
    configuration: Configuration,
    revisions: asyncio.Queue[tuple[str, int, float]],
    nodes: int,
    changes: int,
) -> list[float]:
    while not revisions.empty():
        revisions.get_nowait()
    delays: list[float] = []
    for step in range(changes):
        server = attrs.evolve(configuration.servers[0], connections=31 + step)
        configuration = attrs.evolve(
            configuration,
            revision=configuration.revision + 1,
            servers=(server, *configuration.servers[1:]),
        )
        value = to_stored(configuration)
        stored = await store.compare_and_swap(CONFIGURATION_KEY, value, expect=stored.revision)
        accepted = time.monotonic()
        for _ in range(nodes):
            _, _, at = await asyncio.wait_for(revisions.get(), 30.0)
            delays.append(max(0.0, at - accepted))
        await asyncio.sleep(0.5)
    return delays


async def _wait_until_all_joined(fleet: Sequence[_Node]) -> None:
    expected = {node.vm.id for node in fleet}
    while True:
        members_by_node = (
            {vm.id for view in node.plane.state.views for vm in view.members} for node in fleet
        )
        if all(members == expected for members in members_by_node):
            return
        await asyncio.sleep(0.1)


def _reading(fleet: Sequence[_Node], platform: PlatformStandin) -> _Reading:
    counters = [node.port.counters for node in fleet]
    messages = sum(counter.sent + counter.received for counter in counters)
    size = (
        sum(counter.sent_bytes + counter.received_bytes for counter in counters)
        + HEADER_BYTES * messages
    )
    counts = platform.counts
    return _Reading(
        time.monotonic(), messages, size, time.process_time(), counts.reads + counts.writes
    )


def _vms(nodes: int) -> list[Vm]:
    return [
        Vm(
            id=f"vm-{number:04d}",
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            host="127.0.0.1",
            peer_port=FIRST_PORT + number,
        )
        for number in range(nodes)
    ]


def _configuration(nodes: int) -> Configuration:
    shards = tuple(str(shard) for shard in range(2 * nodes))
    servers = tuple(
        Server(
            id=f"server-{number:05d}",
            service="desk",
            shard=shards[number % len(shards)],
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            host="127.0.0.1",
            port=10_000 + number,
            slots=3,
            connections=30,
        )
        for number in range(SERVERS_PER_NODE * nodes)
    )
    return Configuration(
        revision=1,
        deployment="measured",
        data_centres=tuple(DataCentre(name=name, region="n") for name in DATA_CENTRES),
        services=(Service(name="desk", epoch=1, shards=shards),),
        servers=servers,
    )


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line through (nodes, value) points, 0 for one point."""
    if len(points) < 2:
        return 0.0
    return statistics.linear_regression(
        [size for size, _ in points], [value for _, value in points]
    ).slope


def control_table(rates: Sequence[ControlRates]) -> Table:
    """Return a table with one column per size and the slope of each row."""
    table = Table(title="control plane")
    for heading in ("measure", *(f"{rate.nodes} nodes" for rate in rates), "slope a node"):
        table.add_column(heading, justify="right")
    for name, field, scale, digits in _ROWS:
        values = [scale * float(getattr(rate, field)) for rate in rates]
        growth = slope([(rate.nodes, value) for rate, value in zip(rates, values, strict=True)])
        table.add_row(name, *(f"{value:.{digits}f}" for value in values), f"{growth:+.4f}")
    return table


_ROWS: Final = (
    ("all joined, s", "joined_seconds", 1, 1),
    ("messages/s a node", "messages", 1, 1),
    ("bytes/s a node", "bytes", 1, 0),
    ("CPU a node, % of a core", "cpu_share", 100, 2),
    ("store calls/s at rest", "calls_at_rest", 1, 2),
    ("waiting watches", "watches", 1, 0),
    ("in force p50, ms", "in_force_p50", 1000, 0),
    ("in force p99, ms", "in_force_p99", 1000, 0),
    ("in force worst, ms", "in_force_worst", 1000, 0),
    ("store calls a change", "calls_per_change", 1, 1),
    ("bytes a change and node", "bytes_per_change", 1, 0),
    ("CPU ms a change and node", "cpu_ms_per_change", 1, 2),
)


async def run_control_rates(sizes: Sequence[int] = SIZES) -> list[ControlRates]:
    """Measure each size in turn."""
    return [await measure_cluster(nodes) for nodes in sizes]


def _raise_file_limit() -> None:
    # The links among many nodes need several thousand sockets in this process.
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))


def main() -> None:
    """Measure the sizes given on the command line, by default `SIZES`, and print the table."""
    _raise_file_limit()
    sizes = tuple(int(word) for word in sys.argv[1:]) or SIZES
    Console(width=120).print(control_table(asyncio.run(run_control_rates(sizes))))


if __name__ == "__main__":
    main()
