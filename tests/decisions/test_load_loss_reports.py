"""Replicas that lose responses, detected by many VMs with few requests each."""

from __future__ import annotations

import random

from berylspindle_decisions.loss_reports import LOSS_TTL_S, MAX_REPORTED, LossReports

REPLICAS = [f"i-{n}" for n in range(10)]
LOSSY = frozenset(REPLICAS[:5])


def lost_bookings(*, vms: int, shared: bool, seconds: float = 5.0, seed: int = 1) -> int:
    """Simulate VMs that send rare bookings; five of ten replicas lose 40% of their responses.

    Reports reach all other VMs within a second.
    """
    rng = random.Random(seed)
    reports_by_vm = [LossReports() for _ in range(vms)]
    lost, now, next_exchange_at = 0, 100.0, 101.0
    while now < 100.0 + seconds:
        now += rng.expovariate(12.0)
        if shared and now >= next_exchange_at:
            next_exchange_at += 1.0
            reports = [one.report(now) for one in reports_by_vm]
            for one in reports_by_vm:
                for report in reports:
                    one.merge(now, report)
        vm = reports_by_vm[rng.randrange(vms)]
        candidates = [name for name in REPLICAS if not vm.is_lossy(now, name)]
        replica = rng.choice(candidates or REPLICAS)
        if replica in LOSSY and rng.random() < 0.4:
            vm.on_loss(now, replica)
            lost += 1
    return lost


def test_many_vms_lose_a_third_fewer_requests_when_they_share_losses() -> None:
    """Guard against one lost booking per VM and replica."""
    alone = sum(lost_bookings(vms=195, shared=False, seed=seed) for seed in range(20))
    shared = sum(lost_bookings(vms=195, shared=True, seed=seed) for seed in range(20))
    assert shared <= 2 * alone / 3


def test_a_loss_expires_and_is_reported_with_its_age() -> None:
    """Guard against avoiding a replica for ever because VMs repeat each other's reports."""
    one, peer = LossReports(), LossReports()
    one.on_loss(10.0, "i-1")
    assert one.is_lossy(10.0, "i-1")
    assert one.report(13.0) == {"i-1": 3000}
    peer.merge(50.0, one.report(13.0))
    assert peer.is_lossy(51.9, "i-1")
    assert not peer.is_lossy(47.0 + LOSS_TTL_S, "i-1")
    # The other VM's report of the same loss doesn't extend it.
    one.merge(14.0, peer.report(51.0))
    assert not one.is_lossy(10.0 + LOSS_TTL_S, "i-1")
    assert one.report(16.0) == {}


def test_transit_does_not_prolong_a_loss() -> None:
    """Guard against VMs that report a loss to each other and take it for a later one each time."""
    one, peer = LossReports(), LossReports()
    one.on_loss(10.0, "i-1")
    sent_at, transit = 10.0, 0.3
    while sent_at < 10.0 + 2 * LOSS_TTL_S:
        sender, receiver = (one, peer) if int(sent_at / transit) % 2 else (peer, one)
        receiver.merge(sent_at + transit, sender.report(sent_at))
        sent_at += transit
    assert not one.is_lossy(10.0 + LOSS_TTL_S, "i-1")
    assert not peer.is_lossy(sent_at, "i-1")


def test_a_report_is_bounded_and_holds_the_latest_losses() -> None:
    """Guard against messages that grow with the replicas of a failed data centre."""
    reports = LossReports()
    for number in range(3 * MAX_REPORTED):
        reports.on_loss(10.0 + number / 1000, f"i-{number}")
    latest = reports.report(10.5)
    assert len(latest) == MAX_REPORTED
    assert f"i-{3 * MAX_REPORTED - 1}" in latest
