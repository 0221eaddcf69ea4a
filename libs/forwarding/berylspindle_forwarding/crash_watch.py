"""Recognise requests that crash the replicas that run them, on all VMs.

Terms:
  fingerprint  hash of what a replica would run: method, host, target and body
  crash        a replica that lost the connection under an attempt and then takes no connection
  record       what is held against a fingerprint (`decisions.quarantine`), as VMs tell it

Flow: `lost` is told of each attempt that ended with its connection; a new connection shows whether
the replica has crashed or only its answer was lost. A crash is a strike against the fingerprint.
Records of strikes lie in the store, one key each under a lease, and every VM takes them from there
by `merge`. `mode` says how a request may run; a suspect runs on one shard first, once, and at a
replica that it has not met: one that crashes again by itself proves nothing.

Guards: what VMs tell each other is bounded: `MOST_WRITES` records in `WRITE_WINDOW_S` a VM, each
forgotten with its lease. A store that is away delays the word, not this VM's own verdict.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Final

import xxhash

from berylspindle_decisions.quarantine import Quarantine, RunMode, SuspectRecord
from berylspindle_forwarding.replica_registry import ReplicaHandle
from berylspindle_forwarding.request_head import ForwardRequest
from berylspindle_model import codec
from berylspindle_model.errors import Refusal, RunState
from berylspindle_store.store import Store, StoreConflict, StoreError
from berylspindle_telemetry.logs import logger

COLLECT_S: Final = 0.1
"""Seconds between a strike and its record: a search strikes on all of its shards at once."""

MOST_WRITES: Final = 8
WRITE_WINDOW_S: Final = 10.0
LEASE_MOST_S: Final = 300.0

RETRY_AFTER_MS: Final = 1000


def fingerprint_of(request: ForwardRequest) -> str:
    """Return the fingerprint of a request."""
    named = b"\x00".join((request.method, request.host.encode(), request.target, request.body))
    return xxhash.xxh3_64_hexdigest(named)


class CrashWatch:
    """The requests that this VM holds to crash replicas; `key_prefix` is empty without a store."""

    def __init__(
        self,
        quarantine: Quarantine,
        store: Store,
        *,
        key_prefix: str,
        now: Callable[[], float],
    ) -> None:
        self._quarantine: Final = quarantine
        self._store: Final = store
        self._key_prefix: Final = key_prefix
        self._now: Final = now
        self._tasks: Final[set[asyncio.Task[None]]] = set()
        self._unwritten: Final[set[str]] = set()
        self._written_at: Final[deque[float]] = deque()
        self._log: Final = logger("crashes")

    def mode(self, request: ForwardRequest) -> RunMode | Refusal:
        """Return how a request may run; CANARY reserves the one canary of a suspect."""
        if self._quarantine.is_empty:
            return RunMode.PLAIN
        mode = self._quarantine.decide(self._now(), fingerprint_of(request))
        if isinstance(mode, RunMode):
            return mode
        wait_ms = mode.retry_after_ms or RETRY_AFTER_MS
        return Refusal(mode.kind, mode.detail, RunState.NOT_RUN, retry_after_ms=wait_ms)

    def crashed(self, request: ForwardRequest) -> frozenset[str]:
        """Return the replicas that have crashed under a request."""
        return self._quarantine.servers(self._now(), fingerprint_of(request))

    def answered(self, request: ForwardRequest) -> None:
        """Note that replicas ran a request and lived."""
        if not self._quarantine.is_empty:
            self._quarantine.on_success(self._now(), fingerprint_of(request))

    def unsettled(self, request: ForwardRequest) -> None:
        """Note that a canary has ended with neither an answer nor a crash."""
        self._quarantine.on_unsettled(fingerprint_of(request))

    def lost(self, request: ForwardRequest, handle: ReplicaHandle, *, elapsed_ms: float) -> None:
        """Note that the connection broke under an attempt that went out so long ago."""
        self._spawn(self._verify(fingerprint_of(request), handle, elapsed_ms))

    def merge(self, record: SuspectRecord) -> None:
        """Take the record of another VM."""
        self._quarantine.merge((record,), self._now())

    async def close(self) -> None:
        """End all tasks."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _verify(self, fingerprint: str, handle: ReplicaHandle, elapsed_ms: float) -> None:
        lost_at = self._now()
        if await handle.pool.is_reachable():
            return
        now = self._now()
        elapsed_ms += (now - lost_at) * 1000
        self._quarantine.on_lost(now, fingerprint, handle.replica.id, elapsed_ms=elapsed_ms)
        if not self._key_prefix or fingerprint in self._unwritten:
            return
        self._unwritten.add(fingerprint)
        await asyncio.sleep(COLLECT_S)
        self._unwritten.discard(fingerprint)
        await self._tell(fingerprint)

    async def _tell(self, fingerprint: str) -> None:
        """Write the record of a fingerprint, joined with what another VM has written."""
        record = self._record(fingerprint)
        if record is None or not self._may_write():
            return
        self._log.warning(
            "request crashes replicas",
            extra={"fingerprint": fingerprint, "level": record.level.value},
        )
        key, expect = self._key_prefix + fingerprint, 0
        try:
            lease = await self._store.grant_lease(min(LEASE_MOST_S, record.left_ms / 1000 + 1.0))
            while (record := self._record(fingerprint)) is not None:
                try:
                    await self._store.compare_and_swap(
                        key, codec.to_json(record), expect=expect, lease=lease.id
                    )
                except StoreConflict as conflict:
                    current = conflict.current
                    expect = current.revision if current is not None else 0
                    if current is not None and current.value is not None:
                        self.merge(codec.from_json(current.value, SuspectRecord))
                else:
                    return
        except (StoreError, codec.MalformedError) as error:
            self._log.warning("crash record not written", extra={"detail": str(error)})

    def _record(self, fingerprint: str) -> SuspectRecord | None:
        records = self._quarantine.export(self._now())
        return next((one for one in records if one.fingerprint == fingerprint), None)

    def _may_write(self) -> bool:
        now = self._now()
        while self._written_at and self._written_at[0] <= now - WRITE_WINDOW_S:
            self._written_at.popleft()
        if len(self._written_at) >= MOST_WRITES:
            return False
        self._written_at.append(now)
        return True
