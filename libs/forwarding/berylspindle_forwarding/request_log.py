"""The log's lines and counters of forwarded requests.

Terms:
  line     one request that is over: its id, outcome, cause, every step, and what this VM went by
  sample   a line of a request that was answered in time by first attempts alone

Flow: the front tells of each request that is over; here its kind is found, the line budget asked,
and the line written. Requests that were refused, failed or late are counted by cause, whether or
not there is room for their lines.
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
class Ended:
    """A request that is over; times are milliseconds.

    Attributes:
        outcome: the refusal, or the status of the answer.
        route: None where none was found.
        trace: None where no attempt could be made.
        extra_left: extra arrivals that this VM may still cause at the route's first service.
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
class Beliefs:
    """What this VM goes by just now, as each line holds it."""

    table_version: int
    vms: int
    in_flight: int
    cut_off: bool


class RequestLog:
    """Tell of requests; `beliefs` returns what this VM goes by."""

    def __init__(
        self, metrics: Metrics, now: Callable[[], float], beliefs: Callable[[], Beliefs]
    ) -> None:
        self._metrics: Final = metrics
        self._now: Final = now
        self._beliefs: Final = beliefs
        self._budget: Final = LogRateLimiter()
        self._log: Final = logger("request")

    def tell(self, ended: Ended) -> None:
        """Count a request that is over, and write its line where one is due."""
        kind = _kind(ended)
        cause: Cause | None = None
        if kind not in (LineKind.HEDGED, LineKind.SAMPLE):
            cause = cause_of(
                RequestFacts(
                    outcome=ended.outcome,
                    left_ms=ended.request.left_ms,
                    table_wait_ms=ended.table_wait_ms,
                    usual_ms=ended.usual_ms,
                ),
                ended.trace,
            )
            self._metrics.count(names.FORWARD_CAUSES, cause=cause.value)
        if not self._budget.may_write(self._now(), kind):
            self._metrics.count(names.LOG_LEFT_OUT, kind=kind.value)
            return
        self._log.info(kind.value, extra=self._fields(ended, kind, cause))

    def _fields(self, ended: Ended, kind: LineKind, cause: Cause | None) -> dict[str, Any]:
        request, outcome, route = ended.request, ended.outcome, ended.route
        beliefs = self._beliefs()
        fields: dict[str, Any] = {
            "request": request.request_id.decode("latin-1"),
            "route": route.name if route is not None else "-",
            "result": outcome.kind.value if isinstance(outcome, Refusal) else outcome,
            "ms": f"{ended.elapsed_ms:.1f}",
            "left_ms": request.left_ms,
            "table": beliefs.table_version,
            "vms": beliefs.vms,
            "in_flight": beliefs.in_flight,
        }
        if cause is not None:
            fields["cause"] = cause.value
        if isinstance(outcome, Refusal):
            fields["run_state"] = outcome.run_state.value
            fields["detail"] = outcome.detail
        if route is None:
            fields["asked"] = f"{request.host}{request.path}"
        else:
            fields["aim_ms"] = route.aim_ms
        if ended.table_wait_ms >= 1.0:
            fields["table_wait_ms"] = f"{ended.table_wait_ms:.1f}"
        if ended.usual_ms:
            fields["usual_ms"] = f"{ended.usual_ms:.1f}"
        if ended.extra_left is not None:
            fields["extra_left"] = f"{ended.extra_left:.1f}"
        if beliefs.cut_off:
            fields["cut_off"] = True
        if ended.trace is not None and ended.trace.merger:
            fields["merger"] = ended.trace.merger
        elif ended.trace is not None:
            fields["steps"] = ended.trace.told()
        if left_out := self._budget.left_out(kind):
            fields["left_out"] = left_out
        return fields


def _kind(ended: Ended) -> LineKind:
    if isinstance(ended.outcome, Refusal):
        not_run = ended.outcome.run_state is RunState.NOT_RUN
        return LineKind.REFUSED if not_run else LineKind.FAILED
    if ended.outcome >= 300:
        return LineKind.FAILED
    if ended.route is not None and ended.elapsed_ms > ended.route.aim_ms:
        return LineKind.LATE
    if ended.trace is not None and ended.trace.extras:
        return LineKind.HEDGED
    return LineKind.SAMPLE
