"""Send one request to its service, or to each of its shards, and join the parts of its answer.

Terms:
  hedged    the attempts at one service (`decisions.hedged_request`); a plain request has one, a
            request over a shard set one a shard
  part      a shard's answer with the replica's signature
  subset    shards whose parts one VM near their replicas merges (`relay`)
  cut       a time at which an answer goes out with what is there: at the aim, then at the deadline

Flow: `run` starts all hedged requests but those of the subset, whose parts come as one answer, and
awaits the answer. Where the other VM has surely not begun, those of the subset start as well. Each
attempt reports its end; the hedged request takes its next step, an answer goes out if it can, and
one timer is kept for whatever is due next. Attempts that are still out when the answer has gone are
left to finish, for a connection that is closed under a request costs a new one; what they show is
learned from. When the caller goes away they are ended, which ends their work at the replicas.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable, Sequence
from typing import Final

from berylspindle_decisions.answer_time import PartsVerdict
from berylspindle_decisions.hedged_request import (
    AttemptEnd,
    GiveUp,
    HedgedRequest,
    RequestState,
    SendTo,
)
from berylspindle_forwarding.attempt import Attempt, AttemptOwner
from berylspindle_forwarding.attempt_policy import ForwardTools, RequestTimes, RouteAttemptPolicy
from berylspindle_forwarding.part_collector import PartCollector
from berylspindle_forwarding.reply_check import ReplyClass, classify
from berylspindle_forwarding.request_head import ForwardRequest, replica_request
from berylspindle_forwarding.request_trace import RequestTrace
from berylspindle_forwarding.subset_call import SubsetCall, refusal_of
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.routing import Route
from berylspindle_wire.exchange import (
    EndKind,
    ExchangeEnd,
    ExchangeReply,
    ExchangeRequest,
)
from berylspindle_wire.http import HttpResponse

HTTP_OK: Final = 200
HTTP_REFUSED: Final = 503

ABANDONED_ATTEMPT_GRACE_S: Final = 0.3
"""Seconds past the deadline after which an attempt that nobody waits for is ended; replicas stop at
the deadline by themselves."""


class ScatterGather(AttemptOwner):
    """One request under way."""

    def __init__(
        self,
        tools: ForwardTools,
        route: Route,
        request: ForwardRequest,
        services: tuple[str, ...],
        times: RequestTimes,
        subset: SubsetCall | None = None,
        *,
        canary: bool = False,
        avoided: frozenset[str] = frozenset(),
    ) -> None:
        """Take also whether one shard runs first, and replicas to avoid."""
        self._tools: Final = tools
        self._route: Final = route
        self._request: Final = request
        self._times: Final = times
        self._policy: Final = RouteAttemptPolicy(tools, route, times, avoided)
        wait_until = tools.now() + self._policy.no_replica_wait_s()
        self._hedged: Final = [
            HedgedRequest(
                service,
                repeatable=route.repeatable,
                most_runs=route.max_replicas if route.repeatable else 1,
                wait_until=wait_until,
                deadline=times.deadline,
            )
            for service in services
        ]
        self._next: Final = [times.deadline] * len(services)
        self._out: Final[set[Attempt]] = set()
        self._collector: Final = (
            PartCollector(route.shard_set, tools.dialect) if route.shard_set is not None else None
        )
        self._is_canary: Final = canary
        self._subset: Final = subset
        self._subset_task: asyncio.Task[None] | None = None
        self._subset_refusal: Refusal | None = None
        self._subset_may_have_run = False
        self._is_lost = False
        self._reply: ExchangeReply | None = None
        self._failure: ExchangeReply | None = None
        self._detail = ""
        self._timer: asyncio.TimerHandle | None = None
        self.trace: Final = RequestTrace(times.started)
        self._loop: Final = asyncio.get_running_loop()
        self._done: Final[asyncio.Future[HttpResponse | Refusal]] = self._loop.create_future()
        self._busy = False

    @property
    def usual_ms(self) -> float:
        """Return the usual latency of the route's sub-requests."""
        return self._policy.usual_ms

    @property
    def extra_left(self) -> float:
        """Return how many extra arrivals this VM may still cause at the first service."""
        share = self._tools.share(self._hedged[0].service)
        return share.left(self._tools.now(), vms=self._tools.vms())

    async def run(self) -> HttpResponse | Refusal:
        """Return the answer or the refusal; cancelling this ends all attempts."""
        if self._policy.is_hopeless():
            # Asked all the same, the shards that can be reached would work for nothing.
            self.trace.cut_off = True
            return Refusal(
                ErrorKind.NO_REPLICA,
                "cut off from too many shards",
                RunState.NOT_RUN,
                retry_after_ms=self._policy.retry_after_ms(self._tools.now()),
            )
        refusal = self._policy.refusal_at_once([hedged.service for hedged in self._hedged])
        if refusal is not None:
            self.trace.pressed = True
            return refusal
        try:
            self._start()
            return await self._done
        except asyncio.CancelledError:
            self._end_attempts("the caller went away")
            raise
        finally:
            if self._timer is not None:
                self._timer.cancel()
            if self._subset_task is not None:
                self._subset_task.cancel()
            self._withdraw_waiting()
            if self._out:
                late = self._times.deadline + ABANDONED_ATTEMPT_GRACE_S - self._tools.now()
                self._loop.call_later(max(0.0, late), self._end_attempts, "nobody waits")

    def _start(self) -> None:
        apart: Sequence[int] = ()
        if self._is_canary:
            apart = range(1, len(self._hedged))
        elif self._subset is not None:
            apart = self._subset.positions
        for index in apart:
            self._next[index] = math.inf
        self._begin(index for index in range(len(self._hedged)) if index not in apart)
        if self._subset is not None:
            self._subset_task = self._loop.create_task(self._ask_subset(self._subset))

    def _begin(self, indices: Iterable[int]) -> None:
        """Let these hedged requests begin."""
        self._busy = True
        for index in indices:
            self._tools.share(self._hedged[index].service).on_request(self._times.started)
            self._step(index)
        self._busy = False
        self._settle()

    async def _ask_subset(self, subset: SubsetCall) -> None:
        outcome = await subset.send()
        if self._done.done():
            return
        if outcome is None:
            self._begin(subset.positions)
            return
        assert self._collector is not None
        size = len(subset.positions)
        if isinstance(outcome, Refusal):
            self._subset_may_have_run = outcome.run_state is not RunState.NOT_RUN
            self._detail = outcome.detail
            self._collector.lose(size)
        elif outcome.status == HTTP_REFUSED:
            self._subset_refusal = refusal_of(outcome)
            self._collector.lose(size)
        elif outcome.status != HTTP_OK or not self._collector.add_subset(outcome, size):
            self._subset_may_have_run = True
            self._detail = f"status {outcome.status} for the subset"
            self._collector.lose(size)
        self._settle()

    def on_reply(self, attempt: Attempt, reply: ExchangeReply) -> None:
        """Take a whole reply of an attempt."""
        now = self._tools.now()
        self._out.discard(attempt)
        self._policy.note_load(now, attempt.handle, reply)
        verdict = classify(reply, self._request, self._tools.dialect)
        if verdict is ReplyClass.FOREIGN and attempt.connection is not None:
            attempt.connection.close()
        elapsed_ms = (now - attempt.record.sent_at) * 1000
        if not self._done.done():
            self.trace.replied(now, attempt.handle, verdict, reply.status)
        self._policy.note_reply(now, attempt, verdict, elapsed_ms, reply)
        hedged = self._hedged[attempt.index]
        if verdict is ReplyClass.ANSWER:
            if hedged.state is not RequestState.WON:
                hedged.answered(attempt.record)
                self._take(reply)
                self._withdraw_waiting(attempt.index)
        else:
            self._fail(now, attempt, verdict, reply)
        self._advance(attempt.index)

    def on_end(self, attempt: Attempt, end: ExchangeEnd) -> None:
        """Take that an attempt gets no reply."""
        now = self._tools.now()
        self._out.discard(attempt)
        self._policy.note_end(now, attempt, end)
        if end.kind is EndKind.LOST:
            elapsed_ms = (now - attempt.record.sent_at) * 1000
            self._tools.crashes.lost(self._request, attempt.handle, elapsed_ms=elapsed_ms)
        known = AttemptEnd.MAY_HAVE_RUN
        if end.kind is EndKind.NOT_SENT:
            known = AttemptEnd.NOT_SENT
        self._detail = f"{attempt.handle.replica.id}: {end.kind} {end.detail}"
        if not self._done.done():
            self.trace.ended(now, attempt.handle, end)
        self._hedged[attempt.index].ended(now, attempt.record, known, refused=False)
        self._advance(attempt.index)

    def _take(self, reply: ExchangeReply) -> None:
        if self._collector is None:
            self._reply = reply
            return
        self._collector.add(reply.header(self._tools.dialect.signature) or "", reply.body)

    def _fail(
        self, now: float, attempt: Attempt, verdict: ReplyClass, reply: ExchangeReply
    ) -> None:
        hedged = self._hedged[attempt.index]
        refused = verdict in (ReplyClass.REFUSED, ReplyClass.MISDIRECTED)
        end = AttemptEnd.NOT_RUN if refused else AttemptEnd.RAN
        if verdict is ReplyClass.FOREIGN:
            end = AttemptEnd.MAY_HAVE_RUN
        self._detail = f"{attempt.handle.replica.id}: {verdict} {reply.status}"
        if verdict is ReplyClass.FINAL:
            # The request is at fault, and each replica would say the same.
            self._reply = reply
            hedged.answered(attempt.record)
            return
        if verdict is ReplyClass.FAILURE:
            self._failure = reply
        hedged.ended(now, attempt.record, end, refused=verdict is ReplyClass.REFUSED)

    def _advance(self, index: int) -> None:
        if self._done.done() or self._busy:
            return
        if self._hedged[index].state is RequestState.OPEN:
            self._busy = True
            self._step(index)
            self._busy = False
        else:
            self._next[index] = math.inf
        if self._is_canary and index == 0:
            self._follow_canary()
        self._settle()

    def _follow_canary(self) -> None:
        """Let the other shards begin once the first one has answered; give them up with it."""
        state, others = self._hedged[0].state, range(1, len(self._hedged))
        if state is RequestState.WON:
            self._begin(others)
        elif state is RequestState.LOST and self._collector is not None:
            self._collector.lose(len(others))

    def _step(self, index: int) -> None:
        """Let one hedged do what it has to do now."""
        hedged = self._hedged[index]
        while True:
            now = self._tools.now()
            step = hedged.step(now, self._policy)
            if isinstance(step, SendTo):
                self._send(now, index, step)
                continue
            if isinstance(step, GiveUp):
                self._is_lost = True
                if self._collector is not None:
                    self._collector.lose()
                self.trace.lost(now, hedged.service, step.reason)
                self._detail = self._detail or step.reason
                self._next[index] = math.inf
            else:
                self._next[index] = step.time
            return

    def _send(self, now: float, index: int, step: SendTo) -> None:
        handle = self._policy.handle(step.replica)
        record = self._hedged[index].sent(now, step.replica, self._policy)
        attempt = Attempt(self, index, handle, record)
        self._out.add(attempt)
        self.trace.sent(now, handle, step.reason)
        self._policy.note_sent(now, attempt, step.reason)
        connection = handle.pool.submit(lambda: self._written(step.replica), attempt)
        if connection is not None:
            attempt.connection = connection
        attempt.waited = connection is None

    def _written(self, replica: str) -> ExchangeRequest:
        left_ms = (self._times.deadline - self._tools.now()) * 1000
        return replica_request(self._request, self._tools.dialect, replica=replica, left_ms=left_ms)

    def _withdraw_waiting(self, index: int | None = None) -> None:
        """Take back attempts that no connection carries yet: of one hedged, or of all.

        They would reach a replica when nobody needs their answer any more.
        """
        for attempt in tuple(self._out):
            if attempt.connection is not None or index not in (None, attempt.index):
                continue
            if attempt.handle.pool.withdraw(attempt):
                self._out.discard(attempt)
                attempt.handle.health.withdrawn(attempt)

    def _on_timer(self) -> None:
        self._timer = None
        if self._done.done():
            return
        now = self._tools.now()
        self._busy = True
        for index, due in enumerate(self._next):
            if due <= now and self._hedged[index].state is RequestState.OPEN:
                self._step(index)
        self._busy = False
        self._settle()

    def _settle(self) -> None:
        """Answer where that is due, else wait for what is due next."""
        if self._done.done():
            return
        now = self._tools.now()
        outcome = self._outcome(now)
        if outcome is not None:
            self._done.set_result(outcome)
            return
        due = min(self._next)
        if self._route.shard_set is not None and now < self._times.aim_cut:
            due = min(due, self._times.aim_cut)
        due = min(due, self._times.answer_by)
        if self._timer is not None:
            if self._timer.when() <= due + 0.0005:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(max(due, now), self._on_timer)

    def _outcome(self, now: float) -> HttpResponse | Refusal | None:
        if self._collector is None:
            return self._plain_outcome(now)
        if self._reply is not None:
            return self._passed_on(self._reply)
        verdict = self._collector.verdict(
            aim_passed=now >= self._times.aim_cut and self._tools.policy.partial_at_target
        )
        if verdict is PartsVerdict.ANSWER:
            return self._collector.response(self._request.request_id)
        if verdict is PartsVerdict.FAIL and self._subset_refusal is not None:
            return self._subset_refusal
        if verdict is PartsVerdict.FAIL or now >= self._times.answer_by:
            return self._refusal(now)
        return None

    def _plain_outcome(self, now: float) -> HttpResponse | Refusal | None:
        if self._reply is not None:
            return self._passed_on(self._reply)
        if self._is_lost and self._failure is not None:
            return self._passed_on(self._failure)
        if self._is_lost or now >= self._times.answer_by:
            return self._refusal(now)
        return None

    def _refusal(self, now: float) -> Refusal:
        """Return why there is no answer, and whether any replica may have run the request."""
        may_have_run = self._subset_may_have_run or any(r.may_have_run for r in self._hedged)
        if not may_have_run:
            return Refusal(
                ErrorKind.NO_REPLICA,
                self._detail,
                RunState.NOT_RUN,
                retry_after_ms=self._policy.retry_after_ms(now),
            )
        if now >= self._times.answer_by:
            return Refusal(ErrorKind.DEADLINE_EXCEEDED, self._detail)
        if self._route.shard_set is not None:
            return Refusal(ErrorKind.INCOMPLETE, self._detail)
        return Refusal(ErrorKind.CONNECTION_LOST, self._detail)

    def _passed_on(self, reply: ExchangeReply) -> HttpResponse:
        return HttpResponse(
            status=reply.status, body=reply.body, raw_headers=self._policy.end_to_end(reply)
        )

    def _end_attempts(self, why: str) -> None:
        """End what is still out; closing its connection ends its work at the replica."""
        now = self._tools.now()
        for attempt in tuple(self._out):
            self._out.discard(attempt)
            elapsed_ms = (now - attempt.record.sent_at) * 1000
            self._policy.note_given_up(now, attempt, elapsed_ms)
            if attempt.connection is not None:
                attempt.connection.forget()
            else:
                attempt.handle.pool.withdraw(attempt)
