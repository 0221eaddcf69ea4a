"""One daemon: all its parts, from start to graceful shutdown.

Terms:
  edge    an address that the daemon listens on: callers', operators' and peers'
  stage   a step of the graceful shutdown; each is an event of the time line

Flow: `run_daemon` opens the parts in the order in which they need each other, all owned by one exit
stack, and waits for SIGTERM or SIGINT. The shutdown then goes through these stages:

  unready    readiness fails; for `unready_seconds` all that the balancer still sends is served
  handover   owned backend servers take nothing new, queued work goes back as a true NOT_RUN, and
             once nothing runs there the VM leaves its view, so that heirs need not wait
  drain      every response closes its connection; requests in flight are finished
  close      peers are told, then all sockets are closed

A request that reaches the daemon before `close` is served or refused as a true NOT_RUN.
"""

from __future__ import annotations

import asyncio
import signal
import ssl
import time
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Final

from berylspindle_controlplane.plane import ControlOptions, ControlPlane
from berylspindle_controlplane.transport import TransportError
from berylspindle_controlplane.wire_transport import WireTransport
from berylspindle_daemon.admin import AdminEdge
from berylspindle_daemon.admin_backend import DaemonBackend
from berylspindle_daemon.cluster_watch import ClusterWatch
from berylspindle_daemon.counted_store import CountedStore
from berylspindle_daemon.exit_codes import DaemonError, ExitCode
from berylspindle_daemon.options import Options, paced
from berylspindle_daemon.stamped_transport import StampedTransport
from berylspindle_dataplane.http_backend import BackendOptions
from berylspindle_dataplane.plane import DataPlane, DataPlaneOptions
from berylspindle_dataplane.suspect_share import SUSPECTS
from berylspindle_model.checked import MAX_TEXT
from berylspindle_model.events import EventKind
from berylspindle_model.topology import ClusterState, Vm
from berylspindle_store.claims import ClaimOptions, Claims
from berylspindle_store.connections import StoreOptions
from berylspindle_store.http_store import HttpStore, open_store
from berylspindle_store.store import Store, StoreAway
from berylspindle_store.vm_list import HttpVmList, VmRole, VmState, open_vm_list
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.clock import HybridClock
from berylspindle_telemetry.logs import logger
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.process import watch_loop, watch_process
from berylspindle_telemetry.stamping import MessageStamper
from berylspindle_telemetry.timeline import Timeline
from berylspindle_wire.datagrams import DatagramPort, open_datagrams
from berylspindle_wire.http import HttpLimits
from berylspindle_wire.http_server import HttpServer, serve
from berylspindle_wire.peer_link import PeerLinks
from berylspindle_wire.peer_server import PeerServer
from berylspindle_wire.tls import TlsFiles, TlsSettingsError, server_context

_RAN_OUT: Final = "requests were still in flight"
# Longest time that a new VM waits for its ownership before it is ready all the same: somewhat more
# than what an heir waits for a right of a lost VM to lapse.
SETTLE_SECONDS: Final = 6.0
SETTLE_STEP_SECONDS: Final = 0.02
# A VM that takes longer to hear of a crashing request would hear of it too late.
TELL_SECONDS: Final = 1.0


