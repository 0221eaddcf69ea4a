"""Simulate warm-up: count the crashes of a cold backend server and the work that it serves.

Terms:
  safe concurrency   attempts that a server can run at once; one if cold, more with completed work
  fall               a crash because of more concurrent attempts; the server restarts cold after 2 s
  variant            concurrency limit of the owner: all slots, a ramp over time, or `ServerLimiter`

Flow: work is always waiting for one server of three slots. The server restarts cold every 20 s
without prior notice. A crash breaks its connections, and new connections are refused until the
server is back. Each variant runs with servers that warm up fast and slowly.
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
RESTART_INTERVAL_S: Final = 20.0
DOWN_S: Final = 2.0
SERVICE_S: Final = 0.005
COLD_FACTOR: Final = 2.0
RAMP_STEP_S: Final = 1.0
WORK_TO_WARM: Final = (5, 20, 60, 200)


@attrs.frozen(kw_only=True)
class WarmUpRow:
    """Results of one variant with one kind of server.

    `served` is the completed work as a share of the capacity of a server that never crashes.
    """

    variant: str
    work_a_step: int
    falls: int
    served: float


class _BaselineLimit:
    """Baseline limit: all slots at once, or one more slot for each second without a failure."""

    def __init__(self, is_time_ramp: bool) -> None:
        self._is_time_ramp = is_time_ramp
        self._last_failure_at = 0.0

    def limit(self, now: float) -> int:
        if not self._is_time_ramp:
            return SLOTS
        return min(SLOTS, 1 + int((now - self._last_failure_at) / RAMP_STEP_S))

    def on_connection_failure(self, now: float) -> None:
        self._last_failure_at = now


class _Trial:
    """One server with work always waiting."""

    def __init__(self, variant: str, work_a_step: int) -> None:
        self.falls = 0
        self.served = 0
        self._clock = EventClock()
        self._rng = random.Random(5)
        self._work_a_step = work_a_step
        self._limiter = ServerLimiter(SLOTS, 1) if variant == "limiter" else None
        self._baseline = _BaselineLimit(is_time_ramp=variant == "by time")
        self._running = 0
        self._incarnation = 0
        self._completed = 0
        self._restart_at = 0.0

    def run(self) -> None:
        """Run the whole simulation."""
        time = RESTART_INTERVAL_S
        while time < SECONDS:
            self._clock.at(time, self._crash)
            time += RESTART_INTERVAL_S
        self._clock.at(0.0, self._start_waiting)
        self._clock.run(SECONDS)

    def _start_waiting(self) -> None:
        now = self._clock.now
        if now < self._restart_at:
            # Work is always waiting, and each connection attempt to the crashed server is refused.
            if self._limiter is not None:
                self._limiter.on_connection_failure(now, FailureKind.REFUSED)
            self._baseline.on_connection_failure(now)
            return
        limit = self._limiter.limit(now) if self._limiter is not None else self._baseline.limit(now)
        while self._running < limit:
            self._start()
            if self._running > 1 + self._completed // self._work_a_step:
                self.falls += 1
                self._crash()
                return

    def _start(self) -> None:
        if self._limiter is not None:
            self._limiter.on_start(self._clock.now)
        self._running += 1
        is_warm = self._completed >= (SLOTS - 1) * self._work_a_step
        service_s = self._rng.uniform(0.5, 1.5) * SERVICE_S * (1.0 if is_warm else COLD_FACTOR)
        incarnation = self._incarnation
        self._clock.after(service_s, lambda: self._finish(incarnation, service_s))

    def _finish(self, incarnation: int, service_s: float) -> None:
        if incarnation != self._incarnation:
            return
        self._running -= 1
        self._completed += 1
        self.served += 1
        if self._limiter is not None:
            self._limiter.on_success(self._clock.now, service_s * 1000)
        self._start_waiting()

    def _crash(self) -> None:
        now = self._clock.now
        if now < self._restart_at:
            return
        for _ in range(self._running):
            if self._limiter is not None:
                self._limiter.on_failure(now, FailureKind.RESET)
        self._running = 0
        self._baseline.on_connection_failure(now)
        self._incarnation += 1
        self._completed = 0
        self._restart_at = now + DOWN_S
        self._clock.at(self._restart_at - 0.01, self._start_waiting)
        self._clock.at(self._restart_at, self._start_waiting)


def warmup_rows() -> Iterator[WarmUpRow]:
    """Run every variant with every kind of server and yield the results."""
    for work_a_step in WORK_TO_WARM:
        for variant in ("slots at once", "by time", "limiter"):
            trial = _Trial(variant, work_a_step)
            trial.run()
            capacity = SECONDS / SERVICE_S * SLOTS
            yield WarmUpRow(
                variant=variant,
                work_a_step=work_a_step,
                falls=trial.falls,
                served=trial.served / capacity,
            )
