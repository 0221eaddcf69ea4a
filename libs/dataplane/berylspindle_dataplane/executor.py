"""Requests that may not be repeated: claimed in the platform's store, then dispatched once.

Terms:
  claim     the right to dispatch one request once, taken by compare-and-swap (`claims`)
  dispatch  the attempt that a backend server may run; a place that refuses it unrun is no dispatch
  outcome   what the dispatch came to, kept with the claim and told to whoever asks for the key

Flow: `execute` admits, claims and dispatches. Only a sure NOT_RUN sends the same claim to another
replica; anything else is the outcome and is settled in the store, the unknown one included. The
dispatch is a task of its own: a caller that goes away does not cut it, and finds the outcome later
by its key. Without a claim nothing is dispatched, and the refusal says so truly.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

import attrs
import xxhash

from berylspindle_dataplane.entry import Entry
from berylspindle_dataplane.entry_tools import EntryTools
from berylspindle_dataplane.router import Router, Target
from berylspindle_dataplane.service_state import ServiceState
from berylspindle_decisions.quarantine import RunMode
from berylspindle_decisions.replica_choice import choose
from berylspindle_model import codec
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.events import EventKind
from berylspindle_model.messages import (
    Attempt,
    AttemptBatch,
    AttemptReply,
    ExecuteAnswer,
    ExecuteRequest,
)
from berylspindle_store.claim_records import (
    AlreadyClaimed,
    Claim,
    Claimed,
    ClaimRecord,
    ClaimState,
    DispatchOutcome,
    KeyReused,
    SettleState,
)
from berylspindle_store.claims import Claims
from berylspindle_store.store import StoreAway
from berylspindle_telemetry import metric_names as names

T = TypeVar("T")

# Places that may refuse one claimed request unrun before its caller is told so.
MAX_PLACES: Final = 3
# A claim's write takes milliseconds; a request with less time than this would be claimed only to
# be given up, which costs the store two writes for nothing.
MIN_EXECUTE_MS: Final = 20.0
PENDING_RETRY_SECONDS: Final = 1.0


class Executor:
    """Run requests that may not be repeated at most once."""

    def __init__(
        self,
        router: Router,
        entry: Entry,
        claims: Claims,
        tools: EntryTools,
        is_live: Callable[[str], bool],
    ) -> None:
        self._router: Final = router
        self._entry: Final = entry
        self._claims: Final = claims
        self._tools: Final = tools
        self._is_live: Final = is_live
        self._tasks: set[asyncio.Task[ExecuteAnswer | Refusal]] = set()
        self._behind: set[asyncio.Task[Any]] = set()
        self._active: set[str] = set()
        self._stopped = False

    @property
    def active(self) -> int:
        """Return the requests that are claimed and not settled."""
        return len(self._tasks)

    async def execute(self, request: ExecuteRequest) -> ExecuteAnswer | Refusal:
        """Run one request, tell what an earlier one with its key came to, or refuse it."""
        started = self._tools.now()
        outcome = await self._admit(request, started)
        result = outcome.kind.value if isinstance(outcome, Refusal) else "ran"
        service = request.service
        metrics = self._tools.metrics
        metrics.count(names.REQUESTS, service=service, operation="execute", result=result)
        elapsed_ms = (self._tools.now() - started) * 1000
        metrics.observe(names.REQUEST_TIME, elapsed_ms, service=service, operation="execute")
        return outcome

    async def outcome(self, request_id: str, service: str, key: str) -> ExecuteAnswer | Refusal:
        """Tell what the request with this key came to."""
        try:
            record = await self._claims.find(service, key)
        except StoreAway as error:
            # The question was not answered; what became of the request it asks about is open.
            return Refusal(ErrorKind.STORE_AWAY, str(error), RunState.MAY_HAVE_RUN)
        if record is None:
            return Refusal(ErrorKind.UNKNOWN_OUTCOME)
        return self._told(request_id, record)

    async def settle_pending(self) -> None:
        """Store what the store could not take yet, again and again, until cancelled."""
        while True:
            await asyncio.sleep(PENDING_RETRY_SECONDS)
            if self._claims.pending:
                await self._claims.retry_pending()

    def stop_taking(self) -> None:
        """Refuse new requests as not run; for a shutdown, before this VM leaves the view.

        A claim of a VM that is in no view any more is told as one whose outcome is lost, to
        whoever sends its request again through another VM, though it is under way.
        """
        self._stopped = True

    async def drained(self) -> None:
        """Wait until every dispatch of this VM has ended; for a shutdown."""
        while self._tasks or self._behind:
            await asyncio.wait([*self._tasks, *self._behind])
        await self._claims.retry_pending()

    async def _admit(self, request: ExecuteRequest, started: float) -> ExecuteAnswer | Refusal:
        state = self._entry.state(request.service)
        refusal = self._refusal(request, state)
        if refusal is not None or state is None:
            return refusal or Refusal(ErrorKind.UNKNOWN_SERVICE, request.service)
        left_ms = request.deadline_ms or state.service.policy.deadline_ms
        given_ms = self._tools.deadlines.for_entry(left_ms, shards=1)
        if given_ms is None or given_ms < MIN_EXECUTE_MS:
            return Refusal(ErrorKind.DEADLINE_EXCEEDED, "the deadline is too short", _NOT_RUN)
        admission = state.admission
        verdict = admission.decide(started, caller=request.caller, deadline_left_ms=given_ms)
        if isinstance(verdict, Refusal):
            self._tools.shedding.on_refused(started, verdict.kind.value)
            return verdict
        self._tools.shedding.on_admitted(started)
        admission.on_start(request.caller)
        task = asyncio.get_running_loop().create_task(
            self._claim_and_run(request, state, started + given_ms / 1000)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: admission.on_done(self._tools.now(), request.caller))
        # Shielded: a caller that goes away must not cut a request between its dispatch and the
        # record of its outcome, or nobody could ever say whether it ran.
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
        if self._pick(state, request.shard, frozenset()) is None:
            return Refusal(ErrorKind.NO_REPLICA)
        attempt_id = self._tools.new_id()
        left = deadline - self._tools.now() - MIN_EXECUTE_MS / 1000
        claimed = await self._claims.claim(
            request.service, request.key, fingerprint, attempt_id, within=max(0.0, left)
        )
        if isinstance(claimed, KeyReused):
            return Refusal(ErrorKind.KEY_REUSED)
        if isinstance(claimed, AlreadyClaimed):
            return self._told(request.request_id, claimed.record)
        if not isinstance(claimed, Claimed):
            detail = "a claim may stand until it lapses" if claimed.may_stand else ""
            return Refusal(ErrorKind.STORE_AWAY, detail, _NOT_RUN)
        claim = claimed.claim
        self._active.add(claim.record.token)
        try:
            return await self._run(request, state, claim, fingerprint, deadline)
        finally:
            self._active.discard(claim.record.token)

    async def _run(
        self,
        request: ExecuteRequest,
        state: ServiceState,
        claim: Claim,
        fingerprint: str,
        deadline: float,
    ) -> ExecuteAnswer | Refusal:
        refusal = self._quarantined(fingerprint)
        if refusal is None:
            reply = await self._dispatch(request, state, claim, fingerprint, deadline)
            self._tools.quarantine.on_unsettled(fingerprint)
            if reply.run is not RunState.NOT_RUN:
                return await self._settle(request, claim, reply, deadline)
            kind = reply.error or ErrorKind.INTERNAL
            refusal = Refusal(kind, reply.detail, _NOT_RUN, reply.retry_after_ms)
        # Surely not run: the key is free again, so that the caller may try again at once.
        await self._by(deadline, self._claims.release(claim))
        return refusal

    def _quarantined(self, fingerprint: str) -> Refusal | None:
        mode = self._tools.quarantine.decide(self._tools.now(), fingerprint)
        return mode if not isinstance(mode, RunMode) else None

    async def _dispatch(
        self,
        request: ExecuteRequest,
        state: ServiceState,
        claim: Claim,
        fingerprint: str,
        deadline: float,
    ) -> AttemptReply:
        """Return the first reply that is no sure NOT_RUN, or the last NOT_RUN."""
        tried: set[str] = set()
        reply = _not_run("", request.shard, ErrorKind.NO_REPLICA)
        attempt_id = claim.record.attempt
        for _ in range(MAX_PLACES):
            now = self._tools.now()
            if now >= min(claim.dispatch_before, deadline):
                # A VM that was paused here may find its claim lapsed and the key claimed anew.
                return _not_run("", request.shard, ErrorKind.DEADLINE_EXCEEDED)
            target = self._pick(state, request.shard, frozenset(tried))
            if target is None:
                return reply
            tried.add(target.server.id)
            reply = await self._send(request, target, attempt_id, fingerprint, deadline)
            state.learn(self._tools.now(), target, reply)
            self._tools.quarantine.learn(self._tools.now(), fingerprint, reply)
            if reply.run is not RunState.NOT_RUN:
                return reply
            attempt_id = self._tools.new_id()
        return reply

    async def _send(
        self,
        request: ExecuteRequest,
        target: Target,
        attempt_id: str,
        fingerprint: str,
        deadline: float,
    ) -> AttemptReply:
        left_ms = (deadline - self._tools.now()) * 1000
        batch = self._batch(request, target, attempt_id, fingerprint, left_ms)
        waiter: asyncio.Future[AttemptReply] = asyncio.get_running_loop().create_future()

        def on_reply(reply: AttemptReply) -> None:
            if not waiter.done():
                waiter.set_result(reply)

        self._router.submit(target.owner, batch, on_reply)
        try:
            async with asyncio.timeout(max(0.0, left_ms / 1000)):
                reply = await waiter
        except TimeoutError:
            reply = _not_run(target.server.id, request.shard, ErrorKind.DEADLINE_EXCEEDED)
            return attrs.evolve(reply, run=RunState.MAY_HAVE_RUN)
        if reply.error is None:
            return attrs.evolve(reply, run=RunState.RAN)
        return attrs.evolve(reply, run=reply.run or RunState.MAY_HAVE_RUN)

    def _batch(
        self,
        request: ExecuteRequest,
        target: Target,
        attempt_id: str,
        fingerprint: str,
        left_ms: float,
    ) -> AttemptBatch:
        attempt = Attempt(
            id=attempt_id,
            request_id=request.request_id,
            server=target.server.id,
            service=request.service,
            shard=request.shard,
            execute_key=request.key,
            payload=request.payload,
        )
        return AttemptBatch(
            entry=self._router.me.id,
            caller=request.caller,
            deadline_ms=max(1, int(self._tools.deadlines.for_owner(left_ms) or 1.0)),
            revision=0,
            attempts=(attempt,),
            fingerprint=fingerprint,
            # It goes to one server at a time in any case.
            is_canary=True,
        )

    def _pick(self, state: ServiceState, shard: str, tried: frozenset[str]) -> Target | None:
        now = self._tools.now()
        local = self._router.me.data_centre
        targets = {
            target.server.id: target
            for target in self._router.targets(state.service.name, shard)
            if target.server.id not in tried
        }
        views = [state.view(t, local=local, now=now, pin=None) for t in targets.values()]
        order = choose(views, now=now, u=self._tools.random())
        return targets[order[0].server] if order else None

    async def _by(self, deadline: float, call: Coroutine[object, object, T]) -> T | None:
        """Return what a call of the store came to, or None where the request's time ends first.

        Without this a store that answers nothing keeps the caller waiting beyond its deadline for
        what is known already. The call goes on; what it tells the store is kept in memory too.
        """
        task = asyncio.get_running_loop().create_task(call)
        self._behind.add(task)
        task.add_done_callback(self._behind.discard)
        await asyncio.wait({task}, timeout=max(0.0, deadline - self._tools.now()))
        return task.result() if task.done() else None

    async def _settle(
        self, request: ExecuteRequest, claim: Claim, reply: AttemptReply, deadline: float
    ) -> ExecuteAnswer | Refusal:
        run = reply.run or RunState.MAY_HAVE_RUN
        kind = reply.error
        if kind is not None and run is RunState.MAY_HAVE_RUN:
            kind = ErrorKind.OUTCOME_UNKNOWN
        outcome = DispatchOutcome(
            server=reply.server, run=run, result=reply.result, error=kind, detail=reply.detail
        )
        settled = await self._by(deadline, self._claims.settle(claim, outcome))
        if settled is None:
            settled = SettleState.PENDING
        if settled is not SettleState.STORED:
            self._tools.metrics.count(names.CLAIMS, result=f"settle_{settled.value}")
        if kind is not None:
            self._tools.timeline.record(
                EventKind.OUTCOME_UNKNOWN,
                service=request.service,
                server=reply.server,
                request_id=request.request_id,
                detail=reply.error.value if reply.error else "",
            )
        record = attrs.evolve(claim.record, state=ClaimState.FINISHED, outcome=outcome)
        told = self._told(request.request_id, record)
        return attrs.evolve(told, repeated=False) if isinstance(told, ExecuteAnswer) else told

    def _told(self, request_id: str, record: ClaimRecord) -> ExecuteAnswer | Refusal:
        """Return what a claim's record says of its request."""
        outcome = record.outcome
        if outcome is None:
            return self._told_claimed(record)
        if outcome.error is not None:
            return Refusal(outcome.error, outcome.detail, outcome.run)
        return ExecuteAnswer(
            request_id=request_id,
            key=record.key,
            server=outcome.server,
            result=outcome.result if outcome.result is not None else {"trimmed": True},
            repeated=True,
        )

    def _told_claimed(self, record: ClaimRecord) -> Refusal:
        """Tell a request under way from one whose VM was lost between claim and outcome."""
        if record.token in self._active:
            return Refusal(ErrorKind.IN_PROGRESS)
        if record.vm != self._router.me.id and self._is_live(record.vm):
            return Refusal(ErrorKind.IN_PROGRESS)
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, f"its VM {record.vm} left no outcome")


_NOT_RUN: Final = RunState.NOT_RUN


def _not_run(server: str, shard: str, kind: ErrorKind) -> AttemptReply:
    return AttemptReply(attempt="", server=server, shard=shard, error=kind, run=_NOT_RUN)
