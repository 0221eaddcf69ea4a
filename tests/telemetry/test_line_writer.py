"""Log lines when the reader of the log is slow, stopped or gone."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections.abc import Iterator

import pytest

from berylspindle_telemetry.clock import HybridClock
from berylspindle_telemetry.line_writer import LineWriter
from berylspindle_telemetry.logs import log_context, logger
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
    data_read = b""
    try:
        while data := os.read(descriptor, 65536):
            data_read += data
    except BlockingIOError:
        pass
    return data_read


async def test_stopped_reader_does_not_block_and_dropped_lines_are_counted(
    pipe: tuple[int, int],
) -> None:
    """Guard against requests that stall because the log collector has stopped reading.

    A pipe holds 64 KB; a blocking write beyond that would block the thread of the event loop.
    """
    read_end, write_end = pipe
    metrics = Metrics()
    writer = LineWriter(write_end, capacity=100_000)
    with log_context(
        log_format="json", vm="vm1", metrics=metrics, writer=writer, clock=HybridClock()
    ):
        log = logger("request")
        started = time.monotonic()
        for number in range(1000):
            log.info("refused", extra={"request": f"id-{number}", "steps": "x" * 500})
            if number % 50 == 0:
                await asyncio.sleep(0.005)
        assert time.monotonic() - started < 2.0
        await asyncio.sleep(0.15)
        exposition = metrics.render().decode()
        dropped = next(line for line in exposition.splitlines() if "log_dropped_total{" in line)
        assert 'channel="request"' in dropped
        count = int(float(dropped.split()[-1]))
        assert 600 < count < 900
        first = read_all(read_end)
        # After the reader resumes, the backlog is written, then the number of dropped lines.
        while writer.backlog:
            await asyncio.sleep(0.1)
            first += read_all(read_end)
        log.info("late", extra={"request": "last"})
        await asyncio.sleep(0.25)
        rest = [json.loads(line) for line in read_all(read_end).splitlines()]
    lines = [json.loads(line) for line in first.splitlines()] + rest
    names = [line.get("request", "") for line in lines]
    numbers = [int(name.removeprefix("id-")) for name in names if name.startswith("id-")]
    notices = [int(line["lines"]) for line in lines if line["message"] == "lines dropped"]
    assert numbers == sorted(numbers)
    assert len(numbers) == 1000 - count
    assert sum(notices) == count
    assert rest[-1]["request"] == "last"


async def test_closed_reader_raises_no_error(pipe: tuple[int, int]) -> None:
    read_end, write_end = pipe
    writer = LineWriter(write_end)
    os.close(read_end)
    with log_context(log_format="json", writer=writer):
        logger("request").info("one")
        await asyncio.sleep(0.15)
        assert not writer.put("two")


def test_backlog_is_written_on_exit_and_stamps_increase(pipe: tuple[int, int]) -> None:
    read_end, write_end = pipe
    with log_context(
        log_format="json", vm="vm1", writer=LineWriter(write_end), clock=HybridClock()
    ):
        for number in range(20):
            logger("daemon").info(f"line {number}")
    lines = [json.loads(line) for line in read_all(read_end).splitlines()]
    assert [line["message"] for line in lines] == [f"line {n}" for n in range(20)]
    stamps = [line["stamp"] for line in lines]
    assert stamps == sorted(set(stamps))
