"""The program's start: where it listens, and what it says of settings that can't be used."""

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


def run(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
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
    ("argument", "code", "said"),
    [
        ("nowhere", 2, "no address to listen on: 'nowhere'"),
        ("192.0.2.1:80", 3, "can't listen on 192.0.2.1:80"),
        ("127.0.0.1:0", 2, "listen.front is 127.0.0.1:9, the argument says 127.0.0.1:0"),
    ],
)
def test_an_address_that_cannot_be_used_ends_the_start_with_one_line(
    tmp_path: Path, argument: str, code: int, said: str
) -> None:
    """Guard against a daemon that listens where the platform does not send callers."""
    ended = run(tmp_path, argument)
    assert ended.returncode == code
    assert ended.stderr.startswith(f"berylspindle: {said}")
    assert len(ended.stderr.splitlines()) == 1
