"""Write lines to a file descriptor without blocking on its reader.

Terms:
  backlog   accepted lines that have not been written yet
  full      the descriptor accepts no data at the moment, such as a pipe whose reader has stopped

Flow: `put` accepts a line if the backlog has room and returns whether it did. While an event loop
runs, the backlog is written periodically in chunks that a pipe accepts completely or not at all.

Guard: with blocking writes, a process would stall as soon as the reader of its log stops reading,
and all requests with it. Before each write the descriptor is therefore polled; data that it does
not accept stays in the backlog, and lines beyond the capacity are rejected, which the caller
counts.

Thresholds: a writable pipe accepts `CHUNK_BYTES` at once (PIPE_BUF is 4096 on Linux, at least 512
by POSIX). `CAPACITY_BYTES` holds about 500 full request lines, ten seconds of the highest log rate.
`FLUSH_INTERVAL_S` combines the lines of a burst into one system call.
"""

from __future__ import annotations

import asyncio
import os
import select
import time
from typing import Final

CHUNK_BYTES: Final = 4096
CAPACITY_BYTES: Final = 512 * 1024
FLUSH_INTERVAL_S: Final = 0.1
FULL_RETRY_S: Final = 0.5
CLOSE_TIMEOUT_S: Final = 0.2
"""Time limit for writing the backlog when the writer is closed, in seconds."""


class LineWriter:
    """Non-blocking writer of lines to a descriptor whose reader may be slow or stopped."""

    def __init__(self, descriptor: int, *, capacity: int = CAPACITY_BYTES) -> None:
        self._descriptor: Final = descriptor
        self._capacity: Final = capacity
        self._backlog = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._poll: Final = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._is_broken = False

    @property
    def backlog(self) -> int:
        """Return the number of bytes that have not been written yet."""
        return len(self._backlog)

    def put(self, line: str) -> bool:
        """Append a line to the backlog; return False if it is full or the reader has closed."""
        data = line.encode("utf-8", "replace") + b"\n"
        if self._is_broken or len(self._backlog) + len(data) > self._capacity:
            return False
        self._backlog += data
        self._schedule(FLUSH_INTERVAL_S)
        return True

    def close(self) -> None:
        """Write the backlog, for at most `CLOSE_TIMEOUT_S`."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        deadline = time.monotonic() + CLOSE_TIMEOUT_S
        while self._backlog and not self._is_broken:
            left_ms = int((deadline - time.monotonic()) * 1000)
            if left_ms <= 0 or not self._write_chunk(left_ms):
                return

    def _schedule(self, delay_s: float) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without an event loop no requests are in progress that a write could delay.
            self._write_all()
            return
        self._timer = loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._write_all()
        if self._backlog and not self._is_broken:
            self._schedule(FULL_RETRY_S)

    def _write_all(self) -> None:
        while self._backlog and self._write_chunk(0):
            pass

    def _write_chunk(self, wait_ms: int) -> bool:
        """Write one chunk; return False if the descriptor is full or broken."""
        if not self._poll.poll(wait_ms):
            return False
        try:
            written = os.write(self._descriptor, self._backlog[:CHUNK_BYTES])
        except OSError:
            # The reader has closed the pipe; from now on `put` returns False.
            self._is_broken = True
            self._backlog.clear()
            return False
        del self._backlog[:written]
        return True
