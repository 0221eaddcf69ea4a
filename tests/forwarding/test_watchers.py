"""VMs that follow a watcher's mirror in place of the store."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from forward_site import NoStore, plain_route

from berylspindle_forwarding import vm_announcer
from berylspindle_forwarding.catalogue import (
    CatalogueReader,
    Change,
    ReplicaChange,
    TableChange,
    VmChange,
    VmEntry,
)
from berylspindle_forwarding.forward_options import ForwardOptions
from berylspindle_forwarding.forwarder import Forwarder, open_forwarder
from berylspindle_forwarding.upstream_selector import MirrorAddress, UpstreamSelector
from berylspindle_model import codec
from berylspindle_model.routing import CallerLimits, Replica, RoutingTable
from berylspindle_store.store import (
    Lease,
    ListResult,
    StoreAway,
    StoredValue,
    WatchResult,
)
from berylspindle_telemetry.metrics import Metrics
from berylspindle_wire.http_server import HttpServer, serve

VMS = 6
REPLICA = Replica(id="i-1", service="s", host="127.0.0.1", port=1, data_centre="a")


class Reader(CatalogueReader):
    """Keys are `table`, `replicas/ID` and `vms/NAME`."""

    prefix = ""
    parts = ("",)

    def is_vm(self, key: str) -> bool:
        return key.startswith("vms/")

    def read(self, entry: StoredValue) -> Change:
        kind, _, name = entry.key.partition("/")
        if kind == "table":
            return TableChange(RoutingTable(entry.revision, (plain_route(),), {}, CallerLimits()))
        if kind == "replicas":
            return ReplicaChange(name, REPLICA if entry.value is not None else None)
        vm = codec.from_json(entry.value, VmEntry) if entry.value is not None else None
        return VmChange(name, vm)


class SharedStore:
    """The store behind all VMs; `away` holds the VMs that it does not answer."""

    def __init__(self) -> None:
        self.revision = 0
        self.entries: dict[str, StoredValue] = {}
        self.history: list[StoredValue] = []
        self.calls: Counter[str] = Counter()
        self.away: set[str] = set()
        self.changed = asyncio.Event()
        self.oldest = 0

    def forget(self) -> None:
        """Drop the history; watches that wait are cut."""
        self.oldest = self.revision
        self.history.clear()
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        entry = StoredValue(key=key, value=value, revision=self.revision)
        self.entries[key] = entry
        if value is None:
            del self.entries[key]
        self.history.append(entry)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class VmStore(NoStore):
    """The store as one VM calls it."""

    def __init__(self, shared: SharedStore, vm: str) -> None:
        self._shared = shared
        self._vm = vm

    async def list(self, prefix: str) -> ListResult:
        self._count("list")
        entries = tuple(self._shared.entries.values())
        return ListResult(revision=self._shared.revision, entries=entries)

    async def watch(self, prefix: str, *, after: int, wait: float) -> WatchResult:
        self._count("watch")
        if after < self._shared.oldest:
            return WatchResult(revision=after, compacted=True)
        oldest = self._shared.oldest
        try:
            async with asyncio.timeout(wait):
                while self._shared.revision <= after and self._shared.oldest == oldest:
                    await self._shared.changed.wait()
        except TimeoutError:
            pass
        if self._shared.oldest != oldest:
            raise StoreAway("cut")
        self._count("answered")
        found = tuple(entry for entry in self._shared.history if entry.revision > after)
        return WatchResult(revision=self._shared.revision, entries=found)

    async def grant_lease(self, ttl: float) -> Lease:
        self._count("lease")
        return Lease(id=self._vm, ttl=ttl)

    async def compare_and_swap(self, key, value, *, expect, lease=None) -> StoredValue:
        self._count("write")
        self._shared.put(key, value)
        return self._shared.entries[key]

    async def keep_alive(self, lease: str) -> Lease:
        self._count("renew")
        return Lease(id=lease, ttl=15.0)

    async def revoke(self, lease: str) -> None:
        pass

    def _count(self, what: str) -> None:
        if self._vm in self._shared.away:
            raise StoreAway("refused")
        self._shared.calls[what] += 1


@asynccontextmanager
async def fleet(
    announced: int = VMS,
) -> AsyncIterator[tuple[SharedStore, dict[str, Forwarder], dict[str, HttpServer]]]:
    """Start VMs of one data centre, each with its mirror on a socket."""
    async with AsyncExitStack() as stack:
        shared = SharedStore()
        shared.put("table", b"")
        shared.put("replicas/i-1", b"")
        forwarders: dict[str, Forwarder] = {}
        servers: dict[str, HttpServer] = {}
        for number in range(VMS):
            name = f"vm-{number}"

            async def answer(request, name=name):
                return await forwarders[name].mirror.answer(request)

            server = await serve(answer, host="127.0.0.1", port=0)
            stack.push_async_callback(server.close, 0.0)
            options = ForwardOptions(
                vm=name,
                data_centre="a",
                peers=MirrorAddress("127.0.0.1", server.port),
                announce_key=f"vms/{name}",
                announced_here=announced,
            )
            servers[name] = server
            forwarders[name] = await open_forwarder(
                options,
                store=VmStore(shared, name),
                reader=Reader(),
                metrics=Metrics(),
                stack=stack,
            )
        async with asyncio.timeout(20):
            while not all(f.vms.size_here() >= VMS for f in forwarders.values()):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        # Watches of the start that still wait are answered once more.
        shared.put("table", b"")
        await asyncio.sleep(2.0)
        yield shared, forwarders, servers


def watchers(forwarders: dict[str, Forwarder]) -> tuple[str, str]:
    """Return the VM that follows the store, and the one that follows it for the others."""
    by_port = {f._options.peers: name for name, f in forwarders.items()}
    (first,) = (name for name, forwarder in forwarders.items() if not forwarder.vms.watchers())
    (second,) = (name for name, f in forwarders.items() if len(f.vms.watchers()) == 1)
    followed = {
        by_port[MirrorAddress(a.host, a.port)]
        for name, f in forwarders.items()
        if name not in (first, second)
        for a in f.vms.watchers()
    }
    assert followed == {first, second}
    return first, second


async def all_at(forwarders: dict[str, Forwarder], version: int, seconds: float) -> None:
    async with asyncio.timeout(seconds):
        while any(f.table_version < version for f in forwarders.values()):  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def test_a_change_costs_the_store_one_watch_and_reaches_all_within_the_bound() -> None:
    """At eighty VMs a watch for each of them takes more of a day's worth than all failures."""
    async with fleet() as (shared, forwarders, _):
        watchers(forwarders)
        shared.calls.clear()
        for _ in range(3):
            shared.put("table", b"")
            await all_at(forwarders, shared.revision, 2.5)
        assert shared.calls["answered"] <= 3
        assert shared.calls["list"] == 0


