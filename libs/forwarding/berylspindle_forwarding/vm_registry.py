"""Registry of the other VMs, from their announcements.

Flow: the forwarder hands each announcement to `take`; who follows whom, whom searches are passed
to, and by how many VMs shared bounds are divided, is answered from here.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Final

from berylspindle_decisions.relay_choice import count_alike, least_merger
from berylspindle_decisions.watchers import LEAST, watchers_of
from berylspindle_forwarding.catalogue import VmChange, VmEntry
from berylspindle_forwarding.upstream_selector import MirrorAddress


class VmRegistry:
    """All VMs that this one knows, itself among them once it is announced."""

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        bears: float,
        peers: MirrorAddress | None,
        seeds: tuple[MirrorAddress, ...],
        expected_vms: int,
    ) -> None:
        self._vm: Final = vm
        self._data_centre: Final = data_centre
        self._bears: Final = bears
        self._peers: Final = peers
        self._seeds: Final = seeds
        self._expected_vms: Final = expected_vms
        self._vms: dict[str, VmEntry] = {}
        self._others_here: Mapping[str, VmEntry] = {}
        self._alike = 1
        self._least_merger = 0.0
        self._mergers: Mapping[str, VmEntry] = {}

    def __len__(self) -> int:
        return len(self._vms)

    @property
    def entries(self) -> tuple[VmEntry, ...]:
        """Return all VMs."""
        return tuple(self._vms.values())

    @property
    def alike(self) -> int:
        """Return by how many VMs like this one what all VMs share is divided."""
        return max(self._alike, self._expected_vms)

    def take(self, change: VmChange) -> None:
        """Take an announcement, or that one has gone."""
        if change.vm is not None:
            self._vms[change.id] = change.vm
        else:
            self._vms.pop(change.id, None)
        self._count()
        self._others_here = {
            name: vm
            for name, vm in self._vms.items()
            if vm.data_centre == self._data_centre and name != self._vm
        }
        self._mergers = {
            name: vm
            for name, vm in self._vms.items()
            if name != self._vm
            and vm.callers_port > 0
            and (vm.data_centre == self._data_centre or vm.bears >= self._least_merger)
        }

    def needs_me(self, enough: int) -> bool:
        """Return whether fewer than `enough` other VMs here, each at least as big, are known."""
        bigger = [vm for vm in self._others_here.values() if vm.bears >= self._bears]
        return len(bigger) < enough

    def size_here(self) -> int:
        """Return how many VMs the data centre has, with those that have no entry."""
        here = [vm for vm in self._vms.values() if vm.data_centre == self._data_centre]
        return max(1, sum(1 + vm.followers for vm in here))

    def _count(self) -> None:
        others: Counter[float] = Counter()
        for name, vm in self._vms.items():
            if name != self._vm:
                others[vm.bears] += 1
            if vm.followers:
                others[vm.follower_bears] += vm.followers
        self._alike = count_alike(self._bears, others)
        self._least_merger = least_merger([self._bears, *others])

    def mirrors(self) -> tuple[MirrorAddress, ...]:
        """Return where peers' mirrors are read: of VMs that are known, and of seeds."""
        known = {
            (vm.host, vm.port): MirrorAddress(vm.host, vm.port, vm.data_centre == self._data_centre)
            for vm in self._vms.values()
        }
        for seed in self._seeds:
            known.setdefault((seed.host, seed.port), seed)
        if self._peers is not None:
            known.pop((self._peers.host, self._peers.port), None)
        return tuple(known.values())

    def watchers(self) -> tuple[MirrorAddress, ...]:
        """Return whose mirrors this VM follows; none where it follows the store itself.

        The first watcher follows the store, each other one those before it, and all other VMs any
        of them. A VM whose own entry isn't known is a watcher only where there are too few.
        """
        first = self._ranked_watchers()
        if self._vm in first:
            first = first[: first.index(self._vm)]
        here = (self._vms[name] for name in first)
        return tuple(MirrorAddress(vm.host, vm.port, True) for vm in here)

    def is_watcher(self) -> bool:
        """Return whether other VMs follow this one's mirror."""
        return self._vm in self._ranked_watchers()

    def _ranked_watchers(self) -> tuple[str, ...]:
        near = {name: vm for name, vm in self._vms.items() if vm.data_centre == self._data_centre}
        bears = {name: vm.bears for name, vm in near.items()}
        if len(near) < LEAST:
            bears[self._vm] = self._bears
        return watchers_of(
            bears,
            data_centre=self._data_centre,
            unannounced=sum(vm.followers for vm in near.values()),
        )

    def mergers(self) -> Mapping[str, VmEntry]:
        """Return the VMs that may merge this one's requests; a new mapping after each change."""
        return self._mergers

    def others_here(self) -> Mapping[str, VmEntry]:
        """Return the other VMs of this one's data centre; a new mapping after each change."""
        return self._others_here
