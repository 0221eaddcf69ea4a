"""What follows from the state of the cluster and from calls to the store."""

from __future__ import annotations

import pytest

from berylspindle_daemon.cluster_watch import ClusterWatch
from berylspindle_daemon.counted_store import CountedStore
from berylspindle_model.events import EventKind
from berylspindle_model.topology import ClusterState, View, Vm
from berylspindle_store.store import (
    Lease,
    ListResult,
    Store,
    StoreAway,
    StoreConflict,
    StoredValue,
    StoreError,
    StoreUnsure,
    WatchResult,
)
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.timeline import Timeline


class FakeStore(Store):
    """A store whose calls fail as the test says."""

    def __init__(self) -> None:
        self.error: StoreError | None = None

    def _fail(self) -> None:
        if self.error is not None:
            raise self.error

    async def get(self, key: str) -> StoredValue | None:
        self._fail()
        return None

    async def list(self, prefix: str) -> ListResult:
        self._fail()
        return ListResult(revision=1, entries=())

    async def compare_and_swap(
        self, key: str, value: bytes | None, *, expect: int, lease: str | None = None
    ) -> StoredValue:
        self._fail()
        return StoredValue(key=key, value=value, revision=expect + 1)

    async def watch(self, prefix: str, *, after: int, wait: float) -> WatchResult:
        self._fail()
        return WatchResult(revision=after)

    async def grant_lease(self, ttl: float) -> Lease:
        self._fail()
        return Lease(id="l", ttl=ttl)

    async def keep_alive(self, lease: str) -> Lease:
        self._fail()
        return Lease(id=lease, ttl=1.0)

    async def revoke(self, lease: str) -> None:
        self._fail()


class Parts:
    """A watch and a counted store over a fake one."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.timeline = Timeline("vm")
        self.now = 10.0
        self.watch = ClusterWatch(self.metrics, self.timeline, lambda: self.now)
        self.fake = FakeStore()
        self.store = CountedStore(self.fake, self.metrics, self.watch.on_store, lambda: self.now)

    def kinds(self) -> list[EventKind]:
        return [event.kind for event in self.timeline.select().events]

    def away_since(self) -> float | None:
        return self.watch.store_away_since

    def calls(self, operation: str, result: str) -> float:
        return self.metrics.value(names.STORE_CALLS, operation=operation, result=result)


async def test_the_store_is_away_after_two_failures_and_back_with_one_answer() -> None:
    """A store that loses a call now and then fills the time line with outages.

    One lost reply is no outage. Two failures in a row are, whatever part of the daemon met them; a
    conflict is an answer.
    """
    parts = Parts()
    parts.fake.error = StoreUnsure("no reply")
    with pytest.raises(StoreUnsure):
        await parts.store.grant_lease(5.0)
    parts.fake.error = StoreConflict(None)
    with pytest.raises(StoreConflict):
        await parts.store.compare_and_swap("k", b"v", expect=1)
    assert parts.kinds() == []
    parts.fake.error = StoreAway("refused")
    for _ in range(3):
        with pytest.raises(StoreAway):
            await parts.store.get("k")
    assert parts.kinds() == [EventKind.STORE_AWAY]
    assert parts.away_since() == parts.now
    assert parts.metrics.value(names.STORE_AWAY) == 1
    parts.fake.error = None
    await parts.store.list("p")
    assert parts.kinds() == [EventKind.STORE_AWAY, EventKind.STORE_BACK]
    assert parts.away_since() is None
    assert parts.calls("grant_lease", "lost") == 1
    assert parts.calls("compare_and_swap", "conflict") == 1
    assert parts.calls("get", "away") == 3
    assert parts.calls("list", "ok") == 1


def test_the_watchers_word_and_failed_calls_make_one_event() -> None:
    parts = Parts()
    parts.watch.on_event("store_away", {"detail": "no answer"})
    parts.watch.on_store(False, "refused")
    parts.watch.on_store(False, "refused")
    parts.watch.on_event("store_back", {})
    assert parts.kinds() == [EventKind.STORE_AWAY, EventKind.STORE_BACK]


def test_vms_that_join_and_leave_a_view_are_recorded() -> None:
    """Operators can't see when a replaced VM took its place.

    A VM that knows of a data centre for the first time records nobody as joined; later one VM
    joins, one gives its place up and one is removed as dead.
    """
    parts = Parts()
    vms = [Vm(id=f"vm{n}", data_centre="a", host="127.0.0.1", peer_port=n + 1) for n in range(4)]
    first = View(data_centre="a", epoch=1, members=(vms[0], vms[1], vms[2]))
    then = View(data_centre="a", epoch=2, members=(vms[0], vms[3]), released=("vm1",))
    parts.watch.on_state(ClusterState(views=(first,)))
    assert parts.kinds() == []
    parts.watch.on_state(ClusterState(views=(then,), suspects=frozenset({"vm3"})))
    told = [(event.kind, event.detail) for event in parts.timeline.select().events]
    assert told == [(EventKind.VM_JOINED, "vm=vm3"), (EventKind.VM_LEFT, "vm=vm1")]
    assert parts.metrics.value(names.VMS, data_centre="a", state="live") == 1
    assert parts.metrics.value(names.VMS, data_centre="a", state="suspect") == 1
