"""Registry of metrics and its text exposition."""

from __future__ import annotations

import re

import pytest

from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import OTHER, WINDOW_SECONDS, Metrics

LINE = re.compile(
    r"^[a-z_]+(\{([a-z_]+=\"([^\"\\\n]|\\.)*\",?)+\})? -?([0-9.]+(e[+-]?[0-9]+)?|inf|nan)$"
)


def test_exposition_has_help_type_and_series_of_each_metric() -> None:
    metrics = Metrics(lambda: 0.0)
    metrics.count(names.REQUESTS, service="a", operation="search", result="whole")
    metrics.count(names.REQUESTS, 2, service="a", operation="search", result="whole")
    metrics.gauge(names.READY, 1)
    metrics.gauge_function(names.SERVERS_OWNED, lambda: 7)
    for value in range(1, 101):
        metrics.observe(names.QUEUE_TIME, value, service='quote " slash \\ line \n end')
    text = metrics.render().decode()
    assert 'berylspindle_requests_total{service="a",operation="search",result="whole"} 3' in text
    assert "# TYPE berylspindle_queue_ms summary" in text
    assert "berylspindle_servers_owned 7" in text
    label = 'service="quote \\" slash \\\\ line \\n end"'
    assert f"berylspindle_queue_ms_sum{{{label}}} 5050" in text
    assert f"berylspindle_queue_ms_count{{{label}}} 100" in text
    median = re.search(r'quantile="0.5"\} ([0-9.]+)', text)
    assert median is not None
    assert float(median[1]) == pytest.approx(50, rel=0.02)
    for line in text.splitlines():
        assert line.startswith("# ") or LINE.match(line), line


def test_quantiles_exclude_values_older_than_two_windows() -> None:
    """Guard against quantiles that still show a slow server long after it was removed.

    They must cover only the last one to two windows, while the count covers the whole run.
    """
    now = [0.0]
    metrics = Metrics(lambda: now[0])
    summary = metrics.summary(names.STORE_CALL_TIME, operation="read")
    summary.observe(900)
    assert summary.quantiles()[0][1] == pytest.approx(900, rel=0.02)
    now[0] = WINDOW_SECONDS
    summary.observe(1)
    assert summary.quantiles()[-1][1] == pytest.approx(900, rel=0.02)
    now[0] = 2 * WINDOW_SECONDS
    assert summary.quantiles()[-1][1] == pytest.approx(1, rel=0.02)
    now[0] = 5 * WINDOW_SECONDS
    assert summary.quantiles() == []
    assert summary.count == 2


def test_series_beyond_the_limit_are_combined_and_counted() -> None:
    metrics = Metrics(lambda: 0.0, max_series=3)
    for index in range(10):
        metrics.count(names.EJECTIONS, service=f"s{index}")
    assert metrics.value(names.EJECTIONS, service=OTHER) == 7
    assert metrics.value(names.SERIES_DROPPED) == 7


def test_wrong_labels_or_kind_are_rejected() -> None:
    metrics = Metrics(lambda: 0.0)
    with pytest.raises(ValueError, match="requires the label service"):
        metrics.count(names.EJECTIONS, server="x")
    with pytest.raises(ValueError, match="is a counter"):
        metrics.observe(names.EJECTIONS, 1.0, service="x")
    with pytest.raises(ValueError, match="is a counter"):
        metrics.count(names.EJECTIONS, service="x", server="y")


def test_removed_series_is_not_rendered() -> None:
    metrics = Metrics(lambda: 0.0)
    metrics.gauge(names.SERVER_CAP, 3, server="s1")
    metrics.remove(names.SERVER_CAP, server="s1")
    assert b"server_cap" not in metrics.render()


def test_names_are_unique_and_have_help_texts() -> None:
    assert len({metric.name for metric in names.METRICS}) == len(names.METRICS)
    assert all(metric.help for metric in names.METRICS)
