"""The hybrid logical clock: order, cause before effect, and its bound."""

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
def test_stamps_grow_and_stay_near_the_greatest_wall_time(
    steps: list[tuple[int, Stamp | None]],
) -> None:
    """A user sees events of today stamped next week.

    One VM's wall clock is far ahead; its messages reach the others; they adopt its time and
    keep it. Each clock must stay within its bound of the wall time that it has read itself.
    """
    wall = [0.0]
    clock = make_clock(wall)
    greatest = 0
    last = clock.tick()
    for wall_ms, remote in steps:
        wall[0] = wall_ms / 1000
        greatest = max(greatest, wall_ms)
        stamp = clock.tick() if remote is None else clock.merge(remote)
        assert stamp > last
        if remote is not None and remote.millis <= wall_ms + MAX_AHEAD_MS - 1:
            assert stamp > remote
        # One millisecond more for each step whose counter was full.
        assert stamp.millis <= greatest + MAX_AHEAD_MS + len(steps) + 1
        last = stamp


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=40), st.data())
@settings(derandomize=True, deadline=None, database=None)
def test_a_message_s_effect_sorts_after_its_cause(
    messages: list[tuple[int, int]], data: st.DataObject
) -> None:
    """A user sees a VM lose a server before the event that made it lose it.

    Three VMs' clocks differ by up to 400 ms; a message goes from one that is ahead to one that is
    behind. What the receiver records after the message must sort after what the sender did before.
    """
    walls = [[data.draw(st.integers(0, 400)) / 1000] for _ in range(3)]
    clocks = [make_clock(wall) for wall in walls]
    for sender, receiver in messages:
        sent = clocks[sender].tick()
        clocks[receiver].merge(sent)
        assert clocks[receiver].tick() > sent


@given(STAMPS, STAMPS)
@settings(derandomize=True, deadline=None, database=None)
def test_packed_stamps_sort_alike_and_come_back(a: Stamp, b: Stamp) -> None:
    assert Stamp.unpack(a.pack()) == a
    assert (a.pack() < b.pack()) == (a < b)


def test_a_stamp_far_ahead_is_counted_and_not_adopted() -> None:
    clock = make_clock([1.0])
    assert clock.merge(Stamp(1000 + MAX_AHEAD_MS + 1)) == Stamp(1000)
    assert clock.rejected == 1
    assert clock.merge(Stamp(1000 + MAX_AHEAD_MS)) == Stamp(1000 + MAX_AHEAD_MS, 1)
    assert clock.rejected == 1


def test_a_wall_clock_set_back_does_not_set_the_stamps_back() -> None:
    wall = [2.0]
    clock = make_clock(wall)
    first = clock.tick()
    wall[0] = 1.0
    assert clock.tick() == Stamp(first.millis, first.count + 1)


async def test_a_sealed_call_puts_the_answer_s_effects_last() -> None:
    """A user sees a VM adopt a revision before the VM that told it of the revision.

    The sender's clock is 300 ms ahead. The receiver's answer, and all that the sender records on
    it, must sort after what both recorded before.
    """
    ahead, behind = make_clock([0.4]), make_clock([0.1])
    sender, receiver = MessageStamper(ahead), MessageStamper(behind)
    recorded: list[Stamp] = []

    async def method(request: bytes) -> bytes:
        recorded.append(behind.tick())
        return request.upper()

    cause = ahead.tick()
    answer = sender.open(await receiver.sealing(method)(sender.seal(b"pull")))
    assert answer == b"PULL"
    assert cause < recorded[0] < ahead.tick()
    with pytest.raises(ValueError, match="no stamp"):
        receiver.open(b"short")
