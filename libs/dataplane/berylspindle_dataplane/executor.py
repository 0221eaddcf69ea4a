"""Execution of requests that must not be repeated: claim in the store, then dispatch at most once.

Terms:
  claim     exclusive right to dispatch one request once, acquired by compare-and-swap (`claims`)
  dispatch  the attempt that a backend server may run; an attempt refused without execution does
            not count
  outcome   result of the dispatch, stored with the claim and returned to later requests for the key

Flow: `execute` admits, claims and dispatches (see `execute_dispatch`). A reply that is certainly
NOT_RUN releases the claim; any other reply is the outcome and is stored, also if it leaves open
whether the request ran. The dispatch is a task of its own: a caller that disconnects
does not cancel it and can query the outcome by its key. Without a claim nothing is dispatched, and
the refusal is NOT_RUN.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

import attrs
import xxhash

from berylspindle_dataplane.entry import Entry
from berylspindle_dataplane.entry_context import EntryContext
from berylspindle_dataplane.execute_dispatch import ExecuteDispatcher
from berylspindle_dataplane.router import Router
from berylspindle_dataplane.service_state import ServiceState
from berylspindle_decisions.quarantine import RunMode
from berylspindle_model import codec
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.events import EventKind
from berylspindle_model.messages import AttemptReply, ExecuteAnswer, ExecuteRequest
from berylspindle_store.claim_records import (
    AlreadyClaimed,
    Claim,
    Claimed,
    ClaimRecord,
    ClaimState,
    DispatchOutcome,
    KeyReused,
    OutcomeWriteState,
)
from berylspindle_store.claims import Claims
from berylspindle_store.store import StoreUnavailable
from berylspindle_telemetry import metric_names as names

T = TypeVar("T")

# Minimum time left for a claim. Writing a claim takes milliseconds; a request with less time would
# be claimed and then abandoned, at the cost of two writes to the store.
MIN_EXECUTE_MS: Final = 20.0
PENDING_RETRY_SECONDS: Final = 1.0


class Executor:
    """Run each non-repeatable request at most once."""

    def __init__(
        self,
        router: Router,
        entry: Entry,
        claims: Claims,
        context: EntryContext,
        is_live: Callable[[str], bool],
    ) -> None:
        self._router: Final = router
        self._dispatcher: Final = ExecuteDispatcher(router, context)
        self._entry: Final = entry
        self._claims: Final = claims
        self._context: Final = context
        self._is_live: Final = is_live
        self._tasks: set[asyncio.Task[ExecuteAnswer | Refusal]] = set()
        self._store_calls: set[asyncio.Task[Any]] = set()
        self._active_tokens: set[str] = set()
        self._stopped = False

    @property
    def active(self) -> int:
        """Return the number of requests that have been admitted and not finished."""
        return len(self._tasks)

    async def execute(self, request: ExecuteRequest) -> ExecuteAnswer | Refusal:
        """Run one request, return the outcome of an earlier one with its key, or refuse it."""
        started = self._context.now()
        outcome = await self._admit(request, started)
        result = outcome.kind.value if isinstance(outcome, Refusal) else "ran"
        service = request.service
        metrics = self._context.metrics
        metrics.count(names.REQUESTS, service=service, operation="execute", result=result)
        elapsed_ms = (self._context.now() - started) * 1000
        metrics.observe(names.REQUEST_TIME, elapsed_ms, service=service, operation="execute")
        return outcome

    async def outcome(self, request_id: str, service: str, key: str) -> ExecuteAnswer | Refusal:
        """Return the stored outcome of the request with this key."""
        try:
            record = await self._claims.find(service, key)
        except StoreUnavailable as error:
            # The store did not answer, so the outcome of the queried request remains unknown.
            return Refusal(ErrorKind.STORE_AWAY, str(error), RunState.MAY_HAVE_RUN)
        if record is None:
            return Refusal(ErrorKind.UNKNOWN_OUTCOME)
        return self._recorded_outcome(request_id, record)

    async def store_pending_outcomes(self) -> None:
        """Retry writing outcomes that the store has not accepted, until cancelled."""
        while True:
            await asyncio.sleep(PENDING_RETRY_SECONDS)
            if self._claims.pending:
                await self._claims.retry_pending()

    def stop_accepting(self) -> None:
        """Refuse new requests as NOT_RUN during shutdown, before this VM leaves the view.

        Once this VM is in no view, another VM answers a retry of a request claimed here with
        OUTCOME_UNKNOWN, although the request may still be running.
        """
        self._stopped = True

    async def wait_idle(self) -> None:
        """Wait during shutdown until every dispatch of this VM has ended."""
        while self._tasks or self._store_calls:
            await asyncio.wait([*self._tasks, *self._store_calls])
        await self._claims.retry_pending()

    async def _admit(self, request: ExecuteRequest, started: float) -> ExecuteAnswer | Refusal:
        state = self._entry.state(request.service)
        refusal = self._refusal(request, state)
        if refusal is not None or state is None:
            return refusal or Refusal(ErrorKind.UNKNOWN_SERVICE, request.service)
        left_ms = request.deadline_ms or state.service.policy.deadline_ms
        timeout_ms = self._context.deadlines.for_entry(left_ms, shards=1)
        if timeout_ms is None or timeout_ms < MIN_EXECUTE_MS:
            return Refusal(ErrorKind.DEADLINE_EXCEEDED, "the deadline is too short", _NOT_RUN)
        admission = state.admission
        verdict = admission.decide(started, caller=request.caller, deadline_left_ms=timeout_ms)
        if isinstance(verdict, Refusal):
            self._context.shedding.on_refused(started, verdict.kind.value)
            return verdict
        self._context.shedding.on_admitted(started)
        admission.on_start(request.caller)
        task = asyncio.get_running_loop().create_task(
            self._claim_and_run(request, state, started + timeout_ms / 1000)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: admission.on_done(self._context.now(), request.caller))
        # Shielded: if a disconnecting caller cancelled the task between the dispatch and the
        # storing of the outcome, the outcome would remain unknown.
        return await asyncio.shield(task)

    def _refusal(self, request: ExecuteRequest, state: ServiceState | None) -> Refusal | None:
        if self._router.configuration is None:
            return Refusal(ErrorKind.NOT_READY)
        if self._stopped:
            return Refusal(ErrorKind.SHUTTING_DOWN)
        if state is None:
            return Refusal(ErrorKind.UNKNOWN_SERVICE, request.service)
        if request.shard not in state.service.shards:
            return Refusal(ErrorKind.BAD_REQUEST, f"the service has no shard {request.shard!r}")
        return None

    async def _claim_and_run(
        self, request: ExecuteRequest, state: ServiceState, deadline: float
    ) -> ExecuteAnswer | Refusal:
        content = codec.to_sorted_json([request.service, request.shard, request.payload])
        fingerprint = xxhash.xxh3_128_hexdigest(content)
        if not self._dispatcher.has_target(state, request.shard):
            return Refusal(ErrorKind.NO_REPLICA)
        attempt_id = self._context.new_id()
        left = deadline - self._context.now() - MIN_EXECUTE_MS / 1000
        claimed = await self._claims.claim(
            request.service, request.key, fingerprint, attempt_id, timeout=max(0.0, left)
        )
        if isinstance(claimed, KeyReused):
            return Refusal(ErrorKind.KEY_REUSED)
        if isinstance(claimed, AlreadyClaimed):
            return self._recorded_outcome(request.request_id, claimed.record)
        if not isinstance(claimed, Claimed):
            detail = "a claim may remain until it expires" if claimed.may_exist else ""
            return Refusal(ErrorKind.STORE_AWAY, detail, _NOT_RUN)
        claim = claimed.claim
        self._active_tokens.add(claim.record.token)
        try:
            return await self._run(request, state, claim, fingerprint, deadline)
        finally:
            self._active_tokens.discard(claim.record.token)

    async def _run(
        self,
        request: ExecuteRequest,
        state: ServiceState,
        claim: Claim,
        fingerprint: str,
        deadline: float,
    ) -> ExecuteAnswer | Refusal:
        refusal = self._quarantine_refusal(fingerprint)
        if refusal is None:
            reply = await self._dispatcher.dispatch(request, state, claim, fingerprint, deadline)
            self._context.quarantine.on_inconclusive(fingerprint)
            if reply.run is not RunState.NOT_RUN:
                return await self._store_outcome(request, claim, reply, deadline)
            kind = reply.error or ErrorKind.INTERNAL
            refusal = Refusal(kind, reply.detail, _NOT_RUN, reply.retry_after_ms)
        # Certainly not run: release the key so that the caller can retry at once.
        await self._within_deadline(deadline, self._claims.release(claim))
        return refusal

    def _quarantine_refusal(self, fingerprint: str) -> Refusal | None:
        mode = self._context.quarantine.decide(self._context.now(), fingerprint)
        return mode if not isinstance(mode, RunMode) else None

    async def _within_deadline(
        self, deadline: float, call: Coroutine[object, object, T]
    ) -> T | None:
        """Return the result of a store call, or None if the request deadline passes first.

        Without this, a store that does not respond would delay an already known result beyond the
        caller's deadline. The call continues in the background, and its data is also kept in
        memory.
        """
        task = asyncio.get_running_loop().create_task(call)
        self._store_calls.add(task)
        task.add_done_callback(self._store_calls.discard)
        await asyncio.wait({task}, timeout=max(0.0, deadline - self._context.now()))
        return task.result() if task.done() else None

    async def _store_outcome(
        self, request: ExecuteRequest, claim: Claim, reply: AttemptReply, deadline: float
    ) -> ExecuteAnswer | Refusal:
        run = reply.run or RunState.MAY_HAVE_RUN
        kind = reply.error
        if kind is not None and run is RunState.MAY_HAVE_RUN:
            kind = ErrorKind.OUTCOME_UNKNOWN
        outcome = DispatchOutcome(
            server=reply.server, run=run, result=reply.result, error=kind, detail=reply.detail
        )
        write_state = await self._within_deadline(
            deadline, self._claims.store_outcome(claim, outcome)
        )
        if write_state is None:
            write_state = OutcomeWriteState.PENDING
        if write_state is not OutcomeWriteState.STORED:
            self._context.metrics.count(names.CLAIMS, result=f"settle_{write_state.value}")
        if kind is not None:
            self._context.timeline.record(
                EventKind.OUTCOME_UNKNOWN,
                service=request.service,
                server=reply.server,
                request_id=request.request_id,
                detail=reply.error.value if reply.error else "",
            )
        record = attrs.evolve(claim.record, state=ClaimState.FINISHED, outcome=outcome)
        answer = self._recorded_outcome(request.request_id, record)
        return attrs.evolve(answer, repeated=False) if isinstance(answer, ExecuteAnswer) else answer

    def _recorded_outcome(self, request_id: str, record: ClaimRecord) -> ExecuteAnswer | Refusal:
        """Convert the record of a claim to the answer or refusal of its request."""
        outcome = record.outcome
        if outcome is None:
            return self._unfinished_outcome(record)
        if outcome.error is not None:
            return Refusal(outcome.error, outcome.detail, outcome.run)
        return ExecuteAnswer(
            request_id=request_id,
            key=record.key,
            server=outcome.server,
            result=outcome.result if outcome.result is not None else {"trimmed": True},
            repeated=True,
        )

    def _unfinished_outcome(self, record: ClaimRecord) -> Refusal:
        """Distinguish a request in progress from one whose VM was lost."""
        if record.token in self._active_tokens:
            return Refusal(ErrorKind.IN_PROGRESS)
        if record.vm != self._router.me.id and self._is_live(record.vm):
            return Refusal(ErrorKind.IN_PROGRESS)
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, f"VM {record.vm} stored no outcome")


_NOT_RUN: Final = RunState.NOT_RUN
