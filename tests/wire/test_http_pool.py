"""Tests of the connection pool against a server whose connections can be made silent."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from berylspindle_wire import http_pool
from berylspindle_wire.http import HttpRequest
from berylspindle_wire.http_client import FailurePhase, HttpFailure, connect
from berylspindle_wire.http_pool import ConnectionPool

GET = HttpRequest(method="GET", path="/work")


@attrs.define
class FakeServer:
    """Answer each request with the number of its connection, unless that connection is silent.

    While `gate` is not set, requests for /work wait; `silent` connections never answer.
    """

    port: int = 0
    accepted: int = 0
    silent: set[int] = attrs.field(factory=set)
    seen: list[tuple[int, bytes]] = attrs.field(factory=list)
    gate: asyncio.Event = attrs.field(factory=asyncio.Event)
    writers: dict[int, asyncio.StreamWriter] = attrs.field(factory=dict)
    tasks: set[asyncio.Task[None] | None] = attrs.field(factory=set)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        number = self.accepted
        self.writers[number] = writer
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1]
                self.seen.append((number, path))
                if path == b"/work":
                    await self.gate.wait()
                if number not in self.silent:
                    body = str(number).encode()
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                    )
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def pooled(**options) -> AsyncIterator[tuple[FakeServer, ConnectionPool, Counter[str]]]:
    fake = FakeServer()
    fake.gate.set()
    server = await asyncio.start_server(fake.accept, "127.0.0.1", 0)
    fake.port = server.sockets[0].getsockname()[1]
    events: Counter[str] = Counter()
    settings = {"limit": 4, "spare": 0, "connect_timeout": 5.0, "idle_probe_after": 60.0}
    pool = ConnectionPool(
        "127.0.0.1", fake.port, on_event=lambda event: events.update([event]), **settings | options
    )
    try:
        yield fake, pool, events
    finally:
        await pool.close()
        server.close()
        for task in fake.tasks:
            task.cancel()
        await asyncio.gather(*fake.tasks, return_exceptions=True)


async def ask(pool: ConnectionPool, **options) -> int:
    reply = await pool.request(GET, **{"timeout": 5.0, **options})
    return int(reply.body)


async def test_limit_holds_and_waiting_requests_are_served_in_order():
    async with pooled(limit=2) as (fake, pool, _):
        fake.gate.clear()
        pending = [asyncio.create_task(ask(pool)) for _ in range(7)]
        while len(fake.seen) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0)
        assert pool.open_connections == 2
        fake.gate.set()
        replies = await asyncio.gather(*pending)
    assert set(replies) == {1, 2}
    assert fake.accepted == 2


async def test_no_connection_in_time_is_not_sent():
    async with pooled(limit=1) as (fake, pool, _):
        fake.gate.clear()
        first = asyncio.create_task(ask(pool))
        while not fake.seen:  # noqa: ASYNC110
            await asyncio.sleep(0)
        with pytest.raises(HttpFailure) as caught:
            await ask(pool, timeout=0.05)
        assert caught.value.phase is FailurePhase.NOT_SENT
        fake.gate.set()
        assert await first == 1
        assert len(fake.seen) == 1


async def test_most_recently_used_connection_is_used_first():
    async with pooled() as (fake, pool, _):
        fake.gate.clear()
        pending = [asyncio.create_task(ask(pool)) for _ in range(2)]
        while len(fake.seen) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0)
        fake.gate.set()
        await asyncio.gather(*pending)
        assert len({await ask(pool) for _ in range(5)}) == 1


async def test_spares_are_ready_before_they_are_needed(until):
    async with pooled(spare=2) as (fake, pool, events):
        await until(lambda: pool.idle_connections == 2)
        fake.gate.clear()
        task = asyncio.create_task(ask(pool))
        await until(lambda: fake.accepted == 3)
        fake.gate.set()
        assert await task in (1, 2)
        assert events["opened"] == 3


async def test_silent_reused_connection_is_closed_with_those_of_its_age(until):
    """Guard against requests that time out on one dead connection after another.

    A middlebox has dropped the state of all idle connections, without a reset. The first request to
    fail by `progress_timeout` closes the others of the same age; the next uses a new connection.
    """
    async with pooled() as (fake, pool, events):
        fake.gate.clear()
        pending = [asyncio.create_task(ask(pool)) for _ in range(3)]
        await until(lambda: len(fake.seen) == 3)
        fake.gate.set()
        await asyncio.gather(*pending)
        fake.silent = {1, 2, 3}
        with pytest.raises(HttpFailure) as caught:
            await ask(pool, progress_timeout=0.05)
        assert (caught.value.phase, caught.value.silent) == (FailurePhase.SENT, True)
        assert events["silent"] == 1
        assert events["dropped"] == 2
        assert await ask(pool, progress_timeout=0.05) == 4


async def test_slow_first_request_of_a_new_connection_is_not_silent():
    async with pooled() as (fake, pool, events):
        fake.gate.clear()
        pending = asyncio.create_task(ask(pool, progress_timeout=0.01))
        await asyncio.sleep(0.05)
        fake.gate.set()
        assert await pending == 1
        assert events["silent"] == 0


async def test_idle_connections_are_probed_in_the_background(until):
    """Guard against a dead connection that the next request detects instead of an idle probe."""
    async with pooled(spare=1, connect_timeout=0.1, idle_probe_after=0.1) as (fake, pool, events):
        assert await ask(pool) == 1
        await until(lambda: events["probed"] >= 1)
        fake.silent = set(fake.writers)
        await until(lambda: events["probe_failed"] >= 1)
        assert await ask(pool) not in fake.silent
    assert {path for _, path in fake.seen} == {b"/work", b"/health"}


async def test_idle_connections_beyond_the_spares_expire(until):
    async with pooled(spare=1, idle_probe_after=0.1) as (fake, pool, events):
        fake.gate.clear()
        pending = [asyncio.create_task(ask(pool)) for _ in range(4)]
        await until(lambda: len(fake.seen) == 4)
        fake.gate.set()
        await asyncio.gather(*pending)
        await until(lambda: events["expired"] == 3)
        await until(lambda: pool.open_connections == 1)


async def test_refused_connect_is_not_sent_and_fails_one_request():
    async with pooled() as (fake, _pool, events):
        pass
    unreachable = ConnectionPool(
        "127.0.0.1",
        fake.port,
        limit=4,
        spare=2,
        connect_timeout=1.0,
        idle_probe_after=60.0,
        on_event=lambda event: events.update([event]),
    )
    with pytest.raises(HttpFailure) as caught:
        await ask(unreachable)
    assert caught.value.phase is FailurePhase.NOT_SENT
    assert unreachable.open_connections == 0
    await unreachable.close()


async def test_cancelled_waiter_leaks_no_connection(until):
    """Guard against leaking the connection that was assigned to a request cancelled meanwhile."""
    async with pooled(limit=1) as (fake, pool, _):
        fake.gate.clear()

        async def request_then_cancel_the_next() -> int:
            number = await ask(pool)
            second.cancel()  # Its connection was assigned in this loop iteration.
            return number

        first = asyncio.create_task(request_then_cancel_the_next())
        await until(lambda: len(fake.seen) == 1)
        second, third = (asyncio.create_task(ask(pool)) for _ in range(2))
        await asyncio.sleep(0)
        fake.gate.set()
        assert (await first, await third) == (1, 1)
        assert second.cancelled()
        assert await ask(pool) == 1


class PoolHistory(RuleBasedStateMachine):
    """Send, cancel, reset, silence and wait in any order.

    Guard against leaked connections: a rare sequence of events leaves a closed connection counted,
    until the pool can serve nothing. After any sequence, the number of connections never exceeds
    the limit, and finally the whole limit can be used.
    """

    LIMIT = 3

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.stack = AsyncExitStack()
        self.pending: list[asyncio.Task[int]] = []
        options = {"limit": self.LIMIT, "spare": 1, "idle_probe_after": 0.04}
        entered = self.stack.enter_async_context(pooled(connect_timeout=0.05, **options))
        self.fake, self.pool, _ = self.run_in_loop(entered)

    def run_in_loop(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @rule(count=st.integers(1, 5), timeout=st.sampled_from([0.01, 0.1]))
    def ask(self, count: int, timeout: float) -> None:
        for _ in range(count):
            coroutine = ask(self.pool, timeout=timeout, progress_timeout=0.02)
            self.pending.append(self.loop.create_task(coroutine))

    @rule(turns=st.integers(0, 4))
    def turn(self, turns: int) -> None:
        for _ in range(turns):
            self.run_in_loop(asyncio.sleep(0))

    @rule(seconds=st.sampled_from([0.002, 0.03]))
    def wait(self, seconds: float) -> None:
        self.run_in_loop(asyncio.sleep(seconds))

    # The available choices depend on sockets and thus on timing. The draw must not, or Hypothesis
    # reports a flaky strategy on a busy machine.
    @rule(pick=st.integers(0, 999))
    def cancel(self, pick: int) -> None:
        if self.pending:
            self.pending[pick % len(self.pending)].cancel()

    @rule(is_open=st.booleans())
    def gate(self, is_open: bool) -> None:
        self.fake.gate.set() if is_open else self.fake.gate.clear()

    @rule(pick=st.integers(0, 999), silent=st.booleans())
    def harm(self, pick: int, silent: bool) -> None:
        if not self.fake.writers:
            return
        number = sorted(self.fake.writers)[pick % len(self.fake.writers)]
        if silent:
            self.fake.silent.add(number)
        else:
            self.fake.writers[number].transport.abort()

    @invariant()
    def limit_holds(self) -> None:
        assert self.pool.open_connections <= self.LIMIT

    def teardown(self) -> None:
        try:
            self.run_in_loop(self._end())
        finally:
            self.loop.close()

    async def _end(self) -> None:
        async with self.stack:
            self.fake.gate.set()
            await asyncio.gather(*self.pending, return_exceptions=True)
            self.fake.silent = set(range(self.fake.accepted + 1))
            await asyncio.sleep(0.1)
            self.fake.gate.clear()
            before = len(self.fake.seen)
            last = [
                asyncio.create_task(ask_until_sent(self.pool, tries=100)) for _ in range(self.LIMIT)
            ]
            async with asyncio.timeout(60):
                while count_work_requests(self.fake, before) < self.LIMIT:
                    assert not any(task.done() for task in last), last
                    await asyncio.sleep(0.001)
            assert count_work_requests(self.fake, before) == self.LIMIT
            self.fake.gate.set()
            replies = await asyncio.gather(*last, return_exceptions=True)
            assert all(isinstance(reply, int) for reply in replies), replies


def count_work_requests(fake: FakeServer, start: int) -> int:
    return sum(path == b"/work" for _, path in fake.seen[start:])


async def ask_until_sent(pool: ConnectionPool, *, tries: int) -> int:
    """Retry while the connect for a request times out, as users of the pool do.

    A machine that stalls for longer than `connect_timeout` causes such failures; any other failure
    is an error of the pool.
    """
    for _ in range(tries):
        try:
            return await ask(pool, timeout=60.0)
        except HttpFailure as failure:
            if failure.phase is not FailurePhase.NOT_SENT or "connect" not in failure.detail:
                raise
    raise AssertionError(f"no connect succeeded in {tries} tries")


async def test_connect_timeouts_fail_one_request_each_and_free_their_slots(until, monkeypatch):
    """Guard against connect timeouts on a stalled machine that reduce the pool's usable limit.

    A stall of 70 ms exceeds the connect timeout of 50 ms: each pending connect fails one waiting
    request as not sent. Retries then get connections, up to the whole limit.
    """
    timeouts_left = 3

    async def connect_after_timeouts(*args, **options):
        nonlocal timeouts_left
        if timeouts_left:
            timeouts_left -= 1
            await asyncio.sleep(0)
            raise HttpFailure(FailurePhase.NOT_SENT, "the connect timed out")
        return await connect(*args, **options)

    monkeypatch.setattr(http_pool, "connect", connect_after_timeouts)
    async with pooled(limit=3) as (fake, pool, events):
        fake.gate.clear()
        pending = [asyncio.create_task(ask(pool)) for _ in range(3)]
        failures = await asyncio.gather(*pending, return_exceptions=True)
        assert [getattr(failure, "phase", None) for failure in failures] == [
            FailurePhase.NOT_SENT
        ] * 3
        assert (events["connect_failed"], fake.seen, pool.open_connections) == (3, [], 0)
        pending = [asyncio.create_task(ask_until_sent(pool, tries=1)) for _ in range(3)]
        await until(lambda: count_work_requests(fake, 0) == 3)
        fake.gate.set()
        assert len(set(await asyncio.gather(*pending))) == 3


TestPoolHistory = PoolHistory.TestCase
TestPoolHistory.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=25, stateful_step_count=25
)
