"""Send one request to its service, or scatter it over its shards and gather the answer.

Terms:
  hedged request   the attempts at one service (`decisions.hedged_request`): one for a plain
                   request, one per shard for a request over a shard set
  part             the signed answer of one shard
  subset           shards whose parts are merged by a VM near their replicas (`relay`)
  aim              the route's latency target; from then on a partial result with enough parts is
                   sent

Flow: `run` starts all hedged requests except those of the subset, whose parts arrive as one answer,
and awaits the result. If the other VM has not begun the subset, its hedged requests start here as
well. The end of each attempt advances its hedged request and completes the request if possible; one
timer covers the earliest pending step. Attempts still in flight after completion are left to
finish, since closing a connection during an exchange costs a new connection, and their outcomes
still update replica statistics. If the caller disconnects, they are closed, which stops their work
at the replicas.

Guard: all attempts of a request have its id. An attempt therefore uses no connection of an earlier
one, on which a late copy of the earlier reply would be taken for its own: a copied rejection would
count as "not run" for an attempt that runs. A repeatable request may do so as a last resort.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Iterable, Sequence
from typing import Final

from berylspindle_decisions.hedged_request import (
    AttemptOutcome,
    GiveUp,
    HedgedRequest,
    RequestState,
    SendTo,
)
from berylspindle_decisions.response_timing import PartialResultVerdict
from berylspindle_forwarding.attempt import Attempt, AttemptOwner
from berylspindle_forwarding.attempt_policy import ForwardContext, RequestTimes, RouteAttemptPolicy
from berylspindle_forwarding.part_collector import PartCollector
from berylspindle_forwarding.reply_check import ReplyClass, classify
from berylspindle_forwarding.request_head import ForwardRequest, replica_request
from berylspindle_forwarding.request_trace import RequestTrace
from berylspindle_forwarding.subset_call import SubsetCall, refusal_of
from berylspindle_model.errors import NOT_RUN_STATUSES, ErrorKind, Refusal, RunState
from berylspindle_model.routing import Route
from berylspindle_wire.exchange import (
    ConnectionUse,
    ExchangeConnection,
    ExchangeFailure,
    ExchangeFailureKind,
    ExchangeReply,
    ExchangeRequest,
)
from berylspindle_wire.http import HttpResponse

HTTP_OK: Final = 200
HTTP_REFUSED: Final = 503

ABANDONED_ATTEMPT_GRACE_S: Final = 0.3
"""Time past the deadline, in seconds, after which an abandoned attempt is closed. Replicas stop
working on a request at its deadline."""


class ScatterGather(AttemptOwner):
    """Execution of one request: its attempts, the parts received and the outcome."""

    def __init__(
        self,
        context: ForwardContext,
        route: Route,
        request: ForwardRequest,
        services: tuple[str, ...],
        times: RequestTimes,
        subset: SubsetCall | None = None,
        *,
        canary: bool = False,
        avoided: frozenset[str] = frozenset(),
    ) -> None:
        """Initialize; `canary` runs the first shard alone, `avoided` replicas are a last resort."""
        self._context: Final = context
        self._route: Final = route
        self._request: Final = request
        self._times: Final = times
        self._policy: Final = RouteAttemptPolicy(
            context, route, times, avoided, request.organisation
        )
        no_replica_wait = self._policy.no_replica_wait_s()
        self._admitted_at: Final = context.now()
        wait_until = self._admitted_at + no_replica_wait
        self._hedged: Final = [
            HedgedRequest(
                service,
                repeatable=route.repeatable,
                max_runs=route.max_replicas if route.repeatable else 1,
                no_replica_deadline=wait_until,
                deadline=times.deadline,
                no_replica_wait=no_replica_wait,
            )
            for service in services
        ]
        self._next_step_at: Final = [times.deadline] * len(services)
        self._in_flight: Final[set[Attempt]] = set()
        self._used_connections: Final[set[ExchangeConnection]] = set()
        self._collector: Final = (
            PartCollector(route.shard_set, context.dialect) if route.shard_set is not None else None
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
        self._is_stepping = False

    @property
    def run_state(self) -> RunState:
        """Return whether the request has run, as far as known."""
        may_have_run = self._subset_may_have_run or any(r.may_have_run for r in self._hedged)
        return RunState.MAY_HAVE_RUN if may_have_run else RunState.NOT_RUN

    @property
    def usual_ms(self) -> float:
        """Return the median latency of the route's sub-requests in milliseconds, 0 if unknown."""
        return self._policy.usual_ms

    @property
    def extra_left(self) -> float:
        """Return what is left of this VM's retry budget for the first service."""
        budget = self._context.retry_budget(self._hedged[0].service)
        return budget.available(self._context.now(), vms=self._context.vms())

    async def run(self) -> HttpResponse | Refusal:
        """Return the response or the refusal; cancellation closes all attempts."""
        if self._policy.lacks_reachable_shards():
            # The reachable shards would do work that can never become an answer.
            self.trace.cut_off = True
            return Refusal(
                ErrorKind.NO_REPLICA,
                "too few shards are reachable: cut off from other data centres",
                RunState.NOT_RUN,
                retry_after_ms=self._policy.retry_after_ms(self._context.now()),
            )
        refusal = self._policy.admission_refusal([hedged.service for hedged in self._hedged])
        if refusal is not None:
            self.trace.overloaded = True
            return refusal
        try:
            self._start()
            return await self._done
        except asyncio.CancelledError:
            self._abandon_attempts("the caller disconnected")
            raise
        finally:
            if self._timer is not None:
                self._timer.cancel()
            if self._subset_task is not None:
                self._subset_task.cancel()
            self._withdraw_waiting()
            if self._in_flight:
                delay = self._times.deadline + ABANDONED_ATTEMPT_GRACE_S - self._context.now()
                self._loop.call_later(
                    max(0.0, delay), self._abandon_attempts, "no caller is waiting"
                )

    def _start(self) -> None:
        deferred: Sequence[int] = ()
        if self._is_canary:
            deferred = range(1, len(self._hedged))
        elif self._subset is not None:
            deferred = self._subset.positions
        for index in deferred:
            self._next_step_at[index] = math.inf
        self._start_services(index for index in range(len(self._hedged)) if index not in deferred)
        if self._subset is not None:
            self._subset_task = self._loop.create_task(self._request_subset(self._subset))

    def _start_services(self, indices: Iterable[int]) -> None:
        """Start the hedged requests at these positions."""
        self._is_stepping = True
        for index in indices:
            self._context.retry_budget(self._hedged[index].service).on_request(self._times.started)
            self._step(index)
        self._is_stepping = False
        self._complete_or_wait()

    async def _request_subset(self, subset: SubsetCall) -> None:
        self._subset_may_have_run = True
        outcome = await subset.send()
        if self._done.done():
            return
        if outcome is None:
            self._subset_may_have_run = False
            self._start_services(subset.positions)
            return
        assert self._collector is not None
        size = len(subset.positions)
        if isinstance(outcome, Refusal):
            self._subset_may_have_run = outcome.run_state is not RunState.NOT_RUN
            self._detail = outcome.detail
            self._collector.add_lost(size)
        elif outcome.status == HTTP_REFUSED:
            self._subset_may_have_run = False
            self._subset_refusal = refusal_of(outcome)
            self._collector.add_lost(size)
        elif outcome.status != HTTP_OK or not self._collector.add_subset(outcome, size):
            self._detail = f"the VM merging the subset replied with status {outcome.status}"
            self._collector.add_lost(size)
        self._complete_or_wait()

    def connection_use(self, connection: ExchangeConnection) -> ConnectionUse:
        """Return whether an attempt may be sent on a connection."""
        if connection not in self._used_connections:
            return ConnectionUse.ALLOWED
        return ConnectionUse.LAST_RESORT if self._route.repeatable else ConnectionUse.FORBIDDEN

    def on_reply(self, attempt: Attempt, reply: ExchangeReply) -> None:
        """Handle a complete reply to an attempt."""
        now = self._context.now()
        self._on_ended(attempt)
        self._policy.record_load(now, attempt.handle, reply)
        verdict = classify(reply, self._request, self._context.dialect)
        if verdict is ReplyClass.FOREIGN and attempt.connection is not None:
            attempt.connection.close()
        elapsed_ms = (now - attempt.record.sent_at) * 1000
        if not self._done.done():
            self.trace.replied(now, attempt.handle, verdict, reply.status)
        self._policy.record_reply(now, attempt, verdict, elapsed_ms, reply)
        hedged = self._hedged[attempt.index]
        if verdict is ReplyClass.ANSWER:
            if hedged.state is not RequestState.ANSWERED:
                hedged.on_answer(attempt.record)
                self._accept(reply)
                self._withdraw_waiting(attempt.index)
        else:
            self._handle_failed_reply(now, attempt, verdict, reply)
        self._advance(attempt.index)

    def on_end(self, attempt: Attempt, end: ExchangeFailure) -> None:
        """Handle the end of an attempt without a reply."""
        now = self._context.now()
        self._on_ended(attempt)
        self._policy.record_end(now, attempt, end)
        if end.kind is ExchangeFailureKind.LOST:
            elapsed_ms = (now - self._admitted_at) * 1000
            self._context.crashes.record_connection_loss(
                self._request, attempt.handle, elapsed_ms=elapsed_ms
            )
        attempt_end = AttemptOutcome.MAY_HAVE_RUN
        if end.kind is ExchangeFailureKind.NOT_SENT:
            attempt_end = AttemptOutcome.NOT_SENT
        self._detail = f"{attempt.handle.replica.id}: {end.kind} {end.detail}"
        if not self._done.done():
            self.trace.record_end(now, attempt.handle, end)
        self._hedged[attempt.index].on_failure(now, attempt.record, attempt_end, refused=False)
        self._advance(attempt.index)

    def _on_ended(self, attempt: Attempt) -> None:
        self._in_flight.discard(attempt)
        if attempt.connection is not None:
            self._used_connections.add(attempt.connection)

    def _accept(self, reply: ExchangeReply) -> None:
        if self._collector is None:
            self._reply = reply
            return
        self._collector.add(reply.header(self._context.dialect.signature) or "", reply.body)

    def _handle_failed_reply(
        self, now: float, attempt: Attempt, verdict: ReplyClass, reply: ExchangeReply
    ) -> None:
        hedged = self._hedged[attempt.index]
        refused = verdict in (ReplyClass.REFUSED, ReplyClass.MISDIRECTED)
        end = AttemptOutcome.NOT_RUN if refused else AttemptOutcome.RAN
        if verdict is ReplyClass.FOREIGN:
            end = AttemptOutcome.MAY_HAVE_RUN
        self._detail = f"{attempt.handle.replica.id}: {verdict} {reply.status}"
        if verdict is ReplyClass.FINAL:
            # The request itself is invalid; every replica would reply the same.
            self._reply = reply
            hedged.on_answer(attempt.record)
            return
        if verdict is ReplyClass.FAILURE:
            self._failure = reply
        hedged.on_failure(now, attempt.record, end, refused=verdict is ReplyClass.REFUSED)

    def _advance(self, index: int) -> None:
        if self._done.done() or self._is_stepping:
            return
        if self._hedged[index].state is RequestState.OPEN:
            self._is_stepping = True
            self._step(index)
            self._is_stepping = False
        else:
            self._next_step_at[index] = math.inf
        if self._is_canary and index == 0:
            self._continue_after_canary()
        self._complete_or_wait()

    def _continue_after_canary(self) -> None:
        """Start the other shards once the first has answered, or fail them if it is lost."""
        state, others = self._hedged[0].state, range(1, len(self._hedged))
        if state is RequestState.ANSWERED:
            self._start_services(others)
        elif state is RequestState.FAILED and self._collector is not None:
            self._collector.add_lost(len(others))

    def _step(self, index: int) -> None:
        """Advance one hedged request until it waits or is lost."""
        hedged = self._hedged[index]
        while True:
            now = self._context.now()
            step = hedged.step(now, self._policy)
            if isinstance(step, SendTo):
                self._send(now, index, step)
                continue
            if isinstance(step, GiveUp):
                self._is_lost = True
                if self._collector is not None:
                    self._collector.add_lost()
                self.trace.record_loss(now, hedged.service, step.reason)
                self._detail = self._detail or step.reason
                self._next_step_at[index] = math.inf
            else:
                self._next_step_at[index] = step.time
            return

    def _send(self, now: float, index: int, step: SendTo) -> None:
        handle = self._policy.handle(step.replica)
        record = self._hedged[index].on_sent(now, step.replica, self._policy)
        attempt = Attempt(self, index, handle, record)
        self._in_flight.add(attempt)
        self.trace.record_sent(now, handle, step.reason)
        self._policy.record_sent(now, attempt, step.reason)
        connection = handle.pool.submit(lambda: self._build_request(step.replica), attempt)
        if connection is not None:
            attempt.connection = connection
        attempt.waited_for_connection = connection is None

    def _build_request(self, replica: str) -> ExchangeRequest:
        left_ms = (self._times.deadline - self._context.now()) * 1000
        return replica_request(
            self._request, self._context.dialect, replica=replica, left_ms=left_ms
        )

    def _withdraw_waiting(self, index: int | None = None) -> None:
        """Withdraw attempts that still wait for a connection: of one hedged request, or of all.

        Otherwise they would reach a replica after their answer is no longer needed.
        """
        for attempt in tuple(self._in_flight):
            if attempt.connection is not None or index not in (None, attempt.index):
                continue
            if attempt.handle.pool.withdraw(attempt):
                self._in_flight.discard(attempt)
                self._hedged[attempt.index].on_withdrawn(attempt.record)
                attempt.handle.health.on_not_sent(attempt)

    def _on_timer(self) -> None:
        self._timer = None
        if self._done.done():
            return
        now = self._context.now()
        self._is_stepping = True
        for index, due in enumerate(self._next_step_at):
            if due <= now and self._hedged[index].state is RequestState.OPEN:
                self._step(index)
        self._is_stepping = False
        self._complete_or_wait()

    def _complete_or_wait(self) -> None:
        """Complete the request if an outcome is due, else set the timer for the next step."""
        if self._done.done():
            return
        now = self._context.now()
        outcome = self._outcome(now)
        if outcome is not None:
            self._done.set_result(outcome)
            return
        due = min(self._next_step_at)
        if self._route.shard_set is not None and now < self._times.aim_cutoff:
            due = min(due, self._times.aim_cutoff)
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
            return self._to_response(self._reply)
        verdict = self._collector.verdict(
            aim_passed=now >= self._times.aim_cutoff and self._context.policy.partial_at_target
        )
        if verdict is PartialResultVerdict.ANSWER:
            return self._collector.response(self._request.request_id)
        if verdict is PartialResultVerdict.FAIL and self._subset_refusal is not None:
            return dataclasses.replace(self._subset_refusal, run=self.run_state)
        if verdict is PartialResultVerdict.FAIL or now >= self._times.answer_by:
            return self._refusal(now)
        return None

    def _plain_outcome(self, now: float) -> HttpResponse | Refusal | None:
        if self._reply is not None:
            return self._to_outcome(self._reply)
        if self._is_lost and self._failure is not None:
            return self._to_outcome(self._failure)
        if self._is_lost or now >= self._times.answer_by:
            return self._refusal(now)
        return None

    def _refusal(self, now: float) -> Refusal:
        """Return the refusal, which states whether any replica may have run the request."""
        # An attempt that still waits for a connection must not be sent after the refusal.
        self._withdraw_waiting()
        if self.run_state is RunState.NOT_RUN:
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

    def _to_outcome(self, reply: ExchangeReply) -> HttpResponse | Refusal:
        """Return a replica's reply, or a refusal if its status would promise that it has not run.

        A replica that has not run a request says so by a header, not by the status.
        """
        if not self._route.repeatable and reply.status in NOT_RUN_STATUSES:
            return Refusal(ErrorKind.BACKEND_FAILED, self._detail)
        return self._to_response(reply)

    def _to_response(self, reply: ExchangeReply) -> HttpResponse:
        return HttpResponse(
            status=reply.status, body=reply.body, raw_headers=self._policy.end_to_end(reply)
        )

    def _abandon_attempts(self, why: str) -> None:
        """Close attempts in flight; closing a connection stops the work at the replica."""
        self._withdraw_waiting()
        now = self._context.now()
        for attempt in tuple(self._in_flight):
            self._in_flight.discard(attempt)
            elapsed_ms = (now - attempt.record.sent_at) * 1000
            self._policy.record_abandoned(now, attempt, elapsed_ms)
            if attempt.connection is not None:
                attempt.connection.discard()
