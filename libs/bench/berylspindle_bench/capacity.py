"""Write the tables of slopes in docs/MEASUREMENTS.md.

Terms:
  plan     the size to design for, `PLAN`
  demand   what one role needs at that size: a slope times how often the plan asks for it
  factor   how many times the limit the demand is

Flow: `measure_capacity` measures all series and fits the slopes; `write_capacity` stores the points
as data and puts the two tables between the markers of the page. The text around them is written by
hand and speaks of what the tables say.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final

import attrs

from berylspindle_bench.capacity_slopes import Point, Slope, all_points, slopes
from berylspindle_bench.wire_rates import Row as WireRow
from berylspindle_bench.wire_rates import measure as measure_wire
from berylspindle_model import codec

BEGIN: Final = "<!-- tables: begin -->"
END: Final = "<!-- tables: end -->"
POINTS_FILE: Final = "capacity-points.json"


@attrs.frozen(kw_only=True)
class SizePlan:
    """The size to design for, and the limits of control for each node."""

    nodes: int = 940
    servers: int = 5200
    queries: float = 220_000.0
    shards: int = 470
    data_centres: int = 5
    changes_a_day: float = 4100.0
    replaced_a_day: float = 408.0
    control_core: float = 0.041
    control_bytes: float = 4096.0
    control_memory: float = 256.0 * 1024 * 1024

    @property
    def attempts_a_node(self) -> float:
        """Return the sub-requests a second that each node has as an entry, and as an owner."""
        return self.queries * self.shards / self.nodes

    @property
    def members(self) -> float:
        """Return the VMs of one data centre."""
        return self.nodes / self.data_centres


PLAN: Final = SizePlan()
DAY: Final = 86_400.0

DAEMONS: Final = "several daemons a VM, since entries and owners share nothing"
GROUPING: Final = "grouping by owner; 50 attempts a message where owners are few"
NONE: Final = "none at this size"
SHARED_BODY: Final = "sub-requests of several searches in one body; backend servers must offer it"
PART: Final = "part of the first row"
MERGING: Final = "owners merge what they hold of one search"
IN_MEMORY: Final = "one document in memory, replaced whole"
DELTAS: Final = "deltas by entity, pulled once"
NOT_TAKEN: Final = "not taken: deltas"
RENDEZVOUS: Final = "rendezvous hashing, kept by view"
WATCHERS: Final = "two watchers a data centre; all others apply deltas"


@attrs.frozen(kw_only=True)
class Capacity:
    """All that was measured."""

    points: tuple[Point, ...]
    slopes: tuple[Slope, ...]
    wire: tuple[WireRow, ...]


@attrs.frozen(kw_only=True)
class Demand:
    """One row of the sums. `limit` is None where the plan names none."""

    role: str
    what: str
    amount: float
    unit: str
    limit: float | None
    mechanism: str


def measure_capacity() -> Capacity:
    """Measure every series; takes about a minute."""
    points = tuple(all_points())
    return Capacity(points=points, slopes=tuple(slopes(points)), wire=tuple(measure_wire()))


def write_capacity(capacity: Capacity, page: Path) -> None:
    """Store the points beside the page and write its tables."""
    page.with_name(POINTS_FILE).write_bytes(codec.to_json(capacity) + b"\n")
    text = page.read_text(encoding="utf-8")
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    tables = "\n\n".join((_slope_table(capacity), _wire_table(capacity), _demand_table(capacity)))
    page.write_text(f"{before}{BEGIN}\n\n{tables}\n\n{END}{after}", encoding="utf-8")


def demands(capacity: Capacity) -> list[Demand]:
    """Return what each role needs at the size of the plan."""
    return [*_data_demands(capacity), *_control_demands(capacity)]


def _data_demands(capacity: Capacity) -> list[Demand]:
    """Return the rows of the path of a request: cores a node, by processor time a sub-request."""
    per, http = _per(capacity), "HTTP, calls in a body"
    wire = _wire_us(capacity, "attempts over a stream, 10 a batch")
    shared = _at(capacity, http, 20) / 20
    rows = (
        ("entry", "fan-out, choice, merging", per("entry, a search by shards"), DAEMONS),
        ("entry and owner", "messages between VMs, 10 attempts each", wire, GROUPING),
        ("owner", "queue, cap, accounting", per("owner, attempts"), DAEMONS),
        ("owner and server", "HTTP, one call a body, both sides", _at(capacity, http, 1), NONE),
        ("owner and server", "the same with 20 calls a body", shared, SHARED_BODY),
        ("entry", "reading replies, each shard's own", per("entry, replies as they come"), PART),
        ("entry", "the same, merged at the owner", per("entry, merged at the owner"), MERGING),
    )
    return [
        Demand(
            role=role,
            what=what,
            amount=micros * PLAN.attempts_a_node / 1e6,
            unit="cores",
            limit=None,
            mechanism=mechanism,
        )
        for role, what, micros, mechanism in rows
    ]


def _control_demands(capacity: Capacity) -> list[Demand]:
    """Return the rows of control on each VM."""
    per = _per(capacity)
    changes = PLAN.changes_a_day / DAY
    view_changes = 2 * PLAN.replaced_a_day / PLAN.data_centres / DAY
    memory = per("configuration, memory") * PLAN.servers
    delta = per("configuration, packed") * changes
    view = _at(capacity, "owners after a view change", 188) / 1000 * view_changes
    parse = per("configuration, parse and check") * PLAN.servers / 1000 * changes
    rows = (
        ("memory of the configuration", memory, "bytes", PLAN.control_memory, IN_MEMORY),
        ("changes as deltas", delta, "bytes/s", PLAN.control_bytes, DELTAS),
        ("changes as documents", delta * PLAN.servers, "bytes/s", PLAN.control_bytes, NOT_TAKEN),
        ("owners after joins and departures", view, "cores", PLAN.control_core, RENDEZVOUS),
        ("a watcher's reading and checking", parse, "cores", PLAN.control_core, WATCHERS),
    )
    return [
        Demand(
            role="every VM", what=what, amount=amount, unit=unit, limit=limit, mechanism=mechanism
        )
        for what, amount, unit, limit, mechanism in rows
    ]


def _per(capacity: Capacity) -> Callable[[str], float]:
    by_series = {slope.series: slope.per for slope in capacity.slopes}
    return by_series.__getitem__


def _at(capacity: Capacity, series: str, size: int) -> float:
    return next(p.cost for p in capacity.points if (p.series, p.size) == (series, size))


def _wire_us(capacity: Capacity, case: str) -> float:
    row = next(row for row in capacity.wire if row.name == case)
    return row.sender_us + row.receiver_us


def _slope_table(capacity: Capacity) -> str:
    lines = [
        "| series | points (size: cost) | slope | base | fit |",
        "| --- | --- | ---: | ---: | ---: |",
    ]
    for slope in capacity.slopes:
        mine = [p for p in capacity.points if p.series == slope.series]
        points = ", ".join(f"{p.size}: {p.cost:,.0f}" for p in mine)
        lines.append(
            f"| {slope.series} | {points} {slope.unit} | {slope.per:,.3g} {slope.unit} "
            f"| {slope.base:,.3g} | {slope.fit:.3f} |"
        )
    return "\n".join(lines)


def _wire_table(capacity: Capacity) -> str:
    lines = [
        "| message | a second | sender, us | receiver, us |",
        "| --- | ---: | ---: | ---: |",
    ]
    lines += [
        f"| {row.name} | {row.per_second:,.0f} | {row.sender_us:.1f} | {row.receiver_us:.1f} |"
        for row in capacity.wire
    ]
    return "\n".join(lines)


def _demand_table(capacity: Capacity) -> str:
    lines = [
        "| role | what | at the size of the plan | limit | of the limit | mechanism |",
        "| --- | --- | ---: | ---: | ---: | --- |",
    ]
    for row in demands(capacity):
        limit = f"{row.limit:,.3g}" if row.limit is not None else "none named"
        share = f"{row.amount / row.limit:.1%}" if row.limit is not None else "-"
        lines.append(
            f"| {row.role} | {row.what} | {row.amount:,.3g} {row.unit} | {limit} | {share} "
            f"| {row.mechanism} |"
        )
    return "\n".join(lines)


def slope_lines(found: Sequence[Slope]) -> list[str]:
    """Return one line of text for each slope, for the console."""
    return [f"{one.series}: {one.per:,.4g} {one.unit} each, fit {one.fit:.3f}" for one in found]
