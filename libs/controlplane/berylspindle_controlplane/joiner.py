"""Fetch the first configuration and keep this VM in the view of its data centre.

Terms:
  seeds    addresses of a few VMs from the settings, called by a VM that knows no other VMs

Flow: `fetch_initial_state` reads the store or, while that is unavailable, calls seeds and listed
VMs; `maintain_membership` asks a member to add this VM to the view, in one change with other joins,
or changes the view itself. A VM that was removed as dead while it was paused joins again, as a
member of a new epoch and without its former rights.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Final

import attrs

from berylspindle_controlplane.gossip import Gossip
from berylspindle_controlplane.store_watcher import StoreWatcher
from berylspindle_controlplane.transport import (
    JOIN_METHOD,
    PULL_METHOD,
    Address,
    Transport,
    TransportError,
)
from berylspindle_controlplane.view_writer import Join, ViewWriter
from berylspindle_model import codec
from berylspindle_model.control_messages import PullRequest
from berylspindle_model.delta import Changes, unpack_changes
from berylspindle_model.topology import Vm
from berylspindle_store.store import StoreOutcomeUnknown, StoreUnavailable
from berylspindle_store.vm_list import VmList, VmRole

# Joins of other VMs that arrive within this time are combined into one change of the view.
JOIN_BATCH_WINDOW_S: Final = 0.1
_MAX_SEEDS_PER_ROUND: Final = 5
# All joins are sent to the same few members, so that these can combine them.
_MAX_JOIN_TARGETS: Final = 2


@attrs.frozen(kw_only=True)
class JoinLimits:
    """Times of joining, in seconds.

    Attributes:
        alone_after: time without membership after which a VM joins without the help of a member;
            it doubles with each such attempt up to `max_alone`. See `Joiner._may_join_directly`.
        retry: wait after a failed attempt, doubled up to `max_retry`, with jitter.
        check: interval at which a member checks that it has not been removed.
        call_timeout: timeout of calls to peers.
    """

    alone_after: float = 5.0
    max_alone: float = 60.0
    retry: float = 0.3
    max_retry: float = 5.0
    check: float = 0.3
    call_timeout: float = 2.0


class Joiner:
    """The join of one VM, at its start and after a removal."""

    def __init__(
        self,
        local_vm: Vm,
        limits: JoinLimits,
        *,
        gossip: Gossip,
        view_writer: ViewWriter,
        watcher: StoreWatcher,
        transport: Transport,
        vm_list: VmList | None,
        seeds: Sequence[Address],
        rng: random.Random,
    ) -> None:
        self._local_vm: Final = local_vm
        self._limits: Final = limits
        self._gossip: Final = gossip
        self._view_writer: Final = view_writer
        self._watcher: Final = watcher
        self._transport: Final = transport
        self._vm_list: Final = vm_list
        self._seeds: Final = tuple(seeds)
        self._rng: Final = rng
        self._leaving = False
        self._not_member_since: float | None = None
        self._direct_join_after = limits.alone_after

    def stop(self) -> None:
        """Stop joining and stop accepting joins of other VMs, before this VM leaves."""
        self._leaving = True

    async def fetch_initial_state(self) -> None:
        """Read the store and call the seeds in turn until a configuration is known."""
        wait = self._limits.retry
        while self._gossip.knowledge.revision == 0:
            try:
                await self._watcher.read_once()
            except (StoreUnavailable, StoreOutcomeUnknown):
                pass
            if self._gossip.knowledge.revision == 0:
                await self._pull_from_seeds()
                wait = await self._back_off(wait)

    async def maintain_membership(self) -> None:
        """Join the view, and join again whenever this VM has been removed."""
        wait = self._limits.retry
        while not self._leaving:
            if self._gossip.ownership.is_member:
                wait = self._limits.retry
                self._not_member_since = None
                await asyncio.sleep(self._limits.check)
            elif not await self._join_once():
                wait = await self._back_off(wait)

    async def handle_join(self, payload: bytes) -> bytes:
        """Add the calling VM to the view, with other VMs that join now; return the full state."""
        vm = codec.from_msgpack(payload, Vm)
        await asyncio.sleep(JOIN_BATCH_WINDOW_S)
        if vm.data_centre == self._local_vm.data_centre and not self._leaving:
            await self._view_writer.submit(Join(vm))
        from_scratch = PullRequest(sender=vm.id, revision=0, epochs={})
        return self._gossip.handle_pull(codec.to_msgpack(from_scratch))

    async def _back_off(self, wait: float) -> float:
        await asyncio.sleep(wait * (0.5 + self._rng.random()))
        return min(self._limits.max_retry, 2 * wait)

    async def _join_once(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self._not_member_since is None:
            self._not_member_since = now
        # One member combines the joins of many VMs into one compare-and-swap. Otherwise, if all
        # VMs of a data centre start at once, their writes would conflict at each epoch.
        members = self._members()
        if members:
            await self._fetch_changes(
                self._rng.choice(members), JOIN_METHOD, codec.to_msgpack(self._local_vm)
            )
        if not self._gossip.ownership.is_member and self._may_join_directly(members, now):
            await self._view_writer.submit(Join(self._local_vm))
            self._direct_join_after = min(self._limits.max_alone, 2 * self._direct_join_after)
        return self._gossip.ownership.is_member

    def _may_join_directly(self, members: list[Vm], now: float) -> bool:
        """Return whether to join without the help of a member.

        A VM that can reach only the store would join, be removed by its guardians and join again
        indefinitely, and its backend servers would have no owner meanwhile. A call to a member
        proves that the VM is reachable. If all members are dead, no call succeeds, so the VM joins
        directly after a wait that grows with each attempt.

        Before the initial state is known, an empty view says nothing. A VM that knows no epoch
        could give one out again after a store has returned from a copy; a member knows the latest.
        """
        if self._leaving or self._not_member_since is None:
            return False
        has_no_members = not members and self._gossip.knowledge.revision > 0
        return has_no_members or now - self._not_member_since >= self._direct_join_after

    def _members(self) -> list[Vm]:
        state = self._gossip.state
        view = state.view(self._local_vm.data_centre)
        members = view.members if view is not None else ()
        others = [vm for vm in members if vm.id != self._local_vm.id]
        live = [vm for vm in others if vm.id not in state.suspects]
        return (live or others)[:_MAX_JOIN_TARGETS]

    async def _pull_from_seeds(self) -> None:
        addresses = [*self._seeds, *await self._listed_addresses()]
        self._rng.shuffle(addresses)
        for host, port in addresses[:_MAX_SEEDS_PER_ROUND]:
            if (host, port) == (self._local_vm.host, self._local_vm.peer_port):
                continue
            seed = Vm(id=f"{host}:{port}", data_centre="", host=host, peer_port=port)
            await self._fetch_changes(
                seed,
                PULL_METHOD,
                codec.to_msgpack(self._gossip.knowledge.request(self._local_vm.id)),
            )
            if self._gossip.knowledge.revision > 0:
                return

    async def _fetch_changes(self, vm: Vm, method: str, payload: bytes) -> None:
        try:
            answer = await self._transport.call(
                vm, method, payload, timeout=self._limits.call_timeout
            )
            changes: Changes = unpack_changes(answer)
        except (TransportError, codec.MalformedError):
            return
        self._gossip.offer(changes, asyncio.get_running_loop().time())

    async def _listed_addresses(self) -> list[Address]:
        if self._vm_list is None:
            return []
        try:
            listed = await self._vm_list.fetch()
        except StoreUnavailable:
            return []
        return [(vm.host, vm.port) for vm in listed if vm.role is VmRole.ENTRY]
