"""The entry's side of the peer protocol: links to owners, and control calls.

Terms:
  link         one stream of frames to one VM, opened on demand and kept open; see `entry_link`
  outstanding  an attempt that was submitted and neither answered nor cancelled
  silent       a link on which nothing is received although attempts are outstanding

Flow: `submit` passes a batch to the link of its VM and returns at once. The link's task opens the
stream, writes, reads and delivers one reply for each attempt; if the owner can't answer, the link
generates the reply. One ticker task checks the links with outstanding attempts, sends pings and
replaces silent links; a timer for each attempt or link would cost more than the frames do. A silent
link is kept beside its replacement until its executes are answered or their deadlines pass.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from typing import Final

from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import AttemptBatch
from berylspindle_model.topology import Vm
from berylspindle_wire.entry_link import EntryLink, OnReply, failed_reply
from berylspindle_wire.link_settings import LinkCounters, LinkSettings
from berylspindle_wire.peer_calls import PeerCalls

_TICK_INTERVAL_S: Final = 0.25
_UNUSED_LINK_TIMEOUT_S: Final = 60.0


class PeerLinks:
    """Links from this VM to all owners that it uses; requires a running event loop when created.

    Times are in seconds. `silence_timeout` limits the time without any frame from the owner while
    attempts are outstanding and this process runs. `max_queued` limits the attempts not yet written
    on one link. `on_fault` is called with exceptions of reply callbacks and with malformed frames.
    `on_silent` is called with the owner of each link that was silent for too long.
    """

    def __init__(
        self,
        entry_id: str,
        *,
        key: bytes | None,
        connect_timeout: float = 0.5,
        silence_timeout: float = 1.0,
        max_queued: int = 4096,
        on_fault: Callable[[BaseException], None] | None = None,
        on_silent: Callable[[Vm], None] | None = None,
    ) -> None:
        tick_interval = min(_TICK_INTERVAL_S, silence_timeout / 4)
        self.counters: Final = LinkCounters()
        self._settings: Final = LinkSettings(
            entry_id=entry_id,
            key=key,
            connect_timeout=connect_timeout,
            max_silent_ticks=math.ceil(silence_timeout / tick_interval),
            max_queued=max_queued,
            on_fault=on_fault or (lambda _: None),
            on_silent=on_silent or (lambda _: None),
        )
        self._links: dict[str, EntryLink] = {}
        # Abandoned links with executes that may still be answered.
        self._silent_links: set[EntryLink] = set()
        self._calls = PeerCalls(key, connect_timeout)
        self._closed = False
        self._loop = asyncio.get_running_loop()
        self._ticker = self._loop.create_task(self._tick(tick_interval))

    @property
    def outstanding(self) -> int:
        """Return the number of attempts waiting for a reply."""
        return sum(link.outstanding for link in (*self._links.values(), *self._silent_links))

    @property
    def open_links(self) -> int:
        """Return the number of links, including silent ones that wait for executes."""
        return len(self._links) + len(self._silent_links)

    def submit(self, vm: Vm, batch: AttemptBatch, on_reply: OnReply) -> None:
        """Send a batch to its owner and return at once.

        `on_reply` is called once for each attempt that isn't cancelled, never from within this
        call. The replies are OVERLOADED, NOT_RUN if the queue of the link is full; PEER_LOST,
        NOT_RUN if the link can't be opened or the batch was never written; PEER_LOST, MAY_HAVE_RUN
        if the link broke after the write; SHUTTING_DOWN, NOT_RUN after `close` or `closing`. Raise
        ValueError for an attempt id that is already outstanding.
        """
        if not self._closed:
            self._link(vm).submit(batch, on_reply)
            return
        for attempt in batch.attempts:
            detail = "links of this VM are closed"
            reply = failed_reply(attempt, ErrorKind.SHUTTING_DOWN, RunState.NOT_RUN, detail)
            self._loop.call_soon(on_reply, reply)

    def cancel(self, vm: Vm, attempts: Sequence[str]) -> None:
        """Cancel attempts: their replies are dropped, and the owner is asked to stop their work."""
        link = self._links.get(vm.id)
        for each in (*self._silent_links, *([link] if link is not None else [])):
            each.cancel(attempts)

    async def call(self, vm: Vm, method: str, payload: bytes, *, timeout: float) -> bytes:
        """Make a control call; `timeout` is in seconds.

        Raise RefusalError: the peer's own refusal, UNAUTHORISED if the key differs,
        CONNECTION_LOST if the peer is unreachable or the connection is lost, or DEADLINE_EXCEEDED.
        """
        return await self._calls.call(vm, method, payload, timeout=timeout)

    async def close(self) -> None:
        """Close all links; outstanding attempts are answered PEER_LOST."""
        self._closed = True
        self._ticker.cancel()
        await asyncio.gather(self._ticker, return_exceptions=True)
        links = (*self._links.values(), *self._silent_links)
        await asyncio.gather(*(link.close() for link in links))
        self._links.clear()
        self._silent_links.clear()
        self._calls.close()

    def _link(self, vm: Vm) -> EntryLink:
        link = self._links.get(vm.id)
        if link is None:
            link = self._links[vm.id] = EntryLink(vm, self._settings, self.counters)
        return link

    async def _tick(self, interval: float) -> None:
        while True:
            await asyncio.sleep(interval)
            now = self._loop.time()
            await self._tick_silent_links(now)
            for vm_id, link in tuple(self._links.items()):
                link.tick()
                if link.is_silent:
                    del self._links[vm_id]
                    self._silent_links.add(link)
                    link.abandon()
                elif link.is_unused(now, _UNUSED_LINK_TIMEOUT_S):
                    del self._links[vm_id]
                    await link.close()
            self._calls.close_unused(now, _UNUSED_LINK_TIMEOUT_S)

    async def _tick_silent_links(self, now: float) -> None:
        for link in tuple(self._silent_links):
            link.tick()
            link.expire(now)
            if not link.outstanding:
                self._silent_links.discard(link)
                await link.close()
