"""Define the identity of a snapshot of one service's index.

A snapshot is identified by the epoch of the partitioning and the version of the index. Two replies
may be merged into one answer only if both were computed on the same snapshot.
"""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class Snapshot:
    """Identity of one snapshot; a higher one is newer."""

    epoch: int
    version: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.version}"
