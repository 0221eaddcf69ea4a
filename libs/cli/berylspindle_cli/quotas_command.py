"""The command `quotas`: limit, use, owner and lenders of each organisation.

Terms:
  mark   `!` before an owner or lender on which the VMs that answered disagree; the number of VMs
         that name each one follows
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Final

from cyclopts import Parameter
from cyclopts.validators import Number
from rich.console import Group as Rows
from rich.console import RenderableType
from rich.text import Text

from berylspindle_cli.exit_codes import ExitCode
from berylspindle_cli.output import make_table, print_answer
from berylspindle_cli.settings import OutputFlag, ToolError
from berylspindle_client.addresses import Address, parse_addresses
from berylspindle_client.quota_report import (
    NO_VM,
    OrganisationReport,
    QuotaReport,
    QuotaView,
)
from berylspindle_client.quotas import read_quotas

DEFAULT_TIMEOUT_S: Final = 5.0

_ORGANISATION_COLUMNS: Final = (
    "organisation",
    "limit",
    "priority",
    "asked",
    "admitted",
    "refused",
    "lent",
    "spent",
    "owner",
    "lenders",
    "oldest state",
)
_VIEW_COLUMNS: Final = (
    "VM",
    "data centre",
    "table",
    "limit",
    "owner",
    "lender",
    "asked",
    "admitted",
    "refused",
    "lent",
    "spent",
    "level",
    "standby",
    "state",
)


async def quotas(
    *addresses: Annotated[str, Parameter(help="Peers' edges of VMs, host:port.")],
    organisation: Annotated[
        str | None, Parameter(help="Only this organisation, and how each VM sees it.")
    ] = None,
    timeout: Annotated[
        float, Parameter(help="Timeout of one call, s.", validator=Number(gte=0.1, lte=300))
    ] = DEFAULT_TIMEOUT_S,
    output: OutputFlag = "table",
) -> ExitCode:
    """Show each organisation's limit, use, owner, lenders and age of state.

    Exit 7 if a VM did not answer, its answer is malformed, or no VM has the organisation; exit 3 if
    no VM could be reached.
    """
    report = await read_quotas(
        _parse_addresses(addresses), organisation=organisation, timeout=timeout
    )
    print_answer(report, output, lambda: _render(report, organisation))
    return _exit_code(report, organisation)


def _parse_addresses(texts: tuple[str, ...]) -> tuple[Address, ...]:
    try:
        addresses = parse_addresses(",".join(texts))
    except ValueError as error:
        raise ToolError(ExitCode.USAGE, str(error)) from None
    if not addresses:
        raise ToolError(ExitCode.USAGE, "no address given")
    return addresses


def _exit_code(report: QuotaReport, organisation: str | None) -> ExitCode:
    if not report.vms and not report.malformed:
        return ExitCode.UNREACHABLE
    if report.unreachable or report.malformed:
        return ExitCode.INCOMPLETE
    if organisation is not None and not report.organisations:
        return ExitCode.INCOMPLETE
    return ExitCode.OK


def _render(report: QuotaReport, organisation: str | None) -> RenderableType:
    parts: list[RenderableType] = []
    if report.vms:
        parts.append(_organisations_table(report))
    if report.views:
        parts.append(_views_table(report.views))
    return Rows(*parts, *map(Text, _notes(report, organisation)))


def _notes(report: QuotaReport, organisation: str | None) -> list[str]:
    notes: list[str] = []
    if organisation is not None and report.vms and not report.organisations:
        notes.append(f"no VM that answered has an organisation {organisation}")
    notes += [
        f"{vm.vm} has table {vm.table_version} of {report.table_version}" for vm in report.behind
    ]
    notes += [f"{vm} answered at more than one address, counted once" for vm in report.repeated]
    notes += [f"no answer from {a}: {why}" for a, why in report.unreachable.items()]
    notes += [f"malformed answer from {a}: {why}" for a, why in report.malformed.items()]
    return notes


def _organisations_table(report: QuotaReport) -> RenderableType:
    title = f"organisations of {len(report.vms)} VMs, table {report.table_version}"
    table = make_table(title, *_ORGANISATION_COLUMNS)
    for organisation in report.organisations:
        name = organisation.name + (" (removed)" if organisation.removed else "")
        priority = organisation.priority
        table.add_row(
            Text(name),
            _limit_text(organisation.rate, organisation.burst),
            "-" if priority is None else str(priority),
            str(organisation.asked),
            str(organisation.admitted),
            Text(_counts_text(organisation.refused)),
            str(organisation.lent),
            str(organisation.spent),
            Text(_vms_text(organisation.owners)),
            Text(_lenders_text(organisation)),
            _age_text(organisation.state_age_ms),
        )
    return table


def _views_table(views: tuple[QuotaView, ...]) -> RenderableType:
    table = make_table("as each VM sees it", *_VIEW_COLUMNS)
    for view in views:
        vm, status = view.vm, view.status
        table.add_row(
            Text(vm.vm),
            Text(vm.data_centre),
            str(vm.table_version),
            _limit_text(status.rate, status.burst),
            Text(status.owner or "-"),
            Text(status.lender or "-"),
            str(status.asked),
            str(status.admitted),
            Text(_counts_text(status.refused)),
            str(status.lent),
            str(status.spent),
            f"{status.level:g}",
            f"{status.standby_rate:g}/s + {status.standby_tokens:g}",
            _age_text(status.state_age_ms),
        )
    return table


def _limit_text(rate: float, burst: float) -> str:
    return f"{rate:g}/s + {burst:g}" if rate else "none"


def _counts_text(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{kind} {count}" for kind, count in counts.items() if count)


def _vms_text(named: Mapping[str, int]) -> str:
    """Return the VM that all name, or the mark and each VM with the number that name it."""
    if len(named) == 1:
        return next(iter(named)) or "-"
    return "! " + ", ".join(
        f"{'none' if vm == NO_VM else vm} ({count})" for vm, count in named.items()
    )


def _lenders_text(organisation: OrganisationReport) -> str:
    if all(set(lenders) == {NO_VM} for lenders in organisation.lenders.values()):
        return "-"
    return "; ".join(
        f"{centre}: {_vms_text(lenders)}" for centre, lenders in organisation.lenders.items()
    )


def _age_text(millis: float) -> str:
    return f"{millis / 1000:.1f} s"
