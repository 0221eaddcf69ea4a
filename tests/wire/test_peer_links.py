"""Tests of links between entry and owner over loopback sockets."""

from __future__ import annotations

import asyncio
import time

import attrs
import pytest

from berylspindle_model.errors import ErrorKind, RefusalError, RunState
from berylspindle_model.messages import AttemptReply

LOST = (ErrorKind.PEER_LOST, RunState.MAY_HAVE_RUN)
SILENCE_S = 0.2
NOT_SENT = (ErrorKind.PEER_LOST, RunState.NOT_RUN)


async def test_each_attempt_is_answered_once(until, pair):
    async with pair() as peers:
        for number in range(5):
            peers.submit(f"{number}a", f"{number}b")
        await until(lambda: len(peers.replies.all) == 10)
        assert set(peers.replies.outcomes.values()) == {(None, None)}
        assert peers.links.counters.opened == 1
        assert peers.links.counters.frames_sent < 5
        assert peers.links.outstanding == 0


async def test_many_attempts_are_split_into_several_frames(until, pair):
    """Guard against one frame for a large search, which blocks the event loop for tens of ms."""
    async with pair() as peers:
        for number in range(40):
            peers.submit(*(f"{number}.{index}" for index in range(10)))
        await until(lambda: len(peers.replies.all) == 400)
        assert set(peers.replies.outcomes.values()) == {(None, None)}
        assert 4 <= peers.links.counters.frames_sent <= 8
        assert peers.links.counters.frames_received >= 4


async def test_link_broken_mid_batch(until, pair):
    """Guard against lost answers and against a repeated write after an owner crashes.

    The owner closes after it has answered some attempts of a batch. Those keep their answers; each
    other attempt is reported once as MAY_HAVE_RUN, since it was written.
    """
    async with pair() as peers:
        peers.submit("a", "b", "c:slow", "d")
        await until(lambda: len(peers.replies.all) == 2)
        await peers.server.close()
        await until(lambda: len(peers.replies.all) == 4)
        assert peers.replies.outcomes == {
            "a": (None, None),
            "b": (None, None),
            "c": LOST,
            "d": LOST,
        }


async def test_attempts_for_an_unreachable_owner_have_not_run(until, pair):
    async with pair() as peers:
        await peers.server.close()
        peers.submit("a", "b")
        await until(lambda: len(peers.replies.all) == 2)
        peers.submit("c")
        await until(lambda: len(peers.replies.all) == 3)
        assert set(peers.replies.outcomes.values()) == {NOT_SENT}


async def test_retry_from_the_callback_does_not_starve_the_loop(until, pair):
    """Guard against an unreachable owner that stalls the whole VM.

    During the link's backoff each attempt is refused at once, and the callback submits it again.
    The event loop must still run other work.
    """
    async with pair() as peers:
        await peers.server.close()
        names = iter(range(1_000_000))
        retry_until = asyncio.get_running_loop().time() + 0.2

        def retry(reply: AttemptReply) -> None:
            if asyncio.get_running_loop().time() < retry_until:
                peers.links.submit(peers.vm, peers.batch_of(f"x{next(names)}"), retry)
            else:
                peers.replies.take(reply)

        turns = 0
        peers.links.submit(peers.vm, peers.batch_of("first"), retry)
        while not peers.replies.all:
            await asyncio.sleep(0)
            turns += 1
        assert turns > 100


async def test_attempts_with_a_wrong_key_have_not_run(until, pair):
    async with pair(key=b"other") as peers:
        peers.submit("a")
        await until(lambda: len(peers.replies.all) == 1)
        assert peers.replies.outcomes == {"a": NOT_SENT}
        assert peers.server.unauthorised == 1
        assert peers.owner.seen == []
        with pytest.raises(RefusalError) as caught:
            await peers.links.call(peers.vm, "add", b"", timeout=2)
        assert caught.value.refusal.kind is ErrorKind.UNAUTHORISED


