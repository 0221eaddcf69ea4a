"""Simulate the fair queue and admission control at one backend server against a FIFO queue.

Terms:
  first-come   the baseline: an unbounded FIFO queue without fair shares or dropped requests
  in time      answers before the deadline, as a share of all requests
  wasted       work on requests that ended after their deadline, as a share of all work
  tries        number of times that a client sends a request until it is admitted

Flow: the server has three slots and serves a request in 5 ms. `queue_rows` simulates a heavy
caller, a burst, and long requests among short ones; `retry_rows` simulates clients that send
refused requests again after the indicated delay.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from berylspindle_bench.event_clock import EventClock
from berylspindle_decisions.admission import Admission, AdmissionOptions
from berylspindle_decisions.fair_queue import FairQueue, FairQueueOptions
from berylspindle_model.errors import Refusal

SLOTS: Final = 3
SERVICE_S: Final = 0.005
DEADLINE_S: Final = 0.2
SECONDS: Final = 10.0
CAPACITY: Final = SLOTS / SERVICE_S
LONG_COST: Final = 20.0
THINK_TIME_S: Final = 0.03


@attrs.define(eq=False)
class _Work:
    caller: str
    arrived_at: float
    cost: float = 1.0
    ended: float | None = None

    @property
    def is_in_time(self) -> bool:
        return self.ended is not None and self.ended <= self.arrived_at + DEADLINE_S * max(
            1.0, self.cost
        )


class _FifoQueue:
    """Baseline: an unbounded FIFO queue."""

    def __init__(self) -> None:
        self._waiting: deque[_Work] = deque()

    def push(self, now: float, work: _Work) -> None:
        del now
        self._waiting.append(work)

    def pop(self, now: float, long_running: int) -> _Work | None:
        del now, long_running
        return self._waiting.popleft() if self._waiting else None


class _FairQueueAdapter:
    """`FairQueue` with or without a slot reserved for short work."""

    def __init__(self, reserves_slot: bool) -> None:
        self._queue: FairQueue[_Work] = FairQueue(FairQueueOptions())
        self._reserves_slot = reserves_slot

    def push(self, now: float, work: _Work) -> None:
        deadline = work.arrived_at + DEADLINE_S * max(1.0, work.cost)
        self._queue.push(now, work, caller=work.caller, deadline=deadline, cost=work.cost)

    def pop(self, now: float, long_running: int) -> _Work | None:
        running = long_running if self._reserves_slot else 0
        popped = self._queue.pop(now, expected_service=SERVICE_S, long_running=running, slots=SLOTS)
        return popped.item


class _Server:
    """A server with `SLOTS` slots that takes work from a queue."""

    def __init__(self, clock: EventClock, queue: _FifoQueue | _FairQueueAdapter) -> None:
        self.work_s = 0.0
        self.wasted = 0.0
        self._clock = clock
        self._queue = queue
        self._running = 0
        self._long_running = 0
        self._rng = random.Random(2)

    def offer(self, work: _Work) -> None:
        self._queue.push(self._clock.now, work)
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self._running < SLOTS:
            work = self._queue.pop(self._clock.now, self._long_running)
            if work is None:
                return
            self._running += 1
            self._long_running += work.cost > 1.0
            service_s = self._rng.uniform(0.5, 1.5) * SERVICE_S * work.cost
            self._clock.after(service_s, lambda w=work, s=service_s: self._finish(w, s))  # type: ignore[misc]

    def _finish(self, work: _Work, service_s: float) -> None:
        self._running -= 1
        self._long_running -= work.cost > 1.0
        work.ended = self._clock.now
        self.work_s += service_s
        self.wasted += 0.0 if work.is_in_time else service_s
        self._start_waiting()


@attrs.frozen(kw_only=True)
class QueueRow:
    """Results of the light and heavy callers, and the share of wasted work."""

    pattern: str
    queue: str
    light_in_time: float
    light_p99_ms: float
    heavy_in_time: float
    wasted: float


def _heavy_caller(rng: random.Random) -> Iterator[_Work]:
    # One caller offers twice the capacity of the server, five others a tenth of it each.
    yield from _stream(rng, "heavy", 2.0 * CAPACITY)
    for n in range(5):
        yield from _stream(rng, f"light-{n}", 0.1 * CAPACITY)


def _burst(rng: random.Random) -> Iterator[_Work]:
    # One caller sends 300 requests at once each second, half a second of work; the others offer a
    # third of the capacity.
    for second in range(int(SECONDS)):
        yield from (_Work("heavy", second + 0.5) for _ in range(300))
    for n in range(5):
        yield from _stream(rng, f"light-{n}", CAPACITY / 15)


def _long_among_short(rng: random.Random) -> Iterator[_Work]:
    # Long requests have twenty times the work. They offer half of the capacity, short ones a third.
    yield from _stream(rng, "heavy", 0.5 * CAPACITY / LONG_COST, LONG_COST)
    for n in range(5):
        yield from _stream(rng, f"light-{n}", CAPACITY / 15)


def _stream(rng: random.Random, caller: str, rate: float, cost: float = 1.0) -> Iterator[_Work]:
    time = 0.0
    while time < SECONDS:
        time += rng.expovariate(rate)
        yield _Work(caller, time, cost)


PATTERNS: Final[dict[str, Callable[[random.Random], Iterator[_Work]]]] = {
    "a heavy caller": _heavy_caller,
    "a burst": _burst,
    "long work among short": _long_among_short,
}


def queue_rows() -> Iterator[QueueRow]:
    """Simulate every pattern with the FIFO queue and with the fair queue, and yield the results."""
    for pattern, generate in PATTERNS.items():
        queues: dict[str, _FifoQueue | _FairQueueAdapter] = {
            "first-come": _FifoQueue(),
            "fair, all slots": _FairQueueAdapter(reserves_slot=False),
            "fair": _FairQueueAdapter(reserves_slot=True),
        }
        for name, queue in queues.items():
            yield _queue_row(pattern, name, queue, list(generate(random.Random(1))))


def _queue_row(
    pattern: str, name: str, queue: _FifoQueue | _FairQueueAdapter, all_work: list[_Work]
) -> QueueRow:
    clock = EventClock()
    server = _Server(clock, queue)
    for work in all_work:
        clock.at(work.arrived_at, lambda work=work: server.offer(work))  # type: ignore[misc]
    clock.run(SECONDS * 10)
    light = [work for work in all_work if work.caller != "heavy"]
    heavy = [work for work in all_work if work.caller == "heavy"]
    latencies_ms = sorted(
        (work.ended - work.arrived_at) * 1000 for work in light if work.ended is not None
    )
    return QueueRow(
        pattern=pattern,
        queue=name,
        light_in_time=sum(work.is_in_time for work in light) / len(light),
        light_p99_ms=latencies_ms[int(len(latencies_ms) * 0.99)],
        heavy_in_time=sum(work.is_in_time for work in heavy) / len(heavy),
        wasted=server.wasted / server.work_s,
    )


@attrs.frozen(kw_only=True)
class RetryRow:
    """Results of clients that retry after `told`, the delay indicated by a refusal."""

    told: str
    tries: float
    served: float
    mean_wait_ms: float
    p99_wait_ms: float


def retry_rows() -> Iterator[RetryRow]:
    """Simulate 60 clients at a limit of 20 requests, with computed and with fixed retry delays."""
    for retry_after_ms in (None, 2, 20, 500):
        yield _RetryTrial(retry_after_ms).run()


class _RetryTrial:
    """Clients that send one request after the other, each until it is admitted and served."""

    def __init__(self, retry_after_ms: int | None) -> None:
        self._retry_after_ms = retry_after_ms
        self._clock = EventClock()
        self._admission = Admission(AdmissionOptions(max_work=20, max_wait_ms=1e9))
        self._server = _Server(self._clock, _FifoQueue())
        self._sent = 0
        self._admitted = 0
        self._waits: list[float] = []
        self._rng = random.Random(4)

    def run(self) -> RetryRow:
        for n in range(60):
            self._clock.at(n * 0.001, lambda n=n: self._send(f"c{n}", n * 0.001))  # type: ignore[misc]
        self._clock.run(SECONDS)
        return RetryRow(
            told=f"{self._retry_after_ms} ms" if self._retry_after_ms else "measured",
            tries=self._sent / self._admitted,
            served=self._server.work_s / (SLOTS * SECONDS),
            mean_wait_ms=sum(self._waits) / self._admitted,
            p99_wait_ms=sorted(self._waits)[int(self._admitted * 0.99)],
        )

    def _send(self, client: str, first_sent_at: float) -> None:
        now = self._clock.now
        self._sent += 1
        verdict = self._admission.decide(now, caller=client, deadline_left_ms=1e9)
        if isinstance(verdict, Refusal):
            retry_after_ms = self._retry_after_ms or verdict.retry_after or 1
            self._clock.after(retry_after_ms / 1000, lambda: self._send(client, first_sent_at))
            return
        self._admitted += 1
        self._waits.append((now - first_sent_at) * 1000)
        self._admission.on_start(client)
        work = _Work(client, now)
        self._server.offer(work)
        self._poll_completion(work)

    def _poll_completion(self, work: _Work) -> None:
        if work.ended is None:
            self._clock.after(0.0005, lambda: self._poll_completion(work))
            return
        self._admission.on_done(self._clock.now, work.caller)
        pause = self._rng.expovariate(1 / THINK_TIME_S)
        first_sent_at = self._clock.now + pause
        self._clock.after(pause, lambda: self._send(work.caller, first_sent_at))
