"""Organisations that compete for too little room: fair shares, totals, priorities, memory."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping

import attrs
import pytest

from berylspindle_decisions.admission_controller import AdmissionController, AdmissionRequest
from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.organisation_shares import MAX_ORGANISATIONS, OrganisationShares

CAPACITY_PER_S, TARGET_S, SECONDS = 60.0, 0.1, 120.0
Counts = tuple[Counter[object], Counter[object]]


def serve(rates: Mapping[str, float], *, named: bool = True, priorities: int = 1) -> Counts:
    """Send requests to a service whose queue sets the pressure.

    Return the requests and the admitted ones, by organisation or, if there are several, by
    priority.
    """
    rng, controller = random.Random(3), AdmissionController()
    asked: Counter[object] = Counter()
    admitted: Counter[object] = Counter()
    now = queue_s = 0.0
    while now < SECONDS:
        gap_s = rng.expovariate(sum(rates.values()))
        now, queue_s = now + gap_s, max(0.0, queue_s - gap_s)
        name, priority = rng.choices(list(rates), rates.values())[0], rng.randrange(priorities)
        pressure, organisation = queue_s / TARGET_S, name if named else None
        request = AdmissionRequest(
            group="shard", priority=priority, pressure=pressure, organisation=organisation
        )
        is_admitted = controller.admit(now, request, uniform=rng.random())
        queue_s += is_admitted / CAPACITY_PER_S
        key = name if priorities == 1 else priority
        asked[key] += 1
        admitted[key] += is_admitted
    return asked, admitted


def zipf_rates(rate_per_s: float) -> dict[str, float]:
    """Return the rates of 82 organisations, which together send `rate_per_s` requests a second."""
    sizes = [1 / rank**1.2 for rank in range(1, 83)]
    return {f"org-{n}": rate_per_s * size / sum(sizes) for n, size in enumerate(sizes)}


def fair_ratios(asked: Counter[object], admitted: Counter[object]) -> dict[object, float]:
    """Return what each got over its max-min fair share of all that was admitted."""
    left, ratios = float(admitted.total()), {}
    for place, (name, count) in enumerate(reversed(asked.most_common())):
        fair = min(count, left / (len(asked) - place))
        ratios[name] = admitted[name] / fair
        left -= fair
    return ratios


@pytest.mark.parametrize("rates", [{"big": 100.0, "small": 10.0}, {"big": 60.0, "small": 6.0}])
def test_each_of_two_organisations_gets_its_fair_share_of_the_same_total(rates) -> None:
    """Guard against an organisation that causes an overload at the expense of another."""
    together, (_, without) = serve(rates), serve(rates, named=False)
    assert together[1].total() == pytest.approx(without.total(), rel=0.05)
    assert min(fair_ratios(*together).values()) >= 0.9


@pytest.mark.parametrize("rate_per_s", [75.0, 90.0, 150.0])
def test_of_many_organisations_small_ones_get_their_share(rate_per_s) -> None:
    """Guard against small organisations that lose as large a share as the largest."""
    rates = zipf_rates(rate_per_s)
    (asked, admitted), (_, without) = serve(rates), serve(rates, named=False)
    assert admitted.total() == pytest.approx(without.total(), rel=0.05)
    small = list(rates)[41:]
    assert sum(admitted[name] for name in small) >= 0.9 * sum(asked[name] for name in small)


def test_of_many_organisations_each_gets_its_fair_share() -> None:
    """Guard against organisations near the fair level that are rejected like larger ones."""
    for rate_per_s in (75.0, 90.0, 150.0):
        rates = zipf_rates(rate_per_s)
        asked, admitted = serve(rates)
        ratios = fair_ratios(asked, admitted)
        assert min(ratios[name] for name in rates if asked[name] >= 100) >= 0.9


def test_priorities_keep_their_order_and_totals() -> None:
    """Guard against shares of organisations that admit more of a lower priority."""
    rates = {"big": 100.0, "small": 10.0}
    (asked, admitted), (_, without) = (serve(rates, named=n, priorities=2) for n in (True, False))
    assert admitted[0] / asked[0] >= admitted[1] / asked[1]
    assert [admitted[n] for n in (0, 1)] == pytest.approx([without[n] for n in (0, 1)], rel=0.05)


def test_ten_thousand_organisations_are_counted_in_bounded_memory() -> None:
    """Guard against state for each name that was ever seen, and against a biased total."""
    rng, shares = random.Random(2), OrganisationShares()
    rejected = [
        shares.rejected_share(n / 150, str(rng.randrange(10_000)), 0.4) for n in range(9000)
    ]
    assert len(shares) <= MAX_ORGANISATIONS
    assert sum(rejected) / len(rejected) == pytest.approx(0.4, rel=0.05)


def test_without_organisations_decisions_are_those_of_the_priority() -> None:
    """Guard against callers without organisation that are decided by the use of others."""
    rng = random.Random(4)
    plain = AdmissionController()
    switched_off = AdmissionController(ForwardPolicy(fair_shares=False))
    for number in range(2000):
        uniform, now = rng.random(), number / 50
        request = AdmissionRequest(group="shard", priority=number % 2, pressure=rng.random() * 1.3)
        named = attrs.evolve(request, organisation=rng.choice(("big", "small")))
        is_admitted = switched_off.admit(now, named, uniform=uniform)
        assert plain.admit(now, request, uniform=uniform) == is_admitted
