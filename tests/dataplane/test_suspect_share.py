"""What one VM learns of a crashing request, told to the others."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable

import attrs
import pytest

from berylspindle_dataplane.suspect_share import MAX_TOLD_ALL, SuspectShare
from berylspindle_dataplane.watched_quarantine import WatchedQuarantine
from berylspindle_decisions.quarantine import Level, Quarantine
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


class Fleet:
    """VMs of one data centre that reach each other at once; time stands where the test sets it."""

    def __init__(self, size: int) -> None:
        self.now = 100.0
        self.told = 0
        vms = [
            Vm(id=f"vm{n}", data_centre="a", host="127.0.0.1", peer_port=n + 1) for n in range(size)
        ]
        view = View(data_centre="a", epoch=1, members=tuple(vms))
        self.timelines = [Timeline(vm.id) for vm in vms]
        self.quarantines = [WatchedQuarantine(timeline) for timeline in self.timelines]
        self.owners = [Quarantine() for _ in vms]
        self.shares = {
            vm.id: SuspectShare(
                quarantine,
                owner,
                me=vm,
                tell=self._tell,
                now=lambda: self.now,
                rng=random.Random(n),
            )
            for n, (vm, quarantine, owner) in enumerate(
                zip(vms, self.quarantines, self.owners, strict=True)
            )
        }
        for share in self.shares.values():
            share.adopt(ClusterState(views=(view,)))

    async def _tell(self, vm: Vm, payload: bytes) -> None:
        self.told += 1
        await self.shares[vm.id].receive(payload)

    def levels(self) -> list[Level]:
        return [quarantine.level(self.now, BAD) for quarantine in self.quarantines]

    async def settle(self) -> None:
        """Let news travel until nobody tells anything for a while."""
        quiet = 0
        while quiet < 5:
            before = self.told
            await asyncio.sleep(0.01)
            quiet = quiet + 1 if self.told == before else 0


MakeFleet = Callable[[int], Fleet]


@pytest.fixture
async def make() -> AsyncIterator[MakeFleet]:
    tasks: list[asyncio.Task[None]] = []

    def make_fleet(size: int) -> Fleet:
        fleet = Fleet(size)
        tasks.extend(asyncio.create_task(share.run()) for share in fleet.shares.values())
        return fleet

    yield make_fleet
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.parametrize("size", [2, 8, MAX_TOLD_ALL + 24])
async def test_every_vm_hears_of_a_crashing_request(make: MakeFleet, size: int) -> None:
    """One search takes a server down for each VM that it is sent through.

    The first VM that loses a server tells the others: all of them where they are few, four at
    random and those four others where they are many. The exchange ends by itself.
    """
    fleet = make(size)
    fleet.quarantines[0].learn(fleet.now, BAD, LOST)
    await fleet.settle()
    assert fleet.levels() == [Level.SUSPECT] * size
    fleet.now += 0.5
    again = attrs.evolve(LOST, server="t")
    fleet.quarantines[1].learn(fleet.now, BAD, again)
    await fleet.settle()
    assert fleet.levels() == [Level.QUARANTINED] * size
    events = [event.kind for event in fleet.timelines[0].select().events]
    assert events == [EventKind.QUARANTINED]


async def test_strikes_of_one_fan_out_go_out_together(make: MakeFleet) -> None:
    """A fan-out over ten shards sends ten messages to each VM while servers are dying."""
    fleet = make(2)
    for n in range(10):
        fleet.quarantines[0].learn(fleet.now, BAD, attrs.evolve(LOST, server=f"s{n}"))
    await fleet.settle()
    # One sending from the first VM, and one that the other passes on as it was new there.
    assert fleet.told == 2


async def test_a_cleared_request_is_cleared_at_every_owner(make: MakeFleet) -> None:
    """A search of an importer misses the shards of one VM for minutes.

    A server died by itself while the search ran there, and its owner refuses the search since. It
    has run without harm elsewhere; the owner must hear of that.
    """
    fleet = make(3)
    fleet.owners[2].on_lost(fleet.now, BAD, "s")
    fleet.quarantines[0].learn(fleet.now, BAD, LOST)
    await fleet.settle()
    assert fleet.owners[2].allows(fleet.now, BAD, canary=False) is not None
    fleet.quarantines[1].learn(fleet.now, BAD, AttemptReply(attempt="b", server="t", shard="0"))
    await fleet.settle()
    assert fleet.levels() == [Level.CLEARED] * 3
    assert fleet.owners[2].allows(fleet.now, BAD, canary=False) is None


async def test_a_quarantine_that_ends_by_time_is_recorded(make: MakeFleet) -> None:
    """The time line shows that a search is refused and never that it is tried again."""
    fleet = make(1)
    quarantine = fleet.quarantines[0]
    quarantine.learn(fleet.now, BAD, LOST)
    quarantine.learn(fleet.now + 1, BAD, attrs.evolve(LOST, server="t"))
    assert quarantine.quarantined == 1
    quarantine.expire(fleet.now + 3600)
    assert quarantine.quarantined == 0
    kinds = [event.kind for event in fleet.timelines[0].select().events]
    assert kinds == [EventKind.QUARANTINED, EventKind.QUARANTINE_ENDED]


async def test_a_broken_link_between_vms_is_no_strike(make: MakeFleet) -> None:
    """Harmless searches become suspects because a VM was replaced while they ran.

    The link to their owner broke; no backend server is known to have gone.
    """
    fleet = make(1)
    fleet.quarantines[0].learn(fleet.now, BAD, attrs.evolve(LOST, lost_together=0))
    assert fleet.levels() == [Level.CLEARED]


async def test_what_is_no_list_of_records_is_refused(make: MakeFleet) -> None:
    fleet = make(1)
    with pytest.raises(RefusalError):
        await fleet.shares["vm0"].receive(b"\xc1")
