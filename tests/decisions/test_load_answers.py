"""Answers: snapshot choice, coverage, merged hits, and time for the way back."""

from __future__ import annotations

import math

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from berylspindle_decisions.coverage import AnswerVerdict, CoverageCount, decide_answer
from berylspindle_decisions.deadlines import Deadlines
from berylspindle_decisions.merge import merge_hits, shard_limit
from berylspindle_decisions.snapshot_choice import KeepSnapshot, Reask, SnapshotTracker
from berylspindle_model.configuration import Policy, Preference
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.messages import Coverage, Hit
from berylspindle_model.snapshot import Snapshot

SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=60)
V1, V2, V3 = Snapshot(1, 1), Snapshot(1, 2), Snapshot(1, 3)
MAP = {"0": ["0a", "0b"], "1": ["1a", "1b"]}


def tracker(**held: tuple[Snapshot, ...]) -> SnapshotTracker:
    """Return a tracker that has observed each named server, as s0a for server 0a."""
    observed = SnapshotTracker(1, MAP)
    for name, versions in held.items():
        observed.observe(name[1], name[1:], versions)
    return observed


def test_the_newest_snapshot_that_every_shard_holds_is_pinned() -> None:
    """Guard against pinning the newest version of any replica while the version changes.

    Replicas move to a new version one by one; most shards would refuse it, and each search would be
    sent twice.
    """
    observed = tracker(s0a=(V1, V2), s1a=(V1,))
    assert observed.choose() == V1
    observed.observe("1", "1b", (V1, V2))
    assert observed.choose() == V2
    assert observed.choose(usable={"0a", "1a"}) == V1
    observed.on_gone("1", "1b", V2)
    assert observed.choose() == V1
    assert (observed.holds("0", "0a", V2), observed.holds("0", "0b", V2)) == (True, None)


def test_nothing_is_pinned_before_every_shard_is_known() -> None:
    assert tracker(s0a=(V1,)).choose() is None


def test_a_late_reply_for_an_older_map_is_ignored() -> None:
    """Guard against a late reply for an older map, in which shard "0" was other data."""
    observed = tracker(s0a=(V1,), s1a=(V1,))
    observed.set_map(2, {"0": ["0a"], "1": ["1a"], "2": ["2a"]})
    for shard in "012":
        observed.observe(shard, f"{shard}a", (Snapshot(2, 1),), 2)
    observed.observe("0", "0a", (V1,), 1)
    assert observed.choose() == Snapshot(2, 1)


def reask(observed: SnapshotTracker, **known: object) -> object:
    facts: dict[str, object] = {
        "answered": {"0": V1},
        "refused": ["1"],
        "pinned": False,
        "rounds": 0,
        "left_ms": 100.0,
        "expected_ms": 10.0,
    }
    return observed.reask(**{**facts, **known})  # type: ignore[arg-type]


def test_a_refused_shard_is_asked_again_at_a_replica_that_holds_the_snapshot() -> None:
    observed = tracker(s0a=(V1, V2), s1a=(V2,), s1b=(V1, V2))
    assert reask(observed) == Reask(target=V1, shards=("1",))


def test_an_answer_on_another_snapshot_is_asked_again_and_never_merged() -> None:
    observed = tracker(s0a=(V1, V2), s1a=(V2,))
    assert reask(observed) == Reask(target=V2, shards=("0", "1"))
    assert reask(observed, answered={"0": V1, "1": V2}, refused=[]) == Reask(
        target=V2, shards=("0",)
    )


def test_the_last_reask_takes_the_newest() -> None:
    observed = tracker(s0a=(V1, V2), s1a=(V2,), s1b=(V1, V2))
    assert reask(observed, rounds=1) == Reask(target=V2, shards=("0", "1"))


@pytest.mark.parametrize("known", [{"left_ms": 5.0}, {"rounds": 2}])
def test_without_time_for_a_reask_shards_on_other_snapshots_are_missing(
    known: dict[str, object],
) -> None:
    observed = tracker(s0a=(V1, V2), s1a=(V2,))
    assert reask(observed, **known) == KeepSnapshot(kept=V1, missing=("1",))
    mixed = reask(observed, answered={"0": V1, "1": V2}, refused=[], **known)
    assert mixed == KeepSnapshot(kept=V2, missing=("0",))


def test_a_page_token_allows_no_other_snapshot() -> None:
    observed = tracker(s0a=(V2,), s1a=(V2,))
    refused = reask(observed, pinned=True, answered={})
    assert isinstance(refused, Refusal)
    assert (refused.kind, refused.run_state) == (ErrorKind.SNAPSHOT_GONE, RunState.NOT_RUN)
    partly = reask(observed, pinned=True)
    assert isinstance(partly, Refusal)
    assert partly.run_state is RunState.RAN


