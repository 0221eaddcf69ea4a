"""Map keys to members by rendezvous hashing (highest random weight).

Terms:
  weight   64-bit hash of key and member; a key belongs to the member with the highest weight
  owner    the only VM that sends to a backend server

Flow: every VM computes the same mapping from the same members, so no table is exchanged. When a
member leaves, only its own keys move, and they spread over the remaining members; a modulus would
move nearly every key, and each move costs a backend server its warm connections.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from berylspindle_model.topology import Vm

_SEPARATOR: Final = "\x00"


def weight(key: str, member_id: str) -> int:
    """Return the weight of a member for a key; it is equal on every VM and in every process."""
    return xxhash.xxh3_64_intdigest((key + _SEPARATOR + member_id).encode())


def owner_of(server_id: str, members: Sequence[Vm]) -> Vm:
    """Return the member that owns a backend server.

    The order of `members` has no influence. Raises ValueError without members.
    """
    if not members:
        raise ValueError("cannot choose an owner from a view without members")
    return max(members, key=lambda vm: (weight(server_id, vm.id), vm.id))


def top_members(key: str, members: Iterable[Vm], count: int) -> tuple[Vm, ...]:
    """Return the `count` members with the highest weights for a key, the highest first."""
    ranked = sorted(members, key=lambda vm: (weight(key, vm.id), vm.id), reverse=True)
    return tuple(ranked[:count])