class Daemon:
    """The parts of one daemon; `start` opens them, `shut_down` ends them in stages."""

    def __init__(self, options: Options, metrics: Metrics) -> None:
        self._options: Final = options
        self._stack: Final = AsyncExitStack()
        self.metrics: Final = metrics
        self.timeline: Final = Timeline(
            options.vm_id,
            options.timeline_events,
            HybridClock(time.time),
            metrics=self.metrics,
            data_centre=options.data_centre,
        )
        self.me: Final = Vm(
            id=options.vm_id,
            data_centre=options.data_centre,
            host=options.peer_host,
            peer_port=options.peer_port,
        )
        self.control: ControlPlane
        self.data: DataPlane
        self._stamper: Final = MessageStamper(self.timeline.clock)
        self._transport: StampedTransport
        self._links: PeerLinks
        self._peers: PeerServer
        self._callers: HttpServer
        self._background: set[asyncio.Task[None]] = set()
        self._configured: Final = asyncio.Event()
        self._watch: Final = ClusterWatch(metrics, self.timeline)
        self._datagrams: DatagramPort
        self._received: Final = metrics.counter(
            names.CONTROL_MESSAGES, direction="received", kind="datagram"
        )
        self._received_bytes: Final = metrics.counter(names.CONTROL_BYTES, direction="received")
        self._unsigned: Final = metrics.counter(names.CONTROL_REJECTED, reason="unsigned")

    async def start(self) -> None:
        """Open all parts; raises OSError where an address can't be bound."""
        self.timeline.record(EventKind.STARTED, detail=self.me.data_centre)
        watch_process(self.metrics)
        self._start_background(watch_loop(self.metrics))
        key = self._options.peer_key.reveal().encode() if self._options.peer_key else None
        platform, vm_list = await self._open_platform()
        store = CountedStore(platform, self.metrics, self._watch.on_store)
        self._links = PeerLinks(
            self.me.id, key=key, connect_timeout=self._options.connect_timeout / 2
        )
        self._stack.push_async_callback(self._links.close)
        self._datagrams = await open_datagrams(
            self.me.host, self.me.peer_port, key=key, on_message=self._on_datagram
        )
        self._stack.callback(self._datagrams.close)
        self._transport = StampedTransport(
            WireTransport(self._links, self._counted(self._datagrams)), self._stamper, self.metrics
        )
        self.control = ControlPlane(
            paced(ControlOptions(), self._options.control_pace),
            me=self.me,
            store=store,
            vm_list=vm_list,
            seeds=[(seed.host, seed.port) for seed in self._options.seed_addresses],
            transport=self._transport,
            on_state=self._on_state,
            events=self._watch.on_event,
        )
        self.data = self._make_data_plane(store)
        self._stack.push_async_callback(self.data.close)
        self._stack.push_async_callback(self.control.close)
        await self._serve_peers(key)
        await self.control.start()
        self._start_background(self._watch_vm_list(vm_list))
        self._start_background(self._settle())
        await self._serve_operators()
        await self._serve_callers()

    async def shut_down(self) -> None:
        """End in stages; raises DaemonError SHUTDOWN_CUT where the grace ran out."""
        deadline = time.monotonic() + self._options.unready_seconds + self._options.shutdown_grace
        self._stage("unready")
        self.data.begin_shutdown()
        await asyncio.sleep(self._options.unready_seconds)
        self._stage("handover")
        finished = await _within(self.data.hand_over(), deadline)
        await _within(self.control.leave(), deadline)
        self._stage("drain")
        self._callers.begin_drain()
        finished = await _within(self.data.drained(), deadline) and finished
        await self._callers.close(max(0.0, deadline - time.monotonic()))
        self._stage("close")
        await self._peers.close(min(1.0, max(0.0, deadline - time.monotonic())))
        await self.close()
        if not finished:
            raise DaemonError(ExitCode.SHUTDOWN_CUT, _RAN_OUT)

    async def close(self) -> None:
        """Close everything at once."""
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        await self._stack.aclose()

    async def _open_platform(self) -> tuple[HttpStore, HttpVmList]:
        options = self._options
        settings = StoreOptions(
            connect_timeout=min(options.connect_timeout, options.store_timeout),
            read_timeout=options.store_timeout,
            write_timeout=options.store_timeout,
        )
        store = open_store(options.store_host, options.store_port, settings)
        await self._stack.enter_async_context(store)
        vm_list = open_vm_list(options.vm_list_host, options.vm_list_port, settings)
        await self._stack.enter_async_context(vm_list)
        return store, vm_list

    def _make_data_plane(self, store: Store) -> DataPlane:
        claims = Claims(
            store,
            vm=self.me.id,
            options=ClaimOptions(),
            now=time.monotonic,
            now_wall=time.time,
        )
        return DataPlane(
            self.me,
            DataPlaneOptions(
                requests_in_flight=self._options.requests_in_flight,
                server_queue=self._options.server_queue,
                backend=BackendOptions(connect_timeout=self._options.connect_timeout),
            ),
            links=self._links,
            tell_suspects=self._tell_suspects,
            rights=self.control.rights,
            claims=claims,
            metrics=self.metrics,
            timeline=self.timeline,
        )

    async def _tell_suspects(self, vm: Vm, payload: bytes) -> None:
        try:
            await self._transport.call(vm, SUSPECTS, payload, timeout=TELL_SECONDS)
        except TransportError:
            # A VM that can't be told learns of the request from others, or by its own loss.
            return

    async def _serve_peers(self, key: bytes | None) -> None:
        methods = {**self.control.methods, SUSPECTS: self.data.share.receive}
        self._peers = PeerServer(
            self.me.host,
            self.me.peer_port,
            batch_handler=self.data.owner,
            control={name: self._stamper.sealing(method) for name, method in methods.items()},
            key=key,
            on_fault=self._on_fault,
        )
        await self._peers.start()
        self._stack.push_async_callback(self._peers.close)

    async def _serve_callers(self) -> None:
        options = self._options
        limits = HttpLimits(
            header_bytes=options.header_bytes,
            body_bytes=options.body_bytes,
            read_timeout=options.read_timeout,
            idle_timeout=options.idle_timeout,
            connections=options.connections,
        )
        self._callers = await serve(
            self.data.handle,
            host=options.listen_host,
            port=options.listen_port,
            limits=limits,
            on_fault=self._on_fault,
        )
        self._stack.push_async_callback(self._callers.close, 0.0)
        self._watch_edge("callers", self._callers)
        logger("daemon").info("callers' edge listens", extra={"port": self._callers.port})

    async def _serve_operators(self) -> None:
        options = self._options
        backend = DaemonBackend(
            self.me,
            control=self.control,
            data=self.data,
            metrics=self.metrics,
            timeline=self.timeline,
            store_away_since=lambda: self._watch.store_away_since,
            refresh_counts=self._refresh_counts,
        )
        edge = AdminEdge(backend, token=options.admin_token, metrics=self.metrics)
        server = await serve(
            edge.handle,
            host=options.admin_host,
            port=options.admin_port,
            limits=HttpLimits(body_bytes=MAX_TEXT, connections=options.admin_connections),
            tls=_operators_tls(options),
            on_fault=self._on_fault,
        )
        self._stack.push_async_callback(server.close, 0.0)
        self._watch_edge("operators", server)
        logger("daemon").info("operators' edge listens", extra={"port": server.port})

    def _watch_edge(self, edge: str, server: HttpServer) -> None:
        self.metrics.gauge_function(names.EDGE_CONNECTIONS, lambda: server.connections, edge=edge)

    def _counted(self, datagrams: DatagramPort) -> Callable[[bytes, tuple[str, int]], None]:
        """Return the sending of datagrams with its counters; control has a budget a VM."""
        messages = self.metrics.counter(names.CONTROL_MESSAGES, direction="sent", kind="datagram")
        size = self.metrics.counter(names.CONTROL_BYTES, direction="sent")

        def send(data: bytes, address: tuple[str, int]) -> None:
            messages.add()
            size.add(len(data))
            datagrams.send(data, address)

        return send

    def _on_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        self._received.add()
        self._received_bytes.add(len(data))
        message = self._transport.open_datagram(data)
        if message is not None:
            self.control.on_datagram(message, source)

    def _on_state(self, state: ClusterState) -> None:
        self.data.adopt(state)
        self._watch.on_state(state)
        if state.configuration is not None:
            self._configured.set()

    def _refresh_counts(self) -> None:
        """Take over the counts that the ports keep themselves, before metrics are rendered."""
        refused = self._datagrams.counters.refused + self._peers.unauthorised
        self._unsigned.value = refused

    def _on_fault(self, error: BaseException) -> None:
        self.timeline.record(EventKind.INTERNAL_FAULT, detail=repr(error))
        logger("daemon").error("internal fault", exc_info=(type(error), error, error.__traceback__))

    def _stage(self, name: str) -> None:
        self.timeline.record(EventKind.SHUTDOWN_STAGE, detail=name)

    def _start_background(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)

    async def _settle(self) -> None:
        """Hold readiness back until this VM may dispatch to the backend servers that it owns.

        Without this the balancer sends to a data centre that has just started while its servers
        have no usable owner, and callers get partial answers. The wait is bounded: with the store
        away nothing can be joined, and the VM still serves as an entry.
        """
        await self._configured.wait()
        # Counted from the first configuration: a VM that started in an outage would else be ready
        # with the first word of the store, before anybody owns a backend server.
        deadline = time.monotonic() + SETTLE_SECONDS * self._options.control_pace
        while time.monotonic() < deadline:
            await asyncio.sleep(SETTLE_STEP_SECONDS)
            view = self.control.state.view(self.me.data_centre)
            if view is None or view.member(self.me.id) is None:
                continue
            rights, now = self.control.rights, time.monotonic()
            if all(rights.usable_from(server) <= now for server in self.data.owner.owned):
                break
        self.data.mark_settled()

    async def _watch_vm_list(self, vm_list: HttpVmList) -> None:
        """Learn from the VM list which backend servers are leaving.

        The pause grows with the members of the data centre, so that all its VMs together ask about
        as often as eight do.
        """
        while True:
            view = self.control.state.view(self.me.data_centre)
            members = len(view.members) if view is not None else 1
            await asyncio.sleep(self._options.vm_list_interval * max(1.0, members / 8))
            try:
                listed = await vm_list.fetch()
            except StoreAway:
                continue
            leaving = (
                vm.id for vm in listed if vm.role is VmRole.BACKEND and vm.state is VmState.LEAVING
            )
            self.data.mark_leaving(frozenset(leaving))


def _operators_tls(options: Options) -> ssl.SSLContext | None:
    """Return the context of the operators' edge, None without a certificate in the settings."""
    if options.admin_tls_certificate is None:
        return None
    files = TlsFiles(
        certificate=str(options.admin_tls_certificate),
        key=str(options.admin_tls_key) if options.admin_tls_key else None,
        ca=str(options.admin_tls_ca) if options.admin_tls_ca else None,
    )
    try:
        return server_context(files)
    except TlsSettingsError as error:
        raise DaemonError(ExitCode.SECRET_UNREADABLE, f"--admin-tls-certificate: {error}") from None


async def run_daemon(options: Options, metrics: Metrics) -> None:
    """Run one daemon until SIGTERM or SIGINT; raises DaemonError where requests were cut."""
    daemon = Daemon(options, metrics)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        await daemon.start()
    except BaseException:
        await daemon.close()
        raise
    await stop.wait()
    await daemon.shut_down()


async def _within(work: Awaitable[object], deadline: float) -> bool:
    """Await work until a deadline of the monotonic clock; return whether it ended in time."""
    try:
        await asyncio.wait_for(work, max(0.0, deadline - time.monotonic()))
    except TimeoutError:
        return False
    return True
