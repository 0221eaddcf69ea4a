"""A registry of counters, gauges and summaries, and its text exposition.

Terms:
  series      one metric with one set of label values
  exposition  the common text format that collectors of metrics read, version 0.0.4

Flow: code on a hot path takes a series once (`counter`, `summary`) and adds to it; other code calls
`count`, `gauge` and `observe`. `render` writes all series, in the order of the closed list of
`metric_names`, with summaries from hdrhistogram.

Recording into hdrhistogram takes microseconds, more than a sub-request may cost, so that a summary
tallies its values by their leading bits and records each tally when quantiles are read. That takes
about a millisecond a series, so that `render_in_steps` lets the event loop work between two.

Guard: a label whose values are without bound (a wrong id used as a service's name) would eat the
memory of the process; it shows as an exposition that grows for ever. A metric holds at most
`MAX_SERIES` series; what comes beyond is folded into one with the label value "other" and counted.
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
# A window lasts as long as a usual collection interval or two; quantiles speak of the last one
# to two windows, so that an incident of an hour ago no longer colours them.
WINDOW_SECONDS: Final = 60.0
_MAX_MICROS: Final = 120_000_000
_PENDING: Final = 512
# The upper bits of a 32-bit float are its exponent and the leading bits of its mantissa; without
# these lower ones, values that differ by less than 0.8% are one, as in a histogram of two digits.
_DROPPED_BITS: Final = 16


_FLOAT: Final = struct.Struct("=f")
_WORD: Final = struct.Struct("=I")


class Counter:
    """One series that only grows."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def add(self, n: float = 1) -> None:
        """Add to the total."""
        self.value += n


class Gauge:
    """One series that is set, or read from a function when it is rendered."""

    __slots__ = ("read", "stored")

    def __init__(self) -> None:
        self.stored = 0.0
        self.read: Callable[[], float] | None = None

    @property
    def value(self) -> float:
        """Return the value now."""
        return self.stored if self.read is None else self.read()


class Summary:
    """One series of durations in milliseconds."""

    __slots__ = ("_current", "_now", "_pending", "_previous", "_tally", "_turned", "count", "total")

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._current: HdrHistogram | None = None
        self._previous: HdrHistogram | None = None
        self._turned = now()
        self._pending = array("f")
        self._tally: Tally[int] = Tally()
        self.count = 0
        self.total = 0.0

    def observe(self, value_ms: float) -> None:
        """Record one duration; below zero counts as zero, above two minutes as two minutes."""
        self._pending.append(value_ms)
        if len(self._pending) >= _PENDING:
            self._tally_pending()

    def quantiles(self) -> list[tuple[float, float]]:
        """Return quantile and milliseconds of the last one to two windows, empty without values."""
        self._tally_pending()
        self._record_tally()
        window = _histogram()
        for part in (self._previous, self._current):
            if part is not None:
                window.add(part)
        if not window.get_total_count():
            return []
        values = window.get_percentile_to_value_dict([q * 100 for q in QUANTILES])
        return [(q, values[q * 100] / 1000) for q in QUANTILES]

    def _tally_pending(self) -> None:
        self._turn()
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

    def _turn(self) -> None:
        age = self._now() - self._turned
        if age < WINDOW_SECONDS:
            return
        self._record_tally()
        self._previous = self._current if age < 2 * WINDOW_SECONDS else None
        self._current = None
        self._turned = self._now()


def _histogram() -> HdrHistogram:
    # Loaded with the first quantiles, and not at the start, which callers wait for.
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(1, _MAX_MICROS, 2)


@functools.cache
def _micros(bits: int) -> int:
    """Return the whole microseconds, in the histogram's range, that upper bits of a float mean."""
    middle = (bits << _DROPPED_BITS) + (1 << _DROPPED_BITS >> 1)
    value_ms: float = _FLOAT.unpack(_WORD.pack(middle))[0]
    if not value_ms > 0:
        return 1
    return max(1, round(min(value_ms * 1000, _MAX_MICROS)))


SeriesKey = tuple[str, ...]
_Call = tuple[Metric | tuple[str, str], ...]
S = TypeVar("S", Counter, Gauge, Summary)


