"""Registry of the replicas by service; choose the replica of each attempt.

Terms:
  handle      one replica: what it announced, what this VM holds of it, its connections
  usable      announced, not draining, of a version that gets requests, and not in a data centre
              that is out
  misplaced   a replica whose address answered as another one; unusable until it announces itself
              anew
  cold        a replica that bears only so many requests a second, of all VMs together

Flow: `put`, `remove` and `set_out` follow the announcements; `pick` chooses for each attempt. What
was learned of a replica lives as long as its address and its start stay the same.

Guard: a cold replica falls over under a full load, also when eight VMs send "only a few" each. Each
VM takes its part of the stated rate by the second, and less than its part where it does not know
all others.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.loss_reports import LossReports
from berylspindle_decisions.reach import Reach
from berylspindle_decisions.replica_health import STALLED, ReplicaHealth
from berylspindle_forwarding.replica_pool import PoolOptions, ReplicaPool, RetiredPools
from berylspindle_forwarding.rollouts import VersionRule
from berylspindle_model.routing import Replica, RoutingTable

CONNECTION_SHARE: Final = 0.9
"""Part of a replica's connections that all VMs together use; the rest is for VMs that have just
come and for connections that the replica has not yet seen end."""

COLD_SHARE: Final = 0.75
"""Part of what a cold replica bears that all VMs together send; the rest is for VMs that do not
know of each other yet."""


LOSSY_COST: Final = 10.0
"""What a replica that lost answers costs a request that may not be repeated, in usual latencies:
less than one that answers nothing, more than any queue that is worth waiting in."""


@attrs.frozen(kw_only=True)
class ColdBounds:
    """What all VMs together may send to a cold replica a second: rate by overshoot, and slack."""

    overshoot: float = 1.0
    slack: float = 0.0


class ReplicaHandle:
    """One replica as this VM uses it."""

    def __init__(self, replica: Replica, health: ReplicaHealth, pool: ReplicaPool) -> None:
        self.replica = replica
        self.health: Final = health
        self.pool: Final = pool
        self.is_misplaced = False
        self.failures = 0
        self._cold_sends: deque[float] = deque()

    def note_cold_send(self, now: float) -> None:
        """Count one request to a cold replica."""
        self._cold_sends.append(now)

    def cold_sends(self, now: float) -> int:
        """Return how many requests went to it within the last second."""
        while self._cold_sends and self._cold_sends[0] <= now - 1.0:
            self._cold_sends.popleft()
        return len(self._cold_sends)


class ReplicaRegistry:
    """All replicas that this VM knows."""

    def __init__(
        self,
        *,
        data_centre: str,
        now: Callable[[], float],
        u: Callable[[], float],
        vms: Callable[[], int],
        pool_options: PoolOptions,
        cold: ColdBounds,
        reach: Reach,
        on_opened: Callable[[], None],
        policy: ForwardPolicy,
        version_rule: Callable[[str], VersionRule | None] = lambda service: None,
    ) -> None:
        """Take also which versions of a service get requests."""
        self._version_rule: Final = version_rule
        self._policy: Final = policy
        self._reach: Final = reach
        self._data_centre: Final = data_centre
        self._now: Final = now
        self._u: Final = u
        self._vms: Final = vms
        self._pool_options: Final = pool_options
        self._cold: Final = cold
        self._on_opened: Final = on_opened
        self._handles: dict[str, ReplicaHandle] = {}
        self._usable: dict[str, tuple[ReplicaHandle, ...]] = {}
        self._missing: dict[tuple[str, ...], Mapping[str, float]] = {}
        self._far: dict[tuple[str, ...], tuple[int, ...]] = {}
        self._out: frozenset[str] = frozenset()
        self._table: RoutingTable | None = None
        self._retired: Final = RetiredPools()
        self.losses: Final = LossReports()

    def __len__(self) -> int:
        return len(self._handles)

    @property
    def handles(self) -> Iterable[ReplicaHandle]:
        """Return all handles."""
        return self._handles.values()

    def get(self, replica_id: str) -> ReplicaHandle | None:
        """Return the handle of a replica."""
        return self._handles.get(replica_id)

    def put(self, replica: Replica) -> None:
        """Take an announcement."""
        now = self._now()
        handle = self._handles.get(replica.id)
        if handle is not None and not _same_process(handle.replica, replica):
            self.remove(replica.id)
            handle = None
        if handle is None:
            handle = self._open(replica)
            self._handles[replica.id] = handle
        handle.replica = replica
        handle.is_misplaced = False
        handle.health.slots = max(1, replica.slots)
        handle.health.cold_until = now + replica.cold_ms / 1000
        self._forget_choices()

    def remove(self, replica_id: str) -> None:
        """Forget a replica; what is under way there is finished."""
        handle = self._handles.pop(replica_id, None)
        if handle is None:
            return
        self._forget_choices()
        self._retired.retire(handle.pool)

    def set_out(self, data_centres: frozenset[str]) -> None:
        """Send nothing to the replicas of these data centres."""
        self._out = data_centres
        self._forget_choices()

    def set_table(self, table: RoutingTable) -> None:
        """Follow the services' rules."""
        self._table = table
        for handle in self._handles.values():
            handle.pool.limit = self._limit(handle.replica)

    def usable(self, service: str) -> tuple[ReplicaHandle, ...]:
        """Return the replicas of a service that may get requests."""
        found = self._usable.get(service)
        if found is None:
            found = self._usable[service] = self._find_usable(service)
        return found

    def pick_on_trial(self, service: str) -> ReplicaHandle | None:
        """Return the replica on which the new version of a service is tried, or None.

        All VMs try the same one, so that it gets the load of a replica with a small share of the
        requests.
        """
        rule = self._version_rule(service)
        if rule is None or rule.is_used:
            return None
        now = self._now()
        tried = [
            handle
            for handle in self._sound(service)
            if handle.replica.version == rule.version and not self._is_full(handle, now)
        ]
        return min(tried, key=lambda handle: handle.replica.id, default=None)

    def versions(self, service: str) -> set[str]:
        """Return the versions of a service that replicas have announced."""
        return {
            handle.replica.version
            for handle in self._handles.values()
            if handle.replica.service == service
        }

    def follow_versions(self) -> None:
        """Take that other versions may get requests now."""
        self._forget_choices()

    def _find_usable(self, service: str) -> tuple[ReplicaHandle, ...]:
        sound, rule = self._sound(service), self._version_rule(service)
        if rule is None:
            return sound
        usable = tuple(h for h in sound if (h.replica.version == rule.version) == rule.is_used)
        # The version that everybody was moved to may be gone; the one on trial is no stopgap,
        # unless nobody runs another one: an order for the version that is in force.
        is_only = self.versions(service) == {rule.version}
        return usable or (sound if rule.is_used or is_only else ())

    def _sound(self, service: str) -> tuple[ReplicaHandle, ...]:
        return tuple(
            handle
            for handle in self._handles.values()
            if handle.replica.service == service
            and not handle.replica.draining
            and not handle.is_misplaced
            and handle.replica.data_centre not in self._out
        )

    def missing(self, services: tuple[str, ...]) -> Mapping[str, float]:
        """Return by data centre the share of services without a usable replica there.

        A data centre that is not named lacks all of them.
        """
        found = self._missing.get(services)
        if found is None:
            held = Counter(
                data_centre
                for service in services
                for data_centre in {h.replica.data_centre for h in self.usable(service)}
            )
            found = {name: 1.0 - count / len(services) for name, count in held.items()}
            self._missing[services] = found
        return found

    def far_positions(self, services: tuple[str, ...]) -> tuple[int, ...]:
        """Return the positions of the services without a usable replica in this data centre."""
        found = self._far.get(services)
        if found is None:
            found = tuple(n for n, name in enumerate(services) if not self.has_at_home(name))
            self._far[services] = found
        return found

    def holds(self, data_centre: str, service: str) -> bool:
        """Return whether a service has a usable replica in a data centre."""
        return any(h.replica.data_centre == data_centre for h in self.usable(service))

    def has_at_home(self, service: str) -> bool:
        """Tell whether a service has a usable replica in this VM's data centre."""
        return self.holds(self._data_centre, service)

    def pick(
        self, service: str, *, tried: frozenset[str], hedge: bool, once: bool = False
    ) -> ReplicaHandle | None:
        """Return the replica of least cost that was not tried, or None.

        With `once` the request may not be repeated, and avoids replicas that lost answers.

        A hedge only goes to a replica that answers just now and has a free slot: elsewhere it would
        wait beside the first attempt, and make all that wait there later. A replica in a dark data
        centre counts as stalled, though it was not asked itself; while this VM is cut off it is not
        asked at all.
        """
        now, best, best_cost = self._now(), None, float("inf")
        cut_off = self._reach.is_cut_off(now)
        for handle in self.usable(service):
            if handle.replica.id in tried or self._is_full(handle, now):
                continue
            if hedge and self._policy.hedge_idle_only and not handle.health.has_free_slot(now):
                continue
            cost = handle.health.cost(now, u=self._u())
            if handle.replica.data_centre != self._data_centre:
                if cut_off:
                    continue
                if self._reach.is_dark(now, handle.replica.data_centre):
                    cost += STALLED
            if once and self.losses.is_lossy(now, handle.replica.id):
                cost += LOSSY_COST
            if cost < best_cost:
                best, best_cost = handle, cost
        if hedge and best_cost >= STALLED:
            return None
        return best

    def set_misplaced(self, handle: ReplicaHandle) -> None:
        """Send nothing to a replica whose address belongs to another one now."""
        handle.is_misplaced = True
        self._forget_choices()

    async def close(self) -> None:
        """Close all connections."""
        await self._retired.close()
        await asyncio.gather(*(handle.pool.close() for handle in self._handles.values()))

    def _forget_choices(self) -> None:
        self._usable.clear()
        self._missing.clear()
        self._far.clear()

    def _open(self, replica: Replica) -> ReplicaHandle:
        health = ReplicaHealth(
            slots=replica.slots,
            is_local=replica.data_centre == self._data_centre,
            policy=self._policy,
        )
        pool = ReplicaPool(
            replica.host,
            replica.port,
            limit=self._limit(replica),
            options=self._pool_options,
            on_opened=lambda: self._note_opened(replica),
        )
        return ReplicaHandle(replica, health, pool)

    def _note_opened(self, replica: Replica) -> None:
        self._reach.heard(self._now(), replica.data_centre)
        self._on_opened()

    def _limit(self, replica: Replica) -> int:
        most = self._table.rules(replica.service).max_connections if self._table else 8
        return max(1, int(most * CONNECTION_SHARE / self._vms()))

    def _is_full(self, handle: ReplicaHandle, now: float) -> bool:
        """Tell whether a cold replica has had this VM's part of what it bears."""
        if now >= handle.health.cold_until or self._table is None:
            return False
        rate = self._table.rules(handle.replica.service).cold_rate
        if rate is None:
            return False
        allowed = COLD_SHARE * (rate * self._cold.overshoot + self._cold.slack) / self._vms()
        return handle.cold_sends(now) + 1 > max(1.0, allowed)


def _same_process(one: Replica, other: Replica) -> bool:
    return (one.service, one.host, one.port, one.born) == (
        other.service,
        other.host,
        other.port,
        other.born,
    )
