"""The data plane of one VM, assembled: entry, executor and owner behind the callers' edge.

Flow: `open_data_plane` makes the parts; the control plane's states go to `adopt`, which hands them
on in the order in which they depend on each other. `drain` finishes all in flight, `close` ends it.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Coroutine
from typing import Final

import attrs

from berylspindle_dataplane.backend import Backend
from berylspindle_dataplane.edge import CallerEdge, EdgeHandlers
from berylspindle_dataplane.entry import Entry
from berylspindle_dataplane.entry_tools import EntryTools
from berylspindle_dataplane.executor import Executor
from berylspindle_dataplane.http_backend import BackendOptions, open_http_backend
from berylspindle_dataplane.owner import Owner
from berylspindle_dataplane.owner_table import OwnerTable
from berylspindle_dataplane.router import Dispatcher, Router
from berylspindle_dataplane.shedding import Shedding
from berylspindle_dataplane.suspect_share import SuspectShare, Tell
from berylspindle_dataplane.watched_quarantine import WatchedQuarantine
from berylspindle_dataplane.worker_tools import WorkerTools
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
from berylspindle_telemetry.timeline import Timeline
from berylspindle_wire.http import HttpRequest, HttpResponse


@attrs.frozen(kw_only=True)
class DataPlaneOptions:
    """Settings of the data plane.

    Attributes:
        requests_in_flight: callers' requests of one service worked on at once.
        server_queue: attempts that wait for one owned backend server.
        backend: settings of the connections to backend servers.
        out_grace: seconds for which an entry in a data centre that was taken out still serves
            what the balancer sends, before it refuses.
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
        tell_suspects: Tell,
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
        self._settled = False
        self._timeline: Final = timeline
        self._owners: Final = OwnerTable()
        worker_tools = self._worker_tools(rights)
        self.owner: Final = Owner(me, self._owners, self._open_backend, worker_tools)
        self._router: Final = Router(me=me, owners=self._owners, own=self.owner, links=links)
        tools = self._entry_tools()
        self.quarantine: Final = tools.quarantine
        self._entry: Final = Entry(self._router, tools)
        self._executor: Final = Executor(self._router, self._entry, claims, tools, self._is_live)
        self.share: Final = self._suspect_share(worker_tools, tell_suspects)
        self._tasks: Final = _start(self._executor.settle_pending(), self.share.run())
        self._requests = 0
        self._idle: Final = asyncio.Event()
        self._idle.set()
        self._edge: Final = CallerEdge(self._edge_handlers(tools))
        metrics.gauge_function(names.REQUESTS_IN_FLIGHT, lambda: self._requests)
        metrics.gauge_function(names.QUARANTINED, lambda: self.quarantine.quarantined)

    @property
    def in_flight(self) -> int:
        """Return the callers' requests being worked on."""
        return self._requests

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request of a caller, or of the balancer."""
        self._requests += 1
        self._idle.clear()
        try:
            return await self._edge.handle(request)
        finally:
            self._requests -= 1
            if not self._requests:
                self._idle.set()

    def adopt(self, state: ClusterState) -> None:
        """Follow a new state of the cluster."""
        was_ready = self.unready() is None
        self._state = state
        self._note_out(state)
        self._owners.adopt(state.views)
        self.owner.adopt(state)
        self._router.adopt(state)
        self._entry.adopt(state)
        self.share.adopt(state)
        self._note_ready(was_ready)

    def mark_leaving(self, servers: frozenset[str]) -> None:
        """Give no new work to backend servers that the VM list says are leaving."""
        self._router.mark_leaving(servers)
        self.owner.mark_leaving(servers)

    def unready(self) -> Refusal | None:
        """Return why the balancer should not send here, or None where it may."""
        if self._shutting_down:
            return Refusal(ErrorKind.SHUTTING_DOWN)
        if self._state.configuration is None:
            return Refusal(ErrorKind.NOT_READY)
        if self._out_since is not None:
            return Refusal(ErrorKind.DATA_CENTRE_OUT)
        if not self._settled:
            return Refusal(ErrorKind.NOT_READY, "ownership of backend servers settles")
        return None

    def mark_settled(self) -> None:
        """Let the balancer send here: this VM may dispatch to what it owns, or waited enough."""
        was_ready = self.unready() is None
        self._settled = True
        self._note_ready(was_ready)

    def begin_shutdown(self) -> None:
        """Tell the balancer to send no more; what still comes is served."""
        was_ready = self.unready() is None
        self._shutting_down = True
        self._note_ready(was_ready)

    async def hand_over(self) -> None:
        """Give up claims, then owned servers: take no more, and wait for what is under way.

        Claims come first, while this VM's own servers still run what was claimed.
        """
        self._executor.stop_taking()
        await self._executor.drained()
        self.owner.stop_taking()
        await self.owner.drained()

    async def drained(self) -> None:
        """Wait until no caller's request and no owned attempt is under way."""
        await self._idle.wait()
        await self._executor.drained()
        await self.owner.drained()

    async def close(self) -> None:
        """End all work."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.owner.close()

    def _worker_tools(self, rights: DispatchRights) -> WorkerTools:
        return WorkerTools(
            rights=rights,
            metrics=self._metrics,
            timeline=self._timeline,
            now=self._now,
            deadlines=Deadlines(),
            queue=FairQueueOptions(max_entries=self._options.server_queue),
        )

    def _entry_tools(self) -> EntryTools:
        return EntryTools(
            metrics=self._metrics,
            timeline=self._timeline,
            now=self._now,
            random=random.Random().random,
            new_id=_id_maker(),
            deadlines=Deadlines(),
            quarantine=WatchedQuarantine(self._timeline),
            admission=AdmissionOptions(max_work=self._options.requests_in_flight),
            shedding=Shedding(self._timeline),
        )

    def _suspect_share(self, worker_tools: WorkerTools, tell: Tell) -> SuspectShare:
        return SuspectShare(
            self.quarantine,
            worker_tools.quarantine,
            me=self._me,
            tell=tell,
            now=self._now,
            rng=random.Random(),
        )

    def _edge_handlers(self, tools: EntryTools) -> EdgeHandlers:
        return EdgeHandlers(
            search=self._entry.search,
            execute=self._executor.execute,
            outcome=self._executor.outcome,
            ready=self.unready,
            refused=self._refused,
            new_id=tools.new_id,
        )

    def _refused(self) -> Refusal | None:
        """Return as what callers' new requests are refused, or None where they are served."""
        if self._state.configuration is None:
            return Refusal(ErrorKind.NOT_READY)
        # For a while the balancer has not yet seen that this VM is unready; its callers did no
        # wrong, and the work goes to other data centres.
        if self._out_since is None or self._now() - self._out_since < self._options.out_grace:
            return None
        return Refusal(ErrorKind.DATA_CENTRE_OUT)

    def _note_out(self, state: ClusterState) -> None:
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

    def _note_ready(self, was_ready: bool) -> None:
        refusal = self.unready()
        self._metrics.gauge(names.READY, 0 if refusal else 1)
        if was_ready and refusal is not None:
            self._timeline.record(EventKind.UNREADY, detail=refusal.kind.value)
        elif not was_ready and refusal is None:
            self._timeline.record(EventKind.READY)

    def _is_live(self, vm_id: str) -> bool:
        return any(view.member(vm_id) is not None for view in self._state.views)

    def _open_backend(self, server: Server) -> Backend:
        def on_event(event: str) -> None:
            if event == "opened":
                self._metrics.count(names.CONNECTIONS_OPENED, server=server.id)
            elif event in _REPLACED:
                self._metrics.count(names.CONNECTIONS_REPLACED, reason=event)
            if event == "silent":
                self._timeline.record(EventKind.CONNECTION_REPLACED, server=server.id, detail=event)

        return open_http_backend(server, self._options.backend, on_event)


_REPLACED: Final = frozenset({"silent", "dropped", "probe_failed", "expired"})


def _start(*works: Coroutine[object, object, None]) -> tuple[asyncio.Task[None], ...]:
    loop = asyncio.get_running_loop()
    return tuple(loop.create_task(work) for work in works)


def _id_maker() -> Callable[[], str]:
    """Return a maker of ids: a random prefix of this process and a count."""
    prefix = secrets.token_hex(6)
    count = 0

    def new_id() -> str:
        nonlocal count
        count += 1
        return f"{prefix}-{count:x}"

    return new_id
