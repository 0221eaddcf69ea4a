"""The count of a VM's followers that have no entry of their own in the store."""

from __future__ import annotations

from berylspindle_decisions.follower_count import DECREASE_DELAY_S, FollowerCount


def record_reads(count: FollowerCount, start: float, end: float, followers: int) -> None:
    """Record one read a second by each of the followers."""
    now = start
    while now < end:
        for number in range(followers):
            count.on_read(now, f"vm-{number}", capacity=0.5 + number)
        now += 1.0


def test_a_count_rises_at_once_and_falls_with_a_delay() -> None:
    """Guard against budget shares that grow while followers restart or read another mirror."""
    count = FollowerCount()
    assert count.count(0.0) == 0
    assert count.min_capacity() == 0.0
    record_reads(count, 0.0, 10.0, 30)
    assert count.count(10.0) == 30
    assert count.min_capacity() == 0.5
    record_reads(count, 10.0, 10.0 + DECREASE_DELAY_S, 10)
    assert count.count(9.0 + DECREASE_DELAY_S) == 30
    record_reads(count, 10.0 + DECREASE_DELAY_S, 14.0 + DECREASE_DELAY_S, 10)
    assert count.count(14.0 + DECREASE_DELAY_S) == 10
    record_reads(count, 14.0 + DECREASE_DELAY_S, 15.0 + DECREASE_DELAY_S, 40)
    assert count.count(15.0 + DECREASE_DELAY_S) == 40


def test_an_entry_is_written_again_only_for_large_changes() -> None:
    """Guard against a write to the store for each new or lost follower."""
    count = FollowerCount()
    record_reads(count, 0.0, 1.0, 30)
    assert count.needs_write(1.0, 0)
    assert not count.needs_write(1.0, 28)
    assert count.needs_write(1.0, 20)
    assert not FollowerCount().needs_write(0.0, 0)
