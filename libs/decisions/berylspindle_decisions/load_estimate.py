"""Estimate the load of other VMs at one replica from the replica's load reports.

Pattern of load: many VMs send to the same replicas, each knows only its own attempts, and a replica
reports its load with each answer. A VM that takes the last report for the whole load forgets what
it has sent since; one that drops reports early takes a replica that it seldom asks for idle.

Terms:
  others   requests at the replica that are not this VM's own
  report   running and waiting requests of all VMs, sent with an answer
  mean     moving average of the others' requests

Flow: `reported` takes each report with this VM's own attempts, `at` is asked for each choice. The
estimate decays from the last report to the mean, and is zero for a replica that reports nothing.
"""

from __future__ import annotations

import math
from typing import Final

REPORT_MEMORY: Final = 0.1
"""Seconds over which the last report gives way to the mean."""

MEAN_MEMORY: Final = 1.0
"""Seconds over which the mean follows the reports."""

FORGET: Final = 2.0
"""Seconds over which the mean itself is forgotten where no report comes."""


class LoadEstimate:
    """Requests of other VMs at one replica; times are in seconds of the caller's clock."""

    def __init__(self, *, minds_mean: bool = True) -> None:
        """Take whether what others usually have counts beside the last report."""
        self._minds_mean: Final = minds_mean
        self._last = 0.0
        self._mean = 0.0
        self._at = -math.inf

    def reported(self, now: float, *, total: int, own: int) -> None:
        """Take a report of all requests there, of which `own` are this VM's."""
        others = float(max(0, total - own))
        weight = 1.0 - math.exp(-max(0.0, now - self._at) / MEAN_MEMORY)
        self._mean += weight * (others - self._mean)
        self._last = others
        self._at = now

    def at(self, now: float) -> float:
        """Return how many requests of others are expected to be there."""
        age = max(0.0, now - self._at)
        if age > 4 * FORGET:
            return 0.0
        mean = self._mean if self._minds_mean else 0.0
        expected = mean + (self._last - mean) * math.exp(-age / REPORT_MEMORY)
        return expected * math.exp(-age / FORGET)