async def test_full_queue_is_refused_at_once(until, pair):
    async with pair(max_queued=2) as peers:
        peers.submit("a", "b")
        peers.submit("c")
        assert peers.replies.all == []
        await until(lambda: len(peers.replies.all) == 3)
        assert peers.replies.outcomes["c"] == (ErrorKind.OVERLOADED, RunState.NOT_RUN)
        assert peers.owner.seen == ["a", "b"]


async def test_misrouted_and_late_replies_are_dropped(until, pair):
    """Guard against misrouted replies, which give one caller the result of another.

    An owner answers with the wrong id, server or shard, or twice. Such replies are dropped and
    counted.
    """
    async with pair() as peers:
        peers.owner.make = lambda attempt: [
            attrs.evolve(peers.ok(attempt), attempt="z"),
            attrs.evolve(peers.ok(attempt), server="other"),
        ]
        peers.submit("a")
        await until(lambda: peers.links.counters.dropped_replies == 1)
        peers.owner.make = lambda attempt: [attrs.evolve(peers.ok(attempt), shard="9")]
        peers.submit("b")
        await until(lambda: peers.links.counters.dropped_replies == 2)
        peers.owner.make = lambda attempt: [peers.ok(attempt), peers.ok(attempt)]
        peers.submit("c")
        await until(lambda: len(peers.replies.all) == 1)
        assert peers.replies.outcomes == {"c": (None, None)}


async def test_attempt_without_a_reply_from_the_handler_is_answered_internal(until, pair):
    async with pair() as peers:
        peers.owner.make = lambda attempt: [] if attempt.id == "a" else [peers.ok(attempt)]
        peers.submit("a", "b")
        await until(lambda: len(peers.replies.all) == 2)
        assert peers.replies.outcomes["a"] == (ErrorKind.INTERNAL, RunState.MAY_HAVE_RUN)


async def test_cancelled_attempts_get_no_reply_and_the_owner_is_notified(until, pair):
    async with pair() as peers:
        peers.submit("a:slow", "b:slow")
        peers.submit("c")
        peers.links.cancel(peers.vm, ["c"])
        await until(lambda: peers.owner.seen == ["a", "b"])
        peers.links.cancel(peers.vm, ["a", "unknown"])
        await until(lambda: peers.owner.cancelled == ["a"])
        peers.owner.release.set()
        await until(lambda: len(peers.replies.all) == 1)
        assert peers.replies.outcomes == {"b": (None, None)}


async def test_close_of_the_entry_cancels_its_work(until, pair):
    """Guard against owners that continue the work of an entry after it has closed."""
    async with pair() as peers:
        peers.submit("a:slow")
        await until(lambda: peers.owner.seen == ["a"])
        await peers.links.close()
        await until(lambda: peers.owner.cancelled == ["a"])
        assert peers.replies.outcomes == {"a": LOST}


async def test_submit_after_the_close_is_refused(until, pair):
    async with pair() as peers:
        await peers.links.close()
        peers.submit("a", "b")
        await until(lambda: len(peers.replies.all) == 2)
        refused = (ErrorKind.SHUTTING_DOWN, RunState.NOT_RUN)
        assert peers.replies.outcomes == {"a": refused, "b": refused}


async def test_silent_link_is_broken(until, relayed_pair):
    """Guard against searches that wait for their deadlines on a link whose path is dead.

    All bytes are dropped without a reset. Pings without a pong close the link; written attempts may
    have run, and the next batch uses a new link.
    """
    async with relayed_pair() as (relay, peers):
        peers.submit("a")
        await until(lambda: len(peers.replies.all) == 1)
        relay.silent = True
        peers.submit("b")
        await until(lambda: len(peers.replies.all) == 2)
        assert peers.replies.outcomes["b"] == LOST
        assert peers.links.counters.silent == 1
        relay.silent = False
        peers.submit("c")
        await until(lambda: len(peers.replies.all) == 3)
        assert peers.replies.outcomes["c"] == (None, None)


async def test_slow_work_on_a_healthy_link_is_not_silence(until, pair):
    async with pair(silence_timeout=0.2) as peers:
        peers.submit("a:slow")
        await until(lambda: peers.links.counters.frames_received >= 6)
        peers.owner.release.set()
        await until(lambda: len(peers.replies.all) == 1)
        assert peers.replies.outcomes == {"a": (None, None)}
        assert peers.links.counters.silent == 0


