"""Gauges and events that follow from cluster state and from store calls."""

from __future__ import annotations

import pytest

from berylspindle_daemon.cluster_watch import ClusterObserver
from berylspindle_daemon.counted_store import InstrumentedStore
from berylspindle_model.events import EventKind
from berylspindle_model.topology import ClusterState, View, Vm
from berylspindle_store.store import (
    Lease,
    ListResult,
    Store,
    StoreConflict,
    StoredValue,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
    WatchResult,
)
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.timeline import Timeline


class FakeStore(Store):
    """A store whose calls raise `error` if it is set."""

    def __init__(self) -> None:
        self.error: StoreError | None = None

    def _raise_error(self) -> None:
        if self.error is not None:
            raise self.error

    async def get(self, key: str) -> StoredValue | None:
        self._raise_error()
        return None

    async def list(self, prefix: str) -> ListResult:
        self._raise_error()
        return ListResult(revision=1, entries=())

    async def compare_and_swap(
        self, key: str, value: bytes | None, *, expect: int, lease: str | None = None
    ) -> StoredValue:
        self._raise_error()
        return StoredValue(key=key, value=value, revision=expect + 1)

    async def watch(self, prefix: str, *, after: int, wait: float) -> WatchResult:
        self._raise_error()
        return WatchResult(revision=after)

    async def grant_lease(self, ttl: float) -> Lease:
        self._raise_error()
        return Lease(id="l", ttl=ttl)

    async def keep_alive(self, lease: str) -> Lease:
        self._raise_error()
        return Lease(id=lease, ttl=1.0)

    async def revoke(self, lease: str) -> None:
        self._raise_error()


class Fixture:
    """An observer and an instrumented store on top of a fake store."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.timeline = Timeline("vm")
        self.now = 10.0
        self.watch = ClusterObserver(self.metrics, self.timeline, lambda: self.now)
        self.fake = FakeStore()
        self.store = InstrumentedStore(
            self.fake, self.metrics, self.watch.on_store_call, lambda: self.now
        )

    def kinds(self) -> list[EventKind]:
        return [event.kind for event in self.timeline.select().events]

    def unavailable_since(self) -> float | None:
        return self.watch.store_unavailable_since

    def calls(self, operation: str, result: str) -> float:
        return self.metrics.value(names.STORE_CALLS, operation=operation, result=result)


async def test_the_store_is_unavailable_after_two_failures_until_one_answer() -> None:
    """Guard against a time line full of outages if the store loses an occasional call.

    One lost reply is no outage; two consecutive failures are, in any part of the daemon. A conflict
    counts as an answer.
    """
    fixture = Fixture()
    fixture.fake.error = StoreOutcomeUnknown("no reply")
    with pytest.raises(StoreOutcomeUnknown):
        await fixture.store.grant_lease(5.0)
    fixture.fake.error = StoreConflict(None)
    with pytest.raises(StoreConflict):
        await fixture.store.compare_and_swap("k", b"v", expect=1)
    assert fixture.kinds() == []
    fixture.fake.error = StoreUnavailable("refused")
    for _ in range(3):
        with pytest.raises(StoreUnavailable):
            await fixture.store.get("k")
    assert fixture.kinds() == [EventKind.STORE_AWAY]
    assert fixture.unavailable_since() == fixture.now
    assert fixture.metrics.value(names.STORE_AWAY) == 1
    fixture.fake.error = None
    await fixture.store.list("p")
    assert fixture.kinds() == [EventKind.STORE_AWAY, EventKind.STORE_BACK]
    assert fixture.unavailable_since() is None
    assert fixture.calls("grant_lease", "lost") == 1
    assert fixture.calls("compare_and_swap", "conflict") == 1
    assert fixture.calls("get", "away") == 3
    assert fixture.calls("list", "ok") == 1


def test_a_watcher_report_and_failed_calls_record_one_event() -> None:
    fixture = Fixture()
    fixture.watch.on_event("store_away", {"detail": "no answer"})
    fixture.watch.on_store_call(False, "refused")
    fixture.watch.on_store_call(False, "refused")
    fixture.watch.on_event("store_back", {})
    assert fixture.kinds() == [EventKind.STORE_AWAY, EventKind.STORE_BACK]


def test_vms_that_join_and_leave_a_view_are_recorded() -> None:
    """Guard against a time line that does not show when a replacement VM joined.

    The first known view of a data centre records no joins. In the next one a VM has joined, one has
    left and one is removed as dead.
    """
    fixture = Fixture()
    vms = [Vm(id=f"vm{n}", data_centre="a", host="127.0.0.1", peer_port=n + 1) for n in range(4)]
    first = View(data_centre="a", epoch=1, members=(vms[0], vms[1], vms[2]))
    second = View(data_centre="a", epoch=2, members=(vms[0], vms[3]), released=("vm1",))
    fixture.watch.on_state(ClusterState(views=(first,)))
    assert fixture.kinds() == []
    fixture.watch.on_state(ClusterState(views=(second,), suspects=frozenset({"vm3"})))
    recorded = [(event.kind, event.detail) for event in fixture.timeline.select().events]
    assert recorded == [(EventKind.VM_JOINED, "vm=vm3"), (EventKind.VM_LEFT, "vm=vm1")]
    assert fixture.metrics.value(names.VMS, data_centre="a", state="live") == 1
    assert fixture.metrics.value(names.VMS, data_centre="a", state="suspect") == 1
