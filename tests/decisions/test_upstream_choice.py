"""Whom a VM asks for changes of the store, and until when it waits."""

from __future__ import annotations

import random

import attrs
import pytest

from berylspindle_decisions.confirmed_span import DEFAULT_MAX_GAP_S
from berylspindle_decisions.upstream_choice import (
    CHANGE_RESERVE_S,
    FED_WAIT_S,
    MAX_CYCLE_S,
    MIRROR_MARGIN_S,
    PROBE_WAIT_S,
    STORE_MARGIN_S,
    KnownVms,
    UpstreamCall,
    UpstreamChoice,
    age_limit,
)

BOUNDS_S = [3.0, 5.0, 6.0]
PAUSES_S = [0.5, 1.5]


@attrs.frozen
class Peer:
    name: str
    is_near: bool = True


ONE, TWO, THREE = Peer("one"), Peer("two"), Peer("three")
FAR = Peer("far", is_near=False)
Call = UpstreamCall[Peer]


def known(*watchers: Peer, mirrors: tuple[Peer, ...] = (), vms: int = 6) -> KnownVms[Peer]:
    return KnownVms(
        watchers=watchers, mirrors=(*watchers, *mirrors), is_watcher=False, local_vms=vms
    )


class Follower:
    """A VM that makes the calls.

    `hung` mirrors never answer, `stale` ones have an old view, `fed` ones have this VM's view.
    """

    def __init__(self, vms: KnownVms[Peer], seed: int, bound: float = 3.0) -> None:
        self.choice = UpstreamChoice[Peer](age_limit(bound), random.Random(seed).random)
        self.vms = vms
        self.now, self.confirmed_at = 0.0, 0.0
        self.hung: set[Peer] = set()
        self.stale: set[Peer] = set()
        self.fed: set[Peer] = set()
        self.is_rejected = False
        self.calls: list[Call] = []
        self.oldest = 0.0

    def step(self) -> Call:
        age = self.now - self.confirmed_at
        call = self.choice.next_call(self.now, age=age, known=self.vms, pause=0.5)
        self.calls.append(call)
        self.now += call.delay
        if call.mirror is None:
            self._call_store(call)
        else:
            self._call_mirror(call, call.mirror)
        return call

    def _call_store(self, call: Call) -> None:
        if self.is_rejected:
            self.now += 0.005
            self.choice.on_failure(self.now, call, known=self.vms)
            return
        self.now += call.wait
        self._confirm(self.now)
        self.choice.on_success(self.now, call, age=0.0, known=self.vms)

    def _call_mirror(self, call: Call, mirror: Peer) -> None:
        if mirror in self.hung:
            self.now += call.timeout
            self.choice.on_failure(self.now, call, known=self.vms)
            return
        self.now += min(call.wait, 1.0)
        at = -9.0 if mirror in self.stale else self.now - 0.1
        at = self.confirmed_at if mirror in self.fed else at
        self._confirm(at)
        self.choice.on_success(self.now, call, age=self.now - at, known=self.vms)

    def _confirm(self, at: float) -> None:
        self.oldest = max(self.oldest, self.now - self.confirmed_at)
        self.confirmed_at = max(self.confirmed_at, at)


@pytest.mark.parametrize("bound", BOUNDS_S)
@pytest.mark.parametrize("pause", PAUSES_S)
@pytest.mark.parametrize("is_watcher", [True, False])
def test_sum_of_all_waits_is_below_the_age_limit_and_no_gap(
    bound: float, pause: float, is_watcher: bool
) -> None:
    """Guard against a wait that grows until a change takes effect too late."""
    choice = UpstreamChoice[Peer](age_limit(bound), random.Random(1).random)
    direct = choice.direct_age(is_watcher=is_watcher)
    sum_of_waits = direct + PROBE_WAIT_S + STORE_MARGIN_S
    assert sum_of_waits <= age_limit(bound) <= bound - CHANGE_RESERVE_S
    assert direct + PROBE_WAIT_S + 0.1 <= DEFAULT_MAX_GAP_S
    watch = choice.next_call(0.0, age=0.0, known=known(), pause=pause)
    # A watch may end with a change just after it began, and is answered again a cycle later.
    cycle = watch.delay + watch.wait
    assert cycle + watch.wait + PROBE_WAIT_S + MIRROR_MARGIN_S <= direct


