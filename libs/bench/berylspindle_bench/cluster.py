"""Run a deployment as processes on loopback: stand-ins and daemons.

Terms:
  plan      the data centre and the ports of each daemon, and the ports of the stand-ins
  process   one child process with its own log file

Flow: `start_cluster` reserves free ports. Entering the `Cluster` starts the stand-in of the
platform and one process per data centre with its backend servers, writes the configuration to the
store, starts the daemons and waits until all are ready. Leaving it stops every process that it
started.
"""

from __future__ import annotations

import asyncio
import secrets
import socket
import time
from collections.abc import Mapping, Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Final, Self

import attrs

from berylspindle_bench.process import Process, start_process
from berylspindle_client.addresses import Address
from berylspindle_controlplane.documents import CONFIGURATION_KEY
from berylspindle_model import caller_protocol, codec
from berylspindle_model.configuration import Configuration, Policy
from berylspindle_model.configuration_codec import canonical
from berylspindle_standins.backend_faults import FaultChange
from berylspindle_standins.backend_standin import CountsDocument, ServerCounts
from berylspindle_standins.deployments import DEPLOYMENTS
from berylspindle_standins.platform_faults import PlatformChange, PlatformCounts
from berylspindle_store.http_store import open_store
from berylspindle_store.routes import VmDocument, VmListDocument
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http_client import HttpFailure

HOST: Final = "127.0.0.1"
READY_TIMEOUT_S: Final = 20.0
PORTS_PER_DAEMON: Final = 3
_PORT_BLOCK_SIZE: Final = 400


@attrs.frozen(kw_only=True)
class DaemonPlan:
    """The data centre and ports of one daemon."""

    vm: str
    data_centre: str
    callers_port: int
    admin_port: int
    peer_port: int

    @property
    def callers_address(self) -> Address:
        """Return the address at which the daemon serves callers."""
        return Address(host=HOST, port=self.callers_port)

    @property
    def admin_address(self) -> Address:
        """Return the address for operators."""
        return Address(host=HOST, port=self.admin_port)


@attrs.frozen(kw_only=True)
class ClusterPlan:
    """The ports of one deployment.

    Backend servers of one data centre share a process, with one port for faults and counts.
    `spare_port` is the first of 100 unused ports. `reservation` is bound to the last port of the
    block for the lifetime of the cluster. Without it, two clusters that start at the same time
    could select the same block, and one would write its configuration to the store of the other.
    """

    deployment: str
    store_port: int
    store_admin_port: int
    backend_port: int
    backend_admin_ports: Mapping[str, int]
    daemons: tuple[DaemonPlan, ...]
    spare_port: int
    reservation: socket.socket
    policy: Policy | None = None

    @property
    def configuration(self) -> Configuration:
        """Return the initial configuration with the ports of this plan."""
        configuration = DEPLOYMENTS[self.deployment](self.backend_port)
        if self.policy is None:
            return configuration
        services = tuple(attrs.evolve(s, policy=self.policy) for s in configuration.services)
        return attrs.evolve(configuration, services=services)


