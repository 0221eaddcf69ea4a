"""Timeline: bounded, selectable and counted events; log lines with masked secrets."""

from __future__ import annotations

import io
import json

import logbook

from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.clock import HybridClock
from berylspindle_telemetry.logs import log_context, logger
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.secret import Secret
from berylspindle_telemetry.timeline import EventFilter, EventKind, Timeline


def test_flapping_state_does_not_exceed_the_capacity() -> None:
    """Guard against unbounded memory when a backend server is ejected and returned repeatedly.

    Each change is an event. The buffer must keep to its capacity and count the dropped events.
    """
    metrics = Metrics(lambda: 0.0)
    timeline = Timeline("vm1", 10, HybridClock(lambda: 5.0), metrics=metrics)
    for _ in range(25):
        timeline.record(EventKind.EJECTED, server="s1")
    page = timeline.select()
    assert [event.sequence for event in page.events] == list(range(16, 26))
    assert page.dropped == 15
    assert metrics.value(names.EVENTS_DROPPED) == 15
    assert metrics.value(names.EVENTS, kind="ejected") == 25


def test_select_by_time_range_service_server_and_request() -> None:
    timeline = Timeline("vm1", 100, HybridClock(lambda: 1.0))
    first = timeline.record(EventKind.READY)
    second = timeline.record(EventKind.EJECTED, service="a", server="s1")
    third = timeline.record(EventKind.QUARANTINED, service="a", request_id="r1")
    assert timeline.since(second.stamp) == (second, third)
    assert timeline.select(EventFilter(until=second.stamp)).events == (first,)
    assert timeline.select(EventFilter(service="a")).events == (second, third)
    assert timeline.select(EventFilter(server="s1")).events == (second,)
    assert timeline.select(EventFilter(request_id="r1")).events == (third,)


def test_event_is_logged_as_one_text_line() -> None:
    stream = io.StringIO()
    with log_context(stream=stream, vm="vm1"):
        Timeline("vm1").record(EventKind.EJECTED, server="s1", detail="too slow")
    (line,) = stream.getvalue().splitlines()
    assert "WARNING" in line
    assert "vm1 timeline: ejected detail=too slow server=s1" in line


def test_json_lines_have_fields_and_mask_secrets() -> None:
    """Guard against tokens in the log when a library quotes a header in an error message."""
    stream = io.StringIO()
    metrics = Metrics(lambda: 0.0)
    secret = Secret("s3cr3t-token")
    with log_context(log_format="json", vm="vm1", stream=stream, secrets=[secret], metrics=metrics):
        log = logger("wire")
        try:
            raise ValueError("authorization: Bearer s3cr3t-token")
        except ValueError:
            log.exception("bad header")
        log.debug("not written")
        logbook.Logger("x").warning("of {} {}", secret, f"{secret!r}")
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["level"] for line in lines] == ["error", "warning"]
    assert "ValueError: authorization: Bearer ***" in lines[0]["traceback"]
    assert lines[1]["message"] == "of *** ***"
    assert "s3cr3t" not in stream.getvalue()
    assert metrics.value(names.LOG_LINES, level="error") == 1
