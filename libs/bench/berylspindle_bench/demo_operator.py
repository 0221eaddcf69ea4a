"""The operator part of the demonstration: take a data centre out and return it under load.

Flow: a process pool runs the load throughout. The tool `berylspindle` plans and confirms each
intent and waits until it is in force. The counts of the backend servers give the arrival time of
the last new work in the data centre that was taken out.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import Final

import attrs

from berylspindle_bench.cluster import Cluster
from berylspindle_bench.load import LoadPlan, Report, Sample, run_load_in_processes

RATE: Final = 60.0
PHASE_SECONDS: Final = 3.0
# Upper bound on the time from the start of the confirm command to the last new work; it includes
# the start-up of the tool, which takes most of a second.
LAST_WORK_BOUND_S: Final = 3.0
DEADLINE_MS: Final = 1000
# The processes that generate the load take about a second to start.
START_SECONDS: Final = 1.0


@attrs.frozen(kw_only=True)
class ToolRun:
    """One run of the tool.

    `started` is wall clock time in seconds, comparable to the arrival times of backend servers.
    """

    command: str
    started: float
    exit_code: int
    seconds: float
    output: str


@attrs.frozen(kw_only=True)
class TakeOutResult:
    """Results of taking a data centre out and returning it.

    `last_work_seconds` is the time from the start of the confirm command to the last new work.
    """

    data_centre: str
    runs: tuple[ToolRun, ...]
    phases: dict[str, Report]
    last_work_seconds: float
    arrivals_after_return: int

    @property
    def in_force(self) -> bool:
        """Return whether every command of the tool succeeded."""
        return all(run.exit_code == 0 for run in self.runs)


async def take_out_and_return(cluster: Cluster) -> TakeOutResult:
    """Take the second data centre out and return it under load."""
    data_centre = cluster.plan.configuration.data_centres[1].name
    load = asyncio.ensure_future(asyncio.to_thread(_run_background_load, cluster))
    await asyncio.sleep(START_SECONDS + PHASE_SECONDS)
    out = await _apply_intent(cluster, "take-out", data_centre)
    await asyncio.sleep(PHASE_SECONDS)
    last, before = await _arrival_counts(cluster, data_centre)
    returned = await _apply_intent(cluster, "return", data_centre)
    samples = await load
    _, after = await _arrival_counts(cluster, data_centre)
    return TakeOutResult(
        data_centre=data_centre,
        runs=(*out, *returned),
        phases=_phase_reports(samples),
        last_work_seconds=max(0.0, last - out[-1].started),
        arrivals_after_return=after - before,
    )


def _run_background_load(cluster: Cluster) -> list[Sample]:
    plan = LoadPlan(
        rate=RATE,
        seconds=4 * PHASE_SECONDS,
        services=tuple(service.name for service in cluster.plan.configuration.services),
        deadline_ms=DEADLINE_MS,
    )
    return run_load_in_processes(plan, [daemon.callers_address for daemon in cluster.plan.daemons])


def _phase_reports(samples: list[Sample]) -> dict[str, Report]:
    report = Report(samples)
    return {
        "before": report.between(0.0, PHASE_SECONDS),
        "leaving and out": report.between(PHASE_SECONDS, 2 * PHASE_SECONDS + 1),
        "returning and back": report.between(2 * PHASE_SECONDS + 1, 4 * PHASE_SECONDS),
    }


async def _apply_intent(cluster: Cluster, intent: str, data_centre: str) -> list[ToolRun]:
    """Plan and confirm with the tool; `confirm` exits once the intent is in force everywhere."""
    file = cluster.directory / f"{intent}.json"
    planned = await _run_tool(cluster, "plan", intent, data_centre, "--file", str(file))
    confirmed = await _run_tool(cluster, "confirm", str(file), "--wait", "5")
    return [planned, confirmed]


async def _run_tool(cluster: Cluster, *arguments: str) -> ToolRun:
    admins = ",".join(str(daemon.admin_address) for daemon in cluster.plan.daemons)
    environment = os.environ | {
        "BERYLSPINDLE_CLI_ADMINS": admins,
        "BERYLSPINDLE_CLI_TOKEN": cluster.token,
        "BERYLSPINDLE_CLI_OPERATOR": "demo",
    }
    started = time.time()
    child = await asyncio.create_subprocess_exec(
        str(Path(sys.executable).parent / "berylspindle"),
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await child.communicate()
    return ToolRun(
        command=" ".join(("berylspindle", *arguments[:3])),
        started=started,
        exit_code=child.returncode if child.returncode is not None else -1,
        seconds=time.time() - started,
        output=output.decode(),
    )


async def _arrival_counts(cluster: Cluster, data_centre: str) -> tuple[float, int]:
    """Return the time of the last arrival in a data centre and the number of searches started."""
    counts = await cluster.backend_counts()
    there = [one.counts for one in counts.values() if one.data_centre == data_centre]
    return max(one.last_arrival_wall for one in there), sum(one.searches_started for one in there)
