"""Tell the other VMs which requests have crashed backend servers.

Terms:
  records   what the quarantine exports: suspects, quarantined and cleared fingerprints

Flow: each change of the local quarantine calls `changed`; the task `run` then sends the newest
records to other VMs, one sending for all changes of 10 ms. `receive` merges what a VM sends, and
passes on only what was new here, so that an exchange ends by itself.

Guard: without this each VM learns of a crashing request by losing servers of its own. It shows as
one search, sent again through eight VMs in turn, that takes some 50 backend servers down. A strike
is therefore told at once to all VMs where they are few. Where they are many it goes to four at
random, and on from each that had not heard it: about as many rounds as the logarithm of their
number, each of some milliseconds.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from berylspindle_dataplane.watched_quarantine import WatchedQuarantine
from berylspindle_decisions.quarantine import Level, Quarantine, SuspectRecord
from berylspindle_model import codec
from berylspindle_model.errors import ErrorKind, refuse
from berylspindle_model.topology import ClusterState, Vm

# Name of the call between VMs.
SUSPECTS: Final = "suspects"
# Up to so many VMs each strike is told to all; today's deployments have 8.
MAX_TOLD_ALL: Final = 16
TOLD_AT_RANDOM: Final = 4
# A fan-out strikes once a shard within a few milliseconds; all of it goes into one sending.
COALESCE_SECONDS: Final = 0.01
# Newest records in one sending: some 5 KB, and far more than crash servers at one time.
MAX_RECORDS: Final = 32
# How often quarantines that ended by time alone are looked for.
EXPIRE_SECONDS: Final = 1.0

# Tell one VM; a failure is for the callee to drop, the next change is told again.
Tell = Callable[[Vm, bytes], Awaitable[None]]


class SuspectShare:
    """Exchange the records of one VM's quarantine with the others.

    What others have cleared is cleared for the owner's own quarantine too: it would else go on
    refusing a search that has run without harm elsewhere.
    """

    def __init__(
        self,
        quarantine: WatchedQuarantine,
        owner: Quarantine,
        *,
        me: Vm,
        tell: Tell,
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._quarantine: Final = quarantine
        self._owner: Final = owner
        self._me: Final = me
        self._tell: Final = tell
        self._now: Final = now
        self._rng: Final = rng
        self._peers: tuple[Vm, ...] = ()
        self._has_news: Final = asyncio.Event()
        self._struck_here = False
        self._sendings: set[asyncio.Task[None]] = set()
        quarantine.on_change = self.changed

    def adopt(self, state: ClusterState) -> None:
        """Take the VMs that are known and not suspected of being gone."""
        self._peers = tuple(
            vm
            for view in state.views
            for vm in view.members
            if vm.id != self._me.id and vm.id not in state.suspects
        )

    def changed(self) -> None:
        """Note that the local quarantine has something new to tell."""
        self._struck_here = True
        self._has_news.set()

    async def receive(self, payload: bytes) -> bytes:
        """Merge what another VM tells; raises RefusalError for what can't be read."""
        try:
            records = codec.from_pack(payload, tuple[SuspectRecord, ...])
        except codec.MalformedError as error:
            raise refuse(ErrorKind.BAD_REQUEST, str(error)) from None
        if self._quarantine.merge(records[:MAX_RECORDS], self._now()):
            self._has_news.set()
        self._clear_owner(records[:MAX_RECORDS])
        return b""

    async def run(self) -> None:
        """Send what is new, until cancelled."""
        try:
            while True:
                await self._wait()
                self._quarantine.expire(self._now())
                if self._has_news.is_set():
                    self._send()
                    await asyncio.sleep(COALESCE_SECONDS)
        finally:
            for task in self._sendings:
                task.cancel()

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(EXPIRE_SECONDS):
                await self._has_news.wait()
        except TimeoutError:
            pass

    def _send(self) -> None:
        receivers = self._receivers()
        self._has_news.clear()
        self._struck_here = False
        records = self._quarantine.export(self._now(), limit=MAX_RECORDS)
        self._clear_owner(records)
        payload = codec.to_pack(records)
        for vm in receivers:
            task = asyncio.get_running_loop().create_task(self._send_one(vm, payload))
            self._sendings.add(task)
            task.add_done_callback(self._sendings.discard)

    async def _send_one(self, vm: Vm, payload: bytes) -> None:
        await self._tell(vm, payload)

    def _receivers(self) -> Sequence[Vm]:
        """Return whom to tell: all where they are few and the news is from here."""
        if self._struck_here and len(self._peers) < MAX_TOLD_ALL:
            return self._peers
        return self._rng.sample(self._peers, min(TOLD_AT_RANDOM, len(self._peers)))

    def _clear_owner(self, records: Sequence[SuspectRecord]) -> None:
        cleared = [record for record in records if record.level is Level.CLEARED]
        self._owner.merge(cleared, self._now())
