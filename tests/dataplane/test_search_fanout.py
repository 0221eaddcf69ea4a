"""Fan-out state machine: attempts sent, replies merged, shards lost and outcomes."""

from __future__ import annotations

import attrs
import pytest
from fanout_fakes import (
    NEW,
    OLD,
    SHARDS,
    FakeStrategy,
    answer,
    cancels,
    failure,
    make_fanout,
    outcome_of,
    sends,
)

from berylspindle_decisions.hedging import HedgeVerdict
from berylspindle_decisions.snapshot_choice import Reask
from berylspindle_model.configuration import Preference
from berylspindle_model.errors import ErrorKind, Refusal, RunState


def test_all_shards_answer() -> None:
    fanout = make_fanout(FakeStrategy())
    first = sends(fanout.start(0.0))
    assert sorted(first) == ["0-0", "1-0", "2-0"]
    for send in first.values():
        fanout.on_reply(0.01, answer(send))
    outcome = outcome_of(fanout)
    assert outcome.coverage.answered == outcome.coverage.asked == 3
    assert {hit.id for hit in outcome.hits} == {"0@1", "1@1", "2@1"}


def test_a_hedge_and_its_first_attempt_count_once() -> None:
    """Guards against duplicate hits and against hiding a shard that never answered.

    The hedge of a slow shard answers, and the reply of the first attempt arrives right after it.
    """
    fanout = make_fanout(FakeStrategy(), prefer=Preference.COVERAGE)
    first = sends(fanout.start(0.0))
    fanout.on_reply(0.01, answer(first["0-0"]))
    fanout.on_reply(0.01, answer(first["1-0"]))
    hedges = sends(fanout.on_timer(0.02))
    assert sorted(hedges) == ["2-1"]
    won = fanout.on_reply(0.03, answer(hedges["2-1"]))
    assert cancels(won) == {first["2-0"].attempt.id}
    assert fanout.on_reply(0.031, answer(first["2-0"])) == []
    assert len(outcome_of(fanout).hits) == 3


def test_a_reply_on_another_snapshot_is_never_merged() -> None:
    """Guards against mixing two snapshots in one answer.

    A new index version is published while the search runs, and a replica queried for the old
    version computes on the new one.
    """
    strategy = FakeStrategy()
    fanout = make_fanout(strategy, prefer=Preference.COVERAGE)
    first = sends(fanout.start(0.0))
    fanout.on_reply(0.01, answer(first["0-0"]))
    strategy.decision = Reask(target=NEW, shards=SHARDS)
    again = sends(fanout.on_reply(0.02, answer(first["1-0"], NEW)))
    assert {send.attempt.pin for send in again.values()} == {NEW}
    assert len(again) == 3
    for send in again.values():
        fanout.on_reply(0.03, answer(send))
    outcome = outcome_of(fanout)
    assert outcome.snapshot == NEW
    assert {hit.fields["version"] for hit in outcome.hits} == {2}


def test_a_page_stays_on_its_snapshot_or_is_refused() -> None:
    """Guards against a second page that skips or repeats hits.

    The first page was computed on a version that every replica has dropped since.
    """
    strategy = FakeStrategy()
    strategy.decision = Refusal(ErrorKind.SNAPSHOT_GONE, run=RunState.NOT_RUN)
    fanout = make_fanout(strategy, page=OLD)
    first = sends(fanout.start(0.0))
    second = sends(fanout.on_reply(0.01, failure(first["0-0"], ErrorKind.SNAPSHOT_GONE)))
    assert sorted(second) == ["0-1"]
    fanout.on_reply(0.02, failure(second["0-1"], ErrorKind.SNAPSHOT_GONE))
    assert isinstance(fanout.outcome, Refusal)
    assert fanout.outcome.kind is ErrorKind.SNAPSHOT_GONE


def test_latency_preference_answers_without_stragglers() -> None:
    strategy = FakeStrategy()
    strategy.hedge = HedgeVerdict.NO_BUDGET
    fanout = make_fanout(strategy)
    first = sends(fanout.start(0.0))
    fanout.on_reply(0.01, answer(first["0-0"]))
    fanout.on_reply(0.01, answer(first["1-0"], partial=True))
    fanout.on_timer(0.02)
    assert fanout.outcome is None
    cancelled = cancels(fanout.on_timer(0.08))
    outcome = outcome_of(fanout)
    assert outcome.coverage.missing == ("2",)
    assert outcome.coverage.partial == ("1",)
    assert cancelled == {first["2-0"].attempt.id}


