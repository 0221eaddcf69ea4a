"""The owner's end of one link: frames in, batches run as tasks, replies out.

Terms:
  unanswered   an attempt whose batch is running and that was neither answered nor cancelled

Flow: `serve` reads frames and starts one task for each batch; a writer task sends everything that
became ready since its last frame as one frame. If the link breaks, the tasks are cancelled, since
their replies are no longer needed. If the entry ends its side of the stream in order, all batches
are answered first.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import Final

from grpclib.server import Stream

from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import Attempt, AttemptBatch, AttemptReply
from berylspindle_wire.peer_codec import FRAME_ITEMS, PeerFrame

WRITE_TIMEOUT_S: Final = 5.0
"""Seconds within which an entry must accept a frame. Without a timeout, replies for an entry that
has stopped reading would accumulate without limit."""


class BatchHandler(ABC):
    """Interface for running batches at the owner; the data plane implements it."""

    @abstractmethod
    async def run(self, batch: AttemptBatch, reply: Callable[[AttemptReply], None]) -> None:
        """Run a batch and call `reply` once for each of its attempts, in any order.

        Attempts without a reply when this returns are answered INTERNAL. It is cancelled when the
        entry disconnects.
        """

    @abstractmethod
    def cancel(self, attempts: Sequence[str]) -> None:
        """Cancel attempts; their replies are no longer sent."""


class OwnerLink:
    """The server side of one link."""

    def __init__(
        self,
        stream: Stream[PeerFrame, PeerFrame],
        handler: BatchHandler,
        on_fault: Callable[[BaseException], None],
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._on_fault = on_fault
        self._unanswered: dict[str, Attempt] = {}
        self._running: set[asyncio.Task[None]] = set()
        self._replies: list[AttemptReply] = []
        self._pong: int | None = None
        self._closing = False
        self._closing_sent = False
        self._input_ended = False
        self._wake = asyncio.Event()

    def send_closing(self) -> None:
        """Send `closing`: the entry submits no more work on this link and ends it."""
        self._closing = True
        self._wake.set()

    async def serve(self) -> None:
        """Serve the link until the entry ends it; raise if it breaks or a write times out."""
        await self._stream.send_initial_metadata()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._write())
                await self._read(group)
        finally:
            if self._unanswered:
                self._handler.cancel(tuple(self._unanswered))

    async def _read(self, group: asyncio.TaskGroup) -> None:
        async for frame in self._stream:
            if frame.ping is not None:
                self._pong = frame.ping
                self._wake.set()
            if frame.cancel:
                self._cancel(frame.cancel)
            for batch in frame.batches:
                self._start(group, batch)
        while self._running:
            await asyncio.wait(self._running)
        self._input_ended = True
        self._wake.set()

    def _start(self, group: asyncio.TaskGroup, batch: AttemptBatch) -> None:
        self._unanswered.update((attempt.id, attempt) for attempt in batch.attempts)
        task = group.create_task(self._run(batch))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _run(self, batch: AttemptBatch) -> None:
        try:
            await self._handler.run(batch, self._reply)
        except Exception as error:
            self._on_fault(error)
        for attempt in batch.attempts:
            if attempt.id in self._unanswered:
                self._reply(_unanswered_reply(attempt))

    def _cancel(self, attempts: tuple[str, ...]) -> None:
        cancelled = [attempt for attempt in attempts if self._unanswered.pop(attempt, None)]
        if cancelled:
            self._handler.cancel(cancelled)

    def _reply(self, reply: AttemptReply) -> None:
        """Queue a reply; a duplicate, or one for a cancelled attempt, is dropped."""
        if self._unanswered.pop(reply.attempt, None) is None:
            return
        self._replies.append(reply)
        self._wake.set()

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            frame = self._next_frame()
            if frame is not None:
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await self._stream.send_message(frame)
            elif self._input_ended:
                return

    def _next_frame(self) -> PeerFrame | None:
        """Return a frame of all that is ready to send, or None."""
        closing = self._closing and not self._closing_sent
        if not (self._replies or closing or self._pong is not None):
            return None
        replies = tuple(self._replies[:FRAME_ITEMS])
        del self._replies[:FRAME_ITEMS]
        frame = PeerFrame(replies=replies, pong=self._pong, closing=closing)
        self._pong = None
        self._closing_sent = self._closing
        self._wake.set()  # Check again for more replies or the end of the input.
        return frame


def _unanswered_reply(attempt: Attempt) -> AttemptReply:
    return AttemptReply(
        attempt=attempt.id,
        server=attempt.server,
        shard=attempt.shard,
        error=ErrorKind.INTERNAL,
        run=RunState.MAY_HAVE_RUN,
        detail="batch handler returned without a reply",
    )
