"""The greatest records of several shards' answers.

Terms:
  record   a piece of fixed size of a shard's answer; records compare byte by byte
  rest     bytes at the end of an answer that are no whole record; they are dropped

Flow: `greatest` takes the whole answers of all shards that are in. Equal records all count. Each
shard's answer holds tens of records in no order, so that one sort of them all costs less than a
heap.
"""

from __future__ import annotations

from collections.abc import Iterable

from berylspindle_model.routing import RECORD_BYTES


def greatest(answers: Iterable[bytes], top: int) -> bytes:
    """Return the `top` greatest records of the answers, greatest first."""
    records: list[bytes] = []
    for answer in answers:
        whole = len(answer) - len(answer) % RECORD_BYTES
        records += [answer[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES)]
    records.sort(reverse=True)
    return b"".join(records[:top])
