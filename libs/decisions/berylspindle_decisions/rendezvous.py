"""Choose by highest random weight which member a key belongs to.

Terms:
  weight   64-bit hash of key and member; the member with the highest weight has the key
  owner    the VM that alone sends to a backend server

Flow: every VM computes the same choice from the same members, so no table is sent around. When a
member leaves, only its own keys move, and they spread over all that stay; a modulus would move
nearly every key, and each move costs a backend server its warm connections.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from berylspindle_model.topology import Vm

_SEPARATOR: Final = "\x00"


def weight(key: str, member_id: str) -> int:
    """Return the weight of a member for a key, the same on every VM and in every process."""
    return xxhash.xxh3_64_intdigest((key + _SEPARATOR + member_id).encode())


def owner_of(server_id: str, members: Sequence[Vm]) -> Vm:
    """Return the member that owns a backend server.

    The order of `members` has no influence. Raises ValueError where there are none.
    """
    if not members:
        raise ValueError("a view without members owns nothing")
    return max(members, key=lambda vm: (weight(server_id, vm.id), vm.id))


def first_of(key: str, members: Iterable[Vm], count: int) -> tuple[Vm, ...]:
    """Return the `count` members with the highest weights for a key, the highest first."""
    ranked = sorted(members, key=lambda vm: (weight(key, vm.id), vm.id), reverse=True)
    return tuple(ranked[:count])
