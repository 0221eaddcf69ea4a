"""Compare policies of forwarding on a day of the project's own, on a clock of events.

Terms:
  day      a pattern of load and troubles, in a TOML file
  policy   switches as the daemon's setting writes them, "hedges=off"; empty is as it is

Flow: `read_experiment` checks a day file, `compare_policies` plays it with each policy on the same
seeds, and the program prints a table, a JSON line, and a picture where one is asked for.

The spread is a confidence of 95% over the seeds, by Student's distribution.
"""

from __future__ import annotations

import math
import statistics
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

import attrs
from rich.table import Table

from berylspindle_bench.forward_callers import (
    KINDS,
    Caller,
    Pattern,
    credit_of,
    late_of,
    unserved_of,
)
from berylspindle_bench.forward_model import Variant, run_pattern
from berylspindle_decisions.forward_policy import parse_policy

# Two-sided 95% quantiles of Student's distribution for 1 to 9 degrees of freedom.
_STUDENT: Final = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26)
_NORMAL: Final = 1.96


class ExperimentFileError(Exception):
    """A day file can't be used; the text says why, in one line."""


@attrs.frozen(kw_only=True)
class PolicyResult:
    """What callers got with one policy; credit is a share of what was owed.

    Attributes:
        spread: half the width of the 95% confidence interval of `credit` over the seeds.
        by_kind, by_second: credit of each kind of request, and of those that came in each second.
        late, unserved: shares of the requests.
    """

    policy: str
    credit: float
    spread: float
    by_kind: dict[str, float]
    by_second: list[float]
    late: float
    unserved: float


def read_experiment(path: Path) -> Pattern:
    """Return the pattern of a day file; raises ExperimentFileError."""
    try:
        fields = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ExperimentFileError(f"{path}: {error}") from error
    known = attrs.fields_dict(Pattern)
    if unknown := fields.keys() - known.keys():
        raise ExperimentFileError(
            f"{path}: unknown {', '.join(sorted(unknown))}; known: {', '.join(known)}"
        )
    try:
        return _pattern(fields)
    except (KeyError, TypeError, ValueError) as error:
        raise ExperimentFileError(f"{path}: {error}") from error


def compare_policies(
    day: Pattern, policies: Sequence[str], seeds: Sequence[int]
) -> tuple[PolicyResult, ...]:
    """Play a day with each policy on the same seeds; raises ValueError for an unknown switch."""
    variants = [Variant(name=text, policy=parse_policy(text)) for text in policies]
    return tuple(
        _result(variant.name, day, [run_pattern(day, variant, seed) for seed in seeds])
        for variant in variants
    )


def experiment_table(results: Sequence[PolicyResult]) -> Table:
    """Return the results as a table, one row a policy."""
    kinds = [kind.name for kind in KINDS]
    table = Table("policy", "credit", "+-", *kinds, "late", "not served")
    for one in results:
        figures = [one.credit, one.spread, *(one.by_kind[kind] for kind in kinds)]
        shares = [one.late, one.unserved]
        cells = [f"{figure:.3f}" for figure in (*figures, *shares)]
        table.add_row(one.policy or "as it is", *cells)
    return table


def _pattern(fields: dict[str, Any]) -> Pattern:
    load = tuple((float(begin), float(factor)) for begin, factor in fields["load"])
    numbers = {name: float(value) for name, value in fields.items() if name not in ("name", "load")}
    day = Pattern(name=str(fields["name"]), load=load, **numbers)
    begins = [begin for begin, _ in load]
    if not load or begins[0] != 0.0 or begins != sorted(begins):
        raise ValueError("load begins at 0 and goes on in order")
    if any(factor <= 0.0 for _, factor in load) or day.seconds <= 0.0:
        raise ValueError("factors and seconds are above 0")
    if not (0.0 <= day.slow_share <= 1.0 and 0.0 <= day.long_share <= 1.0):
        raise ValueError("shares are from 0 to 1")
    return day


def _result(policy: str, day: Pattern, runs: Sequence[Sequence[Caller]]) -> PolicyResult:
    by_seed = [_credit(callers) for callers in runs]
    everyone = [caller for callers in runs for caller in callers]
    return PolicyResult(
        policy=policy,
        credit=round(statistics.mean(by_seed), 4),
        spread=round(_spread(by_seed), 4),
        by_kind={k.name: _credit([c for c in everyone if c.kind is k]) for k in KINDS},
        by_second=[
            _credit([c for c in everyone if second <= c.born < second + 1])
            for second in range(math.ceil(day.seconds))
        ],
        late=round(late_of(everyone), 4),
        unserved=round(unserved_of(everyone), 4),
    )


def _spread(values: Sequence[float]) -> float:
    if len(values) < 2:
        return 0.0
    degrees = len(values) - 1
    factor = _STUDENT[degrees - 1] if degrees <= len(_STUDENT) else _NORMAL
    return factor * statistics.stdev(values) / math.sqrt(len(values))


def _credit(callers: Sequence[Caller]) -> float:
    return round(credit_of(callers), 4)
