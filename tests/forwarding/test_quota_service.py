"""Quotas that several VMs hold together, over sockets."""

from __future__ import annotations

import asyncio
import random

import attrs
import pytest
from quota_fleet import ACME, BOUNDS, open_fleet, table_of

from berylspindle_decisions.quota_limits import QuotaBounds
from berylspindle_model.routing import Organisation

EXCEEDED, UNKNOWN = "quota_exceeded", "quota_unknown"
SMALL = Organisation(name="small", rate=5.0, burst=5.0)
UNLIMITED = Organisation(name="unlimited")


async def test_vms_of_two_data_centres_hold_one_limit_together() -> None:
    """Guard against a limit that each VM grants on its own, and against one that is wasted."""
    async with open_fleet() as fleet:
        began = fleet.clock()
        results = await fleet.load(rate=80, seconds=4)
        elapsed_s = fleet.clock() - began
        fleet.check_bound()
        assert set(results) == {"admitted", EXCEEDED}
        assert results["admitted"] >= 0.8 * ACME.rate * 4
        # One message a second, after a burst of three.
        assert all(sum(vm.calls.values()) <= elapsed_s + 3 for vm in fleet.vms.values())


async def test_requests_within_a_small_limit_are_not_refused() -> None:
    """Guard against callers that lose requests since the tokens are with other VMs."""
    async with open_fleet(SMALL) as fleet:
        assert await fleet.load(SMALL.rate / 1.6, 4, organisation=SMALL) == {"admitted": 12}


@pytest.mark.parametrize("vms_each", [2, 26])
async def test_requests_within_a_large_limit_are_not_refused(vms_each: int) -> None:
    """Guard against VMs and lenders that run out of tokens which the owner has."""
    large = Organisation(name="large", rate=30.0, burst=30.0)
    names = [f"{data_centre}{number}" for data_centre in "abc" for number in range(vms_each)]
    async with open_fleet(large, vms=names, bounds=QuotaBounds()) as fleet:
        vms = list(fleet.vms.values())
        random.Random(1).shuffle(vms)
        # In the first seconds the demand is not known yet, and a few more are refused.
        first = await fleet.load(large.rate / 1.6, 3, vms, organisation=large)
        assert first["admitted"] >= 0.85 * sum(first.values())
        then = await fleet.load(large.rate / 1.6, 4, vms, organisation=large)
        assert then["admitted"] >= 0.95 * sum(then.values())
        assert sum(sum(vm.calls.values()) for vm in vms) <= (7 + 3) * len(vms)


async def test_requests_that_wait_share_one_ask() -> None:
    """Guard against a message for each request of a burst."""
    async with open_fleet() as fleet:
        vm, *_ = [vm for vm in fleet.vms.values() if vm is not fleet.owner()]
        results = await asyncio.gather(*(vm.ask() for _ in range(8)))
        assert set(results) == {"admitted"}
        assert sum(vm.calls.values()) <= 2


async def test_data_centre_is_served_while_the_owner_is_stopped_and_after_its_restart() -> None:
    """Guard against an outage of all callers of an organisation, and a full bucket too many."""
    async with open_fleet() as fleet:
        owner = fleet.owner()
        others = [vm for vm in fleet.vms.values() if vm is not owner]
        await fleet.load(60, 2)
        await owner.stop()
        without_owner = await fleet.load(60, 2, others)
        assert without_owner["admitted"] >= 1
        assert without_owner[UNKNOWN] >= 1
        await owner.start()
        owner.list_vms()
        restarted = await fleet.load(60, 3, others)
        fleet.check_bound()
        # The restarted owner lends 0.6 of the rate, and it is skipped for up to a second.
        assert restarted["admitted"] >= 0.6 * ACME.rate


async def test_vms_of_a_stopped_lender_borrow_from_the_next_one() -> None:
    """Guard against a data centre that is refused because one of its VMs is gone."""
    async with open_fleet() as fleet:
        lender, *others = fleet.lenders(fleet.remote_data_centre())
        await fleet.load(20, 1, others)
        await lender.stop()
        results = await fleet.load(10, 2, others)
        assert results[UNKNOWN] == 0
        assert results["admitted"] >= 10
        fleet.check_bound()


async def test_data_centre_that_is_cut_off_is_served_by_standby() -> None:
    """Guard against requests beyond the bound from both sides of a cut, and against an outage."""
    async with open_fleet() as fleet:
        cut = fleet.lenders(fleet.remote_data_centre())
        await fleet.load(60, 2)
        fleet.cut_off = True
        inside, _ = await asyncio.gather(
            fleet.load(60, 6, cut), fleet.load(60, 6, fleet.lenders(fleet.owner().name[0]))
        )
        assert inside["admitted"] >= 1
        assert set(inside) <= {"admitted", EXCEEDED, UNKNOWN}
        fleet.cut_off = False
        await asyncio.sleep(1.1)
        assert (await fleet.load(60, 2, cut))[EXCEEDED] >= 1
        fleet.check_bound()


