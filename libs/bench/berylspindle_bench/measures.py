"""The four measures: tail latency, coverage, extra load, and service while a data centre leaves.

Terms:
  system       what is measured: this project, or a baseline on the same stand-ins
  saturation   searches a second that keep every slot of the service busy at the mean service time
  goodput      answers a second; a baseline has no least coverage and answers with whatever came
  whole        answers a second that miss no shard
  extra load   searches that backend servers started, over those that the requests asked for

Flow: `run_measures` starts one deployment, then for each system in turn makes load by rising
factors of the saturation, load with stragglers, and load under which an operator takes a data
centre out and returns it. Tables go to the console and all rows to a file as JSON.
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
# Long enough that every owner has seen its servers answer often enough to use all their slots.
WARM_UP_FACTOR: Final = 0.35
WARM_UP_SECONDS: Final = 12.0
FACTORS: Final = (0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0)
SWEEP_SECONDS: Final = 5.0
TAIL_SECONDS: Final = 10.0
TAIL_FACTOR: Final = 0.3
STRAGGLERS: Final = 0.01
PHASE_SECONDS: Final = 5.0
LEAVE_FACTOR: Final = 0.4
# Between two runs the servers' queues and the entries' estimates go back to rest.
PAUSE_SECONDS: Final = 1.5


@attrs.frozen(kw_only=True)
class Row:
    """One run of one system. Latencies are of answers, in milliseconds; rates are a second."""

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
class Setting:
    """What all runs of one deployment share. `policy` waits long enough for 40 ms servers."""

    cluster: Cluster
    service: Service
    saturation: float


async def run_measures(deployment: str, folder: Path, console: Console) -> list[Row]:
    """Measure one deployment and its baselines, print tables, and return all rows."""
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
        setting = Setting(
            cluster=cluster, service=service, saturation=_saturation(cluster, service)
        )
        daemons = [daemon.callers_address for daemon in cluster.plan.daemons]
        if system != OWN_SYSTEM:
            daemons = list(await cluster.start_baselines(system))
        await _run(setting, daemons, WARM_UP_FACTOR, WARM_UP_SECONDS)
        for factor in FACTORS:
            rows.append(await _sweep(setting, system, daemons, factor))
            console.print(f"{system} at {factor} of saturation: {rows[-1].goodput:.0f} answers/s")
        rows.append(await _stragglers(setting, system, daemons))
        rows += await _leave_and_return(setting, system, daemons)
        await cluster.stop_baselines()
    return rows


def _saturation(cluster: Cluster, service: Service) -> float:
    servers = [s for s in cluster.plan.configuration.servers if s.service == service.name]
    return sum(s.slots for s in servers) / (MEAN_MS / 1000) / len(service.shards)


async def _run(
    setting: Setting, daemons: Sequence[Address], factor: float, seconds: float
) -> tuple[list[Sample], float]:
    """Make load and return its samples, with the extra load of the servers."""
    before = await _started(setting)
    plan = LoadPlan(
        rate=setting.saturation * factor,
        seconds=seconds,
        services=(setting.service.name,),
        deadline_ms=DEADLINE_MS,
    )
    samples = await asyncio.to_thread(run_load_in_processes, plan, daemons)
    started = await _started(setting) - before
    await asyncio.sleep(PAUSE_SECONDS)
    wanted = len(samples) * len(setting.service.shards)
    return samples, started / wanted - 1 if wanted else 0.0


async def _started(setting: Setting) -> int:
    counts = await setting.cluster.backend_counts()
    mine = (one for one in counts.values() if one.service == setting.service.name)
    return sum(one.counts.searches_started for one in mine)


async def _sweep(setting: Setting, system: str, daemons: Sequence[Address], factor: float) -> Row:
    samples, extra = await _run(setting, daemons, factor, SWEEP_SECONDS)
    return _row(system, "load sweep", factor, samples, SWEEP_SECONDS, extra)


async def _stragglers(setting: Setting, system: str, daemons: Sequence[Address]) -> Row:
    slow = FaultChange(set={"straggler_probability": STRAGGLERS})
    await setting.cluster.change_backends(slow)
    samples, extra = await _run(setting, daemons, TAIL_FACTOR, TAIL_SECONDS)
    await setting.cluster.change_backends(FaultChange(clear=True))
    return _row(system, "stragglers", TAIL_FACTOR, samples, TAIL_SECONDS, extra)


async def _leave_and_return(setting: Setting, system: str, daemons: Sequence[Address]) -> list[Row]:
    data_centre = setting.cluster.plan.configuration.data_centres[1].name
    running = asyncio.ensure_future(_run(setting, daemons, LEAVE_FACTOR, 3 * PHASE_SECONDS))
    # The load's processes take about a second to start.
    await asyncio.sleep(1.0 + PHASE_SECONDS)
    left = await _confirm(setting, IntentKind.TAKE_OUT, data_centre)
    await asyncio.sleep(PHASE_SECONDS)
    last = await _last_arrival(setting, data_centre)
    await _confirm(setting, IntentKind.RETURN, data_centre)
    samples, extra = await running
    late_ms = max(0.0, last - left) * 1000
    note = f"last new work there {late_ms:.0f} ms after the confirm"
    spans = ("before", "while out", "after return")
    rows = []
    for number, name in enumerate(spans):
        start = number * PHASE_SECONDS
        part = [s for s in samples if start <= s.started < start + PHASE_SECONDS]
        row = _row(system, "data centre leaves", LEAVE_FACTOR, part, PHASE_SECONDS, extra)
        rows.append(attrs.evolve(row, note=f"{name}; {note}" if number == 1 else name))
    return rows


async def _confirm(setting: Setting, kind: IntentKind, data_centre: str) -> float:
    """Plan and confirm an intent as an operator would; return when it was accepted."""
    cluster = setting.cluster
    addresses = [daemon.admin_address for daemon in cluster.plan.daemons]
    async with OperatorClient(addresses, token=Secret(cluster.token), operator="bench") as client:
        plan = await client.plan(Intent(kind=kind, subject=data_centre))
        if not isinstance(plan, Plan):
            raise RuntimeError(f"no plan: {plan}")
        confirmation = await client.confirm(plan, override=True)
        if not isinstance(confirmation, Confirmation):
            raise RuntimeError(f"not confirmed: {confirmation}")
    return time.time()


async def _last_arrival(setting: Setting, data_centre: str) -> float:
    counts = await setting.cluster.backend_counts()
    there = (one for one in counts.values() if one.data_centre == data_centre)
    return max(one.counts.last_arrival_wall for one in there)


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
