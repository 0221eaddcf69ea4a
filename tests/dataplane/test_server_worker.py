"""Server worker: concurrency limit, dispatch right, draining and cancellation."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import attrs
import pytest

from berylspindle_dataplane.backend import Backend, BackendReport
from berylspindle_dataplane.entry_quarantine import EntryQuarantine
from berylspindle_dataplane.server_worker import RECHECK_SECONDS, ServerWorker
from berylspindle_dataplane.worker_context import QueuedAttempt, WorkerContext
from berylspindle_decisions.concurrency import WarmUpState
from berylspindle_decisions.deadlines import Deadlines
from berylspindle_decisions.fair_queue import FairQueueOptions
from berylspindle_decisions.ownership import DispatchRights, RightLevel
from berylspindle_decisions.quarantine import RunMode
from berylspindle_model.backend_protocol import BackendState
from berylspindle_model.configuration import Server
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import Attempt, AttemptReply
from berylspindle_model.snapshot import Snapshot
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.supervisor import RESTART_MIN_S
from berylspindle_telemetry.timeline import Timeline

SERVER = Server(
    id="s",
    service="lots",
    shard="0",
    data_centre="a",
    host="127.0.0.1",
    port=1,
    slots=3,
    connections=30,
)
WARM = WarmUpState(cap=3, baseline_ms=4.0)


class FakeBackend(Backend):
    """Backend server whose calls the test completes."""

    def __init__(self) -> None:
        self.running: dict[str, asyncio.Future[AttemptReply]] = {}
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.peak = 0
        self.reports: list[BackendReport | Exception] = []

    async def run(self, attempt: Attempt, *, deadline_ms: int) -> AttemptReply:
        future: asyncio.Future[AttemptReply] = asyncio.get_running_loop().create_future()
        self.running[attempt.id] = future
        self.started.append(attempt.id)
        self.peak = max(self.peak, len(self.running))
        try:
            return await future
        except asyncio.CancelledError:
            self.cancelled.append(attempt.id)
            raise
        finally:
            del self.running[attempt.id]

    async def report(self) -> BackendReport | None:
        report = self.reports.pop(0) if self.reports else None
        if isinstance(report, Exception):
            raise report
        return report

    async def close(self) -> None:
        pass

    def end(self, attempt_id: str, **fields: object) -> None:
        reply = AttemptReply(attempt=attempt_id, server="s", shard="0", snapshot=Snapshot(1, 1))
        self.running[attempt_id].set_result(attrs.evolve(reply, **fields))  # type: ignore[arg-type]


class FakeRights(DispatchRights):
    """Dispatch rights set by the test."""

    def __init__(self) -> None:
        self.current_level = RightLevel.HELD
        self.starts_at = 0.0

    def level(self, server_id: str, now: float) -> RightLevel:
        return self.current_level

    def usable_from(self, server_id: str) -> float:
        return self.starts_at


class WorkerHarness:
    """Worker with its fakes."""

    def __init__(self, trust: WarmUpState | None, backend: FakeBackend, rights: FakeRights) -> None:
        self.backend = backend
        self.rights = rights
        self.replies: dict[str, AttemptReply] = {}
        context = WorkerContext(
            rights=rights,
            metrics=Metrics(),
            timeline=Timeline("vm"),
            now=asyncio.get_running_loop().time,
            deadlines=Deadlines(),
            queue=FairQueueOptions(max_entries=8),
        )
        self.worker = ServerWorker(SERVER, backend, context, trust)

    def submit(
        self,
        attempt_id: str,
        *,
        key: str | None = None,
        seconds: float = 60.0,
        fingerprint: str = "",
        is_canary: bool = False,
        limit: int = 11,
    ) -> None:
        now = asyncio.get_running_loop().time()
        attempt = Attempt(
            id=attempt_id,
            request_id="r",
            server="s",
            service="lots",
            shard="0",
            execute_key=key,
            limit=limit,
        )

        def on_reply(reply: AttemptReply) -> None:
            assert attempt_id not in self.replies
            self.replies[attempt_id] = reply

        self.worker.submit(
            QueuedAttempt(attempt, "c", now + seconds, on_reply, now, fingerprint, is_canary)
        )

    def kinds(self) -> dict[str, ErrorKind | None]:
        return {name: reply.error for name, reply in self.replies.items()}


async def run_loop(count: int = 5) -> None:
    """Run pending tasks for some loop iterations."""
    for _ in range(count):
        await asyncio.sleep(0)


MakeHarness = Callable[..., WorkerHarness]


@pytest.fixture
async def make() -> AsyncIterator[MakeHarness]:
    harnesses: list[WorkerHarness] = []

    def make_harness(trust: WarmUpState | None = WARM) -> WorkerHarness:
        harness = WorkerHarness(trust, FakeBackend(), FakeRights())
        harnesses.append(harness)
        return harness

    yield make_harness
    for harness in harnesses:
        await harness.worker.close()


async def test_a_cold_server_gets_one_request_at_a_time(make: MakeHarness) -> None:
    """Guards against overloading a cold server.

    Six attempts arrive at once at a new owner without state of the server. A warm server would
    use all of its slots.
    """
    harness = make(None)
    for number in range(6):
        harness.submit(f"a{number}")
    for number in range(6):
        await run_loop()
        assert list(harness.backend.running) == [f"a{number}"]
        harness.backend.end(f"a{number}")
    await run_loop()
    assert harness.backend.peak == 1
    assert harness.kinds() == {f"a{number}": None for number in range(6)}


async def test_a_warm_server_uses_all_its_slots(make: MakeHarness) -> None:
    harness = make()
    for number in range(6):
        harness.submit(f"a{number}")
    await run_loop()
    assert len(harness.backend.running) == 3


async def test_a_lost_connection_resets_the_server_to_the_cold_limit(make: MakeHarness) -> None:
    """Guards against overloading a server that restarted cold after a crash.

    Three attempts are running when their connections break together; three more are queued.
    """
    harness = make()
    for number in range(6):
        harness.submit(f"a{number}")
    await run_loop()
    for number in range(3):
        harness.backend.end(
            f"a{number}", error=ErrorKind.CONNECTION_LOST, run=RunState.MAY_HAVE_RUN
        )
    await run_loop()
    assert len(harness.backend.running) == 1


async def test_nothing_is_dispatched_without_the_right(make: MakeHarness) -> None:
    """Guards against two VMs sending to one server, each up to the limit.

    This VM was paused; meanwhile its right lapsed and another VM became the owner.
    """
    harness = make()
    harness.submit("a0")
    await run_loop()
    harness.rights.current_level = RightLevel.NONE
    harness.submit("a1")
    await run_loop()
    assert harness.backend.started == ["a0"]
    assert harness.kinds() == {"a1": ErrorKind.NOT_OWNER}
    assert harness.replies["a1"].run is RunState.NOT_RUN


async def test_a_degraded_right_uses_half_a_warm_server_and_no_cold_server(
    make: MakeHarness,
) -> None:
    warm, cold = make(), make(None)
    for harness in (warm, cold):
        harness.rights.current_level = RightLevel.DEGRADED
        for number in range(3):
            harness.submit(f"a{number}")
    await run_loop()
    assert len(warm.backend.running) == 1
    assert cold.backend.started == []


async def test_queued_attempts_are_refused_when_the_data_centre_is_taken_out(
    make: MakeHarness,
) -> None:
    """Guards against work from the queue in a data centre that was taken out.

    Three attempts run and three are queued when the data centre is taken out. The running ones
    finish; the queued ones are refused as NOT_RUN, so that the entry can send them elsewhere.
    """
    harness = make()
    for number in range(6):
        harness.submit(f"a{number}")
    await run_loop()
    harness.worker.set_refusal(ErrorKind.DATA_CENTRE_OUT)
    assert harness.kinds() == {f"a{number}": ErrorKind.DATA_CENTRE_OUT for number in (3, 4, 5)}
    assert all(reply.run is RunState.NOT_RUN for reply in harness.replies.values())
    for number in range(3):
        harness.backend.end(f"a{number}")
    await run_loop()
    assert harness.kinds()["a0"] is None
    assert len(harness.backend.started) == 3


async def test_draining_is_noticed_after_a_report_that_raises_an_unexpected_error(
    make: MakeHarness,
) -> None:
    """Guard against a server that goes on getting work while it leaves, as nobody reads reports."""
    harness = make()
    harness.backend.reports = [RuntimeError("x"), BackendReport(state=BackendState.DRAINING)]
    await asyncio.sleep(2 * RESTART_MIN_S)
    harness.submit("late")
    await run_loop()
    assert harness.kinds() == {"late": ErrorKind.SERVER_LEAVING}


async def test_a_draining_server_gets_no_new_attempts(make: MakeHarness) -> None:
    """Guards against new attempts at a server that is about to stop.

    It refuses one attempt because it is draining; two more are queued.
    """
    harness = make(None)
    for number in range(3):
        harness.submit(f"a{number}")
    await run_loop()
    harness.backend.end("a0", error=ErrorKind.SERVER_LEAVING, run=RunState.NOT_RUN)
    await run_loop()
    assert harness.kinds() == dict.fromkeys(("a0", "a1", "a2"), ErrorKind.SERVER_LEAVING)
    harness.submit("a3")
    assert harness.kinds()["a3"] is ErrorKind.SERVER_LEAVING
    assert harness.backend.started == ["a0"]


async def test_cancelling_frees_a_slot_of_a_warm_server(make: MakeHarness) -> None:
    harness = make()
    for number in range(4):
        harness.submit(f"a{number}")
    await run_loop()
    assert harness.worker.cancel("a1")
    await run_loop()
    assert harness.backend.cancelled == ["a1"]
    assert "a3" in harness.backend.running
    assert "a1" not in harness.replies


async def test_cancelling_at_a_cold_server_keeps_its_slot(make: MakeHarness) -> None:
    """Guards against two concurrent requests at a cold server.

    The first attempt is cancelled because its hedge won. The server notices a closed connection
    only when it writes to it, and would work on both for a while.
    """
    harness = make(None)
    harness.submit("a0")
    harness.submit("a1")
    await run_loop()
    harness.worker.cancel("a0")
    await run_loop()
    assert list(harness.backend.running) == ["a0"]
    harness.backend.end("a0")
    await run_loop()
    assert list(harness.backend.running) == ["a1"]
    assert "a0" not in harness.replies


async def test_a_non_repeatable_attempt_is_never_cancelled(make: MakeHarness) -> None:
    """Guards against an execute with an unknown outcome.

    Its caller disconnects while the backend server works on it.
    """
    harness = make()
    harness.submit("a0", key="hold-1")
    await run_loop()
    harness.worker.cancel("a0")
    await run_loop()
    assert harness.backend.cancelled == []


async def test_an_attempt_that_misses_its_deadline_in_the_queue_is_refused(
    make: MakeHarness,
) -> None:
    harness = make(None)
    harness.submit("a0")
    await run_loop()
    harness.submit("a1", seconds=0.001)
    assert harness.kinds() == {"a1": ErrorKind.DEADLINE_EXCEEDED}
    assert harness.replies["a1"].run is RunState.NOT_RUN


async def test_searches_on_a_crashing_server_are_not_quarantined(make: MakeHarness) -> None:
    """Guards against quarantining two searches that were running when a server crashed by itself.

    Each loss must be reported as one of two; otherwise the second search appears to have been alone
    at the server when it crashed.
    """
    harness = make()
    harness.submit("one", fingerprint="lot 1")
    harness.submit("two", fingerprint="lot 2")
    await run_loop()
    for name in ("one", "two"):
        harness.backend.end(name, error=ErrorKind.CONNECTION_LOST, run=RunState.MAY_HAVE_RUN)
        await run_loop()
    assert [harness.replies[name].lost_together for name in ("one", "two")] == [2, 2]
    assert [harness.replies[name].loss_event for name in ("one", "two")] == [1, 1]
    entry = EntryQuarantine(Timeline("entry"))
    for fingerprint, name in (("lot 1", "one"), ("lot 2", "two")):
        entry.record_reply(1.0, fingerprint, harness.replies[name])
        assert entry.decide(2.0, fingerprint) is RunMode.CANARY
    entry.record_reply(2.1, "lot 1", AttemptReply(attempt="three", server="t", shard="0"))
    assert entry.decide(2.2, "lot 1") is RunMode.PLAIN


async def test_an_owner_refuses_a_request_that_crashed_its_server(make: MakeHarness) -> None:
    """Guards against a crashing search that is sent through a VM without a record of it.

    The owner has lost its server to the search. It refuses the search as NOT_RUN, unless the entry
    marks it as a canary, which queries this shard only.
    """
    harness = make()
    harness.submit("first", fingerprint="bad")
    await run_loop()
    harness.backend.end("first", error=ErrorKind.CONNECTION_LOST, run=RunState.MAY_HAVE_RUN)
    await run_loop()
    harness.submit("plain", fingerprint="bad")
    harness.submit("canary", fingerprint="bad", is_canary=True)
    harness.submit("other", fingerprint="good")
    await run_loop()
    assert harness.replies["plain"].error is ErrorKind.QUARANTINED
    assert harness.replies["plain"].run is RunState.NOT_RUN
    assert "plain" not in harness.backend.started
    assert "canary" in harness.backend.started


async def test_attempts_for_a_cold_server_are_refused_under_an_unconfirmed_right(
    make: MakeHarness,
) -> None:
    """Guards against a shard missing at the deadline although two other replicas were free.

    A network partition separates the VM from those that confirm its right, and its server is cold,
    so it must not dispatch. One attempt is queued when the right degrades and one arrives later;
    both must be refused as NOT_RUN at once.
    """
    harness = make(None)
    harness.submit("runs")
    harness.submit("waits")
    await run_loop()
    assert harness.backend.started == ["runs"]
    harness.rights.current_level = RightLevel.DEGRADED
    harness.submit("comes")
    await asyncio.sleep(3 * RECHECK_SECONDS)
    assert harness.kinds() == {"comes": ErrorKind.NOT_OWNER, "waits": ErrorKind.NOT_OWNER}
    assert {reply.run for reply in harness.replies.values()} == {RunState.NOT_RUN}
    assert harness.backend.started == ["runs"]


async def test_deep_pages_leave_a_slot_for_short_requests(make: MakeHarness) -> None:
    """Guards against deep pages that block all other searches.

    Three deep pages arrive before two ordinary searches at a server with three slots. At most two
    deep pages run concurrently; the third slot is reserved for short requests.
    """
    harness = make()
    for number in range(3):
        harness.submit(f"deep{number}", limit=1000)
    harness.submit("short0")
    harness.submit("short1")
    await run_loop()
    assert sorted(harness.backend.running) == ["deep0", "deep1", "short0"]
    harness.backend.end("short0")
    await run_loop()
    assert "short1" in harness.backend.running
    harness.backend.end("deep0")
    await run_loop()
    assert "deep2" in harness.backend.running
