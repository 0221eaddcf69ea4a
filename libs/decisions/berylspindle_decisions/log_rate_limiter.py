"""Limit the rate of log lines of each kind that a VM writes.

Load: five times as many requests as can be served, each rejected with a log line. A thousand such
lines per second take a tenth of the processor from requests that could be served.

Terms:
  kind    the subject of a line; each kind has its own token bucket, so that lines of one kind can't
          suppress those of another
  burst   lines that may be written at once after an idle period

Flow: `LogRateLimiter.allow` is called before a line is created. Suppressed lines are counted,
and the next line of the kind states their number.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Final

import attrs


class LineKind(enum.StrEnum):
    """Subject of a log line."""

    REFUSED = "refused"
    FAILED = "failed"
    LATE = "late"
    HEDGED = "hedged"
    SAMPLE = "sample"
    SUSPICION = "belief"
    QUOTA = "quota"


@attrs.frozen
class LineRate:
    """Sustained lines per second, and burst in lines."""

    per_second: float
    burst: float


RATES: Final[Mapping[LineKind, LineRate]] = {
    LineKind.REFUSED: LineRate(20.0, 60.0),
    LineKind.FAILED: LineRate(20.0, 60.0),
    LineKind.LATE: LineRate(20.0, 60.0),
    LineKind.HEDGED: LineRate(4.0, 8.0),
    LineKind.SAMPLE: LineRate(0.1, 1.0),
    LineKind.SUSPICION: LineRate(4.0, 40.0),
    LineKind.QUOTA: LineRate(1.0, 20.0),
}


@attrs.define
class _Bucket:
    rate: LineRate
    tokens: float
    updated_at: float = 0.0
    suppressed: int = 0


class LogRateLimiter:
    """Token buckets for the log lines of one VM; times are in seconds of the caller's clock."""

    def __init__(self, rates: Mapping[LineKind, LineRate] = RATES) -> None:
        self._buckets: Final = {kind: _Bucket(rate, rate.burst) for kind, rate in rates.items()}

    def allow(self, now: float, kind: LineKind) -> bool:
        """Return whether a line of this kind may be written; True consumes a token."""
        bucket = self._buckets[kind]
        refill = (now - bucket.updated_at) * bucket.rate.per_second
        bucket.tokens = min(bucket.rate.burst, bucket.tokens + max(0.0, refill))
        bucket.updated_at = now
        if bucket.tokens < 1.0:
            bucket.suppressed += 1
            return False
        bucket.tokens -= 1.0
        return True

    def take_suppressed_count(self, kind: LineKind) -> int:
        """Return the number of suppressed lines of a kind since the last call."""
        bucket = self._buckets[kind]
        count, bucket.suppressed = bucket.suppressed, 0
        return count
