"""Test a VM whose entries or long-lived tasks raise unexpected errors."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from forward_site import until
from watcher_fleet import Reader, SharedStore, VmStore

from berylspindle_forwarding.catalogue_changes import Change
from berylspindle_forwarding.forward_options import ForwardOptions
from berylspindle_forwarding.forwarder import Forwarder, open_forwarder
from berylspindle_store.store import StoredValue
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.supervisor import RESTART_MIN_S, TaskEndedError, keep_running

IN_FORCE_S = 3.0


class FaultyReader(Reader):
    """Raise an unexpected error for `replicas/bad`."""

    def decode(self, entry: StoredValue) -> Change:
        if entry.key == "replicas/bad":
            raise RuntimeError("unexpected")
        return super().decode(entry)


class FailingOnce:
    """Raise an error at the first calls of a function."""

    def __init__(self, function, failures: int = 1) -> None:
        self.function = function
        self.failures = failures

    def __call__(self, *args):
        self.failures -= 1
        if self.failures >= 0:
            raise RuntimeError("unexpected")
        return self.function(*args)


@asynccontextmanager
async def open_vm() -> AsyncIterator[tuple[SharedStore, Forwarder, Metrics]]:
    """Start a VM that follows a store alone, and wait until it is ready."""
    async with AsyncExitStack() as stack:
        shared, metrics = SharedStore(), Metrics()
        shared.put("table", b"")
        forwarder = await open_forwarder(
            ForwardOptions(vm="vm-0", data_centre="a"),
            store=VmStore(shared, "vm-0"),
            reader=FaultyReader(),
            metrics=metrics,
            stack=stack,
        )
        await until(lambda: forwarder.readiness_refusal() is None)
        yield shared, forwarder, metrics


async def test_entry_that_raises_an_unexpected_error_is_skipped() -> None:
    """Guard against one entry that stops a VM from following the store."""
    async with open_vm() as (shared, forwarder, metrics):
        shared.put("replicas/bad", b"")
        shared.put("replicas/i-1", b"")
        shared.put("table", b"")
        await until(lambda: forwarder.table_version == shared.revision, IN_FORCE_S)
        assert len(forwarder.registry) == 1
        assert forwarder.readiness_refusal() is None
        assert metrics.counter(names.FAULTY_ENTRIES).value >= 1


async def test_change_that_cannot_be_applied_affects_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against an entry whose effect fails and stops a VM from following the store."""
    async with open_vm() as (shared, forwarder, _):
        monkeypatch.setattr(forwarder.registry, "put", FailingOnce(forwarder.registry.put))
        shared.put("replicas/i-1", b"")
        shared.put("replicas/i-1", b"again")
        shared.put("table", b"")
        await until(lambda: forwarder.table_version == shared.revision, IN_FORCE_S)
        assert len(forwarder.registry) == 1


async def test_vm_that_stops_following_the_store_is_not_ready_until_it_lists_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a ready VM that serves by an old version for good."""
    async with open_vm() as (shared, forwarder, metrics):
        diverted: list[bool] = []
        forwarder.on_divert = diverted.append
        failing = FailingOnce(forwarder.registry.set_table, failures=3)
        monkeypatch.setattr(forwarder.registry, "set_table", failing)
        shared.put("table", b"")
        await until(lambda: forwarder.readiness_refusal() is not None, IN_FORCE_S)
        assert diverted == [True]
        await until(lambda: forwarder.readiness_refusal() is None, IN_FORCE_S)
        assert forwarder.table_version == shared.revision
        assert diverted[-1] is False
        assert metrics.counter(names.TASK_FAILURES, task="catalogue").value == 3


async def test_vm_whose_tasks_have_ended_is_not_ready(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a ready VM that follows nothing, since the report of a failure failed."""
    async with open_vm() as (shared, forwarder, _):
        for target, name in ((forwarder.registry, "set_table"), (forwarder, "_on_task_failure")):
            failing = FailingOnce(getattr(target, name), failures=100)
            monkeypatch.setattr(target, name, failing)
        shared.put("table", b"")
        await until(lambda: forwarder.readiness_refusal() is not None, IN_FORCE_S)
        await asyncio.sleep(4 * RESTART_MIN_S)
        assert forwarder.readiness_refusal() is not None


async def test_failed_task_is_started_again_and_affects_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against an error in one task that cancels the one that follows the store."""
    async with open_vm() as (shared, forwarder, metrics):
        updates = FailingOnce(forwarder._isolation_monitor._update)
        monkeypatch.setattr(forwarder._isolation_monitor, "_update", updates)
        await until(lambda: updates.failures < -1, IN_FORCE_S)
        assert forwarder.readiness_refusal() is None
        shared.put("table", b"")
        await until(lambda: forwarder.table_version == shared.revision, IN_FORCE_S)
        assert metrics.counter(names.TASK_FAILURES, task="isolation monitor").value == 1


async def test_task_that_ends_is_a_failure() -> None:
    """Guard against a long-lived task that returns, which nobody awaits."""
    errors: list[Exception] = []

    async def end() -> None:
        await asyncio.sleep(0)

    with pytest.raises(TimeoutError):
        async with asyncio.timeout(4 * RESTART_MIN_S):
            await keep_running(end, errors.append)
    assert len(errors) >= 2
    assert all(isinstance(error, TaskEndedError) for error in errors)


async def test_cancellation_of_an_awaited_future_is_a_failure() -> None:
    """Guard against a task that ends as if it were cancelled, which a task group ignores."""
    errors: list[Exception] = []

    async def await_cancelled() -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        future.cancel()
        await future

    with pytest.raises(TimeoutError):
        async with asyncio.timeout(4 * RESTART_MIN_S):
            await keep_running(await_cancelled, errors.append)
    assert len(errors) >= 2
