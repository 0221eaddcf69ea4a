"""The entry's end of one link: batches out, replies in, exactly one reply for each attempt.

Terms:
  written   passed to the stream; from then on only the owner can tell that an attempt has not run
  silent    nothing was received for too long although attempts are outstanding

Flow: the link's task waits for work, opens a stream and reads replies, while a writer task sends
everything queued since its last frame as one frame. When the stream ends, each outstanding attempt
gets a failure reply: NOT_RUN if it was never written, else MAY_HAVE_RUN. A reply that matches no
outstanding attempt by id, backend server and shard is dropped and counted: it is late or misrouted,
and delivering it would give one caller the results of another.

A silent owner may be dead, cut off or paused. `abandon` fails the searches of its link, which can
be retried elsewhere. Executes stay outstanding until their deadlines: only this stream can carry
their outcome, and an outcome that is reported as unknown stays unknown.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from contextlib import AsyncExitStack
from typing import Final

import attrs
from grpclib import GRPCError
from grpclib.client import Channel, Stream
from grpclib.const import Cardinality
from grpclib.exceptions import ProtocolError, StreamTerminatedError

from berylspindle_model.codec import MalformedError
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import Attempt, AttemptBatch, AttemptReply
from berylspindle_model.topology import Vm
from berylspindle_wire.link_settings import LinkCounters, LinkSettings
from berylspindle_wire.peer_auth import sign_call
from berylspindle_wire.peer_codec import FRAME_ITEMS, LINK_PATH, PeerCodec, PeerFrame

INITIAL_BACKOFF_S: Final = 0.05
MAX_BACKOFF_S: Final = 2.0

_PINGS_PER_SILENCE_TIMEOUT: Final = 4
"""Divisor of the maximum of silent ticks; a link is pinged after the resulting number of ticks."""

OnReply = Callable[[AttemptReply], None]
_LinkStream = Stream[PeerFrame, PeerFrame]
_STREAM_ERRORS: Final = (OSError, TimeoutError, GRPCError, StreamTerminatedError, ProtocolError)


@attrs.define
class _Outstanding:
    attempt: Attempt
    on_reply: OnReply
    deadline: float
    written: bool = False


@attrs.frozen
class _Queued:
    batch: AttemptBatch
    queued_at: float


class EntryLink:
    """The link from this VM to one owner."""

    def __init__(self, vm: Vm, settings: LinkSettings, counters: LinkCounters) -> None:
        self._vm: Final = vm
        self._settings: Final = settings
        self._counters: Final = counters
        self._loop = asyncio.get_running_loop()
        self._outstanding: dict[str, _Outstanding] = {}
        self._queue: deque[_Queued] = deque()
        self._queued_attempts = 0
        self._cancelled: list[str] = []
        self._ping_number = 0
        self._ping_due = False
        self._closing = False
        self._channel: Channel | None = None
        self._failures = 0
        self._next_open = 0.0
        self._silent_ticks = 0
        self._last_submitted = self._loop.time()
        self._work_available = asyncio.Event()
        self._task = self._loop.create_task(self._run())

    @property
    def outstanding(self) -> int:
        """Return the number of attempts waiting for a reply."""
        return len(self._outstanding)

    @property
    def is_silent(self) -> bool:
        """Return whether nothing was received for too long although attempts are outstanding."""
        return self._silent_ticks > self._settings.max_silent_ticks

    def is_unused(self, now: float, timeout: float) -> bool:
        """Return whether nothing is outstanding and nothing was submitted for `timeout` seconds."""
        return not self._outstanding and now - self._last_submitted > timeout

    def submit(self, batch: AttemptBatch, on_reply: OnReply) -> None:
        """Queue a batch; see `PeerLinks.submit`."""
        if any(attempt.id in self._outstanding for attempt in batch.attempts):
            raise ValueError("attempt id is already outstanding")
        if not self._outstanding:
            self._silent_ticks = 0
        self._last_submitted = self._loop.time()
        deadline = self._last_submitted + batch.deadline_ms / 1000
        for attempt in batch.attempts:
            self._outstanding[attempt.id] = _Outstanding(attempt, on_reply, deadline)
        if self._closing:
            self._schedule_refusal(batch, ErrorKind.SHUTTING_DOWN, "the owner is shutting down")
        elif self._queued_attempts + len(batch.attempts) > self._settings.max_queued:
            self._counters.overloaded += len(batch.attempts)
            self._schedule_refusal(batch, ErrorKind.OVERLOADED, "the queue to the owner is full")
        else:
            self._queue.append(_Queued(batch, self._last_submitted))
            self._queued_attempts += len(batch.attempts)
            self._work_available.set()

    def cancel(self, attempts: Sequence[str]) -> None:
        """Drop attempts, and send the owner a cancellation for those already written."""
        for attempt in attempts:
            pending = self._outstanding.pop(attempt, None)
            if pending is not None and pending.written:
                self._cancelled.append(attempt)
                self._work_available.set()

    def tick(self) -> None:
        """Ping while attempts are outstanding, and count the silence of the owner.

        Silence is counted in ticks. Measured by the clock, a pause of this process would count as
        silence of the owner, although its frames wait unread in the socket.
        """
        if not self._outstanding or self._channel is None:
            return
        self._silent_ticks += 1
        ping_after = self._settings.max_silent_ticks / _PINGS_PER_SILENCE_TIMEOUT
        if self._silent_ticks > ping_after and not self.is_silent:
            self._ping_due = True
            self._work_available.set()

    def abandon(self) -> None:
        """Fail all outstanding attempts but the executes that were written.

        Call this once, when the link is silent; nothing may be submitted afterwards.
        """
        self._counters.silent += 1
        self._settings.on_silent(self._vm)
        self._drain_queue()
        for pending in tuple(self._outstanding.values()):
            if pending.written and pending.attempt.execute_key is not None:
                continue
            if pending.written:
                self._cancelled.append(pending.attempt.id)
                self._work_available.set()
            self._fail(pending, "the owner is silent")

    def expire(self, now: float) -> None:
        """Fail outstanding attempts whose deadline has passed."""
        for pending in tuple(self._outstanding.values()):
            if now >= pending.deadline:
                self._fail(pending, "no reply before the deadline")

    async def close(self) -> None:
        """Close the link and fail all outstanding attempts."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._fail_outstanding("the link was closed")

    async def _run(self) -> None:
        while True:
            await self._work_available.wait()
            if not self._queue:
                # Cancellations and pings refer to the previous stream and don't open a new one.
                self._work_available.clear()
                self._cancelled.clear()
                continue
            async with AsyncExitStack() as stack:
                stream = await self._open(stack)
                if stream is not None:
                    await self._run_stream(stream)
            self._fail_outstanding(
                "the link broke" if stream is not None else "no link to the owner"
            )
            self._closing = False

    async def _open(self, stack: AsyncExitStack) -> _LinkStream | None:
        """Return an open stream that the owner has accepted, or None.

        Waiting for the owner's initial metadata before writing any batch costs one round trip per
        link. Without it, attempts that are refused because the key is wrong or the VM is shutting
        down would be reported as MAY_HAVE_RUN.
        """
        if self._loop.time() < self._next_open:
            # A reply callback may submit again at once. Without this yield, the two would loop
            # without letting the event loop run anything else.
            await asyncio.sleep(0)
            return None
        channel = Channel(self._vm.host, self._vm.peer_port, codec=PeerCodec())
        stack.callback(channel.close)
        metadata = sign_call(self._settings.key, LINK_PATH)
        request = channel.request(
            LINK_PATH, Cardinality.STREAM_STREAM, PeerFrame, PeerFrame, metadata=metadata
        )
        try:
            async with asyncio.timeout(self._settings.connect_timeout):
                stream = await request.__aenter__()
                stack.push_async_callback(_release, stream)
                await stream.send_request()
                await stream.recv_initial_metadata()
        except _STREAM_ERRORS:
            self._counters.open_failed += 1
            self._back_off()
            return None
        self._counters.opened += 1
        self._failures = 0
        self._silent_ticks = 0
        self._channel = channel
        stack.callback(self._clear_channel)
        return stream

    def _clear_channel(self) -> None:
        self._channel = None

    def _back_off(self) -> None:
        """Delay the next open, doubling the delay each time; submits fail at once meanwhile."""
        backoff = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._next_open = self._loop.time() + backoff

    async def _run_stream(self, stream: _LinkStream) -> None:
        writer = self._loop.create_task(self._write(stream))
        try:
            async for frame in stream:
                self._handle_frame(frame)
        except _STREAM_ERRORS:
            self._counters.broken += 1
        except MalformedError as error:
            self._counters.broken += 1
            self._settings.on_fault(error)
        finally:
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)

    def _handle_frame(self, frame: PeerFrame) -> None:
        self._silent_ticks = 0
        self._counters.frames_received += 1
        for reply in frame.replies:
            pending = self._outstanding.get(reply.attempt)
            if pending is None or not _matches(pending, reply):
                self._counters.dropped_replies += 1
                continue
            self._counters.replies += 1
            self._complete(pending.attempt.id, reply)
        if frame.closing:
            self._closing = True
            for queued in self._drain_queue():
                self._refuse(queued.batch, ErrorKind.SHUTTING_DOWN, "the owner is shutting down")
            self._work_available.set()

    async def _write(self, stream: _LinkStream) -> None:
        while True:
            await self._work_available.wait()
            self._work_available.clear()
            frame = self._next_frame()
            if frame is not None:
                self._counters.frames_sent += 1
                await stream.send_message(frame)
            if self._closing:
                await stream.end()
                return

    def _next_frame(self) -> PeerFrame | None:
        """Return a frame of all that is ready to send, marked as written, or None."""
        batches = tuple(self._prepare_batches())
        if not (batches or self._cancelled or self._ping_due):
            return None
        if self._ping_due:
            self._ping_number += 1
        frame = PeerFrame(
            batches=batches,
            cancel=tuple(self._cancelled),
            ping=self._ping_number if self._ping_due else None,
        )
        self._cancelled.clear()
        self._ping_due = False
        return frame

    def _prepare_batches(self) -> Iterable[AttemptBatch]:
        """Yield queued batches without cancelled attempts and with the remaining deadline.

        Stop when the frame is full; the rest goes into the next one.
        """
        now = self._loop.time()
        capacity = FRAME_ITEMS
        while self._queue and capacity > 0:
            queued = self._queue.popleft()
            self._queued_attempts -= len(queued.batch.attempts)
            batch = self._prepare(queued, now)
            if batch is not None:
                capacity -= len(batch.attempts)
                yield batch
        if self._queue:
            self._work_available.set()

    def _prepare(self, queued: _Queued, now: float) -> AttemptBatch | None:
        """Return a queued batch ready to write and marked as written, or None."""
        batch = queued.batch
        remaining = tuple(a for a in batch.attempts if a.id in self._outstanding)
        remaining_ms = batch.deadline_ms - int((now - queued.queued_at) * 1000)
        if remaining_ms <= 0:
            self._refuse(
                batch, ErrorKind.DEADLINE_EXCEEDED, "deadline passed while waiting for the link"
            )
            return None
        if not remaining:
            return None
        for attempt in remaining:
            self._outstanding[attempt.id].written = True
        if remaining_ms == batch.deadline_ms and len(remaining) == len(batch.attempts):
            return batch
        return attrs.evolve(batch, attempts=remaining, deadline_ms=remaining_ms)

    def _drain_queue(self) -> deque[_Queued]:
        queue, self._queue = self._queue, deque()
        self._queued_attempts = 0
        return queue

    def _fail_outstanding(self, detail: str) -> None:
        self._drain_queue()
        self._cancelled.clear()
        for pending in tuple(self._outstanding.values()):
            self._fail(pending, detail)

    def _fail(self, pending: _Outstanding, detail: str) -> None:
        run = RunState.MAY_HAVE_RUN if pending.written else RunState.NOT_RUN
        # Not CONNECTION_LOST, which refers to a backend server: the loss of a VM says nothing
        # about what its servers ran.
        reply = failed_reply(pending.attempt, ErrorKind.PEER_LOST, run, detail)
        self._complete(pending.attempt.id, reply)

    def _schedule_refusal(self, batch: AttemptBatch, kind: ErrorKind, detail: str) -> None:
        self._loop.call_soon(self._refuse, batch, kind, detail)

    def _refuse(self, batch: AttemptBatch, kind: ErrorKind, detail: str) -> None:
        for attempt in batch.attempts:
            self._complete(attempt.id, failed_reply(attempt, kind, RunState.NOT_RUN, detail))

    def _complete(self, attempt: str, reply: AttemptReply) -> None:
        pending = self._outstanding.pop(attempt, None)
        if pending is None:
            return
        try:
            pending.on_reply(reply)
        except Exception as error:
            self._settings.on_fault(error)


def _matches(pending: _Outstanding, reply: AttemptReply) -> bool:
    attempt = pending.attempt
    return pending.written and attempt.server == reply.server and attempt.shard == reply.shard


def failed_reply(attempt: Attempt, kind: ErrorKind, run: RunState, detail: str) -> AttemptReply:
    """Return a failure reply that the entry generates in place of the owner."""
    return AttemptReply(
        attempt=attempt.id,
        server=attempt.server,
        shard=attempt.shard,
        error=kind,
        run=run,
        detail=detail,
    )


async def _release(stream: _LinkStream) -> None:
    """Release a stream to grpclib without waiting for its end, ignoring its errors."""
    try:
        await stream.__aexit__(GeneratorExit, GeneratorExit(), None)
    except _STREAM_ERRORS:
        pass
