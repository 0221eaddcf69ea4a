"""Detect requests that crash the replicas that run them, and share the findings among all VMs.

Terms:
  fingerprint  hash of the content of a request: method, host, target and body
  crash        a replica that closed the connection under an attempt and then accepts no connection
  strike       a crash that counts against a fingerprint; a replica that is back under its id with
               another start can crash again
  record       the strikes of a fingerprint (`decisions.quarantine`), as VMs share them

Flow: `record_connection_loss` is called for each attempt that ended with its connection. A new
connection shows whether the replica has crashed or only the response was lost. Each record is
stored under its own key with a lease, and every VM applies it with `merge`; so is the success of a
suspect, which clears it on all VMs. `run_mode` returns how a request may run. A suspect first runs
once as a canary, on a single shard and on a replica that it has not crashed yet, if there is one.
Equal requests wait for the end of the canary: a sound one is served then.

Guards: the records that a VM writes are limited to `MAX_WRITES` in `WRITE_WINDOW_S`, and each
expires with its lease. Records of first crashes are limited to half of that, so that those of many
sound requests at a crashed replica don't keep back the record of the one that crashed it. While the
store is unavailable other VMs receive the records late, but this VM applies its own.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from typing import Any, Final

import xxhash

from berylspindle_decisions.quarantine import (
    FirstSeenPolicy,
    Quarantine,
    QuarantineLevel,
    QuarantineOptions,
    RunMode,
    SuspectRecord,
)
from berylspindle_forwarding.replica_registry import ReplicaHandle
from berylspindle_forwarding.request_head import ForwardRequest
from berylspindle_model import codec
from berylspindle_model.errors import Refusal, RunState
from berylspindle_store.store import Store, StoreConflict, StoreError
from berylspindle_telemetry.logs import logger

SUSPECT_S: Final = 120.0
"""Time in seconds for which a request that crashed a replica is run on one shard first."""

FIRST_QUARANTINE_S: Final = 120.0
QUARANTINE_GROWTH: Final = 8.0
"""Duration in seconds of the first quarantine, and the factor to each further one. The run after a
quarantine crashes another replica, and few such runs may reach replicas in all."""

QUARANTINE_END_SPREAD_S: Final = 60.0
"""Seconds within which VMs end a quarantine one after the other; a crash after it is known at all
VMs within two seconds."""

FIRST_CRASH_WEIGHT: Final = 0.1
LATER_CRASH_WEIGHT: Final = 0.3
"""Weights of a crash under a request that was no suspect yet, and under a suspect. All VMs send to
a replica, and which other requests of theirs were lost in its crash is not known here, so that two
later crashes are needed."""

RECORD_DELAY_S: Final = 0.1
"""Seconds between a strike and the write of its record, which then includes further strikes: a
search may crash replicas of all its shards."""

MAX_WRITES: Final = 8
WRITE_WINDOW_S: Final = 10.0
MAX_LEASE_S: Final = 300.0

MAX_WAIT_SHARE: Final = 0.5
"""Longest wait for a canary, as a share of the request's time left: the caller can still retry."""

MAX_WAITING: Final = 200
"""Requests that wait for canaries at a time."""

RETRY_AFTER_MS: Final = 1000
MAX_RETRY_SHARE: Final = 1 / 3
"""Retry-after of a refusal in milliseconds, and its maximum as a share of the time left."""


def fingerprint_of(request: ForwardRequest) -> str:
    """Return the fingerprint of a request."""
    identity = b"\x00".join((request.method, request.host.encode(), request.target, request.body))
    return xxhash.xxh3_64_hexdigest(identity)


