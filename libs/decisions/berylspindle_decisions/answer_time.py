"""When an unanswered sub-request is hedged, and when an answer goes out without all of its parts.

Pattern of load: replicas that pause for a tenth of a second every few seconds, each at its own
time. A search over ten shards meets a pause in every third request. Waited out, it makes the answer
late; hedged at the deadline of the whole request, the hedge is late too.

Terms:
  aim      the time after which an answer is worth little
  usual    the median latency of the route's sub-requests
  margin   time kept for the way back to the caller and for this VM's own work
  parts    shards' answers that are in

Flow: `hedge_delay` is asked when a sub-request goes out, `parts_verdict` whenever something has
changed or the time is near.

Thresholds: the hedge share is the part of sub-requests that may outlast the delay; with the extra
share at a fifth and a reserve for retries, 0.12 of hedges leaves room for the refusals of a replica
that sheds. A hedge must have `HEDGE_TIME` usual latencies before the aim, or it is started at once
where the aim is still ahead: a hedge that can't be in time is load and nothing else. The margin is
the caller's way there and back, which the platform gives as 3 ms each, and what this VM takes
before the request is read and after the answer is due: 1 to 2 ms each at today's load, some more
where several requests are due at once. With 9 ms one answer in sixty that left at its cut was late
by a millisecond; a new connection costs one way there and back more.
"""

from __future__ import annotations

import enum
from typing import Final

import attrs

from berylspindle_decisions.latency_profile import LatencyProfile

HEDGE_SHARE: Final = 0.12
LEAST_DELAY: Final = 1.25
MOST_DELAY: Final = 4.0
HEDGE_TIME: Final = 1.6
UNKNOWN_DELAY: Final = 0.3
MARGIN_MS: Final = 11.5
NEW_CONNECTION_MS: Final = 6.0


@attrs.frozen(kw_only=True)
class HedgeTimes:
    """The delay after which a sub-request is hedged, and the route's usual latency."""

    delay_ms: float
    usual_ms: float


def hedge_times(profile: LatencyProfile, *, aim_left_ms: float, aim_ms: float) -> HedgeTimes:
    """Return when to hedge a sub-request that goes out now, with so much of the aim left."""
    if not profile.known:
        usual = UNKNOWN_DELAY * aim_ms / 2
        return HedgeTimes(delay_ms=UNKNOWN_DELAY * aim_ms, usual_ms=usual)
    usual = profile.quantile(0.5)
    delay = profile.quantile(1.0 - HEDGE_SHARE)
    delay = min(max(delay, LEAST_DELAY * usual), MOST_DELAY * usual)
    latest = aim_left_ms - HEDGE_TIME * usual
    if 0.0 < latest < delay:
        delay = max(latest, LEAST_DELAY * usual)
    return HedgeTimes(delay_ms=delay, usual_ms=usual)


class PartsVerdict(enum.Enum):
    """What to do with the parts that are in."""

    WAIT = "wait"
    ANSWER = "answer"
    FAIL = "fail"


def parts_verdict(
    *, asked: int, least: int, parts: int, lost: int, aim_passed: bool
) -> PartsVerdict:
    """Return whether to answer with the parts that are in.

    An answer is worth the square of the share of its parts within the aim, and a tenth or so after
    it. So at the aim whatever reaches the least share goes out: nine of ten parts in time are worth
    0.81, all ten a moment later a tenth. Before the aim, and where the least share isn't reached,
    more parts can only help, unless none can come.
    """
    if parts == asked:
        return PartsVerdict.ANSWER
    if asked - lost < least:
        return PartsVerdict.FAIL
    if parts < least:
        return PartsVerdict.WAIT
    if aim_passed or parts + lost == asked:
        return PartsVerdict.ANSWER
    return PartsVerdict.WAIT
