"""Merge status reports of several daemons into a status of the whole system.

Terms:
  fleet     all VMs of the system, including those that the tool did not query
  newest    the greatest revision that any VM has adopted
  lagging   a VM whose revision is below the newest
  unheard   a VM that is suspected, or that no VM has heard from recently

Flow: `merge_reports` takes the reports of the daemons that answered and the addresses of those that
did not. The report of a VM about itself takes precedence over reports of others. Among those, the
one with the highest revision is used: a report may show an old revision, but never one that the VM
has not adopted. At equal revisions, a live state and then the shortest `since_ms` take precedence.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import attrs

from berylspindle_model.configuration import IntentRecord
from berylspindle_model.operator_protocol import StatusReport, VmReport, VmState


@attrs.frozen(kw_only=True)
class FleetStatus:
    """Merged status of the system; `unreachable` holds the addresses that did not answer."""

    revision: int
    vms: tuple[VmReport, ...]
    reports: tuple[StatusReport, ...]
    unreachable: tuple[str, ...] = ()
    intents: tuple[IntentRecord, ...] = ()

    @property
    def lagging(self) -> tuple[VmReport, ...]:
        """Return the live VMs that have not yet adopted the newest revision."""
        return tuple(
            vm for vm in self.vms if vm.state is VmState.LIVE and vm.revision < self.revision
        )

    @property
    def unheard(self) -> tuple[VmReport, ...]:
        """Return the VMs whose state and revision are uncertain."""
        return tuple(vm for vm in self.vms if vm.state in (VmState.SUSPECT, VmState.UNHEARD))

    @property
    def in_force(self) -> bool:
        """Return whether every VM that may serve requests has adopted the newest revision.

        A VM that its data centre has declared dead serves no requests and doesn't count; one that
        is only suspected, or that did not answer the tool, does.
        """
        return bool(self.reports) and not (self.lagging or self.unheard or self.unreachable)


def merge_reports(reports: Sequence[StatusReport], unreachable: Sequence[str]) -> FleetStatus:
    """Merge the reports of daemons into one status of the system."""
    vms: dict[str, VmReport] = {}
    for vm_report in (vm_report for report in reports for vm_report in report.vms):
        known = vms.get(vm_report.vm)
        vms[vm_report.vm] = vm_report if known is None else max(known, vm_report, key=_recency_key)
    for report in reports:
        vms[report.vm] = _self_report(report)
    newest = max((vm.revision for vm in vms.values()), default=0)
    ordered = sorted(vms.values(), key=lambda vm: (vm.data_centre, vm.vm))
    return FleetStatus(
        revision=newest,
        vms=tuple(ordered),
        reports=tuple(sorted(reports, key=lambda report: (report.data_centre, report.vm))),
        unreachable=tuple(unreachable),
        intents=_latest_intents(reports),
    )


def _self_report(report: StatusReport) -> VmReport:
    return VmReport(
        vm=report.vm,
        data_centre=report.data_centre,
        state=VmState.LIVE,
        revision=report.revision,
    )


def _recency_key(vm_report: VmReport) -> tuple[int, bool, int]:
    return (vm_report.revision, vm_report.state is VmState.LIVE, -vm_report.since_ms)


def _latest_intents(reports: Iterable[StatusReport]) -> tuple[IntentRecord, ...]:
    newest = max(reports, key=lambda report: report.revision, default=None)
    return newest.intents if newest is not None else ()
