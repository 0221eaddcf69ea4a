"""Decide when a sub-request is hedged: the delay, signs of saturation and the budget.

Load: stragglers in a wide fan-out. The slowest of ten shards sets the latency, so one slow answer
in a hundred affects one caller in ten. Without a budget, hedges double the load when every replica
is slow, which slows all of them further.

Terms:
  hedge       a second attempt at another replica while the first is in flight
  delay       how long the first attempt has been in flight before a hedge may start
  saturation  more sub-requests exceed the delay than stragglers explain, because of load

Flow: `HedgePolicy.observe` records answered first attempts, `observe_cancelled` cancelled ones. The
entry sets a timer of `delay_ms` for each first attempt and calls `decide` when it fires.

Delay: the latency quantile of recent first attempts at which hedges use 0.6 of the budget. It is
capped at 4 times the median: with many stragglers the quantile is a straggler's latency, and the
hedge would start too late. As the last tokens are spent the delay grows up to double, so that the
remaining tokens go to the slowest attempts. The delay is computed once per window and not per
request, since a percentile of hdrhistogram takes 0.2 ms; with a window of 500 observations or 10 s,
the delay follows a shift of the latency within seconds.

Saturation stops all hedges. There are two signs of it, and either is enough:
  * The share of the last 300 attempts that exceeded the current delay is more than 4 times the
    expected one. Over 100 attempts, a cluster of stragglers would be mistaken for saturation.
  * More than 0.4 of the latency is queueing delay at owners. At 130% load, hedges would then reduce
    the share of complete answers from 75% by 8 percentage points.
"""

from __future__ import annotations

import enum
from collections import deque
from typing import Final

import attrs
from hdrh.histogram import HdrHistogram

from berylspindle_decisions.budget import BudgetOptions, ExtraBudget

_LOWEST_US: Final = 1
_HIGHEST_US: Final = 60_000_000
_DIGITS: Final = 2


class HedgeVerdict(enum.Enum):
    """Result of a hedging decision; all but GO name the reason against a hedge."""

    GO = "go"
    NOT_REPEATABLE = "not_repeatable"
    CONNECTION_LOST = "connection_lost"
    TOO_EARLY = "too_early"
    TOO_LATE = "too_late"
    SATURATED = "saturated"
    NO_BUDGET = "no_budget"


@attrs.frozen(kw_only=True)
class HedgeOptions:
    """Settings of hedging.

    Attributes:
        share: maximum ratio of hedges to first attempts, 0 to 1.
        reserve: hedges available before any first attempt has earned tokens; more than a few
            would exceed `share` in a short run.
        aim: share of the budget that the delay is set to use, 0 to 1; the rest is headroom for
            shifts of the latency.
        spread: maximum delay as a multiple of the median.
        min_delay_ms: minimum delay.
        cold_delay_ms: delay while there are too few observations.
        min_samples: observations required before the delay is computed.
        window: observations after which the delay is recomputed.
        window_s: seconds after which it is recomputed in any case.
        saturated_factor: multiple of the expected share of attempts over the delay from which the
            service counts as saturated.
        recent: observations over which that share is counted.
        queued_share: share of the latency spent in owners' queues from which the service counts
            as saturated, 0 to 1.
        smoothing: weight of a new answer in the moving averages of latency and queueing delay,
            0 to 1.
        low_tokens: tokens below which the delay grows, so that the last ones go to the slowest
            attempts.
        stretch: relative increase of the delay when no token is left.
    """

    share: float = 0.05
    reserve: float = 1.0
    aim: float = 0.6
    spread: float = 4.0
    min_delay_ms: float = 2.0
    cold_delay_ms: float = 50.0
    min_samples: int = 50
    window: int = 500
    window_s: float = 10.0
    saturated_factor: float = 4.0
    recent: int = 300
    queued_share: float = 0.4
    smoothing: float = 0.01
    low_tokens: float = 5.0
    stretch: float = 1.0


