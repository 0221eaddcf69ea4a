"""Limits of the log lines during an overload."""

from __future__ import annotations

from collections import Counter

from berylspindle_decisions.log_rate_limiter import RATES, LineKind, LogRateLimiter


def test_the_lines_of_many_refusals_are_limited_and_hide_no_other_kind() -> None:
    """Guard against an overload whose log lines fill the disk and hide the few late requests."""
    limiter = LogRateLimiter()
    written: Counter[LineKind] = Counter()
    for millisecond in range(60_000):
        now = millisecond / 1000
        if limiter.allow(now, LineKind.REFUSED):
            written[LineKind.REFUSED] += 1
        if millisecond % 500 == 0 and limiter.allow(now, LineKind.LATE):
            written[LineKind.LATE] += 1
    rate = RATES[LineKind.REFUSED]
    assert written[LineKind.REFUSED] <= 60 * rate.per_second + rate.burst
    assert written[LineKind.REFUSED] >= 60 * rate.per_second
    assert written[LineKind.LATE] == 120


def test_the_number_of_suppressed_lines_is_returned_once() -> None:
    limiter = LogRateLimiter()
    attempts = int(RATES[LineKind.SAMPLE].burst) + 7
    assert sum(limiter.allow(1.0, LineKind.SAMPLE) for _ in range(attempts)) == attempts - 7
    assert limiter.take_suppressed_count(LineKind.SAMPLE) == 7
    assert limiter.take_suppressed_count(LineKind.SAMPLE) == 0


def test_all_kinds_together_stay_within_the_documented_rate() -> None:
    assert sum(rate.per_second for rate in RATES.values()) <= 70
