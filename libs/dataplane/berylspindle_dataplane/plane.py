"""Data plane of one VM: entry, executor and owner behind the HTTP endpoint for callers.

Flow: `DataPlane` creates the components. `adopt` passes each cluster state of the control plane to
them in order of dependency. `wait_idle` waits for all requests in flight; `close` stops everything.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_dataplane.backend import Backend
from berylspindle_dataplane.edge import CallerEdge, EdgeHandlers
from berylspindle_dataplane.entry import Entry
from berylspindle_dataplane.entry_context import EntryContext
from berylspindle_dataplane.entry_quarantine import EntryQuarantine
from berylspindle_dataplane.executor import Executor
from berylspindle_dataplane.http_backend import BackendOptions, open_http_backend
from berylspindle_dataplane.owner import Owner
from berylspindle_dataplane.owner_table import OwnerTable
from berylspindle_dataplane.quarantine_gossip import QuarantineGossip, SendRecords
from berylspindle_dataplane.router import Dispatcher, Router
from berylspindle_dataplane.shedding_events import SheddingEvents
from berylspindle_dataplane.worker_context import WorkerContext
from berylspindle_decisions.admission import AdmissionOptions
from berylspindle_decisions.deadlines import Deadlines
from berylspindle_decisions.fair_queue import FairQueueOptions
from berylspindle_decisions.ownership import DispatchRights
from berylspindle_model.configuration import Server
from berylspindle_model.errors import ErrorKind, Refusal
from berylspindle_model.events import EventKind
from berylspindle_model.topology import ClusterState, Vm
from berylspindle_store.claims import Claims
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.supervisor import keep_running
from berylspindle_telemetry.timeline import Timeline
from berylspindle_wire.http import HttpRequest, HttpResponse


@attrs.frozen(kw_only=True)
class DataPlaneOptions:
    """Settings of the data plane.

    Attributes:
        requests_in_flight: maximum number of callers' requests per service in progress.
        server_queue: maximum number of attempts that wait for one owned backend server.
        backend: settings of the connections to backend servers.
        out_grace: seconds for which an entry in a data centre that was taken out still serves
            requests that the load balancer sends, before it refuses them.
    """

    requests_in_flight: int = 256
    server_queue: int = 64
    backend: BackendOptions = attrs.field(factory=BackendOptions)
    out_grace: float = 3.0


class DataPlane:
    """Entry, executor and owner of one VM."""

    def __init__(
        self,
        me: Vm,
        options: DataPlaneOptions,
        *,
        links: Dispatcher,
        send_suspects: SendRecords,
        rights: DispatchRights,
        claims: Claims,
        metrics: Metrics,
        timeline: Timeline,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._me: Final = me
        self._options: Final = options
        self._metrics: Final = metrics
        self._now: Final = now
        self._state = ClusterState()
        self._out_since: float | None = None
        self._shutting_down = False
        self._ownership_settled = False
        self._timeline: Final = timeline
        self._owners: Final = OwnerTable()
        worker_context = self._make_worker_context(rights)
        self.owner: Final = Owner(me, self._owners, self._open_backend, worker_context)
        self._router: Final = Router(me=me, owners=self._owners, local=self.owner, links=links)
        context = self._make_entry_context()
        self.quarantine: Final = context.quarantine
        self._entry: Final = Entry(self._router, context)
        self._executor: Final = Executor(self._router, self._entry, claims, context, self._is_live)
        self.quarantine_gossip: Final = self._make_quarantine_gossip(worker_context, send_suspects)
        self._tasks: Final = tuple(
            asyncio.get_running_loop().create_task(keep_running(run, self._on_fault))
            for run in (self._executor.store_pending_outcomes, self.quarantine_gossip.run)
        )
        self._requests = 0
        self._idle: Final = asyncio.Event()
        self._idle.set()
        self._edge: Final = CallerEdge(self._make_edge_handlers(context))
        metrics.gauge_function(names.REQUESTS_IN_FLIGHT, lambda: self._requests)
        metrics.gauge_function(names.QUARANTINED, lambda: self.quarantine.quarantined)

    @property
    def in_flight(self) -> int:
        """Return the number of callers' requests in progress."""
        return self._requests

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one HTTP request of a caller or of the load balancer."""
        self._requests += 1
        self._idle.clear()
        try:
            return await self._edge.handle(request)
        finally:
            self._requests -= 1
            if not self._requests:
                self._idle.set()

    def adopt(self, state: ClusterState) -> None:
        """Apply a new cluster state."""
        was_ready = self.readiness_refusal() is None
        self._state = state
        self._record_data_centre_state(state)
        self._owners.adopt(state.views)
        self.owner.adopt(state)
        self._router.adopt(state)
        self._entry.adopt(state)
        self.quarantine_gossip.adopt(state)
        self._record_readiness(was_ready)

    def mark_leaving(self, servers: frozenset[str]) -> None:
        """Stop new work to backend servers that are leaving according to the VM list."""
        self._router.mark_leaving(servers)
        self.owner.mark_leaving(servers)

    def readiness_refusal(self) -> Refusal | None:
        """Return why the load balancer should not send requests here, or None if it may."""
        if self._shutting_down:
            return Refusal(ErrorKind.SHUTTING_DOWN)
        if self._state.configuration is None:
            return Refusal(ErrorKind.NOT_READY)
        if self._out_since is not None:
            return Refusal(ErrorKind.DATA_CENTRE_OUT)
        if not self._ownership_settled:
            return Refusal(ErrorKind.NOT_READY, "waiting for ownership of backend servers")
        return None

    def mark_ownership_settled(self) -> None:
        """Stop refusing readiness for lack of ownership.

        Call this once this VM may dispatch to its servers or has waited long enough for it.
        """
        was_ready = self.readiness_refusal() is None
        self._ownership_settled = True
        self._record_readiness(was_ready)

    def begin_shutdown(self) -> None:
        """Report this VM as not ready; requests that still arrive are served."""
        was_ready = self.readiness_refusal() is None
        self._shutting_down = True
        self._record_readiness(was_ready)

    async def drain_owned_work(self) -> None:
        """Stop accepting executes and attempts, and wait for those in progress.

        The executor is stopped first, since the owner must still dispatch the requests that it has
        claimed.
        """
        self._executor.stop_accepting()
        await self._executor.wait_idle()
        self.owner.stop_accepting()
        await self.owner.wait_idle()

    async def wait_idle(self) -> None:
        """Wait until no caller's request and no attempt at an owned server is in progress."""
        await self._idle.wait()
        await self._executor.wait_idle()
        await self.owner.wait_idle()

    async def close(self) -> None:
        """Cancel all work and close the connections to backend servers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.owner.close()

    def _make_worker_context(self, rights: DispatchRights) -> WorkerContext:
        return WorkerContext(
            rights=rights,
            metrics=self._metrics,
            timeline=self._timeline,
            now=self._now,
            deadlines=Deadlines(),
            queue=FairQueueOptions(max_entries=self._options.server_queue),
        )

    def _make_entry_context(self) -> EntryContext:
        return EntryContext(
            metrics=self._metrics,
            timeline=self._timeline,
            now=self._now,
            random=random.Random().random,
            new_id=_make_id_generator(),
            deadlines=Deadlines(),
            quarantine=EntryQuarantine(self._timeline),
            admission=AdmissionOptions(max_work=self._options.requests_in_flight),
            shedding=SheddingEvents(self._timeline),
        )

    def _make_quarantine_gossip(
        self, worker_context: WorkerContext, send: SendRecords
    ) -> QuarantineGossip:
        return QuarantineGossip(
            self.quarantine,
            worker_context.quarantine,
            me=self._me,
            send=send,
            now=self._now,
            rng=random.Random(),
        )

    def _make_edge_handlers(self, context: EntryContext) -> EdgeHandlers:
        return EdgeHandlers(
            search=self._entry.search,
            execute=self._executor.execute,
            outcome=self._executor.outcome,
            readiness_refusal=self.readiness_refusal,
            request_refusal=self._request_refusal,
            new_id=context.new_id,
        )

    def _request_refusal(self) -> Refusal | None:
        """Return the refusal of new requests of callers, or None if they are served."""
        if self._state.configuration is None:
            return Refusal(ErrorKind.NOT_READY)
        # The load balancer detects with a delay that this VM is not ready. Callers are not at
        # fault, so the requests that it still sends are served; their attempts go to other data
        # centres.
        if self._out_since is None or self._now() - self._out_since < self._options.out_grace:
            return None
        return Refusal(ErrorKind.DATA_CENTRE_OUT)

    def _record_data_centre_state(self, state: ClusterState) -> None:
        configuration = state.configuration
        if configuration is None or configuration.data_centre(self._me.data_centre) is None:
            return
        if configuration.is_in(self._me.data_centre):
            if self._out_since is not None:
                self._timeline.record(EventKind.DATA_CENTRE_IN, detail=self._me.data_centre)
            self._out_since = None
        elif self._out_since is None:
            self._out_since = self._now()
            self._timeline.record(EventKind.DATA_CENTRE_OUT, detail=self._me.data_centre)

    def _record_readiness(self, was_ready: bool) -> None:
        refusal = self.readiness_refusal()
        self._metrics.gauge(names.READY, 0 if refusal else 1)
        if was_ready and refusal is not None:
            self._timeline.record(EventKind.UNREADY, detail=refusal.kind.value)
        elif not was_ready and refusal is None:
            self._timeline.record(EventKind.READY)

    def _is_live(self, vm_id: str) -> bool:
        return any(view.member(vm_id) is not None for view in self._state.views)

    def _on_fault(self, error: Exception) -> None:
        self._timeline.record(EventKind.INTERNAL_FAULT, detail=f"data plane: {error!r}")

    def _open_backend(self, server: Server) -> Backend:
        def on_event(event: str) -> None:
            if event == "opened":
                self._metrics.count(names.CONNECTIONS_OPENED, server=server.id)
            elif event in _REPLACED_EVENTS:
                self._metrics.count(names.CONNECTIONS_REPLACED, reason=event)
            if event == "silent":
                self._timeline.record(EventKind.CONNECTION_REPLACED, server=server.id, detail=event)

        return open_http_backend(server, self._options.backend, on_event)


_REPLACED_EVENTS: Final = frozenset({"silent", "dropped", "probe_failed", "expired"})


def _make_id_generator() -> Callable[[], str]:
    """Return a generator of ids that consist of a random prefix per process and a counter."""
    prefix = secrets.token_hex(6)
    count = 0

    def new_id() -> str:
        nonlocal count
        count += 1
        return f"{prefix}-{count:x}"

    return new_id
