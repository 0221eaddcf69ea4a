"""The exit codes of the daemon.

Flow: `main.run` exits with one of these and, for all but OK, writes one line to standard error. The
daemon does not exit while the platform is unreachable: it stays unready and reports the reason.
"""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit code of the daemon; docs/OPERATIONS.md lists the remedy for each."""

    OK = 0
    """Stopped on request after a graceful shutdown; no request was cut off."""

    INTERNAL = 1
    """Internal fault; the log holds its traceback."""

    USAGE = 2
    """A setting is unknown, missing, malformed or out of range."""

    CANNOT_LISTEN = 3
    """A port is in use, or the address does not belong to this machine."""

    OPEN_EDGE = 4
    """An edge without a secret would listen on an address other than loopback."""

    SECRET_UNREADABLE = 5
    """The file of a secret can't be read, or the secret is empty or too short."""

    SHUTDOWN_CUT = 6
    """The grace period of the shutdown ended with requests in flight."""


class DaemonError(Exception):
    """Exit the daemon with one line on standard error and an exit code."""

    def __init__(self, code: ExitCode, line: str) -> None:
        super().__init__(line)
        self.code = code
        self.line = line
