"""One daemon: start of its parts, and graceful shutdown.

Terms:
  edge    a listener of the daemon: callers', operators' and peers'
  stage   a step of the graceful shutdown; each is recorded in the time line

Flow: `run_daemon` opens the parts in the order of their dependencies, all owned by one exit stack,
and waits for SIGTERM or SIGINT. The shutdown then goes through these stages:

  unready    the readiness check fails; for `unready_seconds` requests are still accepted, until the
             load balancer has stopped sending them
  handover   owned backend servers get no new work, queued attempts are returned as NOT_RUN, and
             when nothing runs there any more the VM leaves its view, so that the new owners need
             not wait for its rights to expire
  drain      each response closes its connection; requests in flight are finished
  close      peers are notified, then all sockets are closed

A request that reaches the daemon before `close` is served, or refused as NOT_RUN without having
been dispatched.
"""

from __future__ import annotations

import asyncio
import signal
import ssl
import time
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Final

from berylspindle_controlplane.control_plane import ControlOptions, ControlPlane
from berylspindle_controlplane.transport import TransportError
from berylspindle_controlplane.wire_transport import WireTransport
from berylspindle_daemon.admin import AdminEdge
from berylspindle_daemon.admin_backend import DaemonBackend
from berylspindle_daemon.cluster_watch import ClusterObserver
from berylspindle_daemon.counted_store import InstrumentedStore
from berylspindle_daemon.exit_codes import DaemonError, ExitCode
from berylspindle_daemon.options import Options, scale_times
from berylspindle_daemon.stamped_transport import StampedTransport
from berylspindle_dataplane.http_backend import BackendOptions
from berylspindle_dataplane.plane import DataPlane, DataPlaneOptions
from berylspindle_dataplane.quarantine_gossip import SUSPECTS_CALL
from berylspindle_model.configuration_codec import MAX_DOCUMENT_BYTES
from berylspindle_model.events import EventKind
from berylspindle_model.topology import ClusterState, Vm
from berylspindle_store.claims import ClaimOptions, Claims
from berylspindle_store.connections import StoreOptions
from berylspindle_store.http_store import HttpStore, open_store
from berylspindle_store.store import Store, StoreUnavailable
from berylspindle_store.vm_list import HttpVmList, VmRole, VmState, open_vm_list
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.clock import HybridClock
from berylspindle_telemetry.logs import logger
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.process import measure_loop_lag, register_process_metrics
from berylspindle_telemetry.stamping import MessageStamper
from berylspindle_telemetry.supervisor import keep_running
from berylspindle_telemetry.timeline import Timeline
from berylspindle_wire.datagrams import DatagramPort, open_datagrams
from berylspindle_wire.http import HttpLimits
from berylspindle_wire.http_server import HttpServer, serve
from berylspindle_wire.peer_link import PeerLinks
from berylspindle_wire.peer_server import PeerServer
from berylspindle_wire.tls import TlsFiles, TlsSettingsError, server_context

_REQUESTS_CUT_TEXT: Final = "requests were still in flight"
# Longest time for which a new VM stays unready to wait for its ownership. It exceeds the time for
# which a new owner waits for the rights of a lost VM to expire.
OWNERSHIP_WAIT_S: Final = 6.0
OWNERSHIP_POLL_S: Final = 0.02
# A report of a crashing request that takes longer arrives too late to prevent another crash.
SUSPECT_REPORT_TIMEOUT_S: Final = 1.0


