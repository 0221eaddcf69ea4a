"""The call log holds the events at the servers in order."""

from __future__ import annotations

import asyncio

import pytest

from berylspindle_model.backend_protocol import SearchCall
from berylspindle_model.snapshot import Snapshot
from berylspindle_standins.backend_faults import BackendOptions
from berylspindle_standins.backend_server import BackendServer, ServerDownError
from berylspindle_standins.call_log import CallLog, CallStep
from berylspindle_standins.deployments import small


def search(attempt: str) -> SearchCall:
    return SearchCall(attempt=attempt, service="lots", shard="0", query=f"q-{attempt}", limit=3)


async def test_calls_and_a_crash_are_logged_in_order() -> None:
    """Guard against a checker attributing a crash to the system that the system did not cause.

    A second call arrives at a cold server while the first runs: the log must hold the first call,
    the overrun by the second, and the crash, in this order.
    """
    log = CallLog()
    options = BackendOptions(mean_ms=20.0, sigma=0.0, warm_after=5)
    server = BackendServer(small().servers[0], options, snapshot=Snapshot(1, 1), log=log)
    first = asyncio.create_task(server.search(search("a"), 1.0))
    await asyncio.sleep(0)
    with pytest.raises(ServerDownError):
        await server.search(search("b"), 1.0)
    await first
    steps = [(logged.step, logged.attempt, logged.cold) for logged in log.document().steps]
    assert steps == [
        (CallStep.ADMITTED, "a", True),
        (CallStep.STARTED, "a", True),
        (CallStep.OVERRUN, "b", True),
        (CallStep.CRASHED, "", True),
        (CallStep.FINISHED, "a", True),
    ]


def test_a_full_log_reports_the_number_of_dropped_steps() -> None:
    log = CallLog(max_steps=2)
    for number in range(5):
        log.add("lots-0-0", CallStep.STARTED, attempt=str(number))
    document = log.document()
    assert (document.dropped, [logged.attempt for logged in document.steps]) == (3, ["3", "4"])