async def test_tokens_of_a_lost_response_are_not_granted_again() -> None:
    """Guard against a bucket that is lent twice because the owner's response did not arrive."""
    async with open_fleet() as fleet:
        owner = fleet.owner()
        cut = fleet.lenders(fleet.remote_data_centre())
        owner.is_silent = True
        assert (await fleet.load(40, 1, cut))["admitted"] == 0
        level = (await owner.status()).level
        assert level < fleet.depth()
        owner.is_silent = False
        await asyncio.sleep(1.1)
        assert (await fleet.load(60, 2, cut))["admitted"] >= 1
        fleet.check_bound()


async def test_lender_with_an_older_table_is_passed_over() -> None:
    """Guard against refusals of a new organisation until the last VM has the new version."""
    async with open_fleet(UNLIMITED) as fleet:
        lender, *others = fleet.lenders(fleet.remote_data_centre())
        fleet.set_table(table_of(2, ACME), skipped=[lender])
        assert [await vm.ask() for vm in others] == ["admitted", "admitted"]
        assert lender.service._states == {}


async def test_requests_of_a_removed_organisation_end_normally() -> None:
    """Guard against requests that wait for tokens which nobody grants any more."""
    async with open_fleet() as fleet:
        fleet.owner().is_silent = True
        lender, *_ = fleet.lenders(fleet.remote_data_centre())
        waiting = asyncio.create_task(lender.ask())
        await asyncio.sleep(0.01)
        fleet.set_table(table_of(2))
        assert await waiting == "admitted"
        assert all(vm.service._states == {} for vm in fleet.vms.values())


async def test_lowered_limit_is_in_force_after_a_window() -> None:
    """Guard against tokens of the old limit that are still spent."""
    async with open_fleet() as fleet:
        await fleet.load(60, 2)
        lowered = attrs.evolve(ACME, rate=4.0, burst=4.0)
        fleet.set_table(table_of(2, lowered))
        await fleet.load(60, BOUNDS.window_s)
        fleet.admitted.clear()
        results = await fleet.load(60, 3)
        assert results["admitted"] >= 4
        fleet.check_bound(lowered)


async def test_nothing_is_created_without_a_limit() -> None:
    """Guard against messages and state for organisations that have no quota."""
    async with open_fleet(UNLIMITED) as fleet:
        assert await fleet.load(20, 1, organisation=UNLIMITED) == {"admitted": 20}
        for vm in fleet.vms.values():
            assert not vm.calls
            assert (vm.service._states, vm.service._upkeep) == ({}, None)
            assert (await vm.status(UNLIMITED)).asked == 0


async def test_organisation_at_rest_has_no_state_and_causes_no_message() -> None:
    """Guard against messages and memory for each organisation that was ever used."""
    async with open_fleet() as fleet:
        await fleet.load(12, 1)
        # The standby ends, and the pools count as unused.
        fleet.skip_ahead(100.0)
        await asyncio.sleep(1.1)
        calls = [vm.calls for vm in fleet.vms.values()]
        assert all(vm.service._states == {} for vm in fleet.vms.values())
        await asyncio.sleep(1.1)
        assert [vm.calls for vm in fleet.vms.values()] == calls
        assert sum([(await vm.status()).asked for vm in fleet.vms.values()]) == 12


async def test_vm_that_shuts_down_lends_nothing_but_serves_what_it_has() -> None:
    """Guard against VMs that borrow from one whose process is about to end."""
    async with open_fleet() as fleet:
        lender, *others = fleet.lenders(fleet.remote_data_centre())
        await fleet.load(8, 1, [lender])
        lender.service.begin_shutdown()
        lent = (await lender.status()).lent
        assert [await vm.ask() for vm in others] == ["admitted", "admitted"]
        assert (await lender.status()).lent == lent
        assert await lender.ask() == "admitted"


async def test_status_names_the_roles_and_counts_of_each_organisation() -> None:
    """Guard against an operator who cannot see who lends, and against keys on the page."""
    keyed = attrs.evolve(ACME, keys=("s3cr3t",), priority=2)
    async with open_fleet(keyed, UNLIMITED) as fleet:
        await fleet.load(20, 1)
        for vm in fleet.vms.values():
            row = await vm.status()
            assert (row.rate, row.burst, row.priority) == (20.0, 20.0, 2)
            assert row.owner == fleet.owner().name
            assert row.lender == fleet.lenders(vm.name[0])[0].name
            assert row.asked == row.admitted + sum(row.refused.values())
            assert row.spent == row.admitted
        assert (await fleet.owner().status()).lent >= 1
        page = await fleet.read_status_page(fleet.owner())
        assert b"s3cr3t" not in page
