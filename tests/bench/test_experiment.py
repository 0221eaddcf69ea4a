"""The experiment tool: its day files, what it compares, and what it prints."""

from __future__ import annotations

from pathlib import Path

import pytest

from berylspindle_bench.experiment import ExperimentFileError, compare_policies, read_experiment
from berylspindle_bench.main import app
from berylspindle_bench.plots import draw_experiment
from berylspindle_model import codec

DAYS = Path(__file__).parents[2] / "deploy" / "experiments"
SHORT = 'name = "short"\nseconds = 2.0\nload = [[0.0, 1.0], [0.5, 4.0]]\n'


@pytest.fixture
def short(tmp_path: Path) -> Path:
    path = tmp_path / "short.toml"
    path.write_text(SHORT)
    return path


@pytest.mark.parametrize("path", sorted(DAYS.glob("*.toml")), ids=lambda path: path.stem)
def test_the_days_that_come_with_the_project_can_be_read(path: Path):
    assert read_experiment(path).name == path.stem


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("", "load"),
        ('name = "a"\nseconds = 2.0\nload = [[1.0, 1.0]]\n', "begins at 0"),
        ('name = "a"\nseconds = 0.0\nload = [[0.0, 1.0]]\n', "above 0"),
        (SHORT + "slow_share = 2.0\n", "from 0 to 1"),
        (SHORT + "slow = 2.0\n", "unknown slow"),
        ("load = [", "Invalid|Unclosed"),
    ],
)
def test_a_day_that_is_not_understood_is_refused_with_the_reason(
    tmp_path: Path, text: str, why: str
):
    path = tmp_path / "day.toml"
    path.write_text(text)
    with pytest.raises(ExperimentFileError, match=why):
        read_experiment(path)


def test_policies_are_compared_on_the_same_seeds(short: Path):
    first, off, again = compare_policies(
        read_experiment(short), ["", "refuses=off,hedge_idle_only=off", ""], (1, 2)
    )
    assert first == again
    assert first.credit > off.credit
    assert first.spread > 0.0
    assert len(first.by_second) == 2
    assert set(first.by_kind) == {"sweep", "check"}


def test_the_program_prints_a_json_line_and_draws(short: Path, tmp_path: Path, capsys):
    picture = tmp_path / "credit.png"
    argv = ["experiment", str(short), "--policy", "", "--policy", "hedges=off", "--seeds", "1"]
    assert app([*argv, "--plot", str(picture)], result_action="return_value") == 0
    results = codec.from_json(capsys.readouterr().out.splitlines()[-1].encode(), list[dict])
    assert [result["policy"] for result in results] == ["", "hedges=off"]
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_the_program_refuses_an_unknown_switch(short: Path, capsys):
    argv = ["experiment", str(short), "--policy", "hedging=off"]
    assert app(argv, result_action="return_value") == 2
    assert "hedge_idle_only" in capsys.readouterr().err


def test_a_picture_needs_no_display(short: Path, tmp_path: Path):
    draw_experiment(compare_policies(read_experiment(short), [""], (1,)), tmp_path / "one.png")
    assert (tmp_path / "one.png").stat().st_size > 1000
