"""State machine test of membership: reachable VMs stay, dead VMs are soon suspected.

Real control planes run on a virtual clock and an in-memory network.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from berylspindle_controlplane.documents import CONFIGURATION_KEY
from berylspindle_decisions.guarding import Wards
from berylspindle_decisions.membership import Prober
from berylspindle_model.configuration import Configuration, DataCentre
from berylspindle_model.configuration_codec import to_stored
from berylspindle_model.topology import Vm

CONFIGURATION = Configuration(
    revision=1,
    deployment="d",
    data_centres=tuple(DataCentre(name=name, region="n") for name in "ab"),
)
NAMES = ["a1", "a2", "a3", "a4", "a5", "b1"]
INDEX = st.integers(min_value=0, max_value=4)
MACHINE_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=30,
    stateful_step_count=10,
    suppress_health_check=list(HealthCheck),
)


async def begin(cluster: Any) -> list[Vm]:
    cluster.store.write(CONFIGURATION_KEY, to_stored(CONFIGURATION), 0)
    vms = [await cluster.start(name, name[0]) for name in NAMES]
    await cluster.until(lambda: all(cluster.plane(v).gossip.ownership.is_member for v in vms))
    await asyncio.sleep(3.0)
    return vms


def removed_vms(cluster: Any) -> set[str]:
    return {str(fields["vm"]) for _, kind, fields in cluster.events if kind == "vm_dead"}


class Links(RuleBasedStateMachine):
    """One-way failures of one link at a time, 10% datagram loss, and short pauses of VMs."""

    make_loop: Callable[[], asyncio.AbstractEventLoop]
    make_cluster: Callable[[], Any]

    def __init__(self) -> None:
        super().__init__()
        self.loop = type(self).make_loop()
        self.cluster: Any = None
        self.vms: list[Vm] = []

    def do(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)

    @initialize()
    def begin(self) -> None:
        self.do(self._begin())

    async def _begin(self) -> None:
        self.cluster = type(self).make_cluster()
        self.vms = await begin(self.cluster)

    @rule(seconds=st.sampled_from([0.5, 3.0, 9.0]))
    def pass_time(self, seconds: float) -> None:
        self.do(asyncio.sleep(seconds))
        self.check()

    @rule(one=INDEX, two=INDEX)
    def cut_one_way(self, one: int, two: int) -> None:
        self.cluster.network.cut.clear()
        source, to = self.vms[one], self.vms[two]
        self.cluster.network.cut.add(((source.host, source.peer_port), (to.host, to.peer_port)))

    @precondition(lambda self: bool(self.cluster.network.cut))
    @rule()
    def heal(self) -> None:
        self.cluster.network.cut.clear()

    @rule(at=INDEX, seconds=st.sampled_from([0.5, 1.2]))
    def pause(self, at: int, seconds: float) -> None:
        self.do(self._pause(self.vms[at], seconds))
        self.check()

    async def _pause(self, vm: Vm, seconds: float) -> None:
        self.cluster.pause(vm)
        await asyncio.sleep(seconds)
        self.cluster.resume(vm)
        await asyncio.sleep(2.5)

    @rule(loss=st.sampled_from([0.0, 0.1]))
    def lose_datagrams(self, loss: float) -> None:
        self.cluster.network.loss = loss

    def check(self) -> None:
        assert not removed_vms(self.cluster), f"removed though alive: {removed_vms(self.cluster)}"

    def teardown(self) -> None:
        if self.cluster is not None:
            self.do(self.cluster.close())
        self.loop.close()


@pytest.fixture
def machine(new_cluster: Callable[[], Any], virtual_loop: Any) -> type[Links]:
    class Bound(Links):
        make_loop = staticmethod(virtual_loop)
        make_cluster = staticmethod(new_cluster)

    return Bound


def test_no_live_vm_is_removed(machine: type[Links]) -> None:
    run_state_machine_as_test(machine, settings=MACHINE_SETTINGS)


def test_the_machine_finds_missing_indirect_probes(
    machine: type[Links], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The machine must detect the removal of a VM because of one link that fails one way.

    The injected fault disables indirect probes and the need for their results.
    """
    monkeypatch.setattr(Prober, "_helpers", lambda *_: ())
    monkeypatch.setattr(Wards, "_has_witness", lambda *_: True)
    generate = settings(MACHINE_SETTINGS, max_examples=400, phases=[Phase.generate])
    with pytest.raises(AssertionError, match="removed though alive"):
        run_state_machine_as_test(machine, settings=generate)


async def test_a_dead_vm_is_suspected_within_three_seconds(cluster: Any) -> None:
    """Guard against late suspicion of a crashed VM; requests sent to it until then are lost."""
    vms = await begin(cluster)
    await cluster.kill(vms[0])
    await asyncio.sleep(3.0)
    for vm in vms[1:]:
        state = cluster.plane(vm).state
        assert vms[0].id in state.suspects or state.view("a").member(vms[0].id) is None


async def test_a_resumed_guardian_proposes_no_removals(cluster: Any) -> None:
    """Guard against a guardian that proposes removals after it was paused for ten seconds.

    It had no contact with the live VMs during the pause. They have removed it, and it joins again.
    """
    vms = await begin(cluster)
    cluster.pause(vms[0])
    await asyncio.sleep(10.0)
    cluster.resume(vms[0])
    await asyncio.sleep(10.0)
    assert removed_vms(cluster) == {vms[0].id}
    assert cluster.plane(vms[0]).gossip.ownership.is_member


async def test_an_unreachable_data_centre_is_suspected_as_a_whole(cluster: Any) -> None:
    """Guard against removals and lost requests in a network partition between data centres."""
    vms = await begin(cluster)
    cluster.network.partition(vms[:5], vms[5:])
    await asyncio.sleep(9.0)
    assert all("b1" in cluster.plane(vm).state.suspects for vm in vms[:5])
    assert cluster.plane(vms[5]).state.suspects == frozenset(vm.id for vm in vms[:5])
    assert not removed_vms(cluster)
    cluster.network.cut.clear()
    await asyncio.sleep(5.0)
    assert not any(cluster.plane(vm).state.suspects for vm in vms)
