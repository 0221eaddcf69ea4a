"""Bound the hedges and retries of one VM at a service: its share of the fleet's budget.

Pattern of load: stragglers, sheds and failures breed hedges and retries on every VM at once.
Without a bound over all VMs a service in trouble gets twice its load just when it can serve half.

Terms:
  request   a caller's request on a route to the service, whether or not it went further
  extra     an arrival at the service beyond the first of a request: hedge, retry, re-route
  window    the span over which the bound holds, wherever it begins
  ratio     extras allowed for each request
  slack     extras allowed besides, to all VMs together

Flow: `on_request` for each request, `may_take` before each extra, `take` for each one. The ratio
part follows the VM's own requests, so that the sum over all VMs is right however uneven they are;
the slack is divided by the number of VMs.

Guards: counts are kept in steps. Of the extras the oldest step counts whole, of the requests not at
all, so that no window holds more than is allowed. `SAFETY` leaves a part for VMs that others have
not counted yet. A VM that has just started gains its slack over one window, for its last process
may have used it up. Hedges get `HEDGE_PART` of the whole, so that retries are possible when hedges
have used theirs.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

STEPS: Final = 20
SAFETY: Final = 0.95
HEDGE_PART: Final = 0.85
FIRST_SLACK: Final = 0.4


@attrs.frozen(kw_only=True)
class SharedBudgetOptions:
    """The bound over all VMs; `window` is in seconds."""

    ratio: float = 0.2
    slack: float = 56.0
    window: float = 10.0


class _Sum:
    """A sum over the last window, in steps."""

    __slots__ = ("_kept", "_length", "_steps", "total")

    def __init__(self, window: float, kept: int) -> None:
        self._length = window / STEPS
        self._kept = kept
        self._steps: deque[list[float]] = deque()
        self.total = 0.0

    def add(self, now: float, n: float) -> None:
        self.age(now)
        if self._steps and now - self._steps[-1][0] < self._length:
            self._steps[-1][1] += n
        else:
            self._steps.append([now, n])
        self.total += n

    def age(self, now: float) -> None:
        # A step's youngest part is one step younger than its start.
        oldest = now - self._length * self._kept
        while self._steps and self._steps[0][0] < oldest:
            self.total -= self._steps.popleft()[1]


class SharedRetryBudget:
    """The extras of one VM at one service."""

    def __init__(self, bounds: SharedBudgetOptions, *, started: float) -> None:
        self._bounds: Final = bounds
        self._started: Final = started
        self._requests: Final = _Sum(bounds.window, STEPS)
        self._extras: Final = _Sum(bounds.window, STEPS + 1)

    def on_request(self, now: float) -> None:
        """Note a caller's request."""
        self._requests.add(now, 1.0)

    def left(self, now: float, *, vms: int) -> float:
        """Return how many more extras are allowed now, of all kinds."""
        self._requests.age(now)
        self._extras.age(now)
        age = max(0.0, now - self._started) / self._bounds.window
        grown = min(1.0, FIRST_SLACK + (1.0 - FIRST_SLACK) * age)
        slack = self._bounds.slack * grown / max(1, vms)
        allowed = SAFETY * (self._bounds.ratio * self._requests.total + slack)
        return allowed - self._extras.total

    def may_take(self, now: float, *, vms: int, hedge: bool) -> bool:
        """Tell whether one more extra is allowed; a hedge leaves a part for retries."""
        left = self.left(now, vms=vms)
        if not hedge:
            return left >= 1.0
        allowed = left + self._extras.total
        return left - (1.0 - HEDGE_PART) * allowed >= 1.0

    def take(self, now: float) -> None:
        """Note one extra."""
        self._extras.add(now, 1.0)