class Metrics:
    """Hold every series of one process."""

    def __init__(
        self, now: Callable[[], float] = time.monotonic, *, max_series: int = MAX_SERIES
    ) -> None:
        self._now = now
        self._max_series = max_series
        self._calls: dict[_Call, Counter] = {}
        self._counters: dict[Metric, dict[SeriesKey, Counter]] = {}
        self._gauges: dict[Metric, dict[SeriesKey, Gauge]] = {}
        self._summaries: dict[Metric, dict[SeriesKey, Summary]] = {}

    def counter(self, metric: Metric, **labels: str) -> Counter:
        """Return one series to add to; take it once and keep it where calls are frequent."""
        family = self._counters.setdefault(metric, {})
        return self._series(metric, MetricKind.COUNTER, family, labels, Counter)

    def summary(self, metric: Metric, **labels: str) -> Summary:
        """Return one series to observe durations in; take it once where calls are frequent."""
        family = self._summaries.setdefault(metric, {})
        return self._series(metric, MetricKind.SUMMARY, family, labels, self._new_summary)

    def count(self, metric: Metric, n: float = 1, **labels: str) -> None:
        """Add to a counter."""
        # The labels in the order of the call find the series without putting them in order.
        call: _Call = (metric, *labels.items())
        series = self._calls.get(call)
        if series is None:
            series = self._calls[call] = self.counter(metric, **labels)
        series.value += n

    def observe(self, metric: Metric, value_ms: float, **labels: str) -> None:
        """Record a duration in milliseconds."""
        self.summary(metric, **labels).observe(value_ms)

    def gauge(self, metric: Metric, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._gauge(metric, labels).stored = value

    def gauge_function(self, metric: Metric, read: Callable[[], float], **labels: str) -> None:
        """Let a gauge be read from a function whenever metrics are rendered."""
        self._gauge(metric, labels).read = read

    def forget(self, metric: Metric, **labels: str) -> None:
        """Drop a series, such as the gauge of a backend server that this VM no longer owns."""
        key = _key(metric, labels)
        self._calls.clear()
        for family in (self._counters, self._gauges, self._summaries):
            family.get(metric, {}).pop(key, None)

    def value(self, metric: Metric, **labels: str) -> float:
        """Return a counter's or gauge's value, 0 where nothing was recorded."""
        key = _key(metric, labels)
        if metric.kind is MetricKind.COUNTER:
            counter = self._counters.get(metric, {}).get(key)
            return counter.value if counter is not None else 0.0
        gauge = self._gauges.get(metric, {}).get(key)
        return gauge.value if gauge is not None else 0.0

    def render(self) -> bytes:
        """Return all series in the text exposition format."""
        return ("\n".join(self._lines()) + "\n").encode()

    async def render_in_steps(self) -> bytes:
        """Return the same as `render`, but let the event loop work after each summary."""
        lines = []
        for line in self._lines():
            lines.append(line)
            if "_count" in line:
                await asyncio.sleep(0)
        return ("\n".join(lines) + "\n").encode()

    def _gauge(self, metric: Metric, labels: dict[str, str]) -> Gauge:
        family = self._gauges.setdefault(metric, {})
        return self._series(metric, MetricKind.GAUGE, family, labels, Gauge)

    def _new_summary(self) -> Summary:
        return Summary(self._now)

    def _series(
        self,
        metric: Metric,
        kind: MetricKind,
        family: dict[SeriesKey, S],
        labels: dict[str, str],
        make: Callable[[], S],
    ) -> S:
        key = _key(metric, labels)
        series = family.get(key)
        if series is not None:
            return series
        if metric.kind is not kind or len(labels) != len(metric.labels):
            raise ValueError(f"{metric.name} is a {metric.kind} with labels {metric.labels}")
        if len(family) >= self._max_series:
            key = tuple(OTHER for _ in metric.labels)
            self.counter(names.SERIES_DROPPED).add()
        return family.setdefault(key, make())

    def _lines(self) -> Iterator[str]:
        for metric in names.METRICS:
            counters = self._counters.get(metric, {})
            gauges = self._gauges.get(metric, {})
            summaries = self._summaries.get(metric, {})
            if not counters and not gauges and not summaries:
                continue
            yield f"# HELP {metric.name} {metric.help}"
            yield f"# TYPE {metric.name} {metric.kind}"
            for key, series in sorted((counters | gauges).items()):
                yield f"{metric.name}{_braces(metric, key)} {_number(series.value)}"
            for key, summary in sorted(summaries.items()):
                yield from _summary_lines(metric, key, summary)


def _key(metric: Metric, labels: dict[str, str]) -> SeriesKey:
    try:
        return tuple([labels[name] for name in metric.labels])
    except KeyError as error:
        raise ValueError(f"{metric.name} needs the label {error.args[0]}") from None


def _braces(metric: Metric, key: SeriesKey, quantile: str = "") -> str:
    pairs = [f'{name}="{_escape(value)}"' for name, value in zip(metric.labels, key, strict=True)]
    if quantile:
        pairs.append(f'quantile="{quantile}"')
    return "{" + ",".join(pairs) + "}" if pairs else ""


def _number(value: float) -> str:
    return str(int(value)) if value == value // 1 else repr(float(value))


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')


def _summary_lines(metric: Metric, key: SeriesKey, summary: Summary) -> Iterator[str]:
    for quantile, value in summary.quantiles():
        yield f"{metric.name}{_braces(metric, key, str(quantile))} {_number(value)}"
    yield f"{metric.name}_sum{_braces(metric, key)} {_number(summary.total)}"
    yield f"{metric.name}_count{_braces(metric, key)} {summary.count}"
