"""Limit the hedges and retries of one VM at a service to its share of a cluster-wide budget.

Load: stragglers, rejections and failures cause hedges and retries on every VM at once. Without a
limit over all VMs, a degraded service gets twice its load when it can serve half.

Terms:
  request   a caller's request on a route to the service, whether or not it was forwarded
  extra     an arrival at the service beyond the first of a request: hedge, retry or re-route
  window    sliding interval over which the limit holds
  ratio     extras allowed per request
  slack     extras allowed in addition, for all VMs together

Flow: `SharedRetryBudget.on_request` counts each request, `allows` is called before each extra and
`take` counts it. The ratio applies to the VM's own requests, so that all VMs together stay within
the limit for any distribution of requests; the slack is divided by the number of VMs.

Limits: counts are kept in steps. The oldest step counts in full for extras and not at all for
requests, so that no window exceeds the limit. `SAFETY_FACTOR` leaves a part for VMs that the others
do not know yet. The slack of a VM that has just started grows over one window, since the previous
process of this VM may have used the slack already. Hedges may use `HEDGE_SHARE_MAX` of the budget,
which leaves the rest for retries.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

STEPS: Final = 20
SAFETY_FACTOR: Final = 0.95
HEDGE_SHARE_MAX: Final = 0.85
INITIAL_SLACK_SHARE: Final = 0.4


@attrs.frozen(kw_only=True)
class SharedBudgetOptions:
    """Limit over all VMs: extras per request, additional extras, and window in seconds."""

    ratio: float = 0.2
    slack: float = 56.0
    window: float = 10.0


class _WindowSum:
    """Sum over a sliding window, kept in steps."""

    __slots__ = ("_max_steps", "_step_s", "_steps", "total")

    def __init__(self, window: float, max_steps: int) -> None:
        self._step_s = window / STEPS
        self._max_steps = max_steps
        self._steps: deque[list[float]] = deque()
        self.total = 0.0

    def add(self, now: float, n: float) -> None:
        self.expire(now)
        if self._steps and now - self._steps[-1][0] < self._step_s:
            self._steps[-1][1] += n
        else:
            self._steps.append([now, n])
        self.total += n

    def expire(self, now: float) -> None:
        # A step is expired by its start; its values are up to `_step_s` seconds younger.
        cutoff = now - self._step_s * self._max_steps
        while self._steps and self._steps[0][0] < cutoff:
            self.total -= self._steps.popleft()[1]


class SharedRetryBudget:
    """Budget of one VM for extras at one service."""

    def __init__(self, bounds: SharedBudgetOptions, *, started: float) -> None:
        self._bounds: Final = bounds
        self._started: Final = started
        self._requests: Final = _WindowSum(bounds.window, STEPS)
        self._extras: Final = _WindowSum(bounds.window, STEPS + 1)

    def on_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.add(now, 1.0)

    def available(self, now: float, *, vms: int) -> float:
        """Return the number of extras that are allowed now, of all kinds."""
        self._requests.expire(now)
        self._extras.expire(now)
        age = max(0.0, now - self._started) / self._bounds.window
        slack_share = min(1.0, INITIAL_SLACK_SHARE + (1.0 - INITIAL_SLACK_SHARE) * age)
        slack = self._bounds.slack * slack_share / max(1, vms)
        allowed = SAFETY_FACTOR * (self._bounds.ratio * self._requests.total + slack)
        return allowed - self._extras.total

    def allows(self, now: float, *, vms: int, hedge: bool) -> bool:
        """Return whether one more extra is allowed; hedges leave a part for retries."""
        left = self.available(now, vms=vms)
        if not hedge:
            return left >= 1.0
        allowed = left + self._extras.total
        return left - (1.0 - HEDGE_SHARE_MAX) * allowed >= 1.0

    def take(self, now: float) -> None:
        """Count one extra."""
        self._extras.add(now, 1.0)
