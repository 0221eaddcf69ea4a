"""Estimate the drain rate of a queue or server, for the Retry-After of refusals.

With a fixed Retry-After, callers of a saturated service return to the same full queue if it is too
short, and backend servers are idle if it is too long.

Terms:
  drain rate   work finished per second, over the latest completions
  reservation  the time at which a refused request should be retried; each refused request gets a
               time of its own

Flow: `DrainRate.on_done` records finished work; `wait_ms` converts the work ahead into a time, and
`reserve_retry_after_ms` reserves a retry time for each refused request.

Thresholds: the rate covers the last 32 completions. Queues hold some dozens of requests, and older
completions don't show the rate of a server that has just become slow. The time since the last
completion counts too, so that the rate of a stalled server falls. Reservations reach 5 s ahead at
most, since some callers don't retry. If all refusals contain the time of the next free place, a
caller sends 37 times until it is admitted; with reservations it sends twice, at the same throughput
and wait.
"""

from __future__ import annotations

from collections import deque
from typing import Final

WINDOW: Final = 32
MAX_WAIT_MS: Final = 10_000
MIN_WAIT_MS: Final = 1
MAX_RESERVATION_MS: Final = 5_000


class DrainRate:
    """The drain rate of one queue or one server."""

    def __init__(self, window: int = WINDOW) -> None:
        # Time of a completion, and the work it finished.
        self._done: deque[tuple[float, float]] = deque(maxlen=window)
        self._reserved_until = float("-inf")

    def on_done(self, now: float, work: float = 1.0) -> None:
        """Record work that finished at `now`."""
        self._done.append((now, work))

    def rate(self, now: float) -> float | None:
        """Return the work finished per second, or None with fewer than two completions."""
        if len(self._done) < 2:
            return None
        first = self._done[0][0]
        # The first completion only starts the interval; its work was done before.
        work = sum(part for _, part in self._done) - self._done[0][1]
        # With a completion every `gap` seconds, the next one is due one gap after the last; only
        # idle time beyond that lowers the rate.
        span = self._done[-1][0] - first
        idle = now - self._done[-1][0]
        gap = span / (len(self._done) - 1)
        span += max(0.0, idle - gap)
        return work / span if span > 0 else None

    def reserve_retry_after_ms(
        self, now: float, *, ahead: float = 1.0, work: float = 1.0
    ) -> int | None:
        """Reserve a retry time for refused work; return the milliseconds until then.

        `ahead` is the work that must finish until there is room for `work`. Each reservation
        follows the earlier ones: with a common time, all callers refused together would retry
        together for a single free place. Return None if the drain rate is not known.
        """
        rate = self.rate(now)
        if rate is None:
            return None
        earliest = now + max(0.0, ahead - work) / rate
        # Some callers don't retry, so reservations must not accumulate without a limit.
        latest = now + MAX_RESERVATION_MS / 1000
        self._reserved_until = min(max(self._reserved_until, earliest) + work / rate, latest)
        return max(MIN_WAIT_MS, round((self._reserved_until - now) * 1000))

    def wait_ms(self, now: float, ahead: float) -> int | None:
        """Return the milliseconds until `ahead` units of work are done, or None if not known."""
        rate = self.rate(now)
        if rate is None:
            return None
        return int(min(MAX_WAIT_MS, max(MIN_WAIT_MS, ahead / rate * 1000)))
