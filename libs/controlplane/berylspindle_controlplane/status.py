"""Report the configuration revision and reachability of each VM to operators.

Flow: on an operator's request, the control plane probes every known VM, and `vm_reports` compares
the replies with the revision in force on this VM. A request costs two probes per VM; there is no
cost otherwise.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from berylspindle_controlplane.gossip import LastContact
from berylspindle_model.operator_protocol import VmReport, VmState
from berylspindle_model.topology import ClusterState, Vm

# The VMs were probed twice in the last second; one without contact for longer did not reply.
_MAX_CONTACT_AGE_S: Final = 2.0


def vm_reports(
    state: ClusterState,
    local_vm: Vm,
    last_contacts: Mapping[str, LastContact],
    *,
    adopted_at: float,
    now: float,
) -> tuple[VmReport, ...]:
    """Return a report for each member of each view, ordered by data centre and id."""
    revision = state.configuration.revision if state.configuration is not None else 0
    reports: list[VmReport] = []
    for view in state.views:
        for vm in view.members:
            contact = (
                LastContact(revision=revision, at=now)
                if vm.id == local_vm.id
                else last_contacts.get(vm.id)
            )
            reports.append(_report(vm, contact, vm.id in state.suspects, revision, adopted_at, now))
    return tuple(reports)


def _report(
    vm: Vm, contact: LastContact | None, suspect: bool, revision: int, adopted_at: float, now: float
) -> VmReport:
    if contact is None:
        return VmReport(vm=vm.id, data_centre=vm.data_centre, state=VmState.UNHEARD)
    contact_age = now - contact.at
    vm_state = VmState.SUSPECT if suspect else VmState.LIVE
    if contact_age > _MAX_CONTACT_AGE_S and not suspect:
        vm_state = VmState.UNHEARD
    duration = 0.0
    if vm_state is not VmState.LIVE:
        duration = contact_age
    elif contact.revision < revision:
        duration = now - adopted_at
    return VmReport(
        vm=vm.id,
        data_centre=vm.data_centre,
        state=vm_state,
        revision=contact.revision,
        since_ms=int(1000 * duration),
    )
