"""Stateful test of the fan-out with reordered, late, duplicate and failed replies."""

from __future__ import annotations

import attrs
import pytest
from fanout_fakes import NEW, OLD, SHARDS, FakeStrategy, answer, failure
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from berylspindle_dataplane.fanout_strategy import Action, Send
from berylspindle_dataplane.search_fanout import MAX_ATTEMPTS, SearchFanout
from berylspindle_decisions.snapshot_choice import Reask
from berylspindle_model.configuration import Policy, Service
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import AttemptReply, SearchAnswer, SearchRequest
from berylspindle_model.snapshot import Snapshot


class FanoutMachine(RuleBasedStateMachine):
    """Replies in any order, late, duplicate and failed, while time passes."""

    fanout_type: type[SearchFanout] = SearchFanout

    def __init__(self) -> None:
        super().__init__()
        self.strategy = FakeStrategy()
        self.now = 0.0
        self.outstanding: dict[str, Send] = {}
        self.ended: list[Send] = []
        self.accepted = False
        self.fanout = self.fanout_type(
            SearchRequest(request_id="r", service="lots", caller="c", query="q", limit=10),
            Service(name="lots", epoch=1, shards=SHARDS, policy=Policy(patience_ms=80)),
            self.strategy,
            pin=OLD,
            suspected=False,
            now=0.0,
            deadline=0.5,
        )
        self._apply(self.fanout.start(0.0))

    def _apply(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                assert action.attempt.id not in self.outstanding
                self.outstanding[action.attempt.id] = action
            else:
                self.ended.append(self.outstanding.pop(action.attempt_id))

    @rule(number=st.integers(0, 20), seconds=st.sampled_from([0.0, 0.005, 0.03]))
    def reply(self, number: int, seconds: float) -> None:
        self._reply(number, seconds, None)

    @rule(
        number=st.integers(0, 20),
        kind=st.sampled_from(
            [ErrorKind.NOT_OWNER, ErrorKind.SERVER_SHED, ErrorKind.CONNECTION_LOST]
        ),
        run=st.sampled_from([RunState.NOT_RUN, RunState.MAY_HAVE_RUN]),
    )
    def fail(self, number: int, kind: ErrorKind, run: RunState) -> None:
        if self.outstanding:
            send = self.outstanding.pop(sorted(self.outstanding)[number % len(self.outstanding)])
            self._apply(self.fanout.on_reply(self.now, failure(send, kind, run)))

    @rule(number=st.integers(0, 20))
    def answer_on_other_snapshot(self, number: int) -> None:
        """Let a replica answer on another snapshot than requested."""
        self.strategy.decision = Reask(target=NEW, shards=SHARDS)
        self._reply(number, 0.0, NEW)

    @rule(number=st.integers(0, 20))
    def late_reply(self, number: int) -> None:
        """Let a server answer an attempt that was cancelled."""
        if self.ended:
            send = self.ended[number % len(self.ended)]
            self._apply(self.fanout.on_reply(self.now, answer(send)))

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.2]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        while self.fanout.outcome is None and self.fanout.next_timer <= self.now:
            self._apply(self.fanout.on_timer(max(self.fanout.next_timer, 0.0)))

    def _reply(self, number: int, seconds: float, on: Snapshot | None) -> None:
        self.now += seconds
        if not self.outstanding:
            return
        send = self.outstanding.pop(sorted(self.outstanding)[number % len(self.outstanding)])
        self.ended.append(send)
        self._apply(self.fanout.on_reply(self.now, answer(send, on)))

    @invariant()
    def one_snapshot_and_correct_coverage(self) -> None:
        outcome = self.fanout.outcome
        if not isinstance(outcome, SearchAnswer):
            return
        assert {hit.fields["version"] for hit in outcome.hits} <= {outcome.snapshot.version}
        assert len(outcome.hits) == outcome.coverage.answered
        assert outcome.coverage.answered + len(outcome.coverage.missing) == outcome.coverage.asked

    @invariant()
    def no_attempt_is_outstanding_after_the_outcome(self) -> None:
        if self.fanout.outcome is not None:
            assert not self.outstanding

    @invariant()
    def attempts_are_bounded(self) -> None:
        assert self.strategy.ids <= 3 * len(SHARDS) * MAX_ATTEMPTS * 6

    @invariant()
    def it_ends_by_its_deadline(self) -> None:
        if self.now > 0.5:
            self.wait(0.0)
            assert self.fanout.outcome is not None


class MergesAnySnapshot(SearchFanout):
    """Injected fault: the snapshot of a reply is not compared with the pin."""

    def _accept(self, now: float, shard: object, reply: AttemptReply) -> list[Action]:
        return super()._accept(now, shard, attrs.evolve(reply, snapshot=self._pin))  # type: ignore[arg-type]


class FaultyMachine(FanoutMachine):
    fanout_type = MergesAnySnapshot


MACHINE_SETTINGS = settings(
    derandomize=True, deadline=None, database=None, max_examples=200, stateful_step_count=25
)


def test_fanout_machine() -> None:
    run_state_machine_as_test(FanoutMachine, settings=MACHINE_SETTINGS)


def test_fanout_machine_detects_a_missing_snapshot_check() -> None:
    with pytest.raises(AssertionError):
        run_state_machine_as_test(FaultyMachine, settings=MACHINE_SETTINGS)
