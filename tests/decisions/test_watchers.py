"""Which VMs follow the store for the others."""

from __future__ import annotations

import pytest

from berylspindle_decisions.watchers import watchers_of


@pytest.mark.parametrize(
    ("vms", "watchers"), [(1, 1), (2, 2), (3, 2), (20, 2), (32, 2), (33, 3), (188, 12)]
)
def test_watchers_grow_more_slowly_than_the_data_centre(vms: int, watchers: int) -> None:
    names = [f"vm-{number}" for number in range(vms)]
    found = watchers_of(dict.fromkeys(names, 1.0), data_centre="a")
    assert len(found) == watchers
    assert found == watchers_of(dict.fromkeys(reversed(names), 1.0), data_centre="a")


def test_a_vm_that_goes_moves_no_other_watcher() -> None:
    """Eighty VMs change whom they follow because one of them has been replaced."""
    names = [f"vm-{number}" for number in range(20)]

    def without(gone: str) -> tuple[str, ...]:
        return watchers_of({n: 1.0 for n in names if n != gone}, data_centre="a")

    before = without("")
    follower = next(name for name in names if name not in before)
    assert without(follower) == before
    assert without(before[0])[0] == before[1]


def test_the_bigger_vms_are_the_watchers() -> None:
    vms = {f"small-{number}": 0.5 for number in range(18)} | {"big-1": 2.1, "big-2": 2.1}
    assert set(watchers_of(vms, data_centre="a")) == {"big-1", "big-2"}
