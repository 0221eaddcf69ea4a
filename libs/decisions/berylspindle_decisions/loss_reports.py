"""Share among VMs which replicas have lost responses recently.

A replica may execute requests and lose their responses for some seconds. A request that must not be
repeated fails if its response is lost. Suppose that each of 195 VMs sends a replica one such
request in twenty seconds: without reports, each VM would detect the failure only by losing a
request of its own.

Terms:
  loss    an attempt whose connection closed, or whose response was malformed, after it was sent
  report  replicas with the ages of their last losses, exchanged between VMs; a replica is named by
          its process, so that one that is restarted under its id has no losses

Flow: `on_loss` records this VM's own losses and `merge` the reports of others; `report` returns
this VM's report. `is_lossy` is read when a replica is chosen for a request that must not be
repeated.

Thresholds: a loss counts for `LOSS_TTL_S`, the usual duration of such failures; a healthy replica
that lost a single response gets its share of requests again after that. A report holds the latest
`MAX_REPORTED` replicas at most, with ages rather than times, since clocks differ. An age does not
include the time in transit, so that a loss looks later on each way: one that is later by less than
`SAME_LOSS_S` counts as the known one, or VMs that report to each other would prolong it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

LOSS_TTL_S: Final = 5.0
MAX_REPORTED: Final = 32
SAME_LOSS_S: Final = 1.0


class LossReports:
    """The latest losses known to one VM; times are in seconds of its clock."""

    def __init__(self) -> None:
        self._lost_at: dict[str, float] = {}

    def on_loss(self, now: float, replica: str) -> None:
        """Record a loss by this VM."""
        self._lost_at[replica] = now

    def merge(self, now: float, report: Mapping[str, int]) -> None:
        """Merge another VM's report: replicas with the ages of their losses in milliseconds."""
        for replica, age_ms in report.items():
            lost_at = now - max(0, age_ms) / 1000
            known = self._lost_at.get(replica)
            counts_from = now - LOSS_TTL_S if known is None else known + SAME_LOSS_S
            if lost_at > counts_from:
                self._lost_at[replica] = lost_at

    def report(self, now: float) -> dict[str, int]:
        """Return the latest losses with their ages in milliseconds."""
        self._lost_at = {name: at for name, at in self._lost_at.items() if at > now - LOSS_TTL_S}
        latest = sorted(self._lost_at.items(), key=lambda item: item[1], reverse=True)
        return {name: int((now - at) * 1000) for name, at in latest[:MAX_REPORTED]}

    def is_lossy(self, now: float, replica: str) -> bool:
        """Return whether a replica has had a loss within `LOSS_TTL_S`."""
        lost_at = self._lost_at.get(replica)
        return lost_at is not None and now - lost_at < LOSS_TTL_S
