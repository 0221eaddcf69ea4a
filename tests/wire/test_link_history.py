"""Property test of links: random histories, checked for consistent replies to an entry."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from berylspindle_model.errors import RunState
from berylspindle_model.messages import Attempt, AttemptBatch, AttemptReply
from berylspindle_model.topology import Vm
from berylspindle_wire.owner_link import BatchHandler
from berylspindle_wire.peer_link import PeerLinks
from berylspindle_wire.peer_server import PeerServer


class HeldOwner(BatchHandler):
    """Hold every attempt until the test answers it."""

    def __init__(self) -> None:
        self.seen: set[str] = set()
        self.held: dict[str, tuple[Attempt, Callable[[AttemptReply], None]]] = {}

    async def run(self, batch: AttemptBatch, reply: Callable[[AttemptReply], None]) -> None:
        ids = {attempt.id for attempt in batch.attempts}
        self.seen |= ids
        self.held.update((attempt.id, (attempt, reply)) for attempt in batch.attempts)
        while ids & self.held.keys():  # noqa: ASYNC110
            await asyncio.sleep(0.001)

    def cancel(self, attempts: Sequence[str]) -> None:
        for attempt in attempts:
            self.held.pop(attempt, None)


class LinkHistory(RuleBasedStateMachine):
    """Submit, cancel, answer, misroute replies, restart and drain in any order.

    Guard against lost, duplicate and wrong replies. After any sequence: no attempt is answered
    twice or after its cancellation, NOT_RUN is reported only for attempts that no owner has
    received, success only for those that an owner answered, and finally each attempt is answered or
    cancelled.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.ids = (f"a{number}" for number in itertools.count())
        self.replies: dict[str, AttemptReply] = {}
        self.submitted: list[str] = []
        self.cancelled: set[str] = set()
        self.answered: set[str] = set()
        self.faults: list[str] = []

    def run_in_loop(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.loop.run_until_complete(coroutine)

    @initialize()
    def start(self) -> None:
        self.run_in_loop(self._start())

    async def _start(self) -> None:
        self.owner = HeldOwner()
        self.links = PeerLinks("e", key=None, silence_timeout=60.0, max_queued=6)
        self.server = await self._serve(0)
        port = self.server.port
        self.vm = Vm(id="o", data_centre="d", host="127.0.0.1", peer_port=port)

    async def _serve(self, port: int) -> PeerServer:
        server = PeerServer("127.0.0.1", port, batch_handler=self.owner, control={}, key=None)
        await server.start()
        return server

    def _on_reply(self, reply: AttemptReply) -> None:
        if reply.attempt in self.replies or reply.attempt in self.cancelled:
            self.faults.append(reply.attempt)
        self.replies[reply.attempt] = reply

    @rule(count=st.integers(1, 4), turns=st.integers(0, 3))
    def submit(self, count: int, turns: int) -> None:
        attempts = tuple(
            Attempt(id=name, request_id="r", server="s", service="v", shard="0")
            for name in itertools.islice(self.ids, count)
        )
        batch = AttemptBatch(
            entry="e", caller="c", deadline_ms=60_000, revision=1, attempts=attempts
        )
        self.submitted += [attempt.id for attempt in attempts]
        self.run_in_loop(self._submit(batch, turns))

    async def _submit(self, batch: AttemptBatch, turns: int) -> None:
        self.links.submit(self.vm, batch, self._on_reply)
        for _ in range(turns):
            await asyncio.sleep(0)

    # The available choices depend on sockets and thus on timing. The draw must not, or Hypothesis
    # reports a flaky strategy on a busy machine.
    @rule(pick=st.integers(0, 999))
    def cancel(self, pick: int) -> None:
        waiting = [name for name in self.submitted if name not in self.replies]
        start = pick % len(waiting) if waiting else 0
        self.run_in_loop(self._cancel((waiting[start:] + waiting[:start])[:2]))

    async def _cancel(self, chosen: list[str]) -> None:
        self.cancelled.update(chosen)
        self.links.cancel(self.vm, chosen)

    @rule()
    def wait(self) -> None:
        self.run_in_loop(asyncio.sleep(0.01))

    @rule(pick=st.integers(0, 999), twice=st.booleans(), shard=st.sampled_from("01"))
    def answer(self, pick: int, twice: bool, shard: str) -> None:
        if not self.owner.held:
            return
        chosen = sorted(self.owner.held)[pick % len(self.owner.held)]
        attempt, reply = self.owner.held.pop(chosen)
        message = AttemptReply(attempt=attempt.id, server="s", shard=shard)
        if shard == attempt.shard:
            self.answered.add(attempt.id)
        self.run_in_loop(self._answer(reply, message, 2 if twice else 1))
        if shard != attempt.shard:
            # Let the misrouted reply arrive and be dropped; cancel the attempt as a deadline does.
            self.wait()
            if attempt.id not in self.replies:
                self.run_in_loop(self._cancel([attempt.id]))

    async def _answer(
        self, reply: Callable[[AttemptReply], None], message: AttemptReply, times: int
    ) -> None:
        for _ in range(times):
            reply(message)

    @rule(grace=st.sampled_from([0.0, 0.02]))
    def restart(self, grace: float) -> None:
        self.run_in_loop(self._restart(grace))

    async def _restart(self, grace: float) -> None:
        await self.server.close(grace)
        self.owner.held.clear()
        self.server = await self._serve(self.vm.peer_port)

    @invariant()
    def replies_are_consistent(self) -> None:
        assert self.faults == []
        for name, reply in self.replies.items():
            if reply.run is RunState.NOT_RUN:
                assert name not in self.owner.seen
            if reply.error is None:
                assert name in self.answered

    def teardown(self) -> None:
        try:
            self.run_in_loop(self._end())
            self.replies_are_consistent()
            waiting = set(self.submitted) - self.replies.keys() - self.cancelled
            assert waiting == set()
        finally:
            self.loop.close()

    async def _end(self) -> None:
        await self.links.close()
        await self.server.close()


TestLinkHistory = LinkHistory.TestCase
TestLinkHistory.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=40, stateful_step_count=20
)
