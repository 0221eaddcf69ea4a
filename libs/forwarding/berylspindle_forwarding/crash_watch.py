"""Detect requests that crash the replicas that run them, and share the findings among all VMs.

Terms:
  fingerprint  hash of the content of a request: method, host, target and body
  crash        a replica that closed the connection under an attempt and then accepts no connection
  strike       a crash that counts against a fingerprint
  record       the strikes of a fingerprint (`decisions.quarantine`), as VMs share them

Flow: `record_connection_loss` is called for each attempt that ended with its connection. A new
connection shows whether the replica has crashed or only the response was lost. Each record is
stored under its own key with a lease, and every VM applies it with `merge`. `run_mode` returns how
a request may run. A suspect first runs once as a canary, on a single shard and on a replica that it
has not crashed yet: a crash of a replica that keeps crashing by itself is no evidence.

Guards: the records that a VM writes are limited to `MAX_WRITES` in `WRITE_WINDOW_S`, and each
expires with its lease. While the store is unavailable other VMs receive the records late, but this
VM applies its own.
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

RECORD_DELAY_S: Final = 0.1
"""Seconds between a strike and the write of its record, which then includes further strikes: a
search may crash replicas of all its shards."""

MAX_WRITES: Final = 8
WRITE_WINDOW_S: Final = 10.0
MAX_LEASE_S: Final = 300.0

RETRY_AFTER_MS: Final = 1000


def fingerprint_of(request: ForwardRequest) -> str:
    """Return the fingerprint of a request."""
    identity = b"\x00".join((request.method, request.host.encode(), request.target, request.body))
    return xxhash.xxh3_64_hexdigest(identity)


class CrashWatch:
    """Quarantine of requests that crash replicas.

    `key_prefix` is empty if the records are not shared through the store.
    """

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
        self._pending_records: Final[set[str]] = set()
        self._write_times: Final[deque[float]] = deque()
        self._log: Final = logger("crashes")

    def run_mode(self, request: ForwardRequest) -> RunMode | Refusal:
        """Return how a request may run; CANARY reserves the single canary of a suspect."""
        if self._quarantine.is_empty:
            return RunMode.PLAIN
        mode = self._quarantine.decide(self._now(), fingerprint_of(request))
        if isinstance(mode, RunMode):
            return mode
        wait_ms = mode.retry_after_ms or RETRY_AFTER_MS
        return Refusal(mode.kind, mode.detail, RunState.NOT_RUN, retry_after_ms=wait_ms)

    def crashed_replicas(self, request: ForwardRequest) -> frozenset[str]:
        """Return the replicas that crashed under a request."""
        return self._quarantine.servers(self._now(), fingerprint_of(request))

    def record_success(self, request: ForwardRequest) -> None:
        """Record that replicas ran a request without a crash."""
        if not self._quarantine.is_empty:
            self._quarantine.on_success(self._now(), fingerprint_of(request))

    def record_inconclusive(self, request: ForwardRequest) -> None:
        """Record that a canary ended with neither a response nor a crash."""
        self._quarantine.on_inconclusive(fingerprint_of(request))

    def record_connection_loss(
        self, request: ForwardRequest, handle: ReplicaHandle, *, elapsed_ms: float
    ) -> None:
        """Handle a connection that broke under an attempt sent `elapsed_ms` ago."""
        self._spawn(self._check_for_crash(fingerprint_of(request), handle, elapsed_ms))

    def merge(self, record: SuspectRecord) -> None:
        """Merge a record of another VM."""
        self._quarantine.merge((record,), self._now())

    async def close(self) -> None:
        """Cancel all tasks."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log.error("crash check failed", extra={"detail": repr(error)})

    async def _check_for_crash(
        self, fingerprint: str, handle: ReplicaHandle, elapsed_ms: float
    ) -> None:
        lost_at = self._now()
        if await handle.pool.is_reachable():
            return
        now = self._now()
        elapsed_ms += (now - lost_at) * 1000
        self._quarantine.on_connection_lost(
            now, fingerprint, handle.replica.id, elapsed_ms=elapsed_ms
        )
        if not self._key_prefix or fingerprint in self._pending_records:
            return
        self._pending_records.add(fingerprint)
        await asyncio.sleep(RECORD_DELAY_S)
        self._pending_records.discard(fingerprint)
        await self._write_record(fingerprint)

    async def _write_record(self, fingerprint: str) -> None:
        """Write the record of a fingerprint, merged with the record that another VM wrote."""
        record = self._exported_record(fingerprint)
        if record is None or not self._may_write():
            return
        self._log.warning(
            "request crashes replicas",
            extra={"fingerprint": fingerprint, "level": record.level.value},
        )
        key, expect = self._key_prefix + fingerprint, 0
        try:
            lease = await self._store.grant_lease(min(MAX_LEASE_S, record.left_ms / 1000 + 1.0))
            while (record := self._exported_record(fingerprint)) is not None:
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
            self._log.warning("crash record not written to the store", extra={"detail": str(error)})

    def _exported_record(self, fingerprint: str) -> SuspectRecord | None:
        records = self._quarantine.export(self._now())
        return next((one for one in records if one.fingerprint == fingerprint), None)

    def _may_write(self) -> bool:
        now = self._now()
        while self._write_times and self._write_times[0] <= now - WRITE_WINDOW_S:
            self._write_times.popleft()
        if len(self._write_times) >= MAX_WRITES:
            return False
        self._write_times.append(now)
        return True
