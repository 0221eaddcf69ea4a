"""Test the limits of replies: their parts, their size, and the memory of all unfinished ones."""

from __future__ import annotations

import h11
import hypothesis.strategies as st
import pytest
from hypothesis import given

from berylspindle_standins.endless_peer import EndlessReply, open_endless_peer
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http_client import HttpFailure
from berylspindle_wire.reply_body import FREE_PARTS, ReplyBody, ReplyMemory, ReplyReceiver


class Receiver(ReplyReceiver):
    def __init__(self) -> None:
        self.broken = False

    def break_off(self, detail: str) -> None:
        self.broken = True


def test_body_in_many_small_parts_is_refused_and_one_in_large_parts_is_not() -> None:
    """Guard against a peer that keeps a VM busy with chunks of one byte."""
    large, small = ReplyBody(10**9), ReplyBody(10**9)
    for _ in range(2 * FREE_PARTS):
        large.add(b"x" * 64)
    for _ in range(FREE_PARTS):
        small.add(b"x")
    with pytest.raises(h11.RemoteProtocolError):
        small.add(b"x")
    assert len(large.content()) == 2 * FREE_PARTS * 64


def test_largest_unfinished_reply_is_broken_off_first() -> None:
    """Guard against sound replies that are broken off because of an endless one."""
    memory, endless, sound = ReplyMemory(100), Receiver(), Receiver()
    memory.update(sound, 30)
    memory.update(endless, 70)
    memory.update(sound, 40)
    assert (endless.broken, sound.broken, memory.total) == (True, False, 40)


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 60), st.booleans()), max_size=50))
def test_total_is_that_of_the_receivers_left_and_within_the_limit(
    steps: list[tuple[int, int, bool]],
) -> None:
    memory, sizes = ReplyMemory(100), {}
    receivers = [Receiver() for _ in range(6)]
    for number, size, ends in steps:
        receiver = receivers[number]
        if ends:
            memory.release(receiver)
            sizes.pop(number, None)
            continue
        receiver.broken = False
        memory.update(receiver, size)
        sizes[number] = size
        sizes = {n: size for n, size in sizes.items() if not receivers[n].broken}
        assert memory.total == sum(sizes.values()) <= 100


@pytest.mark.parametrize("reply", EndlessReply)
async def test_client_closes_a_connection_with_an_endless_reply(reply: EndlessReply, until) -> None:
    async with open_endless_peer(reply) as peer:
        async with HttpClient("127.0.0.1", peer.port, limit=1) as client:
            with pytest.raises(HttpFailure):
                await client.request("GET", "/health", timeout=2.0)
        await until(lambda: peer.open_connections == 0)
