"""Define the stamps of the hybrid logical clock, which order events of different VMs.

Terms:
  stamp   time of a hybrid logical clock: wall-clock milliseconds, and a counter that orders events
          within one millisecond, so that a cause sorts before its effect on any VM
"""

from __future__ import annotations

from typing import Final

import attrs

_COUNT_BITS: Final = 16
MAX_COUNT: Final = (1 << _COUNT_BITS) - 1


@attrs.frozen(order=True)
class Stamp:
    """Time of a hybrid logical clock; a higher stamp is later."""

    millis: int
    count: int = 0

    def pack(self) -> int:
        """Return the stamp as a 64-bit integer with the same order."""
        return (self.millis << _COUNT_BITS) | self.count

    @classmethod
    def unpack(cls, packed: int) -> Stamp:
        """Return the stamp of a packed integer, the inverse of `pack`."""
        return cls(packed >> _COUNT_BITS, packed & MAX_COUNT)
