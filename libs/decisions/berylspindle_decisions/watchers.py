"""Select the VMs of a data centre whose mirrors the other VMs follow.

Each call to the store has a cost, a pending watch included, and the store's capacity grows more
slowly than the fleet. If each of 81 VMs watches the store, every change causes about 81 calls, and
a start of the fleet followed by one idle minute causes 1,180 calls. With two watchers per data
centre, such a start with its idle minute causes 430 calls.

Terms:
  watcher   a VM whose mirror others follow; the first watcher follows the store, and each other
            watcher follows one that is ranked before it
  follower  any other VM

Flow: each VM ranks the known VMs of its data centre by capacity, and equal ones by a hash of their
names; the first ones are the watchers. VMs with the same state select the same watchers without
coordination; while their states differ, there are a few more watchers.

Guard: the ranking prefers larger VMs, because they merge the searches of the others and are the
first to detect that the data centre is isolated. As watchers, they report the isolation to their
followers in their next response.

Thresholds: of two watchers, one may fail without an effect. The second watcher calls the store if
the first does not confirm its view in time (`upstream_choice`). A larger data centre has one
watcher per `FOLLOWERS_PER_WATCHER` VMs. A follower sends about one request per second, and each
response takes a millisecond, so 16 followers take 1.6% of a watcher's core. A data centre with two
VMs or fewer has no followers.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

from berylspindle_decisions.rendezvous import weight

MIN_WATCHERS: Final = 2
FOLLOWERS_PER_WATCHER: Final = 16


def select_watchers(
    vms: Mapping[str, float], *, data_centre: str, unannounced: int = 0
) -> tuple[str, ...]:
    """Return the watchers among the VMs of a data centre, best first.

    `vms` is the capacity of each VM in cores (`relay_choice`); `unannounced` the number of further
    VMs, which have no entry in the store and can't be watchers.
    """
    count = max(MIN_WATCHERS, math.ceil((len(vms) + unannounced) / FOLLOWERS_PER_WATCHER))
    ranked = sorted(
        vms, key=lambda name: (vms[name], weight(data_centre, name), name), reverse=True
    )
    return tuple(ranked[:count])
