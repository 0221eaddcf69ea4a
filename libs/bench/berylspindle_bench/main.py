"""The program berylspindle-bench: demonstration, measures, history checks, capacity.

This module only parses the command line; other modules implement the commands.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Annotated, Final

from cyclopts import App, Parameter
from rich.console import Console

from berylspindle_bench import control_rates, history_campaign
from berylspindle_bench import demo as demo_module
from berylspindle_bench.baseline import BaselinePolicy, run_baseline
from berylspindle_bench.capacity import measure_capacity, slope_lines, write_capacity
from berylspindle_bench.experiment import (
    ExperimentFileError,
    compare_policies,
    experiment_table,
    read_experiment,
)
from berylspindle_bench.measures import run_measures
from berylspindle_bench.plots import draw_experiment, draw_measures
from berylspindle_model import codec
from berylspindle_standins.deployments import DEPLOYMENTS

EXIT_BAD_SETTING: Final = 2
HISTORY_OUT: Final = Path("out/history")

app: Final = App(name="berylspindle-bench", help=__doc__.split("\n", 1)[0])


@app.command
def demo(*, deployment: str = "kurabito", logs: Path | None = None) -> int:
    """Run a deployment on this machine, send requests and check their outcomes.

    Args:
        deployment: kurabito, pwani-kamba or small.
        logs: folder for the logs of processes; by default a new temporary folder.
    """
    if deployment not in DEPLOYMENTS:
        print(f"unknown deployment {deployment}: use {', '.join(DEPLOYMENTS)}", file=sys.stderr)
        return EXIT_BAD_SETTING
    folder = logs if logs is not None else Path(tempfile.mkdtemp(prefix="berylspindle-"))
    return demo_module.demo(deployment, folder)


@app.command
def measures(*, deployment: str = "kurabito", out: Path = Path("out/measures")) -> int:
    """Measure tail latency, coverage, extra load, and service during a data centre take-out.

    Args:
        deployment: kurabito, pwani-kamba or small.
        out: folder for logs and for rows.json.
    """
    if deployment not in DEPLOYMENTS:
        print(f"unknown deployment {deployment}: use {', '.join(DEPLOYMENTS)}", file=sys.stderr)
        return EXIT_BAD_SETTING
    folder = out / deployment
    rows = asyncio.run(run_measures(deployment, folder, Console(width=160)))
    (folder / "rows.json").write_bytes(codec.to_json(rows))
    for picture in draw_measures(rows, folder):
        print(f"wrote {picture}")
    return 0


@app.command
def capacity(*, page: Path = Path("docs/MEASUREMENTS.md")) -> int:
    """Measure the cost slopes of each component and update the tables of the capacity page.

    Args:
        page: path of the page; the data points go to capacity-points.json in the same folder.
    """
    measured = measure_capacity()
    write_capacity(measured, page)
    for line in slope_lines(measured.slopes):
        print(line)
    return 0


@app.command
def control() -> int:
    """Measure control-plane cost per node and propagation time at 8, 32 and 128 nodes."""
    control_rates.main()
    return 0


@app.command
def baseline(
    *, policy: BaselinePolicy, listen_port: int, store_port: int, vms: int = 8, seed: int = 1
) -> int:
    """Run one VM of a baseline policy, for the command measures.

    Args:
        policy: replica selection and concurrency limit.
        listen_port: port for callers.
        store_port: port of the platform's store.
        vms: number of baseline VMs, which share the slots of each server.
        seed: seed of the random replica selection.
    """
    work = run_baseline(policy, vms=vms, listen_port=listen_port, store_port=store_port, seed=seed)
    asyncio.run(work)
    return 0


@app.command
def history(
    *,
    seed: int = 1,
    seeds: str = "",
    faults: str = "",
    scope: history_campaign.Scope = history_campaign.Scope.NAMED,
    every: Annotated[bool, Parameter(name="--all", negative=())] = False,
    at_once: int = 4,
    out: Path = HISTORY_OUT,
) -> int:
    """Run a small deployment with injected faults and check every guarantee on its history.

    Args:
        seed: random seed of one run.
        seeds: range of seeds, one run each, such as 1-20; overrides seed.
        faults: comma-separated names of faults; by default none.
        scope: the named faults, every fault alone, every pair, or all of these.
        every: same as scope all: every fault with 20 seeds, every pair with 3.
        at_once: number of concurrent runs.
        out: folder for results, and for the histories with violations.
    """
    try:
        plans = history_campaign.parse_plans(
            seeds or str(seed), faults, history_campaign.Scope.ALL if every else scope
        )
    except ValueError as error:
        print(f"invalid arguments: {error}", file=sys.stderr)
        return EXIT_BAD_SETTING
    return history_campaign.history(plans, out, at_once)


@app.command
def experiment(
    day: Path, *, policy: list[str] | None = None, seeds: int = 5, plot: Path | None = None
) -> int:
    """Compare forwarding policies on an experiment file in a discrete-event simulation.

    Args:
        day: experiment file, such as deploy/experiments/bursts.toml.
        policy: switches in the format of BERYLSPINDLE_POLICY; repeat it to compare policies.
        seeds: number of seeds to run each policy with.
        plot: output path of a plot of the credit by second.
    """
    try:
        results = compare_policies(read_experiment(day), policy or [""], range(1, seeds + 1))
    except (ExperimentFileError, ValueError) as error:
        print(f"invalid experiment: {error}", file=sys.stderr)
        return EXIT_BAD_SETTING
    Console(width=120).print(experiment_table(results))
    if plot is not None:
        draw_experiment(results, plot)
    print(codec.to_json(results).decode())
    return 0


def run() -> None:
    """Run the program as a console script."""
    sys.exit(app())
