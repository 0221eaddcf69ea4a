"""Messages round-trip through both codecs; a wrong type is rejected with its path."""

from __future__ import annotations

import pytest

from berylspindle_model import codec
from berylspindle_model.errors import ANSWERS, ErrorKind, RunState
from berylspindle_model.messages import Attempt, AttemptBatch, AttemptReply, Hit
from berylspindle_model.snapshot import Snapshot

ATTEMPT = Attempt(
    id="a1",
    request_id="r1",
    server="s1",
    service="buyer-desk",
    shard="0",
    query="junmai",
    pin=Snapshot(3, 7),
)
MESSAGES = [
    AttemptBatch(entry="vm1", caller="c", deadline_ms=90, revision=4, attempts=(ATTEMPT,)),
    AttemptReply(attempt="a1", server="s1", shard="0", hits=(Hit(id="h", score=0.5),)),
    AttemptReply(
        attempt="a1",
        server="s1",
        shard="0",
        error=ErrorKind.SERVER_SHED,
        run=RunState.NOT_RUN,
        versions=(Snapshot(3, 6), Snapshot(3, 7)),
    ),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_round_trip_through_both_codecs(message: object) -> None:
    assert codec.from_msgpack(codec.to_msgpack(message), type(message)) == message
    assert codec.from_json(codec.to_json(message), type(message)) == message


def test_wrong_type_is_rejected_with_its_path() -> None:
    data = codec.to_json({"entry": "vm1", "caller": "c", "deadline_ms": "soon"})
    with pytest.raises(codec.DecodeError, match="deadline_ms"):
        codec.from_json(data, AttemptBatch)


@pytest.mark.parametrize(
    ("decode", "data"),
    [
        (codec.from_json, 3000 * b'{"last":' + b"0" + 3000 * b"}"),
        (codec.from_msgpack, 3000 * b"\x81\xa4last" + b"\x00"),
    ],
)
def test_deeply_nested_message_is_malformed(decode, data: bytes) -> None:
    """Guard against a task that ends because its peer's bytes raise another error."""
    with pytest.raises(codec.MalformedError):
        decode(data, AttemptBatch)


def test_every_error_kind_has_an_answer() -> None:
    assert set(ANSWERS) == set(ErrorKind)
