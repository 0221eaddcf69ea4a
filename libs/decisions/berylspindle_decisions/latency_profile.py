"""How long a route's sub-requests take, as quantiles that follow the last few hundred of them.

Pattern of load: kinds of requests whose work differs by ten times share the same backend servers.
Without a profile for each kind, a delay that fits the long ones finds no straggler among the short
ones, and one that fits the short ones doubles each long one.

Terms:
  band   a range of latencies that count as one; each is `BAND_RATIO` times as wide as the last

Flow: `add` takes each latency; `quantile` answers from counts in bands. Counts are halved once
there are `FULL` of them, so that a change of the latencies shows after as many again.

Thresholds: bands of 7% are finer than what a delay can gain by. `FULL` of 512 is some seconds of
one VM's sub-requests at today's sizes, and holds five of the slowest hundredth. `ENOUGH` is the
least for a quantile that isn't ruled by a single straggler.
"""

from __future__ import annotations

import math
from typing import Final

LEAST_MS: Final = 0.5
BAND_RATIO: Final = 1.07
BANDS: Final = 160
FULL: Final = 512
ENOUGH: Final = 30
_LOG_RATIO: Final = math.log(BAND_RATIO)


class LatencyProfile:
    """Counts of latencies in bands, in milliseconds."""

    def __init__(self) -> None:
        self._counts = [0] * BANDS
        self._total = 0
        self._cache: dict[float, float] = {}
        self._since = 0

    @property
    def known(self) -> bool:
        """Tell whether enough was seen for a quantile."""
        return self._total >= ENOUGH

    def add(self, ms: float) -> None:
        """Take one latency."""
        band = int(math.log(ms / LEAST_MS) / _LOG_RATIO) + 1 if ms > LEAST_MS else 0
        self._counts[min(band, BANDS - 1)] += 1
        self._total += 1
        self._since += 1
        # Quantiles are read for each sub-request and move little between two of them.
        if self._since >= 16:
            self._since = 0
            self._cache.clear()
        if self._total >= FULL:
            self._counts = [count >> 1 for count in self._counts]
            self._total = sum(self._counts)

    def quantile(self, share: float) -> float:
        """Return the latency that `share` of the last ones did not pass; 0 where none is known."""
        cached = self._cache.get(share)
        if cached is not None:
            return cached
        value = self._find(share)
        if self.known:
            self._cache[share] = value
        return value

    def _find(self, share: float) -> float:
        rank = share * self._total
        passed = 0
        for band, count in enumerate(self._counts):
            passed += count
            if passed >= rank and passed > 0:
                return LEAST_MS * BAND_RATIO**band
        return 0.0
