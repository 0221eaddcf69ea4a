"""Which replicas have lost answers lately, as all VMs together have seen it.

Pattern of load: a replica runs requests and loses their answers for some seconds. A request that
may not be repeated is lost with its answer. Where each of 195 VMs sends a replica one such request
in twenty seconds, each has to lose one of its own to learn of it.

Terms:
  loss    an attempt whose connection ended, or whose reply broke, after it had been sent
  report  replicas with the age of their last loss, as VMs tell each other

Flow: `lost` is told of this VM's own losses, `merge` of others' reports; `report` is what it tells
them. `is_lossy` is asked when a replica is chosen for what may not be repeated.

Thresholds: a loss counts for `LOSS_S`, as long as such troubles mostly last; a sound replica that
lost one answer has its part of the work again after that. A report names `MOST` replicas at most,
the latest ones, and ages rather than times, since clocks differ.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

LOSS_S: Final = 5.0
MOST: Final = 32


class LossReports:
    """The last losses that one VM knows; times are in seconds of its clock."""

    def __init__(self) -> None:
        self._lost_at: dict[str, float] = {}

    def lost(self, now: float, replica: str) -> None:
        """Note an answer that this VM has lost."""
        self._lost_at[replica] = now

    def merge(self, now: float, report: Mapping[str, int]) -> None:
        """Take another VM's report: replicas with the ages of their losses in milliseconds."""
        for replica, age_ms in report.items():
            lost_at = now - max(0, age_ms) / 1000
            if lost_at > self._lost_at.get(replica, now - LOSS_S):
                self._lost_at[replica] = lost_at

    def report(self, now: float) -> dict[str, int]:
        """Return the latest losses with their ages in milliseconds."""
        self._lost_at = {name: at for name, at in self._lost_at.items() if at > now - LOSS_S}
        latest = sorted(self._lost_at.items(), key=lambda item: item[1], reverse=True)
        return {name: int((now - at) * 1000) for name, at in latest[:MOST]}

    def is_lossy(self, now: float, replica: str) -> bool:
        """Return whether a replica has lost an answer within `LOSS_S`."""
        lost_at = self._lost_at.get(replica)
        return lost_at is not None and now - lost_at < LOSS_S
