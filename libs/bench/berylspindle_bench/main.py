"""The program berylspindle-bench: demonstration, measures, history checks, capacity.

Each command is one module; this one only reads the command line.
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
from berylspindle_bench.experiment import DayError, compare, experiment_table, read_day
from berylspindle_bench.measures import run_measures
from berylspindle_bench.plots import draw_experiment, draw_measures
from berylspindle_model import codec
from berylspindle_standins.deployments import DEPLOYMENTS

EXIT_BAD_SETTING: Final = 2
HISTORY_OUT: Final = Path("out/history")

app: Final = App(name="berylspindle-bench", help=__doc__.split("\n", 1)[0])


@app.command
def demo(*, deployment: str = "kurabito", logs: Path | None = None) -> int:
    """Start a deployment on this machine, use it, and check what callers got.

    Args:
        deployment: kurabito, pwani-kamba or small.
        logs: folder for the processes' logs; a new temporary one if not given.
    """
    if deployment not in DEPLOYMENTS:
        print(f"unknown deployment {deployment}: use {', '.join(DEPLOYMENTS)}", file=sys.stderr)
        return EXIT_BAD_SETTING
    folder = logs if logs is not None else Path(tempfile.mkdtemp(prefix="berylspindle-"))
    return demo_module.demo(deployment, folder)


@app.command
def measures(*, deployment: str = "kurabito", out: Path = Path("out/measures")) -> int:
    """Measure tail latency, coverage, extra load and service while a data centre leaves.

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
    """Measure the slopes of each part and write the tables of the page on capacity.

    Args:
        page: the page; its points go to capacity-points.json beside it.
    """
    measured = measure_capacity()
    write_capacity(measured, page)
    for line in slope_lines(measured.slopes):
        print(line)
    return 0


@app.command
def control() -> int:
    """Measure what control costs a node, and how fast a change is in force, at 8, 32 and 128."""
    control_rates.main()
    return 0


@app.command
def baseline(
    *, policy: BaselinePolicy, listen_port: int, store_port: int, vms: int = 8, seed: int = 1
) -> int:
    """Serve one VM of a baseline, for the measures.

    Args:
        policy: how replicas are chosen and bounded.
        listen_port: port of the callers' edge.
        store_port: port of the platform's store.
        vms: number of baseline VMs, which share each server's slots.
        seed: start of the random choice.
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
    """Run a small deployment with faults and check every promise over its history.

    Args:
        seed: start of all random numbers of one run.
        seeds: several runs with these seeds, as 1-20; goes before seed.
        faults: names with commas between; without any the callers work undisturbed.
        scope: the named faults, every fault alone, every pair, or all of it.
        every: the same as the scope all: every fault with 20 seeds, every pair with 3.
        at_once: runs that go on at the same time.
        out: folder for results, and for the histories that broke a promise.
    """
    try:
        plans = history_campaign.plans_of(
            seeds or str(seed), faults, history_campaign.Scope.ALL if every else scope
        )
    except ValueError as error:
        print(f"cannot run that: {error}", file=sys.stderr)
        return EXIT_BAD_SETTING
    return history_campaign.history(plans, out, at_once)


@app.command
def experiment(
    day: Path, *, policy: list[str] | None = None, seeds: int = 5, plot: Path | None = None
) -> int:
    """Compare policies of forwarding on a day file, on a clock of events.

    Args:
        day: the day file, such as deploy/experiments/bursts.toml.
        policy: switches as BERYLSPINDLE_POLICY takes them; give it once for each policy to compare.
        seeds: how many seeds each policy is played with.
        plot: a picture of the credit by second.
    """
    try:
        results = compare(read_day(day), policy or [""], range(1, seeds + 1))
    except (DayError, ValueError) as error:
        print(f"cannot play that: {error}", file=sys.stderr)
        return EXIT_BAD_SETTING
    Console(width=120).print(experiment_table(results))
    if plot is not None:
        draw_experiment(results, plot)
    print(codec.to_json(results).decode())
    return 0


def run() -> None:
    """Run the program as a console script."""
    sys.exit(app())
