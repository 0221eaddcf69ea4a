"""Owner side of the data plane: one worker per backend server that this VM owns.

Terms:
  owned   a backend server in the data centre of this VM for which the view names this VM

Flow: `adopt` applies the cluster state: it creates a worker for each server that became owned,
refuses the queued attempts of each server no longer owned and closes its worker once the running
attempts have ended. Batches arrive from the entry of this VM through `submit_local` and from peers
through `run`. Each attempt goes to the worker of its server or is refused as NOT_RUN.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from functools import partial
from typing import Final

from berylspindle_dataplane.backend import Backend
from berylspindle_dataplane.owner_table import OwnerTable
from berylspindle_dataplane.router import LocalDispatcher, OnReply, refusal_reply
from berylspindle_dataplane.server_worker import ServerWorker
from berylspindle_dataplane.worker_context import QueuedAttempt, WorkerContext
from berylspindle_model.configuration import Server, ServerState
from berylspindle_model.errors import ErrorKind
from berylspindle_model.events import EventKind
from berylspindle_model.messages import Attempt, AttemptBatch, AttemptReply
from berylspindle_model.operator_protocol import ServerReport
from berylspindle_model.topology import ClusterState, Vm
from berylspindle_telemetry import metric_names as names
from berylspindle_wire.owner_link import BatchHandler

OpenBackend = Callable[[Server], Backend]


class Owner(LocalDispatcher, BatchHandler):
    """Run attempts at the backend servers that this VM owns."""

    def __init__(
        self, me: Vm, owners: OwnerTable, open_backend: OpenBackend, context: WorkerContext
    ) -> None:
        self._me: Final = me
        self._owners: Final = owners
        self._open_backend: Final = open_backend
        self._context: Final = context
        self._workers: dict[str, ServerWorker] = {}
        self._leaving: frozenset[str] = frozenset()
        self._state = ClusterState()
        self._closing: set[asyncio.Task[None]] = set()
        # Callbacks by attempt for cancellation by a peer, since a cancelled attempt gets no reply.
        self._cancel_callbacks: dict[str, Callable[[], None]] = {}
        context.metrics.gauge_function(names.SERVERS_OWNED, lambda: len(self._workers))

    @property
    def owned(self) -> tuple[str, ...]:
        """Return the ids of the backend servers that this VM owns."""
        return tuple(self._workers)

    @property
    def in_flight(self) -> int:
        """Return the number of attempts running or queued at all owned servers."""
        return sum(worker.in_flight + worker.queued for worker in self._workers.values())

    def reports(self) -> tuple[ServerReport, ...]:
        """Return the state of each owned backend server as seen by this VM."""
        return tuple(worker.report() for worker in self._workers.values())

    def adopt(self, state: ClusterState) -> None:
        """Apply a new cluster state: create, update and close workers."""
        self._state = state
        owned = self._owned_servers(state)
        for server_id in [name for name in self._workers if name not in owned]:
            self._release_worker(server_id)
        for server in owned.values():
            self._ensure_worker(server)

    def mark_leaving(self, servers: frozenset[str]) -> None:
        """Refuse new work to backend servers that are leaving according to the VM list."""
        self._leaving = servers
        self.adopt(self._state)

    def submit_local(self, batch: AttemptBatch, on_reply: OnReply) -> None:
        """Queue a batch of the entry on this VM."""
        now = self._context.now()
        deadline = now + batch.deadline_ms / 1000
        for attempt in batch.attempts:
            self._submit(attempt, batch, now, deadline, on_reply)

    async def run(self, batch: AttemptBatch, reply: Callable[[AttemptReply], None]) -> None:
        """Queue a batch of a peer and wait until each of its attempts has been answered."""
        unanswered = {attempt.id for attempt in batch.attempts}
        done = asyncio.Event()

        def on_settled(attempt_id: str) -> None:
            self._cancel_callbacks.pop(attempt_id, None)
            unanswered.discard(attempt_id)
            if not unanswered:
                done.set()

        def forward(attempt_reply: AttemptReply) -> None:
            reply(attempt_reply)
            on_settled(attempt_reply.attempt)

        for attempt in batch.attempts:
            self._cancel_callbacks[attempt.id] = partial(on_settled, attempt.id)
        self.submit_local(batch, forward)
        try:
            await done.wait()
        except asyncio.CancelledError:
            # The peer or its link is gone, so the replies are no longer awaited.
            self.cancel(tuple(unanswered))
            raise

    def cancel(self, attempts: Sequence[str]) -> None:
        """Cancel attempts, queued or running."""
        for attempt_id in attempts:
            for worker in self._workers.values():
                if worker.cancel(attempt_id):
                    break
            on_settled = self._cancel_callbacks.get(attempt_id)
            if on_settled is not None:
                on_settled()

    def stop_accepting(self) -> None:
        """Refuse new and queued attempts at every server during shutdown."""
        for worker in self._workers.values():
            worker.set_refusal(ErrorKind.SHUTTING_DOWN)

    async def wait_idle(self) -> None:
        """Wait until no attempt is running at any owned server."""
        await asyncio.gather(*(worker.wait_idle() for worker in self._workers.values()))

    async def close(self) -> None:
        """Close all workers."""
        workers = list(self._workers.values())
        self._workers.clear()
        await asyncio.gather(*(worker.close() for worker in workers), *self._closing)

    def _submit(
        self, attempt: Attempt, batch: AttemptBatch, now: float, deadline: float, on_reply: OnReply
    ) -> None:
        worker = self._workers.get(attempt.server)
        if worker is None:
            on_reply(
                refusal_reply(
                    attempt.id,
                    server=attempt.server,
                    shard=attempt.shard,
                    kind=ErrorKind.NOT_OWNER,
                )
            )
            return
        queued = QueuedAttempt(
            attempt=attempt,
            caller=batch.caller,
            deadline=deadline,
            on_reply=on_reply,
            enqueued_at=now,
            fingerprint=batch.fingerprint,
            is_canary=batch.is_canary,
        )
        worker.submit(queued)

    def _owned_servers(self, state: ClusterState) -> dict[str, Server]:
        if state.configuration is None:
            return {}
        return {
            server.id: server
            for server in state.configuration.servers
            if server.data_centre == self._me.data_centre and self._is_owned(server)
        }

    def _is_owned(self, server: Server) -> bool:
        owner = self._owners.owner(server)
        return owner is not None and owner.id == self._me.id

    def _ensure_worker(self, server: Server) -> None:
        worker = self._workers.get(server.id)
        if worker is not None and not _same_server(worker.server, server):
            self._release_worker(server.id)
            worker = None
        if worker is None:
            worker = ServerWorker(server, self._open_backend(server), self._context, None)
            self._workers[server.id] = worker
            self._context.timeline.record(
                EventKind.OWNERSHIP_GAINED, service=server.service, server=server.id
            )
        worker.set_refusal(self._refusal(server))

    def _refusal(self, server: Server) -> ErrorKind | None:
        """Return the refusal of new attempts at a server, or None if it accepts work."""
        configuration = self._state.configuration
        if configuration is None or not configuration.is_in(server.data_centre):
            return ErrorKind.DATA_CENTRE_OUT
        if server.state is ServerState.RETIRED or server.id in self._leaving:
            return ErrorKind.SERVER_LEAVING
        return None

    def _release_worker(self, server_id: str) -> None:
        worker = self._workers.pop(server_id)
        worker.release()
        self._context.timeline.record(EventKind.OWNERSHIP_LOST, server=server_id)
        task = asyncio.get_running_loop().create_task(_drain_and_close(worker))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def _drain_and_close(worker: ServerWorker) -> None:
    """Wait for running attempts before closing the connections."""
    await worker.wait_idle()
    await worker.close()


def _same_server(one: Server, other: Server) -> bool:
    """Return whether the connections and limits of a worker still match its server."""
    return (one.host, one.port, one.slots, one.cold_slots, one.connections) == (
        other.host,
        other.port,
        other.slots,
        other.cold_slots,
        other.connections,
    )
