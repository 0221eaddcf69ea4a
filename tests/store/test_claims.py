"""Test claims against the stand-in over sockets: at most one dispatch despite lost replies."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from berylspindle_model.errors import RunState
from berylspindle_standins.platform_faults import PlatformChange
from berylspindle_standins.platform_standin import PlatformStandin, start_platform
from berylspindle_store.claim_records import (
    AlreadyClaimed,
    Claimed,
    ClaimState,
    ClaimUnavailable,
    DispatchOutcome,
    KeyReused,
    OutcomeWriteState,
    claim_path,
)
from berylspindle_store.claims import ClaimOptions, Claims
from berylspindle_store.connections import StoreOptions
from berylspindle_store.http_store import HttpStore, open_store
from berylspindle_store.store import StoreUnavailable

OPTIONS = StoreOptions(read_timeout=0.3, write_timeout=0.3)
DONE = DispatchOutcome(server="s1", run=RunState.RAN, result={"confirmed": "k"})


class Clock:
    """A monotonic clock that tests set."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
async def platform() -> AsyncIterator[PlatformStandin]:
    async with await start_platform() as standin:
        yield standin


@pytest.fixture
async def store(platform: PlatformStandin) -> AsyncIterator[HttpStore]:
    async with open_store("127.0.0.1", platform.port, OPTIONS) as client:
        yield client


def claims_of(store: HttpStore, vm: str, clock: Clock | None = None) -> Claims:
    return Claims(
        store, vm=vm, options=ClaimOptions(), now=clock or Clock(), now_wall=lambda: 1_700_000_000.0
    )


def set_faults(platform: PlatformStandin, **faults: object) -> None:
    platform.change(PlatformChange(set=dict(faults)))


async def test_an_execute_costs_two_writes(platform: PlatformStandin, store: HttpStore) -> None:
    claims = claims_of(store, "vm1")
    for number in range(20):
        outcome = await claims.claim("lots", f"k{number}", "f", "a")
        assert isinstance(outcome, Claimed)
        assert await claims.store_outcome(outcome.claim, DONE) is OutcomeWriteState.STORED
    assert platform.counts.calls == {"grant": 1, "put": 40}
    again = await claims.claim("lots", "k0", "f", "a2")
    assert isinstance(again, AlreadyClaimed)
    assert again.record.outcome == DONE
    assert platform.counts.calls == {"grant": 1, "put": 41}


async def test_a_burst_after_an_idle_time_grants_one_lease(
    platform: PlatformStandin, store: HttpStore
) -> None:
    claims = claims_of(store, "vm1")
    await asyncio.gather(*(claims.claim("lots", f"k{n}", "f", "a") for n in range(12)))
    assert platform.counts.calls == {"grant": 1, "put": 12}


async def test_a_retry_at_another_vm_finds_the_claim_and_then_the_outcome(
    store: HttpStore,
) -> None:
    first, second = claims_of(store, "vm1"), claims_of(store, "vm2")
    outcome = await first.claim("lots", "k", "f", "a1")
    assert isinstance(outcome, Claimed)
    found = await second.claim("lots", "k", "f", "a2")
    assert isinstance(found, AlreadyClaimed)
    assert found.record.state is ClaimState.CLAIMED
    assert found.record.vm == "vm1"
    await first.store_outcome(outcome.claim, DONE)
    record = await second.find("lots", "k")
    assert record is not None
    assert record.outcome == DONE


async def test_a_key_with_different_content_is_refused(store: HttpStore) -> None:
    claims = claims_of(store, "vm1")
    assert isinstance(await claims.claim("lots", "k", "f", "a1"), Claimed)
    assert isinstance(await claims.claim("lots", "k", "other", "a2"), KeyReused)
    assert isinstance(await claims.claim("desk", "k", "other", "a3"), Claimed)


async def test_a_lost_reply_to_a_claim_is_resolved_by_its_token(
    platform: PlatformStandin, store: HttpStore
) -> None:
    """Guard against "may have run" errors when the store loses one reply.

    The claim takes effect and its reply is lost. The repeated write conflicts with the VM's own
    claim, so that the VM holds the claim and dispatches once.
    """
    claims = claims_of(store, "vm1")
    assert isinstance(await claims.claim("lots", "warm-up", "f", "a0"), Claimed)
    set_faults(platform, lost_replies=1)
    outcome = await claims.claim("lots", "k", "f", "a1")
    assert isinstance(outcome, Claimed)
    set_faults(platform, lost_replies=1)
    assert await claims.store_outcome(outcome.claim, DONE) is OutcomeWriteState.STORED
    assert platform.counts.lost == 2


