"""Racing operators and a failing store: no revision goes back, and each plan applies once or not.

The machine runs real control planes of two data centres on a virtual clock. Operators plan and
confirm at any of them; the machine keeps what each of them was told and compares it in the end
with what the store holds.
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
from berylspindle_decisions.propagation import Knowledge
from berylspindle_model.checked import canonical, from_stored, to_stored
from berylspindle_model.configuration import Configuration, DataCentre
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
# Seconds in which a revision is in force everywhere after the last fault; the watcher tries the
# store again after at most seven and a half.
IN_FORCE_WITHIN = 16
MACHINE_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=14,
    suppress_health_check=list(HealthCheck),
)


class Operators(RuleBasedStateMachine):
    """Operators plan and confirm at the same time, and old events come late."""

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
            self.look()

    def look(self) -> None:
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
        # The store may know better than this VM whether the data centre is in or out already.
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
            told = await self.cluster.plane(self.vms[at]).confirm(plan, f"operator-{at}")
        except RefusalError as error:
            unknown = error.refusal.kind is ErrorKind.OUTCOME_UNKNOWN
            (self.unknown if unknown else self.refused).add(plan.id)
            return
        self.applied.add(plan.id)
        assert told.id == plan.id

    @rule(at=INDEX, other=INDEX, centre=st.sampled_from("abcd"), second=st.sampled_from("abcd"))
    def race(self, at: int, other: int, centre: str, second: str) -> None:
        """Let two operators plan at the same time, and then confirm at the same time."""
        self.do(self._race(at, other, centre, second))

    async def _race(self, at: int, other: int, centre: str, second: str) -> None:
        before = len(self.plans)
        await asyncio.gather(self._plan(at, centre), self._plan(other, second))
        made = self.plans[before:]
        await asyncio.gather(*(self._confirm(at, plan, True) for plan in made))
        await self._pass(0.2)

    @precondition(lambda self: len(self.documents) > 1)
    @rule(at=INDEX, which=st.integers(min_value=0, max_value=9))
    def old_event(self, at: int, which: int) -> None:
        """Bring a watch event once more, long after it was first there."""
        known = sorted(self.documents)
        self.do(self._old_event(self.vms[at], self.documents[known[which % len(known)]]))

    async def _old_event(self, vm: Vm, text: bytes) -> None:
        event = StoredValue(key=CONFIGURATION_KEY, value=text, revision=1)
        self.cluster.plane(vm)._watcher._publish((event,))
        self.look()

    def heal_all(self) -> None:
        self.cluster.network.cut.clear()
        store = self.cluster.store
        store.down, store.lose_replies, store.delay_writes, store.lag = False, 0, 0.0, 0.0
        for reached in self.cluster.stores.values():
            reached.cut = False

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
        await self._pass(IN_FORCE_WITHIN)
        for vm in self.vms:
            configuration = self.cluster.plane(vm).state.configuration
            assert configuration is not None
            same = canonical(configuration) == canonical(accepted)
            assert same, f"{vm.id} has another document than was accepted"
        recorded = [record.id for record in accepted.intents]
        assert len(set(recorded)) == len(recorded), "a plan was applied twice"
        assert self.applied <= set(recorded), "told applied, but it is not"
        # What was refused at one VM may have been applied by another one's confirm.
        changed = (self.refused - self.applied - self.unknown) & set(recorded)
        assert not changed, "told refused, but it is applied"


class FailingOperators(Operators):
    """The store, links and VMs fail meanwhile."""

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
    def part(self, cut: bool) -> None:
        self.cluster.network.cut.clear()
        if cut:
            self.cluster.network.separate(self.vms[:3], self.vms[3:])
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
def bound(new_cluster: Callable[[], Any], virtual_loop: Any) -> Callable[..., type[Operators]]:
    def bind(machine: type[Operators]) -> type[Operators]:
        made = {"make_loop": staticmethod(virtual_loop), "make_cluster": staticmethod(new_cluster)}
        return type(machine.__name__, (machine,), made)

    return bind


def finds(machine: type[Operators], message: str) -> None:
    generate = settings(MACHINE_SETTINGS, max_examples=400, phases=[Phase.generate])
    with pytest.raises((AssertionError, RefusalError), match=message):
        run_state_machine_as_test(machine, settings=generate)


def test_operators_race_and_no_revision_goes_back(bound: Any) -> None:
    run_state_machine_as_test(bound(FailingOperators), settings=MACHINE_SETTINGS)


def test_the_machine_finds_a_vm_that_adopts_any_revision(
    bound: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A data centre that was taken out gets work again, for a lagging read of the store came late.

    The guard that was taken away is the comparison of revisions.
    """

    def adopt(self: Knowledge, configuration: Configuration, delta: object = None) -> bool:
        changed = configuration.revision != self.revision
        self._configuration = configuration
        return changed

    monkeypatch.setattr(Knowledge, "offer_configuration", adopt)
    finds(bound(Operators), "went back")


def test_the_machine_finds_a_confirm_on_any_revision(
    bound: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two operators confirm on one revision and the later one's change undoes the earlier one's.

    The guard that was taken away is the swap's expected revision: it takes the store's newest.
    """
    original = operations.Operations._swap

    async def swap(self: Any, successor: Configuration, expect: int) -> Any:
        while await original(self, successor, expect) is not None:
            expect = self._store._store.state.get(CONFIGURATION_KEY, 0.0).revision

    monkeypatch.setattr(operations.Operations, "_swap", swap)
    finds(bound(Operators), "two documents|told applied|another document")


def test_a_replaced_configuration_keeps_its_order() -> None:
    turned = attrs.evolve(CONFIGURATION, data_centres=CONFIGURATION.data_centres[::-1])
    assert canonical(turned) == canonical(CONFIGURATION)
