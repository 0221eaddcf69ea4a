"""Settings: each invalid one gives one line and its exit code, and no secret is shown."""

from __future__ import annotations

import io
import os
import shlex
import socket
import subprocess
import sys
from pathlib import Path

import attrs
import pytest

from berylspindle_daemon.exit_codes import DaemonError, ExitCode
from berylspindle_daemon.main import parse, run
from berylspindle_daemon.options import (
    ENV_PREFIX,
    Options,
    complete_options,
    environment_variable,
    scale_times,
)
from berylspindle_telemetry.logs import log_context, logger

REQUIRED_FLAGS = ["--data-centre", "quito-1", "--store-host", "127.0.0.1", "--store-port", "7400"]
SECRET = "s3cr3t-s3cr3t-s3cr3t"
CASES = [
    [part.strip() for part in line.split("|")]
    for line in Path(__file__).with_name("bad_settings.txt").read_text().splitlines()
    if not line.startswith("#")
]


@pytest.fixture(autouse=True)
def _without_inherited_settings(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in list(os.environ):
        if name.startswith(ENV_PREFIX):
            monkeypatch.delenv(name)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case[3][:60])
def test_an_invalid_setting_gives_one_line_and_its_exit_code(
    case: list[str], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    code, variables, flags, line, *bare = case
    for variable in variables.split():
        name, _, value = variable.partition("=")
        monkeypatch.setenv(name, value)
    with pytest.raises(SystemExit) as ended:
        run([*([] if bare else REQUIRED_FLAGS), *shlex.split(flags)])
    assert ended.value.code == ExitCode[code]
    captured = capsys.readouterr()
    assert captured.err == f"berylspindled: {line}\n"
    assert SECRET not in captured.err


def test_a_flag_takes_precedence_over_its_variable(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("BERYLSPINDLE_LISTEN_PORT", "99")
    monkeypatch.setenv("BERYLSPINDLE_ADMIN_PORT", "98")
    options = parse([*REQUIRED_FLAGS, "--listen-port", "7"])
    assert options is not None
    assert (options.listen_port, options.admin_port) == (7, 98)


def test_each_setting_is_a_flag_and_a_variable_with_its_default_in_the_help(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("COLUMNS", "250")
    assert parse(["--help"]) is None
    text = capsys.readouterr().out
    for field in attrs.fields(Options):
        if field.name in ("peer_key", "admin_token"):
            continue
        assert f"--{field.name.replace('_', '-')} " in text
        assert f"[env var: {environment_variable(field.name)}]" in text
        if isinstance(field.default, int | float):
            assert f"[default: {field.default}]" in text


def test_a_vm_gets_a_new_id_at_each_start() -> None:
    """Guard against a replacement VM that peers mistake for the old VM because of its id.

    A VM keeps no state across starts, but its peers would attribute the old state to it.
    """
    first, second = parse(REQUIRED_FLAGS), parse(REQUIRED_FLAGS)
    assert first is not None
    assert second is not None
    assert first.vm_id != second.vm_id


def test_secrets_are_read_from_a_file_and_masked(tmp_path: Path) -> None:
    """Guard against a secret in a log or a crash report.

    Tracebacks and debug lines print the options as a whole; secrets in them must be masked.
    """
    path = tmp_path / "token"
    path.write_text(SECRET + "\n")
    options = parse([*REQUIRED_FLAGS, "--admin-token-file", str(path), "--admin-host", "0.0.0.0"])
    assert options is not None
    assert options.admin_token is not None
    assert options.admin_token.matches(SECRET)
    assert not options.admin_token.matches(SECRET + "x")
    assert options.open_edges == ("peers' edge",)
    stream = io.StringIO()
    with log_context(stream=stream, secrets=[options.admin_token]):
        logger("x").info("{} {!r} {}", options, options, SECRET)
    assert "***" in stream.getvalue()
    assert SECRET not in stream.getvalue()
    with pytest.raises(TypeError):
        options.admin_token.__reduce__()


def test_the_version_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    assert parse(["--version"]) is None
    assert capsys.readouterr().out.strip() == "0.1.0"


def test_variables_of_the_operators_tool_are_ignored() -> None:
    options = parse(REQUIRED_FLAGS)
    assert options is not None
    complete_options(options, {"BERYLSPINDLE_CLI_DAEMONS": "127.0.0.1:1"})
    with pytest.raises(DaemonError, match="unknown setting in the environment: BERYLSPINDLE_X"):
        complete_options(options, {"BERYLSPINDLE_X": "1"})


def test_the_pace_scales_all_times_and_no_counts() -> None:
    @attrs.frozen
    class Inner:
        lease: float = 4.0
        guardians: int = 3

    @attrs.frozen
    class Outer:
        inner: Inner = attrs.field(factory=Inner)
        tick: float = 0.1

    assert scale_times(Outer(), 0.5) == Outer(Inner(lease=2.0, guardians=3), tick=0.05)


def test_a_port_in_use_exits_the_daemon_with_its_line_and_code() -> None:
    """Guard against a second daemon on one VM that runs with some of its ports closed.

    It must exit at once with a line that names the address, rather than report the unreachable
    store.
    """
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        flags = [
            *REQUIRED_FLAGS,
            "--peer-port",
            str(port),
            "--listen-port",
            "0",
            "--admin-port",
            "0",
        ]
        ended = subprocess.run(
            [sys.executable, "-c", "from berylspindle_daemon.main import run; run()", *flags],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
    *lines, last = ended.stderr.splitlines()
    assert ended.returncode == ExitCode.CANNOT_LISTEN
    assert last.startswith("berylspindled: cannot listen: ")
    assert f"('127.0.0.1', {port})" in last
    assert "the operators' edge accepts any process of this machine" in "".join(lines)
