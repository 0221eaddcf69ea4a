"""An in-memory store and network for several control planes in one process."""

from __future__ import annotations

import asyncio
import contextlib
import random
import selectors
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest

from berylspindle_controlplane.control_plane import ControlOptions, ControlPlane
from berylspindle_controlplane.transport import Address, Transport, TransportError
from berylspindle_model.topology import ClusterState, Vm
from berylspindle_standins.store_state import ConflictError, StoreState
from berylspindle_store.routes import EntryDocument
from berylspindle_store.store import (
    Lease,
    ListResult,
    Store,
    StoreConflict,
    StoredValue,
    StoreOutcomeUnknown,
    StoreUnavailable,
    WatchResult,
)
from berylspindle_store.vm_list import ListedVm, VmList, VmRole, VmState

# The clock is virtual, so that the default times of the protocol can be used.
OPTIONS = ControlOptions()


class _InstantSelector(selectors.SelectSelector):
    """A selector that skips the time for which it would block."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "the loop has no pending timer"
        self.skipped += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock that advances only when nothing is ready to run."""

    def __init__(self) -> None:
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self) -> float:
        return self._instant.skipped


def pytest_asyncio_loop_factories(
    config: pytest.Config, item: pytest.Item
) -> dict[str, Callable[[], asyncio.AbstractEventLoop]]:
    return {"virtual": VirtualLoop}


class MemoryStore:
    """The state of the store and its injected faults."""

    def __init__(self) -> None:
        self.state = StoreState()
        self.down = False
        self.lose_replies = 0
        self.delay_writes = 0.0
        self.lag = 0.0
        self.calls = 0
        self.changed = asyncio.Event()

    def write(self, key: str, value: bytes | None, expect: int) -> StoredValue:
        try:
            entry = self.state.write(key, value, _now(), expect=expect)
        except ConflictError as error:
            raise StoreConflict(None if error.current is None else _stored(error.current)) from None
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return _stored(entry)


class VmStore(Store):
    """The store as seen by one VM; `cut` disconnects only this VM."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.cut = False
        self.running = asyncio.Event()
        self.running.set()

    async def get(self, key: str) -> StoredValue | None:
        await self._call()
        entry = self._store.state.get(key, _now(), lag=self._store.lag)
        return None if entry is None else _stored(entry)

    async def list(self, prefix: str) -> ListResult:
        await self._call()
        state, lag = self._store.state, self._store.lag
        entries = tuple(_stored(entry) for entry in state.list(prefix, _now(), lag=lag))
        return ListResult(revision=state.revision_at(_now(), lag=lag), entries=entries)

    async def compare_and_swap(
        self, key: str, value: bytes | None, *, expect: int, lease: str | None = None
    ) -> StoredValue:
        await self._call()
        if value is not None and self._store.delay_writes > 0:
            asyncio.get_running_loop().call_later(
                self._store.delay_writes, self._write_late, key, value, expect
            )
            raise StoreOutcomeUnknown("the write is delayed")
        stored = self._store.write(key, value, expect)
        if value is not None and self._store.lose_replies > 0:
            self._store.lose_replies -= 1
            raise StoreOutcomeUnknown("the reply was lost")
        await asyncio.sleep(0.001)
        await self.running.wait()
        return stored

    async def watch(self, prefix: str, *, after: int, wait: float) -> WatchResult:
        await self._call()
        state = self._store.state
        until = _now() + wait
        while not (found := state.changes(prefix, after)) and _now() < until:
            # Short steps, so that a watch ends soon after the store becomes unavailable.
            # `asyncio.wait_for` would swallow a cancellation that coincides with the event.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.3):
                    await self._store.changed.wait()
            self._check()
        await self.running.wait()
        return WatchResult(
            revision=state.revision, entries=tuple(_stored(entry) for entry in found)
        )

    async def grant_lease(self, ttl: float) -> Lease:
        raise NotImplementedError

    async def keep_alive(self, lease: str) -> Lease:
        raise NotImplementedError

    async def revoke(self, lease: str) -> None:
        raise NotImplementedError

    def _write_late(self, key: str, value: bytes, expect: int) -> None:
        with contextlib.suppress(StoreConflict):
            self._store.write(key, value, expect)

    def _check(self) -> None:
        if self._store.down or self.cut:
            raise StoreUnavailable("disconnected")

    async def _call(self) -> None:
        await self.running.wait()
        self._store.calls += 1
        await asyncio.sleep(0.001)
        self._check()


class MemoryNetwork:
    """Datagrams and calls between control planes; `cut` has the disconnected address pairs."""

    def __init__(self) -> None:
        self.planes: dict[Address, ControlPlane] = {}
        self.cut: set[tuple[Address, Address]] = set()
        self.paused: set[Address] = set()
        self.loss = 0.0
        self.rng = random.Random(1)

    def can_deliver(self, source: Address, to: Address) -> bool:
        paused = to in self.paused or source in self.paused
        return to in self.planes and (source, to) not in self.cut and not paused

    def partition(self, left: list[Vm], right: list[Vm]) -> None:
        for one in left:
            for other in right:
                self.cut.add((address(one), address(other)))
                self.cut.add((address(other), address(one)))


class MemoryTransport(Transport):
    """The network as seen by one VM."""

    def __init__(self, network: MemoryNetwork, me: Vm) -> None:
        self._network = network
        self._me = address(me)

    def send(self, to: Address, data: bytes) -> None:
        asyncio.get_running_loop().call_later(0.001, self._deliver, to, data)

    async def call(self, vm: Vm, method: str, payload: bytes, *, timeout: float) -> bytes:
        to = address(vm)
        await asyncio.sleep(0.001)
        if not (
            self._network.can_deliver(self._me, to) and self._network.can_deliver(to, self._me)
        ):
            raise TransportError("unreachable")
        try:
            async with asyncio.timeout(timeout):
                answer: Awaitable[bytes] = self._network.planes[to].peer_handlers[method](payload)
                return await answer
        except TimeoutError as error:
            raise TransportError("timeout") from error

    def _deliver(self, to: Address, data: bytes) -> None:
        if (
            self._network.can_deliver(self._me, to)
            and self._network.rng.random() >= self._network.loss
        ):
            self._network.planes[to].on_datagram(data, self._me)


class MemoryVmList(VmList):
    """The platform's VM list; here it is always up to date."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    async def fetch(self) -> tuple[ListedVm, ...]:
        return tuple(
            ListedVm(
                id=plane.vm_id,
                data_centre="a",
                host=host,
                port=port,
                role=VmRole.ENTRY,
                state=VmState.LIVE,
            )
            for (host, port), plane in self._cluster.network.planes.items()
        )


