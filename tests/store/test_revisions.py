"""Revisions of a store whose counter goes back when it returns from a copy."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from berylspindle_store.revisions import NUMBER_BITS, era_of, make_revision, number_of

ERAS = st.integers(0, 2 ** (63 - NUMBER_BITS) - 1)
NUMBERS = st.integers(0, 2**NUMBER_BITS - 1)


@settings(derandomize=True, deadline=None, database=None)
@given(ERAS, NUMBERS, ERAS, NUMBERS)
def test_revisions_are_ordered_by_era_then_number(
    era: int, number: int, other_era: int, other_number: int
) -> None:
    revision, other = make_revision(era, number), make_revision(other_era, other_number)
    assert (revision < other) == ((era, number) < (other_era, other_number))
    assert (era_of(revision), number_of(revision)) == (era, number)


@pytest.mark.parametrize(("era", "number"), [(-1, 0), (0, -1), (0, 2**NUMBER_BITS), (2**23, 0)])
def test_revision_out_of_range_is_rejected(era: int, number: int) -> None:
    with pytest.raises(ValueError, match="out of range"):
        make_revision(era, number)
