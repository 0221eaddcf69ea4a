"""Detect that this VM is cut off from the other data centres, and set its readiness.

Terms:
  probe     a short question to a peer in another data centre, to see whether it can be reached
  again at home   a route whose shards, enough of them, have a replica in this VM's own data centre

Flow: `run` looks ten times a second, twice as often while an attempt elsewhere is out. A VM that is
cut off says so at once, unless all routes can be served at home, and probes peers elsewhere until
one answers. While all is well only a VM that no other one watches for probes, two data centres at a
time, and so sees a cut before callers' requests show it. A VM that others follow also probes as
soon as an attempt is overdue. A VM that follows the mirror of one that is cut off is `told`, and
suspects that it is too.

Guards: where twenty VMs share a data centre's callers, most of them see too few requests to notice
a cut themselves; the balancer goes on sending callers to each that is ready, and needs all of them
unready to send any elsewhere. A balancer sends callers of a data centre whose VMs are all unready
to another one. A VM that is cut off and stays ready keeps them, and can answer only what its own
data centre holds.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Final

from berylspindle_decisions.reach import TRIES, Reach
from berylspindle_forwarding.catalogue import VmEntry
from berylspindle_forwarding.replica_registry import ReplicaRegistry
from berylspindle_forwarding.vm_probe import Prober
from berylspindle_model.routing import Route, RoutingTable

LOOK_S: Final = 0.1
LOOK_OUT_S: Final = 0.05
"""Seconds between two looks, and while an attempt elsewhere is out."""

CONFIRM_S: Final = 0.2
CONFIRM_PROBES: Final = 2
"""Seconds between two rounds of probes for overdue attempts, and VMs of each data centre that are
probed: one may have just died."""

SUSPECT_S: Final = 2.5
"""Seconds for which a suspicion lasts: the next word of a VM that is cut off comes within one."""

PROBE_S: Final = 0.25

WATCH_S: Final = 0.4
WATCHED: Final = 2
"""Seconds between two rounds of probes while all is well, and data centres that are probed in each:
as many as have to be dark for a VM that is cut off."""

BALANCER_S: Final = 2.1
"""Seconds after which a balancer that asks every second and counts two misses has seen that this VM
is unready."""


class Outside:
    """This VM's ways to other data centres, and what follows for its readiness."""

    def __init__(
        self,
        reach: Reach,
        registry: ReplicaRegistry,
        *,
        data_centre: str,
        vms: Callable[[], tuple[VmEntry, ...]],
        table: Callable[[], RoutingTable | None],
        watches: Callable[[], bool],
        is_followed: Callable[[], bool],
        prober: Prober,
        now: Callable[[], float],
        on_change: Callable[[bool], None],
    ) -> None:
        """Take also whether this VM probes while all is well, and for overdue attempts."""
        self._watches: Final = watches
        self._is_followed: Final = is_followed
        self._watch_at = 0.0
        self._confirm_at = 0.0
        self._prober: Final = prober
        self._reach: Final = reach
        self._registry: Final = registry
        self._data_centre: Final = data_centre
        self._vms: Final = vms
        self._table: Final = table
        self._now: Final = now
        self._on_change: Final = on_change
        self._since: float | None = None
        self._suspected_by: object = None

    @property
    def is_cut_off(self) -> bool:
        """Tell whether this VM is cut off and can't serve all routes at home."""
        return self._since is not None

    def until_elsewhere(self, now: float) -> float:
        """Return in how many seconds the balancer sends callers elsewhere; 0 where it does."""
        if self._since is None:
            return 0.0
        return max(0.0, self._since + BALANCER_S - now)

    def told(self, cut_off: bool, *, source: object) -> None:
        """Take from another VM of this data centre whether it is cut off.

        Only the one that raised a suspicion ends it: others may not have seen the cut yet.
        """
        now = self._now()
        if cut_off:
            self._suspected_by = source
            self._reach.suspect(now, until=now + SUSPECT_S)
        elif source is self._suspected_by:
            self._suspected_by = None
            self._reach.end_suspicion()
        self._update(now)

    async def run(self) -> None:
        """Look and probe until cancelled."""
        async with asyncio.TaskGroup() as probes:
            while True:
                await asyncio.sleep(LOOK_OUT_S if self._reach.is_waiting else LOOK_S)
                now = self._now()
                self._update(now)
                if self._reach.should_probe(now):
                    await self._probe(self._peers())
                elif self._reach.is_quiet(now) and self._may_confirm(now):
                    probes.create_task(self._confirm())
                elif self._watches() and now >= self._watch_at:
                    self._watch_at = now + WATCH_S
                    probes.create_task(self._watch())

    def _update(self, now: float) -> None:
        cut_off = self._reach.is_cut_off(now) and not self._all_at_home()
        if cut_off == self.is_cut_off:
            return
        self._since = now if cut_off else None
        self._on_change(cut_off)

    def _may_confirm(self, now: float) -> bool:
        if now < self._confirm_at or not self._is_followed():
            return False
        self._confirm_at = now + CONFIRM_S
        return True

    async def close(self) -> None:
        """Close all connections."""
        await self._prober.close()

    def _peers(self) -> dict[str, list[VmEntry]]:
        """Return the VMs of each other data centre."""
        peers: dict[str, list[VmEntry]] = {}
        for vm in self._vms():
            if vm.data_centre != self._data_centre:
                peers.setdefault(vm.data_centre, []).append(vm)
        return peers

    async def _watch(self) -> None:
        """Probe a few data centres, and others of their VMs as long as none answers."""
        peers = self._peers()
        watched = random.sample(sorted(peers), min(WATCHED, len(peers)))
        for _ in range(TRIES):
            heard = await self._probe({name: peers[name] for name in watched})
            if heard or not watched:
                return

    async def _confirm(self) -> None:
        """Ask a few VMs of each other data centre at once."""
        asked = (
            self._probe_one(vm)
            for found in self._peers().values()
            for vm in random.sample(found, min(CONFIRM_PROBES, len(found)))
        )
        await asyncio.gather(*asked)

    async def _probe(self, peers: Mapping[str, list[VmEntry]]) -> bool:
        """Ask one VM of each of these data centres at once; return whether any has answered."""
        asked = [self._probe_one(self._choose(found)) for found in peers.values()]
        return any(await asyncio.gather(*asked))

    def _choose(self, vms: list[VmEntry]) -> VmEntry:
        known = [vm for vm in vms if self._prober.knows(vm.host, vm.port)]
        return random.choice(known or vms)

    async def _probe_one(self, vm: VmEntry) -> bool:
        self._reach.probed(self._now(), vm.data_centre)
        if not await self._prober.answers(vm.host, vm.port, timeout=PROBE_S):
            return False
        self._reach.heard(self._now(), vm.data_centre)
        return True

    def _all_at_home(self) -> bool:
        table = self._table()
        return table is not None and all(self._is_at_home(route) for route in table.routes)

    def _is_at_home(self, route: Route) -> bool:
        held = sum(map(self._registry.has_at_home, route.services))
        if route.shard_set is not None:
            return held >= route.shard_set.least
        return held == len(route.services)