async def test_an_abandoned_claim_is_taken_over_only_by_its_own_vm(
    platform: PlatformStandin, store: HttpStore
) -> None:
    """Guard against a retry that is never run, or run twice, after an abandoned claim.

    All replies to the claim are lost, though it took effect. Another VM cannot tell that it was
    not dispatched and must refuse the retry; the VM that abandoned it takes it over.
    """
    first, second = claims_of(store, "vm1"), claims_of(store, "vm2")
    assert isinstance(await first.claim("lots", "warm-up", "f", "a0"), Claimed)
    assert isinstance(await second.claim("lots", "warm-up", "f", "a0"), AlreadyClaimed)
    set_faults(platform, lost_replies=-1)
    assert await first.claim("lots", "k", "f", "a1") == ClaimUnavailable(may_exist=True)
    set_faults(platform, lost_replies=0)
    assert isinstance(await second.claim("lots", "k", "f", "a2"), AlreadyClaimed)
    taken = await asyncio.gather(*(first.claim("lots", "k", "f", f"a{n}") for n in (3, 4)))
    assert sorted(type(outcome).__name__ for outcome in taken) == ["AlreadyClaimed", "Claimed"]


async def test_an_abandoned_claim_is_released_in_the_background(
    platform: PlatformStandin, store: HttpStore
) -> None:
    first, second = claims_of(store, "vm1"), claims_of(store, "vm2")
    assert isinstance(await first.claim("lots", "warm-up", "f", "a0"), Claimed)
    set_faults(platform, lost_replies=-1)
    await first.claim("lots", "k", "f", "a1")
    set_faults(platform, lost_replies=0)
    assert first.pending == 1
    assert await first.retry_pending() == 0
    assert isinstance(await second.claim("lots", "k", "f", "a2"), Claimed)


async def test_claims_are_refused_and_outcomes_kept_during_an_outage(
    platform: PlatformStandin, store: HttpStore
) -> None:
    """Guard against losing the outcome of a request when the store fails before it is written.

    The VM that ran the request answers retries from memory during the outage and stores the
    outcome after it. A new request during the outage is refused as not run.
    """
    first, second = claims_of(store, "vm1"), claims_of(store, "vm2")
    outcome = await first.claim("lots", "k", "f", "a1")
    assert isinstance(outcome, Claimed)
    set_faults(platform, outage="refuse")
    assert await first.store_outcome(outcome.claim, DONE) is OutcomeWriteState.PENDING
    assert await first.claim("lots", "new", "f", "a2") == ClaimUnavailable(may_exist=False)
    again = await first.claim("lots", "k", "f", "a3")
    assert isinstance(again, AlreadyClaimed)
    assert again.record.outcome == DONE
    assert await first.retry_pending() == 1
    set_faults(platform, outage="none")
    assert await first.retry_pending() == 0
    record = await second.find("lots", "k")
    assert record is not None
    assert record.outcome == DONE


async def test_a_released_key_can_be_claimed_again(store: HttpStore) -> None:
    first, second = claims_of(store, "vm1"), claims_of(store, "vm2")
    outcome = await first.claim("lots", "k", "f", "a1")
    assert isinstance(outcome, Claimed)
    await first.release(outcome.claim)
    assert first.pending == 0
    assert isinstance(await second.claim("lots", "k", "f", "a2"), Claimed)


async def test_a_cancelled_claim_is_released(platform: PlatformStandin, store: HttpStore) -> None:
    """Guard against a key that is unusable after its caller disconnects during the write."""
    claims, other = claims_of(store, "vm1"), claims_of(store, "vm2")
    assert isinstance(await claims.claim("lots", "warm-up", "f", "a0"), Claimed)
    set_faults(platform, late_reply_ms=200)
    written = asyncio.create_task(
        store.watch(claim_path("lots", "k"), after=platform.state.revision, wait=5.0)
    )
    claiming = asyncio.create_task(claims.claim("lots", "k", "f", "a1"))
    await written
    claiming.cancel()
    await asyncio.wait([claiming])
    set_faults(platform, late_reply_ms=0)
    assert await claims.retry_pending() == 0
    assert isinstance(await other.claim("lots", "k", "f", "a2"), Claimed)


