"""Data plane components with fake peers that answer at once, to measure the component alone.

Flow: `instant_entry` returns an entry whose owners are `InstantOwners`, `instant_worker` a server
worker whose backend server is an `InstantBackend`; `make_configuration` and `make_view` return
cluster state of a given size.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from berylspindle_dataplane.backend import Backend, BackendReport
from berylspindle_dataplane.entry import Entry
from berylspindle_dataplane.entry_context import EntryContext
from berylspindle_dataplane.entry_quarantine import EntryQuarantine
from berylspindle_dataplane.owner_table import OwnerTable
from berylspindle_dataplane.router import LocalDispatcher, OnReply, Router
from berylspindle_dataplane.server_worker import ServerWorker
from berylspindle_dataplane.shedding_events import SheddingEvents
from berylspindle_dataplane.worker_context import QueuedAttempt, WorkerContext
from berylspindle_decisions.admission import AdmissionOptions
from berylspindle_decisions.concurrency import WarmUpState
from berylspindle_decisions.deadlines import Deadlines
from berylspindle_decisions.fair_queue import FairQueueOptions
from berylspindle_decisions.ownership import DispatchRights, RightLevel
from berylspindle_model.configuration import Configuration, DataCentre, Policy, Server, Service
from berylspindle_model.messages import Attempt, AttemptBatch, AttemptReply, Hit
from berylspindle_model.snapshot import Snapshot
from berylspindle_model.topology import ClusterState, View, Vm
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.timeline import Timeline

SNAPSHOT: Final = Snapshot(1, 1)
SHARDS_PER_SERVICE: Final = 470


class InstantOwners:
    """Owners that answer every attempt in the next iteration of the event loop.

    All replies of one shard have the same hits.
    """

    def __init__(self, *, hits: int) -> None:
        self._hits: Final = hits
        self._rng: Final = random.Random(1)
        self._replies: dict[str, AttemptReply] = {}
        self.batches = 0

    def submit(self, vm: Vm, batch: AttemptBatch, on_reply: OnReply) -> None:
        """Schedule one reply for each attempt of the batch."""
        self.batches += 1
        asyncio.get_running_loop().call_soon(self._answer, batch, on_reply)

    def cancel(self, vm: Vm, attempts: Sequence[str]) -> None:
        """Do nothing: every attempt has been answered."""

    def _answer(self, batch: AttemptBatch, on_reply: OnReply) -> None:
        for attempt in batch.attempts:
            reply = self._replies.get(attempt.shard)
            if reply is None:
                reply = make_reply(attempt.shard, self._hits, self._rng)
                self._replies[attempt.shard] = reply
            on_reply(attrs.evolve(reply, attempt=attempt.id, server=attempt.server))


class NoLocalOwner(LocalDispatcher):
    """Local dispatcher of a VM that owns no server: every batch goes to another VM."""

    def submit_local(self, batch: AttemptBatch, on_reply: OnReply) -> None:
        """Raise NotImplementedError: no view contains this VM."""
        raise NotImplementedError

    def cancel(self, attempts: Sequence[str]) -> None:
        """Raise NotImplementedError: no view contains this VM."""
        raise NotImplementedError


class InstantBackend(Backend):
    """A backend server that answers at once."""

    async def run(self, attempt: Attempt, *, deadline_ms: int) -> AttemptReply:
        """Return a reply without hits."""
        return AttemptReply(
            attempt=attempt.id, server=attempt.server, shard=attempt.shard, snapshot=SNAPSHOT
        )

    async def report(self) -> BackendReport | None:
        """Return no report."""
        return None

    async def close(self) -> None:
        """Do nothing: there is no connection."""


class UnconditionalRights(DispatchRights):
    """Dispatch rights that are held for every server."""

    def level(self, server_id: str, now: float) -> RightLevel:
        """Return HELD for every server."""
        return RightLevel.HELD

    def usable_from(self, server_id: str) -> float:
        """Return negative infinity: every server is usable at once."""
        return float("-inf")


def instant_entry(owners: InstantOwners, *, shards: int) -> tuple[Entry, ClusterState]:
    """Return an entry whose owners answer at once, and a cluster state.

    The router has adopted the state, the entry itself has not.
    """
    configuration = make_configuration(shards * 3, shards=shards)
    views = tuple(make_view(40, dc.name) for dc in configuration.data_centres)
    state = ClusterState(configuration=configuration, views=views)
    local_vm = Vm(id="entry", data_centre="dc-0", host="127.0.0.1", peer_port=1)
    table = OwnerTable()
    table.adopt(views)
    router = Router(me=local_vm, owners=table, local=NoLocalOwner(), links=owners)
    router.adopt(state)
    timeline = Timeline(local_vm.id)
    numbers = itertools.count()
    context = EntryContext(
        metrics=Metrics(),
        timeline=timeline,
        now=time.monotonic,
        random=random.Random(1).random,
        new_id=lambda: f"a{next(numbers)}",
        deadlines=Deadlines(),
        quarantine=EntryQuarantine(timeline),
        admission=AdmissionOptions(),
        shedding=SheddingEvents(timeline),
    )
    return Entry(router, context), state


def instant_worker(
    backend: InstantBackend,
) -> tuple[ServerWorker, Callable[[Attempt], asyncio.Future[AttemptReply]]]:
    """Return a worker whose backend server answers at once, and a function to submit an attempt."""
    context = WorkerContext(
        rights=UnconditionalRights(),
        metrics=Metrics(),
        timeline=Timeline("vm"),
        now=time.monotonic,
        deadlines=Deadlines(),
        queue=FairQueueOptions(),
    )
    server = make_configuration(1).servers[0]
    worker = ServerWorker(server, backend, context, WarmUpState(cap=3, baseline_ms=1.0))

    def submit(attempt: Attempt) -> asyncio.Future[AttemptReply]:
        done: asyncio.Future[AttemptReply] = asyncio.get_running_loop().create_future()
        now = time.monotonic()
        worker.submit(QueuedAttempt(attempt, "c", now + 10.0, done.set_result, now))
        return done

    return worker, submit


def make_configuration(
    servers: int, *, shards: int = SHARDS_PER_SERVICE, data_centres: int = 5
) -> Configuration:
    """Return a configuration with one service and the given number of backend servers."""
    names = [f"dc-{number}" for number in range(data_centres)]
    return Configuration(
        revision=1,
        deployment="plan",
        data_centres=tuple(
            DataCentre(name=name, region=f"r{n % 2}") for n, name in enumerate(names)
        ),
        services=(
            Service(
                name="all",
                epoch=1,
                shards=tuple(str(number) for number in range(min(shards, servers))),
                policy=Policy(patience_ms=5000, deadline_ms=10_000),
            ),
        ),
        servers=tuple(
            Server(
                id=f"s{number}",
                service="all",
                shard=str(number % min(shards, servers)),
                data_centre=names[number % data_centres],
                host="127.0.0.1",
                port=10_000 + number % 50_000,
                slots=3,
                connections=30,
            )
            for number in range(servers)
        ),
    )


def make_view(members: int, data_centre: str = "dc-0") -> View:
    """Return a view with the given number of members."""
    vms = [
        Vm(id=f"{data_centre}-{n:04}", data_centre=data_centre, host="127.0.0.1", peer_port=1 + n)
        for n in range(members)
    ]
    return View(data_centre=data_centre, epoch=1, members=tuple(vms))


def make_reply(shard: str, hits: int, rng: random.Random) -> AttemptReply:
    """Return a successful reply of a shard with the given number of hits, best first."""
    scores = sorted((rng.random() for _ in range(hits)), reverse=True)
    return AttemptReply(
        attempt="a",
        server="s",
        shard=shard,
        snapshot=SNAPSHOT,
        versions=(SNAPSHOT,),
        hits=tuple(
            Hit(id=f"{shard}-{n}", score=score, fields={"lot": n, "brewery": "Asahi"})
            for n, score in enumerate(scores)
        ),
        served_ms=4.0,
    )
