"""Quotas in even shares."""

from __future__ import annotations

from berylspindle_decisions.even_share import EvenShare
from berylspindle_decisions.quota_limits import QuotaBounds, quota_limit

BOUNDS = QuotaBounds()


def test_shares_of_all_vms_stay_within_the_bound_together() -> None:
    """Guard against shares that add up to more than the limit."""
    limit = quota_limit(30.0, 30.0, BOUNDS)
    assert limit is not None
    shares = [EvenShare(limit, 0.0, 8) for _ in range(8)]
    times = [step * 0.01 for step in range(520)]
    taken = sum(share.take(now, 8) for now in times for share in shares)
    assert 0.9 * 30.0 * 5.0 <= taken <= BOUNDS.allowed(30.0, 30.0)


def test_refused_request_is_told_when_the_next_token_comes() -> None:
    """Guard against callers that come back too early."""
    limit = quota_limit(1.0, 0.0, BOUNDS)
    assert limit is not None
    share = EvenShare(limit, 0.0, 100)
    assert share.take(0.0, 100)
    assert not share.take(0.0, 100)
    assert not share.take(share.retry_after_s() - 0.1, 100)
    assert share.take(100.0, 100)
