"""Compute the hedge delay of a sub-request, and decide when a partial result is sent.

Load: replicas that pause for a tenth of a second every few seconds, independently of each other.
One in three searches over ten shards meets a pause. Waiting for its end makes the answer late, and
a hedge that is sent only at the deadline of the whole request is late as well.

Terms:
  aim      the latency target of a route, after which an answer has little value
  usual    the median latency of the route's sub-requests
  margin   time reserved for the way back to the caller and for this VM's own work
  parts    answers of shards that have arrived

Flow: `hedge_timing` is called when a sub-request is sent, `decide_partial_result` after each change
and at the latency target.

Hedge delay: `HEDGE_SHARE` is the share of sub-requests that exceed the delay and are hedged. Extra
attempts are limited to 0.2 per request, and part of that is reserved for retries; a hedge share of
0.12 leaves enough to retry what a replica rejects while it sheds load. A hedge that answers after
the target only adds load, so the delay is shortened where it would leave less than
`MIN_HEDGE_TIME_MEDIANS` usual latencies before the target.

Margin: `RESPONSE_MARGIN_MS` covers 3 ms of network between caller and VM in each direction, 1 to 2
ms until the request is read, and 1 to 2 ms until an answer that is due is sent. The last part takes
longer if several answers are due at once. With a margin of 9 ms, one in sixty of the partial
answers sent at the target reaches the caller a millisecond late. `NEW_CONNECTION_MARGIN_MS` is
added for the first request of a connection, which takes one more round trip.
"""

from __future__ import annotations

import enum
from typing import Final

import attrs

from berylspindle_decisions.latency_profile import LatencyProfile

HEDGE_SHARE: Final = 0.12
MIN_DELAY_MEDIANS: Final = 1.25
MAX_DELAY_MEDIANS: Final = 4.0
MIN_HEDGE_TIME_MEDIANS: Final = 1.6
UNKNOWN_DELAY_TARGET_SHARE: Final = 0.3
RESPONSE_MARGIN_MS: Final = 11.5
NEW_CONNECTION_MARGIN_MS: Final = 6.0


@attrs.frozen(kw_only=True)
class HedgeTiming:
    """Delay before a sub-request is hedged, and the route's usual latency."""

    delay_ms: float
    usual_ms: float


def hedge_timing(
    profile: LatencyProfile, *, target_left_ms: float, target_ms: float
) -> HedgeTiming:
    """Return the hedge delay of a sub-request sent now, `target_left_ms` before the target."""
    if not profile.has_enough_samples:
        usual = UNKNOWN_DELAY_TARGET_SHARE * target_ms / 2
        return HedgeTiming(delay_ms=UNKNOWN_DELAY_TARGET_SHARE * target_ms, usual_ms=usual)
    usual = profile.quantile(0.5)
    delay = profile.quantile(1.0 - HEDGE_SHARE)
    delay = min(max(delay, MIN_DELAY_MEDIANS * usual), MAX_DELAY_MEDIANS * usual)
    latest = target_left_ms - MIN_HEDGE_TIME_MEDIANS * usual
    if 0.0 < latest < delay:
        delay = max(latest, MIN_DELAY_MEDIANS * usual)
    return HedgeTiming(delay_ms=delay, usual_ms=usual)


class PartialResultVerdict(enum.Enum):
    """What to do with the parts that have arrived."""

    WAIT = "wait"
    ANSWER = "answer"
    FAIL = "fail"


def decide_partial_result(
    *, requested: int, min_parts: int, parts: int, lost: int, target_passed: bool
) -> PartialResultVerdict:
    """Return whether to answer with the parts that have arrived.

    The value of an answer is the square of the share of its parts before the latency target, and
    about 0.1 after it: nine of ten parts in time are worth 0.81, all ten a moment later 0.1. At the
    target, an answer with at least `min_parts` parts is therefore sent. Before the target, or with
    fewer parts, the request waits as long as more parts can arrive.
    """
    if parts == requested:
        return PartialResultVerdict.ANSWER
    if requested - lost < min_parts:
        return PartialResultVerdict.FAIL
    if parts < min_parts:
        return PartialResultVerdict.WAIT
    if target_passed or parts + lost == requested:
        return PartialResultVerdict.ANSWER
    return PartialResultVerdict.WAIT
