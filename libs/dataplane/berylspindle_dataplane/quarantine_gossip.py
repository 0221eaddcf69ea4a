"""Gossip between VMs about requests that have crashed backend servers.

Terms:
  records   exported entries of the quarantine: suspected, quarantined and cleared fingerprints

Flow: each change of the local quarantine calls `on_local_change`. The task `run` then sends the
newest records to other VMs, with all changes within 10 ms in one message. `receive` merges records
of a peer and forwards only what was new, so that the exchange terminates.

Without this, each VM would detect a crashing request only by losing backend servers of its own: one
search, retried through eight VMs in turn, takes down about 50 backend servers. A strike is
therefore sent at once to all VMs if there are few. If there are many, it goes to four random ones,
and each VM to which it is new forwards it to four more. For n VMs this takes about log(n) rounds of
a few milliseconds each.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from berylspindle_dataplane.entry_quarantine import EntryQuarantine
from berylspindle_decisions.quarantine import Quarantine, QuarantineLevel, SuspectRecord
from berylspindle_model import codec
from berylspindle_model.errors import ErrorKind, refuse
from berylspindle_model.topology import ClusterState, Vm

# Name of the call by which VMs exchange records.
SUSPECTS_CALL: Final = "suspects"
# Maximum number of VMs for which each strike is sent to all; common deployments have 8.
MAX_BROADCAST_VMS: Final = 16
GOSSIP_FANOUT: Final = 4
# A fan-out that crashes servers causes one strike per shard within a few milliseconds; this delay
# combines them into one message.
COALESCE_SECONDS: Final = 0.01
# Maximum records per message: about 5 KB, and far more requests than crash servers at one time.
MAX_RECORDS: Final = 32
# Interval for detecting quarantines that ended by time alone.
EXPIRY_CHECK_SECONDS: Final = 1.0

# Sends records to one VM. The implementation ignores failures, since the next change is sent with
# the latest records again.
SendRecords = Callable[[Vm, bytes], Awaitable[None]]


class QuarantineGossip:
    """Exchange quarantine records with the other VMs.

    A fingerprint cleared by another VM is cleared in the quarantine of the owner as well. Otherwise
    the owner would keep refusing a search that has run without harm elsewhere.
    """

    def __init__(
        self,
        quarantine: EntryQuarantine,
        owner_quarantine: Quarantine,
        *,
        me: Vm,
        send: SendRecords,
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._quarantine: Final = quarantine
        self._owner_quarantine: Final = owner_quarantine
        self._me: Final = me
        self._send_to: Final = send
        self._now: Final = now
        self._rng: Final = rng
        self._peers: tuple[Vm, ...] = ()
        self._has_changes: Final = asyncio.Event()
        self._has_local_change = False
        self._send_tasks: set[asyncio.Task[None]] = set()
        quarantine.on_change = self.on_local_change

    def adopt(self, state: ClusterState) -> None:
        """Set the peers: all VMs in the views that are not suspected."""
        self._peers = tuple(
            vm
            for view in state.views
            for vm in view.members
            if vm.id != self._me.id and vm.id not in state.suspects
        )

    def on_local_change(self) -> None:
        """Schedule sending after a change of the local quarantine."""
        self._has_local_change = True
        self._has_changes.set()

    async def receive(self, payload: bytes) -> bytes:
        """Merge records of a peer; raise RefusalError if they cannot be decoded."""
        try:
            records = codec.from_msgpack(payload, tuple[SuspectRecord, ...])
        except codec.MalformedError as error:
            raise refuse(ErrorKind.BAD_REQUEST, str(error)) from None
        if self._quarantine.merge(records[:MAX_RECORDS], self._now()):
            self._has_changes.set()
        self._clear_at_owner(records[:MAX_RECORDS])
        return b""

    async def run(self) -> None:
        """Send changes until cancelled."""
        try:
            while True:
                await self._wait()
                self._quarantine.expire(self._now())
                if self._has_changes.is_set():
                    self._send_changes()
                    await asyncio.sleep(COALESCE_SECONDS)
        finally:
            for task in self._send_tasks:
                task.cancel()

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(EXPIRY_CHECK_SECONDS):
                await self._has_changes.wait()
        except TimeoutError:
            pass

    def _send_changes(self) -> None:
        receivers = self._receivers()
        self._has_changes.clear()
        self._has_local_change = False
        records = self._quarantine.export(self._now(), limit=MAX_RECORDS)
        self._clear_at_owner(records)
        payload = codec.to_msgpack(records)
        for vm in receivers:
            task = asyncio.get_running_loop().create_task(self._send_one(vm, payload))
            self._send_tasks.add(task)
            task.add_done_callback(self._send_tasks.discard)

    async def _send_one(self, vm: Vm, payload: bytes) -> None:
        await self._send_to(vm, payload)

    def _receivers(self) -> Sequence[Vm]:
        """Return all peers if they are few and the change is local, else a random sample."""
        if self._has_local_change and len(self._peers) < MAX_BROADCAST_VMS:
            return self._peers
        return self._rng.sample(self._peers, min(GOSSIP_FANOUT, len(self._peers)))

    def _clear_at_owner(self, records: Sequence[SuspectRecord]) -> None:
        cleared = [record for record in records if record.level is QuarantineLevel.CLEARED]
        self._owner_quarantine.merge(cleared, self._now())
