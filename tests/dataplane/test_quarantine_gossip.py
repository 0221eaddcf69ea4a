"""Exchange of quarantine records between VMs."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable

import attrs
import pytest

from berylspindle_dataplane.entry_quarantine import EntryQuarantine
from berylspindle_dataplane.quarantine_gossip import MAX_BROADCAST_VMS, QuarantineGossip
from berylspindle_decisions.quarantine import Quarantine, QuarantineLevel
from berylspindle_model.errors import ErrorKind, RefusalError, RunState
from berylspindle_model.events import EventKind
from berylspindle_model.messages import AttemptReply
from berylspindle_model.topology import ClusterState, View, Vm
from berylspindle_telemetry.timeline import Timeline

BAD = "bad"
LOST = AttemptReply(
    attempt="a",
    server="s",
    shard="0",
    error=ErrorKind.CONNECTION_LOST,
    run=RunState.MAY_HAVE_RUN,
    served_ms=4.0,
    lost_together=1,
)


class Cluster:
    """VMs of one data centre that reach each other without delay; the test sets the time."""

    def __init__(self, size: int) -> None:
        self.now = 100.0
        self.sent = 0
        vms = [
            Vm(id=f"vm{n}", data_centre="a", host="127.0.0.1", peer_port=n + 1) for n in range(size)
        ]
        view = View(data_centre="a", epoch=1, members=tuple(vms))
        self.timelines = [Timeline(vm.id) for vm in vms]
        self.quarantines = [EntryQuarantine(timeline) for timeline in self.timelines]
        self.owners = [Quarantine() for _ in vms]
        self.gossips = {
            vm.id: QuarantineGossip(
                quarantine,
                owner,
                me=vm,
                send=self._send_to,
                now=lambda: self.now,
                rng=random.Random(n),
            )
            for n, (vm, quarantine, owner) in enumerate(
                zip(vms, self.quarantines, self.owners, strict=True)
            )
        }
        for gossip in self.gossips.values():
            gossip.adopt(ClusterState(views=(view,)))

    async def _send_to(self, vm: Vm, payload: bytes) -> None:
        self.sent += 1
        await self.gossips[vm.id].receive(payload)

    def levels(self) -> list[QuarantineLevel]:
        return [quarantine.level(self.now, BAD) for quarantine in self.quarantines]

    async def wait_until_quiet(self) -> None:
        """Wait until no message has been sent for a while."""
        quiet = 0
        while quiet < 5:
            before = self.sent
            await asyncio.sleep(0.01)
            quiet = quiet + 1 if self.sent == before else 0


MakeCluster = Callable[[int], Cluster]


@pytest.fixture
async def make() -> AsyncIterator[MakeCluster]:
    tasks: list[asyncio.Task[None]] = []

    def make_cluster(size: int) -> Cluster:
        cluster = Cluster(size)
        tasks.extend(asyncio.create_task(gossip.run()) for gossip in cluster.gossips.values())
        return cluster

    yield make_cluster
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.parametrize("size", [2, 8, MAX_BROADCAST_VMS + 24])
async def test_strikes_reach_every_vm(make: MakeCluster, size: int) -> None:
    """Guards against a search that takes down a server for each VM it is sent through.

    The first VM that loses a server notifies the others: all of them if they are few, else four
    random ones, which forward to four others each. The exchange terminates.
    """
    cluster = make(size)
    cluster.quarantines[0].record_reply(cluster.now, BAD, LOST)
    await cluster.wait_until_quiet()
    assert cluster.levels() == [QuarantineLevel.SUSPECT] * size
    cluster.now += 0.5
    again = attrs.evolve(LOST, server="t")
    cluster.quarantines[1].record_reply(cluster.now, BAD, again)
    await cluster.wait_until_quiet()
    assert cluster.levels() == [QuarantineLevel.QUARANTINED] * size
    events = [event.kind for event in cluster.timelines[0].select().events]
    assert events == [EventKind.QUARANTINED]


async def test_strikes_of_one_fan_out_are_sent_in_one_message(make: MakeCluster) -> None:
    """Guards against one message per shard to each VM while backend servers are crashing."""
    cluster = make(2)
    for n in range(10):
        cluster.quarantines[0].record_reply(cluster.now, BAD, attrs.evolve(LOST, server=f"s{n}"))
    await cluster.wait_until_quiet()
    # One message from the first VM, and one forwarded by the other because the records were new.
    assert cluster.sent == 2


async def test_a_cleared_request_is_cleared_at_every_owner(make: MakeCluster) -> None:
    """Guards against a search that misses the shards of one VM for minutes.

    A server crashed for another reason while the search ran, and its owner refuses the search
    since. When the search has run without harm elsewhere, the owner must receive the clearing.
    """
    cluster = make(3)
    cluster.owners[2].on_connection_lost(cluster.now, BAD, "s")
    cluster.quarantines[0].record_reply(cluster.now, BAD, LOST)
    await cluster.wait_until_quiet()
    assert cluster.owners[2].check_attempt(cluster.now, BAD, canary=False) is not None
    cluster.quarantines[1].record_reply(
        cluster.now, BAD, AttemptReply(attempt="b", server="t", shard="0")
    )
    await cluster.wait_until_quiet()
    assert cluster.levels() == [QuarantineLevel.CLEARED] * 3
    assert cluster.owners[2].check_attempt(cluster.now, BAD, canary=False) is None


async def test_a_quarantine_that_ends_by_time_is_recorded(make: MakeCluster) -> None:
    """Guards against a timeline that shows the start of a quarantine but not its end."""
    cluster = make(1)
    quarantine = cluster.quarantines[0]
    quarantine.record_reply(cluster.now, BAD, LOST)
    quarantine.record_reply(cluster.now + 1, BAD, attrs.evolve(LOST, server="t"))
    assert quarantine.quarantined == 1
    quarantine.expire(cluster.now + 3600)
    assert quarantine.quarantined == 0
    kinds = [event.kind for event in cluster.timelines[0].select().events]
    assert kinds == [EventKind.QUARANTINED, EventKind.QUARANTINE_ENDED]


async def test_a_broken_link_between_vms_is_no_strike(make: MakeCluster) -> None:
    """Guards against suspecting harmless searches that ran while a VM was replaced.

    The link to their owner broke; no backend server is known to have crashed.
    """
    cluster = make(1)
    cluster.quarantines[0].record_reply(cluster.now, BAD, attrs.evolve(LOST, lost_together=0))
    assert cluster.levels() == [QuarantineLevel.CLEARED]


async def test_a_malformed_payload_is_refused(make: MakeCluster) -> None:
    cluster = make(1)
    with pytest.raises(RefusalError):
        await cluster.gossips["vm0"].receive(b"\xc1")
