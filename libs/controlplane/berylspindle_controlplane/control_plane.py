"""Control plane of one daemon.

Terms:
  member   a VM that is in the view of its data centre; only members own backend servers

Flow: `start_control_plane` starts the joiner (first configuration, membership of the view), the
ticker (probes, dispatch rights) and the view writer (changes of the view); on two VMs per data
centre, the store watcher runs too. The daemon passes datagrams to `on_datagram` and serves
`peer_handlers` to its peers.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from typing import Any, Final

import attrs

from berylspindle_controlplane.gossip import Gossip, GossipSink
from berylspindle_controlplane.joiner import Joiner, JoinLimits
from berylspindle_controlplane.operations import Operations, SlotsInUse
from berylspindle_controlplane.status import vm_reports
from berylspindle_controlplane.store_watcher import StoreWatcher, is_watcher
from berylspindle_controlplane.transport import (
    JOIN_METHOD,
    PULL_METHOD,
    Address,
    Transport,
    TransportError,
)
from berylspindle_controlplane.view_writer import ChangeOutcome, Leave, ViewWriter
from berylspindle_decisions.guarding import ProbeLimits, Removal
from berylspindle_decisions.ownership import DispatchRights, LeaseLimits
from berylspindle_decisions.propagation import Adopted
from berylspindle_model import codec
from berylspindle_model.delta import Changes, unpack_changes
from berylspindle_model.errors import RefusalError
from berylspindle_model.intents import Confirmation, Intent, Plan
from berylspindle_model.operator_protocol import VmReport
from berylspindle_model.topology import ClusterState, View, Vm
from berylspindle_store.store import Store, StoreOutcomeUnknown, StoreUnavailable
from berylspindle_store.vm_list import VmList
from berylspindle_telemetry.supervisor import keep_running

OnState = Callable[[ClusterState], None]
OnEvent = Callable[[str, dict[str, str | int]], None]
Method = Callable[[bytes], Awaitable[bytes]]

# Maximum concurrent pulls. Digests from several VMs show the same missing change, so further pulls
# would mostly fetch it again.
_MAX_PULLS: Final = 3
_LEAVE_NOTICES: Final = 3


@attrs.frozen(kw_only=True)
class ControlOptions:
    """Settings of the control plane; all times are in seconds.

    Attributes:
        leases: limits of dispatch rights.
        probes: limits of the failure detector.
        tick: interval of the ticker.
        call_timeout: timeout of calls to peers.
        ask_store: minimum interval between confirmations of the dispatch rights by the store.
        ask_list: minimum interval between reads of the VM list while a silent ward can only be
            removed if the list does not name it.
        join: limits of joining.
        leave_timeout: time limit for removing a leaving VM from the view.
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
    """Return the monotonic time of the running loop, which tests can replace."""
    return asyncio.get_running_loop().time()


