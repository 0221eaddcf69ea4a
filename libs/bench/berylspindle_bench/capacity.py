"""Write the capacity tables of docs/MEASUREMENTS.md.

Terms:
  planned size   the deployment to design for, `PLANNED_SIZE`
  demand         resources that one role needs at the planned size: a slope times the rate of the
                 operation

Flow: `measure_capacity` measures all series and fits the slopes; `write_capacity` stores the points
as JSON and replaces the tables between the markers of the page. The text around the tables is
written by hand and refers to their contents.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final

import attrs

from berylspindle_bench.capacity_slopes import Point, Slope, fit_slopes, measure_points
from berylspindle_bench.wire_rates import Row as WireRow
from berylspindle_bench.wire_rates import measure_messages
from berylspindle_model import codec

BEGIN: Final = "<!-- tables: begin -->"
END: Final = "<!-- tables: end -->"
POINTS_FILE: Final = "capacity-points.json"


@attrs.frozen(kw_only=True)
class PlannedSize:
    """Deployment to design for, and the limits of the control plane on each node."""

    nodes: int = 940
    servers: int = 5200
    queries: float = 220_000.0
    shards: int = 470
    data_centres: int = 5
    changes_per_day: float = 4100.0
    replacements_per_day: float = 408.0
    control_cores: float = 0.041
    control_bytes_per_s: float = 4096.0
    control_memory_bytes: float = 256.0 * 1024 * 1024

    @property
    def attempts_per_node(self) -> float:
        """Return the sub-requests per second of each node as an entry, and equally as an owner."""
        return self.queries * self.shards / self.nodes

    @property
    def vms_per_data_centre(self) -> float:
        """Return the number of VMs in one data centre."""
        return self.nodes / self.data_centres


PLANNED_SIZE: Final = PlannedSize()
SECONDS_PER_DAY: Final = 86_400.0

DAEMONS: Final = "several daemons a VM, since entries and owners share nothing"
GROUPING: Final = "grouping by owner; 50 attempts a message where owners are few"
NOT_NEEDED: Final = "none at this size"
SHARED_BODY: Final = "sub-requests of several searches in one body; backend servers must offer it"
PART_OF_FIRST_ROW: Final = "part of the first row"
MERGING: Final = "owners merge what they hold of one search"
IN_MEMORY: Final = "one document in memory, replaced whole"
DELTAS: Final = "deltas by entity, pulled once"
REPLACED_BY_DELTAS: Final = "not taken: deltas"
RENDEZVOUS: Final = "rendezvous hashing, kept by view"
WATCHERS: Final = "two watchers a data centre; all others apply deltas"


@attrs.frozen(kw_only=True)
class Capacity:
    """All measured points, fitted slopes and message costs."""

    points: tuple[Point, ...]
    slopes: tuple[Slope, ...]
    wire: tuple[WireRow, ...]


@attrs.frozen(kw_only=True)
class Demand:
    """One row of the demand table. `limit` is None if the planned size sets no limit."""

    role: str
    item: str
    amount: float
    unit: str
    limit: float | None
    mechanism: str


def measure_capacity() -> Capacity:
    """Measure every series. This takes about a minute."""
    points = tuple(measure_points())
    return Capacity(points=points, slopes=tuple(fit_slopes(points)), wire=tuple(measure_messages()))


def write_capacity(capacity: Capacity, page: Path) -> None:
    """Write the points to a JSON file next to the page and replace the tables of the page."""
    page.with_name(POINTS_FILE).write_bytes(codec.to_json(capacity) + b"\n")
    text = page.read_text(encoding="utf-8")
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    tables = "\n\n".join((_slope_table(capacity), _wire_table(capacity), _demand_table(capacity)))
    page.write_text(f"{before}{BEGIN}\n\n{tables}\n\n{END}{after}", encoding="utf-8")


def demands(capacity: Capacity) -> list[Demand]:
    """Return the demand of each role at the planned size."""
    return [*_data_demands(capacity), *_control_demands(capacity)]


def _data_demands(capacity: Capacity) -> list[Demand]:
    """Return the rows of the data plane: cores per node from CPU time per sub-request."""
    slope_of, http = _slope_lookup(capacity), "HTTP, calls in a body"
    wire = _message_us(capacity, "attempts over a stream, 10 a batch")
    shared = _cost_at(capacity, http, 20) / 20
    rows = (
        ("entry", "fan-out, choice, merging", slope_of("entry, a search by shards"), DAEMONS),
        ("entry and owner", "messages between VMs, 10 attempts each", wire, GROUPING),
        ("owner", "queue, cap, accounting", slope_of("owner, attempts"), DAEMONS),
        (
            "owner and server",
            "HTTP, one call a body, both sides",
            _cost_at(capacity, http, 1),
            NOT_NEEDED,
        ),
        ("owner and server", "the same with 20 calls a body", shared, SHARED_BODY),
        (
            "entry",
            "reading replies, each shard's own",
            slope_of("entry, replies as they come"),
            PART_OF_FIRST_ROW,
        ),
        ("entry", "the same, merged at the owner", slope_of("entry, merged at the owner"), MERGING),
    )
    return [
        Demand(
            role=role,
            item=item,
            amount=attempt_us * PLANNED_SIZE.attempts_per_node / 1e6,
            unit="cores",
            limit=None,
            mechanism=mechanism,
        )
        for role, item, attempt_us, mechanism in rows
    ]


def _control_demands(capacity: Capacity) -> list[Demand]:
    """Return the rows of the demand table for the control plane on each VM."""
    slope_of = _slope_lookup(capacity)
    changes = PLANNED_SIZE.changes_per_day / SECONDS_PER_DAY
    view_changes = (
        2 * PLANNED_SIZE.replacements_per_day / PLANNED_SIZE.data_centres / SECONDS_PER_DAY
    )
    memory = slope_of("configuration, memory") * PLANNED_SIZE.servers
    delta = slope_of("configuration, packed") * changes
    view = _cost_at(capacity, "owners after a view change", 188) / 1000 * view_changes
    parse = slope_of("configuration, parse and check") * PLANNED_SIZE.servers / 1000 * changes
    rows = (
        (
            "memory of the configuration",
            memory,
            "bytes",
            PLANNED_SIZE.control_memory_bytes,
            IN_MEMORY,
        ),
        ("changes as deltas", delta, "bytes/s", PLANNED_SIZE.control_bytes_per_s, DELTAS),
        (
            "changes as documents",
            delta * PLANNED_SIZE.servers,
            "bytes/s",
            PLANNED_SIZE.control_bytes_per_s,
            REPLACED_BY_DELTAS,
        ),
        (
            "owners after joins and departures",
            view,
            "cores",
            PLANNED_SIZE.control_cores,
            RENDEZVOUS,
        ),
        ("a watcher's reading and checking", parse, "cores", PLANNED_SIZE.control_cores, WATCHERS),
    )
    return [
        Demand(
            role="every VM", item=item, amount=amount, unit=unit, limit=limit, mechanism=mechanism
        )
        for item, amount, unit, limit, mechanism in rows
    ]


def _slope_lookup(capacity: Capacity) -> Callable[[str], float]:
    by_series = {slope.series: slope.per for slope in capacity.slopes}
    return by_series.__getitem__


def _cost_at(capacity: Capacity, series: str, size: int) -> float:
    return next(p.cost for p in capacity.points if (p.series, p.size) == (series, size))


def _message_us(capacity: Capacity, case: str) -> float:
    row = next(row for row in capacity.wire if row.name == case)
    return row.sender_us + row.receiver_us


def _slope_table(capacity: Capacity) -> str:
    lines = [
        "| series | points (size: cost) | slope | base | fit |",
        "| --- | --- | ---: | ---: | ---: |",
    ]
    for slope in capacity.slopes:
        series_points = [p for p in capacity.points if p.series == slope.series]
        points = ", ".join(f"{p.size}: {p.cost:,.0f}" for p in series_points)
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
            f"| {row.role} | {row.item} | {row.amount:,.3g} {row.unit} | {limit} | {share} "
            f"| {row.mechanism} |"
        )
    return "\n".join(lines)


def slope_lines(slopes: Sequence[Slope]) -> list[str]:
    """Return one line of console output for each slope."""
    return [
        f"{slope.series}: {slope.per:,.4g} {slope.unit} each, fit {slope.fit:.3f}"
        for slope in slopes
    ]
