"""Divide the rejected share of requests between organisations, max-min fairly.

Load: one organisation sends ten times the requests of another, and together they exceed the
capacity of a service. If each request is rejected with the same probability, the small organisation
loses as large a share of its requests as the one that causes the overload.

Terms:
  count     requests of an organisation on this VM, decayed with `COUNT_WINDOW_S`
  size      count of an organisation just before a request, plus `MIN_SIZE`
  level     the size up to which nothing is rejected; of a larger organisation, the admitted share
            is level / size
  snapshot  sizes at the latest requests; they give the level for a rejected share
  surplus   requests admitted so far beyond those that the given shares would admit

Flow: `OrganisationShares.rejected_share` returns the rejected share of each request and then counts
the request. The level is the one at which the latest requests together would be rejected at the
given share. What remains of a deviation from it is the surplus, which raises or lowers the share of
the next requests, so that the total stays the same.

A size excludes the request that is decided. Most organisations send less than one request to a VM
within the window; a request that counted itself would make them look as large as an organisation
with a constant rate. The snapshot has sizes at the time of requests for the same reason: until the
next request the count decays.

Bounds: `MAX_ORGANISATIONS` are counted, those with the latest requests; one that is left out counts
as small. The snapshot is renewed after an eighth of its requests, so that its cost for each
request stays constant.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import deque
from collections.abc import Iterable
from itertools import accumulate, pairwise
from typing import Final

import attrs

COUNT_WINDOW_S: Final = 2.0

# Size of an organisation without earlier requests: one request in twenty seconds.
MIN_SIZE: Final = 0.1

MAX_ORGANISATIONS: Final = 512

# Requests in a snapshot, and their maximum age; an older one weighs less than 0.02.
MAX_SNAPSHOT_REQUESTS: Final = 256
MAX_SNAPSHOT_AGE_S: Final = 4 * COUNT_WINDOW_S

SNAPSHOT_REFRESH_DIVISOR: Final = 8

# The share of a request changes by surplus / `SURPLUS_REQUESTS`. With 16, the level follows the
# noise of the last few requests, and organisations near it get less of their fair share.
SURPLUS_REQUESTS: Final = 64.0
MAX_SURPLUS: Final = 8.0


@attrs.frozen
class _Count:
    """Count of one organisation at its latest request, including that request."""

    count: float
    counted_at: float

    def at(self, now: float) -> float:
        """Return the count, decayed since the latest request."""
        return self.count * _weight(now, self.counted_at)


class _Snapshot:
    """The sum of admitted requests as a function of the level, which is linear between sizes."""

    def __init__(self, weighted_sizes: Iterable[tuple[float, float]]) -> None:
        """Create a snapshot of (size, weight) pairs, of which there is at least one."""
        ordered = sorted(weighted_sizes)
        self._sizes: Final = [0.0, *(size for size, _ in ordered)]
        # Below a level, each request of that size or more adds its weight / size to the slope.
        slopes = list(accumulate(weight / size for size, weight in reversed(ordered)))
        steps = (high - low for low, high in pairwise(self._sizes))
        self._admitted: Final = list(
            accumulate(
                (step * slope for step, slope in zip(steps, reversed(slopes), strict=True)),
                initial=0.0,
            )
        )

    def level(self, share: float) -> float:
        """Return the level that rejects `share` of the requests; infinite if that is 0 or less."""
        if share <= 0.0:
            return math.inf
        target = (1.0 - share) * self._admitted[-1]
        index = bisect_left(self._admitted, target)
        if index == 0:
            return 0.0
        low, high = self._admitted[index - 1], self._admitted[index]
        size, next_size = self._sizes[index - 1], self._sizes[index]
        return size + (next_size - size) * (target - low) / (high - low)


class OrganisationShares:
    """Requests on one VM of organisations that compete; times are in seconds of one clock."""

    def __init__(self) -> None:
        self._counts: Final[dict[str, _Count]] = {}
        self._latest_sizes: Final[deque[tuple[float, float]]] = deque(maxlen=MAX_SNAPSHOT_REQUESTS)
        self._snapshot: _Snapshot | None = None
        self._requests_to_refresh = 0
        self._surplus = 0.0

    def __len__(self) -> int:
        """Return the number of counted organisations."""
        return len(self._counts)

    def rejected_share(self, now: float, organisation: str, share: float) -> float:
        """Return the rejected share of a request, and count the request.

        `share` is the rejected share of all organisations together, from 0 to 1.
        """
        last = self._counts.get(organisation)
        count = 0.0 if last is None else last.at(now)
        size = MIN_SIZE + count
        rejected = self._share_at(now, size, share) if 0.0 < share < 1.0 else share
        self._surplus += share - rejected
        self._surplus = min(MAX_SURPLUS, max(-MAX_SURPLUS, self._surplus))
        self._record(now, organisation, count + 1.0)
        self._latest_sizes.append((size, now))
        self._requests_to_refresh -= 1
        return rejected

    def _share_at(self, now: float, size: float, share: float) -> float:
        if self._snapshot is None or self._requests_to_refresh <= 0:
            self._refresh(now)
        if self._snapshot is None:
            return share
        level = self._snapshot.level(share + self._surplus / SURPLUS_REQUESTS)
        return max(0.0, 1.0 - level / size)

    def _record(self, now: float, organisation: str, count: float) -> None:
        # Inserting the entry anew moves it to the end, so that the first one is the oldest.
        self._counts.pop(organisation, None)
        self._counts[organisation] = _Count(count, now)
        if len(self._counts) > MAX_ORGANISATIONS:
            del self._counts[next(iter(self._counts))]

    def _refresh(self, now: float) -> None:
        latest = self._latest_sizes
        while latest and now - latest[0][1] > MAX_SNAPSHOT_AGE_S:
            latest.popleft()
        self._snapshot = (
            _Snapshot((size, _weight(now, at)) for size, at in latest) if latest else None
        )
        self._requests_to_refresh = 1 + len(latest) // SNAPSHOT_REFRESH_DIVISOR


def _weight(now: float, at: float) -> float:
    """Return the weight at `now` of a request that was counted at `at`."""
    return math.exp(min(0.0, at - now) / COUNT_WINDOW_S)
