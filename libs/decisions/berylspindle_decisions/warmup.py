"""Raise the concurrency limit of a backend server from cold to warm, and reset it on evidence.

Load: a server that starts cold, or turns cold without notice, under full load. It can process only
little; if it is sent requests for all its slots, it fails, restarts cold and fails again. Its load
report may lag or be wrong, so the limit can't rely on the report alone.

Terms:
  cold cap    concurrent requests that a server can process during a cold start
  cap         the current limit on concurrent requests, from the cold cap up to the server's slots
  evidence    signs of a cold server: a reset connection, its own report, rejections, or a latency
              far above the baseline
  baseline    the latency of the server while it was not slow, a moving average

Flow: each outcome is reported to one `on_...` method; `WarmUp.cap` is read before each dispatch. A
change of ownership hands over `WarmUpState`; without it the new owner starts at the cold cap.

Steps: one step up takes 30 successes and 0.25 s. With 10 successes the slowest servers fail 5 times
in two minutes, with 30 they fail 3 times, and fast ones serve the same load. The minimum time is
needed since a burst of answers from a cache proves little. A reset within 2 s of a step doubles the
successes of all later steps, up to 32 times; without this, servers that warm up more slowly than
the ramp fail 54 times. While the server reports cold, a step takes 300 successes: the report is
mostly right, and one that is stuck at cold delays each step of a busy server by about a second.

Resets: a rejection lowers the cap by one, a second one within 5 s resets it to the cold cap.
Latency counts as evidence when 8 of the last 12 answers took over 3 times the baseline and over
5 ms more: a single slow answer is no evidence, and latencies of mixed queries vary by less. After
60 s without work the cap is reset, which costs nothing at such a load.
"""

from __future__ import annotations

import enum
from collections import deque

import attrs