async def test_most_vms_need_no_entry_and_are_counted_all_the_same(monkeypatch) -> None:
    """Guards against a lease and an entry of each of 940 VMs, and against budgets shared by few."""
    monkeypatch.setattr(vm_announcer, "LOOK_S", 5.0)
    async with fleet(announced=2) as (shared, forwarders, _):
        entries = [key for key in shared.entries if key.startswith("vms/")]
        assert 2 <= len(entries) < VMS
        assert all(VMS <= f.vms.alike <= VMS + 2 for f in forwarders.values())
        # A change still reaches all of them by the watchers.
        shared.calls.clear()
        shared.put("table", b"")
        await all_at(forwarders, shared.revision, 2.5)
        assert shared.calls["answered"] <= 2


async def test_others_come_forward_when_the_announced_vms_are_gone(monkeypatch) -> None:
    """Guards against a data centre that follows nobody after its watchers have died."""
    monkeypatch.setattr(vm_announcer, "LOOK_S", 5.0)
    async with fleet(announced=2) as (shared, forwarders, servers):
        announced = {key.removeprefix("vms/") for key in shared.entries if key.startswith("vms/")}
        for name in announced:
            await servers[name].close(0.0)
            shared.away.add(name)
            shared.put(f"vms/{name}", None)
        monkeypatch.setattr(vm_announcer, "LOOK_S", 1.0)
        rest = {name: f for name, f in forwarders.items() if name not in announced}
        async with asyncio.timeout(10):
            while not any(key.startswith("vms/") for key in shared.entries):  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        shared.put("table", b"")
        await all_at(rest, shared.revision, 6.0)


