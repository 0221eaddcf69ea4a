"""Configurations that reach the store while some VMs have no sound path to it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

import attrs
import pytest

from berylspindle_controlplane.documents import CONFIGURATION_KEY
from berylspindle_controlplane.gossip import Gossip, GossipSink
from berylspindle_decisions.ownership import RightLevel
from berylspindle_model.configuration import Configuration, DataCentre, DataCentreState
from berylspindle_model.configuration_codec import to_stored
from berylspindle_model.control_messages import NOT_CONFIRMED, Digest, Ping, to_datagram
from berylspindle_model.delta import Changes
from berylspindle_model.topology import View, Vm
from berylspindle_store.store import ListResult, StoreUnavailable, WatchResult

IN_FORCE_S = 9.0
"""Longest time until a configuration in the store is in force at a VM whose data centre has VMs
that reach the store: `MAX_AGE_S`, and the longest interval between two overdue reads."""

SETTLED_S = 10.0
CONFIGURATION = Configuration(
    revision=1,
    deployment="kurabito",
    data_centres=(DataCentre(name="a", region="n"), DataCentre(name="b", region="n")),
)
SERVERS = [f"server-{number}" for number in range(40)]
VMS = [f"a{number}" for number in range(6)]
MANY_VMS = [f"a{number}" for number in range(24)]


async def start_settled(cluster: Any, names: list[str]) -> list[Vm]:
    """Start VMs of one data centre, and wait until each server has one owner."""
    cluster.store.write(CONFIGURATION_KEY, to_stored(CONFIGURATION), 0)
    vms = [await cluster.start(name, "a") for name in names]
    await cluster.until(lambda: all_held_once(cluster, vms))
    await asyncio.sleep(SETTLED_S)
    return vms


def held(cluster: Any, vm: Vm) -> list[str]:
    rights, now = cluster.plane(vm).rights, asyncio.get_running_loop().time()
    return [server for server in SERVERS if rights.level(server, now) is RightLevel.HELD]


def all_held_once(cluster: Any, vms: Iterable[Vm]) -> bool:
    return sorted(server for vm in vms for server in held(cluster, vm)) == sorted(SERVERS)


def watchers(cluster: Any, vms: Iterable[Vm]) -> list[Vm]:
    tasks = {vm: cluster.plane(vm)._watch_task for vm in vms}
    return [vm for vm, task in tasks.items() if task is not None and not task.done()]


def change_configuration(cluster: Any) -> None:
    """Write a configuration to the store, as a VM does that fails before it tells the others."""
    out = attrs.evolve(CONFIGURATION.data_centres[1], state=DataCentreState.OUT)
    data_centres = (CONFIGURATION.data_centres[0], out)
    changed = attrs.evolve(CONFIGURATION, revision=2, data_centres=data_centres)
    entry = cluster.store.state.get(CONFIGURATION_KEY, 0.0)
    cluster.store.write(CONFIGURATION_KEY, to_stored(changed), entry.revision)


async def in_force(cluster: Any, vms: list[Vm]) -> None:
    await cluster.until(
        lambda: all(cluster.plane(vm).state.configuration.revision == 2 for vm in vms),
        seconds=IN_FORCE_S,
    )


@pytest.mark.parametrize(("names", "count"), [(VMS, 1), (VMS, 2), (MANY_VMS, 2)])
async def test_a_configuration_is_in_force_though_the_store_rejects_watchers(
    cluster: Any, names: list[str], count: int
) -> None:
    """Guard against a data centre that takes its watchers' rejection for an outage of the store."""
    vms = await start_settled(cluster, names)
    for vm in watchers(cluster, vms)[:count]:
        cluster.stores[vm.id].cut = True
    await asyncio.sleep(SETTLED_S)
    change_configuration(cluster)
    await in_force(cluster, vms)


