"""Add stamps of the hybrid logical clock to messages between VMs.

Terms:
  stamped   a message with an 8-byte prefix: the sender's packed stamp

Flow: the daemon stamps each outgoing datagram, call and response, and merges the stamp of each
incoming one before it is processed. Everything that the receiver then records sorts after what the
sender recorded before sending.
"""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable
from typing import Final

from berylspindle_model.stamps import Stamp
from berylspindle_telemetry.clock import HybridClock

Method = Callable[[bytes], Awaitable[bytes]]

STAMP_BYTES: Final = 8
_STAMP_STRUCT: Final = struct.Struct(">Q")


class MessageStamper:
    """Add and remove the stamps of messages, using the clock of one VM."""

    def __init__(self, clock: HybridClock) -> None:
        self._clock = clock

    def add_stamp(self, data: bytes) -> bytes:
        """Return the message with a new stamp as its prefix."""
        return _STAMP_STRUCT.pack(self._clock.tick().pack()) + data

    def strip_stamp(self, data: bytes) -> bytes:
        """Merge the stamp of a message into the clock, and return the message without it.

        Raise ValueError if the message is too short for a stamp.
        """
        if len(data) < STAMP_BYTES:
            raise ValueError("message is too short: no stamp")
        self._clock.merge(Stamp.unpack(_STAMP_STRUCT.unpack_from(data)[0]))
        return data[STAMP_BYTES:]

    def wrap_method(self, method: Method) -> Method:
        """Return a method that removes the stamp of its request and adds one to its response."""

        async def wrapped(request: bytes) -> bytes:
            return self.add_stamp(await method(self.strip_stamp(request)))

        return wrapped
