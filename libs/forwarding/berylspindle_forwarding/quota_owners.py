"""Determine which VM owns the quota of an organisation, and which VMs lend it in a data centre.

Terms:
  owner       the announced VM that rendezvous hashing ranks first for an organisation; only it
              grants tokens
  lenders     the announced VMs of this data centre, best first; the first one lends the tokens
  considered  a VM whose entry has been known for long enough that all VMs know it
  period      a time in which the considered VMs did not change

Flow: the forwarder passes each announcement to `apply` and the end of the first listing to
`on_listed`. `rank` returns the owner and the lenders of an organisation, and `owned_since` whether
this VM may grant its tokens.

Guards: views lag behind the store by different times, so two VMs may take themselves for the owner.
The entry of a new VM therefore counts for its peers `SETTLE_S` after they first saw it, and for the
new VM itself twice as long after its own view had it. An owner that is cut off from the store stops
granting before its lease ends, and only then does its entry disappear and its successor grant.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from berylspindle_decisions.relay_choice import MIN_CAPACITY_RATIO
from berylspindle_decisions.rendezvous import weight
from berylspindle_forwarding.catalogue_changes import VmChange, VmEntry

SETTLE_S: Final = 3.0
"""Seconds after which a new entry is considered. Views are at most 2.55 s old by default
(`upstream_selector.DEFAULT_AGE_LIMIT_S`)."""

OWN_SETTLE_S: Final = 2 * SETTLE_S
"""Seconds after which a newly announced VM grants tokens: the previous owner may have seen the new
entry `SETTLE_S` later, and grants for another `SETTLE_S`."""

FIRST_START_S: Final = 10.0
"""Seconds after the first start of the whole system in which VMs are announced. Callers come later,
so that an owner since then has no predecessor that granted tokens."""

HISTORY_S: Final = 15.0
"""Seconds for which past periods are kept; longer than standby lasts (`STANDBY_TTL_S`)."""


@attrs.frozen(kw_only=True)
class QuotaRank:
    """The VMs responsible for one organisation.

    Attributes:
        owner: the VM that grants tokens, or None if no VM is considered.
        lenders: the considered VMs of this VM's data centre, best first.
    """

    owner: str | None
    lenders: tuple[str, ...]


@attrs.frozen
class _Period:
    began: float
    vms: frozenset[str]


class QuotaOwners:
    """Owners and lenders as this VM sees them; times are in seconds of `clock`.

    `first_start` states that all VMs of the system start for the first time.
    `lease_valid_until` returns the time until which the store keeps this VM's lease for certain,
    and `announced_at` the time at which this process was granted a new lease, or minus infinity.
    """

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        clock: Callable[[], float],
        lease_valid_until: Callable[[], float],
        announced_at: Callable[[], float],
        first_start: bool = False,
    ) -> None:
        self._vm: Final = vm
        self._data_centre: Final = data_centre
        self._clock: Final = clock
        self._lease_valid_until: Final = lease_valid_until
        self._announced_at: Final = announced_at
        self._unused_until: Final = clock() + FIRST_START_S if first_start else -math.inf
        self._listed = False
        self._entries: dict[str, VmEntry] = {}
        self._considered_from: dict[str, float] = {}
        self._own_first_seen = -math.inf
        self._next_change = math.inf
        # The first period is empty: before its first listing this VM knows of no owner.
        self._periods: Final = deque([_Period(clock(), frozenset())])
        self._local: tuple[str, ...] = ()
        self._generation = 0

    @property
    def generation(self) -> int:
        """Return a number that changes with the ranking."""
        self._update(self._clock())
        return self._generation

    @property
    def addresses(self) -> frozenset[tuple[str, int]]:
        """Return host and port of the peers' edges of all announced VMs."""
        return frozenset((entry.host, entry.port) for entry in self._entries.values())

    def apply(self, change: VmChange) -> None:
        """Apply an announcement, or its deletion."""
        now = self._clock()
        if change.vm is None:
            self._entries.pop(change.id, None)
            self._considered_from.pop(change.id, None)
        else:
            is_new = change.id not in self._entries
            self._entries[change.id] = change.vm
            if is_new:
                self._add(now, change.id)
        if self._listed:
            self._update(now, is_changed=True)

    def on_listed(self) -> None:
        """Consider all VMs of the first listing; later listings change nothing."""
        if self._listed:
            return
        self._listed = True
        self._update(self._clock(), is_changed=True)

    def address(self, vm: str) -> tuple[str, int] | None:
        """Return host and port of a VM's peers' edge, or None if it is not announced."""
        entry = self._entries.get(vm)
        return (entry.host, entry.port) if entry is not None else None

    def rank(self, organisation: str) -> QuotaRank:
        """Return the owner and the lenders of an organisation."""
        self._update(self._clock())
        considered = self._periods[-1].vms
        lenders = sorted(self._local, key=lambda vm: (weight(organisation, vm), vm), reverse=True)
        return QuotaRank(owner=_first(organisation, considered), lenders=tuple(lenders))

    def owned_since(self, organisation: str) -> float | None:
        """Return since when this VM grants an organisation's tokens, or None if it does not.

        The result is minus infinity if it has been the owner in all periods that are still known.
        """
        now = self._clock()
        self._update(now)
        if now < self._grants_from() or now >= self._lease_valid_until():
            return None
        since = self._first_since(organisation, now)
        return -math.inf if since is not None and since < self._unused_until else since

    def _first_since(self, organisation: str, now: float) -> float | None:
        grants_from = self._grants_from()
        since: float | None = None
        for period in reversed(self._periods):
            if _first(organisation, period.vms) != self._vm:
                return max(since, grants_from) if since is not None else None
            since = period.began
        return grants_from if now - grants_from < HISTORY_S else -math.inf

    def _grants_from(self) -> float:
        return max(self._own_first_seen, self._announced_at()) + OWN_SETTLE_S

    def _add(self, now: float, vm: str) -> None:
        self._considered_from[vm] = now + SETTLE_S if self._listed else now
        if vm == self._vm:
            self._own_first_seen = now if self._listed else -math.inf

    def _update(self, now: float, *, is_changed: bool = False) -> None:
        """Begin a new period if the considered VMs have changed."""
        if now < self._next_change and not is_changed:
            return
        known = self._considered_from.items()
        considered = self._select_largest(vm for vm, begin in known if begin <= now)
        self._next_change = min((begin for _, begin in known if begin > now), default=math.inf)
        if considered == self._periods[-1].vms:
            return
        self._periods.append(_Period(now, considered))
        while self._periods[1].began <= now - HISTORY_S:
            self._periods.popleft()
        self._local = tuple(
            vm for vm in considered if self._entries[vm].data_centre == self._data_centre
        )
        self._generation += 1

    def _select_largest(self, vms: Iterable[str]) -> frozenset[str]:
        """Return the VMs with a capacity near that of the largest VM of their data centre.

        An owner or lender answers the asks of a whole data centre, for which a small VM is too
        slow.
        """
        entries = {vm: self._entries[vm] for vm in vms}
        largest: dict[str, float] = {}
        for entry in entries.values():
            largest[entry.data_centre] = max(largest.get(entry.data_centre, 0.0), entry.bears)
        return frozenset(
            vm
            for vm, entry in entries.items()
            if entry.bears * MIN_CAPACITY_RATIO >= largest[entry.data_centre]
        )


def _first(organisation: str, vms: frozenset[str]) -> str | None:
    """Return the VM with the highest weight, or None without VMs."""
    return max(vms, key=lambda vm: (weight(organisation, vm), vm), default=None)
