"""Replicas that lose answers, as many VMs with few requests each learn of them."""

from __future__ import annotations

import random

from berylspindle_decisions.loss_reports import LOSS_TTL_S, MAX_REPORTED, LossReports

REPLICAS = [f"i-{n}" for n in range(10)]
LOSSY = frozenset(REPLICAS[:5])


def lost_bookings(*, vms: int, shared: bool, seconds: float = 5.0, seed: int = 1) -> int:
    """Play VMs that send a booking now and then; five of ten replicas lose four in ten answers.

    Reports reach all others a second later.
    """
    rng = random.Random(seed)
    known = [LossReports() for _ in range(vms)]
    lost, now, told_at = 0, 100.0, 101.0
    while now < 100.0 + seconds:
        now += rng.expovariate(12.0)
        if shared and now >= told_at:
            told_at += 1.0
            reports = [one.report(now) for one in known]
            for one in known:
                for report in reports:
                    one.merge(now, report)
        vm = known[rng.randrange(vms)]
        sound = [name for name in REPLICAS if not vm.is_lossy(now, name)]
        replica = rng.choice(sound or REPLICAS)
        if replica in LOSSY and rng.random() < 0.4:
            vm.lost(now, replica)
            lost += 1
    return lost


def test_many_vms_lose_a_third_fewer_requests_when_they_share_what_they_lost() -> None:
    """Guards against a lost booking for each VM and replica."""
    alone = sum(lost_bookings(vms=195, shared=False, seed=seed) for seed in range(20))
    shared = sum(lost_bookings(vms=195, shared=True, seed=seed) for seed in range(20))
    assert shared <= 2 * alone / 3


def test_a_loss_is_forgotten_and_told_with_its_age() -> None:
    """Guards against a sound replica that is avoided for ever, kept alive by VMs' reports."""
    one, other = LossReports(), LossReports()
    one.lost(10.0, "i-1")
    assert one.is_lossy(10.0, "i-1")
    assert one.report(13.0) == {"i-1": 3000}
    other.merge(50.0, one.report(13.0))
    assert other.is_lossy(51.9, "i-1")
    assert not other.is_lossy(47.0 + LOSS_TTL_S, "i-1")
    # What comes back from the other is no news.
    one.merge(14.0, other.report(51.0))
    assert not one.is_lossy(10.0 + LOSS_TTL_S, "i-1")
    assert one.report(16.0) == {}


def test_a_report_is_bounded_and_holds_the_latest_losses() -> None:
    """Guards against messages that grow with the replicas of a data centre without power."""
    reports = LossReports()
    for number in range(3 * MAX_REPORTED):
        reports.lost(10.0 + number / 1000, f"i-{number}")
    told = reports.report(10.5)
    assert len(told) == MAX_REPORTED
    assert f"i-{3 * MAX_REPORTED - 1}" in told