class PausablePlane(ControlPlane):
    """A control plane that can be paused and resumed, like a process by SIGSTOP and SIGCONT."""

    paused = False

    def on_tick(self, now: float) -> None:
        if not self.paused:
            super().on_tick(now)


class Cluster:
    """Control planes that share a store and a network."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.network = MemoryNetwork()
        self.stores: dict[str, VmStore] = {}
        self.events: list[tuple[str, str, dict[str, str | int]]] = []

    async def start(self, name: str, data_centre: str, options: ControlOptions = OPTIONS) -> Vm:
        port = 1000 + len(self.stores)
        vm = Vm(id=name, data_centre=data_centre, host="10.0.0.1", peer_port=port)
        self.stores[name] = VmStore(self.store)
        plane = PausablePlane(
            options,
            local_vm=vm,
            store=self.stores[name],
            vm_list=MemoryVmList(self),
            seeds=list(self.network.planes),
            transport=MemoryTransport(self.network, vm),
            on_state=_ignore,
            on_event=lambda kind, fields: self.events.append((name, kind, fields)),
            # Seeded, since the choice of peers is part of the example: with random choices, a
            # machine would find a fault in one run and miss it in the next.
            rng=random.Random(name),
        )
        self.network.planes[address(vm)] = plane
        await plane.start()
        return vm

    def plane(self, vm: Vm) -> ControlPlane:
        return self.network.planes[address(vm)]

    def pause(self, vm: Vm) -> None:
        plane = self.network.planes[address(vm)]
        assert isinstance(plane, PausablePlane)
        plane.paused = True
        self.network.paused.add(address(vm))
        self.stores[vm.id].running.clear()

    def resume(self, vm: Vm) -> None:
        plane = self.network.planes[address(vm)]
        assert isinstance(plane, PausablePlane)
        plane.paused = False
        self.network.paused.discard(address(vm))
        self.stores[vm.id].running.set()

    async def kill(self, vm: Vm) -> None:
        plane = self.network.planes.pop(address(vm))
        await plane.close()

    async def close(self) -> None:
        for plane in self.network.planes.values():
            await plane.close()

    async def until(self, condition: Callable[[], bool], seconds: float = 60.0) -> None:
        """Wait up to `seconds` of the loop's virtual time for a condition."""
        async with asyncio.timeout(seconds):
            while True:
                if condition():
                    return
                await asyncio.sleep(0.01)


def address(vm: Vm) -> Address:
    return (vm.host, vm.peer_port)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _ignore(state: ClusterState) -> None:
    """Ignore the state; tests read the latest one from the plane."""


def _stored(entry: EntryDocument) -> StoredValue:
    return StoredValue(key=entry.key, value=entry.value, revision=entry.revision)


@pytest.fixture(scope="session")
def virtual_loop() -> Callable[[], asyncio.AbstractEventLoop]:
    return VirtualLoop


@pytest.fixture(scope="session")
def new_cluster() -> Callable[[], Cluster]:
    return Cluster


@pytest.fixture
async def cluster() -> AsyncIterator[Cluster]:
    new = Cluster()
    yield new
    await new.close()
