"""Judge a new version of a service by its answers, beside those of the old version.

Pattern of load: an operator moves a service to a new version, of which some answers fail or take
several times as long: from the start or later, under load, or on one route only. Replicas of the
old version pause, crash and turn slow meanwhile. Judged by its own answers alone a sound version
looks bad in each such trouble; judged by the total, one that fails on a single route looks sound.

Terms:
  control   answers of the old version over the same time, of the better half of its replicas
  bad       an answer that failed, or took `SLOW_RATIO` times the control's median
  evidence  likelihood ratio of a version that is worse than the control to one that is not

Flow: VMs count answers by route (`AnswerCounts`); `judge` looks at each route and at all together,
as often as it is asked. The evidence is a mixture over how much worse the version may be, so that
looking often does not make a sound version look bad (a mixture sequential probability ratio test).

Guard: an old replica that is slow or fails would make a bad version look as good as the old one,
and everybody would be moved to it. So only those old replicas count that answer best and have given
half of the answers.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from typing import Final

import attrs

from berylspindle_model.rollout import AnswerCounts

SLOW_RATIO: Final = 2.5
"""Latency over the control's median from which an answer counts as bad."""

WORSE_BY: Final = (0.1, 0.2, 0.4, 0.7)
"""Shares of bad answers beyond the control's that the evidence is a mixture of."""

FALSE_ALARM: Final = 0.01
"""Chance that a version as good as the control is ever found bad, over all routes."""

CONTROL_SHARE: Final = 0.5
"""Part of the old version's answers that the control holds at least."""

LEAST_ANSWERS: Final = 5
"""Answers of the new version without which it is not found sound."""


@attrs.frozen(kw_only=True)
class Caution:
    """Evidence of all routes together, and of each, below which a version is found sound."""

    overall: float
    by_route: float


STRICT: Final = Caution(overall=0.05, by_route=0.7)
LENIENT: Final = Caution(overall=0.5, by_route=1.5)
"""LENIENT is for services with so few requests that a bad version can't exceed its exposure: there
a strict judge would never see answers enough."""

_PRIOR_BAD: Final = 0.6
_PRIOR_ANSWERS: Final = 20.0
"""What the control counts as before it has answered: a pause now and then."""


class Verdict(enum.Enum):
    """What the answers say of the new version."""

    UNSURE = "unsure"
    SOUND = "sound"
    BAD = "bad"


def control_of(counts: AnswerCounts) -> tuple[int, int]:
    """Return all and the bad answers of the old replicas that count."""
    by_share = sorted(
        counts.old.values(), key=lambda one: (one[1] + _PRIOR_BAD) / (one[0] + _PRIOR_ANSWERS)
    )
    enough = CONTROL_SHARE * sum(answers for answers, _ in by_share)
    answers = bad = 0
    for more, more_bad in by_share:
        if answers >= enough:
            break
        answers, bad = answers + more, bad + more_bad
    return answers, bad


def judge(routes: Mapping[str, AnswerCounts], caution: Caution = STRICT) -> Verdict:
    """Return what the answers of all VMs so far, by route, say of the new version."""
    total = AnswerCounts()
    for counts in routes.values():
        total.join(counts)
    overall = _evidence(total)
    by_route = [_evidence(counts) for counts in routes.values()]
    if max(overall, *by_route, 0.0) >= (1 + len(by_route)) / FALSE_ALARM:
        return Verdict.BAD
    if total.new < LEAST_ANSWERS or overall >= caution.overall:
        return Verdict.UNSURE
    return Verdict.SOUND if max(by_route) < caution.by_route else Verdict.UNSURE


def _evidence(counts: AnswerCounts) -> float:
    answers, bad = control_of(counts)
    share = (bad + _PRIOR_BAD) / (answers + _PRIOR_ANSWERS)
    ratios = [_likelihood_ratio(counts, share, min(0.95, share + worse)) for worse in WORSE_BY]
    return sum(ratios) / len(ratios)


def _likelihood_ratio(counts: AnswerCounts, sound: float, worse: float) -> float:
    """Return how much likelier the new version's answers are at the share `worse` of bad ones."""
    if worse <= sound:
        return 1.0
    good = counts.new - counts.new_bad
    log = counts.new_bad * math.log(worse / sound) + good * math.log((1 - worse) / (1 - sound))
    return math.exp(min(log, 50.0))
