"""A request that crashes replicas is sent repeatedly through many VMs."""

from __future__ import annotations

import asyncio
import io
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from forward_site import NoStore, Site, merged_route, open_site, plain_route

from berylspindle_decisions.quarantine import SuspectRecord
from berylspindle_forwarding.catalogue_changes import SuspectChange
from berylspindle_forwarding.crash_watch import MAX_WRITES
from berylspindle_model import codec
from berylspindle_model.routing import Organisation
from berylspindle_standins.forward_replica import ReplyFault
from berylspindle_store.store import Lease, StoreConflict, StoredValue, StoreUnavailable
from berylspindle_telemetry.logs import log_context

SHARDS = ("s0", "s1", "s2", "s3")
REPLICAS = 3
POISON = "poison"


class RecordStore(NoStore):
    """Store records and pass each to all VMs, as watches would; or fail if `is_unavailable`."""

    def __init__(self) -> None:
        self.sites: list[Site] = []
        self.entries: dict[str, StoredValue] = {}
        self.writes = 0
        self.is_unavailable = False

    async def grant_lease(self, ttl: float) -> Lease:
        if self.is_unavailable:
            raise StoreUnavailable("unavailable")
        return Lease(id="1", ttl=ttl)

    async def compare_and_swap(self, key, value, *, expect, lease=None) -> StoredValue:
        current = self.entries.get(key)
        if expect != (current.revision if current is not None else 0):
            raise StoreConflict(current)
        self.writes += 1
        self.entries[key] = StoredValue(key=key, value=value, revision=self.writes)
        for site in self.sites:
            site.forwarder.on_change(SuspectChange(codec.from_json(value, SuspectRecord)))
        return self.entries[key]


@asynccontextmanager
async def open_fleet(vms: int) -> AsyncIterator[tuple[RecordStore, list[Site]]]:
    """Yield VMs that know the same replicas, all of which crash on `POISON`."""
    async with AsyncExitStack() as stack:
        store = RecordStore()
        for number in range(vms):
            options = {"vm": f"vm-{number}", "suspects_prefix": "suspects/"}
            store.sites.append(await stack.enter_async_context(open_site(store=store, **options)))
        first, *others = store.sites
        for service in (*SHARDS, "booking"):
            for number in range(REPLICAS):
                replica = await first.replica(f"{service}-{number}", service)
                replica.behaviour.crash_marker = POISON
                for site in others:
                    site.announce(replica)
        for site in store.sites:
            site.route(merged_route(SHARDS), plain_route(repeatable=True, max_replicas=2))
        yield store, store.sites


def count_crashes(sites: list[Site]) -> int:
    return sum(replica.counts.crashes for replica in sites[0].replicas.values())


async def revive_replicas(sites: list[Site], site: Site) -> None:
    """Restart the replicas after a VM has checked those that it lost."""
    while site.forwarder._crashes._tasks:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    for replica in sites[0].replicas.values():
        await replica.restart()


async def test_request_sent_through_eight_vms_is_refused_after_three_attempts() -> None:
    """Guard against a request that crashes a replica of each shard again through each VM."""
    async with open_fleet(8) as (_, sites):
        for site in sites[:3]:
            await site.ask(f"/lots/{POISON}", left_ms=1500)
            await revive_replicas(sites, site)
        before = count_crashes(sites)
        for site in (*sites, *sites):
            response = await site.ask(f"/lots/{POISON}", left_ms=1500)
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
        assert count_crashes(sites) == before
        # A suspect runs on one shard first: its second and third attempt crash one replica each.
        assert before <= 2 * len(SHARDS) + 2
        assert (await sites[0].ask("/lots/sound")).status == 200


async def test_lost_responses_do_not_count_as_crashes() -> None:
    """Guard against a request refused for a minute after healthy replicas lost its responses."""
    async with open_fleet(2) as (store, sites):
        for replica in sites[0].replicas.values():
            replica.behaviour.reply_fault, replica.behaviour.faulty_replies = (
                ReplyFault.CONNECTION_RESET,
                1,
            )
        await sites[0].ask("/lots/1", left_ms=1500)
        await asyncio.sleep(0.3)
        assert store.writes == 0
        for site in sites:
            assert (await site.ask("/lots/1")).status == 200


async def test_vm_without_the_store_refuses_requests_that_crashed_its_replicas() -> None:
    """Guard against a VM without the store that keeps crashing the replicas it reaches."""
    async with open_fleet(1) as (store, sites):
        store.is_unavailable = True
        for _ in range(3):
            await sites[0].ask(f"/booking/{POISON}", left_ms=1500)
            await revive_replicas(sites, sites[0])
        before = count_crashes(sites)
        assert (await sites[0].ask(f"/booking/{POISON}")).status == 503
        assert count_crashes(sites) == before


async def test_number_of_crash_records_is_limited() -> None:
    """Guard against a store overloaded by a caller whose requests all crash replicas."""
    async with open_fleet(1) as (store, sites):
        for number in range(MAX_WRITES + 4):
            await sites[0].ask(f"/booking/{POISON}-{number}", left_ms=500)
            await revive_replicas(sites, sites[0])
        assert 0 < store.writes <= MAX_WRITES


async def test_crash_records_and_canaries_hold_no_key() -> None:
    """Guard against keys of callers in the records and lines about their requests."""
    stream = io.StringIO()
    acme = Organisation(name="acme", keys=("s3cr3t",))
    async with open_fleet(1) as (store, sites):
        sites[0].route(plain_route(), organisations=(acme,))
        with log_context(level="debug", stream=stream):
            for _ in range(2):
                extra = {"authorization": "Bearer s3cr3t"}
                await sites[0].ask(f"/booking/{POISON}", left_ms=1500, extra=extra)
                await revive_replicas(sites, sites[0])
        heads = [head for replica in sites[0].replicas.values() for head in replica.counts.heads]
        assert "fingerprint=" in stream.getvalue()
        assert len(heads) >= 3
        assert "s3cr3t" not in f"{stream.getvalue()}{store.entries}{heads}"
