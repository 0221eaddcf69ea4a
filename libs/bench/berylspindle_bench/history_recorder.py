"""Simulate the callers of a run and record every try.

Terms:
  caller   tries one daemon after the other; it retries a search only after "not run"
  resend   another try of an execute with an unknown outcome, with the same key at another daemon;
           a search that crashes servers is likewise sent to each daemon, whatever the outcome

Flow: `Recorder.load` derives start times and kinds of requests from a seed and runs each request as
a task that appends its tries to `tries`. The text of a search contains the number of its try, so
that the log of a server shows which try ran.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from typing import Final

from berylspindle_bench.cluster import DaemonPlan
from berylspindle_bench.history_records import OutcomeKind, Try
from berylspindle_client.callers import CallerClient
from berylspindle_client.outcomes import Failure, Refused, Unknown, Unreachable
from berylspindle_model.messages import ExecuteAnswer, SearchAnswer

DEADLINE_MS: Final = 1500
REQUESTS_PER_SECOND: Final = 25.0
EXECUTE_SHARE: Final = 0.2
DUPLICATE_SHARE: Final = 0.3
PAGE_SHARE: Final = 0.2
PAGE_SIZE: Final = 10
MAX_TRIES: Final = 4
MAX_RESENDS: Final = 2


class Recorder:
    """Send requests as callers and record every try; an asynchronous context manager."""

    def __init__(
        self, daemons: Sequence[DaemonPlan], service: str, shards: Sequence[str], seed: str
    ) -> None:
        self._daemons: Final = tuple(daemons)
        self._service: Final = service
        self._shards: Final = tuple(shards)
        self._rng: Final = random.Random(seed)
        self._stack: Final = AsyncExitStack()
        self._clients: dict[str, CallerClient] = {}
        self._requests = 0
        self.tries: Final[list[Try]] = []

    async def __aenter__(self) -> Recorder:
        for daemon in self._daemons:
            client = CallerClient([daemon.callers_address], caller=f"desk-{daemon.vm}")
            self._clients[daemon.vm] = await self._stack.enter_async_context(client)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def load(self, seconds: float) -> None:
        """Start requests for `seconds` and wait for all outcomes."""
        ends = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends:
                if self._rng.random() < EXECUTE_SHARE:
                    group.create_task(self._execute())
                else:
                    group.create_task(self._search())
                await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_SECOND))

    async def search_everywhere(self, query: str) -> None:
        """Send the same search through each daemon in turn, whatever the outcome."""
        number = self._next_request()
        for daemon in self._random_order():
            await self._try_search(number, daemon, query, try_index=0)

    def _next_request(self) -> int:
        self._requests += 1
        return self._requests

    def _random_order(self) -> list[DaemonPlan]:
        return self._rng.sample(self._daemons, len(self._daemons))

    async def _search(self) -> None:
        number = self._next_request()
        order = self._random_order()
        wants_page = self._rng.random() < PAGE_SHARE
        for try_index, daemon in enumerate(order[:MAX_TRIES]):
            text = f"lot {number}.{try_index}"
            try_ = await self._try_search(number, daemon, text, try_index=try_index)
            if not try_.not_run:
                break
        if wants_page and try_.answer is not None and try_.answer.next_page is not None:
            await self._next_page(number, order[::-1], try_.text, try_.answer.next_page)

    async def _next_page(
        self, number: int, order: Sequence[DaemonPlan], text: str, page: str
    ) -> None:
        """Request the second page, preferably through another daemon than the first page."""
        for try_index, daemon in enumerate(order, MAX_TRIES):
            try_ = await self._try_search(number, daemon, text, try_index=try_index, page=page)
            if not try_.not_run:
                return

    async def _try_search(
        self, number: int, daemon: DaemonPlan, text: str, *, try_index: int, page: str | None = None
    ) -> Try:
        start = time.time()
        request_id = f"r{number}-{try_index}"
        outcome = await self._clients[daemon.vm].search(
            self._service,
            text,
            limit=PAGE_SIZE,
            page=page,
            deadline_ms=DEADLINE_MS,
            request_id=request_id,
        )
        return self._add_try(
            _to_try(
                outcome,
                request=number,
                vm=daemon.vm,
                service=self._service,
                text=text,
                start=start,
                request_id=request_id,
                offset=0 if page is None else PAGE_SIZE,
            )
        )

    async def _execute(self) -> None:
        number = self._next_request()
        key = f"hold-{number}"
        shard = self._rng.choice(self._shards)
        order = self._random_order()
        if self._rng.random() < DUPLICATE_SHARE:
            # Send the same execute through two daemons concurrently.
            first, second = order[:2]
            await asyncio.gather(
                self._try_execute(number, first, key, shard),
                self._try_execute(number, second, key, shard),
            )
            order = order[2:]
        resends = 0
        for daemon in order:
            try_ = await self._try_execute(number, daemon, key, shard)
            if try_.told is OutcomeKind.ANSWER:
                return
            if not try_.not_run:
                resends += 1
            if resends > MAX_RESENDS:
                return

    async def _try_execute(self, number: int, daemon: DaemonPlan, key: str, shard: str) -> Try:
        start = time.time()
        outcome = await self._clients[daemon.vm].execute(
            self._service, shard, key, {"hold": key}, deadline_ms=DEADLINE_MS
        )
        return self._add_try(
            _to_try(
                outcome,
                request=number,
                vm=daemon.vm,
                service=self._service,
                text=key,
                start=start,
                shard=shard,
            )
        )

    def _add_try(self, try_: Try) -> Try:
        self.tries.append(try_)
        return try_


def _to_try(
    outcome: SearchAnswer | ExecuteAnswer | Failure,
    *,
    request: int,
    vm: str,
    service: str,
    text: str,
    start: float,
    request_id: str = "",
    shard: str = "",
    offset: int = 0,
) -> Try:
    told = OutcomeKind.ANSWER
    detail = ""
    if isinstance(outcome, Refused):
        told = OutcomeKind.REFUSED
    elif isinstance(outcome, Unreachable):
        told, detail = OutcomeKind.UNREACHABLE, outcome.detail
    elif isinstance(outcome, Unknown):
        told, detail = OutcomeKind.UNKNOWN, outcome.detail
    return Try(
        request=request,
        vm=vm,
        service=service,
        text=text,
        start=start,
        end=time.time(),
        told=told,
        request_id=request_id,
        shard=shard,
        limit=PAGE_SIZE,
        offset=offset,
        answer=outcome if isinstance(outcome, SearchAnswer) else None,
        executed=outcome if isinstance(outcome, ExecuteAnswer) else None,
        refused=outcome if isinstance(outcome, Refused) else None,
        detail=detail,
    )
