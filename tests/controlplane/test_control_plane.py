"""Test several control planes in one process, with an in-memory store and network."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from berylspindle_controlplane.documents import CONFIGURATION_KEY
from berylspindle_decisions.ownership import RightLevel
from berylspindle_model.configuration import Configuration, DataCentre, DataCentreState
from berylspindle_model.configuration_codec import to_stored
from berylspindle_model.topology import Vm

CONFIGURATION = Configuration(
    revision=1,
    deployment="kurabito",
    data_centres=(DataCentre(name="a", region="n"), DataCentre(name="b", region="n")),
)
SERVERS = [f"server-{n}" for n in range(40)]


def accept(cluster: Any, configuration: Configuration) -> None:
    current = cluster.store.state.get(CONFIGURATION_KEY, 0.0)
    expect = 0 if current is None else current.revision
    cluster.store.write(CONFIGURATION_KEY, to_stored(configuration), expect)


async def start(cluster: Any, names: list[str]) -> list[Vm]:
    accept(cluster, CONFIGURATION)
    vms = [await cluster.start(name, name[0]) for name in names]
    await cluster.until(lambda: all(is_settled(cluster, vm, vms) for vm in vms))
    return vms


def is_settled(cluster: Any, vm: Vm, vms: list[Vm]) -> bool:
    plane = cluster.plane(vm)
    known = {other.id for view in plane.state.views for other in view.members}
    return plane.is_ready and known == {other.id for other in vms}


def holders(cluster: Any, vms: list[Vm], server: str) -> list[str]:
    now = asyncio.get_running_loop().time()
    return [v.id for v in vms if cluster.plane(v).rights.level(server, now) is RightLevel.HELD]


async def all_held_once(cluster: Any, vms: list[Vm]) -> None:
    def held() -> bool:
        counts = [len(holders(cluster, vms, server)) for server in SERVERS]
        assert max(counts) <= 1
        return min(counts) == 1

    await cluster.until(held)


async def test_vms_join_and_each_server_has_one_owner(cluster: Any) -> None:
    vms = await start(cluster, ["a1", "a2", "a3", "a4"])
    await all_held_once(cluster, vms)


async def test_a_configuration_reaches_all_data_centres(cluster: Any) -> None:
    vms = await start(cluster, ["a1", "a2", "a3", "b1", "b2", "b3"])
    out = attrs.evolve(CONFIGURATION.data_centres[0], state=DataCentreState.OUT)
    changed = attrs.evolve(
        CONFIGURATION, revision=2, data_centres=(out, CONFIGURATION.data_centres[1])
    )
    accept(cluster, changed)
    await cluster.until(
        lambda: all(cluster.plane(vm).state.configuration.revision == 2 for vm in vms)
    )
    assert not any(cluster.plane(vm).state.configuration.is_in("a") for vm in vms)


async def test_a_killed_vm_is_removed_and_its_servers_get_new_owners(cluster: Any) -> None:
    """Guard against shards that stay missing after an owner crashes.

    Its guardians suspect it and write a view without it; the new owners dispatch once its rights
    have expired.
    """
    vms = await start(cluster, ["a1", "a2", "a3", "a4", "b1"])
    local, remaining = vms[:4], vms[1:4]
    await all_held_once(cluster, local)
    await cluster.kill(vms[0])
    await cluster.until(lambda: all("a1" in cluster.plane(vm).state.suspects for vm in remaining))
    await cluster.until(
        lambda: all(cluster.plane(vm).state.view("a").member("a1") is None for vm in vms[1:])
    )
    await all_held_once(cluster, remaining)


async def test_a_planned_leave_hands_over_without_waiting(cluster: Any) -> None:
    """Guard against servers without an owner during a rolling restart.

    The leaving VM releases its rights, resigns as a guardian and is marked as released in the view,
    so that the new owners need not wait until its rights would have expired.
    """
    vms = await start(cluster, ["a1", "a2", "a3"])
    await all_held_once(cluster, vms)
    await cluster.plane(vms[0]).leave()
    assert not any(holders(cluster, vms[:1], server) for server in SERVERS)
    await cluster.until(
        lambda: all(cluster.plane(vm).state.view("a").member("a1") is None for vm in vms[1:])
    )
    view = cluster.plane(vms[1]).state.view("a")
    assert view.released == ("a1",)
    assert view.unsettled == 0
    await all_held_once(cluster, vms[1:])


async def test_dispatch_rights_last_through_a_store_outage(cluster: Any) -> None:
    """Guard against lost dispatch rights when the store is unavailable for longer than a lease.

    Guardians confirm the rights without the store.
    """
    vms = await start(cluster, ["a1", "a2", "a3", "a4"])
    await all_held_once(cluster, vms)
    cluster.store.down = True
    for _ in range(100):
        await asyncio.sleep(0.1)
        assert all(len(holders(cluster, vms, server)) == 1 for server in SERVERS)


async def test_a_lost_reply_to_a_join_is_resolved(cluster: Any) -> None:
    """Guard against a VM that joins twice or not at all after a lost reply.

    The VM repeats the swap, which took effect, and finds itself in the entry of the conflict.
    """
    accept(cluster, CONFIGURATION)
    cluster.store.lose_replies = 1
    vm = await cluster.start("a1", "a")
    await cluster.until(lambda: cluster.plane(vm).gossip.ownership.is_member)
    assert cluster.plane(vm).state.view("a").epoch == 1


async def test_a_new_vm_starts_from_peers_during_a_store_outage(cluster: Any) -> None:
    """Guard against a VM that cannot start during an outage of the store.

    It gets the configuration and the views from a seed.
    """
    await start(cluster, ["a1", "a2"])
    cluster.store.down = True
    new_vm = await cluster.start("a3", "a")
    await cluster.until(lambda: cluster.plane(new_vm).is_ready)
    assert cluster.plane(new_vm).state.view("a") is not None
    cluster.store.down = False
    await cluster.until(lambda: cluster.plane(new_vm).gossip.ownership.is_member)
