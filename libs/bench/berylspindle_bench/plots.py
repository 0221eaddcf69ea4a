"""Plot the results of `measures` and of experiments.

Flow: `draw_measures` plots the rows of `measures` by load, and before, during and after the
take-out of a data centre; `draw_experiment` plots the credit of policies by second. Systems are
drawn in the order of the rows, so each has the same colour in all panels; the line of this project
is thicker than the others.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from berylspindle_bench.experiment import PolicyResult
from berylspindle_bench.measures import OWN_SYSTEM, Row

_PANELS: Final[tuple[tuple[str, Callable[[Row], float]], ...]] = (
    ("complete answers per second", lambda row: row.whole),
    ("99th percentile, ms", lambda row: row.p99_ms),
    ("coverage of answers, %", lambda row: row.coverage * 100),
    ("extra load, %", lambda row: row.extra_load * 100),
)


def draw_measures(rows: Sequence[Row], folder: Path) -> list[Path]:
    """Write sweep.png and leave.png to a folder and return their paths."""
    sweep, leave = folder / "sweep.png", folder / "leave.png"
    _draw_sweep([row for row in rows if row.scenario == "load sweep"], sweep)
    _draw_leave([row for row in rows if row.scenario == "data centre leaves"], leave)
    return [sweep, leave]


def draw_experiment(results: Sequence[PolicyResult], path: Path) -> None:
    """Write a plot of the credit by second, one line per policy."""
    figure, panel = plt.subplots(figsize=(9, 4), layout="constrained")
    for result in results:
        panel.plot(result.by_second, label=result.policy or "as it is")
    panel.set_xlabel("second")
    panel.set_ylabel("credit, as a share of the maximum")
    panel.set_ylim(0.0, 1.05)
    panel.legend()
    figure.savefig(path)
    plt.close(figure)


def _draw_sweep(rows: Sequence[Row], path: Path) -> None:
    figure, axes = plt.subplots(2, 2, figsize=(10, 7), layout="constrained")
    for panel, (title, value) in zip(axes.flat, _PANELS, strict=True):
        for system in dict.fromkeys(row.system for row in rows):
            of_system = [row for row in rows if row.system == system]
            width = 2.5 if system == OWN_SYSTEM else 1.2
            factors = [row.factor for row in of_system]
            panel.plot(
                factors, [value(row) for row in of_system], marker=".", lw=width, label=system
            )
        _label(panel, title, "load, as a share of saturation")
    axes.flat[0].legend()
    figure.savefig(path)
    plt.close(figure)


def _draw_leave(rows: Sequence[Row], path: Path) -> None:
    figure, axes = plt.subplots(1, 3, figsize=(12, 4), layout="constrained")
    values: tuple[tuple[str, Callable[[Row], float]], ...] = (
        ("answered, %", lambda row: 100 * row.answered / row.asked if row.asked else 0.0),
        *_PANELS[1:3],
    )
    for panel, (title, value) in zip(axes.flat, values, strict=True):
        for system in dict.fromkeys(row.system for row in rows):
            of_system = [row for row in rows if row.system == system]
            width = 2.5 if system == OWN_SYSTEM else 1.2
            names = ["before", "while out", "after return"][: len(of_system)]
            panel.plot(names, [value(row) for row in of_system], marker="o", lw=width, label=system)
        _label(panel, title, "")
    axes.flat[0].legend()
    figure.savefig(path)
    plt.close(figure)


def _label(panel: Axes, title: str, below: str) -> None:
    panel.set_title(title)
    panel.set_xlabel(below)
    panel.set_ylim(bottom=min(0.0, panel.get_ylim()[0]))
    panel.grid(alpha=0.3)
