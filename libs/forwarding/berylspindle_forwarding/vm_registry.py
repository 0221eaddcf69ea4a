"""Registry of the other VMs, from their announcements.

Flow: the forwarder passes each announcement to `apply`. The registry answers which VMs are
followed, which VMs may merge searches, and by how many VMs cluster-wide limits are divided.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Final

from berylspindle_decisions.relay_choice import min_merger_capacity, share_divisor
from berylspindle_decisions.watchers import MIN_WATCHERS, select_watchers
from berylspindle_forwarding.catalogue_changes import VmChange, VmEntry
from berylspindle_forwarding.upstream_selector import MirrorAddress


class VmRegistry:
    """All VMs known to this one, itself among them once it is announced.

    `capacity` is this VM's capacity in cores, `own_mirror` the address of its own mirror, and
    `seeds` are mirrors that are known without an announcement.
    """

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        capacity: float,
        own_mirror: MirrorAddress | None,
        seeds: tuple[MirrorAddress, ...],
        expected_vms: int,
    ) -> None:
        self._vm: Final = vm
        self._data_centre: Final = data_centre
        self._capacity: Final = capacity
        self._own_mirror: Final = own_mirror
        self._seeds: Final = seeds
        self._expected_vms: Final = expected_vms
        self._vms: dict[str, VmEntry] = {}
        self._local_peers: Mapping[str, VmEntry] = {}
        self._share_divisor = 1
        self._min_merger_capacity = 0.0
        self._mergers: Mapping[str, VmEntry] = {}

    def __len__(self) -> int:
        return len(self._vms)

    @property
    def entries(self) -> tuple[VmEntry, ...]:
        """Return the entries of all known VMs."""
        return tuple(self._vms.values())

    @property
    def share_divisor(self) -> int:
        """Return the divisor of cluster-wide limits, counted in VMs of this one's capacity."""
        return max(self._share_divisor, self._expected_vms)

    @property
    def vm_count(self) -> int:
        """Return the number of VMs, including those without an entry."""
        return max(1, sum(1 + vm.followers for vm in self._vms.values()))

    def apply(self, change: VmChange) -> None:
        """Apply an announcement, or its deletion."""
        if change.vm is not None:
            self._vms[change.id] = change.vm
        else:
            self._vms.pop(change.id, None)
        self._recount()
        self._local_peers = {
            name: vm
            for name, vm in self._vms.items()
            if vm.data_centre == self._data_centre and name != self._vm
        }
        self._mergers = {
            name: vm
            for name, vm in self._vms.items()
            if name != self._vm
            and vm.callers_port > 0
            and (vm.data_centre == self._data_centre or vm.bears >= self._min_merger_capacity)
        }

    def local_vm_count(self) -> int:
        """Return the number of VMs in the data centre, including those without an entry."""
        local = [vm for vm in self._vms.values() if vm.data_centre == self._data_centre]
        return max(1, sum(1 + vm.followers for vm in local))

    def _recount(self) -> None:
        others_by_capacity: Counter[float] = Counter()
        for name, vm in self._vms.items():
            if name != self._vm:
                others_by_capacity[vm.bears] += 1
            if vm.followers:
                others_by_capacity[vm.follower_bears] += vm.followers
        self._share_divisor = share_divisor(self._capacity, others_by_capacity)
        self._min_merger_capacity = min_merger_capacity([self._capacity, *others_by_capacity])

    def mirrors(self) -> tuple[MirrorAddress, ...]:
        """Return the addresses of peers' mirrors: those of known VMs and the seeds."""
        known = {
            (vm.host, vm.port): MirrorAddress(vm.host, vm.port, vm.data_centre == self._data_centre)
            for vm in self._vms.values()
        }
        for seed in self._seeds:
            known.setdefault((seed.host, seed.port), seed)
        if self._own_mirror is not None:
            known.pop((self._own_mirror.host, self._own_mirror.port), None)
        return tuple(known.values())

    def watchers(self) -> tuple[MirrorAddress, ...]:
        """Return the mirrors that this VM may follow, best first; none if it follows the store.

        The first watcher follows the store. Each further watcher follows one that is ranked before
        it, and a VM that is no watcher follows any of them. A VM whose own entry isn't known is a
        watcher only if fewer than `MIN_WATCHERS` VMs of the data centre have a known entry.
        """
        watchers = self._ranked_watchers()
        if self._vm in watchers:
            watchers = watchers[: watchers.index(self._vm)]
        local = (self._vms[name] for name in watchers)
        return tuple(MirrorAddress(vm.host, vm.port, True) for vm in local)

    def is_watcher(self) -> bool:
        """Return whether other VMs follow this one's mirror."""
        return self._vm in self._ranked_watchers()

    def _ranked_watchers(self) -> tuple[str, ...]:
        local = {name: vm for name, vm in self._vms.items() if vm.data_centre == self._data_centre}
        capacities = {name: vm.bears for name, vm in local.items()}
        if len(local) < MIN_WATCHERS:
            capacities[self._vm] = self._capacity
        return select_watchers(
            capacities,
            data_centre=self._data_centre,
            unannounced=sum(vm.followers for vm in local.values()),
        )

    def merge_candidates(self) -> Mapping[str, VmEntry]:
        """Return the VMs that may merge this one's requests; a new mapping after each change."""
        return self._mergers

    def local_peers(self) -> Mapping[str, VmEntry]:
        """Return the other VMs of this one's data centre; a new mapping after each change."""
        return self._local_peers