async def test_a_configuration_is_in_force_though_watches_are_lost(
    cluster: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against watchers whose watches wait on connections that lead nowhere."""
    vms = await start_settled(cluster, VMS)

    async def lost_watch(prefix: str, *, after: int, wait: float) -> WatchResult:
        await asyncio.sleep(wait + 1.0)
        raise StoreUnavailable("no response")

    for vm in watchers(cluster, vms):
        monkeypatch.setattr(cluster.stores[vm.id], "watch", lost_watch)
        plane = cluster.plane(vm)
        plane._watch_task.cancel()
        plane._watch_task = plane._spawn(plane._watcher.run())
    await asyncio.sleep(0.5)
    change_configuration(cluster)
    await in_force(cluster, vms)


async def test_watchers_go_on_after_an_unexpected_error(
    cluster: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a watcher that no longer follows the store, which nobody notices."""
    vms = await start_settled(cluster, VMS)
    watching = watchers(cluster, vms)

    async def failing_watch(prefix: str, *, after: int, wait: float) -> WatchResult:
        raise RuntimeError("unexpected")

    with monkeypatch.context() as patched:
        for vm in watching:
            patched.setattr(cluster.stores[vm.id], "watch", failing_watch)
        await asyncio.sleep(40.0)
    assert [event for event in cluster.events if event[1] == "internal_fault"]
    assert watchers(cluster, vms) == watching
    change_configuration(cluster)
    await in_force(cluster, vms)


async def test_a_vm_that_only_the_store_confirms_gets_its_configuration_there(cluster: Any) -> None:
    """Guard against a VM that keeps its rights by the store and never reads a configuration.

    It is cut off from its peers, which can't remove it since the store rejects them.
    """
    vms = await start_settled(cluster, VMS)
    alone = next(vm for vm in vms if vm not in watchers(cluster, vms))
    others = [vm for vm in vms if vm is not alone]
    cluster.network.partition([alone], others)
    for vm in others:
        cluster.stores[vm.id].cut = True
    await asyncio.sleep(SETTLED_S)
    change_configuration(cluster)
    await in_force(cluster, [alone])
    assert held(cluster, alone)


@pytest.mark.parametrize("names", [VMS, MANY_VMS])
async def test_only_watchers_call_the_store_while_they_are_well(
    cluster: Any, names: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against ages that grow overdue on their way through the data centre."""
    vms = await start_settled(cluster, names)

    async def unexpected_list(prefix: str) -> ListResult:
        raise AssertionError(prefix)

    for vm in vms:
        monkeypatch.setattr(cluster.stores[vm.id], "list", unexpected_list)
    await asyncio.sleep(40.0)
    assert not [event for event in cluster.events if event[1] == "internal_fault"]


@pytest.mark.parametrize("names", [VMS, MANY_VMS])
async def test_store_calls_in_an_outage_do_not_grow_with_the_data_centre(
    cluster: Any, names: list[str]
) -> None:
    """Guard against a store that is overloaded by the reads of all VMs when it returns."""
    vms = await start_settled(cluster, names)
    cluster.store.down = True
    await asyncio.sleep(SETTLED_S)
    before, seconds = cluster.store.calls, 60.0
    await asyncio.sleep(seconds)
    assert (cluster.store.calls - before) / seconds <= 4.0
    assert all_held_once(cluster, vms)


class IgnoringSink(GossipSink):
    """A sink that ignores all actions."""

    def send(self, to, data): ...

    def pull(self, vm): ...

    def propose_removal(self, removal): ...

    def on_state_changed(self, state, adopted): ...

    def record_event(self, kind, fields): ...


@pytest.mark.parametrize(("paused_s", "age_s"), [(0.1, 0.1), (20.0, 21.0)])
async def test_an_age_that_waited_in_the_socket_of_a_paused_vm_is_ignored(
    paused_s: float, age_s: float
) -> None:
    """Guard against a VM that takes its configuration for fresh after a pause."""
    vms = [Vm(id=name, data_centre="a", host="10.0.0.1", peer_port=n) for n, name in enumerate(VMS)]
    gossip = Gossip(vms[0], IgnoringSink(), rand_below=lambda below: 0)
    view = View(data_centre="a", epoch=1, members=tuple(vms), joined=(1,) * len(vms))
    gossip.offer(Changes(views=(view,)), 100.0)
    gossip.store_age.record(99.0)
    gossip.tick(100.0)
    summary = gossip.knowledge.digest()
    digest = Digest(summary.revision, summary.epochs, summary.mark, ages=(1,))
    ping = Ping("a1", 1, 1, 0, NOT_CONFIRMED, False, digest)
    gossip.on_datagram(to_datagram(ping), ("10.0.0.1", 1), 100.0 + paused_s)
    assert gossip.store_age.age(100.0 + paused_s) == pytest.approx(age_s)