async def test_a_replica_that_is_gone_is_dropped_by_followers_at_once() -> None:
    """A replica gets requests for seconds after it has gone, from VMs that follow a mirror.

    What goes in an outage of the store is kept for a while, as it may come back; a follower that
    can't tell such a time from others keeps all that goes, always.
    """
    async with fleet() as (shared, forwarders, _):
        assert all(f.registry.get("i-1") is not None for f in forwarders.values())
        shared.put("replicas/i-1", None)
        await asyncio.sleep(2.2)
        kept = [name for name, f in forwarders.items() if f.registry.get("i-1") is not None]
        assert kept == []


async def test_followers_go_on_when_a_watcher_dies_or_is_turned_away() -> None:
    """A data centre keeps old routes because the VM that it followed is gone, or lags."""
    async with fleet() as (shared, forwarders, servers):
        dead, refused = watchers(forwarders)
        await servers[dead].close(0.0)
        shared.put("table", b"")
        rest = {name: f for name, f in forwarders.items() if name != dead}
        await all_at(rest, shared.revision, 4.0)
        shared.away.add(refused)
        shared.put("table", b"")
        await all_at(rest, shared.revision, 9.0)


async def test_followers_of_watchers_that_lag_follow_the_store_though_its_history_is_gone() -> None:
    """A data centre routes by an old table for seconds after the store has dropped its history.

    Both watchers are cut off from the store, the others are not. These ask the store now and then,
    hear that its history is gone, and list a watcher's mirror anew, which is as old as before.
    """
    async with fleet() as (shared, forwarders, _):
        lagging = set(watchers(forwarders))
        rest = {name: f for name, f in forwarders.items() if name not in lagging}
        shared.away |= lagging
        shared.put("table", b"")
        shared.forget()
        await all_at(rest, shared.revision, 4.0)
        for _ in range(3):
            await asyncio.sleep(1.0)
            shared.put("table", b"")
            shared.forget()
            await all_at(rest, shared.revision, 3.0)
        shared.away.clear()
        await asyncio.sleep(4.0)
        shared.calls.clear()
        shared.put("table", b"")
        await all_at(forwarders, shared.revision, 2.5)
        assert shared.calls["answered"] <= 4


async def test_followers_hear_at_once_that_their_data_centre_is_cut_off() -> None:
    """Callers of a cut off data centre are refused for as long as the cut lasts.

    Most of its VMs see no request in the first seconds and stay ready; the balancer sends callers
    to another data centre only when all of them are unready.
    """
    async with fleet() as (_, forwarders, _):
        told = watchers(forwarders)
        followers = [f for name, f in forwarders.items() if name not in told]
        assert all(f.unready() is None for f in forwarders.values())
        for watcher in told:
            forwarders[watcher].mirror.set_cut_off(True)
        await asyncio.sleep(0.4)
        assert [f.unready() is None for f in followers] == [False] * len(followers)
        await asyncio.sleep(2.0)
        assert [f.unready() is None for f in followers] == [False] * len(followers)
        for watcher in told:
            forwarders[watcher].mirror.set_cut_off(False)
        await asyncio.sleep(0.4)
        assert all(f.unready() is None for f in followers)


