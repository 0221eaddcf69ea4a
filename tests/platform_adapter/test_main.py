"""Startup of the program: the listen address and errors in it."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from free_ports import free_ports

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


def test_reload_signal_during_the_start_does_not_end_the_process(tmp_path: Path) -> None:
    """Guard against a daemon that ends because its settings change while it is loaded."""
    port, metrics = free_ports(2)
    path = tmp_path / "node.toml"
    path.write_text(
        f"metrics_port = {metrics}\n" + SETTINGS.replace("127.0.0.1:9", f"127.0.0.1:{port}")
    )
    with subprocess.Popen(
        [sys.executable, "-m", "berylspindle_adapter.main", f"127.0.0.1:{port}"],
        env={**os.environ, "BERYLSPINDLE_NODE_FILE": str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    ) as process:
        deadline = time.monotonic() + 20
        with socket.socket() as caller:
            # The port is bound before the rest of the program is loaded.
            while caller.connect_ex(("127.0.0.1", port)):
                assert time.monotonic() < deadline
                time.sleep(0.001)
        for _ in range(50):
            process.send_signal(signal.SIGHUP)
            time.sleep(0.02)
        assert process.poll() is None
        process.kill()