async def test_a_claim_ends_at_its_callers_deadline(
    platform: PlatformStandin,
) -> None:
    """Guard against a claim that waits past its caller's deadline for an unresponsive store.

    Each attempt has its own, longer timeout. The caller gets an answer at its deadline, and the
    claim, which took effect, is released once the store responds again.
    """
    long_timeouts = StoreOptions(read_timeout=600.0, write_timeout=600.0)
    async with open_store("127.0.0.1", platform.port, long_timeouts) as store:
        claims, other = claims_of(store, "vm1"), claims_of(store, "vm2")
        assert isinstance(await claims.claim("lots", "warm-up", "f", "a0"), Claimed)
        set_faults(platform, late_reply_ms=600_000)
        async with asyncio.timeout(10):
            outcome = await claims.claim("lots", "k", "f", "a1", timeout=0.05)
            fresh = await other.claim("lots", "k", "f", "a1", timeout=0.05)
        assert outcome == ClaimUnavailable(may_exist=True)
        assert fresh == ClaimUnavailable(may_exist=False)
        set_faults(platform, late_reply_ms=0)
        assert await claims.retry_pending() == 0
        assert isinstance(await other.claim("lots", "k", "f", "a2"), Claimed)


async def test_a_key_with_an_invalid_record_is_never_dispatched(store: HttpStore) -> None:
    await store.compare_and_swap(claim_path("lots", "k"), b"{}", expect=0)
    claims = claims_of(store, "vm1")
    assert await claims.claim("lots", "k", "f", "a1") == ClaimUnavailable(may_exist=True)
    with pytest.raises(StoreUnavailable):
        await claims.find("lots", "k")
    await claims.retry_pending()
    assert claims.pending == 0


async def test_a_claim_written_after_a_pause_past_the_lease_is_refused(
    platform: PlatformStandin, store: HttpStore
) -> None:
    """Guard against a second run after a VM was paused while it wrote a claim.

    The claim is written after the end of the lease's sharing period, so that it may expire within
    the request's validity. The VM detects the pause by its own clock and does not dispatch.
    """
    clock = Clock()
    claims = claims_of(store, "vm1", clock)
    assert isinstance(await claims.claim("lots", "warm-up", "f", "a0"), Claimed)
    set_faults(platform, late_reply_ms=100)
    claiming = asyncio.create_task(claims.claim("lots", "k", "f", "a1"))
    await asyncio.sleep(0.02)
    clock.now += 300.0
    assert await claiming == ClaimUnavailable(may_exist=True)


async def test_find_confirms_absence_despite_lagging_reads(
    platform: PlatformStandin, store: HttpStore
) -> None:
    """Guard against a lagging read that reports a request that ran as unknown.

    Its caller would then send it again.
    """
    claims = claims_of(store, "vm1")
    outcome = await claims.claim("lots", "k", "f", "a1")
    assert isinstance(outcome, Claimed)
    set_faults(platform, read_lag_ms=30_000)
    record = await claims.find("lots", "k")
    assert record is not None
    assert await claims.find("lots", "unknown") is None


async def test_a_result_too_large_to_store_is_trimmed_and_recorded_as_run(store: HttpStore) -> None:
    claims = claims_of(store, "vm1")
    outcome = await claims.claim("lots", "k", "f", "a1")
    assert isinstance(outcome, Claimed)
    large = DispatchOutcome(server="s1", run=RunState.RAN, result={"text": "x" * 100_000})
    assert await claims.store_outcome(outcome.claim, large) is OutcomeWriteState.STORED
    record = await claims.find("lots", "k")
    assert record is not None
    assert record.outcome is not None
    assert record.outcome.trimmed
    assert record.outcome.run is RunState.RAN


async def test_a_validity_above_the_maximum_is_refused(store: HttpStore) -> None:
    with pytest.raises(ValueError, match="validity"):
        await claims_of(store, "vm1").claim("lots", "k", "f", "a1", valid_ms=10**9)