class ReportState(enum.StrEnum):
    """State of a backend server by its own report."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


class FailureKind(enum.Enum):
    """How an attempt at a backend server failed."""

    RESET = "reset"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    ERROR = "error"


@attrs.frozen(kw_only=True)
class WarmUpOptions:
    """Settings of the warm-up.

    Attributes:
        step_successes: successes at one cap before the next step.
        step_s: minimum seconds at one cap before the next step.
        blame_s: seconds after a step in which a reset is attributed to that step.
        max_caution: maximum of the factor on `step_successes` after resets attributed to steps.
        forget_s: seconds at full slots after which that factor is halved.
        doubtful_factor: factor on `step_successes` while the server reports cold.
        shed_window_s: seconds within which a second rejection resets the cap.
        slow_factor: multiple of the baseline latency above which an answer counts as slow.
        slow_floor_ms: milliseconds above the baseline that it must exceed as well.
        slow_window: number of latest answers considered.
        slow_count: number of slow answers among them that resets the cap.
        relearn_successes: successes at the cold cap after which a slow latency becomes the
            baseline.
        idle_s: seconds without an answer after which the cap is reset.
        smoothing: weight of a new answer in the baseline, 0 to 1.
    """

    step_successes: int = 30
    step_s: float = 0.25
    blame_s: float = 2.0
    max_caution: int = 32
    forget_s: float = 300.0
    doubtful_factor: int = 10
    shed_window_s: float = 5.0
    slow_factor: float = 3.0
    slow_floor_ms: float = 5.0
    slow_window: int = 12
    slow_count: int = 8
    relearn_successes: int = 40
    idle_s: float = 60.0
    smoothing: float = 0.05


@attrs.frozen(kw_only=True)
class WarmUpState:
    """Warm-up state that one owner hands over to the next.

    `baseline_ms` is the baseline latency, `step_factor` the factor on the successes of a step.
    """

    cap: int
    baseline_ms: float | None
    step_factor: int = 1


class WarmUp:
    """Warm-up of one backend server."""

    def __init__(self, slots: int, cold_slots: int, options: WarmUpOptions | None = None) -> None:
        self._options = options or WarmUpOptions()
        self._slots = slots
        self._cold = min(cold_slots, slots)
        self._cap = self._cold
        self._successes = 0
        self._step_started = float("-inf")
        self._last_answer = float("-inf")
        self._last_shed = float("-inf")
        self._baseline_ms: float | None = None
        self._slow: deque[bool] = deque(maxlen=self._options.slow_window)
        self._reported = ReportState.WARM
        self._cold_resets = 0
        self._step_factor = 1

    @property
    def is_warm(self) -> bool:
        """Return whether the server has its full slots."""
        return self._cap >= self._slots

    @property
    def cold_resets(self) -> int:
        """Return how often the cap was reset to the cold cap."""
        return self._cold_resets

    @property
    def warm_up_state(self) -> WarmUpState:
        """Return the state to hand over to the next owner."""
        return WarmUpState(
            cap=self._cap, baseline_ms=self._baseline_ms, step_factor=self._step_factor
        )

    def cap(self, now: float) -> int:
        """Return the maximum of concurrent requests, reset if the server was idle."""
        if self._cap > self._cold and now - self._last_answer > self._options.idle_s:
            self._reset_to_cold(now)
        return self._cap

    def on_success(self, now: float, latency_ms: float) -> None:
        """Record one answer and its latency."""
        self.cap(now)
        self._last_answer = now
        if self._step_started == float("-inf"):
            self._step_started = now
        slow = self._is_slow(latency_ms)
        self._slow.append(slow)
        if self._cap > self._cold and sum(self._slow) >= self._options.slow_count:
            self._reset_to_cold(now)
            return
        self._successes += 1
        if slow and self._cap == self._cold and self._successes >= self._options.relearn_successes:
            # The server stays slow under little load, so the new latency becomes its baseline;
            # with the old one it would stay at the cold cap forever.
            self._baseline_ms = latency_ms
            self._slow.clear()
        if not slow:
            self._update_baseline(latency_ms)
        self._step_up(now)

    def on_shed(self, now: float) -> None:
        """Record one rejection by the server."""
        self._penalize_step(now)
        again = now - self._last_shed < self._options.shed_window_s
        self._last_shed = now
        if again or self._cap - 1 <= self._cold:
            self._reset_to_cold(now)
            return
        self._cap -= 1
        self._start_step(now)

    def on_failure(self, now: float, kind: FailureKind) -> None:
        """Record one failed attempt; a lost or refused connection resets the cap."""
        if kind in (FailureKind.RESET, FailureKind.REFUSED):
            self._penalize_step(now)
            self._reset_to_cold(now)
            return
        # A timeout or an error does not prove that the server is cold, but is no success either.
        self._slow.append(True)
        self._successes = 0
        if self._cap > self._cold and sum(self._slow) >= self._options.slow_count:
            self._reset_to_cold(now)

    def on_report(self, now: float, state: ReportState) -> None:
        """Record the reported state; a change to cold or draining resets the cap.

        No report raises the cap, and only a change resets it. A report that lags or is stuck at
        cold after the server has warmed up makes the steps longer, but can't keep the server at the
        cold cap.
        """
        changed = state is not self._reported
        self._reported = state
        if changed and state is not ReportState.WARM:
            self._reset_to_cold(now)

    def on_takeover(self, now: float, state: WarmUpState | None = None) -> None:
        """Start as a new owner, with the state handed over by the last one, if any."""
        self._start_step(now)
        self._slow.clear()
        self._baseline_ms = state.baseline_ms if state is not None else None
        handed_factor = state.step_factor if state is not None else 1
        self._step_factor = max(1, min(handed_factor, self._options.max_caution))
        handed = state.cap if state is not None else self._cold
        self._cap = max(self._cold, min(handed, self._slots))
        self._last_answer = now

    def _is_slow(self, latency_ms: float) -> bool:
        if self._baseline_ms is None:
            return False
        bound = max(
            self._baseline_ms * self._options.slow_factor,
            self._baseline_ms + self._options.slow_floor_ms,
        )
        return latency_ms > bound

    def _update_baseline(self, latency_ms: float) -> None:
        if self._baseline_ms is None:
            self._baseline_ms = latency_ms
            return
        self._baseline_ms += self._options.smoothing * (latency_ms - self._baseline_ms)

    def _step_up(self, now: float) -> None:
        if self._cap >= self._slots:
            self._relax_step_factor(now)
            return
        doubtful = self._reported is not ReportState.WARM
        # Both factors express the same doubt; multiplied, they would delay a server for minutes.
        factor = max(self._step_factor, self._options.doubtful_factor if doubtful else 1)
        if self._successes < self._options.step_successes * factor:
            return
        if (
            now - self._step_started < self._options.step_s
            or sum(self._slow) >= self._options.slow_count
        ):
            return
        self._cap += 1
        self._start_step(now)

    def _reset_to_cold(self, now: float) -> None:
        if self._cap > self._cold:
            self._cold_resets += 1
        self._cap = self._cold
        self._slow.clear()
        self._start_step(now)

    def _penalize_step(self, now: float) -> None:
        if self._cap > self._cold and now - self._step_started < self._options.blame_s:
            # The last step overloaded the server. A server that warms up more slowly than the ramp
            # would fail at each step, so each such reset makes the steps longer.
            self._step_factor = min(self._step_factor * 2, self._options.max_caution)

    def _relax_step_factor(self, now: float) -> None:
        if self._step_factor > 1 and now - self._step_started > self._options.forget_s:
            self._step_factor //= 2
            self._step_started = now

    def _start_step(self, now: float) -> None:
        self._successes = 0
        self._step_started = now
