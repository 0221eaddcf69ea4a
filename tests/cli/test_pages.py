"""The operators' pages match the commands, names and codes of the code."""

from __future__ import annotations

import importlib
import re
import shlex
from pathlib import Path

import pytest
from cyclopts import App

from berylspindle_cli.exit_codes import ExitCode as ToolExitCode
from berylspindle_cli.main import make_app
from berylspindle_daemon.exit_codes import ExitCode as DaemonExitCode
from berylspindle_daemon.main import parse
from berylspindle_model.causes import CAUSES, Cause
from berylspindle_model.errors import ErrorKind
from berylspindle_model.events import EventKind
from berylspindle_telemetry import metric_names as names

DOCS = Path(__file__).parents[2] / "docs"
GLOSSARY = (DOCS / "GLOSSARY.md").read_text()
OPERATIONS = (DOCS / "OPERATIONS.md").read_text()
COMMANDS = re.findall(r"^    berylspindle (.*)$", OPERATIONS, re.MULTILINE)
DAEMON_COMMANDS = re.findall(r"^    berylspindled (.*)$", OPERATIONS, re.MULTILINE)
NAMES = re.findall(r"`([a-z]+\.[a-z_]+(?:\.[A-Za-z_]+)*)`", GLOSSARY)


@pytest.mark.parametrize("command", COMMANDS)
def test_each_documented_command_is_parsed(command: str) -> None:
    app: App = make_app()
    tokens = shlex.split(command, comments=True)
    app.parse_args(tokens, exit_on_error=False, print_error=False)


def test_each_documented_daemon_start_is_parsed() -> None:
    assert DAEMON_COMMANDS
    for command in DAEMON_COMMANDS:
        assert parse(shlex.split(command)) is not None


@pytest.mark.parametrize("name", sorted(set(NAMES)))
def test_each_name_of_the_glossary_exists(name: str) -> None:
    library, module, *rest = name.split(".")
    found: object = importlib.import_module(f"berylspindle_{library}.{module}")
    for part in rest:
        fields = getattr(found, "__attrs_attrs__", None)
        if fields is not None and part in {field.name for field in fields}:
            return
        found = getattr(found, part)


def test_the_page_lists_each_error_kind_event_and_exit_code() -> None:
    for kind in ErrorKind:
        assert f"| `{kind.value}` |" in OPERATIONS
    for event in EventKind:
        assert f"`{event.value}`" in OPERATIONS
    for code in (*DaemonExitCode, *ToolExitCode):
        assert f"| {code.value} | `{code.name}` |" in OPERATIONS


def test_the_page_lists_each_cause_as_the_tool_prints_it() -> None:
    assert set(CAUSES) == set(Cause)
    for cause, text in CAUSES.items():
        assert f"| `{cause.value}` | {text.meaning} | {text.look_at} |" in OPERATIONS


def test_the_page_lists_each_metric_as_the_code_has_it() -> None:
    for metric in names.METRICS:
        labels = ", ".join(metric.labels) or "-"
        assert f"| `{metric.name}` | {labels} | {metric.help} |" in OPERATIONS
    known = {metric.name for metric in names.METRICS}
    assert set(re.findall(r"`(berylspindle_[a-z_]+)`", OPERATIONS)) <= known
