"""Write lines to a descriptor without ever waiting for whoever reads them.

Terms:
  backlog   lines that were taken and not yet written
  full      the descriptor takes nothing just now, as a pipe whose reader has stopped

Flow: `put` takes a line if the backlog has room for it, and says so; where an event loop runs, the
backlog is written some times a second, in pieces that a pipe takes whole or not at all.

Guard: a process that writes its log with plain writes stands still when the reader of the pipe
does, and no caller is answered until it reads again. Before each write the kernel is asked whether
the descriptor takes it; what it doesn't take waits, and what the backlog has no room for is dropped
and counted by whoever puts it.

Thresholds: a pipe that is writable takes `PIECE` bytes at once (POSIX's least PIPE_BUF is 512, on
this system it is 4096). `CAPACITY` holds some 500 lines of a request in full, ten seconds of the
most that is written. `FLUSH_S` joins the lines of one busy moment into one call to the kernel.
"""

from __future__ import annotations

import asyncio
import os
import select
import time
from typing import Final

PIECE: Final = 4096
CAPACITY: Final = 512 * 1024
FLUSH_S: Final = 0.1
FULL_S: Final = 0.5
CLOSE_S: Final = 0.2
"""Seconds that the last lines of a process wait for a reader."""


class LineWriter:
    """Write to a descriptor that others may read slowly, or not at all."""

    def __init__(self, descriptor: int, *, capacity: int = CAPACITY) -> None:
        self._descriptor: Final = descriptor
        self._capacity: Final = capacity
        self._backlog = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._poll: Final = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._is_broken = False

    @property
    def backlog(self) -> int:
        """Return how many bytes wait."""
        return len(self._backlog)

    def put(self, line: str) -> bool:
        """Take a line and its end, or return False where there is no room for it."""
        data = line.encode("utf-8", "replace") + b"\n"
        if self._is_broken or len(self._backlog) + len(data) > self._capacity:
            return False
        self._backlog += data
        self._schedule(FLUSH_S)
        return True

    def close(self) -> None:
        """Write what is left, as far as the reader takes it within a moment."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        ends = time.monotonic() + CLOSE_S
        while self._backlog and not self._is_broken:
            left_ms = int((ends - time.monotonic()) * 1000)
            if left_ms <= 0 or not self._write_piece(left_ms):
                return

    def _schedule(self, after: float) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before the loop runs and after it has ended nobody is kept waiting.
            self._write_all()
            return
        self._timer = loop.call_later(after, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._write_all()
        if self._backlog and not self._is_broken:
            self._schedule(FULL_S)

    def _write_all(self) -> None:
        while self._backlog and self._write_piece(0):
            pass

    def _write_piece(self, wait_ms: int) -> bool:
        """Write one piece; return False where the descriptor takes nothing."""
        if not self._poll.poll(wait_ms):
            return False
        try:
            written = os.write(self._descriptor, self._backlog[:PIECE])
        except OSError:
            # The reader is gone for good. Nobody is left to be told; `put` says so from now on.
            self._is_broken = True
            self._backlog.clear()
            return False
        del self._backlog[:written]
        return True
