"""Provide a registry of counters, gauges and summaries, and its text exposition.

Terms:
  series      one metric with one set of label values
  exposition  the Prometheus text format, version 0.0.4

Flow: code on a hot path obtains a series once (`counter`, `summary`) and updates it directly; other
code calls `count`, `gauge` and `observe`. `render` writes all series in the order of
`metric_names.METRICS`, with quantiles from hdrhistogram.

Recording a value in hdrhistogram takes microseconds, which is too slow for each sub-request. A
summary therefore tallies values by their leading bits, and adds the tallies to the histogram when
quantiles are read. This takes about a millisecond per series, so `render_in_steps` yields to the
event loop after each summary.

Guard: a label with unbounded values (such as an id used as a service name by mistake) would let the
exposition and the memory of the process grow without limit. A metric has at most `MAX_SERIES`
series; further label values are counted in one series with the label value "other".
"""

from __future__ import annotations

import asyncio
import functools
import struct
import time
from array import array
from collections import Counter as Tally
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Final, TypeVar

from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metric_names import Metric, MetricKind

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
MAX_SERIES: Final = 2000
OTHER: Final = "other"
QUANTILES: Final = (0.5, 0.9, 0.99, 0.999)
# One or two usual collection intervals. Quantiles cover the last one to two windows, so that past
# incidents do not affect them.
WINDOW_SECONDS: Final = 60.0
_MAX_MICROS: Final = 120_000_000
_MAX_PENDING: Final = 512
# The upper bits of a 32-bit float are its exponent and the leading bits of its mantissa. Without
# the lower bits, values that differ by less than 0.8% are equal, the precision of a histogram with
# two significant digits.
_DROPPED_BITS: Final = 16


_FLOAT: Final = struct.Struct("=f")
_WORD: Final = struct.Struct("=I")


class Counter:
    """Series that only increases."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def add(self, n: float = 1) -> None:
        """Add to the value."""
        self.value += n


class Gauge:
    """Series that is set, or read from a function when it is rendered."""

    __slots__ = ("read", "stored")

    def __init__(self) -> None:
        self.stored = 0.0
        self.read: Callable[[], float] | None = None

    @property
    def value(self) -> float:
        """Return the result of `read` if it is set, else the stored value."""
        return self.stored if self.read is None else self.read()


class Summary:
    """Series of durations in milliseconds."""

    __slots__ = (
        "_current",
        "_now",
        "_pending",
        "_previous",
        "_tally",
        "_window_start",
        "count",
        "total",
    )

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._current: HdrHistogram | None = None
        self._previous: HdrHistogram | None = None
        self._window_start = now()
        self._pending = array("f")
        self._tally: Tally[int] = Tally()
        self.count = 0
        self.total = 0.0

    def observe(self, value_ms: float) -> None:
        """Record one duration; in quantiles it is clamped to the range of 1 us to 2 minutes."""
        self._pending.append(value_ms)
        if len(self._pending) >= _MAX_PENDING:
            self._tally_pending()

    def quantiles(self) -> list[tuple[float, float]]:
        """Return pairs of quantile and milliseconds over the last one to two windows.

        The list is empty without values.
        """
        self._tally_pending()
        self._record_tally()
        window = _histogram()
        for histogram in (self._previous, self._current):
            if histogram is not None:
                window.add(histogram)
        if not window.get_total_count():
            return []
        values = window.get_percentile_to_value_dict([q * 100 for q in QUANTILES])
        return [(q, values[q * 100] / 1000) for q in QUANTILES]

    def _tally_pending(self) -> None:
        self._rotate_window()
        pending, self._pending = self._pending, array("f")
        self.count += len(pending)
        self.total += sum(pending)
        words = memoryview(pending).cast("B").cast("I")
        self._tally.update([word >> _DROPPED_BITS for word in words])

    def _record_tally(self) -> None:
        tally, self._tally = self._tally, Tally()
        if self._current is None:
            self._current = _histogram()
        for bits, n in tally.items():
            self._current.record_value(_micros(bits), n)

    def _rotate_window(self) -> None:
        age = self._now() - self._window_start
        if age < WINDOW_SECONDS:
            return
        self._record_tally()
        self._previous = self._current if age < 2 * WINDOW_SECONDS else None
        self._current = None
        self._window_start = self._now()


def _histogram() -> HdrHistogram:
    # Imported on first use: at start-up it would delay the first requests.
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(1, _MAX_MICROS, 2)


@functools.cache
def _micros(bits: int) -> int:
    """Return the microseconds for the upper bits of a float, within the histogram's range."""
    midpoint = (bits << _DROPPED_BITS) + (1 << _DROPPED_BITS >> 1)
    value_ms: float = _FLOAT.unpack(_WORD.pack(midpoint))[0]
    if not value_ms > 0:
        return 1
    return max(1, round(min(value_ms * 1000, _MAX_MICROS)))


SeriesKey = tuple[str, ...]
_CallKey = tuple[Metric | tuple[str, str], ...]
S = TypeVar("S", Counter, Gauge, Summary)