def make_quarantine(vm: str) -> Quarantine:
    """Return a quarantine for replicas that all VMs send to.

    All replicas of a service may have crashed under a request, so a further crash of one of them
    counts as much as that of another replica. The name of this VM gives its place among those that
    end a quarantine.
    """
    return Quarantine(
        QuarantineOptions(
            first_seen=FirstSeenPolicy.NEVER,
            suspect_s=SUSPECT_S,
            base_s=FIRST_QUARANTINE_S,
            growth=QUARANTINE_GROWTH,
            end_spread_s=QUARANTINE_END_SPREAD_S,
            first_weight=FIRST_CRASH_WEIGHT,
            later_weight=LATER_CRASH_WEIGHT,
            same_server_weight=1.0,
        ),
        end_place=xxhash.xxh3_64_intdigest(vm.encode()) / 2**64,
    )


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
        self._checks: Final[Counter[str]] = Counter()
        self._waiting: Final[dict[asyncio.Future[bool], str]] = {}
        self._log: Final = logger("crashes")

    async def run_mode(self, request: ForwardRequest, deadline: float) -> RunMode | Refusal:
        """Return how a request may run; CANARY reserves the single canary of a suspect.

        While its canary is running, the request waits for a part of the time until `deadline`.
        """
        if self._quarantine.is_empty:
            return RunMode.PLAIN
        fingerprint, now = fingerprint_of(request), self._now()
        wait_until = now + MAX_WAIT_SHARE * (deadline - now)
        mode = self._quarantine.decide(now, fingerprint)
        while isinstance(mode, Refusal):
            may_run = now < wait_until and await self._await_canary(fingerprint, wait_until)
            now = self._now()
            if not may_run:
                return _refusal(mode, left_s=deadline - now)
            mode = self._quarantine.decide(now, fingerprint)
        return mode

    def crashed_replicas(self, request: ForwardRequest) -> frozenset[str]:
        """Return the replicas that crashed under a request."""
        return self._quarantine.servers(self._now(), fingerprint_of(request))

    def record_success(self, request: ForwardRequest) -> None:
        """Record that replicas ran a request without a crash; other VMs learn of a cleared one."""
        if self._quarantine.is_empty:
            return
        now, fingerprint = self._now(), fingerprint_of(request)
        was_suspect = self._quarantine.level(now, fingerprint) is QuarantineLevel.SUSPECT
        self._quarantine.on_success(now, fingerprint)
        self._wake(fingerprint, may_run=True)
        if was_suspect and self._key_prefix:
            self._spawn(self._write_record(fingerprint))

    def record_inconclusive(self, request: ForwardRequest) -> None:
        """Record the end of a canary, unless a check will show whether it crashed a replica."""
        fingerprint = fingerprint_of(request)
        if not self._checks[fingerprint]:
            self._on_inconclusive(fingerprint)

    def record_connection_loss(
        self, request: ForwardRequest, handle: ReplicaHandle, *, elapsed_ms: float
    ) -> None:
        """Handle a connection that broke under an attempt; `elapsed_ms` is the request's age."""
        fingerprint = fingerprint_of(request)
        self._checks[fingerprint] += 1
        self._spawn(self._check_for_crash(fingerprint, handle, elapsed_ms))

    def merge(self, record: SuspectRecord) -> None:
        """Merge a record of another VM."""
        now, fingerprint = self._now(), record.fingerprint
        self._quarantine.merge((record,), now)
        level = self._quarantine.level(now, fingerprint)
        if level is not QuarantineLevel.SUSPECT:
            self._wake(fingerprint, may_run=level is QuarantineLevel.CLEARED)

    async def close(self) -> None:
        """Cancel all tasks."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _await_canary(self, fingerprint: str, wait_until: float) -> bool:
        """Wait for the end of a canary; return False if equal requests may not run after it.

        After a crash they may not: each would crash a replica before other VMs know.
        """
        now = self._now()
        canary_end = self._quarantine.canary_end(now, fingerprint)
        if canary_end is None or len(self._waiting) >= MAX_WAITING:
            return False
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting[future] = fingerprint
        try:
            async with asyncio.timeout(min(wait_until, canary_end) - now):
                return await future
        except TimeoutError:
            return True
        finally:
            del self._waiting[future]

    def _wake(self, fingerprint: str, *, may_run: bool) -> None:
        """End the wait of the requests with a fingerprint."""
        for future, waiting_for in self._waiting.items():
            if waiting_for == fingerprint and not future.done():
                future.set_result(may_run)

    def _on_inconclusive(self, fingerprint: str) -> None:
        self._quarantine.on_inconclusive(fingerprint)
        self._wake(fingerprint, may_run=True)

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
        lost_at, replica = self._now(), handle.replica
        try:
            is_reachable = await handle.pool.is_reachable()
        finally:
            self._end_check(fingerprint)
        if is_reachable:
            self._on_inconclusive(fingerprint)
            return
        now = self._now()
        self._quarantine.on_connection_lost(
            now,
            fingerprint,
            replica.id,
            start=replica.born or 0,
            elapsed_ms=elapsed_ms + (now - lost_at) * 1000,
        )
        self._wake(fingerprint, may_run=False)
        if not self._key_prefix or fingerprint in self._pending_records:
            return
        self._pending_records.add(fingerprint)
        await asyncio.sleep(RECORD_DELAY_S)
        self._pending_records.discard(fingerprint)
        await self._write_record(fingerprint)

    def _end_check(self, fingerprint: str) -> None:
        self._checks[fingerprint] -= 1
        if not self._checks[fingerprint]:
            del self._checks[fingerprint]

    async def _write_record(self, fingerprint: str) -> None:
        """Write the record of a fingerprint, merged with the record that another VM wrote."""
        record = self._exported_record(fingerprint)
        if record is None or not self._may_write(record):
            return
        self._log.warning(
            "request crashes replicas" if record.crashes else "suspected request succeeded",
            extra={
                "fingerprint": fingerprint,
                "level": record.level.value,
                "crashes": len(record.crashes),
            },
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
                        self._merge_stored(current.value)
                else:
                    return
        except StoreError as error:
            self._log.warning("crash record not written to the store", extra={"detail": str(error)})

    def _merge_stored(self, value: bytes) -> None:
        """Merge the record that is stored; one that can't be read is replaced."""
        try:
            self.merge(codec.from_json(value, SuspectRecord))
        except codec.MalformedError as error:
            self._log.warning("replaced unreadable crash record", extra={"detail": str(error)})

    def _exported_record(self, fingerprint: str) -> SuspectRecord | None:
        records = self._quarantine.export(self._now())
        return next((one for one in records if one.fingerprint == fingerprint), None)

    def _may_write(self, record: SuspectRecord) -> bool:
        now = self._now()
        is_first = all(not crash.is_later for crash in record.crashes)
        limit = MAX_WRITES // 2 if is_first else MAX_WRITES
        while self._write_times and self._write_times[0] <= now - WRITE_WINDOW_S:
            self._write_times.popleft()
        if len(self._write_times) >= limit:
            return False
        self._write_times.append(now)
        return True


def _refusal(mode: Refusal, *, left_s: float) -> Refusal:
    """Return the refusal of a request whose caller waits for `left_s` more seconds."""
    wait_ms = min(mode.retry_after_ms or RETRY_AFTER_MS, MAX_RETRY_SHARE * max(0.0, left_s) * 1000)
    return Refusal(mode.kind, mode.detail, RunState.NOT_RUN, retry_after_ms=int(wait_ms))
