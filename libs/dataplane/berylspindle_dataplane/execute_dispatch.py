"""Dispatch of a claimed request to one backend server at a time.

Terms:
  target      a backend server of the request's shard, with the VM that owns it
  refused     the backend server has not run the attempt and does not accept another one
  unreached   the owner of the backend server has refused the attempt, not the server itself

Flow: `dispatch` sends the request to the best target. After a reply that is certainly NOT_RUN it
tries another target; any other reply is the result of the one permitted dispatch. Once no target is
left, servers that were unreached are tried again after a delay (see `reroute`).
"""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from berylspindle_dataplane.entry_context import EntryContext
from berylspindle_dataplane.router import Router, Target
from berylspindle_dataplane.service_state import ServiceState
from berylspindle_decisions.replica_choice import choose
from berylspindle_decisions.reroute import is_owner_refusal, reroute_delay
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import Attempt, AttemptBatch, AttemptReply, ExecuteRequest
from berylspindle_store.claim_records import Claim

# Maximum backend servers that may refuse a claimed request without running it before the refusal is
# returned to the caller.
MAX_DISPATCH_TARGETS: Final = 3


@attrs.define
class _ServersTried:
    """Backend servers that have not run a request; `rounds` counts the rounds after the first."""

    refused: frozenset[str] = frozenset()
    unreached: frozenset[str] = frozenset()
    in_round: frozenset[str] = frozenset()
    rounds: int = 0

    def record_refusal(self, server: str, kind: ErrorKind | None) -> None:
        """Record that an attempt at a server was refused without execution."""
        self.in_round |= {server}
        if is_owner_refusal(kind):
            self.unreached |= {server}
        else:
            self.unreached -= {server}
            self.refused |= {server}

    def begin_round(self) -> None:
        """Allow another attempt at each server that has not refused one itself."""
        self.in_round = self.refused
        self.rounds += 1


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
        servers = _ServersTried()
        reply = _not_run("", request.shard, ErrorKind.NO_REPLICA)
        attempt_id = claim.record.attempt
        started = self._context.now()
        latest = min(claim.dispatch_before, deadline)
        while len(servers.refused) < MAX_DISPATCH_TARGETS:
            now = self._context.now()
            if now >= latest:
                # The VM may have been paused; the claim may have lapsed and the key may have been
                # claimed again.
                return _not_run("", request.shard, ErrorKind.DEADLINE_EXCEEDED)
            target = self._choose_target(state, request.shard, servers.in_round)
            if target is None:
                delay = reroute_delay(servers.rounds, now=now, started=started, deadline=latest)
                if not servers.unreached or delay is None:
                    return reply
                await asyncio.sleep(delay)
                servers.begin_round()
                continue
            reply = await self._send(request, target, attempt_id, fingerprint, deadline)
            state.record_reply(self._context.now(), target, reply)
            self._context.quarantine.record_reply(self._context.now(), fingerprint, reply)
            if reply.run is not RunState.NOT_RUN:
                return reply
            servers.record_refusal(target.server.id, reply.error)
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