async def test_a_vm_that_was_cut_off_from_all_is_up_to_date_soon_after() -> None:
    """A VM routes by an old table four seconds after the cut that hid the change has ended.

    While neither the store nor any VM can be reached it tries ever more seldom, and the store only
    now and then; so it may come to either of them seconds after both are there again.
    """
    async with fleet() as (shared, forwarders, _):
        dead = MirrorAddress("127.0.0.1", 1, True)
        cut = dict(sorted(forwarders.items()))
        ways = {name: (f._choice._watchers, f._choice._mirrors) for name, f in cut.items()}
        for name, forwarder in cut.items():
            shared.away.add(name)
            known = (dead,) if ways[name][0]() else ()
            forwarder._choice._watchers = lambda known=known: known  # type: ignore[misc]
            forwarder._choice._mirrors = lambda: (dead,)  # type: ignore[misc]
        # Watches that wait are cut as well.
        shared.forget()
        for _ in range(3):
            await asyncio.sleep(3.0)
            shared.put("table", b"")
        for name, forwarder in cut.items():
            forwarder._choice._watchers, forwarder._choice._mirrors = ways[name]  # type: ignore[misc]
        shared.away.clear()
        await all_at(forwarders, shared.revision, 2.2)


async def test_watchers_that_lag_are_followed_on_and_the_store_is_asked_now_and_then() -> None:
    """Eighty VMs ask a store that is away each second, each call with its price."""
    clock = [0.0]
    one, two = MirrorAddress("127.0.0.1", 1, True), MirrorAddress("127.0.0.1", 2, True)
    store = NoStore()
    choice = UpstreamSelector(
        store,
        mirrors=lambda: (one, two),
        now=lambda: clock[0],
        rng=random.Random(3),
        watchers=lambda: (one, two),
    )
    tries = 0
    for _ in range(60):
        followed = choice.pick()
        tries += not followed.is_mirror
        await choice.failed(followed)
        clock[0] += 0.5
    # Thirty seconds, a try in one and a half of them or so, less the pauses between.
    assert 10 <= tries <= 30
    await choice.close()


async def test_followers_stay_with_watchers_that_are_in_step_soon_after_an_outage() -> None:
    """Guards against hundreds of VMs on the store for seconds after each outage."""
    clock = [0.0]
    one, two = MirrorAddress("127.0.0.1", 1, True), MirrorAddress("127.0.0.1", 2, True)
    calls = 0
    for seed in range(30):
        clock[0] = 0.0
        choice = UpstreamSelector(
            NoStore(),
            mirrors=lambda: (one, two),
            now=lambda: clock[0],
            rng=random.Random(seed),
            watchers=lambda: (one, two),
            vms_here=lambda: 33,
        )
        while clock[0] < 12.0:
            followed = choice.pick()
            if followed.is_mirror:
                # The store is away for four seconds; the watchers lag for a second more.
                followed.store.behind_ms = 500 if clock[0] < 5.0 else 0  # type: ignore[attr-defined]
                await choice.worked(followed)
            elif clock[0] < 4.0:
                await choice.failed(followed)
            else:
                calls += 1
                await choice.worked(followed)
            clock[0] += 0.3
        await choice.close()
    assert calls <= 10


@pytest.mark.parametrize("lag", [0, 500])
async def test_a_watcher_that_says_that_it_lags_is_passed_over(lag: int) -> None:
    one, two = MirrorAddress("127.0.0.1", 1, True), MirrorAddress("127.0.0.1", 2, True)
    choice = UpstreamSelector(
        NoStore(),
        mirrors=tuple,
        now=lambda: 1.0,
        rng=random.Random(3),
        watchers=lambda: (one, two),
    )
    first = choice.pick()
    first.store.behind_ms = lag  # type: ignore[attr-defined]
    await choice.worked(first)
    assert (choice.pick().store is first.store) == (lag == 0)
    await choice.close()
