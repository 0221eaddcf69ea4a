"""Merge the answers of several shards by selecting their greatest records.

Terms:
  record   a part of fixed size of a shard's answer; records compare byte by byte
  rest     trailing bytes of an answer that are no complete record; they are dropped

Flow: `top_records` takes the complete answers of all shards that have arrived. Equal records are
all kept. Each answer holds tens of records in no order, so one sort of all costs less than a heap.
"""

from __future__ import annotations

from collections.abc import Iterable

from berylspindle_model.routing import RECORD_BYTES


def top_records(answers: Iterable[bytes], top: int) -> bytes:
    """Return the `top` greatest records of the answers, in descending order."""
    records: list[bytes] = []
    for answer in answers:
        whole = len(answer) - len(answer) % RECORD_BYTES
        records += [answer[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES)]
    records.sort(reverse=True)
    return b"".join(records[:top])
