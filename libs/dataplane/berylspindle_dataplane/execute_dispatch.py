"""Dispatch of a claimed request to one backend server at a time.

Terms:
  target   a backend server of the request's shard, with the VM that owns it
  refused  the attempt has certainly not run, so that the request may be sent again

Flow: `dispatch` sends the request to the best target. After a reply that is certainly NOT_RUN it
tries another target; any other reply is the result of the one permitted dispatch.
"""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from berylspindle_dataplane.entry_context import EntryContext
from berylspindle_dataplane.router import Router, Target
from berylspindle_dataplane.service_state import ServiceState
from berylspindle_decisions.replica_choice import choose
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import Attempt, AttemptBatch, AttemptReply, ExecuteRequest
from berylspindle_store.claim_records import Claim

# Maximum backend servers that may refuse a claimed request without running it before the refusal is
# returned to the caller.
MAX_DISPATCH_TARGETS: Final = 3


class ExecuteDispatcher:
    """Send claimed requests to backend servers."""

    def __init__(self, router: Router, context: EntryContext) -> None:
        self._router: Final = router
        self._context: Final = context

    def has_target(self, state: ServiceState, shard: str) -> bool:
        """Return whether any backend server of the shard accepts new work."""
        return self._choose_target(state, shard, frozenset()) is not None

    async def dispatch(
        self,
        request: ExecuteRequest,
        state: ServiceState,
        claim: Claim,
        fingerprint: str,
        deadline: float,
    ) -> AttemptReply:
        """Return the first reply that is not a certain NOT_RUN, or else the last NOT_RUN.

        `deadline` is in seconds of the context's clock.
        """
        tried: set[str] = set()
        reply = _not_run("", request.shard, ErrorKind.NO_REPLICA)
        attempt_id = claim.record.attempt
        for _ in range(MAX_DISPATCH_TARGETS):
            now = self._context.now()
            if now >= min(claim.dispatch_before, deadline):
                # The VM may have been paused; the claim may have lapsed and the key may have been
                # claimed again.
                return _not_run("", request.shard, ErrorKind.DEADLINE_EXCEEDED)
            target = self._choose_target(state, request.shard, frozenset(tried))
            if target is None:
                return reply
            tried.add(target.server.id)
            reply = await self._send(request, target, attempt_id, fingerprint, deadline)
            state.record_reply(self._context.now(), target, reply)
            self._context.quarantine.record_reply(self._context.now(), fingerprint, reply)
            if reply.run is not RunState.NOT_RUN:
                return reply
            attempt_id = self._context.new_id()
        return reply

    async def _send(
        self,
        request: ExecuteRequest,
        target: Target,
        attempt_id: str,
        fingerprint: str,
        deadline: float,
    ) -> AttemptReply:
        left_ms = (deadline - self._context.now()) * 1000
        batch = self._make_batch(request, target, attempt_id, fingerprint, left_ms)
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

    def _make_batch(
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
            deadline_ms=max(1, int(self._context.deadlines.for_owner(left_ms) or 1.0)),
            revision=0,
            attempts=(attempt,),
            fingerprint=fingerprint,
            # An execute is sent to one server at a time in any case.
            is_canary=True,
        )

    def _choose_target(
        self, state: ServiceState, shard: str, tried: frozenset[str]
    ) -> Target | None:
        now = self._context.now()
        local = self._router.me.data_centre
        targets = {
            target.server.id: target
            for target in self._router.targets(state.service.name, shard)
            if target.server.id not in tried
        }
        views = [state.view(t, local=local, now=now, pin=None) for t in targets.values()]
        order = choose(views, now=now, uniform=self._context.random())
        return targets[order[0].server] if order else None


def _not_run(server: str, shard: str, kind: ErrorKind) -> AttemptReply:
    return AttemptReply(attempt="", server=server, shard=shard, error=kind, run=RunState.NOT_RUN)
