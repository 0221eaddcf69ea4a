"""Track as of when a VM's configuration was confirmed by the store.

Terms:
  confirmation  a call in which the store returned its configuration; it holds as of the time at
                which the call was sent
  age           time since the latest confirmation that is known, of this VM or of another VM of the
                data centre with the same configuration
  overdue       an age above `MAX_AGE_S`

Flow: `record` receives this VM's confirmations, `merge` the ages of other VMs; digests spread
`tenths`. `is_read_due` returns whether this VM reads the store itself, since its age is overdue.

Guard: the last response of the store says nothing about later changes, and a VM that the store
rejects can't tell this from an outage. If all watchers of a data centre are rejected, or their
watches are lost, its other VMs notice it by the age, whatever the reason.
"""

from __future__ import annotations

import math
from typing import Final

MAX_AGE_S: Final = 7.0
"""Age in seconds above which a VM reads the store itself: above the age that VMs reach while the
watchers are well, which is two watches of 1.5 s and three rounds of probes."""

READ_INTERVAL_S: Final = 0.5
"""Mean interval of the overdue reads of a data centre, all VMs together, in seconds. A fixed rate
for all VMs together limits the load on a store that returns after an outage."""

_TENTHS_PER_S: Final = 10
_MAX_AGE_TENTHS: Final = 9999


class StoreAge:
    """The age of one VM's configuration.

    `dither` is a random number in [0, 1), drawn once by each VM; it spreads the reads of all VMs.
    """

    def __init__(self, dither: float) -> None:
        self._dither: Final = dither
        self._confirmed_at = -math.inf
        self._read_at = math.inf

    def age(self, now: float) -> float:
        """Return the age in seconds; infinity without a confirmation."""
        return now - self._confirmed_at

    def record(self, sent_at: float) -> None:
        """Record a confirmation by a call that was sent at this time."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def tenths(self, now: float) -> int:
        """Return the age to send to other VMs, in tenths of a second.

        Each hop adds one tenth, as in `Suspicions.contact_ages`.
        """
        age = min(max(0.0, self.age(now)), _MAX_AGE_TENTHS)
        return min(_MAX_AGE_TENTHS, math.ceil(age * _TENTHS_PER_S) + 1)

    def merge(self, tenths: int, now: float) -> None:
        """Merge the age of another VM that has the same configuration."""
        if tenths < _MAX_AGE_TENTHS:
            self.record(now - tenths / _TENTHS_PER_S)

    def is_read_due(self, now: float, *, members: int) -> bool:
        """Return whether to read the store now.

        `members` is the number of VMs of the data centre, which share the rate of reads.
        """
        if self.age(now) <= MAX_AGE_S:
            self._read_at = math.inf
            return False
        interval = READ_INTERVAL_S * max(1, members)
        if self._read_at == math.inf:
            self._read_at = now + self._dither * interval
        if now < self._read_at:
            return False
        self._read_at = now + interval
        return True
