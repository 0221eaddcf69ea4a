"""Estimate the load of other VMs at one replica from the replica's load reports.

Load: many VMs send to the same replicas. Each VM knows only its own attempts, and a replica reports
its load with each answer. The last report alone doesn't include requests that were sent after it;
if reports expire early, a replica looks idle to a VM that seldom uses it.

Terms:
  others   requests at the replica that are not this VM's own
  report   running and queued requests of all VMs, sent with an answer
  mean     moving average of the others' requests

Flow: `LoadEstimate.on_report` records each report together with the VM's own attempts, and
`estimate` is called for each replica selection. The estimate decays from the last report to the
mean, and is zero for a replica without reports.
"""

from __future__ import annotations

import math
from typing import Final

# Time constant of the decay from the last report to the mean.
REPORT_DECAY_S: Final = 0.1

# Time constant of the moving average.
MEAN_WINDOW_S: Final = 1.0

# Time constant of the decay of the whole estimate without reports.
ESTIMATE_DECAY_S: Final = 2.0


class LoadEstimate:
    """Estimated requests of other VMs at one replica; times are in seconds of one clock."""

    def __init__(self, *, use_mean: bool = True) -> None:
        """Create an estimate; without `use_mean` only the last report counts."""
        self._use_mean: Final = use_mean
        self._last = 0.0
        self._mean = 0.0
        self._reported_at = -math.inf

    def on_report(self, now: float, *, total: int, own: int) -> None:
        """Record a report of `total` requests at the replica, `own` of them this VM's."""
        others = float(max(0, total - own))
        weight = 1.0 - math.exp(-max(0.0, now - self._reported_at) / MEAN_WINDOW_S)
        self._mean += weight * (others - self._mean)
        self._last = others
        self._reported_at = now

    def estimate(self, now: float) -> float:
        """Return the estimated number of other VMs' requests."""
        age = max(0.0, now - self._reported_at)
        if age > 4 * ESTIMATE_DECAY_S:
            return 0.0
        mean = self._mean if self._use_mean else 0.0
        expected = mean + (self._last - mean) * math.exp(-age / REPORT_DECAY_S)
        return expected * math.exp(-age / ESTIMATE_DECAY_S)
