"""State machine test of configuration changes by concurrent operators on a faulty store.

Revisions never decrease on a VM, and each plan is applied at most once. The machine runs real
control planes of two data centres on a virtual clock. Operators plan and confirm at any VM; at the
end, their results are compared with the stored configuration.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import attrs
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

from berylspindle_controlplane import operations
from berylspindle_controlplane.documents import CONFIGURATION_KEY
from berylspindle_decisions.propagation import KnownState
from berylspindle_model.configuration import Configuration, DataCentre
from berylspindle_model.configuration_codec import canonical, from_stored, to_stored
from berylspindle_model.errors import ErrorKind, RefusalError
from berylspindle_model.intents import Intent, IntentKind, Plan
from berylspindle_model.topology import Vm
from berylspindle_store.store import StoredValue

CONFIGURATION = Configuration(
    revision=1,
    deployment="d",
    data_centres=tuple(DataCentre(name=name, region="n") for name in "abcd"),
)
NAMES = ["a1", "a2", "a3", "b1", "b2"]
INDEX = st.integers(min_value=0, max_value=len(NAMES) - 1)
# Time after the last fault until a revision is in force everywhere; the watcher retries the store
# after at most 7.5 s.
IN_FORCE_WITHIN_S = 16
MACHINE_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=14,
    suppress_health_check=list(HealthCheck),
)


class Operators(RuleBasedStateMachine):
    """Operators plan and confirm concurrently, and old watch events arrive late."""

    make_loop: Callable[[], asyncio.AbstractEventLoop]
    make_cluster: Callable[[], Any]

    def __init__(self) -> None:
        super().__init__()
        self.loop = type(self).make_loop()
        self.cluster: Any = None
        self.vms: list[Vm] = []
        self.plans: list[Plan] = []
        self.applied: set[str] = set()
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        self.revisions: dict[str, int] = {}
        self.documents: dict[int, bytes] = {}
        self.confirming: list[asyncio.Task[None]] = []

    def do(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)

    @initialize()
    def begin(self) -> None:
        self.do(self._begin())

    async def _begin(self) -> None:
        self.cluster = type(self).make_cluster()
        self.cluster.store.write(CONFIGURATION_KEY, to_stored(CONFIGURATION), 0)
        for name in NAMES:
            self.vms.append(await self.cluster.start(name, name[0]))
        await self._pass(3.0)

    @rule(seconds=st.sampled_from([0.05, 0.5, 3.0]))
    def pass_time(self, seconds: float) -> None:
        self.do(self._pass(seconds))

    async def _pass(self, seconds: float) -> None:
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            await asyncio.sleep(0.05)
            self.check_revisions()

    def check_revisions(self) -> None:
        for plane in self.cluster.network.planes.values():
            configuration = plane.state.configuration
            if configuration is None:
                continue
            known = self.revisions.get(plane.vm_id, 0)
            assert configuration.revision >= known, f"{plane.vm_id} went back from {known}"
            self.revisions[plane.vm_id] = configuration.revision
            if configuration.revision != known:
                text = canonical(configuration)
                first = self.documents.setdefault(configuration.revision, text)
                assert text == first, f"two documents at {configuration.revision}"

    @rule(at=INDEX, centre=st.sampled_from("abcd"))
    def plan(self, at: int, centre: str) -> None:
        self.do(self._plan(at, centre))

    async def _plan(self, at: int, centre: str) -> None:
        plane = self.cluster.plane(self.vms[at])
        known = plane.state.configuration
        out = known is not None and known.is_in(centre)
        kind = IntentKind.TAKE_OUT if out else IntentKind.RETURN
        # In the store, the data centre may already be in the requested state.
        with contextlib.suppress(RefusalError):
            self.plans.append(await plane.plan(Intent(kind=kind, subject=centre)))

    @rule(at=INDEX, which=st.integers(min_value=0, max_value=9), wait=st.booleans())
    def confirm(self, at: int, which: int, wait: bool) -> None:
        if self.plans:
            self.do(self._confirm(at, self.plans[which % len(self.plans)], wait))

    async def _confirm(self, at: int, plan: Plan, wait: bool) -> None:
        task = asyncio.create_task(self._confirm_one(at, plan))
        self.confirming.append(task)
        if wait:
            await task

    async def _confirm_one(self, at: int, plan: Plan) -> None:
        try:
            confirmation = await self.cluster.plane(self.vms[at]).confirm(plan, f"operator-{at}")
        except RefusalError as error:
            unknown = error.refusal.kind is ErrorKind.OUTCOME_UNKNOWN
            (self.unknown if unknown else self.refused).add(plan.id)
            return
        self.applied.add(plan.id)
        assert confirmation.id == plan.id

    @rule(at=INDEX, other=INDEX, centre=st.sampled_from("abcd"), second=st.sampled_from("abcd"))
    def race(self, at: int, other: int, centre: str, second: str) -> None:
        """Let two operators plan concurrently and then confirm concurrently."""
        self.do(self._race(at, other, centre, second))

    async def _race(self, at: int, other: int, centre: str, second: str) -> None:
        before = len(self.plans)
        await asyncio.gather(self._plan(at, centre), self._plan(other, second))
        new_plans = self.plans[before:]
        await asyncio.gather(*(self._confirm(at, plan, True) for plan in new_plans))
        await self._pass(0.2)

    @precondition(lambda self: len(self.documents) > 1)
    @rule(at=INDEX, which=st.integers(min_value=0, max_value=9))
    def old_event(self, at: int, which: int) -> None:
        """Deliver an old watch event again."""
        known = sorted(self.documents)
        self.do(self._old_event(self.vms[at], self.documents[known[which % len(known)]]))

    async def _old_event(self, vm: Vm, text: bytes) -> None:
        event = StoredValue(key=CONFIGURATION_KEY, value=text, revision=1)
        self.cluster.plane(vm)._watcher._publish((event,))
        self.check_revisions()

    def heal_all(self) -> None:
        self.cluster.network.cut.clear()
        store = self.cluster.store
        store.down, store.lose_replies, store.delay_writes, store.lag = False, 0, 0.0, 0.0
        for vm_store in self.cluster.stores.values():
            vm_store.cut = False

    def teardown(self) -> None:
        try:
            if self.cluster is not None:
                self.do(self._settle())
        finally:
            if self.cluster is not None:
                self.do(self.cluster.close())
            self.loop.close()

    async def _settle(self) -> None:
        self.heal_all()
        await asyncio.gather(*self.confirming)
        await self._pass(2.0)
        entry = self.cluster.store.state.get(CONFIGURATION_KEY, self.loop.time())
        accepted = from_stored(entry.value)
        await self._pass(IN_FORCE_WITHIN_S)
        for vm in self.vms:
            configuration = self.cluster.plane(vm).state.configuration
            assert configuration is not None
            same = canonical(configuration) == canonical(accepted)
            assert same, f"{vm.id} has another document than the accepted one"
        recorded = [record.id for record in accepted.intents]
        assert len(set(recorded)) == len(recorded), "a plan was applied twice"
        assert self.applied <= set(recorded), "confirmed, but not applied"
        # A plan that was refused at one VM may have been confirmed at another.
        changed = (self.refused - self.applied - self.unknown) & set(recorded)
        assert not changed, "refused, but applied"


class FailingOperators(Operators):
    """Faults of the store, the network and VMs, in addition."""

    @rule(down=st.booleans())
    def store(self, down: bool) -> None:
        self.cluster.store.down = down

    @rule(count=st.integers(min_value=0, max_value=2), late=st.sampled_from([0.0, 1.0]))
    def lose_replies(self, count: int, late: float) -> None:
        self.cluster.store.lose_replies = count
        self.cluster.store.delay_writes = late

    @rule(lag=st.sampled_from([0.0, 2.0]))
    def lag(self, lag: float) -> None:
        self.cluster.store.lag = lag

    @rule(cut=st.booleans())
    def partition(self, cut: bool) -> None:
        self.cluster.network.cut.clear()
        if cut:
            self.cluster.network.partition(self.vms[:3], self.vms[3:])
        for vm in self.vms[3:]:
            self.cluster.stores[vm.id].cut = cut

    @rule(at=INDEX)
    def replace(self, at: int) -> None:
        self.do(self._replace(at))

    async def _replace(self, at: int) -> None:
        await asyncio.gather(*self.confirming)
        old = self.vms[at]
        await self.cluster.kill(old)
        name = f"{old.id}x"
        self.vms[at] = await self.cluster.start(name, old.data_centre)


@pytest.fixture
def bind_machine(
    new_cluster: Callable[[], Any], virtual_loop: Any
) -> Callable[..., type[Operators]]:
    def bind(machine: type[Operators]) -> type[Operators]:
        attributes = {
            "make_loop": staticmethod(virtual_loop),
            "make_cluster": staticmethod(new_cluster),
        }
        return type(machine.__name__, (machine,), attributes)

    return bind


def assert_finds(machine: type[Operators], message: str) -> None:
    generate = settings(MACHINE_SETTINGS, max_examples=400, phases=[Phase.generate])
    with pytest.raises((AssertionError, RefusalError), match=message):
        run_state_machine_as_test(machine, settings=generate)


def test_no_revision_goes_back_with_concurrent_operators(bind_machine: Any) -> None:
    run_state_machine_as_test(bind_machine(FailingOperators), settings=MACHINE_SETTINGS)


def test_the_machine_finds_a_vm_that_adopts_any_revision(
    bind_machine: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The machine must detect a VM that adopts an older configuration from a lagging read.

    The injected fault removes the comparison of revisions; a data centre that was taken out would
    get requests again.
    """

    def adopt(self: KnownState, configuration: Configuration, delta: object = None) -> bool:
        changed = configuration.revision != self.revision
        self._configuration = configuration
        return changed

    monkeypatch.setattr(KnownState, "offer_configuration", adopt)
    assert_finds(bind_machine(Operators), "went back")


def test_the_machine_finds_a_confirm_on_any_revision(
    bind_machine: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The machine must detect that one operator's change overwrites another's.

    The injected fault replaces the swap's expected revision by the store's current one.
    """
    original = operations.Operations._swap

    async def swap(self: Any, successor: Configuration, expect: int) -> Any:
        while await original(self, successor, expect) is not None:
            expect = self._store._store.state.get(CONFIGURATION_KEY, 0.0).revision

    monkeypatch.setattr(operations.Operations, "_swap", swap)
    assert_finds(
        bind_machine(Operators), "two documents|confirmed, but not applied|another document"
    )


def test_the_canonical_form_does_not_depend_on_the_order() -> None:
    reordered = attrs.evolve(CONFIGURATION, data_centres=CONFIGURATION.data_centres[::-1])
    assert canonical(reordered) == canonical(CONFIGURATION)
