"""Which VMs follow the store for the others."""

from __future__ import annotations

import pytest

from berylspindle_decisions.watchers import watchers_of


@pytest.mark.parametrize(
    ("vms", "watchers"), [(1, 1), (2, 2), (3, 2), (20, 2), (32, 2), (33, 3), (188, 12)]
)
def test_watchers_grow_more_slowly_than_the_data_centre(vms: int, watchers: int) -> None:
    names = [f"vm-{number}" for number in range(vms)]
    found = watchers_of(names, data_centre="a")
    assert len(found) == watchers
    assert found == watchers_of(reversed(names), data_centre="a")


def test_a_vm_that_goes_moves_no_other_watcher() -> None:
    """Eighty VMs change whom they follow because one of them has been replaced."""
    names = [f"vm-{number}" for number in range(20)]
    before = watchers_of(names, data_centre="a")
    follower = next(name for name in names if name not in before)
    assert watchers_of([n for n in names if n != follower], data_centre="a") == before
    after = watchers_of([n for n in names if n != before[0]], data_centre="a")
    assert after[0] == before[1]