class HedgePolicy:
    """Hedging decisions of one entry for one service."""

    def __init__(
        self, options: HedgeOptions | None = None, budget: ExtraBudget | None = None
    ) -> None:
        self._options = options or HedgeOptions()
        self._budget = budget or ExtraBudget(
            BudgetOptions(share=self._options.share, reserve=self._options.reserve)
        )
        self._histogram = _new_histogram()
        self._count = 0
        self._window_start: float | None = None
        self._delay_ms = self._options.cold_delay_ms
        self._has_delay = False
        self._over_delay: deque[bool] = deque(maxlen=self._options.recent)
        self._over_delay_count = 0
        self._mean_queued_ms = 0.0
        self._mean_latency_ms = 0.0

    @property
    def budget(self) -> ExtraBudget:
        """Return the hedge budget with its counters."""
        return self._budget

    @property
    def delay_ms(self) -> float:
        """Return how long a first attempt is in flight before its hedge may start."""
        low = self._options.low_tokens
        scarcity = max(0.0, 1.0 - self._budget.tokens / low) if low > 0 else 0.0
        return self._delay_ms * (1.0 + self._options.stretch * scarcity)

    @property
    def is_saturated(self) -> bool:
        """Return whether latency is caused by load, so that hedges would only add to it."""
        if self._mean_queued_ms > self._options.queued_share * self._mean_latency_ms:
            return True
        if not self._has_delay or len(self._over_delay) < self._options.recent:
            return False
        expected = self._options.share * self._options.recent
        return self._over_delay_count > self._options.saturated_factor * expected

    def on_first_attempt(self, count: int = 1) -> None:
        """Count first attempts, which earn tokens for hedges."""
        self._budget.on_first_attempt(count)

    def observe(self, now: float, latency_ms: float, *, queued_ms: float = 0.0) -> None:
        """Record latency and queueing delay at the owner of an answered first attempt."""
        weight = self._options.smoothing
        self._mean_queued_ms += weight * (queued_ms - self._mean_queued_ms)
        self._mean_latency_ms += weight * (latency_ms - self._mean_latency_ms)
        self._record(now, latency_ms)

    def observe_cancelled(self, now: float, elapsed_ms: float) -> None:
        """Record a first attempt that was cancelled because its hedge answered.

        Ignoring these would leave only fast attempts in the histogram: the delay would shrink,
        more hedges would start and more slow attempts would be ignored.
        """
        self._record(now, elapsed_ms)

    def decide(
        self,
        *,
        elapsed_ms: float,
        left_ms: float,
        repeatable: bool,
        connection_lost: bool = False,
    ) -> HedgeVerdict:
        """Return whether a hedge starts now; GO has already spent a token."""
        if not repeatable:
            return HedgeVerdict.NOT_REPEATABLE
        if connection_lost:
            # The request may have crashed the server; a hedge could crash a second one.
            return HedgeVerdict.CONNECTION_LOST
        if elapsed_ms < self.delay_ms:
            return HedgeVerdict.TOO_EARLY
        if left_ms < self._options.min_delay_ms:
            return HedgeVerdict.TOO_LATE
        if self.is_saturated:
            return HedgeVerdict.SATURATED
        if not self._budget.take():
            return HedgeVerdict.NO_BUDGET
        return HedgeVerdict.GO

    def _record(self, now: float, latency_ms: float) -> None:
        value_us = min(max(int(latency_ms * 1000), _LOWEST_US), _HIGHEST_US)
        self._histogram.record_value(value_us)
        self._count += 1
        self._record_over_delay(latency_ms > self._delay_ms)
        if self._window_start is None:
            self._window_start = now
        aged = now - self._window_start > self._options.window_s
        if self._count >= self._options.window or aged or not self._has_delay:
            self._update_delay(now)

    def _record_over_delay(self, over_delay: bool) -> None:
        if len(self._over_delay) == self._over_delay.maxlen:
            self._over_delay_count -= self._over_delay[0]
        self._over_delay.append(over_delay)
        self._over_delay_count += over_delay

    def _update_delay(self, now: float) -> None:
        if self._count < self._options.min_samples:
            return
        percentile = 100 * (1 - self._options.share * self._options.aim)
        quantile_ms = self._histogram.get_value_at_percentile(percentile) / 1000
        median_ms = self._histogram.get_value_at_percentile(50) / 1000
        delay_ms = min(quantile_ms, median_ms * self._options.spread)
        self._delay_ms = max(delay_ms, self._options.min_delay_ms)
        self._has_delay = True
        self._histogram = _new_histogram()
        self._count = 0
        self._window_start = now


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
