"""Tests of datagrams over the loopback interface."""

from __future__ import annotations

import pytest

from berylspindle_wire.datagrams import MAX_PAYLOAD_BYTES, open_datagrams
from berylspindle_wire.peer_auth import KeyRequiredError


async def test_messages_arrive_and_are_counted(until):
    messages = []
    first = await open_datagrams("127.0.0.1", 0, key=b"k", on_message=lambda *_: None)
    second = await open_datagrams(
        "127.0.0.1", 0, key=b"k", on_message=lambda *m: messages.append(m)
    )
    first.send(b"", ("127.0.0.1", second.port))
    first.send(b"x" * MAX_PAYLOAD_BYTES, ("127.0.0.1", second.port))
    await until(lambda: len(messages) == 2)
    sender = ("127.0.0.1", first.port)
    assert messages == [(b"", sender), (b"x" * MAX_PAYLOAD_BYTES, sender)]
    assert first.counters.sent_bytes == second.counters.received_bytes == MAX_PAYLOAD_BYTES + 32
    with pytest.raises(ValueError, match="1401"):
        first.send(b"x" * (MAX_PAYLOAD_BYTES + 1), ("127.0.0.1", second.port))
    first.close()
    second.close()
    first.send(b"late", ("127.0.0.1", second.port))
    assert first.counters.sent == 2


async def test_forged_and_damaged_messages_are_dropped(until):
    """Guard against membership messages forged by an attacker or sent by another deployment."""
    messages = []
    port = await open_datagrams("127.0.0.1", 0, key=b"k", on_message=lambda *m: messages.append(m))
    other_sender = await open_datagrams("127.0.0.1", 0, key=b"other", on_message=lambda *_: None)
    other_sender.send(b"leave", ("127.0.0.1", port.port))
    other_sender._transport.sendto(b"short", ("127.0.0.1", port.port))
    await until(lambda: port.counters.refused == 2)
    assert messages == []
    assert port.counters.received == 0
    other_sender.close()
    port.close()


async def test_non_loopback_port_requires_a_key():
    with pytest.raises(KeyRequiredError):
        await open_datagrams("0.0.0.0", 0, key=None, on_message=lambda *_: None)
