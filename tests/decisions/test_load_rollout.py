"""Rollouts: the exposure of a bad version, and the completion of a sound one."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylspindle_bench.rollout_trials import (
    Fault,
    Service,
    Version,
    judge_without_routes,
    simulate_rollout,
)
from berylspindle_decisions.rollout_plan import (
    MAX_TRIAL_SHARE,
    SLACK_DELAY_S,
    ExposureBounds,
    Stage,
    allows_trial_request,
    next_stage,
    trial_share,
)
from berylspindle_decisions.version_analysis import LENIENT, Verdict, analyse
from berylspindle_model.rollout import AnswerCounts

SEEDS = range(25)
BUSY = Service(rate=63.0)


@pytest.mark.parametrize("kind", ["start", "later", "one route", "load"])
def test_a_bad_version_is_rolled_back_within_its_exposure(kind: str) -> None:
    """Guard against completing a version that fails later, on one route or under load."""
    runs = [simulate_rollout(Version(kind=kind, share=0.4), BUSY, seed=seed) for seed in SEEDS]
    assert all(run.stage is Stage.ROLLED_BACK for run in runs)
    assert all(run.exposed <= run.allowed for run in runs)


def test_a_sound_version_is_completed_in_time() -> None:
    runs = [simulate_rollout(Version(), BUSY, seed=seed) for seed in SEEDS]
    assert sum(run.stage is Stage.COMPLETED for run in runs) >= 20
    assert all(run.ended < BUSY.term_s for run in runs)


def test_a_sound_version_of_a_service_with_few_requests_is_completed() -> None:
    low_rate = Service(rate=2.0, old_bad_share=0.01)
    runs = [simulate_rollout(Version(), low_rate, seed=seed) for seed in SEEDS]
    assert sum(run.stage is Stage.COMPLETED for run in runs) >= 15


def test_a_version_that_is_bad_on_one_route_is_detected() -> None:
    """Guard against evaluating only the total, where the control's pauses mask a single route."""
    routes = {
        "whole": AnswerCounts(70, 5, {"a": (700, 50)}),
        "quick": AnswerCounts(12, 8, {"a": (120, 6)}),
    }
    assert analyse(routes) is Verdict.BAD
    assert judge_without_routes(routes, LENIENT) is not Verdict.SOUND


def test_trouble_of_both_versions_does_not_count_against_the_new_one() -> None:
    assert analyse({"r": AnswerCounts(60, 15, {"a": (600, 150)})}) is not Verdict.BAD
    assert analyse({"r": AnswerCounts(60, 30, {"a": (600, 150)})}) is Verdict.BAD


def test_no_version_is_found_sound_without_responses() -> None:
    assert analyse({}) is Verdict.INCONCLUSIVE
    assert analyse({"r": AnswerCounts(old={"a": (500, 0)})}, LENIENT) is Verdict.INCONCLUSIVE


TIMES = st.floats(min_value=0.0, max_value=100.0)


@given(
    stage=st.sampled_from(Stage),
    verdict=st.sampled_from(Verdict),
    elapsed=TIMES,
    in_stage=TIMES,
    term=st.floats(min_value=1.0, max_value=60.0),
)
def test_stages_never_go_back_and_a_bad_version_never_advances(
    stage: Stage, verdict: Verdict, elapsed: float, in_stage: float, term: float
) -> None:
    following = next_stage(stage, verdict, elapsed=elapsed, stage_elapsed=in_stage, term=term)
    if stage.is_final:
        assert following is stage
    elif verdict is Verdict.BAD:
        assert following is Stage.ROLLED_BACK
    elif stage is Stage.SHIFT:
        assert following in (Stage.SHIFT, Stage.COMPLETED)
    else:
        assert following is not Stage.COMPLETED
        assert following is not Stage.SHIFT or verdict is Verdict.SOUND


@given(
    rate=st.floats(min_value=0.0, max_value=500.0), term=st.floats(min_value=4.0, max_value=60.0)
)
def test_the_trial_share_stays_within_the_exposure(rate: float, term: float) -> None:
    """Guard against a trial after the decision deadline, or pulses that exceed the exposure."""
    bounds = ExposureBounds()
    steps = [n * 0.05 for n in range(int(term / 0.05))]
    shares = [trial_share(bounds, term=term, rate=rate, elapsed=at) for at in steps]
    assert max(shares) <= MAX_TRIAL_SHARE
    exposed = sum(shares) * 0.05 * rate
    assert exposed <= bounds.share * rate * term + bounds.slack


@given(
    data=st.data(),
    vms=st.integers(min_value=1, max_value=20),
    lag=st.integers(min_value=1, max_value=200),
)
def test_all_vms_together_stay_within_the_exposure(data: st.DataObject, vms: int, lag: int) -> None:
    """Guard against VMs that each use the whole slack, or divide it by outdated counts."""
    bounds = ExposureBounds()
    requests, tried = [0] * vms, [0] * vms
    rng = data.draw(st.randoms(use_true_random=False))
    dithers = [rng.random() for _ in range(vms)]
    for total in range(1, 600):
        vm = rng.randrange(vms)
        requests[vm] += 1
        tried[vm] += allows_trial_request(
            bounds,
            elapsed=SLACK_DELAY_S * total / (3 * lag),
            requests=requests[vm],
            trial_requests=tried[vm],
            total_requests=max(0, total - lag),
            dither=dithers[vm],
        )
        assert sum(tried) <= bounds.share * total + bounds.slack + vms


def test_a_trial_stays_within_the_exposure_in_a_burst() -> None:
    """Guard against a share computed for the usual rate that exceeds the slack in a burst."""
    runs = [simulate_rollout(Version(), BUSY, seed=seed, fault=Fault.BURST) for seed in SEEDS]
    assert all(run.exposed <= run.allowed for run in runs if run.stage is Stage.ROLLED_BACK)
    bad = Version(kind="start", share=0.1)
    bad_runs = [simulate_rollout(bad, BUSY, seed=seed, fault=Fault.BURST) for seed in SEEDS]
    assert sum(run.exposed > run.allowed for run in bad_runs) <= 2


def test_a_slow_old_replica_does_not_hide_a_bad_version() -> None:
    """Guard against a shift to a bad version while an old replica is slow."""
    bad = Version(kind="later", share=0.3)
    runs = [simulate_rollout(bad, BUSY, seed=seed, fault=Fault.OLD_SLOW) for seed in SEEDS]
    assert sum(run.stage is Stage.ROLLED_BACK for run in runs) >= 23
    counts = AnswerCounts(60, 15, {"a": (200, 10), "b": (200, 8), "slow": (200, 120)})
    assert analyse({"r": counts}) is Verdict.BAD
