"""The selection of the VMs whose mirrors the others follow."""

from __future__ import annotations

import pytest

from berylspindle_decisions.watchers import select_watchers


@pytest.mark.parametrize(
    ("vms", "watchers"), [(1, 1), (2, 2), (3, 2), (20, 2), (32, 2), (33, 3), (188, 12)]
)
def test_watchers_grow_more_slowly_than_the_data_centre(vms: int, watchers: int) -> None:
    names = [f"vm-{number}" for number in range(vms)]
    selected = select_watchers(dict.fromkeys(names, 1.0), data_centre="a")
    assert len(selected) == watchers
    assert selected == select_watchers(dict.fromkeys(reversed(names), 1.0), data_centre="a")


def test_the_removal_of_a_vm_changes_no_other_watcher() -> None:
    """Guard against eighty VMs that switch to other mirrors because one VM was replaced."""
    names = [f"vm-{number}" for number in range(20)]

    def without(removed: str) -> tuple[str, ...]:
        return select_watchers({n: 1.0 for n in names if n != removed}, data_centre="a")

    before = without("")
    follower = next(name for name in names if name not in before)
    assert without(follower) == before
    assert without(before[0])[0] == before[1]


def test_the_larger_vms_are_the_watchers() -> None:
    vms = {f"small-{number}": 0.5 for number in range(18)} | {"big-1": 2.1, "big-2": 2.1}
    assert set(select_watchers(vms, data_centre="a")) == {"big-1", "big-2"}
