"""The documents of a stand-in backend server, computed on demand instead of stored.

The hits of a shard depend only on service, shard, snapshot and query, so that all replicas return
the same hits and a checker can compute the complete answer. The number of matches depends on the
same four values: a number that is constant within a snapshot would hide answers that mix queries
or shards.

Flow: `shard_hits` returns the sorted hits of one shard; `merged_hits` those of several shards.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable
from typing import Final

from berylspindle_model.messages import Hit
from berylspindle_model.snapshot import Snapshot

MIN_MATCHES: Final = 5
MAX_MATCHES: Final = 40


def _digest(*parts: object) -> int:
    text = "\x1f".join(str(part) for part in parts)
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def total_matches(service: str, shard: str, snapshot: Snapshot, query: str) -> int:
    """Return the number of documents in one shard that match the query."""
    range_size = MAX_MATCHES - MIN_MATCHES + 1
    return MIN_MATCHES + _digest("total", service, shard, snapshot, query) % range_size


@functools.lru_cache(maxsize=4096)
def shard_hits(service: str, shard: str, snapshot: Snapshot, query: str) -> tuple[Hit, ...]:
    """Return all hits of one shard by descending score, then by id."""
    hits = [
        Hit(
            id=f"{service}/{shard}/{number}",
            score=_digest(service, shard, snapshot, query, number) % 1_000_000 / 1_000_000,
            fields={
                "lot": f"lot-{_digest(service, shard, number) % 10_000:04d}",
                "epoch": snapshot.epoch,
                "version": snapshot.version,
                "shard": shard,
            },
        )
        for number in range(total_matches(service, shard, snapshot, query))
    ]
    return tuple(sorted(hits, key=hit_sort_key))


def merged_hits(
    service: str, shards: Iterable[str], snapshot: Snapshot, query: str
) -> tuple[Hit, ...]:
    """Return all hits of the given shards in the order of a complete answer."""
    hits = [hit for shard in shards for hit in shard_hits(service, shard, snapshot, query)]
    return tuple(sorted(hits, key=hit_sort_key))


def hit_sort_key(hit: Hit) -> tuple[float, str]:
    """Return the sort key of a hit: descending score, then id."""
    return (-hit.score, hit.id)
