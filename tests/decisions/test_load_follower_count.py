"""How many VMs follow one that speaks for them."""

from __future__ import annotations

from berylspindle_decisions.follower_count import DECREASE_DELAY_S, FollowerCount


def reads(count: FollowerCount, start: float, end: float, followers: int) -> None:
    """Let so many followers read once a second."""
    now = start
    while now < end:
        for number in range(followers):
            count.seen(now, f"vm-{number}", bears=0.5 + number)
        now += 1.0


def test_a_count_rises_at_once_and_falls_late() -> None:
    """Guards against shares of budgets that grow while followers restart or read another mirror."""
    count = FollowerCount()
    assert count.count(0.0) == 0
    assert count.least_bears() == 0.0
    reads(count, 0.0, 10.0, 30)
    assert count.count(10.0) == 30
    assert count.least_bears() == 0.5
    reads(count, 10.0, 10.0 + DECREASE_DELAY_S, 10)
    assert count.count(9.0 + DECREASE_DELAY_S) == 30
    reads(count, 10.0 + DECREASE_DELAY_S, 14.0 + DECREASE_DELAY_S, 10)
    assert count.count(14.0 + DECREASE_DELAY_S) == 10
    reads(count, 14.0 + DECREASE_DELAY_S, 15.0 + DECREASE_DELAY_S, 40)
    assert count.count(15.0 + DECREASE_DELAY_S) == 40


def test_an_entry_is_written_anew_for_changes_that_matter() -> None:
    """Guards against a write to the store for each follower that comes or goes."""
    count = FollowerCount()
    reads(count, 0.0, 1.0, 30)
    assert count.is_due(1.0, 0)
    assert not count.is_due(1.0, 28)
    assert count.is_due(1.0, 20)
    assert not FollowerCount().is_due(0.0, 0)