async def test_an_execute_survives_a_pause_of_its_owner(until, relayed_pair):
    """Guard against losing the outcome of a running execute when its owner pauses for a moment.

    Searches on the silent link fail at once, so that they can be retried elsewhere; new work uses a
    new link.
    """
    async with relayed_pair() as (relay, peers):
        peers.submit_execute("hold")
        peers.submit("a:slow")
        await until(lambda: peers.links.counters.frames_received >= 1)
        relay.held = True
        await until(lambda: len(peers.replies.all) == 1)
        assert peers.replies.outcomes == {"a": LOST}
        relay.held = False
        peers.submit("b")
        await until(lambda: len(peers.replies.all) == 2)
        await until(lambda: peers.owner.cancelled == ["a"])
        peers.owner.release.set()
        await until(lambda: len(peers.replies.all) == 3)
        assert peers.replies.outcomes == {"a": LOST, "b": (None, None), "hold": (None, None)}
        assert peers.links.counters.silent == 1


async def test_an_execute_on_a_dead_path_is_answered_at_its_deadline(until, relayed_pair):
    """Guard against executes and links that are kept forever for an owner that is gone."""
    async with relayed_pair() as (relay, peers):
        peers.submit_execute("hold", deadline_ms=800)
        await until(lambda: peers.owner.seen == ["hold"])
        relay.silent = True
        await until(lambda: len(peers.replies.all) == 1)
        assert peers.replies.outcomes == {"hold": LOST}
        await until(lambda: peers.links.open_links == 0)


async def test_a_pause_of_the_entry_is_not_silence_of_the_owner(until, pair):
    """Guard against lost outcomes of executes after a pause of the entry's own process."""
    async with pair(silence_timeout=SILENCE_S) as peers:
        peers.submit("a:slow")
        await until(lambda: peers.links.counters.frames_received >= 1)
        time.sleep(3 * SILENCE_S)  # noqa: ASYNC251
        frames = peers.links.counters.frames_received
        await until(lambda: peers.links.counters.frames_received >= frames + 2 or peers.replies.all)
        peers.owner.release.set()
        await until(lambda: len(peers.replies.all) == 1)
        assert peers.replies.outcomes == {"a": (None, None)}
        assert peers.links.counters.silent == 0


async def test_drain_loses_no_batch(until, pair):
    """Guard against a VM that shuts down without answering a batch that it has received.

    The owner sends `closing`, the entry stops writing and ends its side of the stream, and the
    owner closes only after it has answered everything written before.
    """
    async with pair() as peers:
        peers.submit("a:slow", "b")
        await until(lambda: peers.owner.seen == ["a", "b"])
        closing = asyncio.create_task(peers.server.close(grace=10))
        await until(lambda: peers.links.counters.frames_received >= 1)
        peers.submit("c")
        peers.owner.release.set()
        await closing
        await until(lambda: len(peers.replies.all) == 3)
        assert peers.replies.outcomes == {
            "a": (None, None),
            "b": (None, None),
            "c": (ErrorKind.SHUTTING_DOWN, RunState.NOT_RUN),
        }
        assert peers.links.counters.broken == 0


async def test_wait_for_the_link_reduces_the_deadline(until, pair):
    async with pair() as peers:
        peers.submit("a", deadline_ms=10_000)
        peers.submit("b", deadline_ms=0)
        await until(lambda: len(peers.replies.all) == 2)
        assert peers.replies.outcomes["b"] == (ErrorKind.DEADLINE_EXCEEDED, RunState.NOT_RUN)
        assert 0 < peers.owner.deadlines[0] <= 10_000
        assert peers.owner.seen == ["a"]


async def test_exception_in_a_reply_callback_closes_no_link(until, pair):
    faults: list[BaseException] = []
    async with pair(on_fault=faults.append) as peers:
        peers.links.submit(peers.vm, peers.batch_of("a"), lambda _: 1 // 0)
        peers.submit("b")
        await until(lambda: len(peers.replies.all) == 1)
        assert [type(fault) for fault in faults] == [ZeroDivisionError]
