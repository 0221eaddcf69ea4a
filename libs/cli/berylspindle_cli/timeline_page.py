"""Render the time line of all VMs as a self-contained HTML page.

Terms:
  lane   the column of one VM; time runs downwards

Flow: `timeline_page` renders each event as one row, in the order of the hybrid logical clock, in
the lane of its VM. All text from daemons is escaped, since a detail may quote caller input. A VM
that could not be reached has a marked lane.
"""

from __future__ import annotations

import html
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Final

from berylspindle_model.events import Event, EventKind
from berylspindle_model.stamps import Stamp

_PROBLEM_KINDS: Final = frozenset(
    {
        EventKind.UNREADY,
        EventKind.VM_SUSPECTED,
        EventKind.VM_DEAD,
        EventKind.OWNERSHIP_LAPSED,
        EventKind.CONFIGURATION_REJECTED,
        EventKind.INTENT_REFUSED,
        EventKind.TURNED_COLD,
        EventKind.EJECTED,
        EventKind.QUARANTINED,
        EventKind.SHEDDING_STARTED,
        EventKind.CONNECTION_REPLACED,
        EventKind.STORE_AWAY,
        EventKind.OUTCOME_UNKNOWN,
        EventKind.INTERNAL_FAULT,
    }
)
_OPERATOR_KINDS: Final = frozenset(
    {
        EventKind.PLAN_MADE,
        EventKind.INTENT_CONFIRMED,
        EventKind.CONFIGURATION_ADOPTED,
        EventKind.DATA_CENTRE_OUT,
        EventKind.DATA_CENTRE_IN,
        EventKind.SHUTDOWN_STAGE,
    }
)

_STYLE: Final = """
body { font: 14px system-ui, sans-serif; margin: 1rem; color: #1c1c1c; background: #fff; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #eee; text-align: left; }
th, td { padding: 2px 8px; border-left: 1px solid #ddd; vertical-align: top; }
td.time { font-family: monospace; white-space: nowrap; color: #555; }
td.event { background: #eef6ee; }
td.bad { background: #fbe3e0; }
td.intent { background: #e3ecfb; }
td.gone { background: repeating-linear-gradient(45deg, #fff, #fff 6px, #eee 6px, #eee 12px); }
small { color: #555; }
"""


def format_time(stamp: Stamp) -> str:
    """Return a stamp's UTC wall time to the millisecond, followed by its counter unless it is 0."""
    wall_time = datetime.fromtimestamp(stamp.millis / 1000, tz=UTC)
    text = wall_time.strftime("%Y-%m-%d %H:%M:%S.") + f"{stamp.millis % 1000:03d}"
    return f"{text}+{stamp.count}" if stamp.count else text


def timeline_page(
    events: Sequence[Event], vms: Sequence[str], unreachable: Sequence[str], title: str
) -> str:
    """Return the page for ordered `events`; `vms` and `unreachable` name the lanes."""
    headers = "".join(f"<th>{html.escape(vm)}</th>" for vm in vms)
    headers += "".join(f"<th>{html.escape(vm)}<br>not reached</th>" for vm in unreachable)
    rows = "\n".join(_row(event, vms, len(unreachable)) for event in events)
    heading = html.escape(title)
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{heading}</title>\n<style>{_STYLE}</style></head>\n<body><h1>{heading}</h1>\n"
        f"<p>{len(events)} events of {len(vms)} VMs; times are UTC and in causal order; "
        f"{len(unreachable)} VMs were not reached.</p>\n"
        f"<table><thead><tr><th>time</th>{headers}</tr></thead>\n<tbody>\n{rows}\n</tbody></table>"
        "</body></html>\n"
    )


def _row(event: Event, vms: Sequence[str], unreachable: int) -> str:
    cells = "".join(_cell(event) if vm == event.vm else "<td></td>" for vm in vms)
    unreachable_cells = '<td class="gone"></td>' * unreachable
    return f'<tr><td class="time">{format_time(event.stamp)}</td>{cells}{unreachable_cells}</tr>'


def _cell(event: Event) -> str:
    style = (
        "bad"
        if event.kind in _PROBLEM_KINDS
        else "intent" if event.kind in _OPERATOR_KINDS else "event"
    )
    about = " ".join(part for part in (event.service, event.server, event.request_id) if part)
    note = " ".join(html.escape(part) for part in (about, event.detail) if part)
    return f'<td class="{style}">{html.escape(event.kind.value)}<br><small>{note}</small></td>'
