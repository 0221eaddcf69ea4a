"""Run programs of this project as child processes, each with its own log file.

Flow: `start_process` starts a program from the directory of the running interpreter and appends its
output to NAME.log, so that a restarted process continues the same file. The caller of
`start_process` must stop the process.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final

STOP_TIMEOUT_S: Final = 10.0


class Process:
    """A child process and its log file."""

    def __init__(self, name: str, child: asyncio.subprocess.Process, log: Path) -> None:
        self.name: Final = name
        self.log: Final = log
        self._child: Final = child

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._child.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process has not exited."""
        return self._child.returncode is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return self._child.returncode

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.is_running:
            self._child.send_signal(number)

    async def wait(self, timeout: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process and return its exit code; kill it after `timeout` seconds."""
        try:
            return await asyncio.wait_for(self._child.wait(), timeout)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self._child.wait()

    async def stop(self) -> int:
        """Stop the process with SIGTERM and return its exit code.

        SIGCONT comes first, since a stopped process does not handle SIGTERM.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        return await self.wait()


async def start_process(
    folder: Path, name: str, program: str, flags: Sequence[str], environment: Mapping[str, str]
) -> Process:
    """Start a program with the given flags and environment.

    Inherited variables with the prefix BERYLSPINDLE_ are dropped.
    """
    log = folder / f"{name}.log"
    path = Path(sys.executable).parent / program
    inherited = {k: v for k, v in os.environ.items() if not k.startswith("BERYLSPINDLE_")}
    with log.open("ab") as output:
        child = await asyncio.create_subprocess_exec(
            str(path), *flags, env={**inherited, **environment}, stdout=output, stderr=output
        )
    return Process(name, child, log)
