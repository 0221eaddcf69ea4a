"""The log's lines, and a reader that stops."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections.abc import Iterator

import pytest

from berylspindle_telemetry.clock import HybridClock
from berylspindle_telemetry.line_writer import LineWriter
from berylspindle_telemetry.logs import logger, logs_to
from berylspindle_telemetry.metrics import Metrics


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    ends = os.pipe()
    yield ends
    for end in ends:
        try:
            os.close(end)
        except OSError:
            pass


def read_all(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    found = b""
    try:
        while data := os.read(descriptor, 65536):
            found += data
    except BlockingIOError:
        pass
    return found


async def test_a_reader_that_stops_costs_no_time_and_its_lines_are_counted(
    pipe: tuple[int, int],
) -> None:
    """Callers get no answer, for the collector of the log has stopped reading.

    A pipe holds 64 KB. A write beyond that waits until the reader reads on; on the loop's own
    thread it keeps all requests waiting with it.
    """
    reading, writing = pipe
    metrics = Metrics()
    writer = LineWriter(writing, capacity=100_000)
    with logs_to(form="json", vm="vm1", metrics=metrics, writer=writer, clock=HybridClock()):
        log = logger("request")
        began = time.monotonic()
        for number in range(1000):
            log.info("refused", extra={"request": f"id-{number}", "steps": "x" * 500})
            if number % 50 == 0:
                await asyncio.sleep(0.005)
        assert time.monotonic() - began < 2.0
        await asyncio.sleep(0.15)
        exposed = metrics.render().decode()
        dropped = next(line for line in exposed.splitlines() if "log_dropped_total{" in line)
        assert 'channel="request"' in dropped
        count = int(float(dropped.split()[-1]))
        assert 600 < count < 900
        first = read_all(reading)
        # The backlog goes out once the reader is back; then comes what was dropped.
        while writer.backlog:
            await asyncio.sleep(0.1)
            first += read_all(reading)
        log.info("late", extra={"request": "last"})
        await asyncio.sleep(0.25)
        rest = [json.loads(line) for line in read_all(reading).splitlines()]
    told = [json.loads(line) for line in first.splitlines()] + rest
    names = [line.get("request", "") for line in told]
    numbers = [int(name.removeprefix("id-")) for name in names if name.startswith("id-")]
    notices = [int(line["lines"]) for line in told if line["message"] == "lines dropped"]
    assert numbers == sorted(numbers)
    assert len(numbers) == 1000 - count
    assert sum(notices) == count
    assert rest[-1]["request"] == "last"


async def test_a_reader_that_is_gone_ends_nothing(pipe: tuple[int, int]) -> None:
    reading, writing = pipe
    writer = LineWriter(writing)
    os.close(reading)
    with logs_to(form="json", writer=writer):
        logger("request").info("one")
        await asyncio.sleep(0.15)
        assert not writer.put("two")


def test_the_last_lines_of_a_process_are_written_and_stamps_grow(pipe: tuple[int, int]) -> None:
    reading, writing = pipe
    with logs_to(form="json", vm="vm1", writer=LineWriter(writing), clock=HybridClock()):
        for number in range(20):
            logger("daemon").info(f"line {number}")
    lines = [json.loads(line) for line in read_all(reading).splitlines()]
    assert [line["message"] for line in lines] == [f"line {n}" for n in range(20)]
    stamps = [line["stamp"] for line in lines]
    assert stamps == sorted(set(stamps))
