"""Datagrams round-trip through their encoding; other data is rejected."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from berylspindle_model import codec
from berylspindle_model.control_messages import (
    Ack,
    Datagram,
    Digest,
    Missed,
    News,
    Ping,
    PingRequest,
    Reached,
    Suspicion,
    from_datagram,
    to_datagram,
)

DIGEST = Digest(7, 12, 99, (0, 3, 9999), (Suspicion("vm-2", 1, 4), Suspicion("vm-3", 0, 2)))
MESSAGES: list[Datagram] = [
    Ping("vm-1", 5, 3, 0, 4, False, DIGEST),
    Ack("vm-1", 5, 3, 0, 1500, DIGEST),
    PingRequest("vm-1", "vm-2", 8),
    Reached("vm-1", "vm-2", 3, 1, 0),
    Missed("vm-1", "vm-2"),
    News("vm-1", 2, DIGEST, b"\x00\xff"),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_datagrams_round_trip(message: Datagram) -> None:
    assert from_datagram(to_datagram(message)) == message
    assert len(to_datagram(message)) < 80


@settings(derandomize=True, deadline=None, database=None)
@given(st.binary(max_size=60))
def test_arbitrary_data_is_rejected_or_round_trips(data: bytes) -> None:
    try:
        message = from_datagram(data)
    except codec.MalformedError:
        return
    assert from_datagram(to_datagram(message)) == message


@pytest.mark.parametrize("message", MESSAGES)
def test_truncated_datagrams_are_rejected(message: Datagram) -> None:
    with pytest.raises(codec.MalformedError):
        from_datagram(to_datagram(message)[:-1])
