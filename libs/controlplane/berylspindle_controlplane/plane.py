"""Run the control plane of one daemon: its tasks, its view of the others, its rights.

Terms:
  member   a VM that is in the view of its data centre; only members own backend servers

Flow: `start_control_plane` starts the joiner (first configuration, place in the view) and keeps
three tasks: the ticker (probes, rights, the watcher's role), the view keeper (changes of
the view) and the store watcher, on two VMs a data centre. The daemon passes datagrams to
`on_datagram` and serves `methods` to its peers.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from typing import Any, Final

import attrs

from berylspindle_controlplane.gossip import Gossip, GossipSink
from berylspindle_controlplane.joiner import Joiner, JoinLimits
from berylspindle_controlplane.operations import Busy, Operations
from berylspindle_controlplane.status import vm_reports
from berylspindle_controlplane.store_watcher import StoreWatcher, is_watcher
from berylspindle_controlplane.transport import (
    JOIN,
    PULL,
    Address,
    Transport,
    TransportError,
)
from berylspindle_controlplane.view_keeper import Leave, Outcome, ViewKeeper
from berylspindle_decisions.guarding import ProbeLimits, Removal
from berylspindle_decisions.ownership import DispatchRights, LeaseLimits
from berylspindle_decisions.propagation import Adopted
from berylspindle_model import codec
from berylspindle_model.delta import Changes, unpack_changes
from berylspindle_model.errors import RefusalError
from berylspindle_model.intents import Confirmation, Intent, Plan
from berylspindle_model.operator_protocol import VmReport
from berylspindle_model.topology import ClusterState, View, Vm
from berylspindle_store.store import Store, StoreAway, StoreUnsure
from berylspindle_store.vm_list import VmList

OnState = Callable[[ClusterState], None]
OnEvent = Callable[[str, dict[str, str | int]], None]
Method = Callable[[bytes], Awaitable[bytes]]

# Pulls under way at once; news of one change come from several VMs.
_MAX_PULLS: Final = 3
_RESIGNATIONS: Final = 3


@attrs.frozen(kw_only=True)
class ControlOptions:
    """The settings of the control plane, in seconds.

    Attributes:
        tick: step of the ticker.
        call_timeout: for calls to peers.
        ask_store: least time between two confirmations asked of the store.
        ask_list: least time between two looks at the VM list, while a ward is an orphan.
        leave_timeout: how long a leaving VM tries to tell the store.
    """

    leases: LeaseLimits = attrs.field(factory=LeaseLimits)
    probes: ProbeLimits = attrs.field(factory=ProbeLimits)
    tick: float = 0.1
    call_timeout: float = 2.0
    ask_store: float = 1.0
    ask_list: float = 5.0
    join: JoinLimits = attrs.field(factory=JoinLimits)
    leave_timeout: float = 3.0


def _now() -> float:
    """Return the monotonic time of the running loop, which tests may replace."""
    return asyncio.get_running_loop().time()


class ControlPlane(GossipSink):
    """The control plane of one daemon; make it with `control_plane` or `start_control_plane`."""

    def __init__(
        self,
        options: ControlOptions,
        *,
        me: Vm,
        store: Store,
        vm_list: VmList | None,
        seeds: Sequence[Address],
        transport: Transport,
        on_state: OnState,
        events: OnEvent,
        busy: Busy = dict,
        rng: random.Random | None = None,
    ) -> None:
        self._options: Final = options
        self._me: Final = me
        self._vm_list: Final = vm_list
        self._transport: Final = transport
        self._on_state: Final = on_state
        self._events: Final = events
        self._random: Final = rng if rng is not None else random.Random()
        self._gossip: Final = Gossip(
            me, self, pick=self._pick, leases=options.leases, probes=options.probes
        )
        self._keeper: Final = ViewKeeper(me.data_centre, store, self._on_view)
        self._watcher: Final = StoreWatcher(
            store,
            pick=self._pick,
            on_changes=self._on_changes,
            on_store=self._on_store,
            on_rejected=lambda text: events("configuration_rejected", {"detail": text}),
        )
        self._operations: Final = Operations(
            store,
            known=lambda: self.state.configuration,
            adopt=lambda accepted: self._on_changes(Changes(configuration=accepted)),
            busy=busy,
        )
        self._adopted_at = 0.0
        self._tasks: Final[set[asyncio.Task[None]]] = set()
        self._watch_task: asyncio.Task[None] | None = None
        self._pulling: set[str] = set()
        self._asked_store_at = 0.0
        self._ask_list_at = 0.0
        self._store_known = True
        self._leaving = False
        self._joiner: Final = Joiner(
            me,
            options.join,
            gossip=self._gossip,
            keeper=self._keeper,
            watcher=self._watcher,
            transport=transport,
            vm_list=vm_list,
            seeds=seeds,
            rng=self._random,
        )

    @property
    def vm_id(self) -> str:
        """Return the id of this VM."""
        return self._me.id

    @property
    def state(self) -> ClusterState:
        """Return the latest state; it is never changed, only replaced."""
        return self._gossip.state

    @property
    def rights(self) -> DispatchRights:
        """Return what the data plane asks before it dispatches."""
        return self._gossip.ownership

    @property
    def gossip(self) -> Gossip:
        """Return the exchange with the other VMs."""
        return self._gossip

    @property
    def methods(self) -> Mapping[str, Method]:
        """Return the calls that the daemon serves to its peers."""
        return {PULL: self._answer_pull, JOIN: self._joiner.answer_join}

    @property
    def is_ready(self) -> bool:
        """Tell whether a configuration is known."""
        return self._gossip.knowledge.revision > 0

    def on_datagram(self, data: bytes, source: Address) -> None:
        """Take a datagram of a peer."""
        self._gossip.on_datagram(data, source, _now())

    async def start(self) -> None:
        """Start the tasks; returns at once, `is_ready` and the view follow."""
        self._spawn(self._tick_forever())
        self._spawn(self._keeper.run())
        self._spawn(self._joiner.learn())
        self._spawn(self._joiner.join_forever())

    async def leave(self) -> None:
        """Give up all rights and leave the view; call it when nothing is in flight any more.

        A store that is away makes the others wait as after a crash; nothing is raised.
        """
        self._leaving = True
        self._joiner.stop()
        self._gossip.ownership.release()
        self._events("ownership_lost", {"detail": "released before leaving"})
        for _ in range(_RESIGNATIONS):
            self._gossip.leave()
            await asyncio.sleep(self._options.tick)
        try:
            async with asyncio.timeout(self._options.leave_timeout):
                outcome = await self._keeper.submit(Leave(self._me.id))
        except TimeoutError:
            outcome = Outcome.AWAY
        self._events("vm_left", {"vm": self._me.id, "detail": outcome.value})

    async def close(self) -> None:
        """End all tasks."""
        tasks = [*self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def plan(self, intent: Intent) -> Plan:
        """Return the plan of an intent; nothing is changed. Raises RefusalError."""
        plan = await self._operations.plan(intent)
        self._events("plan_made", {"detail": f"{intent.kind.value} {intent.subject}"})
        return plan

    async def confirm(self, plan: Plan, operator: str, *, override: bool = False) -> Confirmation:
        """Apply exactly this plan, once; raises RefusalError as `Operations.confirm`."""
        subject = f"{plan.intent.kind.value} {plan.intent.subject}"
        try:
            confirmation = await self._operations.confirm(plan, operator, override=override)
        except RefusalError as error:
            self._events("intent_refused", {"detail": f"{subject}: {error}"})
            raise
        self._events("intent_confirmed", {"detail": f"{subject} at {confirmation.revision}"})
        return confirmation

    async def status(self, wait: float = 0.4) -> tuple[VmReport, ...]:
        """Probe every known VM twice, and return at which revision each is and since when not."""
        for _ in range(2):
            self._gossip.probe_all()
            await asyncio.sleep(wait)
        return vm_reports(
            self.state, self._me, self._gossip.seen, adopted_at=self._adopted_at, now=_now()
        )

    def send(self, to: Address, data: bytes) -> None:
        """Send a datagram."""
        self._transport.send(to, data)

    def pull(self, vm: Vm) -> None:
        """Fetch from a VM what is lacking here, unless that is under way."""
        if vm.id not in self._pulling and len(self._pulling) < _MAX_PULLS:
            self._pulling.add(vm.id)
            self._spawn(self._pull(vm))

    def remove(self, removal: Removal) -> None:
        """Propose a removal to the store."""
        self._spawn(self._remove(removal))

    def changed(self, state: ClusterState, adopted: Adopted) -> None:
        """Publish a new state."""
        if adopted.configuration:
            self._adopted_at = _now()
        self._on_state(state)
        self._keep_watch()

    def event(self, kind: str, fields: dict[str, str | int]) -> None:
        """Record a change of state."""
        self._events(kind, fields)

    def _pick(self, below: int) -> int:
        return self._random.randrange(below)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._events("internal_fault", {"detail": f"control plane: {error!r}"})

    def on_tick(self, now: float) -> None:
        """Do what is due at this time of the loop; called ten times a second."""
        self._gossip.tick(now)
        if self._gossip.ownership.wants_store(now) and not self._leaving:
            self._confirm_by_store(now)
        orphans = self._gossip.prober.wards.orphans(now)
        if orphans and self._vm_list is not None and now >= self._ask_list_at:
            self._ask_list_at = now + self._options.ask_list
            self._spawn(self._check_orphans(self._vm_list, orphans))

    async def _tick_forever(self) -> None:
        while True:
            try:
                self.on_tick(_now())
            except Exception as error:
                # One step that fails must not end all steps: without ticks this VM probes nobody
                # and answers for nothing, its rights lapse and its servers stand idle for good. A
                # step changes nothing before it can fail that the next one would not do again.
                self._events("internal_fault", {"detail": f"tick: {error!r}"})
            await asyncio.sleep(self._options.tick)

    def _confirm_by_store(self, now: float) -> None:
        if now - self._asked_store_at >= self._options.ask_store:
            self._asked_store_at = now
            self._spawn(self._ask_store(now))

    async def _ask_store(self, sent_at: float) -> None:
        try:
            async with asyncio.timeout(self._options.call_timeout):
                view = await self._keeper.read_current()
        except (StoreAway, StoreUnsure, TimeoutError):
            self._gossip.ownership.store_failed(sent_at, _now())
            return
        if view.epoch > 0:
            self._on_view(view)
        self._gossip.ownership.store_confirmed(view.epoch, sent_at)

    async def _remove(self, removal: Removal) -> None:
        if await self._keeper.submit(removal) is Outcome.AWAY:
            self._gossip.prober.wards.withdraw(removal.vm)

    async def _check_orphans(self, vm_list: VmList, orphans: frozenset[str]) -> None:
        try:
            listed = {vm.id for vm in await vm_list.fetch()}
        except StoreAway:
            return
        self._gossip.prober.unlisted(orphans - listed)

    async def _pull(self, vm: Vm) -> None:
        request = codec.to_pack(self._gossip.knowledge.request(self._me.id))
        try:
            answer = await self._transport.call(
                vm, PULL, request, timeout=self._options.call_timeout
            )
            self._on_changes(unpack_changes(answer))
        except (TransportError, codec.MalformedError):
            # The next digest of any VM shows the same gap.
            return
        finally:
            self._pulling.discard(vm.id)

    async def _answer_pull(self, payload: bytes) -> bytes:
        return self._gossip.answer_pull(payload)

    def _on_view(self, view: View) -> None:
        self._on_changes(Changes(views=(view,)))

    def _on_changes(self, changes: Changes) -> None:
        self._gossip.offer(changes, _now())

    def _on_store(self, reached: bool, detail: str) -> None:
        if reached != self._store_known:
            self._store_known = reached
            self._events("store_back" if reached else "store_away", {"detail": detail})

    def _keep_watch(self) -> None:
        mine = is_watcher(self._me.id, self.state.view(self._me.data_centre), self.state.suspects)
        watching = self._watch_task is not None and not self._watch_task.done()
        if mine and not watching:
            self._watch_task = self._spawn(self._watcher.run())
        elif not mine and watching and self._watch_task is not None:
            self._watch_task.cancel()


async def start_control_plane(
    options: ControlOptions,
    *,
    me: Vm,
    store: Store,
    vm_list: VmList | None,
    seeds: Sequence[Address],
    transport: Transport,
    on_state: OnState,
    events: OnEvent,
    busy: Busy = dict,
) -> ControlPlane:
    """Return a started control plane; close it in the end, after `leave` where there is time."""
    plane = ControlPlane(
        options,
        me=me,
        store=store,
        vm_list=vm_list,
        seeds=seeds,
        transport=transport,
        on_state=on_state,
        events=events,
        busy=busy,
    )
    await plane.start()
    return plane
