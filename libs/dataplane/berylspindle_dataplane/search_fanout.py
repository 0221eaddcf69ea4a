"""State machine of one search's scatter-gather, from the first attempt to the outcome.

Terms:
  strategy   interface by which the fan-out obtains targets, retry and hedge decisions, snapshots
  canary     a shard that is queried alone; the others follow once it has answered. Used when the
             snapshot of the search is not yet known, and when the search is suspected of crashing
             backend servers
  pin        the snapshot on which every merged reply must have been computed
  lost       a shard from which this search no longer expects a reply

Flow: `start` returns the first attempts to send. The driver passes each reply to `on_reply`, calls
`on_timer` when `next_timer` is due, and executes the returned actions until `outcome` is set. The
state machine reads no clock and no socket. One reply per shard is merged, and only if it was
computed on the pin; if a backend server has dropped the pinned snapshot, the strategy decides which
snapshot to query next.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

from berylspindle_dataplane.fanout_strategy import Action, Cancel, FanoutStrategy, Send
from berylspindle_dataplane.router import Target
from berylspindle_dataplane.search_answer import combined_refusal, merged_answer
from berylspindle_dataplane.shard_progress import ShardProgress
from berylspindle_decisions.coverage import AnswerVerdict, CoverageCount, decide_answer
from berylspindle_decisions.hedging import HedgeVerdict
from berylspindle_decisions.merge import shard_limit
from berylspindle_decisions.snapshot_choice import KeepSnapshot, Reask
from berylspindle_model.configuration import Service
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.messages import Attempt, AttemptReply, SearchAnswer, SearchRequest
from berylspindle_model.snapshot import Snapshot

# Maximum attempts per shard, hedge included, until the pin changes or a backoff retry starts. No
# replica is tried twice in that time, so a shard with three replicas gets at most three attempts;
# more than this limit would multiply the load on a shard that is refusing requests.
MAX_ATTEMPTS: Final = 4
# First delay before a shard is retried after all its replicas refused the request without running
# it, for a transient reason (ownership moves, a VM shuts down). The delay doubles with each retry;
# five retries span more than 0.6 s. A refusal that lasts longer is not transient, and further
# retries would delay all other searches of the shard as well.
RETRY_BACKOFF_SECONDS: Final = 0.02
MAX_BACKOFF_RETRIES: Final = 5
_TRANSIENT_ERRORS: Final = frozenset(
    {
        ErrorKind.NOT_OWNER,
        ErrorKind.SHUTTING_DOWN,
        ErrorKind.SERVER_LEAVING,
        ErrorKind.DATA_CENTRE_OUT,
        ErrorKind.CONNECTION_LOST,
        ErrorKind.PEER_LOST,
        ErrorKind.NO_REPLICA,
    }
)


class SearchFanout:
    """Scatter-gather of one search over all shards of one service."""

    def __init__(
        self,
        request: SearchRequest,
        service: Service,
        strategy: FanoutStrategy,
        *,
        pin: Snapshot | None,
        suspected: bool,
        now: float,
        deadline: float,
    ) -> None:
        self._request: Final = request
        self._service: Final = service
        self._strategy: Final = strategy
        self._pin = pin
        self._suspected = suspected
        self._in_canary_phase = suspected or pin is None
        self._started: Final = now
        self._deadline: Final = deadline
        self._shards = {name: ShardProgress(name) for name in service.shards}
        self._coverage_count = CoverageCount(service.shards)
        self._by_attempt: dict[str, ShardProgress] = {}
        self._hedge_at: float | None = None
        self._outcome_check_at = deadline
        # Earliest `retry_at` of all shards, cached because `next_timer` is read after every reply.
        self._retry_at = math.inf
        self._repin_rounds = 0
        self._run_states: set[RunState] = set()
        self._refusals: list[Refusal] = []
        self._outcome: SearchAnswer | Refusal | None = None

    @property
    def outcome(self) -> SearchAnswer | Refusal | None:
        """Return the answer or the refusal, or None while the search is in progress."""
        return self._outcome

    @property
    def next_timer(self) -> float:
        """Return the time at which `on_timer` is due, in monotonic seconds."""
        due = (
            self._outcome_check_at
            if self._hedge_at is None
            else min(self._outcome_check_at, self._hedge_at)
        )
        return min(due, self._retry_at)

    def start(self, now: float) -> list[Action]:
        """Return the first attempts: one for the canary shard, or one for every shard."""
        actions = self._launch(now, "canary" if self._in_canary_phase else "first")
        return actions + self._update_outcome(now)

    def on_reply(self, now: float, reply: AttemptReply) -> list[Action]:
        """Process one reply and return the next actions; ignore late and unknown replies."""
        shard = self._by_attempt.pop(reply.attempt, None)
        if shard is None or self._outcome is not None:
            return []
        target = shard.outstanding.pop(reply.attempt)
        self._strategy.observe(target, reply, is_first=reply.attempt == shard.first_id)
        if reply.error is None:
            actions = self._accept(now, shard, reply)
        else:
            actions = self._fail(now, shard, reply)
        return actions + self._update_outcome(now)

    def on_timer(self, now: float) -> list[Action]:
        """Run the hedges, delayed retries and outcome check that are due."""
        if self._outcome is not None:
            return []
        return self._hedge(now) + self._retry_due_shards(now) + self._update_outcome(now)

    def stop(self, now: float) -> list[Action]:
        """Return the cancellations to send after the caller has disconnected."""
        return self._cancel_all(now)

    def _launch(self, now: float, reason: str) -> list[Action]:
        """Send one attempt per pending shard, or only one attempt in the canary phase."""
        actions: list[Action] = []
        for name in self._coverage_count.pending:
            shard = self._shards[name]
            if not shard.outstanding and shard.retry_at is None:
                actions += self._send(now, shard, reason)
            if actions and self._in_canary_phase:
                break
        # A suspected search is not hedged: a second server would run the request that may have
        # crashed the first one.
        if not (self._in_canary_phase and self._suspected):
            self._hedge_at = now + self._strategy.hedge_delay_ms() / 1000
        return actions

    def _send(self, now: float, shard: ShardProgress, reason: str) -> list[Action]:
        """Send another attempt for a shard.

        A shard without a usable target and without an outstanding attempt is retried later or
        marked lost.
        """
        target = self._pick(shard, hedge=reason == "hedge")
        if target is None:
            refusal = Refusal(ErrorKind.NO_REPLICA, run=RunState.NOT_RUN)
            if not shard.outstanding and not self._schedule_backoff_retry(now, shard, refusal):
                self._mark_lost(shard.name, refusal)
            return []
        attempt = Attempt(
            id=self._strategy.new_id(),
            request_id=self._request.request_id,
            server=target.server.id,
            service=self._service.name,
            shard=shard.name,
            query=self._request.query,
            limit=shard_limit(offset=self._request.offset, limit=self._request.limit),
            pin=self._pin,
        )
        if not shard.attempts:
            shard.first_id, shard.first_sent_at = attempt.id, now
        shard.outstanding[attempt.id] = target
        shard.tried.add(target.server.id)
        shard.attempts += 1
        self._by_attempt[attempt.id] = shard
        return [Send(attempt=attempt, target=target, reason=reason)]

    def _pick(self, shard: ShardProgress, *, hedge: bool) -> Target | None:
        if shard.attempts >= MAX_ATTEMPTS:
            return None
        tried = frozenset(shard.tried)
        return self._strategy.pick(shard.name, tried=tried, pin=self._pin, hedge=hedge)

    def _hedge(self, now: float) -> list[Action]:
        if self._hedge_at is None or now < self._hedge_at:
            return []
        self._hedge_at = None
        actions: list[Action] = []
        for name in self._coverage_count.pending:
            shard = self._shards[name]
            if shard.hedged or not shard.outstanding or self._pick(shard, hedge=True) is None:
                continue
            verdict = self._strategy.may_hedge(
                elapsed_ms=(now - shard.first_sent_at) * 1000, left_ms=self._left_ms(now)
            )
            if verdict is HedgeVerdict.TOO_EARLY:
                due = shard.first_sent_at + self._strategy.hedge_delay_ms() / 1000
                self._hedge_at = min(self._hedge_at or due, due)
                continue
            shard.hedged = True
            if verdict is HedgeVerdict.GO:
                actions += self._send(now, shard, "hedge")
        return actions

    def _accept(self, now: float, shard: ShardProgress, reply: AttemptReply) -> list[Action]:
        if reply.snapshot is None:
            return self._fail(now, shard, attrs.evolve(reply, error=ErrorKind.BAD_REPLY))
        if self._pin is None:
            self._pin = reply.snapshot
        if reply.snapshot != self._pin:
            # The server used another snapshot than the requested one. Merging the reply could
            # return a hit twice or omit it, so it is handled like a missing snapshot.
            return self._on_snapshot_gone(now, shard, reply)
        if not self._coverage_count.on_answer(shard.name, partial=reply.partial):
            return []
        shard.reply = reply
        actions = self._cancel_shard(now, shard)
        if self._in_canary_phase:
            self._in_canary_phase = False
            actions += self._launch(now, "first")
        return actions

    def _fail(self, now: float, shard: ShardProgress, reply: AttemptReply) -> list[Action]:
        """Retry on another replica if allowed, else retry later or mark the shard lost."""
        run = reply.run or RunState.MAY_HAVE_RUN
        self._run_states.add(run)
        if reply.error is ErrorKind.SNAPSHOT_GONE:
            return self._on_snapshot_gone(now, shard, reply)
        if shard.outstanding:
            # Another attempt for this shard is outstanding and may still answer.
            return []
        has_untried = self._pick(shard, hedge=False) is not None
        if has_untried and self._strategy.may_retry(shard.name, reply, left_ms=self._left_ms(now)):
            return self._send(now, shard, "retry")
        kind = reply.error or ErrorKind.BAD_REPLY
        refusal = Refusal(kind, reply.detail, run, reply.retry_after_ms)
        if self._schedule_backoff_retry(now, shard, refusal):
            return []
        self._mark_lost(shard.name, refusal)
        return self._next_canary(now)

    def _schedule_backoff_retry(self, now: float, shard: ShardProgress, refusal: Refusal) -> bool:
        """Schedule a retry for a shard refused without execution for a transient reason.

        Without this, a search that reaches an owner which has just joined or is shutting down loses
        a shard that would answer a few milliseconds later.
        """
        if refusal.run_state is not RunState.NOT_RUN or refusal.kind not in _TRANSIENT_ERRORS:
            return False
        wait = RETRY_BACKOFF_SECONDS * 2**shard.backoff_retries
        if shard.backoff_retries >= MAX_BACKOFF_RETRIES or now + wait >= self._deadline:
            return False
        shard.backoff_retries += 1
        shard.retry_at = now + wait
        self._retry_at = min(self._retry_at, shard.retry_at)
        return True

    def _retry_due_shards(self, now: float) -> list[Action]:
        if now < self._retry_at:
            return []
        self._retry_at = math.inf
        actions: list[Action] = []
        for name in self._coverage_count.pending:
            shard = self._shards[name]
            if shard.retry_at is None:
                continue
            if now < shard.retry_at:
                self._retry_at = min(self._retry_at, shard.retry_at)
                continue
            shard.retry_at = None
            shard.tried.clear()
            shard.attempts = 0
            actions += self._send(now, shard, "retry")
        return actions

    def _next_canary(self, now: float) -> list[Action]:
        """Try another shard as canary if no attempt so far can have run.

        After an attempt that may have run, no other shard is queried: the request may have crashed
        the backend server, and a canary on each further shard would crash one server per shard.
        """
        if not self._in_canary_phase:
            return []
        if self._run_states <= {RunState.NOT_RUN}:
            return self._launch(now, "canary")
        for name in self._coverage_count.pending:
            self._mark_lost(name, Refusal(ErrorKind.INCOMPLETE, "the canary attempt failed"))
        return []

    def _on_snapshot_gone(
        self, now: float, shard: ShardProgress, reply: AttemptReply
    ) -> list[Action]:
        """Apply the strategy decision: re-pin, answer without the shard, or refuse."""
        if shard.outstanding:
            return []
        if self._request.pin is not None and self._pick(shard, hedge=False) is not None:
            # The snapshot of a follow-up page is fixed; another replica may still hold it.
            return self._send(now, shard, "re_pin")
        answered = {
            name: each.reply.snapshot
            for name, each in self._shards.items()
            if each.reply is not None and each.reply.snapshot is not None
        }
        outstanding = {name for name, each in self._shards.items() if each.outstanding}
        decision = self._strategy.reask(
            answered=answered,
            refused=frozenset({shard.name} | outstanding),
            rounds=self._repin_rounds,
            left_ms=self._left_ms(now),
        )
        if isinstance(decision, Refusal):
            self._outcome = decision
            return self._cancel_all(now)
        if isinstance(decision, KeepSnapshot):
            self._mark_lost(shard.name, Refusal(ErrorKind.SNAPSHOT_MISMATCH, reply.detail))
            return self._next_canary(now)
        return self._repin(now, shard, decision)

    def _repin(self, now: float, shard: ShardProgress, decision: Reask) -> list[Action]:
        self._repin_rounds += 1
        if decision.target == self._pin:
            # The other shards hold the pin: retry only this shard, on another replica.
            actions = self._send(now, shard, "re_pin")
            return actions or self._next_canary(now)
        actions = self._cancel_all(now)
        self._pin = decision.target
        self._in_canary_phase = self._suspected and self._in_canary_phase
        for each in self._shards.values():
            each.reset()
            self._coverage_count.on_reask(each.name)
        return actions + self._launch(now, "re_pin")

    def _mark_lost(self, name: str, refusal: Refusal) -> None:
        self._coverage_count.on_lost(name)
        self._refusals.append(refusal)

    def _cancel_shard(self, now: float, shard: ShardProgress) -> list[Action]:
        actions: list[Action] = []
        for attempt_id, target in shard.outstanding.items():
            self._by_attempt.pop(attempt_id, None)
            cancel = Cancel(
                attempt_id=attempt_id,
                target=target,
                elapsed_ms=(now - shard.first_sent_at) * 1000,
                was_first=attempt_id == shard.first_id,
            )
            actions.append(cancel)
        shard.outstanding.clear()
        return actions

    def _cancel_all(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for shard in self._shards.values():
            actions += self._cancel_shard(now, shard)
        return actions

    def _left_ms(self, now: float) -> float:
        return (self._deadline - now) * 1000

    def _update_outcome(self, now: float) -> list[Action]:
        """Set the outcome if it is due, and return the cancellations that result."""
        if self._outcome is not None:
            return []
        decision = decide_answer(
            self._service.policy,
            self._coverage_count,
            elapsed_ms=(now - self._started) * 1000,
            left_ms=self._left_ms(now),
        )
        if decision.verdict is AnswerVerdict.WAIT:
            self._outcome_check_at = now + decision.wait_ms / 1000
            return []
        answers = decision.verdict is AnswerVerdict.ANSWER and self._pin is not None
        self._outcome = self._answer() if answers else self._refusal(now)
        return self._cancel_all(now)

    def _answer(self) -> SearchAnswer:
        assert self._pin is not None
        replies = [shard.reply for shard in self._shards.values() if shard.reply is not None]
        return merged_answer(
            self._request, pin=self._pin, coverage=self._coverage_count.coverage(), replies=replies
        )

    def _refusal(self, now: float) -> Refusal:
        """Combine the reasons; a shard with an outstanding attempt may have run the search."""
        run_states = set(self._run_states)
        if any(shard.outstanding or shard.reply for shard in self._shards.values()):
            run_states.add(RunState.MAY_HAVE_RUN)
        return combined_refusal(
            self._refusals,
            run_states=run_states,
            coverage=self._coverage_count.coverage(),
            is_expired=now >= self._deadline,
        )
