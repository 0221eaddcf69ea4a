"""Limit the lines of the log that a VM writes of each kind.

Pattern of load: five times as many requests as can be served, each rejected, each with a line. A
thousand such lines a second take a tenth of the processor from requests that could be served.

Terms:
  kind    what a line tells; each kind has its own allowance, so that one can't use up another's
  burst   lines that may be written at once after a quiet time

Flow: `may_write` is asked before a line is made. What is not allowed is counted, and the next line
of its kind says how many were left out.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Final

import attrs


class LineKind(enum.StrEnum):
    """What a line of the log tells."""

    REFUSED = "refused"
    FAILED = "failed"
    LATE = "late"
    HEDGED = "hedged"
    SAMPLE = "sample"
    BELIEF = "belief"


@attrs.frozen
class LineRate:
    """Lines a second over time, and lines at once."""

    per_second: float
    burst: float


RATES: Final[Mapping[LineKind, LineRate]] = {
    LineKind.REFUSED: LineRate(20.0, 60.0),
    LineKind.FAILED: LineRate(20.0, 60.0),
    LineKind.LATE: LineRate(20.0, 60.0),
    LineKind.HEDGED: LineRate(4.0, 8.0),
    LineKind.SAMPLE: LineRate(0.1, 1.0),
    LineKind.BELIEF: LineRate(4.0, 40.0),
}


@attrs.define
class _Allowance:
    rate: LineRate
    left: float
    at: float = 0.0
    left_out: int = 0


class LogRateLimiter:
    """The lines that one VM may write; times are seconds of the caller's clock."""

    def __init__(self, rates: Mapping[LineKind, LineRate] = RATES) -> None:
        self._kinds: Final = {kind: _Allowance(rate, rate.burst) for kind, rate in rates.items()}

    def may_write(self, now: float, kind: LineKind) -> bool:
        """Tell whether a line of this kind may be written; True has counted it."""
        allowance = self._kinds[kind]
        grown = (now - allowance.at) * allowance.rate.per_second
        allowance.left = min(allowance.rate.burst, allowance.left + max(0.0, grown))
        allowance.at = now
        if allowance.left < 1.0:
            allowance.left_out += 1
            return False
        allowance.left -= 1.0
        return True

    def left_out(self, kind: LineKind) -> int:
        """Return how many lines of a kind were left out since this was last asked."""
        allowance = self._kinds[kind]
        count, allowance.left_out = allowance.left_out, 0
        return count
