"""Remember which entries were replaced or deleted, to recognize them in a copy of the store.

A store that returns from a copy lists entries as they were some seconds ago. Such an entry has the
key, number and value of one that was replaced or deleted since. An entry that was written after the
return differs from all of them in its number or its value.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from berylspindle_store.revisions import number_of
from berylspindle_store.store import StoredValue

MAX_ENTRIES: Final = 4000
"""Entries that are remembered; a copy is some seconds old, and a second has tens of changes."""


class SupersededEntries:
    """The entries that were replaced or deleted last."""

    def __init__(self) -> None:
        self._values: Final[OrderedDict[tuple[str, int], bytes | None]] = OrderedDict()

    def add(self, entry: StoredValue) -> None:
        """Add an entry that has been replaced or deleted."""
        self._values[entry.key, number_of(entry.revision)] = entry.value
        if len(self._values) > MAX_ENTRIES:
            self._values.popitem(last=False)

    def __contains__(self, entry: StoredValue) -> bool:
        identity = (entry.key, number_of(entry.revision))
        return identity in self._values and self._values[identity] == entry.value
