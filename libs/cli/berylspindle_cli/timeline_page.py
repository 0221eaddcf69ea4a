"""Write the time line of all VMs as one HTML page that needs nothing from the network.

Terms:
  lane   the column of one VM; time runs down, so that long lists scroll as pages do

Flow: `timeline_page` lays each event out as one row in the order of the hybrid logical clock, in
the lane of its VM. All text from daemons is escaped: a detail may quote what a caller sent. A VM
that could not be reached has a lane too, that says so.
"""

from __future__ import annotations

import html
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Final

from berylspindle_model.events import Event, EventKind
from berylspindle_model.stamps import Stamp

_BAD: Final = frozenset(
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
_INTENT: Final = frozenset(
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


def time_text(stamp: Stamp) -> str:
    """Return a stamp's wall time in UTC to the millisecond, with its counter where it has one."""
    moment = datetime.fromtimestamp(stamp.millis / 1000, tz=UTC)
    text = moment.strftime("%Y-%m-%d %H:%M:%S.") + f"{stamp.millis % 1000:03d}"
    return f"{text}+{stamp.count}" if stamp.count else text


def timeline_page(
    events: Sequence[Event], vms: Sequence[str], unreachable: Sequence[str], title: str
) -> str:
    """Return the page; `events` are in order, `vms` and `unreachable` name the lanes."""
    heads = "".join(f"<th>{html.escape(vm)}</th>" for vm in vms)
    heads += "".join(f"<th>{html.escape(vm)}<br>not reached</th>" for vm in unreachable)
    rows = "\n".join(_row(event, vms, len(unreachable)) for event in events)
    shown = html.escape(title)
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{shown}</title>\n<style>{_STYLE}</style></head>\n<body><h1>{shown}</h1>\n"
        f"<p>{len(events)} events of {len(vms)} VMs; times are UTC and in causal order; "
        f"{len(unreachable)} VMs were not reached.</p>\n"
        f"<table><thead><tr><th>time</th>{heads}</tr></thead>\n<tbody>\n{rows}\n</tbody></table>"
        "</body></html>\n"
    )


def _row(event: Event, vms: Sequence[str], unreachable: int) -> str:
    cells = "".join(_cell(event) if vm == event.vm else "<td></td>" for vm in vms)
    gone = '<td class="gone"></td>' * unreachable
    return f'<tr><td class="time">{time_text(event.stamp)}</td>{cells}{gone}</tr>'


def _cell(event: Event) -> str:
    style = "bad" if event.kind in _BAD else "intent" if event.kind in _INTENT else "event"
    about = " ".join(part for part in (event.service, event.server, event.request_id) if part)
    small = " ".join(html.escape(part) for part in (about, event.detail) if part)
    return f'<td class="{style}">{html.escape(event.kind.value)}<br><small>{small}</small></td>'
