"""Collect the bodies of replies within limits of memory and work.

Terms:
  part         the body bytes of one parser event: a chunk, or what one read has received of it
  unfinished   a reply whose end has not been received yet

Flow: each client connection has a `ReplyBody`. The connections to backend servers of one process
also share a `ReplyMemory`, which they tell the size of an unfinished body once it is large.

Guard: a peer in trouble may send bytes without end. The limit of one body does not bound a search
over many shards whose replicas all do so. Once the unfinished bodies exceed the common limit, the
largest is broken off, not the one that arrives, so that replies of sound peers are not affected.
"""

from __future__ import annotations

import abc
from typing import Final

import h11

FREE_PARTS: Final = 256
MIN_MEAN_PART_BYTES: Final = 64
"""A body may have this many parts of any size; with more, they must have this size on average. A
chunk of one byte costs as much processor time as one of many kilobytes."""

UNCOUNTED_BYTES: Final = 16 * 1024
"""Size up to which a body is not counted in the common limit; most replies are smaller."""

MAX_UNFINISHED_BYTES: Final = 32 * 1024 * 1024
"""Common limit of the unfinished bodies of a process: a tenth of the memory of a small VM."""


class ReplyBody:
    """The body of one reply at a time."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes: Final = max_bytes
        self._content = bytearray()
        self._parts = 0

    @property
    def size(self) -> int:
        """Return the bytes received so far."""
        return len(self._content)

    def add(self, part: bytes | bytearray) -> None:
        """Append a part. Raises RemoteProtocolError if a limit is exceeded."""
        self._content += part
        self._parts += 1
        if len(self._content) > self._max_bytes:
            raise h11.RemoteProtocolError("reply body exceeds the size limit")
        if self._parts > FREE_PARTS and self.size < self._parts * MIN_MEAN_PART_BYTES:
            raise h11.RemoteProtocolError("reply body has too many small parts")

    def content(self) -> bytes:
        """Return what has been received."""
        return bytes(self._content)

    def clear(self) -> None:
        """Start the next body."""
        self._content = bytearray()
        self._parts = 0


class ReplyReceiver(abc.ABC):
    """A connection whose unfinished reply can be broken off."""

    @abc.abstractmethod
    def break_off(self, detail: str) -> None:
        """End the exchange in flight as broken, and close the connection."""


class ReplyMemory:
    """Common limit of the unfinished large bodies of several connections."""

    def __init__(self, max_bytes: int = MAX_UNFINISHED_BYTES) -> None:
        self._max_bytes: Final = max_bytes
        self._sizes: Final[dict[ReplyReceiver, int]] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Return the counted bytes."""
        return self._total

    def update(self, receiver: ReplyReceiver, size: int) -> None:
        """Set the size of an unfinished body; break off the largest ones beyond the limit."""
        self._total += size - self._sizes.get(receiver, 0)
        self._sizes[receiver] = size
        while self._total > self._max_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.release(largest)
            largest.break_off(f"unfinished replies exceed {self._max_bytes} bytes")

    def release(self, receiver: ReplyReceiver) -> None:
        """Forget the body of a receiver, which has ended."""
        self._total -= self._sizes.pop(receiver, 0)
