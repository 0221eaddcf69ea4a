"""Order the store's changes although its revision counter may go back.

Terms:
  number     the store's own counter of changes
  era        how often the store has returned from a copy; then its counter goes back, and numbers
             are given out again for other changes
  revision   one integer of both, with the era in the high bits

Revisions of a later era compare higher whatever their numbers, so all code can compare revisions
as plain integers. With era 0 a revision equals its number.
"""

from __future__ import annotations

from typing import Final

NUMBER_BITS: Final = 40
"""Bits of the number. The other 23 bits of a signed 64-bit integer hold the era."""

MAX_ERA: Final = (1 << (63 - NUMBER_BITS)) - 1

_NUMBER_MASK: Final = (1 << NUMBER_BITS) - 1


def make_revision(era: int, number: int) -> int:
    """Return the revision of a number in an era. Raises ValueError if either is out of range."""
    if not 0 <= number <= _NUMBER_MASK or not 0 <= era <= MAX_ERA:
        raise ValueError(f"era {era} or number {number} is out of range")
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number of a revision."""
    return revision & _NUMBER_MASK


def describe_revision(revision: int) -> str:
    """Return a revision as text: era and number."""
    return f"{era_of(revision)}.{number_of(revision)}"
