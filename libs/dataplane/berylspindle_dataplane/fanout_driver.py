"""Driver of one fan-out: executes its actions and feeds it replies and timer events.

Flow: the entry creates one `FanoutDriver` per search and awaits `run`. Each step obtains actions
from the fan-out, groups the attempts by owner into one message each, and sets one timer. A reply or
the timer starts the next step, until the fan-out has an outcome. Replies that arrive during a step
are queued and processed at its end. Cancelling `run` cancels the outstanding attempts.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

from berylspindle_dataplane.entry_context import EntryContext
from berylspindle_dataplane.fanout_strategy import Action, Cancel, Send
from berylspindle_dataplane.router import Router
from berylspindle_dataplane.search_fanout import SearchFanout
from berylspindle_dataplane.service_state import ServiceState
from berylspindle_model.errors import Refusal
from berylspindle_model.messages import (
    Attempt,
    AttemptBatch,
    AttemptReply,
    SearchAnswer,
    SearchRequest,
)
from berylspindle_model.snapshot import Snapshot
from berylspindle_model.topology import Vm
from berylspindle_telemetry import metric_names as names


class FanoutDriver:
    """Execute the actions of one fan-out and feed it replies and timer events."""

    def __init__(
        self,
        fanout: SearchFanout,
        state: ServiceState,
        router: Router,
        context: EntryContext,
        request: SearchRequest,
        *,
        fingerprint: str,
        is_canary: bool,
    ) -> None:
        self._fanout: Final = fanout
        self._state: Final = state
        self._router: Final = router
        self._context: Final = context
        self._request: Final = request
        self._fingerprint: Final = fingerprint
        self._is_canary: Final = is_canary
        self._loop: Final = asyncio.get_running_loop()
        self._done: Final[asyncio.Future[None]] = self._loop.create_future()
        self._pending_replies: deque[AttemptReply] = deque()
        self._applying = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = 0.0
        # Time of sending and requested snapshot of each outstanding attempt.
        self._sent: dict[str, tuple[float, Snapshot | None]] = {}
        self._pin: Snapshot | None = None
        self._deadline = 0.0

    async def run(self, deadline: float) -> SearchAnswer | Refusal:
        """Run the fan-out to its outcome. On cancellation, cancel the outstanding attempts."""
        self._deadline = deadline
        try:
            self._step(lambda: self._fanout.start(self._context.now()))
            await self._done
        except BaseException:
            self._apply(self._fanout.stop(self._context.now()))
            raise
        finally:
            if self._timer is not None:
                self._timer.cancel()
        outcome = self._fanout.outcome
        assert outcome is not None
        return outcome

    def _on_reply(self, reply: AttemptReply) -> None:
        # An owner on this VM refuses synchronously within `submit`, while actions are being
        # applied. The reply is queued; otherwise an attempt could be cancelled before it is sent,
        # and then be sent.
        self._record_reply(reply)
        self._pending_replies.append(reply)
        if not self._applying and not self._done.done():
            self._step(list)

    def _on_timer(self) -> None:
        self._timer = None
        if self._context.now() < self._fanout.next_timer:
            self._set_timer()
            return
        self._step(lambda: self._fanout.on_timer(self._context.now()))

    def _step(self, first_actions: Callable[[], list[Action]]) -> None:
        self._applying = True
        try:
            self._apply(first_actions())
            while self._pending_replies and self._fanout.outcome is None:
                self._apply(
                    self._fanout.on_reply(self._context.now(), self._pending_replies.popleft())
                )
        except Exception as error:
            if not self._done.done():
                self._done.set_exception(error)
            return
        finally:
            self._applying = False
        if self._fanout.outcome is not None:
            if not self._done.done():
                self._done.set_result(None)
            return
        self._set_timer()

    def _set_timer(self) -> None:
        """Schedule the next timer event, unless an earlier one is already scheduled.

        Most replies postpone the due time; rescheduling for each of them would cost more than the
        rest of the reply processing. A timer that fires early reschedules itself.
        """
        due = self._fanout.next_timer
        if self._timer is not None:
            if self._timer_due <= due:
                return
            self._timer.cancel()
        self._timer_due = due
        self._timer = self._loop.call_later(max(0.0, due - self._context.now()), self._on_timer)

    def _apply(self, actions: list[Action]) -> None:
        sends: dict[str, tuple[Vm, list[Attempt]]] = {}
        cancels: dict[str, tuple[Vm, list[str]]] = {}
        for action in actions:
            owner = action.target.owner
            stats = self._state.replica_stats(action.target.server.id)
            if isinstance(action, Send):
                stats.outstanding += 1
                sends.setdefault(owner.id, (owner, []))[1].append(action.attempt)
                self._record_send(action)
            else:
                stats.outstanding -= 1
                cancels.setdefault(owner.id, (owner, []))[1].append(action.attempt_id)
                self._record_cancel(action)
        for owner, attempt_ids in cancels.values():
            self._router.cancel(owner, attempt_ids)
        for owner, attempts in sends.values():
            self._router.submit(owner, self._make_batch(attempts), self._on_reply)

    def _make_batch(self, attempts: list[Attempt]) -> AttemptBatch:
        left_ms = (self._deadline - self._context.now()) * 1000
        timeout_ms = self._context.deadlines.for_owner(left_ms)
        configuration = self._router.configuration
        return AttemptBatch(
            entry=self._router.me.id,
            caller=self._request.caller,
            deadline_ms=max(1, int(timeout_ms or 1)),
            revision=configuration.revision if configuration else 0,
            attempts=tuple(attempts),
            fingerprint=self._fingerprint,
            is_canary=self._is_canary,
        )

    def _record_send(self, send: Send) -> None:
        service = self._state.service.name
        self._context.metrics.count(names.ATTEMPTS, service=service, reason=send.reason)
        pin = send.attempt.pin
        self._sent[send.attempt.id] = (self._context.now(), pin)
        if self._pin is not None and pin != self._pin:
            self._state.meters.on_repin()
        self._pin = pin
        if send.reason in ("first", "canary"):
            self._state.hedging.on_first_attempt()
            self._state.retry_budget.on_first_attempt()
        self._state.ejector.on_use(self._context.now(), send.target.server.id)

    def _record_reply(self, reply: AttemptReply) -> None:
        meters = self._state.meters
        sent = self._sent.pop(reply.attempt, None)
        if sent is None:
            # The attempt was cancelled or has already been answered.
            meters.on_discarded("late")
            return
        sent_at, pin = sent
        result = reply.error.value if reply.error is not None else "ok"
        meters.on_reply(result, (self._context.now() - sent_at) * 1000)
        if reply.error is None and pin is not None and reply.snapshot != pin:
            meters.on_discarded("mismatched")

    def _record_cancel(self, cancel: Cancel) -> None:
        self._sent.pop(cancel.attempt_id, None)
        if cancel.was_first:
            self._state.hedging.observe_cancelled(self._context.now(), cancel.elapsed_ms)
            self._state.record_cancelled(cancel.target.server.id, cancel.elapsed_ms)
