"""Which VMs of a data centre the others follow; the first of them follows the store.

Pattern of load: each call to the store costs, a waiting watch as one, and its rates grow more
slowly than the fleet. Where each of 81 VMs watches the store, each change is some 81 calls, and a
start and a quiet minute are 1,180; with two watches a data centre 430, counted at the store.

Terms:
  watcher   a VM whose mirror others follow; the first one follows the store, the others the first
  follower  any other VM

Flow: each VM ranks the VMs of its data centre that it knows by what they bear, and those alike by a
hash of their names; the first ones are the watchers. VMs that know the same VMs find the same ones,
and nobody is asked. While they know different ones there are some watchers more.

Guard: the bigger VMs merge the searches of the others, and so are the first to see that the data
centre is cut off; as watchers they tell all others with the next answer.

Thresholds: two, so that one can fail unnoticed: the second asks the store as soon as the first is
silent, fails or lags, which takes 1.6 s of the three that a change may take; one more for each
`FOLLOWERS` VMs, since a follower asks about once a second and each answer takes a millisecond, 1.6%
of a core at a watcher. Fleets with two VMs or fewer in a data centre have no followers.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

from berylspindle_decisions.rendezvous import weight

LEAST: Final = 2
FOLLOWERS: Final = 16


def watchers_of(
    vms: Mapping[str, float], *, data_centre: str, unannounced: int = 0
) -> tuple[str, ...]:
    """Return the watchers among the VMs of a data centre, best first.

    `vms` holds what each VM bears, in cores (`relay_choice`); `unannounced` are those that are
    there besides and can't be watchers.
    """
    count = max(LEAST, math.ceil((len(vms) + unannounced) / FOLLOWERS))
    ranked = sorted(
        vms, key=lambda name: (vms[name], weight(data_centre, name), name), reverse=True
    )
    return tuple(ranked[:count])
