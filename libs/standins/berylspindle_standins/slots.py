"""Concurrency slots of a stand-in server with a bounded FIFO queue.

Flow: a caller checks `full`, then awaits `acquire`, which queues it if no slot is free; `release`
passes the slot to the first waiter. The number of slots changes when the server turns cold or
warm.
"""

from __future__ import annotations

import asyncio
import collections


class Slots:
    """A resizable number of slots and the queue for them."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._running = 0
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return self._running

    @property
    def queued(self) -> int:
        """Return the number of waiters for a slot."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Return whether all slots are in use and the queue is at its limit."""
        return self._running >= self._slots and len(self._waiting) >= self._queue_limit

    def resize(self, slots: int) -> None:
        """Change the number of slots; slots in use beyond it stay in use until released."""
        self._slots = slots
        self._grant_waiting()

    async def acquire(self, timeout: float | None) -> bool:
        """Acquire a slot. Return False if none was free within `timeout` seconds."""
        if self._running < self._slots and not self._waiting:
            self._running += 1
            return True
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(timeout):
                await waiter
        except TimeoutError:
            return self._end_wait(waiter)
        except asyncio.CancelledError:
            if self._end_wait(waiter):
                self.release()
            raise
        return True

    def release(self) -> None:
        """Release a slot and pass it to the first waiter."""
        self._running -= 1
        self._grant_waiting()

    def _end_wait(self, waiter: asyncio.Future[None]) -> bool:
        # The slot can be granted in the same event loop iteration in which the wait times out or is
        # cancelled; the caller then holds it.
        if waiter.done() and not waiter.cancelled():
            return True
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        return False

    def _grant_waiting(self) -> None:
        while self._waiting and self._running < self._slots:
            waiter = self._waiting.popleft()
            if waiter.done():
                continue
            self._running += 1
            waiter.set_result(None)