class ControlPlane(GossipSink):
    """The control plane of one daemon; `start_control_plane` makes and starts one."""

    def __init__(
        self,
        options: ControlOptions,
        *,
        local_vm: Vm,
        store: Store,
        vm_list: VmList | None,
        seeds: Sequence[Address],
        transport: Transport,
        on_state: OnState,
        on_event: OnEvent,
        slots_in_use: SlotsInUse = dict,
        rng: random.Random | None = None,
    ) -> None:
        self._options: Final = options
        self._local_vm: Final = local_vm
        self._vm_list: Final = vm_list
        self._transport: Final = transport
        self._on_state: Final = on_state
        self._on_event: Final = on_event
        self._rng: Final = rng if rng is not None else random.Random()
        self._gossip: Final = Gossip(
            local_vm,
            self,
            rand_below=self._rand_below,
            leases=options.leases,
            probes=options.probes,
        )
        self._view_writer: Final = ViewWriter(
            local_vm.data_centre,
            store,
            self._on_view,
            known_epoch=lambda: self._gossip.knowledge.epoch(local_vm.data_centre),
        )
        self._watcher: Final = StoreWatcher(
            store,
            rand_below=self._rand_below,
            on_changes=self._on_changes,
            on_confirmed=self._gossip.store_age.record,
            on_reachability=self._on_store_reachability,
            on_rejected=lambda text: on_event("configuration_rejected", {"detail": text}),
        )
        self._operations: Final = Operations(
            store,
            local_configuration=lambda: self.state.configuration,
            adopt=lambda accepted: self._on_changes(Changes(configuration=accepted)),
            slots_in_use=slots_in_use,
        )
        self._adopted_at = 0.0
        self._tasks: Final[set[asyncio.Task[None]]] = set()
        self._watch_task: asyncio.Task[None] | None = None
        self._pulling: set[str] = set()
        self._store_confirmation_at = 0.0
        self._reading_store = False
        self._next_list_read_at = 0.0
        self._store_reachable = True
        self._leaving = False
        self._joiner: Final = Joiner(
            local_vm,
            options.join,
            gossip=self._gossip,
            view_writer=self._view_writer,
            watcher=self._watcher,
            transport=transport,
            vm_list=vm_list,
            seeds=seeds,
            rng=self._rng,
        )

    @property
    def vm_id(self) -> str:
        """Return the id of this VM."""
        return self._local_vm.id

    @property
    def state(self) -> ClusterState:
        """Return the latest state, which is immutable."""
        return self._gossip.state

    @property
    def rights(self) -> DispatchRights:
        """Return the dispatch rights, which the data plane checks before each dispatch."""
        return self._gossip.ownership

    @property
    def gossip(self) -> Gossip:
        """Return the gossip with the other VMs."""
        return self._gossip

    @property
    def peer_handlers(self) -> Mapping[str, Method]:
        """Return the handlers of the calls that the daemon serves to its peers, by name."""
        return {PULL_METHOD: self._handle_pull, JOIN_METHOD: self._joiner.handle_join}

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is known."""
        return self._gossip.knowledge.revision > 0

    def on_datagram(self, data: bytes, source: Address) -> None:
        """Process a datagram from a peer."""
        self._gossip.on_datagram(data, source, _now())

    async def start(self) -> None:
        """Start the tasks, without waiting until `is_ready` or the join."""
        self._spawn(keep_running(self._run_ticker, self._on_fault))
        self._spawn(keep_running(self._view_writer.run, self._on_fault))
        self._spawn(self._joiner.fetch_initial_state())
        self._spawn(keep_running(self._joiner.maintain_membership, self._on_fault, may_end=True))

    async def leave(self) -> None:
        """Release all dispatch rights and leave the view; call this when no request is in flight.

        If the store is unavailable, the other VMs wait as after a crash; no error is raised.
        """
        self._leaving = True
        self._joiner.stop()
        self._gossip.ownership.release()
        self._on_event("ownership_lost", {"detail": "released before leaving"})
        for _ in range(_LEAVE_NOTICES):
            self._gossip.leave()
            await asyncio.sleep(self._options.tick)
        try:
            async with asyncio.timeout(self._options.leave_timeout):
                outcome = await self._view_writer.submit(Leave(self._local_vm.id))
        except TimeoutError:
            outcome = ChangeOutcome.UNAVAILABLE
        self._on_event("vm_left", {"vm": self._local_vm.id, "detail": outcome.value})

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = [*self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def plan(self, intent: Intent) -> Plan:
        """Return the plan of an intent, without changing anything. Raises RefusalError."""
        plan = await self._operations.plan(intent)
        self._on_event("plan_made", {"detail": f"{intent.kind.value} {intent.subject}"})
        return plan

    async def confirm(self, plan: Plan, operator: str, *, override: bool = False) -> Confirmation:
        """Apply exactly this plan, at most once. Raises RefusalError as `Operations.confirm`."""
        subject = f"{plan.intent.kind.value} {plan.intent.subject}"
        try:
            confirmation = await self._operations.confirm(plan, operator, override=override)
        except RefusalError as error:
            self._on_event("intent_refused", {"detail": f"{subject}: {error}"})
            raise
        self._on_event("intent_confirmed", {"detail": f"{subject} at {confirmation.revision}"})
        return confirmation

    async def status(self, wait: float = 0.4) -> tuple[VmReport, ...]:
        """Probe every known VM twice, `wait` seconds apart, and return a report for each."""
        for _ in range(2):
            self._gossip.probe_all()
            await asyncio.sleep(wait)
        return vm_reports(
            self.state,
            self._local_vm,
            self._gossip.last_contacts,
            adopted_at=self._adopted_at,
            now=_now(),
        )

    def send(self, to: Address, data: bytes) -> None:
        """Send a datagram."""
        self._transport.send(to, data)

    def pull(self, vm: Vm) -> None:
        """Fetch missing state from a VM, unless a call to it is in progress."""
        if vm.id not in self._pulling and len(self._pulling) < _MAX_PULLS:
            self._pulling.add(vm.id)
            self._spawn(self._pull(vm))

    def propose_removal(self, removal: Removal) -> None:
        """Propose a removal of a VM from the view."""
        self._spawn(self._propose_removal(removal))

    def on_state_changed(self, state: ClusterState, adopted: Adopted) -> None:
        """Publish a new state."""
        if adopted.configuration:
            self._adopted_at = _now()
        self._on_state(state)
        self._update_watch()

    def record_event(self, kind: str, fields: dict[str, str | int]) -> None:
        """Record an event in the timeline."""
        self._on_event(kind, fields)

    def _rand_below(self, below: int) -> int:
        return self._rng.randrange(below)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._on_fault(error)

    def _on_fault(self, error: BaseException) -> None:
        self._on_event("internal_fault", {"detail": f"control plane: {error!r}"})

    def on_tick(self, now: float) -> None:
        """Run the actions that are due at time `now` of the loop; called ten times a second."""
        self._gossip.tick(now)
        if self._gossip.ownership.needs_store_confirmation(now) and not self._leaving:
            self._request_store_confirmation(now)
        self._read_overdue_store(now)
        orphans = self._gossip.prober.wards.orphans(now)
        if orphans and self._vm_list is not None and now >= self._next_list_read_at:
            self._next_list_read_at = now + self._options.ask_list
            self._spawn(self._check_orphans(self._vm_list, orphans))

    async def _run_ticker(self) -> None:
        while True:
            try:
                self.on_tick(_now())
            except Exception as error:
                # A failed tick must not end the ticker: without probes, this VM's dispatch rights
                # would expire and its servers would stay idle. The next tick makes any change
                # that a failed tick left undone.
                self._on_event("internal_fault", {"detail": f"tick: {error!r}"})
            await asyncio.sleep(self._options.tick)

    def _request_store_confirmation(self, now: float) -> None:
        if now - self._store_confirmation_at >= self._options.ask_store:
            self._store_confirmation_at = now
            self._spawn(self._confirm_with_store(now))

    async def _confirm_with_store(self, sent_at: float) -> None:
        try:
            async with asyncio.timeout(self._options.call_timeout):
                view = await self._view_writer.read_current()
        except (StoreUnavailable, StoreOutcomeUnknown, TimeoutError):
            self._gossip.ownership.on_store_failure(sent_at, _now())
            return
        if view.epoch > 0:
            self._on_view(view)
        self._gossip.ownership.on_store_confirmation(view.epoch, sent_at)

    def _read_overdue_store(self, now: float) -> None:
        if self._reading_store or self._leaving:
            return
        view = self.state.view(self._local_vm.data_centre)
        members = len(view.members) if view is not None else 1
        if self._gossip.store_age.is_read_due(now, members=members):
            self._reading_store = True
            self._spawn(self._read_store())

    async def _read_store(self) -> None:
        try:
            async with asyncio.timeout(self._options.call_timeout):
                await self._watcher.read_once()
        except (StoreUnavailable, StoreOutcomeUnknown, TimeoutError):
            # The age stays overdue, so that the next read is scheduled.
            return
        finally:
            self._reading_store = False

    async def _propose_removal(self, removal: Removal) -> None:
        if await self._view_writer.submit(removal) is ChangeOutcome.UNAVAILABLE:
            self._gossip.prober.wards.resume_confirmations(removal.vm)

    async def _check_orphans(self, vm_list: VmList, orphans: frozenset[str]) -> None:
        try:
            listed = {vm.id for vm in await vm_list.fetch()}
        except StoreUnavailable:
            return
        self._gossip.prober.set_unlisted(orphans - listed)

    async def _pull(self, vm: Vm) -> None:
        request = codec.to_msgpack(self._gossip.knowledge.request(self._local_vm.id))
        try:
            answer = await self._transport.call(
                vm, PULL_METHOD, request, timeout=self._options.call_timeout
            )
            self._on_changes(unpack_changes(answer))
        except (TransportError, codec.MalformedError):
            # The next digest from any VM causes another pull.
            return
        finally:
            self._pulling.discard(vm.id)

    async def _handle_pull(self, payload: bytes) -> bytes:
        return self._gossip.handle_pull(payload)

    def _on_view(self, view: View) -> None:
        self._on_changes(Changes(views=(view,)))

    def _on_changes(self, changes: Changes) -> None:
        self._gossip.offer(changes, _now())

    def _on_store_reachability(self, reached: bool, detail: str) -> None:
        if reached != self._store_reachable:
            self._store_reachable = reached
            self._on_event("store_back" if reached else "store_away", {"detail": detail})

    def _update_watch(self) -> None:
        should_watch = is_watcher(
            self._local_vm.id, self.state.view(self._local_vm.data_centre), self.state.suspects
        )
        watching = self._watch_task is not None and not self._watch_task.done()
        if should_watch and not watching:
            self._watch_task = self._spawn(keep_running(self._watcher.run, self._on_fault))
        elif not should_watch and watching and self._watch_task is not None:
            self._watch_task.cancel()


async def start_control_plane(
    options: ControlOptions,
    *,
    local_vm: Vm,
    store: Store,
    vm_list: VmList | None,
    seeds: Sequence[Address],
    transport: Transport,
    on_state: OnState,
    on_event: OnEvent,
    slots_in_use: SlotsInUse = dict,
) -> ControlPlane:
    """Return a started control plane. Close it at shutdown, after `leave` if there is time."""
    plane = ControlPlane(
        options,
        local_vm=local_vm,
        store=store,
        vm_list=vm_list,
        seeds=seeds,
        transport=transport,
        on_state=on_state,
        on_event=on_event,
        slots_in_use=slots_in_use,
    )
    await plane.start()
    return plane
