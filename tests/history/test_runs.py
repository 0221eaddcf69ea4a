"""Runs of daemons over sockets, with faults from fixed seeds, violate no guarantee."""

from __future__ import annotations

import pytest

from berylspindle_bench.history_campaign import Scope, parse_plans
from berylspindle_bench.history_run import FAULTS, RunPlan, run_once

RUNS = (
    RunPlan(seed=1, faults=("publish", "crossed")),
    RunPlan(seed=2, faults=("cold", "stragglers")),
    RunPlan(seed=3, faults=("term", "store-lost")),
    RunPlan(seed=4, faults=("operators", "kill")),
)


@pytest.mark.parametrize("plan", RUNS, ids=lambda plan: plan.name)
async def test_no_guarantee_is_violated(plan: RunPlan) -> None:
    """Guard against wrong answers and duplicate work that only two concurrent faults cause.

    Callers send requests through all daemons while both faults of the run are active. The history
    must contain answers and no violation.
    """
    verdict = await run_once(plan)
    assert verdict.violations == (), "\n".join(map(str, verdict.violations))


def test_command_line_selects_runs() -> None:
    plans = parse_plans("3-4", "kill, store-reset")
    assert [(plan.seed, plan.faults) for plan in plans] == [
        (3, ("kill", "store-reset")),
        (4, ("kill", "store-reset")),
    ]
    assert {plan.name for plan in parse_plans("7", "", Scope.ALONE)} == {f"{f}-7" for f in FAULTS}
    with pytest.raises(ValueError, match="unknown fault flood"):
        parse_plans("1", "flood")


def test_the_campaign_has_twenty_seeds_a_fault_and_three_a_pair() -> None:
    plans = parse_plans("1", "", Scope.ALL)
    pair_count = len(FAULTS) * (len(FAULTS) - 1) // 2
    assert len(plans) == 20 * len(FAULTS) + 3 * pair_count
    assert len({plan.name for plan in plans}) == len(plans)
