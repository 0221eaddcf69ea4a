"""Fake strategy of a fan-out, and helpers that build searches and replies."""

from __future__ import annotations

from collections.abc import Mapping

from berylspindle_dataplane.fanout_strategy import Action, Cancel, FanoutStrategy, Send
from berylspindle_dataplane.router import Target
from berylspindle_dataplane.search_fanout import SearchFanout
from berylspindle_decisions.hedging import HedgeVerdict
from berylspindle_decisions.snapshot_choice import KeepSnapshot, Reask
from berylspindle_model.configuration import Policy, Preference, Server, Service
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.messages import AttemptReply, Hit, SearchAnswer, SearchRequest
from berylspindle_model.snapshot import Snapshot
from berylspindle_model.topology import Vm

OLD, NEW = Snapshot(1, 1), Snapshot(1, 2)
SHARDS = ("0", "1", "2")
OWNER = Vm(id="vm", data_centre="a", host="127.0.0.1", peer_port=1)


class FakeStrategy(FanoutStrategy):
    """Two usable replicas per shard, with verdicts set by the test."""

    def __init__(self) -> None:
        self.hedge = HedgeVerdict.GO
        self.retries = True
        self.decision: Reask | KeepSnapshot | Refusal = KeepSnapshot(kept=None, missing=())
        self.usable = {f"{shard}-{number}" for shard in SHARDS for number in (0, 1)}
        self.ids = 0

    def pick(
        self, shard: str, *, tried: frozenset[str], pin: Snapshot | None, hedge: bool
    ) -> Target | None:
        for name in sorted(self.usable):
            if name.startswith(f"{shard}-") and name not in tried:
                return Target(_server(name), OWNER)
        return None

    def hedge_delay_ms(self) -> float:
        return 20.0

    def may_hedge(self, *, elapsed_ms: float, left_ms: float) -> HedgeVerdict:
        return self.hedge

    def may_retry(self, shard: str, reply: AttemptReply, *, left_ms: float) -> bool:
        return self.retries

    def reask(
        self,
        *,
        answered: Mapping[str, Snapshot],
        refused: frozenset[str],
        rounds: int,
        left_ms: float,
    ) -> Reask | KeepSnapshot | Refusal:
        return self.decision

    def observe(self, target: Target, reply: AttemptReply, *, is_first: bool) -> None:
        pass

    def new_id(self) -> str:
        self.ids += 1
        return f"a{self.ids}"


def _server(name: str) -> Server:
    return Server(
        id=name,
        service="lots",
        shard=name[0],
        data_centre="a",
        host="127.0.0.1",
        port=1,
        slots=3,
        connections=30,
    )


def make_fanout(
    strategy: FakeStrategy,
    *,
    pin: Snapshot | None = OLD,
    suspected: bool = False,
    prefer: Preference = Preference.LATENCY,
    page: Snapshot | None = None,
    min_coverage: float = 0.5,
) -> SearchFanout:
    policy = Policy(prefer=prefer, min_coverage=min_coverage, patience_ms=80)
    return SearchFanout(
        SearchRequest(request_id="r", service="lots", caller="c", query="q", limit=10, pin=page),
        Service(name="lots", epoch=1, shards=SHARDS, policy=policy),
        strategy,
        pin=pin,
        suspected=suspected,
        now=0.0,
        deadline=0.5,
    )


def sends(actions: list[Action]) -> dict[str, Send]:
    """Return the sent attempts by server."""
    return {a.target.server.id: a for a in actions if isinstance(a, Send)}


def cancels(actions: list[Action]) -> set[str]:
    """Return the ids of the cancelled attempts."""
    return {a.attempt_id for a in actions if isinstance(a, Cancel)}


def answer(send: Send, snapshot: Snapshot | None = None, *, partial: bool = False) -> AttemptReply:
    """Return a successful reply with one hit, named after its shard and version."""
    on = snapshot or send.attempt.pin or OLD
    shard = send.attempt.shard
    hit = Hit(id=f"{shard}@{on.version}", score=1.0, fields={"version": on.version})
    return AttemptReply(
        attempt=send.attempt.id,
        server=send.target.server.id,
        shard=shard,
        snapshot=on,
        hits=(hit,),
        partial=partial,
    )


def failure(send: Send, kind: ErrorKind, run: RunState = RunState.NOT_RUN) -> AttemptReply:
    """Return the reply of a failed attempt."""
    return AttemptReply(
        attempt=send.attempt.id,
        server=send.target.server.id,
        shard=send.attempt.shard,
        error=kind,
        run=run,
    )


def outcome_of(fanout: SearchFanout) -> SearchAnswer:
    assert isinstance(fanout.outcome, SearchAnswer)
    return fanout.outcome