def test_coverage_preference_waits_until_the_deadline() -> None:
    strategy = FakeStrategy()
    strategy.hedge = HedgeVerdict.NO_BUDGET
    fanout = make_fanout(strategy, prefer=Preference.COVERAGE)
    first = sends(fanout.start(0.0))
    fanout.on_reply(0.01, answer(first["0-0"]))
    fanout.on_reply(0.01, answer(first["1-0"]))
    fanout.on_timer(0.08)
    assert fanout.outcome is None
    fanout.on_timer(0.5)
    assert outcome_of(fanout).coverage.missing == ("2",)


def test_a_suspected_search_is_sent_to_one_server_only() -> None:
    """Guards against a crashing request that takes down one replica per shard.

    The connection of the canary of a suspected search is lost. No hedge, retry or other shard may
    run the search afterwards.
    """
    strategy = FakeStrategy()
    strategy.retries = False
    fanout = make_fanout(strategy, suspected=True)
    first = sends(fanout.start(0.0))
    assert len(first) == 1
    assert fanout.on_timer(0.03) == []
    (canary,) = first.values()
    lost = failure(canary, ErrorKind.CONNECTION_LOST, RunState.MAY_HAVE_RUN)
    assert fanout.on_reply(0.04, lost) == []
    assert isinstance(fanout.outcome, Refusal)
    assert fanout.outcome.run_state is RunState.MAY_HAVE_RUN


def test_an_unknown_snapshot_is_pinned_by_a_canary() -> None:
    fanout = make_fanout(FakeStrategy(), pin=None)
    first = sends(fanout.start(0.0))
    assert len(first) == 1
    rest = sends(fanout.on_reply(0.01, answer(first["0-0"], NEW)))
    assert sorted(rest) == ["1-0", "2-0"]
    assert {send.attempt.pin for send in rest.values()} == {NEW}


def test_a_transient_refusal_is_retried_after_a_delay() -> None:
    """Guards against a partial result while ownership moves.

    Both replicas of a shard refuse without execution because their owners have just joined; a few
    milliseconds later they accept attempts.
    """
    fanout = make_fanout(FakeStrategy())
    first = sends(fanout.start(0.0))
    fanout.on_reply(0.001, answer(first["0-0"]))
    fanout.on_reply(0.001, answer(first["1-0"]))
    second = sends(fanout.on_reply(0.002, failure(first["2-0"], ErrorKind.NOT_OWNER)))
    assert fanout.on_reply(0.003, failure(second["2-1"], ErrorKind.NOT_OWNER)) == []
    assert fanout.outcome is None
    assert fanout.next_timer == pytest.approx(0.023) or fanout.next_timer == pytest.approx(0.02)
    fanout.on_timer(0.0201)
    third = sends(fanout.on_timer(0.0231))
    fanout.on_reply(0.025, answer(third["2-0"]))
    assert not outcome_of(fanout).coverage.missing


def test_a_search_without_replicas_is_refused_as_not_run() -> None:
    strategy = FakeStrategy()
    strategy.usable = set()
    fanout = make_fanout(strategy, min_coverage=1.0)
    assert fanout.start(0.0) == []
    while fanout.outcome is None:
        fanout.on_timer(fanout.next_timer)
    assert isinstance(fanout.outcome, Refusal)
    assert fanout.outcome.kind is ErrorKind.NO_REPLICA
    assert fanout.outcome.run_state is RunState.NOT_RUN


def test_overload_of_a_required_shard_ends_the_search_before_its_deadline() -> None:
    """Guards against waiting for a result that has become impossible.

    A shard is refused for overload and the retry budget is spent, while the service requires all
    shards.
    """
    strategy = FakeStrategy()
    strategy.retries = False
    fanout = make_fanout(strategy, min_coverage=1.0)
    first = sends(fanout.start(0.0))
    reply = attrs.evolve(failure(first["0-0"], ErrorKind.OVERLOADED), retry_after_ms=70)
    fanout.on_reply(0.001, reply)
    assert isinstance(fanout.outcome, Refusal)
    assert fanout.outcome.kind is ErrorKind.OVERLOADED
    assert fanout.outcome.retry_after == 70
