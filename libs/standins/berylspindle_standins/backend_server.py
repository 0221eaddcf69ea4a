"""One stand-in backend server without its sockets: slots, cold start, snapshots and faults.

Terms:
  in flight   calls that run or wait for a slot
  cold        after a start the server can take `cold_slots` calls in flight; one more crashes it,
              unless the fault `cold_refuses` makes it refuse the call
  crash       all connections are reset, which ends their calls, and the server is down for
              `restart_ms`
  snapshot    the server holds the last two, each with the name of its shard in that snapshot

Flow: `search` and `execute` admit a call, wait for a slot, draw a service time and answer. A call
that is refused raises `RefusedError`; a call that crashes the server or arrives while it is
down raises `ServerDownError`.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

from berylspindle_model import codec
from berylspindle_model.backend_protocol import (
    BackendError,
    BackendRefusal,
    BackendState,
    ExecuteCall,
    ExecuteReply,
    HealthReport,
    LoadReport,
    SearchCall,
    SearchReply,
)
from berylspindle_model.configuration import Server
from berylspindle_model.snapshot import Snapshot
from berylspindle_standins.backend_faults import (
    BackendCounts,
    BackendFaults,
    BackendOptions,
)
from berylspindle_standins.call_log import CallLog, CallStep
from berylspindle_standins.index import shard_hits
from berylspindle_standins.slots import Slots

Call = SearchCall | ExecuteCall

MAX_SNAPSHOTS: Final = 2
RETRY_AFTER_MS: Final = 50


class RefusedError(Exception):
    """The call was refused or failed; `refusal` is the reply body with the reason."""

    def __init__(self, refusal: BackendRefusal) -> None:
        super().__init__(refusal.error)
        self.refusal: Final = refusal


class ServerDownError(Exception):
    """The call crashed the server, or arrived while the server was down."""


class BackendServer:
    """One backend server as its callers see it, without its sockets."""

    def __init__(
        self,
        spec: Server,
        options: BackendOptions,
        *,
        snapshot: Snapshot,
        on_crash: Callable[[], None] = lambda: None,
        log: CallLog | None = None,
    ) -> None:
        self._spec: Final = spec
        self._options: Final = options
        self._random = random.Random(f"{options.seed}/{spec.id}")
        self._on_crash: Final = on_crash
        self._log: Final = log if log is not None else CallLog()
        self._held_snapshots: list[tuple[Snapshot, str]] = [(snapshot, spec.shard)]
        self._cold = options.warm_after > 0
        self._finished_while_cold = 0
        self._draining = False
        self._down_until = 0.0
        self._slots = Slots(self._slot_count, options.queue)
        self.faults = BackendFaults()
        self.counts: Final = BackendCounts()

    @property
    def spec(self) -> Server:
        """Return the server's entry in the configuration."""
        return self._spec

    @property
    def options(self) -> BackendOptions:
        """Return the options of the whole run."""
        return self._options

    @property
    def state(self) -> BackendState:
        """Return the actual state."""
        if self._draining:
            return BackendState.DRAINING
        return BackendState.COLD if self._cold else BackendState.WARM

    @property
    def down(self) -> bool:
        """Return whether the server is down after a crash."""
        return asyncio.get_running_loop().time() < self._down_until

    @property
    def in_flight(self) -> int:
        """Return the number of calls that run or wait for a slot."""
        return self._slots.running + self._slots.queued

    @property
    def snapshots(self) -> tuple[Snapshot, ...]:
        """Return the held snapshots, newest last."""
        return tuple(snapshot for snapshot, _ in self._held_snapshots)

    def health(self) -> HealthReport:
        """Return the report of /health, which a fault can override."""
        state = self.state
        if self.faults.health_state is not None:
            state = BackendState(self.faults.health_state)
        return HealthReport(server=self._spec.id, state=state, versions=self.snapshots)

    def load(self) -> LoadReport:
        """Return the report of /load, which a fault can override."""
        reported = self.faults.load_in_flight
        return LoadReport(
            server=self._spec.id,
            in_flight=self.in_flight if reported is None else reported,
            slots=self._spec.slots,
            queued=self._slots.queued if reported is None else 0,
        )

    async def search(self, call: SearchCall, remaining: float | None) -> SearchReply:
        """Search the shard within `remaining` seconds."""
        snapshot = self._choose_snapshot(call)
        async with self._slot(call, remaining) as time_left:
            self.counts.searches_started += 1
            await self._serve(call, call.query, time_left)
        return self._search_reply(call, snapshot)

    async def execute(self, call: ExecuteCall, remaining: float | None) -> ExecuteReply:
        """Run a non-repeatable call. It counts as run once it holds a slot."""
        if call.service != self._spec.service or call.shard not in {
            s for _, s in self._held_snapshots
        }:
            raise self._refusal(BackendError.WRONG_SHARD, call)
        async with self._slot(call, remaining) as time_left:
            self.counts.executes_started += 1
            executions = self.counts.executions
            executions[call.key] = executions.get(call.key, 0) + 1
            await self._serve(call, codec.to_json(call.payload).decode(), time_left)
        return ExecuteReply(
            attempt=call.attempt,
            key=call.key,
            server=self._spec.id,
            result=self._result(call),
        )

    def crash(self) -> None:
        """Reset all connections, which ends their calls, and restart cold after `restart_ms`."""
        loop = asyncio.get_running_loop()
        self._down_until = loop.time() + self._options.restart_ms / 1000
        self._reset_to_cold()
        self._log_step(CallStep.CRASHED)
        self._on_crash()

    def turn_cold(self) -> None:
        """Turn cold without resetting connections."""
        self._reset_to_cold()
        self._log_step(CallStep.TURNED_COLD)

    def _reset_to_cold(self) -> None:
        self._cold = True
        self._finished_while_cold = 0
        self._slots.resize(self._slot_count)

    def turn_warm(self) -> None:
        """Turn warm at once."""
        self._cold = False
        self._slots.resize(self._slot_count)
        self._log_step(CallStep.TURNED_WARM)

    def drain(self, *, on: bool) -> None:
        """Start or stop refusing new calls; calls in flight continue."""
        self._draining = on
        self._log_step(CallStep.DRAIN if on else CallStep.DRAIN_ENDED)

    def publish(self, snapshot: Snapshot, shard: str | None = None) -> None:
        """Add a snapshot with the name of the server's shard in it, and drop the oldest."""
        if snapshot in self.snapshots:
            return
        name = shard if shard is not None else self._held_snapshots[-1][1]
        self._held_snapshots = [*self._held_snapshots, (snapshot, name)][-MAX_SNAPSHOTS:]
        self._log_step(CallStep.PUBLISHED, detail=f"{snapshot} shard {name}")

    @property
    def _slot_count(self) -> int:
        return self._spec.cold_slots if self._cold else self._spec.slots

    def _choose_snapshot(self, call: SearchCall) -> Snapshot:
        if call.service != self._spec.service:
            raise self._refusal(BackendError.WRONG_SHARD, call)
        matching = [snapshot for snapshot, shard in self._held_snapshots if shard == call.shard]
        if not matching:
            raise self._refusal(BackendError.WRONG_SHARD, call)
        if call.pin is None:
            return matching[-1]
        if call.pin not in matching:
            self.counts.snapshot_refusals += 1
            raise self._refusal(BackendError.SNAPSHOT_GONE, call)
        return call.pin

    @contextlib.asynccontextmanager
    async def _slot(self, call: Call, remaining: float | None) -> AsyncIterator[float | None]:
        """Hold a slot; yield the seconds until the deadline, or None without one."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        self._admit(call)
        self._record_arrival(started)
        self._log_step(CallStep.ADMITTED, call, pending=1)
        try:
            acquired = await self._slots.acquire(remaining)
        except asyncio.CancelledError:
            self.counts.cancelled += 1
            self._log_step(CallStep.STOPPED, call)
            raise
        if not acquired:
            self.counts.expired += 1
            raise self._refusal(BackendError.EXPIRED, call)
        self._log_step(CallStep.STARTED, call)
        try:
            yield None if remaining is None else remaining - (loop.time() - started)
        except asyncio.CancelledError:
            self.counts.cancelled += 1
            raise
        finally:
            self._slots.release()
            self._log_step(CallStep.STOPPED if sys.exception() else CallStep.FINISHED, call)
        self._record_finish()

    def _admit(self, call: Call) -> None:
        self.counts.arrived += 1
        if self.down:
            raise ServerDownError
        if self._draining:
            self.counts.drain_refusals += 1
            raise self._refusal(BackendError.DRAINING, call)
        if not self._cold:
            if self._slots.full:
                self.counts.sheds += 1
                raise self._refusal(BackendError.SHED, call)
            return
        if self.in_flight < self._spec.cold_slots:
            return
        if self.faults.cold_refuses:
            self.counts.cold_refusals += 1
            raise self._refusal(BackendError.COLD, call)
        self.counts.cold_overruns += 1
        self._log_step(CallStep.OVERRUN, call, pending=1)
        self.crash()
        raise ServerDownError

    def _record_arrival(self, now: float) -> None:
        counts = self.counts
        in_flight = self.in_flight + 1
        counts.max_in_flight = max(counts.max_in_flight, in_flight)
        if self._cold:
            counts.max_in_flight_cold = max(counts.max_in_flight_cold, in_flight)
        counts.last_arrival_monotonic = now
        counts.last_arrival_wall = time.time()

    async def _serve(self, call: Call, text: str, time_left: float | None) -> None:
        """Sleep for the service time; a crash marker crashes the server halfway."""
        seconds = self._service_time()
        if self._options.crash_marker in text:
            await asyncio.sleep(seconds / 2)
            self.counts.crashes += 1
            self.crash()
            raise ServerDownError
        if time_left is not None and seconds > time_left:
            await asyncio.sleep(max(time_left, 0.0))
            self.counts.failed += 1
            raise self._refusal(BackendError.DEADLINE, call)
        await asyncio.sleep(seconds)
        if self.faults.consume("failed_replies"):
            self.counts.failed += 1
            raise self._refusal(BackendError.FAILED, call)

    def _service_time(self) -> float:
        """Return a random service time in seconds."""
        options, faults = self._options, self.faults
        sigma = options.sigma
        # The mean of a lognormal distribution is exp(mu + sigma^2 / 2); this mu makes it 1.
        factor = self._random.lognormvariate(-sigma * sigma / 2, sigma)
        probability = faults.straggler_probability
        if probability is None:
            probability = options.straggler_probability
        if self._random.random() < probability:
            factor *= options.straggler_factor
        return (options.mean_ms * factor * faults.slow_factor + faults.delay_ms) / 1000

    def _record_finish(self) -> None:
        self.counts.finished += 1
        if not self._cold:
            return
        self._finished_while_cold += 1
        if self._finished_while_cold >= max(self._options.warm_after, 1):
            self.turn_warm()

    def _search_reply(self, call: SearchCall, snapshot: Snapshot) -> SearchReply:
        hits = shard_hits(call.service, call.shard, snapshot, call.query)
        partial = self.faults.consume("partial_replies")
        if partial:
            hits = hits[::2]
        return SearchReply(
            attempt=call.attempt,
            server=self._spec.id,
            service=call.service,
            shard=call.shard,
            snapshot=snapshot,
            versions=self.snapshots,
            partial=partial,
            hits=hits[: call.limit],
            total=len(hits),
        )

    def _result(self, call: ExecuteCall) -> dict[str, Any]:
        return {"confirmed": call.key, "shard": call.shard, "server": self._spec.id}

    def _log_step(
        self, step: CallStep, call: Call | None = None, *, pending: int = 0, detail: str = ""
    ) -> None:
        """Log a step; `pending` calls are admitted but not yet counted as in flight."""
        self._log.add(
            self._spec.id,
            step,
            attempt=call.attempt if call is not None else "",
            text=_text_of(call),
            execute=isinstance(call, ExecuteCall),
            in_flight=self.in_flight + pending,
            cold=self._cold,
            detail=detail,
        )

    def _refusal(self, error: BackendError, call: Call) -> RefusedError:
        self._log_step(CallStep.REFUSED, call, detail=error.value)
        retry_after_ms = RETRY_AFTER_MS if error in _RETRYABLE else None
        return RefusedError(
            BackendRefusal(
                error=error,
                attempt=call.attempt,
                retry_after_ms=retry_after_ms,
                versions=self.snapshots,
            )
        )


_RETRYABLE: Final = frozenset({BackendError.SHED, BackendError.COLD, BackendError.DRAINING})


def _text_of(call: Call | None) -> str:
    if call is None:
        return ""
    return call.key if isinstance(call, ExecuteCall) else call.query
