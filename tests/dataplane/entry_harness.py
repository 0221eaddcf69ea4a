"""Entry of one VM whose owners are fakes that the test answers."""

from __future__ import annotations

import asyncio

import attrs

from berylspindle_dataplane.entry import Entry
from berylspindle_dataplane.entry_context import EntryContext
from berylspindle_dataplane.entry_quarantine import EntryQuarantine
from berylspindle_dataplane.owner_table import OwnerTable
from berylspindle_dataplane.router import OnReply, Router
from berylspindle_dataplane.shedding_events import SheddingEvents
from berylspindle_decisions.admission import AdmissionOptions
from berylspindle_decisions.deadlines import Deadlines
from berylspindle_model.configuration import Configuration, DataCentre, Server, Service
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import (
    Attempt,
    AttemptBatch,
    AttemptReply,
    SearchRequest,
)
from berylspindle_model.snapshot import Snapshot
from berylspindle_model.topology import ClusterState, View, Vm
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.timeline import Timeline

ME = Vm(id="vm", data_centre="a", host="127.0.0.1", peer_port=1)
SERVER = Server(
    id="s",
    service="lots",
    shard="0",
    data_centre="a",
    host="127.0.0.1",
    port=1,
    slots=3,
    connections=30,
)
WITH_SERVICE = Configuration(
    deployment="small",
    revision=1,
    data_centres=(DataCentre(name="a", region="r"),),
    services=(Service(name="lots", epoch=1, shards=("0",)),),
    servers=(SERVER,),
)
WITHOUT_SERVICE = attrs.evolve(WITH_SERVICE, revision=2, services=(), servers=())
REQUEST = SearchRequest(
    request_id="r", service="lots", caller="c", query="lot", limit=10, deadline_ms=60_000
)


class FakeOwners:
    """Record attempts until the test answers them."""

    def __init__(self) -> None:
        self.sent: list[tuple[AttemptBatch, Attempt, OnReply]] = []
        self.cancelled: list[str] = []

    def submit_local(self, batch: AttemptBatch, on_reply: OnReply) -> None:
        self.sent.extend((batch, attempt, on_reply) for attempt in batch.attempts)

    def submit(self, vm: Vm, batch: AttemptBatch, on_reply: OnReply) -> None:
        raise AssertionError("every server is this VM's own")

    def cancel(self, *attempts: object) -> None:
        self.cancelled.extend(str(each) for each in attempts)

    def refuse(self, kind: ErrorKind, run: RunState = RunState.NOT_RUN) -> None:
        """Refuse the latest attempt in place of its owner."""
        _, attempt, on_reply = self.sent[-1]
        on_reply(AttemptReply(attempt=attempt.id, server="s", shard="0", error=kind, run=run))

    def answer(self) -> None:
        _, attempt, on_reply = self.sent[-1]
        on_reply(AttemptReply(attempt=attempt.id, server="s", shard="0", snapshot=Snapshot(1, 1)))


class EntryHarness:
    """Entry with fake owners."""

    def __init__(self) -> None:
        self.owners = FakeOwners()
        self.table = OwnerTable()
        self.router = Router(me=ME, owners=self.table, local=self.owners, links=self.owners)
        timeline = Timeline("vm")
        ids = iter(range(1000))
        self.context = EntryContext(
            metrics=Metrics(),
            timeline=timeline,
            now=asyncio.get_running_loop().time,
            random=lambda: 0.5,
            new_id=lambda: f"a{next(ids)}",
            deadlines=Deadlines(),
            quarantine=EntryQuarantine(timeline),
            admission=AdmissionOptions(),
            shedding=SheddingEvents(timeline),
        )
        self.entry = Entry(self.router, self.context)
        self.adopt(WITH_SERVICE)

    def adopt(self, configuration: Configuration) -> None:
        view = View(data_centre="a", epoch=1, members=(ME,))
        state = ClusterState(configuration=configuration, views=(view,))
        self.table.adopt(state.views)
        self.router.adopt(state)
        self.entry.adopt(state)

    async def begin(self) -> asyncio.Task[object]:
        task: asyncio.Task[object] = asyncio.create_task(self.entry.search(REQUEST))
        for _ in range(5):
            await asyncio.sleep(0)
        assert self.owners.sent
        return task
