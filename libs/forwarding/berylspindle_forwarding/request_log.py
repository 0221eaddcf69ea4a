"""Write the log lines and counters of forwarded requests.

Terms:
  line     the record of one finished request: id, outcome, cause, all steps and the VM's state
  sample   a line for a request that was answered in time by first attempts alone

Flow: the front records each finished request; its line is written if the rate limit of its kind
allows. Refused, failed and late requests are counted by cause even if their lines are dropped.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import attrs

from berylspindle_decisions.log_rate_limiter import LineKind, LogRateLimiter
from berylspindle_forwarding.failure_cause import RequestFacts, cause_of
from berylspindle_forwarding.request_head import ForwardRequest
from berylspindle_forwarding.request_trace import RequestTrace
from berylspindle_model.causes import Cause
from berylspindle_model.errors import Refusal, RunState
from berylspindle_model.routing import Route
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.logs import logger
from berylspindle_telemetry.metrics import Metrics


@attrs.frozen(kw_only=True)
class FinishedRequest:
    """A finished request; times are in milliseconds.

    Attributes:
        outcome: the refusal, or the status of the response.
        route: None if no route matched.
        trace: None if no attempt could be made.
        table_wait_ms: wait for the first routing table.
        usual_ms: median latency of the route's sub-requests, or 0 if unknown.
        extra_left: what is left of this VM's retry budget for the route's first service.
    """

    request: ForwardRequest
    outcome: Refusal | int
    route: Route | None = None
    trace: RequestTrace | None = None
    elapsed_ms: float = 0.0
    table_wait_ms: float = 0.0
    usual_ms: float = 0.0
    extra_left: float | None = None


@attrs.frozen(kw_only=True)
class LogContext:
    """State of this VM that is written with each line."""

    table_version: int
    vms: int
    in_flight: int
    cut_off: bool


class RequestLog:
    """Log and count finished requests; `log_context` returns the current state of this VM."""

    def __init__(
        self, metrics: Metrics, now: Callable[[], float], log_context: Callable[[], LogContext]
    ) -> None:
        self._metrics: Final = metrics
        self._now: Final = now
        self._log_context: Final = log_context
        self._limiter: Final = LogRateLimiter()
        self._log: Final = logger("request")

    def record(self, finished: FinishedRequest) -> None:
        """Count a finished request, and write its line unless the rate limit drops it."""
        kind = _line_kind(finished)
        cause: Cause | None = None
        if kind not in (LineKind.HEDGED, LineKind.SAMPLE):
            cause = cause_of(
                RequestFacts(
                    outcome=finished.outcome,
                    left_ms=finished.request.left_ms,
                    table_wait_ms=finished.table_wait_ms,
                    usual_ms=finished.usual_ms,
                ),
                finished.trace,
            )
            self._metrics.count(names.FORWARD_CAUSES, cause=cause.value)
        if not self._limiter.allow(self._now(), kind):
            self._metrics.count(names.LOG_LEFT_OUT, kind=kind.value)
            return
        self._log.info(kind.value, extra=self._fields(finished, kind, cause))

    def _fields(
        self, finished: FinishedRequest, kind: LineKind, cause: Cause | None
    ) -> dict[str, Any]:
        request, outcome, route = finished.request, finished.outcome, finished.route
        context = self._log_context()
        fields: dict[str, Any] = {
            "request": request.request_id.decode("latin-1"),
            "route": route.name if route is not None else "-",
            "result": outcome.kind.value if isinstance(outcome, Refusal) else outcome,
            "ms": f"{finished.elapsed_ms:.1f}",
            "left_ms": request.left_ms,
            "table": context.table_version,
            "vms": context.vms,
            "in_flight": context.in_flight,
        }
        if request.organisation is not None:
            fields["organisation"] = request.organisation.name
        if cause is not None:
            fields["cause"] = cause.value
        if isinstance(outcome, Refusal):
            fields["run_state"] = outcome.run_state.value
            fields["detail"] = outcome.detail
        if route is None:
            fields["asked"] = f"{request.host}{request.path}"
        else:
            fields["aim_ms"] = route.aim_ms
        if finished.table_wait_ms >= 1.0:
            fields["table_wait_ms"] = f"{finished.table_wait_ms:.1f}"
        if finished.usual_ms:
            fields["usual_ms"] = f"{finished.usual_ms:.1f}"
        if finished.extra_left is not None:
            fields["extra_left"] = f"{finished.extra_left:.1f}"
        if context.cut_off:
            fields["cut_off"] = True
        if finished.trace is not None and finished.trace.merger:
            fields["merger"] = finished.trace.merger
        elif finished.trace is not None:
            fields["steps"] = finished.trace.text()
        if left_out := self._limiter.take_suppressed_count(kind):
            fields["left_out"] = left_out
        return fields


def _line_kind(finished: FinishedRequest) -> LineKind:
    if isinstance(finished.outcome, Refusal):
        not_run = finished.outcome.run_state is RunState.NOT_RUN
        return LineKind.REFUSED if not_run else LineKind.FAILED
    if finished.outcome >= 300:
        return LineKind.FAILED
    if finished.route is not None and finished.elapsed_ms > finished.route.aim_ms:
        return LineKind.LATE
    if finished.trace is not None and finished.trace.extra_attempts:
        return LineKind.HEDGED
    return LineKind.SAMPLE
