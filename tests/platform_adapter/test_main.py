"""Startup of the program: the listen address and errors in it."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

SETTINGS = """
node = "front-1"
zone = "north"
ip = "127.0.0.1"
[listen]
front = "127.0.0.1:9"
[platform]
addr = "127.0.0.1:8229"
"""


def run_main(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    path = folder / "node.toml"
    path.write_text(SETTINGS)
    return subprocess.run(
        [sys.executable, "-m", "berylspindle_adapter.main", *arguments],
        env={**os.environ, "BERYLSPINDLE_NODE_FILE": str(path)},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@pytest.mark.parametrize(
    ("argument", "code", "message"),
    [
        ("nowhere", 2, "invalid listen address: 'nowhere'"),
        ("192.0.2.1:80", 3, "cannot listen on 192.0.2.1:80"),
        ("127.0.0.1:0", 2, "listen.front is 127.0.0.1:9, but the address argument is 127.0.0.1:0"),
    ],
)
def test_unusable_listen_address_ends_startup_with_one_line(
    tmp_path: Path, argument: str, code: int, message: str
) -> None:
    """Guard against a daemon that listens on an address to which the platform sends no callers."""
    completed = run_main(tmp_path, argument)
    assert completed.returncode == code
    assert completed.stderr.startswith(f"berylspindle: {message}")
    assert len(completed.stderr.splitlines()) == 1
