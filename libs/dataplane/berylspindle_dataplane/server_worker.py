"""The one place from which work goes to one backend server: its queue, its slots, its health.

Terms:
  worker     owns one backend server: nobody else on this VM sends to it, and while the right to
             dispatch is held nobody on any other VM does
  queued     an attempt that waits for a slot; it can still be refused as a true NOT_RUN
  abandoned  a running attempt that nobody waits for any more, left to end by itself

Flow: `submit` puts an attempt into the fair queue; `_pump` starts queued attempts while the limiter
allows and the right is held; each running attempt is one task, and its end pumps again. `flush`
gives queued work back when the server leaves, its data centre is taken out or ownership moves.
"""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from berylspindle_dataplane.backend import Backend
from berylspindle_dataplane.http_backend import COLD_DETAIL
from berylspindle_dataplane.losses import Losses
from berylspindle_dataplane.router import refused
from berylspindle_dataplane.server_meters import ServerMeters
from berylspindle_dataplane.worker_tools import Queued, WorkerTools
from berylspindle_decisions.concurrency import FailureKind, ReportState, ServerLimiter, Trust
from berylspindle_decisions.fair_queue import FairQueue
from berylspindle_decisions.ownership import RightLevel
from berylspindle_model.backend_protocol import BackendState
from berylspindle_model.configuration import Server
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.messages import AttemptReply
from berylspindle_model.operator_protocol import ServerPhase, ServerReport
from berylspindle_telemetry import metric_names as names

# How soon a blocked queue is looked at again when nothing else wakes it: a right that is confirmed
# again, or a server's time to come back that has passed.
RECHECK_SECONDS: Final = 0.02
MIN_RECHECK_SECONDS: Final = 0.001
# Time between two reads of a server's own report. It only lowers trust, so a late one costs little.
REPORT_SECONDS: Final = 1.0
# The same while the server warms up, when a report decides how many successes a step takes.
COLD_REPORT_SECONDS: Final = 0.2
SMOOTHING: Final = 0.1
DEFAULT_SERVICE_MS: Final = 5.0


