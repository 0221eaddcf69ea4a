"""How many lines are written when five times too much comes."""

from __future__ import annotations

from collections import Counter

from berylspindle_decisions.log_rate_limiter import RATES, LineKind, LogRateLimiter


def test_a_flood_of_refusals_is_bounded_and_hides_no_other_kind() -> None:
    """The log of a minute of overload fills a disk, and the one late request can't be found."""
    budget = LogRateLimiter()
    written: Counter[LineKind] = Counter()
    for millisecond in range(60_000):
        now = millisecond / 1000
        if budget.may_write(now, LineKind.REFUSED):
            written[LineKind.REFUSED] += 1
        if millisecond % 500 == 0 and budget.may_write(now, LineKind.LATE):
            written[LineKind.LATE] += 1
    rate = RATES[LineKind.REFUSED]
    assert written[LineKind.REFUSED] <= 60 * rate.per_second + rate.burst
    assert written[LineKind.REFUSED] >= 60 * rate.per_second
    assert written[LineKind.LATE] == 120


def test_what_was_left_out_is_told_once() -> None:
    budget = LogRateLimiter()
    asked = int(RATES[LineKind.SAMPLE].burst) + 7
    assert sum(budget.may_write(1.0, LineKind.SAMPLE) for _ in range(asked)) == asked - 7
    assert budget.left_out(LineKind.SAMPLE) == 7
    assert budget.left_out(LineKind.SAMPLE) == 0


def test_all_kinds_together_stay_within_the_documented_rate() -> None:
    assert sum(rate.per_second for rate in RATES.values()) <= 70
