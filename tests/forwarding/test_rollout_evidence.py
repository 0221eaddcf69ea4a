"""Test over sockets which results of attempts count as evidence against a new version."""

from __future__ import annotations

import asyncio
from unittest import mock

import pytest
from forward_site import Site, open_site, plain_route

from berylspindle_decisions.reachability import Reachability
from berylspindle_model.rollout import RolloutOrder, RolloutShift
from berylspindle_standins.forward_replica import ForwardReplica, ReplyFault

SERVICE = "booking"
ORDER = RolloutOrder(service=SERVICE, version="v2", term=60.0, revision=10)
REQUESTS = 20


async def open_rollout(site: Site, **fields) -> ForwardReplica:
    """Send all requests to the only replica of v2, beside one of v1; return the replica of v2."""
    site.route(plain_route(SERVICE, max_replicas=1))
    await site.replica("old", SERVICE, version="v1")
    new = await site.replica("new", SERVICE, version="v2", **fields)
    rollouts = site.forwarder.rollouts
    rollouts.apply_order(SERVICE, ORDER, is_new=True)
    for _ in range(3 * REQUESTS):
        await site.ask("/booking/1")
    rollouts.apply_shift(SERVICE, RolloutShift(order=10))
    return new


async def count_bad_of_new(site: Site) -> int:
    """Send requests, and return the number of bad answers counted for the new version."""
    for _ in range(REQUESTS):
        await site.ask("/booking/1")
    routes = site.forwarder.rollouts.answers(SERVICE, include_reports=False).routes
    return routes["plain"].new_bad


async def test_failed_response_is_evidence() -> None:
    async with open_site() as site:
        new = await open_rollout(site)
        new.behaviour.failed_requests = REQUESTS
        assert await count_bad_of_new(site) > 0


@pytest.mark.parametrize(
    "reply_fault",
    [
        ReplyFault.CONNECTION_RESET,
        ReplyFault.TRUNCATED,
        ReplyFault.GARBAGE,
        ReplyFault.WRONG_REQUEST_ID,
    ],
)
async def test_lost_or_malformed_response_is_no_evidence(reply_fault: ReplyFault) -> None:
    """Guard against a sound version that is rolled back because of broken connections."""
    async with open_site() as site:
        new = await open_rollout(site)
        new.behaviour.reply_fault, new.behaviour.faulty_replies = reply_fault, -1
        assert await count_bad_of_new(site) == 0
        assert sum(new.counts.runs.values()) > 0


async def test_slow_cold_replica_is_no_evidence() -> None:
    """Guard against a sound version that is rolled back because its replicas have just started."""
    async with open_site() as site:
        new = await open_rollout(site, cold_ms=60_000)
        new.behaviour.service_time_s = 0.05
        assert await count_bad_of_new(site) == 0
        site.announce(new, version="v2", cold_ms=0)
        assert await count_bad_of_new(site) > 0


async def test_timeouts_in_an_unreachable_data_centre_are_no_evidence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a sound version that is rolled back while its data centre is cut off."""
    async with open_site() as site:
        new = await open_rollout(site, data_centre="b")
        rollouts, reach = site.forwarder.rollouts, site.forwarder._reach
        new.behaviour.service_time_s = 5.0
        for had_contact in (False, True):
            monkeypatch.setattr(reach, "had_contact_since", mock.Mock(return_value=had_contact))
            for _ in range(3):
                await site.ask("/booking/1", left_ms=50)
            while not reach.had_contact_since.called:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            bad = rollouts.answers(SERVICE, include_reports=False).routes["plain"].new_bad
            assert (bad > 0) == had_contact


def test_data_centre_had_contact_since_its_last_response() -> None:
    reach = Reachability("a")
    assert reach.had_contact_since("a", 5.0)
    assert not reach.had_contact_since("b", 5.0)
    reach.on_contact(6.0, "b")
    assert reach.had_contact_since("b", 5.0)
    assert not reach.had_contact_since("b", 7.0)