class Cluster:
    """A deployment as processes; an asynchronous context manager that starts and stops it."""

    def __init__(
        self,
        plan: ClusterPlan,
        directory: Path,
        *,
        settings: Mapping[str, str],
        backend_flags: Sequence[str],
    ) -> None:
        self.plan: Final = plan
        self._settings: Final = dict(settings)
        self._backend_flags: Final = tuple(backend_flags)
        self.directory: Final = directory
        self.token: Final = secrets.token_hex(16)
        self._key: Final = secrets.token_hex(16)
        self._stack: Final = AsyncExitStack()
        self.platform: Process
        self.backends: Final[dict[str, Process]] = {}
        self.daemons: Final[dict[str, Process]] = {}
        self.baselines: Final[dict[str, Process]] = {}

    async def __aenter__(self) -> Self:
        self._stack.callback(self.plan.reservation.close)
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop_daemons()
        await self._stack.aclose()

    @property
    def processes(self) -> tuple[Process, ...]:
        """Return the processes of the platform, the backend servers and the daemons."""
        return (self.platform, *self.backends.values(), *self.daemons.values())

    async def start_daemon(self, plan: DaemonPlan) -> Process:
        """Start one daemon. A restarted daemon keeps its ports and gets a new VM id."""
        cluster_plan = self.plan
        seeds = ",".join(
            f"{HOST}:{other.peer_port}" for other in cluster_plan.daemons if other != plan
        )
        environment = {
            "BERYLSPINDLE_DATA_CENTRE": plan.data_centre,
            "BERYLSPINDLE_STORE_HOST": HOST,
            "BERYLSPINDLE_STORE_PORT": str(cluster_plan.store_port),
            "BERYLSPINDLE_SEEDS": seeds,
            "BERYLSPINDLE_PEER_KEY": self._key,
            "BERYLSPINDLE_ADMIN_TOKEN": self.token,
            **self._settings,
        }
        flags = [
            f"--vm-id={plan.vm}-{secrets.token_hex(2)}",
            f"--listen-port={plan.callers_port}",
            f"--admin-port={plan.admin_port}",
            f"--peer-port={plan.peer_port}",
        ]
        process = await self._spawn(plan.vm, "berylspindled", flags, environment)
        self.daemons[plan.vm] = process
        return process

    async def start_baselines(self, policy: str) -> tuple[Address, ...]:
        """Start one VM of a baseline per daemon; return their addresses for callers."""
        count = len(self.plan.daemons)
        addresses = []
        for number in range(count):
            port = self.plan.spare_port + number
            flags = [
                "baseline",
                f"--policy={policy}",
                f"--listen-port={port}",
                f"--store-port={self.plan.store_port}",
                f"--vms={count}",
                f"--seed={number + 1}",
            ]
            name = f"{policy}-{number + 1}"
            self.baselines[name] = await self._spawn(name, "berylspindle-bench", flags, {})
            addresses.append(Address(host=HOST, port=port))
        for address in addresses:
            await self._wait_ready(address, READY_TIMEOUT_S)
        return tuple(addresses)

    async def stop_baselines(self) -> None:
        """Stop all VMs of baselines."""
        await asyncio.gather(*(process.stop() for process in self.baselines.values()))
        self.baselines.clear()

    async def wait_ready(self, plan: DaemonPlan, timeout: float = READY_TIMEOUT_S) -> None:
        """Wait until a daemon reports ready; raise TimeoutError after `timeout` seconds."""
        await self._wait_ready(plan.callers_address, timeout)

    async def _wait_ready(self, address: Address, timeout: float) -> None:
        deadline = time.monotonic() + timeout
        async with HttpClient(HOST, address.port, connect_timeout=0.2) as client:
            while time.monotonic() < deadline:
                try:
                    response = await client.get(caller_protocol.READY_PATH, timeout=0.5)
                    if response.status == 200:
                        return
                except HttpFailure:
                    pass
                await asyncio.sleep(0.05)
        raise TimeoutError(f"{address} was not ready within {timeout} s")

    async def stop_daemons(self) -> dict[str, int]:
        """Stop all daemons concurrently with SIGTERM; return their exit codes by VM."""
        codes = await asyncio.gather(*(process.stop() for process in self.daemons.values()))
        return dict(zip(self.daemons, codes, strict=True))

    async def backend_counts(self) -> dict[str, ServerCounts]:
        """Return the counts of each backend server by its id."""
        counts: dict[str, ServerCounts] = {}
        for port in self.plan.backend_admin_ports.values():
            document = codec.from_json(await self._get(port, "/counts"), CountsDocument)
            counts.update({one.server: one for one in document.servers})
        return counts

    async def platform_counts(self) -> PlatformCounts:
        """Return the counts of the platform's stand-in."""
        body = await self._get(self.plan.store_admin_port, "/counts")
        return codec.from_json(body, PlatformCounts)

    async def change_backends(self, change: FaultChange) -> None:
        """Change the injected faults of backend servers."""
        for port in self.plan.backend_admin_ports.values():
            await self._put(port, change)

    async def change_platform(self, change: PlatformChange) -> None:
        """Change the injected faults of the platform."""
        await self._put(self.plan.store_admin_port, change)

    async def _start(self) -> None:
        self.directory.mkdir(parents=True, exist_ok=True)
        plan = self.plan
        vms = VmListDocument(vms=tuple(_vm_document(daemon) for daemon in plan.daemons))
        vms_file = self.directory / "vms.json"
        vms_file.write_bytes(codec.to_json(vms))
        self.platform = await self._spawn(
            "platform",
            "berylspindle-platform-standin",
            [
                f"--port={plan.store_port}",
                f"--admin-port={plan.store_admin_port}",
                f"--vms={vms_file}",
            ],
            {},
        )
        for data_centre, port in plan.backend_admin_ports.items():
            flags = [
                f"--deployment={plan.deployment}",
                f"--base-port={plan.backend_port}",
                f"--admin-port={port}",
                f"--data-centre={data_centre}",
                *self._backend_flags,
            ]
            name = f"backends-{data_centre}"
            program = "berylspindle-backend-standin"
            self.backends[data_centre] = await self._spawn(name, program, flags, {})
        for port in (plan.store_port, *plan.backend_admin_ports.values()):
            await self._wait_port(port)
        await self._write_configuration()
        await asyncio.gather(*(self.start_daemon(daemon) for daemon in plan.daemons))
        await asyncio.gather(*(self.wait_ready(daemon) for daemon in plan.daemons))

    async def _write_configuration(self) -> None:
        store = open_store(HOST, self.plan.store_port)
        async with store:
            await store.compare_and_swap(
                CONFIGURATION_KEY, canonical(self.plan.configuration), expect=0
            )

    async def _wait_port(self, port: int) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                _, writer = await asyncio.open_connection(HOST, port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
        raise TimeoutError(f"no process listened on port {port} in time")

    async def _get(self, port: int, path: str) -> bytes:
        async with HttpClient(HOST, port) as client:
            return (await client.get(path)).body

    async def _put(self, port: int, change: FaultChange | PlatformChange) -> None:
        async with HttpClient(HOST, port) as client:
            response = await client.put("/faults", body=codec.to_json(change))
        if response.status != 200:
            raise RuntimeError(
                f"fault change rejected with status {response.status}: {response.body[:200]!r}"
            )

    async def _spawn(
        self, name: str, program: str, flags: list[str], environment: dict[str, str]
    ) -> Process:
        process = await start_process(self.directory, name, program, flags, environment)
        self._stack.push_async_callback(process.stop)
        return process


def start_cluster(
    deployment: str,
    directory: Path,
    *,
    daemons_per_data_centre: int = 2,
    settings: Mapping[str, str] | None = None,
    backend_flags: Sequence[str] = (),
    policy: Policy | None = None,
) -> Cluster:
    """Return a cluster of one deployment on free ports; entering it starts it.

    `settings` are environment variables of all daemons. `backend_flags` are flags of the stand-in
    of the backend servers. `policy` replaces the policy of every service.
    """
    plan = attrs.evolve(plan_cluster(deployment, daemons_per_data_centre), policy=policy)
    return Cluster(plan, directory, settings=settings or {}, backend_flags=backend_flags)


def plan_cluster(deployment: str, daemons_per_data_centre: int = 2) -> ClusterPlan:
    """Return a plan that uses a block of free ports."""
    reservation, base = _reserve_block(_PORT_BLOCK_SIZE)
    data_centres = [dc.name for dc in DEPLOYMENTS[deployment](1024).data_centres]
    daemons: list[DaemonPlan] = []
    port = base + 10
    for round_number in range(daemons_per_data_centre):
        for data_centre in data_centres:
            daemons.append(
                DaemonPlan(
                    vm=f"{data_centre}-vm{round_number + 1}",
                    data_centre=data_centre,
                    callers_port=port,
                    admin_port=port + 1,
                    peer_port=port + 2,
                )
            )
            port += PORTS_PER_DAEMON
    return ClusterPlan(
        deployment=deployment,
        store_port=base,
        store_admin_port=base + 1,
        backend_port=base + 200,
        backend_admin_ports={name: base + 2 + n for n, name in enumerate(data_centres)},
        daemons=tuple(daemons),
        spare_port=base + 100,
        reservation=reservation,
    )


def _vm_document(daemon: DaemonPlan) -> VmDocument:
    return VmDocument(
        id=daemon.vm,
        data_centre=daemon.data_centre,
        host=HOST,
        port=daemon.peer_port,
        role="entry",
        state="live",
    )


def _reserve_block(size: int) -> tuple[socket.socket, int]:
    """Return a socket bound to the last port of a free block, and the first port of the block.

    The block lies below the ephemeral port range, since an outgoing connection could otherwise
    occupy the port of a daemon that is being restarted. Blocks start at multiples of their size.
    Overlapping blocks would have different last ports, so that the reservation would not keep two
    clusters that start at the same time from using the same ports.
    """
    for _ in range(200):
        base = 10_000 + secrets.randbelow((32_000 - 10_000) // size) * size
        reservation = socket.socket()
        try:
            reservation.bind((HOST, base + size - 1))
        except OSError:
            reservation.close()
            continue
        if all(_is_free(port) for port in range(base, base + size - 1)):
            return reservation, base
        reservation.close()
    raise RuntimeError("no free block of ports found in 200 attempts")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        # Servers bind with SO_REUSEADDR, so a port in TIME_WAIT counts as free.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
