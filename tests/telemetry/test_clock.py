"""Hybrid logical clock: order of causes and effects, and the bound against wrong clocks."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from berylspindle_model.stamps import MAX_COUNT, Stamp
from berylspindle_telemetry.clock import HybridClock
from berylspindle_telemetry.stamping import MessageStamper

MAX_AHEAD_MS = 500
STAMPS = st.builds(Stamp, st.integers(0, 10_000), st.integers(0, MAX_COUNT))
STEPS = st.lists(st.tuples(st.integers(0, 3000), st.none() | STAMPS), max_size=40)


def make_clock(wall: list[float]) -> HybridClock:
    return HybridClock(lambda: wall[0], max_ahead_ms=MAX_AHEAD_MS)


@given(STEPS)
@settings(derandomize=True, deadline=None, database=None)
def test_stamps_increase_and_stay_near_the_highest_wall_time(
    steps: list[tuple[int, Stamp | None]],
) -> None:
    """Guard against one VM with a wall clock far ahead advancing the stamps of all others.

    Each clock must stay within its bound of the wall-clock time that it has read itself.
    """
    wall = [0.0]
    clock = make_clock(wall)
    highest = 0
    last = clock.tick()
    for wall_ms, remote in steps:
        wall[0] = wall_ms / 1000
        highest = max(highest, wall_ms)
        stamp = clock.tick() if remote is None else clock.merge(remote)
        assert stamp > last
        if remote is not None and remote.millis <= wall_ms + MAX_AHEAD_MS - 1:
            assert stamp > remote
        # Each step with a counter overflow adds one millisecond.
        assert stamp.millis <= highest + MAX_AHEAD_MS + len(steps) + 1
        last = stamp


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=40), st.data())
@settings(derandomize=True, deadline=None, database=None)
def test_effects_of_a_message_sort_after_its_cause(
    messages: list[tuple[int, int]], data: st.DataObject
) -> None:
    """Guard against events that sort before their cause when wall clocks differ.

    The clocks of three VMs differ by up to 400 ms. Events of a receiver after a message must sort
    after the events of the sender before it.
    """
    walls = [[data.draw(st.integers(0, 400)) / 1000] for _ in range(3)]
    clocks = [make_clock(wall) for wall in walls]
    for sender, receiver in messages:
        sent = clocks[sender].tick()
        clocks[receiver].merge(sent)
        assert clocks[receiver].tick() > sent


@given(STAMPS, STAMPS)
@settings(derandomize=True, deadline=None, database=None)
def test_packed_stamps_keep_their_order_and_round_trip(a: Stamp, b: Stamp) -> None:
    assert Stamp.unpack(a.pack()) == a
    assert (a.pack() < b.pack()) == (a < b)


def test_stamp_far_ahead_is_rejected_and_counted() -> None:
    clock = make_clock([1.0])
    assert clock.merge(Stamp(1000 + MAX_AHEAD_MS + 1)) == Stamp(1000)
    assert clock.rejected == 1
    assert clock.merge(Stamp(1000 + MAX_AHEAD_MS)) == Stamp(1000 + MAX_AHEAD_MS, 1)
    assert clock.rejected == 1


def test_stamps_increase_after_the_wall_clock_is_set_back() -> None:
    wall = [2.0]
    clock = make_clock(wall)
    first = clock.tick()
    wall[0] = 1.0
    assert clock.tick() == Stamp(first.millis, first.count + 1)


async def test_effects_of_a_stamped_call_sort_after_its_cause() -> None:
    """Guard against calls whose effects sort before their cause.

    The sender's clock is 300 ms ahead. Events of the receiver, and those of the sender after the
    response, must sort after the events before the call.
    """
    ahead, behind = make_clock([0.4]), make_clock([0.1])
    sender, receiver = MessageStamper(ahead), MessageStamper(behind)
    recorded: list[Stamp] = []

    async def method(request: bytes) -> bytes:
        recorded.append(behind.tick())
        return request.upper()

    cause = ahead.tick()
    answer = sender.strip_stamp(await receiver.wrap_method(method)(sender.add_stamp(b"pull")))
    assert answer == b"PULL"
    assert cause < recorded[0] < ahead.tick()
    with pytest.raises(ValueError, match="no stamp"):
        receiver.strip_stamp(b"short")
