"""The demonstration: run a deployment as processes, send requests and check their outcomes.

Flow: `run_demo` starts the stand-ins and two daemons per data centre, sends searches through every
daemon and one non-idempotent request twice through different daemons, takes a data centre out and
returns it, compares the outcomes with the counts of the stand-ins, prints tables and stops all
processes. Each guarantee that it exercises is one `Check`.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Final

import attrs
from rich.console import Console
from rich.table import Table

from berylspindle_bench.cluster import Cluster, DaemonPlan, start_cluster
from berylspindle_bench.demo_operator import LAST_WORK_BOUND_S, TakeOutResult, take_out_and_return
from berylspindle_client.callers import CallerClient
from berylspindle_model.messages import ExecuteAnswer, SearchAnswer

QUERIES: Final = ("junmai", "lot 7", "harvest")
SEARCHES_PER_DAEMON: Final = 4
DEADLINE_MS: Final = 2000


@attrs.frozen(kw_only=True)
class SearchResult:
    """One search and its outcome."""

    daemon: str
    service: str
    query: str
    elapsed_ms: float
    outcome: object


@attrs.frozen(kw_only=True)
class Check:
    """One guarantee and whether it held."""

    guarantee: str
    held: bool
    observed: str


async def run_demo(deployment: str, directory: Path, console: Console) -> bool:
    """Run the demonstration and return whether every exercised guarantee held."""
    console.print(f"Starting {deployment}; logs of all processes are in {directory}")
    started = time.monotonic()
    async with start_cluster(deployment, directory) as cluster:
        console.print(f"All daemons are ready after {time.monotonic() - started:.1f} s")
        searches = await _search_everywhere(cluster)
        console.print(_search_table(searches))
        executes = await _execute_twice(cluster)
        checks = [*_search_checks(cluster, searches), *await _execute_checks(cluster, executes)]
        result = await take_out_and_return(cluster)
        console.print(_operator_table(result), _phase_table(result))
        checks += _operator_checks(result)
        console.print(_process_table(cluster))
        codes = await cluster.stop_daemons()
    checks.append(
        Check(
            guarantee="a graceful shutdown interrupts no request",
            held=not any(codes.values()),
            observed=f"exit codes {sorted(set(codes.values()))}",
        )
    )
    console.print(_check_table(checks))
    return all(check.held for check in checks)


async def _search_everywhere(cluster: Cluster) -> list[SearchResult]:
    services = [service.name for service in cluster.plan.configuration.services]
    searches = [
        _search(daemon, service, QUERIES[number % len(QUERIES)])
        for daemon in cluster.plan.daemons
        for service in services
        for number in range(SEARCHES_PER_DAEMON)
    ]
    return [await search for search in searches]


async def _search(daemon: DaemonPlan, service: str, query: str) -> SearchResult:
    async with CallerClient([daemon.callers_address], caller="demo") as client:
        started = time.monotonic()
        outcome = await client.search(service, query, deadline_ms=DEADLINE_MS)
        elapsed_ms = (time.monotonic() - started) * 1000
    return SearchResult(
        daemon=daemon.vm, service=service, query=query, elapsed_ms=elapsed_ms, outcome=outcome
    )


async def _execute_twice(cluster: Cluster) -> list[object]:
    """Send one request with an idempotency key through two daemons, one after the other."""
    service = cluster.plan.configuration.services[0]
    outcomes: list[object] = []
    for daemon in (cluster.plan.daemons[0], cluster.plan.daemons[-1]):
        async with CallerClient([daemon.callers_address], caller="demo") as client:
            outcomes.append(
                await client.execute(
                    service.name, service.shards[0], "hold-1", {"hold": "lot-7", "cases": 12}
                )
            )
    return outcomes


def _search_checks(cluster: Cluster, searches: list[SearchResult]) -> list[Check]:
    answers = [search.outcome for search in searches if isinstance(search.outcome, SearchAnswer)]
    shards = {s.name: len(s.shards) for s in cluster.plan.configuration.services}
    complete = sum(answer.coverage.answered == answer.coverage.asked for answer in answers)
    mixed = sum(
        any(hit.fields.get("version") != answer.snapshot.version for hit in answer.hits)
        for answer in answers
    )
    wrong_coverage = sum(
        answer.coverage.asked != shards[search.service]
        or answer.coverage.answered + len(answer.coverage.missing) != answer.coverage.asked
        for search, answer in _answered(searches)
    )
    return [
        Check(
            guarantee="every caller gets an answer",
            held=len(answers) == len(searches),
            observed=f"{len(answers)} of {len(searches)}, {complete} of them complete",
        ),
        Check(
            guarantee="each answer comes from one snapshot",
            held=not mixed,
            observed=f"{mixed} mixed",
        ),
        Check(
            guarantee="an answer states its coverage correctly",
            held=not wrong_coverage,
            observed=f"{wrong_coverage} wrong",
        ),
    ]


def _answered(searches: list[SearchResult]) -> list[tuple[SearchResult, SearchAnswer]]:
    return [(s, s.outcome) for s in searches if isinstance(s.outcome, SearchAnswer)]


async def _execute_checks(cluster: Cluster, outcomes: list[object]) -> list[Check]:
    counts = await cluster.backend_counts()
    runs = sum(one.counts.executions.get("hold-1", 0) for one in counts.values())
    first, second = outcomes
    same = (
        isinstance(first, ExecuteAnswer)
        and isinstance(second, ExecuteAnswer)
        and first.result == second.result
        and second.repeated
    )
    return [
        Check(
            guarantee="a non-idempotent request runs at most once",
            held=runs == 1 and same,
            observed=f"backend servers ran it {runs} time(s); the repeated request "
            + ("got the outcome of the first" if same else f"got {second}"),
        )
    ]


def _operator_checks(result: TakeOutResult) -> list[Check]:
    asked = sum(report.asked for report in result.phases.values())
    answered = sum(report.answered for report in result.phases.values())
    return [
        Check(
            guarantee="a data centre taken out gets no new work",
            held=result.last_work_seconds <= LAST_WORK_BOUND_S,
            observed=f"last new work {result.last_work_seconds * 1000:.0f} ms after the start of "
            f"`confirm`, {result.arrivals_after_return} searches there after its return",
        ),
        Check(
            guarantee="the operators' intent is in force everywhere",
            held=result.in_force,
            observed=f"exit codes {[run.exit_code for run in result.runs]}",
        ),
        Check(
            guarantee="callers get answers during take-out and return",
            held=answered == asked,
            observed=f"{answered} of {asked} answered",
        ),
    ]


def _operator_table(result: TakeOutResult) -> Table:
    table = Table(title=f"Operators take out and return {result.data_centre}")
    for name in ("command", "exit code", "seconds"):
        table.add_column(name)
    for run in result.runs:
        table.add_row(run.command, str(run.exit_code), f"{run.seconds:.1f}")
    return table


def _phase_table(result: TakeOutResult) -> Table:
    table = Table(title="Outcomes during take-out and return")
    for name in ("phase", "requests", "answered", "coverage", "median ms", "99th percentile ms"):
        table.add_column(name, justify="left" if name == "phase" else "right")
    for name, report in result.phases.items():
        table.add_row(
            name,
            str(report.asked),
            str(report.answered),
            f"{report.coverage:.2%}",
            f"{report.quantile_ms(0.5):.1f}",
            f"{report.quantile_ms(0.99):.1f}",
        )
    return table


def _search_table(searches: list[SearchResult]) -> Table:
    table = Table(title="Searches")
    for name in ("service", "requests", "complete", "snapshots", "hits", "median ms", "slowest ms"):
        table.add_column(name, justify="left" if name == "service" else "right")
    for service in dict.fromkeys(search.service for search in searches):
        of_service = [search for search in searches if search.service == service]
        answers = [s.outcome for s in of_service if isinstance(s.outcome, SearchAnswer)]
        times = sorted(search.elapsed_ms for search in of_service)
        table.add_row(
            service,
            str(len(of_service)),
            str(sum(a.coverage.answered == a.coverage.asked for a in answers)),
            ", ".join(sorted({str(a.snapshot) for a in answers})),
            str(sum(len(a.hits) for a in answers)),
            f"{times[len(times) // 2]:.1f}",
            f"{times[-1]:.1f}",
        )
    return table


def _process_table(cluster: Cluster) -> Table:
    table = Table(title="Processes")
    for name in ("process", "pid", "log"):
        table.add_column(name)
    for process in cluster.processes:
        table.add_row(process.name, str(process.pid), process.log.name)
    return table


def _check_table(checks: list[Check]) -> Table:
    table = Table(title="Guarantees exercised")
    for name in ("guarantee", "held", "observed"):
        table.add_column(name)
    for check in checks:
        table.add_row(check.guarantee, "yes" if check.held else "NO", check.observed)
    return table


def demo(deployment: str, directory: Path) -> int:
    """Run the demonstration; return the exit code."""
    console = Console(width=110)
    return 0 if asyncio.run(run_demo(deployment, directory, console)) else 1
