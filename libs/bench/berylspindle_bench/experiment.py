"""Compare forwarding policies in a discrete-event simulation of an experiment file.

Terms:
  experiment file   a TOML file with a pattern of load and slow replicas over time
  policy            switches in the format of the daemon's setting, such as "hedges=off"; an empty
                    text is the default policy, shown as "as it is"

Flow: `read_experiment` parses and checks an experiment file, `compare_policies` simulates it under
each policy with the same seeds, and the command prints a table and a JSON line and draws a plot if
requested.

The spread is half the width of the 95% confidence interval over the seeds, by Student's
t-distribution.
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
    CallerRequest,
    Pattern,
    credit_share,
    late_share,
    unserved_share,
)
from berylspindle_bench.forward_model import Variant, run_pattern
from berylspindle_decisions.forward_policy import parse_policy

# Two-sided 95% quantiles of Student's distribution for 1 to 9 degrees of freedom.
_T_QUANTILES: Final = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26)
_NORMAL_QUANTILE: Final = 1.96


class ExperimentFileError(Exception):
    """An experiment file is unreadable or invalid; the message gives the reason in one line."""


@attrs.frozen(kw_only=True)
class PolicyResult:
    """Results of callers under one policy.

    Attributes:
        credit: credit earned, as a share of the worth of all requests.
        spread: half the width of the 95% confidence interval of `credit` over the seeds.
        by_kind, by_second: credit by kind of request, and by the second of arrival.
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
    """Return the pattern of an experiment file. Raise ExperimentFileError if it is invalid."""
    try:
        fields = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ExperimentFileError(f"{path}: {error}") from error
    known = attrs.fields_dict(Pattern)
    if unknown := fields.keys() - known.keys():
        raise ExperimentFileError(
            f"{path}: unknown fields: {', '.join(sorted(unknown))}; known: {', '.join(known)}"
        )
    try:
        return _parse_pattern(fields)
    except (KeyError, TypeError, ValueError) as error:
        raise ExperimentFileError(f"{path}: {error}") from error


def compare_policies(
    pattern: Pattern, policies: Sequence[str], seeds: Sequence[int]
) -> tuple[PolicyResult, ...]:
    """Simulate a pattern under each policy with the same seeds.

    Raise ValueError for an unknown switch.
    """
    variants = [Variant(name=text, policy=parse_policy(text)) for text in policies]
    return tuple(
        _summarize(variant.name, pattern, [run_pattern(pattern, variant, seed) for seed in seeds])
        for variant in variants
    )


def experiment_table(results: Sequence[PolicyResult]) -> Table:
    """Return the results as a table with one row per policy."""
    kinds = [kind.name for kind in KINDS]
    table = Table("policy", "credit", "+-", *kinds, "late", "not served")
    for result in results:
        values = [result.credit, result.spread, *(result.by_kind[kind] for kind in kinds)]
        shares = [result.late, result.unserved]
        cells = [f"{value:.3f}" for value in (*values, *shares)]
        table.add_row(result.policy or "as it is", *cells)
    return table


def _parse_pattern(fields: dict[str, Any]) -> Pattern:
    load = tuple((float(start), float(factor)) for start, factor in fields["load"])
    numbers: dict[str, Any] = {
        name: int(value) if name == "vms" else float(value)
        for name, value in fields.items()
        if name not in ("name", "load")
    }
    pattern = Pattern(name=str(fields["name"]), load=load, **numbers)
    starts = [start for start, _ in load]
    if not load or starts[0] != 0.0 or starts != sorted(starts):
        raise ValueError("load must begin at 0 and be in order of time")
    if any(factor <= 0.0 for _, factor in load) or pattern.seconds <= 0.0:
        raise ValueError("seconds and the factors of load must be above 0")
    shares = (pattern.slow_share, pattern.long_share, pattern.uneven_share)
    if not all(0.0 <= share <= 1.0 for share in shares):
        raise ValueError("shares must be from 0 to 1")
    if pattern.vms < 1:
        raise ValueError("vms must be at least 1")
    return pattern


def _summarize(
    policy: str, pattern: Pattern, runs: Sequence[Sequence[CallerRequest]]
) -> PolicyResult:
    by_seed = [_rounded_credit(requests) for requests in runs]
    all_requests = [request for requests in runs for request in requests]
    return PolicyResult(
        policy=policy,
        credit=round(statistics.mean(by_seed), 4),
        spread=round(_confidence_half_width(by_seed), 4),
        by_kind={
            kind.name: _rounded_credit(
                [request for request in all_requests if request.kind is kind]
            )
            for kind in KINDS
        },
        by_second=[
            _rounded_credit(
                [request for request in all_requests if second <= request.arrived_at < second + 1]
            )
            for second in range(math.ceil(pattern.seconds))
        ],
        late=round(late_share(all_requests), 4),
        unserved=round(unserved_share(all_requests), 4),
    )


def _confidence_half_width(values: Sequence[float]) -> float:
    if len(values) < 2:
        return 0.0
    degrees = len(values) - 1
    factor = _T_QUANTILES[degrees - 1] if degrees <= len(_T_QUANTILES) else _NORMAL_QUANTILE
    return factor * statistics.stdev(values) / math.sqrt(len(values))


def _rounded_credit(requests: Sequence[CallerRequest]) -> float:
    return round(credit_share(requests), 4)