class Daemon:
    """The parts of one daemon; `start` opens them, `shut_down` closes them in stages."""

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
        self._observer: Final = ClusterObserver(metrics, self.timeline)
        self._datagrams: DatagramPort
        self._received: Final = metrics.counter(
            names.CONTROL_MESSAGES, direction="received", kind="datagram"
        )
        self._received_bytes: Final = metrics.counter(names.CONTROL_BYTES, direction="received")
        self._unsigned: Final = metrics.counter(names.CONTROL_REJECTED, reason="unsigned")
        self._links_lost: Final = {
            reason: metrics.counter(names.LINKS_LOST, reason=reason)
            for reason in ("not_opened", "broken", "silent")
        }

    async def start(self) -> None:
        """Open all parts; raises OSError if an address can't be bound."""
        self.timeline.record(EventKind.STARTED, detail=self.me.data_centre)
        register_process_metrics(self.metrics)
        self._start_background(keep_running(lambda: measure_loop_lag(self.metrics), self._on_fault))
        key = self._options.peer_key.reveal().encode() if self._options.peer_key else None
        platform, vm_list = await self._open_platform()
        store = InstrumentedStore(platform, self.metrics, self._observer.on_store_call)
        self._links = self._open_links(key)
        self._datagrams = await open_datagrams(
            self.me.host, self.me.peer_port, key=key, on_message=self._on_datagram
        )
        self._stack.callback(self._datagrams.close)
        self._transport = StampedTransport(
            WireTransport(self._links, self._counting_sender(self._datagrams)),
            self._stamper,
            self.metrics,
        )
        self.control = ControlPlane(
            scale_times(ControlOptions(), self._options.control_pace),
            local_vm=self.me,
            store=store,
            vm_list=vm_list,
            seeds=[(seed.host, seed.port) for seed in self._options.seed_addresses],
            transport=self._transport,
            on_state=self._on_state,
            on_event=self._observer.on_event,
        )
        self.data = self._make_data_plane(store)
        self._stack.push_async_callback(self.data.close)
        self._stack.push_async_callback(self.control.close)
        await self._serve_peers(key)
        await self.control.start()
        self._start_background(keep_running(lambda: self._poll_vm_list(vm_list), self._on_fault))
        self._start_background(self._wait_for_ownership())
        await self._serve_operators()
        await self._serve_callers()

    async def shut_down(self) -> None:
        """Shut down in stages; raises DaemonError SHUTDOWN_CUT if requests are cut off."""
        deadline = time.monotonic() + self._options.unready_seconds + self._options.shutdown_grace
        self._record_stage("unready")
        self.data.begin_shutdown()
        await asyncio.sleep(self._options.unready_seconds)
        self._record_stage("handover")
        finished = await _finishes_by(self.data.drain_owned_work(), deadline)
        await _finishes_by(self.control.leave(), deadline)
        self._record_stage("drain")
        self._callers.begin_drain()
        finished = await _finishes_by(self.data.wait_idle(), deadline) and finished
        await self._callers.close(max(0.0, deadline - time.monotonic()))
        self._record_stage("close")
        await self._peers.close(min(1.0, max(0.0, deadline - time.monotonic())))
        await self.close()
        if not finished:
            raise DaemonError(ExitCode.SHUTDOWN_CUT, _REQUESTS_CUT_TEXT)

    async def close(self) -> None:
        """Cancel background tasks and close all parts without waiting for requests."""
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        await self._stack.aclose()

    def _open_links(self, key: bytes | None) -> PeerLinks:
        links = PeerLinks(
            self.me.id,
            key=key,
            connect_timeout=self._options.connect_timeout / 2,
            on_fault=self._on_fault,
            on_silent=self._on_link_silent,
        )
        self._stack.push_async_callback(links.close)
        return links

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
            send_suspects=self._report_suspects,
            rights=self.control.rights,
            claims=claims,
            metrics=self.metrics,
            timeline=self.timeline,
        )

    async def _report_suspects(self, vm: Vm, payload: bytes) -> None:
        try:
            await self._transport.call(vm, SUSPECTS_CALL, payload, timeout=SUSPECT_REPORT_TIMEOUT_S)
        except TransportError:
            # Other VMs forward the report. If it never arrives, the VM detects the request when it
            # crashes one of the backend servers of the VM itself.
            return

    async def _serve_peers(self, key: bytes | None) -> None:
        methods = {**self.control.peer_handlers, SUSPECTS_CALL: self.data.quarantine_gossip.receive}
        self._peers = PeerServer(
            self.me.host,
            self.me.peer_port,
            batch_handler=self.data.owner,
            control={name: self._stamper.wrap_method(method) for name, method in methods.items()},
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
        self._export_connections("callers", self._callers)
        logger("daemon").info("listening for callers", extra={"port": self._callers.port})

    async def _serve_operators(self) -> None:
        options = self._options
        backend = DaemonBackend(
            self.me,
            control=self.control,
            data=self.data,
            metrics=self.metrics,
            timeline=self.timeline,
            store_unavailable_since=lambda: self._observer.store_unavailable_since,
            update_counters=self._update_counters,
        )
        edge = AdminEdge(backend, token=options.admin_token, metrics=self.metrics)
        server = await serve(
            edge.handle,
            host=options.admin_host,
            port=options.admin_port,
            limits=HttpLimits(body_bytes=MAX_DOCUMENT_BYTES, connections=options.admin_connections),
            tls=_operators_tls(options),
            on_fault=self._on_fault,
        )
        self._stack.push_async_callback(server.close, 0.0)
        self._export_connections("operators", server)
        logger("daemon").info("listening for operators", extra={"port": server.port})

    def _export_connections(self, edge: str, server: HttpServer) -> None:
        self.metrics.gauge_function(names.EDGE_CONNECTIONS, lambda: server.connections, edge=edge)

    def _counting_sender(self, datagrams: DatagramPort) -> Callable[[bytes, tuple[str, int]], None]:
        """Return a datagram sender that counts messages and bytes.

        Control traffic has a budget per VM; the counters show its use.
        """
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
        self._observer.on_state(state)
        if state.configuration is not None:
            self._configured.set()

    def _update_counters(self) -> None:
        """Copy the counts of rejected messages and lost links into the metrics."""
        rejected = self._datagrams.counters.refused + self._peers.unauthorised
        self._unsigned.value = rejected
        links = self._links.counters
        self._links_lost["not_opened"].value = links.open_failed
        self._links_lost["broken"].value = links.broken
        self._links_lost["silent"].value = links.silent

    def _on_link_silent(self, vm: Vm) -> None:
        self.timeline.record(EventKind.LINK_SILENT, detail=f"vm={vm.id}")

    def _on_fault(self, error: BaseException) -> None:
        self.timeline.record(EventKind.INTERNAL_FAULT, detail=repr(error))
        logger("daemon").error("internal fault", exc_info=(type(error), error, error.__traceback__))

    def _record_stage(self, name: str) -> None:
        self.timeline.record(EventKind.SHUTDOWN_STAGE, detail=name)

    def _start_background(self, operation: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(operation)
        self._background.add(task)
        task.add_done_callback(self._on_background_end)

    def _on_background_end(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self._on_fault(error)

    async def _wait_for_ownership(self) -> None:
        """Delay readiness until this VM may dispatch to the backend servers that it owns.

        Otherwise the load balancer sends requests to a data centre that has just started while its
        servers have no usable owner, and callers get partial answers. The wait is bounded: while
        the store is unavailable no VM can join a view, yet this VM can serve as an entry.
        """
        await self._configured.wait()
        # The wait starts with the first configuration. Otherwise a VM started in an outage would be
        # ready as soon as the store answers, before any VM owns a backend server.
        deadline = time.monotonic() + OWNERSHIP_WAIT_S * self._options.control_pace
        while time.monotonic() < deadline:
            await asyncio.sleep(OWNERSHIP_POLL_S)
            view = self.control.state.view(self.me.data_centre)
            if view is None or view.member(self.me.id) is None:
                continue
            rights, now = self.control.rights, time.monotonic()
            if all(rights.usable_from(server) <= now for server in self.data.owner.owned):
                break
        self.data.mark_ownership_settled()

    async def _poll_vm_list(self, vm_list: HttpVmList) -> None:
        """Poll the VM list for backend servers that are leaving.

        Above eight members the interval grows in proportion to the size of the data centre, so that
        its VMs together send as many reads as eight VMs do.
        """
        while True:
            view = self.control.state.view(self.me.data_centre)
            members = len(view.members) if view is not None else 1
            await asyncio.sleep(self._options.vm_list_interval * max(1.0, members / 8))
            try:
                listed = await vm_list.fetch()
            except StoreUnavailable:
                continue
            leaving = (
                vm.id for vm in listed if vm.role is VmRole.BACKEND and vm.state is VmState.LEAVING
            )
            self.data.mark_leaving(frozenset(leaving))


def _operators_tls(options: Options) -> ssl.SSLContext | None:
    """Return the TLS context of the operators' edge, or None if no certificate is set."""
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
    """Run one daemon until SIGTERM or SIGINT; raises DaemonError if requests were cut off."""
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


async def _finishes_by(operation: Awaitable[object], deadline: float) -> bool:
    """Await an operation until a monotonic deadline; return whether it finished in time."""
    try:
        await asyncio.wait_for(operation, max(0.0, deadline - time.monotonic()))
    except TimeoutError:
        return False
    return True