class Metrics:
    """Registry of all series of one process."""

    def __init__(
        self, now: Callable[[], float] = time.monotonic, *, max_series: int = MAX_SERIES
    ) -> None:
        self._now = now
        self._max_series = max_series
        self._counters_by_call: dict[_CallKey, Counter] = {}
        self._counters: dict[Metric, dict[SeriesKey, Counter]] = {}
        self._gauges: dict[Metric, dict[SeriesKey, Gauge]] = {}
        self._summaries: dict[Metric, dict[SeriesKey, Summary]] = {}

    def counter(self, metric: Metric, **labels: str) -> Counter:
        """Return a counter series; on hot paths obtain it once and keep it."""
        family = self._counters.setdefault(metric, {})
        return self._get_series(metric, MetricKind.COUNTER, family, labels, Counter)

    def summary(self, metric: Metric, **labels: str) -> Summary:
        """Return a summary series; on hot paths obtain it once and keep it."""
        family = self._summaries.setdefault(metric, {})
        return self._get_series(metric, MetricKind.SUMMARY, family, labels, self._new_summary)

    def count(self, metric: Metric, n: float = 1, **labels: str) -> None:
        """Add `n` to a counter series."""
        # Keyed by the labels in the order of the call, which saves sorting them.
        call: _CallKey = (metric, *labels.items())
        series = self._counters_by_call.get(call)
        if series is None:
            series = self._counters_by_call[call] = self.counter(metric, **labels)
        series.value += n

    def observe(self, metric: Metric, value_ms: float, **labels: str) -> None:
        """Record a duration, in milliseconds, in a summary series."""
        self.summary(metric, **labels).observe(value_ms)

    def gauge(self, metric: Metric, value: float, **labels: str) -> None:
        """Set the value of a gauge series, unless `gauge_function` provides it."""
        self._get_gauge(metric, labels).stored = value

    def gauge_function(self, metric: Metric, read: Callable[[], float], **labels: str) -> None:
        """Read a gauge from a function whenever metrics are rendered."""
        self._get_gauge(metric, labels).read = read

    def remove(self, metric: Metric, **labels: str) -> None:
        """Remove a series, such as the gauge of a backend server that this VM no longer owns."""
        key = _series_key(metric, labels)
        self._counters_by_call.clear()
        for family in (self._counters, self._gauges, self._summaries):
            family.get(metric, {}).pop(key, None)

    def value(self, metric: Metric, **labels: str) -> float:
        """Return the value of a counter or gauge, 0 if nothing was recorded."""
        key = _series_key(metric, labels)
        if metric.kind is MetricKind.COUNTER:
            counter = self._counters.get(metric, {}).get(key)
            return counter.value if counter is not None else 0.0
        gauge = self._gauges.get(metric, {}).get(key)
        return gauge.value if gauge is not None else 0.0

    def render(self) -> bytes:
        """Return all series in the text exposition format."""
        return ("\n".join(self._render_lines()) + "\n").encode()

    async def render_in_steps(self) -> bytes:
        """Return the same as `render`, but yield to the event loop after each summary."""
        lines = []
        for line in self._render_lines():
            lines.append(line)
            if "_count" in line:
                await asyncio.sleep(0)
        return ("\n".join(lines) + "\n").encode()

    def _get_gauge(self, metric: Metric, labels: dict[str, str]) -> Gauge:
        family = self._gauges.setdefault(metric, {})
        return self._get_series(metric, MetricKind.GAUGE, family, labels, Gauge)

    def _new_summary(self) -> Summary:
        return Summary(self._now)

    def _get_series(
        self,
        metric: Metric,
        kind: MetricKind,
        family: dict[SeriesKey, S],
        labels: dict[str, str],
        make: Callable[[], S],
    ) -> S:
        key = _series_key(metric, labels)
        series = family.get(key)
        if series is not None:
            return series
        if metric.kind is not kind or len(labels) != len(metric.labels):
            raise ValueError(f"{metric.name} is a {metric.kind} with the labels {metric.labels}")
        if len(family) >= self._max_series:
            key = tuple(OTHER for _ in metric.labels)
            self.counter(names.SERIES_DROPPED).add()
        return family.setdefault(key, make())

    def _render_lines(self) -> Iterator[str]:
        for metric in names.METRICS:
            counters = self._counters.get(metric, {})
            gauges = self._gauges.get(metric, {})
            summaries = self._summaries.get(metric, {})
            if not counters and not gauges and not summaries:
                continue
            yield f"# HELP {metric.name} {metric.help}"
            yield f"# TYPE {metric.name} {metric.kind}"
            for key, series in sorted((counters | gauges).items()):
                yield f"{metric.name}{_format_labels(metric, key)} {_format_number(series.value)}"
            for key, summary in sorted(summaries.items()):
                yield from _render_summary(metric, key, summary)


def _series_key(metric: Metric, labels: dict[str, str]) -> SeriesKey:
    try:
        return tuple([labels[name] for name in metric.labels])
    except KeyError as error:
        raise ValueError(f"{metric.name} requires the label {error.args[0]}") from None


def _format_labels(metric: Metric, key: SeriesKey, quantile: str = "") -> str:
    pairs = [f'{name}="{_escape(value)}"' for name, value in zip(metric.labels, key, strict=True)]
    if quantile:
        pairs.append(f'quantile="{quantile}"')
    return "{" + ",".join(pairs) + "}" if pairs else ""


def _format_number(value: float) -> str:
    return str(int(value)) if value == value // 1 else repr(float(value))


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')


def _render_summary(metric: Metric, key: SeriesKey, summary: Summary) -> Iterator[str]:
    for quantile, value in summary.quantiles():
        yield f"{metric.name}{_format_labels(metric, key, str(quantile))} {_format_number(value)}"
    yield f"{metric.name}_sum{_format_labels(metric, key)} {_format_number(summary.total)}"
    yield f"{metric.name}_count{_format_labels(metric, key)} {summary.count}"
