"""The build of the deployment, with a stand-in for the interpreter."""

from __future__ import annotations

import os
import shutil
import subprocess
from pathlib import Path

ROOT = Path(__file__).parents[2]
PACKAGES = ("model", "decisions", "telemetry", "wire", "store", "forwarding")
INTERPRETER = """#!/bin/sh
case "$*" in
  "-c "*) echo "$KIND" ;;
  *" pip "*) mkdir -p target/deps && echo "$KIND" >> pip-calls ;;
esac
"""


def build(folder: Path, kind: str) -> list[str]:
    """Run the build on an interpreter of a kind, and return the kinds of all installs so far."""
    path = f"{folder / 'bin'}:{os.environ['PATH']}"
    subprocess.run(
        ["sh", "deploy/build.sh"], cwd=folder, env={"PATH": path, "KIND": kind}, check=True
    )
    return (folder / "pip-calls").read_text().split()


def test_libraries_of_another_interpreter_or_architecture_are_replaced(tmp_path: Path) -> None:
    """Guard against compiled modules that the machine can't load, in a folder that was copied."""
    for package in PACKAGES:
        (tmp_path / f"libs/{package}/berylspindle_{package}").mkdir(parents=True)
    for folder in ("platform/berylspindle_adapter", "deploy", "bin"):
        (tmp_path / folder).mkdir(parents=True)
    for name in ("constraints.txt", "deploy/requirements.txt", "deploy/build.sh"):
        shutil.copy(ROOT / name, tmp_path / name)
    interpreter = tmp_path / "bin/python3"
    interpreter.write_text(INTERPRETER)
    interpreter.chmod(0o755)
    assert build(tmp_path, "cpython-311-x86_64") == ["cpython-311-x86_64"]
    assert build(tmp_path, "cpython-311-x86_64") == ["cpython-311-x86_64"]
    assert build(tmp_path, "cpython-311-aarch64")[1:] == ["cpython-311-aarch64"]
    assert build(tmp_path, "cpython-312-aarch64")[2:] == ["cpython-312-aarch64"]
