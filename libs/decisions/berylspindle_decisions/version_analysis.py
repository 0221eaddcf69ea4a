"""Evaluate a new version of a service by comparing its responses with those of the old version.

During a rollout, a bad version fails or is several times as slow on some responses: from the start
or later, under load, or on one route only. Replicas of the old version pause, crash and become slow
at the same time. Without a comparison, a sound version looks bad whenever the service has trouble;
without a breakdown by route, a version that fails on a single route looks sound.

Terms:
  control   responses of the old version over the same time, from the better half of its replicas
  bad       a response that failed, or took over `SLOW_RATIO` times the control's median latency
  evidence  likelihood of the counts if the version is worse than the control, over their likelihood
            if it is not

Flow: VMs count responses by route (`AnswerCounts`); `analyse` evaluates each route and the total,
and may be called at any time. The evidence is a mixture over effect sizes, so that repeated
evaluation doesn't raise the rate of false positives (a mixture sequential probability ratio test).

Guard: if the control included a slow or failing old replica, a bad version would look as good as
the old one, and all callers would be moved to the bad version. So the control consists of the best
old replicas that together gave half of the responses.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from typing import Final

import attrs

from berylspindle_model.rollout import AnswerCounts

SLOW_RATIO: Final = 2.5
"""Latency over the control's median from which a response counts as bad."""

EXCESS_BAD_SHARES: Final = (0.1, 0.2, 0.4, 0.7)
"""Shares of bad responses above the control's over which the evidence is a mixture."""

FALSE_POSITIVE_RATE: Final = 0.01
"""Probability over all routes that a version as good as the control is ever found bad."""

CONTROL_SHARE: Final = 0.5
"""Smallest fraction of the old version's responses in the control."""

MIN_ANSWERS: Final = 5
"""Minimum number of responses of the new version to find it sound."""


@attrs.frozen(kw_only=True)
class EvidenceLimits:
    """Limits of the evidence of the total and of each route; below both, a version is sound."""

    overall: float
    by_route: float


STRICT: Final = EvidenceLimits(overall=0.05, by_route=0.7)
LENIENT: Final = EvidenceLimits(overall=0.5, by_route=1.5)
"""LENIENT is for services with so few requests that a bad version can't exceed the exposure that a
rollout allows (`rollout_plan`). Such services never have enough responses for STRICT."""

_PRIOR_BAD: Final = 0.6
_PRIOR_ANSWERS: Final = 20.0
"""Prior counts that are added to the number of bad responses and to that of all responses of old
replicas. They stand for a share of 3% bad responses, since an occasional pause makes responses of a
sound version bad as well."""


class Verdict(enum.Enum):
    """The result of an evaluation."""

    INCONCLUSIVE = "unsure"
    SOUND = "sound"
    BAD = "bad"


def control_counts(counts: AnswerCounts) -> tuple[int, int]:
    """Return the number of responses of the control, and the number of bad ones among them."""
    ranked = sorted(
        counts.old.values(), key=lambda one: (one[1] + _PRIOR_BAD) / (one[0] + _PRIOR_ANSWERS)
    )
    required = CONTROL_SHARE * sum(answers for answers, _ in ranked)
    answers = bad = 0
    for replica_answers, replica_bad in ranked:
        if answers >= required:
            break
        answers, bad = answers + replica_answers, bad + replica_bad
    return answers, bad


def analyse(routes: Mapping[str, AnswerCounts], caution: EvidenceLimits = STRICT) -> Verdict:
    """Return the verdict on the new version from the counts of all VMs so far, by route."""
    total = AnswerCounts()
    for counts in routes.values():
        total.add_all(counts)
    overall = _evidence(total)
    by_route = [_evidence(counts) for counts in routes.values()]
    if max(overall, *by_route, 0.0) >= (1 + len(by_route)) / FALSE_POSITIVE_RATE:
        return Verdict.BAD
    if total.new < MIN_ANSWERS or overall >= caution.overall:
        return Verdict.INCONCLUSIVE
    return Verdict.SOUND if max(by_route) < caution.by_route else Verdict.INCONCLUSIVE


def _evidence(counts: AnswerCounts) -> float:
    answers, bad = control_counts(counts)
    share = (bad + _PRIOR_BAD) / (answers + _PRIOR_ANSWERS)
    ratios = [
        _likelihood_ratio(counts, share, min(0.95, share + worse)) for worse in EXCESS_BAD_SHARES
    ]
    return sum(ratios) / len(ratios)


def _likelihood_ratio(counts: AnswerCounts, sound: float, worse: float) -> float:
    """Return the likelihood of the new version's counts at the bad share `worse` over `sound`."""
    if worse <= sound:
        return 1.0
    good = counts.new - counts.new_bad
    log_ratio = counts.new_bad * math.log(worse / sound) + good * math.log(
        (1 - worse) / (1 - sound)
    )
    return math.exp(min(log_ratio, 50.0))
