"""Which VM grants the tokens of an organisation while views, leases and entries change."""

from __future__ import annotations

import math

from berylspindle_forwarding.catalogue_changes import VmChange, VmEntry
from berylspindle_forwarding.quota_owners import OWN_SETTLE_S, SETTLE_S, QuotaOwners

ORGANISATIONS = tuple(f"org-{n}" for n in range(40))


class View:
    """Owners as one VM sees them, on a clock that the test sets."""

    def __init__(self, vm: str, *listed: str, first_start: bool = False) -> None:
        self.now = 100.0
        self.lease_valid_until = math.inf
        self.announced_at = -math.inf
        self.owners = QuotaOwners(
            vm=vm,
            data_centre=vm[0],
            clock=lambda: self.now,
            lease_valid_until=lambda: self.lease_valid_until,
            announced_at=lambda: self.announced_at,
            first_start=first_start,
        )
        self.add(*listed)
        self.owners.on_listed()

    def add(self, *vms: str, bears: float = 1.0) -> None:
        for vm in vms:
            entry = VmEntry(host="127.0.0.1", port=1, data_centre=vm[0], bears=bears)
            self.owners.apply(VmChange(vm, entry))

    def remove(self, vm: str) -> None:
        self.owners.apply(VmChange(vm, None))

    def owned(self) -> set[str]:
        return {name for name in ORGANISATIONS if self.owners.rank(name).owner == self.owners._vm}

    def granted(self) -> set[str]:
        return {name for name in ORGANISATIONS if self.owners.owned_since(name) is not None}


def test_vms_of_the_first_listing_count_at_once_and_all_views_agree() -> None:
    """Guard against a data centre without quotas for seconds after a loss of power."""
    vms = ("a1", "a2", "b1")
    views = [View(vm, *vms) for vm in vms]
    owned = [view.owned() for view in views]
    assert sum(map(len, owned)) == len(set().union(*owned)) == len(ORGANISATIONS)
    assert [view.granted() for view in views] == owned
    for name in ORGANISATIONS:
        ranks = [view.owners.rank(name) for view in views]
        assert ranks[0] == ranks[1]
        assert ranks[2].lenders == ("b1",)
        assert set(ranks[0].lenders) == {"a1", "a2"}


def test_new_vm_takes_over_only_after_the_previous_owner_stopped() -> None:
    """Guard against two VMs that grant the same tokens: one sees the new entry `SETTLE_S` late."""
    old, new = View("a1", "a1"), View("b1", "a1")
    new.add("b1")
    new.now += SETTLE_S - 0.1
    old.now = new.now
    old.add("b1")
    assert old.granted() == set(ORGANISATIONS)
    assert new.owned() == set()
    for _ in range(70):
        old.now = new.now = new.now + 0.1
        assert not old.granted() & new.granted()
    assert new.granted()
    assert old.granted() | new.granted() == set(ORGANISATIONS)


def test_owner_stops_granting_before_its_lease_ends() -> None:
    """Guard against an owner that is cut off from the store and grants beside its successor."""
    owner = View("a1", "a1", "b1")
    owner.lease_valid_until = owner.now + 5.0
    assert owner.granted() == owner.owned()
    owner.now += 5.0
    assert owner.granted() == set()
    owner.lease_valid_until = owner.now + 5.0
    # The lease did not end in between, so no other VM can have granted tokens.
    assert all(owner.owners.owned_since(name) == 100.0 for name in owner.granted())


def test_vm_with_a_new_lease_waits_although_its_old_entry_was_listed() -> None:
    """Guard against a VM whose entry had expired in the store, and not yet in its mirror."""
    restarted = View("a1", "a1", "b1")
    restarted.announced_at = restarted.now
    assert restarted.granted() == set()
    restarted.now += OWN_SETTLE_S
    assert restarted.granted() == restarted.owned()
    assert all(restarted.owners.owned_since(name) == restarted.now for name in restarted.granted())


def test_time_of_ownership_counts_from_the_departure_of_the_previous_owner() -> None:
    """Guard against a successor that grants what the previous owner has granted as standby."""
    view = View("a1", "a1", "b1")
    before = view.owned()
    view.now += 50.0
    view.remove("b1")
    inherited = view.granted() - before
    assert inherited
    assert all(view.owners.owned_since(name) == view.now for name in inherited)
    assert all(view.owners.owned_since(name) == -math.inf for name in before)
    view.add("b1")
    view.now += SETTLE_S
    assert view.granted() == before


def test_entry_that_is_written_again_keeps_its_age() -> None:
    """Guard against a change of all owners when an entry's count of followers changes."""
    view = View("a1", "a1", "b1")
    generation = view.owners.generation
    view.add("a1", "b1")
    assert view.owners.generation == generation
    assert view.granted() == view.owned()


def test_small_vm_owns_and_lends_only_without_a_larger_one() -> None:
    """Guard against the asks of a data centre at a VM that is too slow to answer in time."""
    view = View("a1", "a1")
    view.add("a2", bears=2.1)
    view.now += OWN_SETTLE_S
    assert view.owned() == set()
    assert view.owners.rank(ORGANISATIONS[0]).lenders == ("a2",)
    view.remove("a2")
    assert view.granted() == set(ORGANISATIONS)


def test_owner_since_the_first_start_of_the_system_has_no_predecessor() -> None:
    """Guard against owners that lend less than the limit for seconds after the first start."""
    views = (View("a1", first_start=True), View("a1"))
    for view in views:
        view.add("a1")
        view.now += OWN_SETTLE_S
    first, later = (view.owners.owned_since(ORGANISATIONS[0]) for view in views)
    assert first == -math.inf
    assert later is not None
    assert later > -math.inf
