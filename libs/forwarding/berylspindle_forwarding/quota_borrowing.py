"""Replenish a pool of quota tokens; waiting requests share one ask in flight.

Flow: a request without a token calls `replenish`, which sends the pool's next ask or joins the one
in flight, and then takes its token from the pool. `prefetch` sends an ask in the background, for
the requests of the next second. The exchange goes on if a request that waits for it gives up.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final

from berylspindle_decisions.token_pool import TokenPool
from berylspindle_model.quota_messages import QuotaAsk, QuotaGrant

AskRemotely = Callable[[QuotaAsk], Awaitable[QuotaGrant | None]]
"""Send an ask to another VM, and return its grant or None if there is none."""

AskLocally = Callable[[QuotaAsk], QuotaGrant | None]
"""Ask the owner on this VM."""

Spawn = Callable[[Coroutine[Any, Any, None]], object]
"""Run a coroutine as a task that its caller owns."""


class Replenished(enum.Enum):
    """Result of an attempt to replenish a pool.

    GRANTED: an ask that includes the caller's requests was granted, possibly without tokens.
    JOINED: an ask that had been sent before them was granted or has failed.
    FAILED: an ask that includes them has no answer.
    PENDING: there was no answer in time.
    NOT_ASKED: no ask is in order now.
    """

    GRANTED = enum.auto()
    JOINED = enum.auto()
    FAILED = enum.auto()
    PENDING = enum.auto()
    NOT_ASKED = enum.auto()


class Borrowing:
    """One pool, and the exchange by which it is replenished; times are in seconds of `clock`.

    If `ask_locally` is given, it replaces the exchange, and nothing waits. `on_result` is called
    after each exchange with whether it was granted.
    """

    __slots__ = (
        "_ask_locally",
        "_ask_remotely",
        "_clock",
        "_exchange",
        "_on_result",
        "_spawn",
        "_waiting",
        "pool",
    )

    def __init__(
        self,
        pool: TokenPool,
        *,
        ask_remotely: AskRemotely,
        ask_locally: AskLocally | None = None,
        clock: Callable[[], float],
        spawn: Spawn,
        on_result: Callable[[bool], None],
    ) -> None:
        self.pool: Final = pool
        self._ask_remotely: Final = ask_remotely
        self._ask_locally: Final = ask_locally
        self._clock: Final = clock
        self._spawn: Final = spawn
        self._on_result: Final = on_result
        self._waiting = 0
        self._exchange: asyncio.Future[bool] | None = None

    @property
    def is_local(self) -> bool:
        """Return whether the tokens come from this VM itself."""
        return self._ask_locally is not None

    @property
    def is_idle(self) -> bool:
        """Return whether no exchange is in flight and the pool may be dropped."""
        return self._exchange is None and self.pool.is_idle(self._clock())

    def prefetch(self) -> None:
        """Send the next ask in the background, if one is in order and none is in flight."""
        if self._exchange is None:
            self._start(self._waiting)

    async def replenish(self, waiting: int, until: float) -> Replenished:
        """Ask for `waiting` requests, and wait for the answer until a time of the event loop."""
        exchange, has_joined = self._exchange, True
        if exchange is None:
            started = self._start(self._waiting + waiting)
            if not isinstance(started, asyncio.Future):
                return _to_result(started)
            exchange, has_joined = started, False
        self._waiting += waiting
        try:
            async with asyncio.timeout_at(until):
                is_granted = await asyncio.shield(exchange)
        except TimeoutError:
            return Replenished.PENDING
        finally:
            self._waiting -= waiting
        return Replenished.JOINED if has_joined else _to_result(is_granted)

    def _start(self, waiting: int) -> asyncio.Future[bool] | bool | None:
        """Send the next ask; return its exchange, or its result if it needs none, or None."""
        ask = self.pool.next_ask(self._clock(), waiting)
        if ask is None:
            return None
        if self._ask_locally is not None:
            return self._finish(ask, self._ask_locally(ask))
        self._exchange = exchange = asyncio.get_running_loop().create_future()
        self._spawn(self._run(ask, exchange))
        return exchange

    async def _run(self, ask: QuotaAsk, exchange: asyncio.Future[bool]) -> None:
        grant: QuotaGrant | None = None
        try:
            grant = await self._ask_remotely(ask)
        finally:
            self._exchange = None
            exchange.set_result(self._finish(ask, grant))

    def _finish(self, ask: QuotaAsk, grant: QuotaGrant | None) -> bool:
        now = self._clock()
        if grant is None:
            self.pool.on_failure(now, ask.sequence)
        else:
            self.pool.on_grant(now, ask.sequence, grant)
        self._on_result(grant is not None)
        return grant is not None


def _to_result(is_granted: bool | None) -> Replenished:
    if is_granted is None:
        return Replenished.NOT_ASKED
    return Replenished.GRANTED if is_granted else Replenished.FAILED
