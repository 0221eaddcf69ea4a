"""Dispatch of attempts to one backend server: queue, concurrency limit, health and draining.

Terms:
  worker     the only sender to one backend server on this VM; while the right to dispatch is held,
             no other VM sends to that server
  queued     an attempt that waits for a slot and can still be refused as NOT_RUN
  abandoned  a running attempt whose reply is no longer awaited

Flow: `submit` puts an attempt into the fair queue. `_dispatch_queued` starts queued attempts while
the limiter admits them and the right to dispatch is held. Each running attempt is one task; its end
triggers the next dispatch. Queued attempts are refused when the server drains, its data centre is
taken out or ownership moves.
"""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from berylspindle_dataplane.backend import Backend
from berylspindle_dataplane.http_backend import COLD_DETAIL
from berylspindle_dataplane.loss_attribution import LossAttribution
from berylspindle_dataplane.router import refusal_reply
from berylspindle_dataplane.server_meters import ServerMeters
from berylspindle_dataplane.worker_context import QueuedAttempt, WorkerContext
from berylspindle_decisions.concurrency import FailureKind, ReportState, ServerLimiter, WarmUpState
from berylspindle_decisions.fair_queue import FairQueue
from berylspindle_decisions.ownership import RightLevel
from berylspindle_model.backend_protocol import BackendState
from berylspindle_model.configuration import Server
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.events import EventKind
from berylspindle_model.messages import AttemptReply
from berylspindle_model.operator_protocol import ServerPhase, ServerReport
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.supervisor import keep_running

# Interval for checking a blocked queue when no other event triggers a dispatch, such as a dispatch
# right that is confirmed again or the end of a retry delay set by the server.
RECHECK_SECONDS: Final = 0.02
MIN_RECHECK_SECONDS: Final = 0.001
# Interval between reads of the health report of a server. A report can only lower the limit, so
# reading it late is acceptable.
REPORT_SECONDS: Final = 1.0
# Interval while the server warms up, when reports determine how many successes each step of the
# limit requires.
COLD_REPORT_SECONDS: Final = 0.2
SMOOTHING_FACTOR: Final = 0.1
DEFAULT_SERVICE_MS: Final = 5.0


