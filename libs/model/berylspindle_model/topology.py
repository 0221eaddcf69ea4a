"""Define the VMs of the system, the views of data centres, and the state derived from them.

Terms:
  VM        a daemon of the system, identified by its id; a restarted one has a new id
  view      the agreed list of live VMs of one data centre, with an epoch that only increases; it
            determines which VM owns which backend server
  suspect   a VM that its peers cannot reach; no VM sends work to it, but it keeps its backend
            servers

Flow: the control plane maintains a `ClusterState` and publishes each new one; the data plane reads
the latest and never changes it.
"""

from __future__ import annotations

import attrs

from berylspindle_model.configuration import Configuration


@attrs.frozen(kw_only=True)
class Vm:
    """Id and address of one daemon; TCP and UDP use the same port number."""

    id: str
    data_centre: str
    host: str
    peer_port: int


@attrs.frozen(kw_only=True)
class View:
    """Agreed members of one data centre.

    Attributes:
        joined: epoch at which each member joined, in the order of `members`. A VM that was removed
            and joined again has a later one, by which it detects that it was removed.
        released: the most recent former members that released all backend servers before they
            left.
        unsettled: last epoch at which a member was removed without having released its backend
            servers; a VM that adopts it waits until that member's leases have expired.
    """

    data_centre: str
    epoch: int
    members: tuple[Vm, ...]
    released: tuple[str, ...] = ()
    joined: tuple[int, ...] = ()
    unsettled: int = 0

    def member(self, vm_id: str) -> Vm | None:
        """Return the member with this id, or None."""
        return next((vm for vm in self.members if vm.id == vm_id), None)

    def joined_at(self, vm_id: str) -> int | None:
        """Return the epoch at which a member joined, or None for a VM that is not a member."""
        for index, vm in enumerate(self.members):
            if vm.id == vm_id:
                return self.joined[index] if index < len(self.joined) else 0
        return None


@attrs.frozen(kw_only=True)
class ClusterState:
    """A VM's knowledge of the cluster: the active configuration, views and suspects."""

    configuration: Configuration | None = None
    views: tuple[View, ...] = ()
    suspects: frozenset[str] = frozenset()

    def view(self, data_centre: str) -> View | None:
        """Return the view of one data centre, or None if none is known."""
        return next((view for view in self.views if view.data_centre == data_centre), None)