class ServerWorker:
    """Own one backend server and everything that goes to it."""

    def __init__(
        self, server: Server, backend: Backend, tools: WorkerTools, trust: Trust | None
    ) -> None:
        self._server: Final = server
        self._backend: Final = backend
        self._tools: Final = tools
        self._limiter: Final = ServerLimiter(server.slots, server.cold_slots)
        self._limiter.on_takeover(tools.now(), trust)
        self._queue: Final[FairQueue[Queued]] = FairQueue(tools.queue)
        self._by_id: dict[str, Queued] = {}
        self._running = 0
        self._long_running = 0
        self._losses: Final = Losses(server.id, tools.quarantine)
        self._service_ms = DEFAULT_SERVICE_MS
        self._refuse_with: ErrorKind | None = None
        self._drains = False
        self._recheck: asyncio.TimerHandle | None = None
        self._reporter = asyncio.get_running_loop().create_task(self._read_reports())
        self._idle = asyncio.Event()
        self._idle.set()
        self._meters: Final = ServerMeters(server, tools.metrics, tools.timeline)
        self._meters.watch(names.SERVER_IN_FLIGHT, lambda: self.in_flight)
        self._meters.watch(names.SERVER_QUEUE, lambda: self.queued)
        self._meters.watch(names.SERVER_CAP, lambda: self._allowance(tools.now()))
        self._meters.watch(names.SERVER_CONNECTIONS, lambda: backend.open_connections)

    @property
    def server(self) -> Server:
        """Return the backend server as it was configured when this worker was made."""
        return self._server

    @property
    def in_flight(self) -> int:
        """Return the attempts under way at the server."""
        return self._limiter.in_flight

    @property
    def queued(self) -> int:
        """Return the attempts that wait for a slot."""
        return len(self._queue)

    @property
    def trust(self) -> Trust:
        """Return what the next owner may be told."""
        return self._limiter.trust

    @property
    def drains(self) -> bool:
        """Tell whether the server itself says that it is leaving."""
        return self._drains

    def report(self) -> ServerReport:
        """Return what this VM holds the server to be, for operators."""
        now = self._tools.now()
        if self._drains or self._refuse_with is not None:
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

    def submit(self, queued: Queued) -> None:
        """Queue one attempt; it is answered in any case, at once where it can't be queued."""
        kind = self._refusal_now()
        if kind is not None:
            self._refuse(queued, kind)
            return
        pushed = self._queue.push(
            queued.pushed,
            queued,
            caller=queued.caller,
            deadline=queued.deadline,
            cost=queued.cost,
        )
        if isinstance(pushed, Refusal):
            self._refuse(queued, pushed.kind, retry_after_ms=pushed.retry_after_ms)
            return
        self._by_id[queued.attempt.id] = queued
        for victim in pushed.victims:
            self._refuse(victim, ErrorKind.CALLER_OVER_SHARE)
        self._pump()

    def cancel(self, attempt_id: str) -> bool:
        """Drop an attempt that nobody waits for; False where it isn't here.

        At a warm server the running call is cancelled, which frees its slot as soon as the server
        has ended the call. A cold one is let
        finish: the server notices a closed connection late, and a slot counted as free too early
        would send a cold server one more request than it bears. One that may not be repeated is
        let finish as well: cut off, its outcome could never be known.
        """
        queued = self._by_id.get(attempt_id)
        if queued is None:
            return False
        if queued.abandoned:
            return True
        queued.abandoned = True
        if queued.task is None:
            self._queue.remove(queued)
            del self._by_id[attempt_id]
        elif self._limiter.is_warm and queued.attempt.execute_key is None:
            # A task that is cancelled before its first step never runs, and its `finally` with it:
            # the slot would be held for ever. By the loop's next turn the step has been made.
            asyncio.get_running_loop().call_soon(queued.task.cancel)
        return True

    def stop_taking(self, kind: ErrorKind | None) -> None:
        """Refuse new work as `kind` and give queued work back; None takes work again.

        What runs is finished. What waited is refused as a true NOT_RUN, so that its entry can
        send it elsewhere: without that, work queued in a data centre that was taken out would
        still be dispatched there after the operators were told otherwise.
        """
        self._refuse_with = kind
        if kind is not None:
            self._flush(kind)

    def disown(self) -> None:
        """Give queued work back, and tell nothing of the server any more."""
        self.stop_taking(ErrorKind.NOT_OWNER)
        self._meters.forget()

    async def drained(self) -> None:
        """Wait until nothing runs at the server any more."""
        await self._idle.wait()

    async def close(self) -> None:
        """Give queued work back, cancel what runs and close the connections."""
        self.disown()
        if self._recheck is not None:
            self._recheck.cancel()
        tasks = [queued.task for queued in self._by_id.values() if queued.task is not None]
        for task in [*tasks, self._reporter]:
            task.cancel()
        await asyncio.gather(*tasks, self._reporter, return_exceptions=True)
        await self._backend.close()

    def _refusal_now(self) -> ErrorKind | None:
        if self._refuse_with is not None:
            return self._refuse_with
        if self._drains:
            return ErrorKind.SERVER_LEAVING
        right = self._tools.rights.level(self._server.id, self._tools.now())
        # A right that starts within a moment is waited for in the queue; one that is not this
        # VM's at all sends the work on at once.
        if right is RightLevel.NONE and not self._right_is_near():
            return ErrorKind.NOT_OWNER
        # An unconfirmed right never reaches a cold server. What waited for it would wait until its
        # deadline, while another replica could have answered.
        if right is RightLevel.DEGRADED and not self._limiter.is_warm:
            return ErrorKind.NOT_OWNER
        return None

    def _right_is_near(self) -> bool:
        wait = self._tools.rights.usable_from(self._server.id) - self._tools.now()
        return 0 < wait < RECHECK_SECONDS * 5

    def _allowance(self, now: float) -> int:
        """Return how many attempts may be in flight now, by right and by trust."""
        right = self._tools.rights.level(self._server.id, now)
        if right is RightLevel.NONE:
            return 0
        limit = self._limiter.limit(now)
        if right is RightLevel.HELD:
            return limit
        # Nobody confirms the right: only a warm server is used, with half its slots, so that a
        # second VM that was given the server meanwhile cannot overload it together with this one.
        return max(1, self._server.slots // 2) if self._limiter.is_warm else 0

    def _note_right(self, now: float) -> None:
        if self._refuse_with is None:
            self._meters.on_right(self._tools.rights.level(self._server.id, now))

    def _pump(self) -> None:
        now = self._tools.now()
        self._note_right(now)
        while self._limiter.in_flight < self._allowance(now) and self._limiter.may_start(now):
            popped = self._queue.pop(
                now,
                expected_service=self._service_ms / 1000,
                long_running=self._long_running,
                slots=self._server.slots,
            )
            for late in popped.expired:
                self._refuse(late, ErrorKind.DEADLINE_EXCEEDED)
            if popped.item is None:
                break
            item = popped.item
            if self._losses.is_suspect(now, item.fingerprint, is_canary=item.is_canary):
                self._refuse(popped.item, ErrorKind.QUARANTINED)
                continue
            popped.item.is_long = popped.long
            self._start(now, popped.item)
        if len(self._queue):
            self._expire(now)
        if len(self._queue) and self._recheck is None:
            loop = asyncio.get_running_loop()
            self._recheck = loop.call_later(self._recheck_after(now), self._on_recheck)

    def _expire(self, now: float) -> None:
        """Answer at once what can't make its deadline any more, also while nothing may start."""
        for late in self._queue.expire(now, expected_service=self._service_ms / 1000):
            self._refuse(late, ErrorKind.DEADLINE_EXCEEDED)

    def _recheck_after(self, now: float) -> float:
        """Return when to look again: soon, and when the first that waits can't make it any more.

        Looked at later, a hold that never left the queue would be refused after its entry has
        stopped waiting: its outcome is told as unknown, and its key is dead.
        """
        waiting = (one.deadline for one in self._by_id.values() if one.task is None)
        first = min(waiting, default=now + RECHECK_SECONDS)
        return min(RECHECK_SECONDS, max(MIN_RECHECK_SECONDS, first - self._service_ms / 1000 - now))

    def _on_recheck(self) -> None:
        self._recheck = None
        kind = self._refusal_now()
        if kind is not None:
            self._flush(kind)
            return
        self._pump()

    def _start(self, now: float, queued: Queued) -> None:
        self._limiter.on_start(now)
        self._running += 1
        self._long_running += queued.is_long
        self._idle.clear()
        queued.task = asyncio.get_running_loop().create_task(self._run(queued, now))

    async def _run(self, queued: Queued, started: float) -> None:
        reply: AttemptReply | None = None
        try:
            left_ms = self._tools.deadlines.for_server((queued.deadline - started) * 1000)
            # An execute keeps its one dispatch even with little time left; its claim is spent.
            deadline_ms = max(1, int(left_ms or (queued.deadline - started) * 1000))
            reply = await self._backend.run(queued.attempt, deadline_ms=deadline_ms)
            reply = self._losses.counted(
                self._tools.now(), reply, dispatched=started, in_flight=self._running
            )
        finally:
            now = self._tools.now()
            self._end(now, queued, reply, (now - started) * 1000)
        if queued.abandoned:
            return
        timed = attrs.evolve(
            reply, queued_ms=(started - queued.pushed) * 1000, served_ms=(now - started) * 1000
        )
        queued.on_reply(timed)

    def _end(
        self, now: float, queued: Queued, reply: AttemptReply | None, served_ms: float
    ) -> None:
        """Free the slot and learn from how the attempt ended; None stands for cancelled."""
        del self._by_id[queued.attempt.id]
        self._running -= 1
        self._long_running -= queued.is_long
        if not self._running:
            self._idle.set()
        if reply is None:
            self._limiter.on_cancelled(now)
        else:
            result = reply.error.value if reply.error is not None else "ok"
            queued_ms = (now - queued.pushed) * 1000 - served_ms
            self._meters.on_reply(result, queued_ms=queued_ms, served_ms=served_ms)
            self._learn(now, reply, served_ms)
            self._losses.learn(now, queued.fingerprint, reply, served_ms)
        asyncio.get_running_loop().call_soon(self._pump)

    def _learn(self, now: float, reply: AttemptReply, served_ms: float) -> None:
        if reply.error is None:
            self._service_ms += SMOOTHING * (served_ms - self._service_ms)
            self._limiter.on_success(now, served_ms)
            self._note_warmth("")
        elif reply.error is ErrorKind.SERVER_SHED:
            self._limiter.on_shed(now, reply.retry_after_ms)
            if reply.detail == COLD_DETAIL:
                self._limiter.on_report(now, ReportState.COLD)
            self._note_warmth("shed")
        elif reply.error is ErrorKind.SERVER_LEAVING:
            self._limiter.on_cancelled(now)
            self._set_drains(True)
        elif reply.error in _FAILURES and reply.run is not RunState.RAN:
            self._limiter.on_failure(now, _failure_kind(reply))
            self._note_warmth(reply.error.value)
        else:
            self._limiter.on_cancelled(now)

    def _note_warmth(self, evidence: str) -> None:
        self._meters.on_warmth(warm=self._limiter.is_warm, evidence=evidence)

    def _set_drains(self, drains: bool) -> None:
        if drains == self._drains:
            return
        self._drains = drains
        self._meters.on_drains(drains)
        if drains:
            self._flush(ErrorKind.SERVER_LEAVING)

    def _flush(self, kind: ErrorKind) -> None:
        for queued in self._queue.flush():
            self._refuse(queued, kind)

    def _refuse(
        self, queued: Queued, kind: ErrorKind, *, retry_after_ms: int | None = None
    ) -> None:
        self._by_id.pop(queued.attempt.id, None)
        if queued.abandoned:
            return
        attempt = queued.attempt
        queued.on_reply(
            refused(
                attempt.id,
                server=attempt.server,
                shard=attempt.shard,
                kind=kind,
                retry_after_ms=retry_after_ms,
            )
        )

    async def _read_reports(self) -> None:
        while True:
            # The first report is read at once: a new owner that has not heard that the server is
            # cold raises its cap after a few quick answers, and the server falls over.
            report = await self._backend.report()
            self._note_right(self._tools.now())
            if report is not None:
                now = self._tools.now()
                self._limiter.on_report(now, ReportState(report.state.value))
                self._note_warmth("report")
                self._set_drains(report.state is BackendState.DRAINING)
            pause = REPORT_SECONDS if self._limiter.is_warm else COLD_REPORT_SECONDS
            await asyncio.sleep(pause)


_FAILURES: Final = frozenset(
    {ErrorKind.CONNECTION_LOST, ErrorKind.BAD_REPLY, ErrorKind.DEADLINE_EXCEEDED}
)


def _failure_kind(reply: AttemptReply) -> FailureKind:
    if reply.error is ErrorKind.CONNECTION_LOST:
        return FailureKind.REFUSED if reply.run is RunState.NOT_RUN else FailureKind.RESET
    if reply.error is ErrorKind.DEADLINE_EXCEEDED:
        return FailureKind.TIMEOUT
    return FailureKind.ERROR
