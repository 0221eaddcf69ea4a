"""Decide how far a service is moved to a new version, and when it is moved back.

Pattern of load: the move has a deadline, some versions are bad, and of all requests to the service
from the order to the deadline a bad one may get only a share, `exposure`, and some more, `slack`.
Moved too late a sound version misses its deadline; moved too early a bad one serves everybody.

Terms:
  trial     a few requests go to one replica of the new version, which so gets a replica's usual
            load with a small share of the requests
  shift     all new requests go to the new version, and the old one finishes what it has
  final     completed: the old replicas stop at once; rolled back: the new ones drain

Flow: `trial_share` says which part of a service's requests goes to the new version; `next_stage` is
asked about once a second with what the answers say (`version_judge`). A version that is not found
sound by `LATEST` of its time is rolled back: to serve everybody by a version nobody has judged is
the greater harm.
"""

from __future__ import annotations

import enum
from typing import Final

import attrs

from berylspindle_decisions.version_judge import LENIENT, STRICT, Caution, Verdict

DECIDE_AT: Final = 0.6
LATEST: Final = 0.8
"""Parts of the term at which a sound version is shifted to at the earliest, and at the latest."""

SHIFT_S: Final = 1.6
SHIFT_MOST: Final = 0.15
"""Seconds for which all requests go to the new version before the old replicas are stopped, and the
part of the term that they take at most: other VMs hear of the shift within one, and what is under
way at the old replicas ends."""

SLACK_TRIED: Final = 0.6
"""Part of the slack that the trial uses, beside the exposure's share of the requests."""

SLACK_AFTER_S: Final = 4.5
"""Seconds after the order from which VMs share the slack by what all have had: three times as long
as counts take, so that those known are at least two thirds."""

MOST_TRIED: Final = 0.5
"""Share of the requests that a trial takes at most, where few requests come."""

PULSE_S: Final = 1.5
"""Seconds for which a trial takes twice its share, and then none: a version that fails under load
has to be loaded for a while, and the exposure does not allow it all the time."""


class Stage(enum.StrEnum):
    """How far a rollout has come."""

    TRIAL = "trial"
    SHIFT = "shift"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Return whether nothing more is to be decided."""
        return self in (Stage.COMPLETED, Stage.ROLLED_BACK)


@attrs.frozen(kw_only=True)
class ExposureBounds:
    """What a bad version may get: a share of all requests, and requests besides."""

    share: float = 0.1
    slack: float = 50.0


def trial_share(bounds: ExposureBounds, *, term: float, rate: float, elapsed: float) -> float:
    """Return the share of a service's requests that goes to the new version in the trial.

    `term` and `elapsed`, since the order, are in seconds; `rate` is that of the requests of all VMs
    a second, 0 where that isn't known. Each VM sends this share of its own requests, whatever the
    number of VMs.
    """
    if elapsed >= LATEST * term:
        return 0.0
    share = bounds.share
    if rate > 0.0 and elapsed >= SLACK_AFTER_S:
        share += SLACK_TRIED * bounds.slack / (rate * max(1.0, term * LATEST - SLACK_AFTER_S))
    share = min(MOST_TRIED, share)
    if 2 * share > MOST_TRIED:
        return share
    return 2 * share if int(elapsed / PULSE_S) % 2 else 0.0


def may_try(
    bounds: ExposureBounds,
    *,
    elapsed: float,
    requests: int,
    tried: int,
    of_all: int,
    dither: float,
) -> bool:
    """Return whether a VM may send the new version one more of its requests.

    `requests` and `tried` are the VM's own so far; `of_all` those to the service that all VMs are
    known to have had; `elapsed` are seconds since the order; `dither` in [0, 1) is drawn once by
    each VM, so that parts of a request add up.

    Guard: `trial_share` goes by the usual rate, and in a burst would spend the slack many times.
    Here each VM stays within the exposure of its own requests, and its part of the slack.
    """
    allowed = bounds.share * requests
    if of_all and elapsed >= SLACK_AFTER_S:
        allowed += SLACK_TRIED * bounds.slack * min(1.0, requests / of_all)
    return tried + dither <= allowed


def caution(bounds: ExposureBounds, *, term: float, rate: float) -> Caution:
    """Return how sure to be of a new version of a service with `rate` requests a second."""
    return LENIENT if 0.0 < rate * term <= bounds.slack else STRICT


def next_stage(
    stage: Stage, verdict: Verdict, *, elapsed: float, in_stage: float, term: float
) -> Stage:
    """Return the stage that follows now; seconds since the order and since the stage began."""
    if stage.is_final:
        return stage
    if verdict is Verdict.BAD:
        return Stage.ROLLED_BACK
    if stage is Stage.SHIFT:
        return Stage.COMPLETED if in_stage >= min(SHIFT_S, SHIFT_MOST * term) else stage
    if verdict is Verdict.SOUND and elapsed >= DECIDE_AT * term:
        return Stage.SHIFT
    return Stage.ROLLED_BACK if elapsed >= LATEST * term else stage
