"""Measure the control plane over real sockets: how fast it spreads, and what it costs a node.

Terms:
  node      one control plane with its own peers' server, links, datagram port and store client
  at rest   all nodes are members and nothing changes
  in force  a node has adopted the revision that the store accepted

Flow: `measure` starts the platform's stand-in and the nodes in this process, waits until all are
members, measures a span at rest, then accepts one configuration after the other and notes when each
node has it. Bytes are those of datagrams with 28 bytes of IP and UDP headers each, both directions;
processor time is the whole process's, the stand-in included, divided by the nodes. It is shared by
all nodes of one loop, so the times to in-force hold the queues of one core as well.
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
CENTRES: Final = ("a", "b", "c", "d")
SERVERS_A_NODE: Final = 6
HEADER_BYTES: Final = 28
# Nodes that start at once: one core carries them all, and each change of a view reaches each node.
GROUP: Final = 16
KEY: Final = b"a key of the measurement"
# Ports below the range from which the kernel takes those of outgoing connections.
FIRST_PORT: Final = 26_000


@attrs.frozen(kw_only=True)
class ControlRates:
    """What one size cost; bytes and messages a second and node, both directions together."""

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
    calls_a_change: float
    bytes_a_change: float
    cpu_ms_a_change: float


class _Node:
    """One control plane with all it needs."""

    def __init__(self, vm: Vm, on_revision: asyncio.Queue[tuple[str, int, float]]) -> None:
        self.vm: Final = vm
        self.plane: ControlPlane
        self.port: DatagramPort
        self._revisions: Final = on_revision
        self._known = 0
        self._stack: Final = AsyncExitStack()

    async def start(self, platform: PlatformStandin, seeds: Sequence[tuple[str, int]]) -> None:
        """Open the sockets and start the plane."""
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
        """Close the plane, then its sockets."""
        await self._stack.aclose()

    def _on_message(self, data: bytes, source: tuple[str, int]) -> None:
        self.plane.on_datagram(data, source)

    def _on_state(self, state: ClusterState) -> None:
        revision = state.configuration.revision if state.configuration is not None else 0
        if revision > self._known:
            self._known = revision
            self._revisions.put_nowait((self.vm.id, revision, time.monotonic()))


class _NoBatches(BatchHandler):
    """Take no work; the measurement sends none."""

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


async def measure(nodes: int, *, rest: float = 15.0, changes: int = 20) -> ControlRates:
    """Return what a fleet of this size costs, at rest and for each change."""
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(await start_platform())
        store = await stack.enter_async_context(open_store("127.0.0.1", platform.port))
        configuration = _configuration(nodes)
        stored = await store.compare_and_swap(CONFIGURATION_KEY, to_stored(configuration), expect=0)
        revisions: asyncio.Queue[tuple[str, int, float]] = asyncio.Queue()
        fleet = [_Node(vm, revisions) for vm in _vms(nodes)]
        began = time.monotonic()
        for first_of_group in range(0, nodes, GROUP):
            group = fleet[first_of_group : first_of_group + GROUP]
            for node in group:
                stack.push_async_callback(node.close)
            seeds = [("127.0.0.1", FIRST_PORT)]
            await asyncio.gather(*(node.start(platform, seeds) for node in group))
            await _all_known(fleet[: first_of_group + GROUP])
        joined = time.monotonic() - began
        await asyncio.sleep(3.0)
        first = _reading(fleet, platform)
        await asyncio.sleep(rest)
        second = _reading(fleet, platform)
        watches = platform.counts.waiting_watches
        delays = await _change(store, stored, configuration, revisions, nodes, changes)
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
        # The write itself is not counted, only what the nodes add to it.
        calls_a_change=(third.calls - second.calls - calls * busy) / changes - 1,
        bytes_a_change=extra_bytes / changes / nodes,
        cpu_ms_a_change=1000 * extra_cpu / changes / nodes,
    )


async def _change(
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


async def _all_known(fleet: Sequence[_Node]) -> None:
    wanted = {node.vm.id for node in fleet}
    while True:
        seen = ({vm.id for view in node.plane.state.views for vm in view.members} for node in fleet)
        if all(known == wanted for known in seen):
            return
        await asyncio.sleep(0.1)


def _reading(fleet: Sequence[_Node], platform: PlatformStandin) -> _Reading:
    counters = [node.port.counters for node in fleet]
    messages = sum(c.sent + c.received for c in counters)
    size = sum(c.sent_bytes + c.received_bytes for c in counters) + HEADER_BYTES * messages
    counts = platform.counts
    return _Reading(
        time.monotonic(), messages, size, time.process_time(), counts.reads + counts.writes
    )


def _vms(nodes: int) -> list[Vm]:
    return [
        Vm(
            id=f"vm-{number:04d}",
            data_centre=CENTRES[number % len(CENTRES)],
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
            data_centre=CENTRES[number % len(CENTRES)],
            host="127.0.0.1",
            port=10_000 + number,
            slots=3,
            connections=30,
        )
        for number in range(SERVERS_A_NODE * nodes)
    )
    return Configuration(
        revision=1,
        deployment="measured",
        data_centres=tuple(DataCentre(name=name, region="n") for name in CENTRES),
        services=(Service(name="desk", epoch=1, shards=shards),),
        servers=servers,
    )


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the growth for each node, by the least-squares line through the points."""
    if len(points) < 2:
        return 0.0
    return statistics.linear_regression(
        [size for size, _ in points], [value for _, value in points]
    ).slope


def control_table(rates: Sequence[ControlRates]) -> Table:
    """Return the table of all sizes, with the slope of each row."""
    table = Table(title="control plane")
    for heading in ("measure", *(f"{rate.nodes} nodes" for rate in rates), "slope a node"):
        table.add_column(heading, justify="right")
    for name, field, scale, digits in _ROWS:
        values = [scale * float(getattr(rate, field)) for rate in rates]
        grows = slope([(rate.nodes, value) for rate, value in zip(rates, values, strict=True)])
        table.add_row(name, *(f"{value:.{digits}f}" for value in values), f"{grows:+.4f}")
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
    ("store calls a change", "calls_a_change", 1, 1),
    ("bytes a change and node", "bytes_a_change", 1, 0),
    ("CPU ms a change and node", "cpu_ms_a_change", 1, 2),
)


async def run_control_rates(sizes: Sequence[int] = SIZES) -> list[ControlRates]:
    """Measure each size in turn."""
    return [await measure(nodes) for nodes in sizes]


def _allow_sockets() -> None:
    # Many nodes with links among them hold some thousands of sockets in this one process.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


def main() -> None:
    """Measure the sizes on the command line, or the usual ones, and print the table."""
    _allow_sockets()
    sizes = tuple(int(word) for word in sys.argv[1:]) or SIZES
    Console(width=120).print(control_table(asyncio.run(run_control_rates(sizes))))


if __name__ == "__main__":
    main()
