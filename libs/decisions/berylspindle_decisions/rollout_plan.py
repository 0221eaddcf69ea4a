"""Decide the stages of a rollout: trial, shift to the new version, completion or rollback.

A rollout has a deadline. Between the order and the deadline, a bad version may get only a limited
number of requests: a share of all requests to the service (the exposure) plus a fixed number (the
slack). If the shift is too late, a sound version misses the deadline; if it is too early, a bad
version serves all callers.

Terms:
  order     the operator's request that starts the rollout
  term      seconds from the order to the deadline
  trial     the stage in which a small share of the requests goes to one replica of the new version;
            this gives that replica the usual load of a replica
  shift     the stage in which all new requests go to the new version, and the old version finishes
            the requests that it has
  final     a stage that ends the rollout: completed, where the old replicas stop at once, or rolled
            back, where the new ones drain

Flow: `trial_share` returns the share of a service's requests for the new version; `next_stage` is
called about once a second with the verdict on the responses (`version_analysis`). A version that
isn't found sound by `DECISION_DEADLINE` of the term is rolled back, as serving all callers with an
unproven version is the greater risk.
"""

from __future__ import annotations

import enum
from typing import Final

import attrs

from berylspindle_decisions.version_analysis import LENIENT, STRICT, EvidenceLimits, Verdict

EARLIEST_SHIFT: Final = 0.6
DECISION_DEADLINE: Final = 0.8
"""Fractions of the term at which the shift to a sound version begins at the earliest and latest."""

SHIFT_DURATION_S: Final = 1.6
MAX_SHIFT_FRACTION: Final = 0.15
"""Seconds for which all requests go to the new version before the old replicas are stopped, and the
largest fraction of the term for it. Other VMs see the shift within one second, and requests in
progress at the old replicas end meanwhile."""

TRIAL_SLACK_FRACTION: Final = 0.6
"""Fraction of the slack that the trial uses in addition to the exposure's share of the requests."""

SLACK_DELAY_S: Final = 4.5
"""Seconds after the order from which VMs split the slack by the request counts of all VMs: three
times the propagation time of counts, so that known counts cover at least two thirds."""

MAX_TRIAL_SHARE: Final = 0.5
"""Largest share of the requests in a trial; it is the limit at low request rates."""

TRIAL_PULSE_S: Final = 1.5
"""Seconds for which a trial gets alternately twice its share and none: a version that fails under
load shows it only under sustained load, which the exposure doesn't allow all the time."""


class Stage(enum.StrEnum):
    """The stage of a rollout."""

    TRIAL = "trial"
    SHIFT = "shift"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Return whether the rollout has ended."""
        return self in (Stage.COMPLETED, Stage.ROLLED_BACK)


@attrs.frozen(kw_only=True)
class ExposureBounds:
    """Exposure of a bad version: a share of all requests, plus `slack` requests."""

    share: float = 0.1
    slack: float = 50.0


def trial_share(bounds: ExposureBounds, *, term: float, rate: float, elapsed: float) -> float:
    """Return the share of a service's requests that goes to the new version in the trial.

    `term` and the time since the order, `elapsed`, are in seconds; `rate` is the request rate of
    all VMs per second, 0 if not known. Each VM sends this share of its own requests, so the result
    doesn't depend on the number of VMs.
    """
    if elapsed >= DECISION_DEADLINE * term:
        return 0.0
    share = bounds.share
    if rate > 0.0 and elapsed >= SLACK_DELAY_S:
        share += (
            TRIAL_SLACK_FRACTION
            * bounds.slack
            / (rate * max(1.0, term * DECISION_DEADLINE - SLACK_DELAY_S))
        )
    share = min(MAX_TRIAL_SHARE, share)
    if 2 * share > MAX_TRIAL_SHARE:
        return share
    return 2 * share if int(elapsed / TRIAL_PULSE_S) % 2 else 0.0


def allows_trial_request(
    bounds: ExposureBounds,
    *,
    elapsed: float,
    requests: int,
    trial_requests: int,
    total_requests: int,
    dither: float,
) -> bool:
    """Return whether a VM may send one more of its requests to the new version.

    `requests` and `trial_requests` are the VM's own requests and trial requests so far;
    `total_requests` the known requests of all VMs to the service; `elapsed` the seconds since the
    order. `dither` in [0, 1) is drawn once by each VM, so that fractions of a request add up over
    the VMs.

    Guard: `trial_share` is based on the usual request rate, so in a burst that share of the
    requests would exceed the slack many times. This limit keeps each VM within the exposure of its
    own requests and its part of the slack.
    """
    allowed = bounds.share * requests
    if total_requests and elapsed >= SLACK_DELAY_S:
        allowed += TRIAL_SLACK_FRACTION * bounds.slack * min(1.0, requests / total_requests)
    return trial_requests + dither <= allowed


def evidence_limits(bounds: ExposureBounds, *, term: float, rate: float) -> EvidenceLimits:
    """Return the evidence limits for a service with `rate` requests per second."""
    return LENIENT if 0.0 < rate * term <= bounds.slack else STRICT


def next_stage(
    stage: Stage, verdict: Verdict, *, elapsed: float, stage_elapsed: float, term: float
) -> Stage:
    """Return the next stage.

    `elapsed` is in seconds since the order, `stage_elapsed` in seconds since the stage began.
    """
    if stage.is_final:
        return stage
    if verdict is Verdict.BAD:
        return Stage.ROLLED_BACK
    if stage is Stage.SHIFT:
        return (
            Stage.COMPLETED
            if stage_elapsed >= min(SHIFT_DURATION_S, MAX_SHIFT_FRACTION * term)
            else stage
        )
    if verdict is Verdict.SOUND and elapsed >= EARLIEST_SHIFT * term:
        return Stage.SHIFT
    return Stage.ROLLED_BACK if elapsed >= DECISION_DEADLINE * term else stage
