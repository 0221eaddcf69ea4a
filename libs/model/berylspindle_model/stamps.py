"""Stamps of the hybrid logical clock, which order what several VMs record.

Terms:
  stamp   time of a hybrid logical clock: wall milliseconds and a counter that orders what falls
          into one millisecond, so that a cause sorts before its effect on any VM
"""

from __future__ import annotations

from typing import Final

import attrs

_COUNT_BITS: Final = 16
MAX_COUNT: Final = (1 << _COUNT_BITS) - 1


@attrs.frozen(order=True)
class Stamp:
    """One reading of a hybrid logical clock; a greater one is later."""

    millis: int
    count: int = 0

    def pack(self) -> int:
        """Return the stamp as one integer of 64 bits that sorts as the stamp does."""
        return (self.millis << _COUNT_BITS) | self.count

    @classmethod
    def unpack(cls, packed: int) -> Stamp:
        """Return the stamp that `pack` made this integer from."""
        return cls(packed >> _COUNT_BITS, packed & MAX_COUNT)
