"""The command `history`: select runs, print their violations and store their results.

Flow: `parse_plans` returns the runs that the command line selects. `history` runs them with limited
concurrency, prints each run with its violations when it ends, and appends one line per run to
`results.jsonl`. At the end it prints a table for each fault alone and for all pairs: the number of
runs, of runs with violations and of runs that failed to execute.
"""

from __future__ import annotations

import asyncio
import enum
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import attrs
from rich.console import Console
from rich.table import Table

from berylspindle_bench.history_records import Try
from berylspindle_bench.history_run import (
    FAULTS,
    NotRun,
    RunPlan,
    Verdict,
    campaign_plans,
    fault_pair_plans,
    run_many,
    single_fault_plans,
)
from berylspindle_model import codec

EXIT_VIOLATIONS: Final = 1
EXIT_NOT_RUN: Final = 3


@attrs.frozen(kw_only=True)
class RunLine:
    """One line of `results.jsonl`: the result of one run.

    `outcomes` counts the outcomes of tries by kind; `not_run` is why the run failed to execute.
    """

    faults: tuple[str, ...]
    seed: int
    violations: tuple[str, ...] = ()
    tries: int = 0
    answered: int = 0
    outcomes: dict[str, int] = attrs.field(factory=dict)
    seconds: float = 0.0
    not_run: str = ""


class Results:
    """Print and store the result of each run."""

    def __init__(self, console: Console, out: Path, total: int) -> None:
        self._console: Final = console
        self._out: Final = out
        self._total: Final = total
        self.lines: Final[list[RunLine]] = []
        out.mkdir(parents=True, exist_ok=True)
        (out / "results.jsonl").write_bytes(b"")

    def add(self, result: Verdict | NotRun) -> None:
        """Print and store the result of one run."""
        line = _run_line(result)
        self.lines.append(line)
        with (self._out / "results.jsonl").open("ab") as results:
            results.write(codec.to_json(line) + b"\n")
        description = (
            "NOT RUN: " + line.not_run if line.not_run else f"{len(line.violations)} violations"
        )
        self._console.print(
            f"{len(self.lines)}/{self._total} {result.plan.name}: {description}, "
            f"{line.tries} tries, {line.answered} answered, {line.seconds:.1f} s",
            markup=False,
            highlight=False,
        )
        if isinstance(result, Verdict) and result.violations:
            for violation in result.violations:
                self._console.print(str(violation), markup=False, highlight=False)
            self._console.print(f"Reproduce with: {result.plan.command}", markup=False)

    def table(self) -> Table:
        """Return a table of all runs, grouped by fault."""
        table = Table(title="History checks")
        for name in ("faults", "runs", "with violations", "not run", "tries", "answered"):
            table.add_column(name, justify="left" if name == "faults" else "right")
        groups: dict[str, list[RunLine]] = {}
        for line in self.lines:
            name = "pairs" if len(line.faults) > 1 else "".join(line.faults) or "none"
            groups.setdefault(name, []).append(line)
        for name, lines in sorted(groups.items()):
            table.add_row(
                name,
                str(len(lines)),
                str(sum(bool(line.violations) for line in lines)),
                str(sum(bool(line.not_run) for line in lines)),
                str(sum(line.tries for line in lines)),
                str(sum(line.answered for line in lines)),
            )
        return table


def history(plans: Sequence[RunPlan], out: Path, at_once: int) -> int:
    """Run all plans and return the exit code."""
    console = Console(width=110)
    results = Results(console, out, len(plans))
    begun = time.monotonic()
    asyncio.run(run_many(plans, out, at_once=at_once, on_result=results.add))
    console.print(results.table())
    console.print(f"{len(plans)} runs took {time.monotonic() - begun:.0f} s; results are in {out}")
    if any(line.violations for line in results.lines):
        return EXIT_VIOLATIONS
    return EXIT_NOT_RUN if any(line.not_run for line in results.lines) else 0


class Scope(enum.StrEnum):
    """Which sets of faults the command runs."""

    NAMED = "named"
    ALONE = "alone"
    PAIRS = "pairs"
    ALL = "all"


def parse_plans(seeds: str, faults: str, scope: Scope = Scope.NAMED) -> list[RunPlan]:
    """Return the plans that the command line selects; raise ValueError for invalid arguments."""
    if scope is Scope.ALL:
        return campaign_plans()
    first, dash, last = seeds.partition("-")
    seed_range = range(int(first), int(last if dash else first) + 1)
    if scope is not Scope.NAMED:
        return (
            single_fault_plans(seed_range) if scope is Scope.ALONE else fault_pair_plans(seed_range)
        )
    names = tuple(name.strip() for name in faults.split(",") if name.strip())
    unknown = sorted(set(names) - set(FAULTS))
    if unknown:
        raise ValueError(f"unknown fault {unknown[0]}: use {', '.join(FAULTS)}")
    if len(set(names)) != len(names):
        raise ValueError("duplicate fault")
    return [RunPlan(seed=seed, faults=names) for seed in seed_range]


def _run_line(result: Verdict | NotRun) -> RunLine:
    if isinstance(result, NotRun):
        return RunLine(faults=result.plan.faults, seed=result.plan.seed, not_run=result.reason)
    return RunLine(
        faults=result.plan.faults,
        seed=result.plan.seed,
        violations=tuple(f"{each.guarantee}: {each.description}" for each in result.violations),
        tries=len(result.history.tries),
        answered=result.answered,
        outcomes=dict(Counter(map(_outcome, result.history.tries))),
        seconds=round(result.seconds, 1),
    )


def _outcome(try_: Try) -> str:
    return try_.refused.kind.value if try_.refused is not None else try_.told.value