def test_a_hedge_and_its_first_attempt_count_as_one_shard() -> None:
    """Guard against counting replies, which would state a coverage of three of three.

    Shard 0 answers twice, shard 2 doesn't answer, and a shard of another map answers as well.
    """
    count = CoverageCount(["0", "1", "2"])
    assert [count.on_answer(s) for s in ("0", "0", "9")] == [True, False, False]
    assert count.on_answer("1", partial=True)
    count.on_lost("1")
    assert count.coverage() == Coverage(asked=3, answered=2, missing=("2",), partial=("1",))
    assert count.pending == ("2",)


def test_a_discarded_answer_is_counted_again() -> None:
    count = CoverageCount(["0", "1"])
    count.on_answer("0", partial=True)
    count.on_reask("0")
    assert count.coverage() == Coverage(asked=2, answered=0, missing=("0", "1"))
    assert count.on_answer("0")


LATENCY = Policy(prefer=Preference.LATENCY, min_coverage=0.5, patience_ms=80)
COVERAGE = Policy(prefer=Preference.COVERAGE, min_coverage=0.5, patience_ms=80)


@pytest.mark.parametrize(
    ("policy", "answered", "lost", "elapsed", "left", "verdict", "wait"),
    [
        (LATENCY, 3, 0, 20, 400, AnswerVerdict.WAIT, 60),
        (LATENCY, 3, 0, 80, 400, AnswerVerdict.ANSWER, 0),
        (LATENCY, 1, 0, 80, 400, AnswerVerdict.WAIT, 400),
        (COVERAGE, 3, 0, 80, 400, AnswerVerdict.WAIT, 400),
        (COVERAGE, 3, 0, 500, 0, AnswerVerdict.ANSWER, 0),
        (COVERAGE, 1, 0, 500, 0, AnswerVerdict.REFUSE, 0),
        (COVERAGE, 4, 0, 20, 400, AnswerVerdict.ANSWER, 0),
        # The missing shard can no longer answer: waiting changes nothing.
        (COVERAGE, 3, 1, 20, 400, AnswerVerdict.ANSWER, 0),
        # The minimum coverage can no longer be reached: the error is final and sent at once.
        (COVERAGE, 0, 3, 20, 400, AnswerVerdict.REFUSE, 0),
        (LATENCY, 0, 3, 20, 400, AnswerVerdict.REFUSE, 0),
    ],
)
def test_when_an_answer_is_sent(
    policy: Policy,
    answered: int,
    lost: int,
    elapsed: float,
    left: float,
    verdict: AnswerVerdict,
    wait: float,
) -> None:
    count = CoverageCount(["0", "1", "2", "3"])
    for n in range(answered):
        count.on_answer(f"{n}")
    for n in range(lost):
        count.on_lost(f"{3 - n}")
    decision = decide_answer(policy, count, elapsed_ms=elapsed, left_ms=left)
    assert (decision.verdict, decision.wait_ms) == (verdict, wait)


hits = st.lists(st.tuples(st.integers(0, 30), st.sampled_from([0.1, 0.5, 0.9])), max_size=20)


@SETTINGS
@given(st.lists(hits, max_size=5), st.integers(0, 10), st.integers(1, 10))
def test_a_page_of_truncated_shards_equals_the_page_of_all_hits(
    shards: list[list[tuple[int, float]]], offset: int, limit: int
) -> None:
    complete = [
        sorted({i: Hit(id=f"{i}", score=s) for i, s in rows}.values(), key=_rank) for rows in shards
    ]
    best: dict[str, Hit] = {}
    for hit in sorted((hit for rows in complete for hit in rows), key=_rank):
        best.setdefault(hit.id, hit)
    expected = list(best.values())
    truncated = [rows[: shard_limit(offset=offset, limit=limit)] for rows in complete]
    page = merge_hits(truncated, offset=offset, limit=limit)
    assert list(page.hits) == expected[offset : offset + limit]
    assert page.next_offset == (offset + limit if len(expected) > offset + limit else None)


def _rank(hit: Hit) -> tuple[float, str]:
    return (-hit.score, hit.id)


def test_a_nan_score_is_sorted_last() -> None:
    rows = [Hit(id="b", score=math.nan), Hit(id="a", score=0.1)]
    page = merge_hits([rows, [Hit(id="c", score=0.5)]], offset=0, limit=3)
    assert [hit.id for hit in page.hits] == ["c", "a", "b"]


@SETTINGS
@given(st.floats(0.0, 10_000.0), st.integers(1, 500))
def test_every_hop_leaves_time_for_the_way_back(left_ms: float, shards: int) -> None:
    deadlines = Deadlines()
    entry = deadlines.for_entry(left_ms, shards=shards)
    if entry is None:
        assert left_ms < 1.25 + 1e-9
        return
    assert 0.8 * left_ms - 1e-9 <= entry < left_ms
    owner = deadlines.for_owner(entry)
    assert owner is None or owner < entry
    server = deadlines.for_server(owner) if owner is not None else None
    assert server is None or (owner is not None and 1.0 <= server < owner)
