"""Quantiles of the latency of a route's sub-requests, over the last few hundred of them.

Load: routes whose requests differ in work by a factor of ten share the same backend servers.
Without a profile for each route, a hedge delay that fits the long requests detects no straggler
among the short ones, and one that fits the short requests hedges every long one.

Terms:
  band   a range of latencies that count as one; each is `BAND_RATIO` times as wide as the last

Flow: `LatencyProfile.add` records each latency; `quantile` is computed from counts per band. Counts
are halved when their sum reaches `MAX_SAMPLES`, so that the quantiles follow a shift of the latency
after about `MAX_SAMPLES` new latencies.

Limits: bands of 7% are fine enough, since a more exact hedge delay brings no gain. 512 latencies,
`MAX_SAMPLES`, are some seconds of one VM's sub-requests, and about five of them are among the
slowest hundredth. With fewer than `MIN_SAMPLES`, a single straggler could determine a quantile.
"""

from __future__ import annotations

import math
from typing import Final

MIN_LATENCY_MS: Final = 0.5
BAND_RATIO: Final = 1.07
BAND_COUNT: Final = 160
MAX_SAMPLES: Final = 512
MIN_SAMPLES: Final = 30
_LOG_RATIO: Final = math.log(BAND_RATIO)


class LatencyProfile:
    """Histogram of latencies in milliseconds."""

    def __init__(self) -> None:
        self._counts = [0] * BAND_COUNT
        self._total = 0
        self._cache: dict[float, float] = {}
        self._added_since_clear = 0

    @property
    def has_enough_samples(self) -> bool:
        """Return whether there are enough latencies for a quantile."""
        return self._total >= MIN_SAMPLES

    def add(self, ms: float) -> None:
        """Record one latency in milliseconds."""
        band = int(math.log(ms / MIN_LATENCY_MS) / _LOG_RATIO) + 1 if ms > MIN_LATENCY_MS else 0
        self._counts[min(band, BAND_COUNT - 1)] += 1
        self._total += 1
        self._added_since_clear += 1
        # Quantiles are read for each sub-request and change little from one to the next.
        if self._added_since_clear >= 16:
            self._added_since_clear = 0
            self._cache.clear()
        if self._total >= MAX_SAMPLES:
            self._counts = [count >> 1 for count in self._counts]
            self._total = sum(self._counts)

    def quantile(self, share: float) -> float:
        """Return the latency that `share` of the latest ones do not exceed; 0 if there are none."""
        cached = self._cache.get(share)
        if cached is not None:
            return cached
        value = self._compute_quantile(share)
        if self.has_enough_samples:
            self._cache[share] = value
        return value

    def _compute_quantile(self, share: float) -> float:
        rank = share * self._total
        cumulative = 0
        for band, count in enumerate(self._counts):
            cumulative += count
            if cumulative >= rank and cumulative > 0:
                return MIN_LATENCY_MS * BAND_RATIO**band
        return 0.0
