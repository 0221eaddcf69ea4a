"""Whether this VM should take callers while it is cut off from the other data centres.

Terms:
  probe     a short question to a peer in another data centre, to see whether it can be reached
  again at home   a route whose shards, enough of them, have a replica in this VM's own data centre

Flow: `run` looks ten times a second. A VM that is cut off says so at once, unless all routes can be
served at home, and probes peers elsewhere until one answers. Nothing is probed while all is well. A
VM that follows the mirror of one that is cut off is `told`, and suspects that it is too.

Guards: where twenty VMs share a data centre's callers, most of them see too few requests to notice
a cut themselves; the balancer goes on sending callers to each that is ready, and needs all of them
unready to send any elsewhere. A balancer sends callers of a data centre whose VMs are all unready
to another one. A VM that is cut off and stays ready keeps them, and can answer only what its own
data centre holds.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final

from berylspindle_decisions.reach import Reach
from berylspindle_forwarding.catalogue import VmEntry
from berylspindle_forwarding.replica_book import ReplicaBook
from berylspindle_forwarding.vm_probe import answers
from berylspindle_model.routing import Route, RoutingTable

LOOK_S: Final = 0.1
SUSPECT_S: Final = 2.5
"""Seconds for which a suspicion lasts: the next word of a VM that is cut off comes within one."""

PROBE_S: Final = 0.25

BALANCER_S: Final = 2.1
"""Seconds after which a balancer that asks every second and counts two misses has seen that this VM
is unready."""


class Outside:
    """This VM's ways to other data centres, and what follows for its readiness."""

    def __init__(
        self,
        reach: Reach,
        book: ReplicaBook,
        *,
        data_centre: str,
        vms: Callable[[], tuple[VmEntry, ...]],
        table: Callable[[], RoutingTable | None],
        now: Callable[[], float],
        on_change: Callable[[bool], None],
    ) -> None:
        self._reach: Final = reach
        self._book: Final = book
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

    async def run(self) -> None:
        """Look and probe until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            now = self._now()
            self._note(self._reach.is_cut_off(now) and not self._all_at_home())
            if self._reach.should_probe(now):
                await self._probe()

    def _note(self, cut_off: bool) -> None:
        if cut_off == self.is_cut_off:
            return
        self._since = self._now() if cut_off else None
        self._on_change(cut_off)

    async def _probe(self) -> None:
        """Ask one peer of each other data centre at once."""
        peers: dict[str, list[VmEntry]] = {}
        for vm in self._vms():
            if vm.data_centre != self._data_centre:
                peers.setdefault(vm.data_centre, []).append(vm)
        asked = [self._probe_one(random.choice(found)) for found in peers.values()]
        await asyncio.gather(*asked)

    async def _probe_one(self, vm: VmEntry) -> None:
        self._reach.tried(self._now(), vm.data_centre)
        if await answers(vm.host, vm.port, timeout=PROBE_S):
            self._reach.heard(self._now(), vm.data_centre)

    def _all_at_home(self) -> bool:
        table = self._table()
        return table is not None and all(self._is_at_home(route) for route in table.routes)

    def _is_at_home(self, route: Route) -> bool:
        held = sum(map(self._book.has_at_home, route.services))
        if route.shard_set is not None:
            return held >= route.shard_set.least
        return held == len(route.services)
