"""Which ends of attempts are evidence against a new version, over sockets."""

from __future__ import annotations

import asyncio
from unittest import mock

import pytest
from forward_site import Site, open_site, plain_route

from berylspindle_decisions.reach import Reach
from berylspindle_model.rollout import RolloutOrder, RolloutShift
from berylspindle_standins.forward_replica import ForwardReplica, Spoil

SERVICE = "booking"
ORDER = RolloutOrder(service=SERVICE, version="v2", term=60.0, revision=10)
ASKED = 20


async def open_rollout(site: Site, **fields) -> ForwardReplica:
    """Send all requests to the only replica of v2, beside one of v1; return that of v2."""
    site.route(plain_route(SERVICE, max_replicas=1))
    await site.replica("old", SERVICE, version="v1")
    new = await site.replica("new", SERVICE, version="v2", **fields)
    rollouts = site.forwarder.rollouts
    rollouts.take_order(SERVICE, ORDER, is_new=True)
    for _ in range(3 * ASKED):
        await site.ask("/booking/1")
    rollouts.take_shift(SERVICE, RolloutShift(order=10))
    return new


async def bad_of_new(site: Site) -> int:
    """Ask, and return how many bad answers of the new version were counted."""
    for _ in range(ASKED):
        await site.ask("/booking/1")
    routes = site.forwarder.rollouts.answers(SERVICE, for_others=False).routes
    return routes["plain"].new_bad


async def test_an_answer_that_failed_is_evidence() -> None:
    async with open_site() as site:
        new = await open_rollout(site)
        new.behaviour.fail = ASKED
        assert await bad_of_new(site) > 0


@pytest.mark.parametrize("spoil", [Spoil.LOST, Spoil.CUT, Spoil.GARBAGE, Spoil.FOREIGN])
async def test_a_lost_or_spoiled_answer_is_no_evidence(spoil: Spoil) -> None:
    """Guards against a sound version that is rolled back for a cut or a broken connection."""
    async with open_site() as site:
        new = await open_rollout(site)
        new.behaviour.spoil, new.behaviour.spoiled = spoil, -1
        assert await bad_of_new(site) == 0
        assert sum(new.counts.runs.values()) > 0


async def test_a_cold_replica_that_is_slow_is_no_evidence() -> None:
    """Guards against a sound version that is rolled back since its replicas have just started."""
    async with open_site() as site:
        new = await open_rollout(site, cold_ms=60_000)
        new.behaviour.work = 0.05
        assert await bad_of_new(site) == 0
        site.announce(new, version="v2", cold_ms=0)
        assert await bad_of_new(site) > 0


async def test_silence_of_a_whole_data_centre_is_no_evidence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a sound version that is rolled back since its replica's data centre is cut."""
    async with open_site() as site:
        new = await open_rollout(site, data_centre="b")
        rollouts, reach = site.forwarder.rollouts, site.forwarder._reach
        new.behaviour.work = 5.0
        for is_heard in (False, True):
            monkeypatch.setattr(reach, "heard_since", mock.Mock(return_value=is_heard))
            for _ in range(3):
                await site.ask("/booking/1", left_ms=50)
            while not reach.heard_since.called:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            bad = rollouts.answers(SERVICE, for_others=False).routes["plain"].new_bad
            assert (bad > 0) == is_heard


def test_a_data_centre_is_heard_since_its_last_sign_of_life() -> None:
    reach = Reach("a")
    assert reach.heard_since("a", 5.0)
    assert not reach.heard_since("b", 5.0)
    reach.heard(6.0, "b")
    assert reach.heard_since("b", 5.0)
    assert not reach.heard_since("b", 7.0)
