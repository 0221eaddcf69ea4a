"""Benchmark tail latency, coverage, extra load, and service while a data centre is taken out.

Terms:
  system       the system under test: this project, or a baseline on the same stand-ins
  saturation   searches per second that keep every slot of the service busy at the mean service time
  goodput      answers per second; a baseline has no minimum coverage and returns any partial result
  whole        answers per second that miss no shard
  extra load   sub-requests started by backend servers beyond one for each shard of a search, as a
               share of the latter

Flow: `run_measures` starts one deployment for each system in turn and generates load at rising
factors of the saturation, load with stragglers, and load while an operator takes a data centre out
and returns it. It prints tables to the console and returns all rows.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import attrs
from rich.console import Console
from rich.table import Table

from berylspindle_bench.baseline import BaselinePolicy
from berylspindle_bench.cluster import Cluster, start_cluster
from berylspindle_bench.load import LoadPlan, Report, Sample, run_load_in_processes
from berylspindle_client.addresses import Address
from berylspindle_client.operators import OperatorClient
from berylspindle_model.configuration import Policy, Service
from berylspindle_model.intents import Confirmation, Intent, IntentKind, Plan
from berylspindle_standins.backend_faults import FaultChange
from berylspindle_standins.deployments import DEPLOYMENTS
from berylspindle_telemetry.secret import Secret

OWN_SYSTEM: Final = "berylspindle"
MEAN_MS: Final = 40.0
DEADLINE_MS: Final = 1000
# Load and duration that let every owner raise the limit of each of its servers to all slots.
WARM_UP_FACTOR: Final = 0.35
WARM_UP_SECONDS: Final = 12.0
LOAD_FACTORS: Final = (0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0)
SWEEP_SECONDS: Final = 5.0
TAIL_SECONDS: Final = 10.0
TAIL_FACTOR: Final = 0.3
STRAGGLER_SHARE: Final = 0.01
PHASE_SECONDS: Final = 5.0
TAKE_OUT_FACTOR: Final = 0.4
# Between two runs, for the queues to empty and the estimates of the entries to decay.
SETTLE_SECONDS: Final = 1.5


@attrs.frozen(kw_only=True)
class Row:
    """Results of one run of one system. Latencies cover answers only; rates are per second."""

    system: str
    scenario: str
    factor: float
    asked: int
    answered: int
    goodput: float
    whole: float
    coverage: float
    p50_ms: float
    p99_ms: float
    extra_load: float
    refused: dict[str, int]
    note: str = ""


@attrs.frozen(kw_only=True)
class RunContext:
    """Cluster, service and saturation that all runs of one deployment share."""

    cluster: Cluster
    service: Service
    saturation: float


async def run_measures(deployment: str, folder: Path, console: Console) -> list[Row]:
    """Measure one deployment and its baselines, print tables, and return all rows.

    In the policy of the service `patience_ms` is 400, ten times the mean service time.
    """
    policy = attrs.evolve(
        DEPLOYMENTS[deployment](1024).services[0].policy, patience_ms=400, deadline_ms=DEADLINE_MS
    )
    rows: list[Row] = []
    systems = (OWN_SYSTEM, *(baseline.value for baseline in BaselinePolicy))
    for system in systems:
        rows += await _measure_system(system, deployment, policy, folder / system, console)
    for scenario in dict.fromkeys(row.scenario for row in rows):
        console.print(_table(scenario, [row for row in rows if row.scenario == scenario]))
    return rows


async def _measure_system(
    system: str, deployment: str, policy: Policy, folder: Path, console: Console
) -> list[Row]:
    flags = [f"--mean-ms={MEAN_MS}"]
    rows: list[Row] = []
    async with start_cluster(deployment, folder, backend_flags=flags, policy=policy) as cluster:
        service = cluster.plan.configuration.services[0]
        context = RunContext(
            cluster=cluster, service=service, saturation=_saturation(cluster, service)
        )
        daemons = [daemon.callers_address for daemon in cluster.plan.daemons]
        if system != OWN_SYSTEM:
            daemons = list(await cluster.start_baselines(system))
        await _run_load(context, daemons, WARM_UP_FACTOR, WARM_UP_SECONDS)
        for factor in LOAD_FACTORS:
            rows.append(await _measure_load(context, system, daemons, factor))
            console.print(f"{system} at {factor} of saturation: {rows[-1].goodput:.0f} answers/s")
        rows.append(await _measure_stragglers(context, system, daemons))
        rows += await _measure_take_out(context, system, daemons)
        await cluster.stop_baselines()
    return rows


def _saturation(cluster: Cluster, service: Service) -> float:
    servers = [s for s in cluster.plan.configuration.servers if s.service == service.name]
    return sum(s.slots for s in servers) / (MEAN_MS / 1000) / len(service.shards)


async def _run_load(
    context: RunContext, daemons: Sequence[Address], factor: float, seconds: float
) -> tuple[list[Sample], float]:
    """Generate load; return its samples and the extra load of the backend servers."""
    before = await _searches_started(context)
    plan = LoadPlan(
        rate=context.saturation * factor,
        seconds=seconds,
        services=(context.service.name,),
        deadline_ms=DEADLINE_MS,
    )
    samples = await asyncio.to_thread(run_load_in_processes, plan, daemons)
    started = await _searches_started(context) - before
    await asyncio.sleep(SETTLE_SECONDS)
    expected = len(samples) * len(context.service.shards)
    return samples, started / expected - 1 if expected else 0.0


async def _searches_started(context: RunContext) -> int:
    counts = await context.cluster.backend_counts()
    servers = (server for server in counts.values() if server.service == context.service.name)
    return sum(server.counts.searches_started for server in servers)


async def _measure_load(
    context: RunContext, system: str, daemons: Sequence[Address], factor: float
) -> Row:
    samples, extra = await _run_load(context, daemons, factor, SWEEP_SECONDS)
    return _row(system, "load sweep", factor, samples, SWEEP_SECONDS, extra)


async def _measure_stragglers(context: RunContext, system: str, daemons: Sequence[Address]) -> Row:
    slow = FaultChange(set={"straggler_probability": STRAGGLER_SHARE})
    await context.cluster.change_backends(slow)
    samples, extra = await _run_load(context, daemons, TAIL_FACTOR, TAIL_SECONDS)
    await context.cluster.change_backends(FaultChange(clear=True))
    return _row(system, "stragglers", TAIL_FACTOR, samples, TAIL_SECONDS, extra)


async def _measure_take_out(
    context: RunContext, system: str, daemons: Sequence[Address]
) -> list[Row]:
    data_centre = context.cluster.plan.configuration.data_centres[1].name
    running = asyncio.ensure_future(_run_load(context, daemons, TAKE_OUT_FACTOR, 3 * PHASE_SECONDS))
    # The processes of the load generator take about a second to start.
    await asyncio.sleep(1.0 + PHASE_SECONDS)
    taken_out_at = await _execute_intent(context, IntentKind.TAKE_OUT, data_centre)
    await asyncio.sleep(PHASE_SECONDS)
    last_arrival = await _last_arrival(context, data_centre)
    await _execute_intent(context, IntentKind.RETURN, data_centre)
    samples, extra = await running
    late_ms = max(0.0, last_arrival - taken_out_at) * 1000
    note = f"last new work there {late_ms:.0f} ms after the confirm"
    spans = ("before", "while out", "after return")
    rows = []
    for number, name in enumerate(spans):
        start = number * PHASE_SECONDS
        phase_samples = [s for s in samples if start <= s.started < start + PHASE_SECONDS]
        row = _row(
            system, "data centre leaves", TAKE_OUT_FACTOR, phase_samples, PHASE_SECONDS, extra
        )
        rows.append(attrs.evolve(row, note=f"{name}; {note}" if number == 1 else name))
    return rows


async def _execute_intent(context: RunContext, kind: IntentKind, data_centre: str) -> float:
    """Plan and confirm an intent as an operator; return the time of acceptance as Unix time."""
    cluster = context.cluster
    addresses = [daemon.admin_address for daemon in cluster.plan.daemons]
    async with OperatorClient(addresses, token=Secret(cluster.token), operator="bench") as client:
        plan = await client.plan(Intent(kind=kind, subject=data_centre))
        if not isinstance(plan, Plan):
            raise RuntimeError(f"operator API returned no plan: {plan}")
        confirmation = await client.confirm(plan, override=True)
        if not isinstance(confirmation, Confirmation):
            raise RuntimeError(f"operator API did not confirm the plan: {confirmation}")
    return time.time()


async def _last_arrival(context: RunContext, data_centre: str) -> float:
    counts = await context.cluster.backend_counts()
    servers = (server for server in counts.values() if server.data_centre == data_centre)
    return max(server.counts.last_arrival_wall for server in servers)


def _row(
    system: str,
    scenario: str,
    factor: float,
    samples: list[Sample],
    seconds: float,
    extra: float,
) -> Row:
    report = Report(samples)
    return Row(
        system=system,
        scenario=scenario,
        factor=factor,
        asked=report.asked,
        answered=report.answered,
        goodput=report.answered / seconds,
        whole=report.complete / seconds,
        coverage=report.coverage,
        p50_ms=report.quantile_ms(0.5),
        p99_ms=report.quantile_ms(0.99),
        extra_load=extra,
        refused=dict(report.kinds),
    )


def _table(scenario: str, rows: list[Row]) -> Table:
    table = Table(title=scenario)
    for name in (
        "system",
        "load",
        "asked",
        "answered",
        "answers/s",
        "whole/s",
        "coverage",
        "p50 ms",
        "p99 ms",
        "extra load",
        "refused",
        "note",
    ):
        table.add_column(name, justify="left" if name in ("system", "refused", "note") else "right")
    for row in rows:
        table.add_row(
            row.system,
            f"{row.factor:.2f}",
            str(row.asked),
            f"{row.answered / row.asked:.1%}" if row.asked else "-",
            f"{row.goodput:.0f}",
            f"{row.whole:.0f}",
            f"{row.coverage:.2%}",
            f"{row.p50_ms:.0f}",
            f"{row.p99_ms:.0f}",
            f"{row.extra_load:+.1%}",
            " ".join(f"{kind}:{count}" for kind, count in sorted(row.refused.items())),
            row.note,
        )
    return table