@pytest.mark.parametrize("seed", range(50))
def test_view_is_recent_whatever_the_watchers_do(seed: int) -> None:
    """Guard against a view over the limit on a VM that reaches the store itself."""
    vms = known(ONE, TWO, mirrors=(THREE, FAR))
    follower = Follower(vms, seed)
    rng = random.Random(seed)
    while follower.now < 60.0:
        follower.step()
        if rng.random() < 0.3:
            follower.hung = {peer for peer in vms.mirrors if rng.random() < 0.5}
            follower.stale = {peer for peer in vms.mirrors if rng.random() < 0.5}
    assert follower.oldest <= age_limit(3.0)


def test_vm_whose_watchers_are_fed_by_it_follows_the_store_until_they_are_not() -> None:
    """Guard against rejected watchers that count as recent on the only VM that the store serves."""
    follower = Follower(known(ONE, TWO), 1)
    follower.fed = {ONE, TWO}
    while follower.now < 10.0:
        follower.step()
    follower.oldest = 0.0
    while follower.now < 30.0:
        follower.step()
    assert follower.oldest <= MAX_CYCLE_S + FED_WAIT_S + 0.1
    follower.fed = set()
    while follower.now < 35.0:
        follower.step()
    assert all(follower.step().mirror is not None for _ in range(50))


def test_rejected_vm_follows_recent_mirrors_and_probes_the_store() -> None:
    """Guard against a rejected VM that has an old view, or never tries the store again."""
    follower = Follower(known(mirrors=(ONE, FAR)), 1)
    follower.is_rejected, follower.stale = True, {ONE}
    while follower.now < 20.0:
        follower.step()
    assert follower.oldest <= age_limit(3.0)
    probes = [call for call in follower.calls if call.mirror is None]
    assert 10 <= len(probes) <= 50


def test_rejected_watcher_asks_the_follower_that_was_more_recent_first() -> None:
    """Guard against a rejected watcher that finds the VM which the store serves by chance."""
    vms = attrs.evolve(known(mirrors=(ONE, TWO, FAR)), recent=THREE)
    follower = Follower(vms, 1)
    follower.is_rejected, follower.stale = True, {ONE, TWO, FAR}
    while follower.now < 20.0:
        follower.step()
    assert follower.oldest <= age_limit(3.0)


def test_follower_of_recent_watchers_never_calls_the_store() -> None:
    """Guard against hundreds of VMs that each call the store though their watchers are recent."""
    follower = Follower(known(ONE, TWO), 1)
    for _ in range(100):
        assert follower.step().mirror is not None


@pytest.mark.parametrize("vms", [2, 6, 33, 188])
def test_outage_is_probed_by_few_vms_at_a_time(vms: int) -> None:
    """Guard against a storm of calls to a store that answers nobody."""
    probes, seconds = 0, 40.0
    for seed in range(vms):
        follower = Follower(known(ONE, TWO, vms=vms), seed)
        follower.is_rejected, follower.stale = True, {ONE, TWO}
        while follower.now < seconds:
            probes += follower.step().mirror is None
    # Each VM calls twice before its interval grows; 188 VMs have reached the maximum interval.
    assert probes / seconds <= 2.2 * vms / seconds + max(4.0, vms / 10.0) * 1.5


def test_outage_of_hours_is_survived() -> None:
    """Guard against a pause that grows until it can't be computed, which would end the task."""
    follower = Follower(known(), 1)
    follower.is_rejected = True
    for _ in range(5000):
        follower.step()
    assert follower.now < 5000 * 1.5
    follower.is_rejected = False
    for _ in range(3):
        follower.step()
    assert follower.now - follower.confirmed_at < 1.0


def test_direct_call_is_not_delayed_by_failed_calls_to_mirrors() -> None:
    """Guard against a view that grows old while a VM pauses for mirrors that do not answer."""
    choice = UpstreamChoice[Peer](age_limit(3.0), random.Random(1).random)
    vms = known(ONE, TWO, mirrors=(THREE,))
    for mirror in (ONE, TWO, THREE):
        call = Call(mirror=mirror, wait=0.1, timeout=0.2)
        choice.on_failure(1.0, call, known=vms)
    direct = choice.next_call(1.0, age=2.0, known=vms, pause=0.5)
    assert (direct.mirror, direct.delay) == (None, 0.0)
