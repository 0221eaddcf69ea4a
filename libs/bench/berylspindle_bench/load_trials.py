"""Run all simulations of the decisions under load; print tables and one JSON object at the end.

Terms:
  trial   a discrete-event simulation of the decisions without sockets or real time; its results
          compare variants with each other and do not predict the performance of the daemon

Flow: `.venv/bin/python -m berylspindle_bench.load_trials [--quick]`. Seeds are fixed, so that the
same code gives the same results on every machine.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Final

import attrs
import cyclopts
import msgspec
from rich.console import Console
from rich.table import Table

from berylspindle_bench.crash_trials import canary_latency_ms, crash_rows
from berylspindle_bench.fanout_trials import fanout_rows
from berylspindle_bench.forward_trials import QUICK_SEEDS, SEEDS, forward_rows
from berylspindle_bench.queue_trials import queue_rows, retry_rows
from berylspindle_bench.snapshot_trials import snapshot_rows
from berylspindle_bench.warmup_trials import warmup_rows

FANOUT_SECONDS: Final = 6.0
QUICK_FANOUT_SECONDS: Final = 1.0

app: Final = cyclopts.App(name="load-trials", help="Simulate the decisions under load.")


@app.default
def run(*, quick: bool = False) -> None:
    """Run all simulations and print their results.

    Args:
        quick: simulate one second of each fan-out instead of six, and one seed of forwarded
            searches instead of three.
    """
    console = Console(width=140)
    seconds = QUICK_FANOUT_SECONDS if quick else FANOUT_SECONDS
    trials: dict[str, Callable[[], Iterable[Any]]] = {
        "fan-out": lambda: fanout_rows(seconds=seconds),
        "forwarded searches": lambda: forward_rows(seeds=QUICK_SEEDS if quick else SEEDS),
        "queue": queue_rows,
        "coming back": retry_rows,
        "warm-up": warmup_rows,
        "requests that crash servers": crash_rows,
        "snapshots": snapshot_rows,
    }
    results: dict[str, Any] = {}
    for title, trial in trials.items():
        rows = [attrs.asdict(row) for row in trial()]
        results[title] = rows
        console.print(_table(title, rows))
    plain_p50, plain_p99, canary_p50, canary_p99 = canary_latency_ms()
    results["canary"] = {
        "plain_p50_ms": plain_p50,
        "plain_p99_ms": plain_p99,
        "canary_p50_ms": canary_p50,
        "canary_p99_ms": canary_p99,
    }
    console.print(_table("a canary before each search", [results["canary"]]))
    print(msgspec.json.encode(results).decode())


def _table(title: str, rows: list[dict[str, Any]]) -> Table:
    table = Table(title=title, title_justify="left")
    for name in rows[0]:
        table.add_column(name, justify="left" if isinstance(rows[0][name], str) else "right")
    for row in rows:
        table.add_row(*(_cell(value) for value in row.values()))
    return table


def _cell(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


if __name__ == "__main__":
    app()
