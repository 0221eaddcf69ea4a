"""Limit the requests in flight at one backend server.

Load: saturation, and a slow server. Without a limit, work queues up inside the server, where it can
neither be ordered by deadline nor cancelled, and a cold server fails.

Terms:
  slots     requests that a warm server processes concurrently
  hold      an interval without new requests: the server asked for it, or it is draining
  external  work at the server, by its own report, that this owner has not sent

Flow: the owner checks `ServerLimiter.limit` before each dispatch, then calls `on_start`; each start
ends in exactly one of `on_success`, `on_shed`, `on_failure` or `on_cancelled`. The ramp from cold
to warm is in `warmup`.

Limit: it moves between the cold cap and the configured slots, on evidence only. A limit that
follows the latency gradient is not used: the range from 1 to 6 is too small for it, its probing
above the slots would overload a cold server, and it mistakes a mix of short and long requests for
congestion. Nothing is queued inside the server. So a slot is idle while the next request is on its
way from the owner, 0.1 ms within a data centre; but requests in the owner's queue keep their order
and deadlines and can be cancelled. A hold that the server asks for ends after 2 s at most, since
the server may be wrong. The hold of a draining report ends with the first report of another state,
or after 5 s without a report.
"""

from __future__ import annotations

from typing import Final

import attrs

from berylspindle_decisions.warmup import (
    FailureKind,
    ReportState,
    WarmUp,
    WarmUpOptions,
    WarmUpState,
)

__all__: Final = ["FailureKind", "LimiterOptions", "ReportState", "ServerLimiter", "WarmUpState"]


@attrs.frozen(kw_only=True)
class LimiterOptions:
    """Settings of holds and of external work.

    Attributes:
        max_hold_s: maximum hold in seconds that a shed response can ask for.
        drain_hold_s: seconds without new requests after a draining report.
        foreign_s: seconds for which reported external work lowers the limit.
        warm_up: settings of the warm-up.
    """

    max_hold_s: float = 2.0
    drain_hold_s: float = 5.0
    foreign_s: float = 1.0
    warm_up: WarmUpOptions = attrs.field(factory=WarmUpOptions)


class ServerLimiter:
    """Count and limit the attempts in flight at one backend server."""

    def __init__(self, slots: int, cold_slots: int, options: LimiterOptions | None = None) -> None:
        self._options = options or LimiterOptions()
        self._slots = slots
        self._cold = min(cold_slots, slots)
        self._warm_up = WarmUp(slots, cold_slots, self._options.warm_up)
        self._in_flight = 0
        self._max_in_flight = 0
        self._hold_until = float("-inf")
        self._drain_until = float("-inf")
        self._external = 0
        self._external_until = float("-inf")

    @property
    def in_flight(self) -> int:
        """Return the number of attempts in flight."""
        return self._in_flight

    @property
    def is_warm(self) -> bool:
        """Return whether the server has all its slots."""
        return self._warm_up.is_warm

    @property
    def cold_resets(self) -> int:
        """Return how often the limit was reset to the cold cap."""
        return self._warm_up.cold_resets

    @property
    def warm_up_state(self) -> WarmUpState:
        """Return the warm-up state to hand over to the next owner."""
        return self._warm_up.warm_up_state

    def limit(self, now: float) -> int:
        """Return the maximum of attempts in flight now; 0 during a hold."""
        if now < max(self._hold_until, self._drain_until):
            return 0
        cap = self._warm_up.cap(now)
        if now < self._external_until:
            cap = max(self._cold, cap - self._external)
        return cap

    def may_start(self, now: float) -> bool:
        """Return whether one more attempt may start."""
        return self._in_flight < self.limit(now)

    def on_start(self, now: float) -> None:
        """Count one attempt; raise ValueError if it would exceed the limit."""
        if not self.may_start(now):
            # A cold server must never be overloaded: code that skipped the check fails here and not
            # at the server.
            raise ValueError(
                f"{self._in_flight} attempts in flight, at a limit of {self.limit(now)}"
            )
        self._in_flight += 1
        self._max_in_flight = max(self._max_in_flight, self._in_flight)

    def on_success(self, now: float, latency_ms: float) -> None:
        """Record an answered attempt; `latency_ms` is from dispatch to reply."""
        self._end()
        self._warm_up.on_success(now, latency_ms)

    def on_shed(self, now: float, retry_after_ms: float | None = None) -> None:
        """Record an attempt that the server refused, and hold for `retry_after_ms`."""
        self._end()
        self._warm_up.on_shed(now)
        hold_s = min((retry_after_ms or 0.0) / 1000, self._options.max_hold_s)
        self._hold_until = max(self._hold_until, now + hold_s)

    def on_failure(self, now: float, kind: FailureKind) -> None:
        """Record a failed attempt."""
        self._end()
        self._warm_up.on_failure(now, kind)

    def on_cancelled(self, now: float) -> None:
        """Record a cancelled attempt, which is no evidence about the server."""
        del now
        self._end()

    def on_connection_failure(self, now: float, kind: FailureKind) -> None:
        """Record a failure without an attempt: a broken idle connection or failed probe."""
        self._warm_up.on_failure(now, kind)

    def on_report(self, now: float, state: ReportState, in_flight: int | None = None) -> None:
        """Update from the server's load report, which may only lower the limit or end a drain."""
        self._warm_up.on_report(now, state)
        # The drain hold ends with the first report of another state; otherwise requests accepted
        # again would wait in the queue until their deadlines.
        is_draining = state is ReportState.DRAINING
        self._drain_until = now + self._options.drain_hold_s if is_draining else float("-inf")
        if in_flight is None:
            return
        # The report lags and may include own attempts that have ended since. Only what exceeds the
        # maximum in flight since the last report is external.
        self._external = max(0, in_flight - self._max_in_flight)
        self._max_in_flight = self._in_flight
        self._external_until = now + self._options.foreign_s

    def on_takeover(self, now: float, state: WarmUpState | None = None) -> None:
        """Start as the new owner: at the cold cap, unless warm-up state was handed over."""
        self._warm_up.on_takeover(now, state)

    def _end(self) -> None:
        if self._in_flight == 0:
            raise ValueError("no attempt is in flight")
        self._in_flight -= 1
