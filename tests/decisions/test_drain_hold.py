"""How long a server that reports draining gets no work."""

from __future__ import annotations

from berylspindle_decisions.concurrency import ReportState, ServerLimiter


def test_a_server_that_has_ended_its_draining_gets_work_at_once() -> None:
    """Guard against requests that expire in the queue of a server that has ended its draining.

    Its owner accepts work again after the next report, while the limiter would still apply the
    previous one; searches would lack a shard and holds would end in "outcome unknown".
    """
    limiter = ServerLimiter(3, 1)
    limiter.on_report(10.0, ReportState.DRAINING)
    assert limiter.limit(10.9) == 0
    limiter.on_report(11.0, ReportState.WARM)
    assert limiter.limit(11.0) == 1


def test_the_end_of_draining_does_not_shorten_a_retry_after() -> None:
    limiter = ServerLimiter(3, 1)
    limiter.on_start(9.0)
    limiter.on_report(10.0, ReportState.DRAINING)
    limiter.on_shed(10.5, retry_after_ms=1000)
    limiter.on_report(11.0, ReportState.WARM)
    assert (limiter.limit(11.0), limiter.limit(11.6)) == (0, 1)


def test_a_server_whose_reports_stop_while_it_drains_gets_work_again() -> None:
    limiter = ServerLimiter(3, 1)
    limiter.on_report(10.0, ReportState.DRAINING)
    assert (limiter.limit(14.9), limiter.limit(15.1)) == (0, 1)
