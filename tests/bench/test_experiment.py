"""Tests of the experiment command: experiment files, comparison of policies, output."""

from __future__ import annotations

from pathlib import Path

import pytest

from berylspindle_bench.experiment import ExperimentFileError, compare_policies, read_experiment
from berylspindle_bench.main import app
from berylspindle_bench.plots import draw_experiment
from berylspindle_model import codec

EXPERIMENTS = Path(__file__).parents[2] / "deploy" / "experiments"
SHORT_EXPERIMENT = 'name = "short"\nseconds = 2.0\nload = [[0.0, 1.0], [0.5, 4.0]]\n'


@pytest.fixture
def short_experiment(tmp_path: Path) -> Path:
    path = tmp_path / "short.toml"
    path.write_text(SHORT_EXPERIMENT)
    return path


@pytest.mark.parametrize("path", sorted(EXPERIMENTS.glob("*.toml")), ids=lambda path: path.stem)
def test_shipped_experiment_files_are_valid(path: Path):
    assert read_experiment(path).name == path.stem


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("", "load"),
        ('name = "a"\nseconds = 2.0\nload = [[1.0, 1.0]]\n', "must begin at 0"),
        ('name = "a"\nseconds = 0.0\nload = [[0.0, 1.0]]\n', "above 0"),
        (SHORT_EXPERIMENT + "slow_share = 2.0\n", "from 0 to 1"),
        (SHORT_EXPERIMENT + "slow = 2.0\n", "unknown fields: slow;"),
        ("load = [", "Invalid|Unclosed"),
    ],
)
def test_an_invalid_experiment_file_is_rejected_with_the_reason(
    tmp_path: Path, text: str, reason: str
):
    path = tmp_path / "experiment.toml"
    path.write_text(text)
    with pytest.raises(ExperimentFileError, match=reason):
        read_experiment(path)


def test_policies_are_compared_on_the_same_seeds(short_experiment: Path):
    default, disabled, repeated = compare_policies(
        read_experiment(short_experiment), ["", "refuses=off,hedge_idle_only=off", ""], (1, 2)
    )
    assert default == repeated
    assert default.credit > disabled.credit
    assert default.spread > 0.0
    assert len(default.by_second) == 2
    assert set(default.by_kind) == {"sweep", "check"}


def test_the_command_prints_json_and_writes_a_plot(short_experiment: Path, tmp_path: Path, capsys):
    plot = tmp_path / "credit.png"
    argv = [
        "experiment",
        str(short_experiment),
        "--policy",
        "",
        "--policy",
        "hedges=off",
        "--seeds",
        "1",
    ]
    assert app([*argv, "--plot", str(plot)], result_action="return_value") == 0
    results = codec.from_json(capsys.readouterr().out.splitlines()[-1].encode(), list[dict])
    assert [result["policy"] for result in results] == ["", "hedges=off"]
    assert plot.read_bytes().startswith(b"\x89PNG")


def test_the_command_rejects_an_unknown_switch(short_experiment: Path, capsys):
    argv = ["experiment", str(short_experiment), "--policy", "hedging=off"]
    assert app(argv, result_action="return_value") == 2
    assert "hedge_idle_only" in capsys.readouterr().err


def test_plotting_needs_no_display(short_experiment: Path, tmp_path: Path):
    draw_experiment(
        compare_policies(read_experiment(short_experiment), [""], (1,)), tmp_path / "one.png"
    )
    assert (tmp_path / "one.png").stat().st_size > 1000
