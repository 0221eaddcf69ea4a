"""Merge the hits of many shards into one page.

Load: a fan-out of ten to hundreds of shards, each with a page of hits. Without a limit on what a
shard returns, deep pages use memory in every process at once; with too few hits from each shard the
merged order is wrong without any sign of it.

Terms:
  hit    one result of one shard, with a score and an id
  page   `limit` hits of the merged order after the first `offset`

Flow: `shard_limit` returns how many hits each shard must return, `merge_hits` merges them into the
page. All hits must be computed on one snapshot, which the caller ensures with `snapshot_choice`.

Limits: each shard returns one hit more than the end of the page, which shows whether there is a
next page. A hit of the page is in the top of its own shard, so no shard has to return more. The
joined lists are sorted at once, in place of a merge by a heap: the sort detects that the lists are
sorted already, and unlike a heap it gives the right order even if one of them is not.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import attrs

from berylspindle_model.messages import Hit


@attrs.frozen(kw_only=True)
class Page:
    """One page; `next_offset` is the offset of the next one, or None on the last."""

    hits: tuple[Hit, ...]
    next_offset: int | None


def shard_limit(*, offset: int, limit: int) -> int:
    """Return the number of hits that each shard must return for this page."""
    return offset + limit + 1


def merge_hits(shards: Iterable[Sequence[Hit]], *, offset: int, limit: int) -> Page:
    """Return one page of the merged order: highest score first, then lowest id, each id once.

    Of two hits with the same id, keep the one with the higher score.
    """
    ordered = [hit for hits in shards for hit in hits]
    ordered.sort(key=_order)
    end = offset + limit
    seen: set[str] = set()
    distinct: list[Hit] = []
    for hit in ordered:
        if hit.id in seen:
            continue
        seen.add(hit.id)
        distinct.append(hit)
        if len(distinct) > end:
            break
    return Page(
        hits=tuple(distinct[offset:end]),
        next_offset=end if len(distinct) > end else None,
    )


def _order(hit: Hit) -> tuple[float, str]:
    # NaN compares false with every score and would leave the list unsorted around it, depending on
    # the order of arrival. It is sorted last instead.
    score = hit.score
    return (math.inf if math.isnan(score) else -score, hit.id)
