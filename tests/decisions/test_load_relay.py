"""The choice of the VM that executes a scatter-gather among VMs of different capacity."""

from __future__ import annotations

import random
from collections import Counter

from berylspindle_decisions.relay_choice import (
    FAILURE_BACKOFF_S,
    REFUSAL_BACKOFF_S,
    RelayChoice,
    RelayVm,
    min_merger_capacity,
    share_divisor,
    vm_capacity,
)

LARGE = (RelayVm("big-1", 2.15), RelayVm("big-2", 2.15))
SMALL = RelayVm("small", 0.516)


def pick(choice: RelayChoice, now: float = 0.0, in_flight: int = 1, u: float = 0.5) -> str | None:
    return choice.pick_merger(now, (*LARGE, SMALL), in_flight=in_flight, uniform=u)


def test_a_small_vm_relays_its_searches_to_large_ones_and_a_large_one_keeps_its_own() -> None:
    """Guard against searches over 36 shards that queue on the 20 Mbit/s link of a small VM."""
    choice = RelayChoice(0.516)
    rng = random.Random(1)
    counts = Counter(pick(choice, u=rng.random()) for _ in range(100))
    assert set(counts) <= {"big-1", "big-2"}
    assert pick(RelayChoice(2.15)) is None
    assert (
        RelayChoice(1.0).pick_merger(0.0, (SMALL, RelayVm("same", 1.5)), in_flight=1, uniform=0.5)
        is None
    )


def test_searches_spread_by_load_and_stay_on_the_vm_while_large_ones_are_busy() -> None:
    """Guard against small VMs that all choose one large VM while the other is idle."""
    choice = RelayChoice(0.516)
    first = pick(choice)
    assert first is not None
    choice.on_sent(first)
    second = pick(choice)
    assert second not in (None, first)
    for merger in LARGE:
        choice.on_report(0.0, merger.name, 9)
    assert pick(choice, now=0.1) is None
    assert pick(choice, now=0.1, in_flight=6) is not None
    # An outdated load report is ignored.
    assert pick(choice, now=5.0) is not None


def test_a_merger_that_failed_is_avoided_during_its_back_off() -> None:
    choice = RelayChoice(0.516)
    choice.back_off(0.0, "big-1", long=True)
    choice.back_off(0.0, "big-2", long=False)
    assert pick(choice, now=REFUSAL_BACKOFF_S - 0.01) is None
    assert pick(choice, now=REFUSAL_BACKOFF_S + 0.01) == "big-2"
    assert pick(choice, now=FAILURE_BACKOFF_S + 0.01, u=0.0) in ("big-1", "big-2")


def test_the_parts_of_a_cluster_wide_limit_add_up_to_one() -> None:
    """Guard against parts that together exceed a limit of a replica.

    The replica would reset connections, or be overloaded while it is cold.
    With an even split among 81 VMs, a merger would have one connection and no hedged requests.
    """
    fleet = [2.15] * 8 + [0.516] * 73
    parts = []
    for index, own in enumerate(fleet):
        others = Counter(fleet[:index] + fleet[index + 1 :])
        parts.append(1 / share_divisor(own, others))
    assert abs(sum(parts) - 1.0) < 1e-9
    assert parts[0] == 1 / 16
    assert share_divisor(1.07, {1.07: 7}) == 8
    assert share_divisor(1.0, {}) == 1


def test_searches_of_a_data_centre_without_replicas_are_merged_near_them() -> None:
    """Guard against 42 messages over the links between data centres for one response."""
    near, far = RelayVm("near", 2.15), RelayVm("far", 2.15, missing_share=1.0)
    for own in (0.516, 2.15):
        choice = RelayChoice(own)
        assert (
            choice.pick_merger(0.0, (near, far), in_flight=1, uniform=0.5, missing_share=1.0)
            == "near"
        )
    # A smaller VM is no candidate, and a data centre that lacks a few shards keeps its requests.
    assert (
        RelayChoice(2.15).pick_merger(0.0, (SMALL,), in_flight=1, uniform=0.5, missing_share=1.0)
        is None
    )
    assert (
        RelayChoice(2.15).pick_merger(0.0, (near,), in_flight=1, uniform=0.5, missing_share=0.3)
        is None
    )


def test_searches_stay_in_their_data_centre_while_mergers_near_the_replicas_are_busy() -> None:
    """Guard against callers that wait for three VMs of one data centre while others are idle."""
    choice = RelayChoice(0.516)
    mergers = (RelayVm("near", 2.15), RelayVm("here", 2.15, missing_share=1.0))
    choice.on_report(0.0, "near", 30)
    assert choice.pick_merger(0.1, mergers, in_flight=1, uniform=0.5, missing_share=1.0) == "here"


def test_mergers_are_the_larger_vms_or_all_of_equal_capacity() -> None:
    assert min_merger_capacity([0.516, 0.516, 2.15]) == 2 * 0.516
    assert min_merger_capacity([1.07, 1.07]) == 1.07


def test_a_slow_link_limits_the_capacity_of_a_vm() -> None:
    assert vm_capacity(cores=2.0, link_mbps=1000.0) == 2.0
    assert vm_capacity(cores=2.0, link_mbps=8.0) == 0.5
