"""Divide the quota of an organisation evenly among all VMs, without messages.

Load: as for `quota_limits`. This is the alternative that lending of tokens is compared with: it
refuses requests of organisations whose callers use few VMs, or whose limit is small.

Flow: `take` is called for each request with the number of VMs known at that time.

The bucket of a VM holds its part of the excess, but at least one token, since no request could be
admitted otherwise. While the excess is smaller than the number of VMs, the bound is exceeded by up
to that number if all VMs are used at once.
"""

from __future__ import annotations

import math

from berylspindle_decisions.quota_limits import QuotaLimit


class EvenShare:
    """Token bucket of one organisation on one VM; times are in seconds of the caller's clock."""

    __slots__ = ("_level", "_limit", "_updated_at", "_vms")

    def __init__(self, limit: QuotaLimit, now: float, vms: int) -> None:
        """Create a full bucket for one of `vms` VMs."""
        self._limit = limit
        self._vms = vms
        self._level = self.depth
        self._updated_at = now

    @property
    def depth(self) -> float:
        """Return the size of the bucket in tokens."""
        return max(1.0, self._limit.excess / self._vms)

    @property
    def level(self) -> float:
        """Return the tokens that were left at the last call."""
        return self._level

    def set_limit(self, limit: QuotaLimit) -> None:
        """Replace the limit of all VMs together."""
        self._limit = limit
        self._level = min(self._level, self.depth)

    def take(self, now: float, vms: int) -> bool:
        """Spend one token; return False if there is none."""
        refill = max(0.0, now - self._updated_at) * self._limit.rate / self._vms
        self._updated_at, self._vms = now, vms
        self._level = min(self.depth, self._level + refill)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def retry_after_s(self) -> float:
        """Return the seconds until the next token, after a `take` that returned False.

        Infinity if the rate is 0.
        """
        if self._limit.rate <= 0.0:
            return math.inf
        return (1.0 - self._level) * self._vms / self._limit.rate
