"""The command `explain` with files and standard input."""

from __future__ import annotations

import io
import json
from pathlib import Path

import pytest

from berylspindle_cli.exit_codes import ExitCode
from berylspindle_cli.main import run
from berylspindle_model.causes import CAUSES, Cause
from berylspindle_model.stamps import Stamp


def line(millis: int, channel: str, message: str, vm: str = "front-1", **fields: str) -> str:
    known = {"stamp": Stamp(millis).pack(), "vm": vm, "channel": channel, "message": message}
    return json.dumps(known | fields)


LINES = [
    line(9_000, "replica", "replica held off", replica="i-1", after="lost reset"),
    line(9_100, "replica", "replica held off", replica="i-9", after="lost reset"),
    line(9_200, "forwarding", "routing table in force", version="7"),
    line(9_300, "forwarding", "the store answers", vm="front-2"),
    line(
        10_000,
        "request",
        "failed",
        request="abc",
        cause="answer_lost",
        result="connection_lost",
        run_state="may_have_run",
        steps="0.1 first i-1 out=0 pace=1.0; 0.7 lost i-1 reset; 0.9 given up s every attempt",
    ),
    line(10_001, "request", "failed", request="other", cause="no_route", result="not_found"),
    line(11_000, "forwarding", "routing table in force", version="8"),
]


def run_explain(capsys: pytest.CaptureFixture[str], *arguments: str) -> tuple[int, str]:
    with pytest.raises(SystemExit) as ended:
        run(["explain", *arguments])
    return ended.value.code, capsys.readouterr().out  # type: ignore[return-value]


def test_a_request_is_explained_with_earlier_lines_of_its_vm(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Explain a request from two files with unordered lines and lines of other programs."""
    one, two = tmp_path / "one.jsonl", tmp_path / "two.jsonl"
    one.write_text("not a line\n{cut\n" + "\n".join(reversed(LINES[2:])))
    two.write_text("\n".join(f"  12.1 front-1 {text}" for text in LINES[:2]))
    code, out = run_explain(capsys, "abc", str(one), str(two))
    assert code == ExitCode.OK
    assert "cause: answer_lost" in out
    assert "run_state=may_have_run" in out
    assert "0.7" in out
    assert "lost i-1 reset" in out
    assert "version=7" in out
    assert "replica=i-1" in out
    for absent in ("replica=i-9", "version=8", "the store answers", "other"):
        assert absent not in out


def test_standard_input_and_json_output(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(LINES)))
    code, out = run_explain(capsys, "abc", "--output", "json")
    document = json.loads(out)
    assert code == ExitCode.OK
    assert [end["cause"] for end in document["ends"]] == ["answer_lost"]
    assert [row["message"] for row in document["context"]] == [
        "replica held off",
        "routing table in force",
    ]


def test_a_request_without_a_line_has_its_own_exit_code(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "log"
    file.write_text("\n".join(LINES))
    code, out = run_explain(capsys, "unknown", str(file))
    assert code == ExitCode.INCOMPLETE
    assert "no log line of request unknown" in out
    code, _ = run_explain(capsys, "abc", str(tmp_path / "missing"))
    assert code == ExitCode.USAGE


@pytest.mark.parametrize(
    ("cause", "result", "shown"),
    [
        ("key_missing", "unauthorised", "detail=no key"),
        ("key_malformed", "unauthorised", "detail=malformed key"),
        ("key_unknown", "unauthorised", "detail=unknown key"),
        ("quota_exceeded", "quota_exceeded", "organisation=acme, rate=30.0, burst=30.0"),
        ("quota_unknown", "quota_unknown", "organisation=acme"),
    ],
)
def test_the_cause_of_a_refused_organisation_is_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], cause: str, result: str, shown: str
) -> None:
    """Guard against a 401, 429 or quota 503 whose cause has to be guessed."""
    fields = {"request": "r1", "cause": cause, "result": result, "run_state": "not_run"}
    about = dict(part.split("=") for part in shown.split(", "))
    file = tmp_path / "log"
    file.write_text(line(9_000, "request", "refused", **fields, **about))
    code, out = run_explain(capsys, "r1", str(file))
    assert code == ExitCode.OK
    assert f"cause: {cause}: {CAUSES[Cause(cause)].meaning}" in out
    assert f"look at: {CAUSES[Cause(cause)].look_at}" in out
    assert shown in out
