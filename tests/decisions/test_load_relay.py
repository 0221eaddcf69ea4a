"""Where a request over many shards is merged when VMs are uneven."""

from __future__ import annotations

import random
from collections import Counter

from berylspindle_decisions.relay_choice import (
    FAILURE_BACKOFF_S,
    REFUSAL_BACKOFF_S,
    RelayChoice,
    RelayVm,
    bears_of,
    count_alike,
    least_merger,
)

BIG = (RelayVm("big-1", 2.15), RelayVm("big-2", 2.15))
SMALL = RelayVm("small", 0.516)


def pick(choice: RelayChoice, now: float = 0.0, in_flight: int = 1, u: float = 0.5) -> str | None:
    return choice.pick(now, (*BIG, SMALL), in_flight=in_flight, u=u)


def test_a_small_vm_passes_its_searches_to_big_ones_and_a_big_one_keeps_its_own() -> None:
    """A search over 36 shards on a VM with 20 Mbit/s waits for its own link, not for shards."""
    choice = RelayChoice(0.516)
    rng = random.Random(1)
    got = Counter(pick(choice, u=rng.random()) for _ in range(100))
    assert set(got) <= {"big-1", "big-2"}
    assert pick(RelayChoice(2.15)) is None
    assert RelayChoice(1.0).pick(0.0, (SMALL, RelayVm("same", 1.5)), in_flight=1, u=0.5) is None


def test_searches_spread_by_what_is_under_way_and_stay_where_big_ones_are_full() -> None:
    """All small VMs choose the same big one, and its callers wait while the other idles."""
    choice = RelayChoice(0.516)
    first = pick(choice)
    assert first is not None
    choice.sent(first)
    second = pick(choice)
    assert second not in (None, first)
    for merger in BIG:
        choice.reported(0.0, merger.name, 9)
    assert pick(choice, now=0.1) is None
    assert pick(choice, now=0.1, in_flight=6) is not None
    # Old news of load is no news.
    assert pick(choice, now=5.0) is not None


def test_a_merger_that_failed_is_left_alone_for_a_while() -> None:
    choice = RelayChoice(0.516)
    choice.doubt(0.0, "big-1", long=True)
    choice.doubt(0.0, "big-2", long=False)
    assert pick(choice, now=REFUSAL_BACKOFF_S - 0.01) is None
    assert pick(choice, now=REFUSAL_BACKOFF_S + 0.01) == "big-2"
    assert pick(choice, now=FAILURE_BACKOFF_S + 0.01, u=0.0) in ("big-1", "big-2")


def test_what_all_vms_share_is_divided_so_that_no_more_than_all_of_it_is_used() -> None:
    """A replica resets connections, or falls over cold, for the parts of all VMs exceed its bound.

    Divided evenly by 81, a merger would have one connection and no hedge to spare.
    """
    fleet = [2.15] * 8 + [0.516] * 73
    parts = []
    for index, own in enumerate(fleet):
        others = Counter(fleet[:index] + fleet[index + 1 :])
        parts.append(1 / count_alike(own, others))
    assert abs(sum(parts) - 1.0) < 1e-9
    assert parts[0] == 1 / 16
    assert count_alike(1.07, {1.07: 7}) == 8
    assert count_alike(1.0, {}) == 1


def test_a_data_centre_without_replicas_has_its_searches_merged_near_them() -> None:
    """Guards against 42 parts over the links between data centres for one answer."""
    near, far = RelayVm("near", 2.15), RelayVm("far", 2.15, missing=1.0)
    for own in (0.516, 2.15):
        choice = RelayChoice(own)
        assert choice.pick(0.0, (near, far), in_flight=1, u=0.5, missing=1.0) == "near"
    # One that bears less is spared, and a data centre that lacks a few shards keeps its own.
    assert RelayChoice(2.15).pick(0.0, (SMALL,), in_flight=1, u=0.5, missing=1.0) is None
    assert RelayChoice(2.15).pick(0.0, (near,), in_flight=1, u=0.5, missing=0.3) is None


def test_searches_stay_in_their_data_centre_while_all_mergers_near_the_replicas_are_full() -> None:
    """Guards against callers that wait for three VMs of one data centre while others idle."""
    choice = RelayChoice(0.516)
    mergers = (RelayVm("near", 2.15), RelayVm("here", 2.15, missing=1.0))
    choice.reported(0.0, "near", 30)
    assert choice.pick(0.1, mergers, in_flight=1, u=0.5, missing=1.0) == "here"


def test_mergers_are_the_bigger_vms_or_all_where_none_is_bigger() -> None:
    assert least_merger([0.516, 0.516, 2.15]) == 2 * 0.516
    assert least_merger([1.07, 1.07]) == 1.07


def test_a_link_can_bind_a_vm_with_cores_to_spare() -> None:
    assert bears_of(cores=2.0, link_mbps=1000.0) == 2.0
    assert bears_of(cores=2.0, link_mbps=8.0) == 0.5
