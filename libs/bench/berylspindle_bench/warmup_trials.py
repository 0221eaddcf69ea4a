"""Trials of warm-up: how often does a cold backend server fall over, and what does it serve?

Terms:
  bears      the work at once that a server stands; it starts at one and grows with work done
  fall       a server that gets more at once than it bears goes down for 2 s and restarts cold
  variant    how the owner caps it: its full slots, a ramp by time alone, or `ServerLimiter`

Flow: one server of three slots has always work waiting. It restarts cold by itself every 20 s, as
a server that turns cold without warning. Its connections break when it goes down and are refused
until it is back. Each variant meets servers that warm up quickly and slowly.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Final

import attrs

from berylspindle_bench.event_clock import EventClock
from berylspindle_decisions.concurrency import FailureKind, ServerLimiter

SLOTS: Final = 3
SECONDS: Final = 120.0
RESTART_S: Final = 20.0
DOWN_S: Final = 2.0
SERVICE_S: Final = 0.005
COLD_FACTOR: Final = 2.0
TIME_RAMP_S: Final = 1.0
WORK_TO_WARM: Final = (5, 20, 60, 200)


@attrs.frozen(kw_only=True)
class WarmUpRow:
    """Figures of one variant with one kind of server.

    `served` is work done as a share of what a server that never falls over could do.
    """

    variant: str
    work_a_step: int
    falls: int
    served: float


class _Cap:
    """The baseline: all slots at once, or one more each second of silence about failures."""

    def __init__(self, by_time: bool) -> None:
        self._by_time = by_time
        self._since = 0.0

    def limit(self, now: float) -> int:
        if not self._by_time:
            return SLOTS
        return min(SLOTS, 1 + int((now - self._since) / TIME_RAMP_S))

    def on_lost(self, now: float) -> None:
        self._since = now


class _Trial:
    """One server under constant load."""

    def __init__(self, variant: str, work_a_step: int) -> None:
        self.falls = 0
        self.served = 0
        self._clock = EventClock()
        self._random = random.Random(5)
        self._work_a_step = work_a_step
        self._limiter = ServerLimiter(SLOTS, 1) if variant == "limiter" else None
        self._cap = _Cap(by_time=variant == "by time")
        self._running = 0
        self._life = 0
        self._done = 0
        self._back_at = 0.0

    def run(self) -> None:
        """Play the whole trial."""
        time = RESTART_S
        while time < SECONDS:
            self._clock.at(time, self._go_down)
            time += RESTART_S
        self._clock.at(0.0, self._pump)
        self._clock.run(SECONDS)

    def _pump(self) -> None:
        now = self._clock.now
        if now < self._back_at:
            # Work is offered all the time; each try while it is down is refused.
            if self._limiter is not None:
                self._limiter.on_connection_failure(now, FailureKind.REFUSED)
            self._cap.on_lost(now)
            return
        limit = self._limiter.limit(now) if self._limiter is not None else self._cap.limit(now)
        while self._running < limit:
            self._start()
            if self._running > 1 + self._done // self._work_a_step:
                self.falls += 1
                self._go_down()
                return

    def _start(self) -> None:
        if self._limiter is not None:
            self._limiter.on_start(self._clock.now)
        self._running += 1
        is_warm = self._done >= (SLOTS - 1) * self._work_a_step
        took = self._random.uniform(0.5, 1.5) * SERVICE_S * (1.0 if is_warm else COLD_FACTOR)
        life = self._life
        self._clock.after(took, lambda: self._finish(life, took))

    def _finish(self, life: int, took: float) -> None:
        if life != self._life:
            return
        self._running -= 1
        self._done += 1
        self.served += 1
        if self._limiter is not None:
            self._limiter.on_success(self._clock.now, took * 1000)
        self._pump()

    def _go_down(self) -> None:
        now = self._clock.now
        if now < self._back_at:
            return
        for _ in range(self._running):
            if self._limiter is not None:
                self._limiter.on_failure(now, FailureKind.RESET)
        self._running = 0
        self._cap.on_lost(now)
        self._life += 1
        self._done = 0
        self._back_at = now + DOWN_S
        self._clock.at(self._back_at - 0.01, self._pump)
        self._clock.at(self._back_at, self._pump)


def warmup_rows() -> Iterator[WarmUpRow]:
    """Run every variant with every kind of server."""
    for work_a_step in WORK_TO_WARM:
        for variant in ("slots at once", "by time", "limiter"):
            trial = _Trial(variant, work_a_step)
            trial.run()
            most = SECONDS / SERVICE_S * SLOTS
            yield WarmUpRow(
                variant=variant,
                work_a_step=work_a_step,
                falls=trial.falls,
                served=trial.served / most,
            )
