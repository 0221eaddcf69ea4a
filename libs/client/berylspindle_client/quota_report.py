"""Merge the quota reports of several VMs into one report of each organisation.

Terms:
  view       what one VM reports about one organisation
  disagree   VMs name different owners of an organisation, or VMs of one data centre name different
             lenders; lenders of different data centres differ anyway

Flow: `QuotaMerger.add` takes one VM's answer after the other, so that the answers of all VMs need
not be held at once: 940 VMs with 10,000 organisations have 9.4 million views. `report` returns the
merged report. Counters are sums since the start of each VM's process; limits are those of the
highest routing table version among the answers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Final

import attrs

from berylspindle_model.quota_status import OrganisationStatus, QuotaStatus

NO_VM: Final = ""
"""Name in place of an owner or lender that a VM does not know."""


@attrs.frozen(kw_only=True)
class QuotaVm:
    """A VM that answered."""

    vm: str
    data_centre: str
    table_version: int


@attrs.frozen(kw_only=True)
class QuotaView:
    """One VM's view of one organisation."""

    vm: QuotaVm
    status: OrganisationStatus


@attrs.frozen(kw_only=True)
class OrganisationReport:
    """One organisation over all VMs that answered.

    Attributes:
        table_version: the highest version that lists the organisation; limits are from it.
        removed: whether a higher version does not list it.
        owners: number of VMs that name each owner; `NO_VM` is none.
        lenders: the same for lenders, by data centre.
        lent: tokens lent at both steps: a token that passes through a lender counts twice.
        state_age_ms: the greatest age of state on any VM, in milliseconds.
        level: tokens in the bucket of the VM that takes itself for the owner; None if none does.
    """

    name: str
    rate: float
    burst: float
    priority: int | None
    table_version: int
    removed: bool
    owners: dict[str, int]
    lenders: dict[str, dict[str, int]]
    asked: int
    admitted: int
    refused: dict[str, int]
    lent: int
    spent: int
    state_age_ms: float
    level: float | None
    standby_rate: float
    standby_tokens: float

    @property
    def owners_disagree(self) -> bool:
        """Return whether VMs name different owners."""
        return len(self.owners) > 1

    @property
    def disagreeing_data_centres(self) -> tuple[str, ...]:
        """Return the data centres whose VMs name different lenders."""
        return tuple(centre for centre, lenders in self.lenders.items() if len(lenders) > 1)


@attrs.frozen(kw_only=True)
class QuotaReport:
    """The organisations over all VMs that answered.

    Attributes:
        table_version: the highest version among the answers.
        views: each VM's view, if only one organisation was asked for.
        unreachable: why no answer came, by address.
        malformed: what is wrong with an answer, by address.
        repeated: VMs that answered at more than one address, and were counted once.
    """

    table_version: int
    vms: tuple[QuotaVm, ...]
    organisations: tuple[OrganisationReport, ...]
    views: tuple[QuotaView, ...] = ()
    unreachable: dict[str, str] = attrs.field(factory=dict)
    malformed: dict[str, str] = attrs.field(factory=dict)
    repeated: tuple[str, ...] = ()

    @property
    def behind(self) -> tuple[QuotaVm, ...]:
        """Return the VMs with a lower table version than the highest."""
        return tuple(vm for vm in self.vms if vm.table_version < self.table_version)


@attrs.define
class _Sums:
    """Merged views of one organisation so far; `limits` is the view with the highest version."""

    limits: OrganisationStatus
    table_version: int
    owners: Counter[str] = attrs.field(factory=Counter)
    lenders: dict[str, Counter[str]] = attrs.field(factory=dict)
    asked: int = 0
    admitted: int = 0
    refused: Counter[str] = attrs.field(factory=Counter)
    lent: int = 0
    spent: int = 0
    state_age_ms: float = 0.0
    level: float | None = None
    standby_rate: float = 0.0
    standby_tokens: float = 0.0

    def add(self, vm: QuotaVm, status: OrganisationStatus) -> None:
        if vm.table_version > self.table_version:
            self.limits, self.table_version = status, vm.table_version
        self.owners[status.owner or NO_VM] += 1
        self.lenders.setdefault(vm.data_centre, Counter())[status.lender or NO_VM] += 1
        self.asked += status.asked
        self.admitted += status.admitted
        self.refused.update(status.refused)
        self.lent += status.lent
        self.spent += status.spent
        self.state_age_ms = max(self.state_age_ms, status.state_age_ms)
        if status.owner == vm.vm:
            self.level = status.level if self.level is None else max(self.level, status.level)
        self.standby_rate += status.standby_rate
        self.standby_tokens += status.standby_tokens

    def report(self, newest: int) -> OrganisationReport:
        return OrganisationReport(
            name=self.limits.name,
            rate=self.limits.rate,
            burst=self.limits.burst,
            priority=self.limits.priority,
            table_version=self.table_version,
            removed=self.table_version < newest,
            owners=_by_count(self.owners),
            lenders={
                centre: _by_count(lenders) for centre, lenders in sorted(self.lenders.items())
            },
            asked=self.asked,
            admitted=self.admitted,
            refused=dict(sorted((kind, n) for kind, n in self.refused.items() if n)),
            lent=self.lent,
            spent=self.spent,
            state_age_ms=self.state_age_ms,
            level=self.level,
            standby_rate=self.standby_rate,
            standby_tokens=self.standby_tokens,
        )


class QuotaMerger:
    """Merge the answers of VMs; with `organisation`, only that one, and keep each VM's view."""

    def __init__(self, organisation: str | None = None) -> None:
        self._organisation: Final = organisation
        self._vms: Final[dict[str, QuotaVm]] = {}
        self._sums: Final[dict[str, _Sums]] = {}
        self._views: Final[list[QuotaView]] = []
        self._repeated: Final[set[str]] = set()

    def add(self, status: QuotaStatus) -> None:
        """Add the answer of a VM; a further answer of the same VM is not counted again."""
        if status.vm in self._vms:
            self._repeated.add(status.vm)
            return
        vm = QuotaVm(
            vm=status.vm, data_centre=status.data_centre, table_version=status.table_version
        )
        self._vms[vm.vm] = vm
        for organisation in status.organisations:
            if self._organisation in (None, organisation.name):
                self._add_view(vm, organisation)

    def report(self, unreachable: Mapping[str, str], malformed: Mapping[str, str]) -> QuotaReport:
        """Return the merged report, with the addresses that gave no answer or a malformed one."""
        newest = max((vm.table_version for vm in self._vms.values()), default=0)
        return QuotaReport(
            table_version=newest,
            vms=tuple(sorted(self._vms.values(), key=_vm_order)),
            organisations=tuple(self._sums[name].report(newest) for name in sorted(self._sums)),
            views=tuple(sorted(self._views, key=lambda view: _vm_order(view.vm))),
            unreachable=dict(sorted(unreachable.items())),
            malformed=dict(sorted(malformed.items())),
            repeated=tuple(sorted(self._repeated)),
        )

    def _add_view(self, vm: QuotaVm, status: OrganisationStatus) -> None:
        sums = self._sums.get(status.name)
        if sums is None:
            sums = self._sums[status.name] = _Sums(status, vm.table_version)
        sums.add(vm, status)
        if self._organisation is not None:
            self._views.append(QuotaView(vm=vm, status=status))


def _vm_order(vm: QuotaVm) -> tuple[str, str]:
    return (vm.data_centre, vm.vm)


def _by_count(named: Counter[str]) -> dict[str, int]:
    """Return the most often named first; the order does not depend on the order of answers."""
    return dict(sorted(named.items(), key=lambda item: (-item[1], item[0])))
