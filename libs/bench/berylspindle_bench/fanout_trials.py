"""Simulate replica choice, grouping, ejection, hedging and admission against a random replica.

Terms:
  extra      hedges and retries, as a share of the first attempts
  whole      answers with all their shards within the deadline

Flow: `fanout_rows` simulates every variant in every scenario with `fanout_model` and yields one row
for each.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import attrs

from berylspindle_bench.fanout_model import (
    DEADLINE_S,
    SHARDS,
    Scenario,
    Simulation,
    Variant,
    search_ms,
)

SCENARIOS: Final = (
    Scenario(name="healthy, 30% load", load=0.3),
    Scenario(name="healthy, 70% load", load=0.7),
    Scenario(name="one slow replica a shard", load=0.3, slow_replicas=1),
    Scenario(name="one failing replica a shard", load=0.3, failing_replicas=1),
    Scenario(name="1% stragglers", load=0.3, straggler_share=0.01),
    Scenario(name="5% stragglers", load=0.3, straggler_share=0.05),
    Scenario(name="saturation, 130% load", load=1.3),
)

VARIANTS: Final = (
    Variant(name="random", drops_expired=False),
    Variant(name="random + hedge", hedges=True),
    Variant(name="choice", ranks_replicas=True),
    Variant(name="choice + grouping", ranks_replicas=True, groups_by_owner=True),
    Variant(name="choice + ejection", ranks_replicas=True, ejects=True, groups_by_owner=True),
    Variant(
        name="all",
        ranks_replicas=True,
        ejects=True,
        hedges=True,
        admits_by_load=True,
        groups_by_owner=True,
    ),
)


@attrs.frozen(kw_only=True)
class FanoutRow:
    """Results of one variant in one scenario.

    Attributes:
        p50_ms: median latency of admitted searches; the deadline for an incomplete one.
        p99_ms: 99th percentile of the same.
        whole: complete answers as a share of all searches offered.
        refused: searches refused by admission control, as a share of all offered.
        coverage: shards answered as a share of the shards of admitted searches.
        extra: hedges and retries as a share of first attempts.
        messages: messages to owners with first attempts, per admitted search.
    """

    scenario: str
    variant: str
    p50_ms: float
    p99_ms: float
    whole: float
    refused: float
    coverage: float
    extra: float
    messages: float


def fanout_row(scenario: Scenario, variant: Variant, *, seconds: float) -> FanoutRow:
    """Run one simulation; its first quarter, while the estimates converge, does not count."""
    simulation = Simulation(scenario, variant, seed=1)
    simulation.run(seconds)
    offered = [search for search in simulation.searches if search.started > seconds / 4]
    latencies_ms = sorted(search_ms(search) for search in offered if search.admitted)
    whole = sum(1 for ms in latencies_ms if ms < DEADLINE_S * 1000)
    answered = sum(SHARDS - search.shards_left for search in offered if search.admitted)
    hedged = sum(entry.hedges.budget.spent for entry in simulation.entries)
    retried = sum(entry.retry_budget.spent for entry in simulation.entries)
    sub_requests = SHARDS * sum(1 for search in simulation.searches if search.admitted)
    return FanoutRow(
        scenario=scenario.name,
        variant=variant.name,
        p50_ms=latencies_ms[len(latencies_ms) // 2],
        p99_ms=latencies_ms[int(len(latencies_ms) * 0.99)],
        whole=whole / len(offered),
        refused=1 - len(latencies_ms) / len(offered),
        coverage=answered / (SHARDS * len(latencies_ms)),
        extra=(hedged + retried) / sub_requests,
        messages=simulation.messages * SHARDS / sub_requests,
    )


def fanout_rows(*, seconds: float) -> Iterator[FanoutRow]:
    """Run every variant in every scenario and yield the results."""
    for scenario in SCENARIOS:
        for variant in VARIANTS:
            yield fanout_row(scenario, variant, seconds=seconds)