class ServerWorker:
    """Dispatch attempts to one backend server."""

    def __init__(
        self,
        server: Server,
        backend: Backend,
        context: WorkerContext,
        warm_up_state: WarmUpState | None,
    ) -> None:
        self._server: Final = server
        self._backend: Final = backend
        self._context: Final = context
        self._limiter: Final = ServerLimiter(server.slots, server.cold_slots)
        self._limiter.on_takeover(context.now(), warm_up_state)
        self._queue: Final[FairQueue[QueuedAttempt]] = FairQueue(context.queue)
        self._attempts_by_id: dict[str, QueuedAttempt] = {}
        self._running = 0
        self._long_running = 0
        self._loss_attribution: Final = LossAttribution(server.id, context.quarantine)
        self._service_ms = DEFAULT_SERVICE_MS
        self._refuse_with: ErrorKind | None = None
        self._draining = False
        self._recheck: asyncio.TimerHandle | None = None
        self._reporter = asyncio.get_running_loop().create_task(
            keep_running(self._read_reports, self._on_report_failure)
        )
        self._idle = asyncio.Event()
        self._idle.set()
        self._meters: Final = ServerMeters(server, context.metrics, context.timeline)
        self._meters.add_gauge(names.SERVER_IN_FLIGHT, lambda: self.in_flight)
        self._meters.add_gauge(names.SERVER_QUEUE, lambda: self.queued)
        self._meters.add_gauge(names.SERVER_CAP, lambda: self._allowance(context.now()))
        self._meters.add_gauge(names.SERVER_CONNECTIONS, lambda: backend.open_connections)

    @property
    def server(self) -> Server:
        """Return the configuration of the backend server when this worker was created."""
        return self._server

    @property
    def in_flight(self) -> int:
        """Return the number of attempts running at the server."""
        return self._limiter.in_flight

    @property
    def queued(self) -> int:
        """Return the number of attempts waiting for a slot."""
        return len(self._queue)

    @property
    def warm_up_state(self) -> WarmUpState:
        """Return the limiter state to pass to the next owner."""
        return self._limiter.warm_up_state

    @property
    def is_draining(self) -> bool:
        """Return whether the server itself reports that it is draining."""
        return self._draining

    def report(self) -> ServerReport:
        """Return the state of the server as seen by this VM, for operators."""
        now = self._context.now()
        if self._draining or self._refuse_with is not None:
            phase = ServerPhase.LEAVING
        elif self._limiter.is_warm:
            phase = ServerPhase.WARM
        else:
            at_cold_cap = self._limiter.limit(now) <= self._server.cold_slots
            phase = ServerPhase.COLD if at_cold_cap else ServerPhase.WARMING
        return ServerReport(
            server=self._server.id,
            service=self._server.service,
            shard=self._server.shard,
            phase=phase,
            in_flight=self.in_flight,
            cap=self._allowance(now),
            queued=self.queued,
        )

    def submit(self, queued: QueuedAttempt) -> None:
        """Queue one attempt; `on_reply` is called at once if the attempt is refused."""
        kind = self._current_refusal()
        if kind is not None:
            self._refuse(queued, kind)
            return
        pushed = self._queue.push(
            queued.enqueued_at,
            queued,
            caller=queued.caller,
            deadline=queued.deadline,
            cost=queued.cost,
        )
        if isinstance(pushed, Refusal):
            self._refuse(queued, pushed.kind, retry_after_ms=pushed.retry_after_ms)
            return
        self._attempts_by_id[queued.attempt.id] = queued
        for victim in pushed.evicted:
            self._refuse(victim, ErrorKind.CALLER_OVER_SHARE)
        self._dispatch_queued()

    def cancel(self, attempt_id: str) -> bool:
        """Cancel an attempt; return False if this worker does not have it.

        At a warm server the running call is cancelled, which frees its slot as soon as the server
        has ended the call. At a cold server the call continues: the server notices a closed
        connection late, and a slot freed too early would admit one request more than a cold server
        can handle. A call that must not be repeated continues too, because its outcome would
        otherwise remain unknown.
        """
        queued = self._attempts_by_id.get(attempt_id)
        if queued is None:
            return False
        if queued.abandoned:
            return True
        queued.abandoned = True
        if queued.task is None:
            self._queue.remove(queued)
            del self._attempts_by_id[attempt_id]
        elif self._limiter.is_warm and queued.attempt.execute_key is None:
            # A task cancelled before its first step never runs its `finally` block, so its slot
            # would never be freed. By the next iteration of the loop, the first step has run.
            asyncio.get_running_loop().call_soon(queued.task.cancel)
        return True

    def set_refusal(self, kind: ErrorKind | None) -> None:
        """Refuse new and queued attempts with `kind`; None accepts attempts again.

        Running attempts continue. Queued ones are refused as NOT_RUN, so that the entry can send
        them elsewhere. Without this, attempts queued in a data centre that was taken out would
        still be dispatched there.
        """
        self._refuse_with = kind
        if kind is not None:
            self._flush(kind)

    def release(self) -> None:
        """Refuse queued attempts and remove the gauges of the server."""
        self.set_refusal(ErrorKind.NOT_OWNER)
        self._meters.remove_gauges()

    async def wait_idle(self) -> None:
        """Wait until no attempt is running at the server."""
        await self._idle.wait()

    async def close(self) -> None:
        """Refuse queued attempts, cancel running ones and close the connections."""
        self.release()
        if self._recheck is not None:
            self._recheck.cancel()
        tasks = [queued.task for queued in self._attempts_by_id.values() if queued.task is not None]
        for task in [*tasks, self._reporter]:
            task.cancel()
        await asyncio.gather(*tasks, self._reporter, return_exceptions=True)
        await self._backend.close()

    def _current_refusal(self) -> ErrorKind | None:
        if self._refuse_with is not None:
            return self._refuse_with
        if self._draining:
            return ErrorKind.SERVER_LEAVING
        right = self._context.rights.level(self._server.id, self._context.now())
        # If the right starts shortly, the attempt waits in the queue; otherwise it is refused at
        # once so that the entry can use another replica.
        if right is RightLevel.NONE and not self._right_starts_soon():
            return ErrorKind.NOT_OWNER
        # A cold server gets no work under an unconfirmed right. An attempt in its queue would wait
        # until its deadline although another replica could answer.
        if right is RightLevel.DEGRADED and not self._limiter.is_warm:
            return ErrorKind.NOT_OWNER
        return None

    def _right_starts_soon(self) -> bool:
        wait = self._context.rights.usable_from(self._server.id) - self._context.now()
        return 0 < wait < RECHECK_SECONDS * 5

    def _allowance(self, now: float) -> int:
        """Return the limit of attempts in flight, given the dispatch right and the limiter."""
        right = self._context.rights.level(self._server.id, now)
        if right is RightLevel.NONE:
            return 0
        limit = self._limiter.limit(now)
        if right is RightLevel.HELD:
            return limit
        # The right is unconfirmed, and another VM may have become the owner meanwhile. Only warm
        # servers are used, with half of their slots, so that two VMs do not overload one together.
        return max(1, self._server.slots // 2) if self._limiter.is_warm else 0

    def _record_right(self, now: float) -> None:
        if self._refuse_with is None:
            self._meters.on_dispatch_right(self._context.rights.level(self._server.id, now))

    def _dispatch_queued(self) -> None:
        now = self._context.now()
        self._record_right(now)
        while self._limiter.in_flight < self._allowance(now) and self._limiter.may_start(now):
            popped = self._queue.pop(
                now,
                expected_service=self._service_ms / 1000,
                long_running=self._long_running,
                slots=self._server.slots,
            )
            for expired in popped.expired:
                self._refuse(expired, ErrorKind.DEADLINE_EXCEEDED)
            if popped.item is None:
                break
            item = popped.item
            if self._loss_attribution.is_suspect(now, item.fingerprint, is_canary=item.is_canary):
                self._refuse(popped.item, ErrorKind.QUARANTINED)
                continue
            popped.item.is_long = popped.long
            self._start(now, popped.item)
        if len(self._queue):
            self._refuse_expired(now)
        if len(self._queue) and self._recheck is None:
            loop = asyncio.get_running_loop()
            self._recheck = loop.call_later(self._recheck_after(now), self._on_recheck)

    def _refuse_expired(self, now: float) -> None:
        """Refuse attempts that cannot meet their deadline, even while none may start."""
        for expired in self._queue.expire(now, expected_service=self._service_ms / 1000):
            self._refuse(expired, ErrorKind.DEADLINE_EXCEEDED)

    def _recheck_after(self, now: float) -> float:
        """Return the delay until the next check of the queue, in seconds.

        The check must run before the first queued attempt can no longer meet its deadline.
        Otherwise an execute that never left the queue would be refused after its entry has stopped
        waiting; its outcome would be recorded as unknown and its key could not be used again.
        """
        waiting = (
            queued.deadline for queued in self._attempts_by_id.values() if queued.task is None
        )
        first = min(waiting, default=now + RECHECK_SECONDS)
        return min(RECHECK_SECONDS, max(MIN_RECHECK_SECONDS, first - self._service_ms / 1000 - now))

    def _on_recheck(self) -> None:
        self._recheck = None
        kind = self._current_refusal()
        if kind is not None:
            self._flush(kind)
            return
        self._dispatch_queued()

    def _start(self, now: float, queued: QueuedAttempt) -> None:
        self._limiter.on_start(now)
        self._running += 1
        self._long_running += queued.is_long
        self._idle.clear()
        queued.task = asyncio.get_running_loop().create_task(self._run(queued, now))

    async def _run(self, queued: QueuedAttempt, started: float) -> None:
        reply: AttemptReply | None = None
        try:
            left_ms = self._context.deadlines.for_server((queued.deadline - started) * 1000)
            # An execute is dispatched even with little time left, because its claim permits only
            # one dispatch.
            deadline_ms = max(1, int(left_ms or (queued.deadline - started) * 1000))
            reply = await self._backend.run(queued.attempt, deadline_ms=deadline_ms)
            reply = self._loss_attribution.with_loss_count(
                self._context.now(), reply, dispatched_at=started, in_flight=self._running
            )
        finally:
            now = self._context.now()
            self._end(now, queued, reply, (now - started) * 1000)
        if queued.abandoned:
            return
        timed = attrs.evolve(
            reply, queued_ms=(started - queued.enqueued_at) * 1000, served_ms=(now - started) * 1000
        )
        queued.on_reply(timed)

    def _end(
        self, now: float, queued: QueuedAttempt, reply: AttemptReply | None, served_ms: float
    ) -> None:
        """Free the slot and record the result; `reply` is None if the attempt was cancelled."""
        del self._attempts_by_id[queued.attempt.id]
        self._running -= 1
        self._long_running -= queued.is_long
        if not self._running:
            self._idle.set()
        if reply is None:
            self._limiter.on_cancelled(now)
        else:
            result = reply.error.value if reply.error is not None else "ok"
            queued_ms = (now - queued.enqueued_at) * 1000 - served_ms
            self._meters.on_reply(result, queued_ms=queued_ms, served_ms=served_ms)
            self._record_result(now, reply, served_ms)
            self._loss_attribution.record_reply(now, queued.fingerprint, reply, served_ms)
        asyncio.get_running_loop().call_soon(self._dispatch_queued)

    def _record_result(self, now: float, reply: AttemptReply, served_ms: float) -> None:
        if reply.error is None:
            self._service_ms += SMOOTHING_FACTOR * (served_ms - self._service_ms)
            self._limiter.on_success(now, served_ms)
            self._record_warm_state("")
        elif reply.error is ErrorKind.SERVER_SHED:
            self._limiter.on_shed(now, reply.retry_after_ms)
            if reply.detail == COLD_DETAIL:
                self._limiter.on_report(now, ReportState.COLD)
            self._record_warm_state("shed")
        elif reply.error is ErrorKind.SERVER_LEAVING:
            self._limiter.on_cancelled(now)
            self._set_draining(True)
        elif reply.error in _SERVER_FAILURES and reply.run is not RunState.RAN:
            self._limiter.on_failure(now, _failure_kind(reply))
            self._record_warm_state(reply.error.value)
        else:
            self._limiter.on_cancelled(now)

    def _record_warm_state(self, evidence: str) -> None:
        self._meters.on_warm_state(warm=self._limiter.is_warm, evidence=evidence)

    def _set_draining(self, is_draining: bool) -> None:
        if is_draining == self._draining:
            return
        self._draining = is_draining
        self._meters.on_draining(is_draining)
        if is_draining:
            self._flush(ErrorKind.SERVER_LEAVING)

    def _flush(self, kind: ErrorKind) -> None:
        for queued in self._queue.flush():
            self._refuse(queued, kind)

    def _refuse(
        self, queued: QueuedAttempt, kind: ErrorKind, *, retry_after_ms: int | None = None
    ) -> None:
        self._attempts_by_id.pop(queued.attempt.id, None)
        if queued.abandoned:
            return
        attempt = queued.attempt
        queued.on_reply(
            refusal_reply(
                attempt.id,
                server=attempt.server,
                shard=attempt.shard,
                kind=kind,
                retry_after_ms=retry_after_ms,
            )
        )

    def _on_report_failure(self, error: Exception) -> None:
        detail = f"reports of {self._server.id}: {error!r}"
        self._context.timeline.record(EventKind.INTERNAL_FAULT, detail=detail)

    async def _read_reports(self) -> None:
        while True:
            # Read the first report at once: without one, a new owner would raise the limit of a
            # cold server after a few fast answers and overload it.
            report = await self._backend.report()
            self._record_right(self._context.now())
            if report is not None:
                now = self._context.now()
                self._limiter.on_report(now, ReportState(report.state.value))
                self._record_warm_state("report")
                self._set_draining(report.state is BackendState.DRAINING)
            pause = REPORT_SECONDS if self._limiter.is_warm else COLD_REPORT_SECONDS
            await asyncio.sleep(pause)


_SERVER_FAILURES: Final = frozenset(
    {ErrorKind.CONNECTION_LOST, ErrorKind.BAD_REPLY, ErrorKind.DEADLINE_EXCEEDED}
)


def _failure_kind(reply: AttemptReply) -> FailureKind:
    if reply.error is ErrorKind.CONNECTION_LOST:
        return FailureKind.REFUSED if reply.run is RunState.NOT_RUN else FailureKind.RESET
    if reply.error is ErrorKind.DEADLINE_EXCEEDED:
        return FailureKind.TIMEOUT
    return FailureKind.ERROR
