"""Carry the hybrid logical clock on messages between VMs.

Terms:
  sealed   a message with eight bytes before it: the sender's stamp, packed

Flow: the daemon seals each datagram, call and answer on its way out and opens each on its way in,
before anything acts on it. Whatever the receiver records afterwards sorts after what the sender
recorded before.
"""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable
from typing import Final

from berylspindle_model.stamps import Stamp
from berylspindle_telemetry.clock import HybridClock

Method = Callable[[bytes], Awaitable[bytes]]

STAMP_BYTES: Final = 8
_PACKED: Final = struct.Struct(">Q")


class MessageStamper:
    """Seal and open messages by one VM's clock."""

    def __init__(self, clock: HybridClock) -> None:
        self._clock = clock

    def seal(self, data: bytes) -> bytes:
        """Return the message with a stamp of now before it."""
        return _PACKED.pack(self._clock.tick().pack()) + data

    def open(self, data: bytes) -> bytes:
        """Return the message that was sealed, after merging its stamp into the clock.

        Raises ValueError for one that is too short to hold a stamp.
        """
        if len(data) < STAMP_BYTES:
            raise ValueError("the message holds no stamp")
        self._clock.merge(Stamp.unpack(_PACKED.unpack_from(data)[0]))
        return data[STAMP_BYTES:]

    def sealing(self, method: Method) -> Method:
        """Return a method that opens its request and seals its answer."""

        async def sealed(request: bytes) -> bytes:
            return self.seal(await method(self.open(request)))

        return sealed
