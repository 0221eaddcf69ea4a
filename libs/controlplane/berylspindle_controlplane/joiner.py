"""Learn the first configuration and join the view, as often as this VM is not in it.

Terms:
  seeds    addresses of a few VMs from the settings, asked first by a VM that knows nobody

Flow: `learn` asks the store and, while it is away, seeds and listed VMs; `join_forever` asks a
member to collect this VM with others into one change of the view, or changes it itself.
What it guards against: a VM that was held dead while it was paused finds itself out of the view
when it wakes; it joins again as a member of a new epoch, with none of its old rights.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Final

import attrs

from berylspindle_controlplane.gossip import Gossip
from berylspindle_controlplane.store_watcher import StoreWatcher
from berylspindle_controlplane.transport import JOIN, PULL, Address, Transport, TransportError
from berylspindle_controlplane.view_keeper import Join, ViewKeeper
from berylspindle_model import codec
from berylspindle_model.control_messages import PullRequest
from berylspindle_model.delta import Changes, unpack_changes
from berylspindle_model.topology import Vm
from berylspindle_store.store import StoreAway, StoreUnsure
from berylspindle_store.vm_list import VmList, VmRole

# Joins of other VMs that arrive within this time share one change of the view.
COLLECT: Final = 0.1
_MAX_SEEDS: Final = 5
# Joins go to the same few members, so that they meet there.
_JOIN_MEMBERS: Final = 2


@attrs.frozen(kw_only=True)
class JoinLimits:
    """The times of joining, in seconds.

    `retry` is doubled up to `max_retry`, and `alone_after` up to `max_alone`; see
    `Joiner._may_join_alone`.
    """

    alone_after: float = 5.0
    max_alone: float = 60.0
    retry: float = 0.3
    max_retry: float = 5.0
    check: float = 0.3
    call_timeout: float = 2.0


class Joiner:
    """The first steps of one VM, and its way back."""

    def __init__(
        self,
        me: Vm,
        limits: JoinLimits,
        *,
        gossip: Gossip,
        keeper: ViewKeeper,
        watcher: StoreWatcher,
        transport: Transport,
        vm_list: VmList | None,
        seeds: Sequence[Address],
        rng: random.Random,
    ) -> None:
        self._me: Final = me
        self._limits: Final = limits
        self._gossip: Final = gossip
        self._keeper: Final = keeper
        self._watcher: Final = watcher
        self._transport: Final = transport
        self._vm_list: Final = vm_list
        self._seeds: Final = tuple(seeds)
        self._rng: Final = rng
        self._leaving = False
        self._out_since: float | None = None
        self._alone_after = limits.alone_after

    def stop(self) -> None:
        """Join no more, and take no other VM's join; the VM is about to leave."""
        self._leaving = True

    async def learn(self) -> None:
        """Ask the store and the seeds in turn until a configuration is known."""
        wait = self._limits.retry
        while self._gossip.knowledge.revision == 0:
            try:
                await self._watcher.read_once()
            except (StoreAway, StoreUnsure):
                pass
            if self._gossip.knowledge.revision == 0:
                await self._ask_seeds()
                wait = await self._pause(wait)

    async def join_forever(self) -> None:
        """Join the view, and again whenever this VM finds itself removed."""
        wait = self._limits.retry
        while not self._leaving:
            if self._gossip.ownership.is_member:
                wait = self._limits.retry
                self._out_since = None
                await asyncio.sleep(self._limits.check)
            elif not await self._join_once():
                wait = await self._pause(wait)

    async def answer_join(self, payload: bytes) -> bytes:
        """Add the VM that asks, together with others that ask now; return all that is known."""
        vm = codec.from_pack(payload, Vm)
        await asyncio.sleep(COLLECT)
        if vm.data_centre == self._me.data_centre and not self._leaving:
            await self._keeper.submit(Join(vm))
        nothing = PullRequest(sender=vm.id, revision=0, epochs={})
        return self._gossip.answer_pull(codec.to_pack(nothing))

    async def _pause(self, wait: float) -> float:
        await asyncio.sleep(wait * (0.5 + self._rng.random()))
        return min(self._limits.max_retry, 2 * wait)

    async def _join_once(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self._out_since is None:
            self._out_since = now
        # One member collects the joins of many VMs into one swap: a data centre that starts at
        # once would else race itself for each epoch.
        members = self._members()
        if members:
            await self._ask(self._rng.choice(members), JOIN, codec.to_pack(self._me))
        if not self._gossip.ownership.is_member and self._may_join_alone(members, now):
            await self._keeper.submit(Join(self._me))
            self._alone_after = min(self._limits.max_alone, 2 * self._alone_after)
        return self._gossip.ownership.is_member

    def _may_join_alone(self, members: list[Vm], now: float) -> bool:
        """Tell whether to join without the word of a member.

        A VM that only the store hears would join, be removed by its guardians and join again, for
        ever, and its backend servers would have no holder meanwhile. A member that takes its call
        shows that it can be reached. Where all members are dead nobody can, so it waits, longer
        each time, and then joins all the same.
        """
        if self._leaving or self._out_since is None:
            return False
        return not members or now - self._out_since >= self._alone_after

    def _members(self) -> list[Vm]:
        state = self._gossip.state
        view = state.view(self._me.data_centre)
        members = view.members if view is not None else ()
        others = [vm for vm in members if vm.id != self._me.id]
        live = [vm for vm in others if vm.id not in state.suspects]
        return (live or others)[:_JOIN_MEMBERS]

    async def _ask_seeds(self) -> None:
        addresses = [*self._seeds, *await self._listed()]
        self._rng.shuffle(addresses)
        for host, port in addresses[:_MAX_SEEDS]:
            if (host, port) == (self._me.host, self._me.peer_port):
                continue
            seed = Vm(id=f"{host}:{port}", data_centre="", host=host, peer_port=port)
            await self._ask(seed, PULL, codec.to_pack(self._gossip.knowledge.request(self._me.id)))
            if self._gossip.knowledge.revision > 0:
                return

    async def _ask(self, vm: Vm, method: str, payload: bytes) -> None:
        try:
            answer = await self._transport.call(
                vm, method, payload, timeout=self._limits.call_timeout
            )
            changes: Changes = unpack_changes(answer)
        except (TransportError, codec.MalformedError):
            return
        self._gossip.offer(changes, asyncio.get_running_loop().time())

    async def _listed(self) -> list[Address]:
        if self._vm_list is None:
            return []
        try:
            listed = await self._vm_list.fetch()
        except StoreAway:
            return []
        return [(vm.host, vm.port) for vm in listed if vm.role is VmRole.ENTRY]
