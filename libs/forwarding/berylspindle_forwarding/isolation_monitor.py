"""Detect that this VM is cut off from the other data centres, and set its readiness.

Terms:
  probe           a short request to a peer in another data centre that checks reachability, or a
                  connection to a replica there
  served locally  said of a route with enough shards that have a replica in this VM's data centre

Flow: `run` checks reachability at fixed intervals, more often while an attempt at another data
centre is pending. A VM that is cut off becomes unready at once, unless all routes can be served
locally, and probes peers in other data centres until one responds. In normal operation only a VM
that follows the store directly probes, two data centres at a time, and so detects a cut before
callers' requests are affected. A VM that has followers also probes as soon as an attempt is
overdue. `record_peer_report` records whether the VM whose mirror is followed is cut off; if so,
this VM is suspected to be cut off too.

While the peers of a data centre don't answer, a replica there is probed as well: peers that were
lost for good are announced for some seconds more, and this VM may be one of the few that are left.
Data centres with replicas and without any peer are probed before this VM counts as cut off for
longer, since a cut-off VM sends no request that could end that state.

Guards: where twenty VMs share a data centre's callers, most of them see too few requests to detect
a cut themselves. The balancer sends callers to each VM that is ready, and diverts them to another
data centre only once all VMs of this one are unready. A VM that is cut off and stays ready keeps
its callers, and can answer only what its own data centre holds.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Final

from berylspindle_decisions.reachability import MIN_ATTEMPTS, Reachability
from berylspindle_forwarding.catalogue_changes import VmEntry
from berylspindle_forwarding.replica_registry import ReplicaRegistry
from berylspindle_forwarding.vm_probe import Prober, accepts_connections
from berylspindle_model.routing import Route, RoutingTable

CHECK_INTERVAL_S: Final = 0.1
PENDING_CHECK_INTERVAL_S: Final = 0.05
"""Seconds between two checks, and the same while an attempt at another data centre is pending."""

CONFIRM_INTERVAL_S: Final = 0.2
CONFIRM_PROBES: Final = 2
"""Seconds between two rounds of probes for overdue attempts, and the VMs probed in each data
centre: a single one may have just crashed."""

SUSPICION_S: Final = 2.5
"""Seconds for which a suspicion lasts. The next report of a VM that is cut off arrives within one
second."""

PROBE_TIMEOUT_S: Final = 0.25

IDLE_PROBE_INTERVAL_S: Final = 0.4
IDLE_PROBE_DATA_CENTRES: Final = 2
"""Seconds between two rounds of probes in normal operation, and the data centres probed in each
round: as many as have to be unreachable for a VM to count as cut off."""

BALANCER_DETECTION_S: Final = 2.1
"""Seconds after which a balancer with a check interval of one second and a threshold of two
failures has detected that this VM is unready."""


class IsolationMonitor:
    """Track the reachability of other data centres, and derive this VM's readiness from it."""

    def __init__(
        self,
        reach: Reachability,
        registry: ReplicaRegistry,
        *,
        data_centre: str,
        known_vms: Callable[[], tuple[VmEntry, ...]],
        table: Callable[[], RoutingTable | None],
        probes_when_idle: Callable[[], bool],
        has_followers: Callable[[], bool],
        prober: Prober,
        now: Callable[[], float],
        on_change: Callable[[bool], None],
    ) -> None:
        """Initialize the monitor.

        `probes_when_idle` returns whether this VM probes in normal operation, and `has_followers`
        whether it probes for overdue attempts.
        """
        self._probes_when_idle: Final = probes_when_idle
        self._is_followed: Final = has_followers
        self._idle_probe_at = 0.0
        self._next_confirm_at = 0.0
        self._prober: Final = prober
        self._reach: Final = reach
        self._registry: Final = registry
        self._data_centre: Final = data_centre
        self._vms: Final = known_vms
        self._table: Final = table
        self._now: Final = now
        self._on_change: Final = on_change
        self._cut_off_since: float | None = None
        self._suspected_by: object = None
        self._without_answer: Final[set[str]] = set()

    @property
    def is_cut_off(self) -> bool:
        """Return whether this VM is cut off and can't serve all routes locally."""
        return self._cut_off_since is not None

    def failover_delay(self, now: float) -> float:
        """Return the seconds until the balancer diverts callers; 0 unless this VM is cut off."""
        if self._cut_off_since is None:
            return 0.0
        return max(0.0, self._cut_off_since + BALANCER_DETECTION_S - now)

    def record_peer_report(self, cut_off: bool, *, source: object) -> None:
        """Record whether another VM of this data centre reports that it is cut off.

        Only a report of the VM that raised a suspicion clears it: other VMs may not have detected
        the cut yet.
        """
        now = self._now()
        if cut_off:
            self._suspected_by = source
            self._reach.on_isolation_report(now, until=now + SUSPICION_S)
        elif source is self._suspected_by:
            self._suspected_by = None
            self._reach.clear_isolation_report()
        self._update(now)

    async def run(self) -> None:
        """Check and probe until cancelled."""
        async with asyncio.TaskGroup() as probes:
            while True:
                await asyncio.sleep(
                    PENDING_CHECK_INTERVAL_S
                    if self._reach.has_unanswered_attempt
                    else CHECK_INTERVAL_S
                )
                now = self._now()
                self._update(now)
                if self._reach.should_probe(now):
                    await asyncio.gather(self._probe(self._peers()), self._probe_without_peers())
                elif self._reach.is_response_overdue(now) and self._may_confirm(now):
                    probes.create_task(self._confirm())
                elif self._probes_when_idle() and now >= self._idle_probe_at:
                    self._idle_probe_at = now + IDLE_PROBE_INTERVAL_S
                    probes.create_task(self._probe_idle())

    def _update(self, now: float) -> None:
        cut_off = self._reach.is_isolated(now) and not self._is_served_locally()
        if cut_off == self.is_cut_off:
            return
        self._cut_off_since = now if cut_off else None
        self._on_change(cut_off)

    def _may_confirm(self, now: float) -> bool:
        if now < self._next_confirm_at or not self._is_followed():
            return False
        self._next_confirm_at = now + CONFIRM_INTERVAL_S
        return True

    async def close(self) -> None:
        """Close all connections."""
        await self._prober.close()

    def _peers(self) -> dict[str, list[VmEntry]]:
        peers: dict[str, list[VmEntry]] = {}
        for vm in self._vms():
            if vm.data_centre != self._data_centre:
                peers.setdefault(vm.data_centre, []).append(vm)
        return peers

    async def _probe_idle(self) -> None:
        """Probe a few data centres, and retry with other VMs while none responds."""
        peers = self._peers()
        sampled = random.sample(sorted(peers), min(IDLE_PROBE_DATA_CENTRES, len(peers)))
        for _ in range(MIN_ATTEMPTS):
            responded = await self._probe({name: peers[name] for name in sampled})
            if responded or not sampled:
                return

    async def _confirm(self) -> None:
        """Probe a few VMs of each other data centre concurrently."""
        probes = (
            self._probe_one(vm)
            for vms in self._peers().values()
            for vm in random.sample(vms, min(CONFIRM_PROBES, len(vms)))
        )
        await asyncio.gather(*probes)

    async def _probe(self, peers: Mapping[str, list[VmEntry]]) -> bool:
        """Probe one VM of each data centre concurrently; return whether any responded."""
        probes = [self._probe_one(self._choose(vms)) for vms in peers.values()]
        return any(await asyncio.gather(*probes))

    def _choose(self, vms: list[VmEntry]) -> VmEntry:
        connected = [vm for vm in vms if self._prober.has_connection(vm.host, vm.port)]
        return random.choice(connected or vms)

    async def _probe_one(self, vm: VmEntry) -> bool:
        """Probe a VM, and a replica of its data centre if the last VM there did not answer."""
        data_centre = vm.data_centre
        self._reach.on_probe(self._now(), data_centre)
        probes = [self._probe_vm(vm)]
        if data_centre in self._without_answer:
            probes.append(self._probe_replica(data_centre))
        return any(await asyncio.gather(*probes))

    async def _probe_vm(self, vm: VmEntry) -> bool:
        if not await self._prober.is_responding(vm.host, vm.port, timeout=PROBE_TIMEOUT_S):
            self._without_answer.add(vm.data_centre)
            return False
        self._without_answer.discard(vm.data_centre)
        self._reach.on_contact(self._now(), vm.data_centre)
        return True

    async def _probe_without_peers(self) -> None:
        """Probe a replica of each other data centre that has no VM."""
        others = self._registry.data_centres - self._peers().keys() - {self._data_centre}
        await asyncio.gather(*(self._probe_replica(data_centre) for data_centre in others))

    async def _probe_replica(self, data_centre: str) -> bool:
        replicas = self._registry.in_data_centre(data_centre)
        if not replicas:
            return False
        replica = random.choice(replicas).replica
        if not await accepts_connections(replica.host, replica.port, timeout=PROBE_TIMEOUT_S):
            return False
        self._reach.on_contact(self._now(), data_centre)
        return True

    def _is_served_locally(self) -> bool:
        table = self._table()
        return table is not None and all(self._is_route_local(route) for route in table.routes)

    def _is_route_local(self, route: Route) -> bool:
        local = sum(map(self._registry.has_local_replica, route.services))
        if route.shard_set is not None:
            return local >= route.shard_set.min_shards
        return local == len(route.services)
