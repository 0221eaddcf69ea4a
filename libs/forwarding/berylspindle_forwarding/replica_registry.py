"""Registry of the replicas by service; selects the replica of each attempt.

Terms:
  handle      one replica: its announcement, its health and its connections
  usable      announced, not draining, of a version that receives requests, and not in an excluded
              data centre
  misplaced   a replica whose address answered as another replica; unusable until it announces
              itself again
  cold        a replica with a limited request rate, which all VMs share

Flow: `put`, `remove` and `set_excluded_data_centres` apply the announcements; `pick` selects a
replica for each attempt. The health of a replica is kept as long as its address and its start time
stay the same.

Guards: a request may wait for a connection longer than a replica that is draining may get requests.
So requests that wait for a replica that ceases to be usable end as NOT_SENT and go to another one.
The same holds for a replica whose version ceases to be used, except while that version is on trial:
requests on trial wait for a replica that is not usable for others.
A cold replica fails under full load, also if eight VMs send only a few requests each. So each VM
sends in any second at most its part of `COLD_SHARE` of the replica's rate, or one request if that
part is less; the rest of the rate is left for VMs that do not know of each other yet.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.loss_reports import LossReports
from berylspindle_decisions.reachability import Reachability
from berylspindle_decisions.replica_health import STALLED_COST, MeanPace, ReplicaHealth
from berylspindle_forwarding.replica_pool import PoolOptions, ReplicaPool, RetiredPools
from berylspindle_forwarding.rollouts import VersionRule
from berylspindle_model.routing import Replica, RoutingTable
from berylspindle_wire.reply_body import ReplyMemory

CONNECTION_SHARE: Final = 0.9
"""Fraction of a replica's connections that all VMs together use. The rest is left for VMs that have
just started and for closed connections that the replica still counts as open."""

COLD_SHARE: Final = 0.75
"""Fraction of a cold replica's rate that all VMs together use. The rest is left for VMs that do not
know of each other yet."""


LOSSY_COST: Final = 10.0
"""Cost added to a replica that lost responses for a request that must not be repeated, in multiples
of the usual latency: lower than the cost of a replica that does not respond, higher than that of
any queue that is worth waiting in."""


@attrs.frozen(kw_only=True)
class ColdBounds:
    """Cluster-wide rate limit for a cold replica, in requests per second.

    The limit is the stated rate times `overshoot`, plus `slack`.
    """

    overshoot: float = 1.0
    slack: float = 0.0


class ReplicaHandle:
    """One replica with its health and connections."""

    def __init__(self, replica: Replica, health: ReplicaHealth, pool: ReplicaPool) -> None:
        self.replica = replica
        self.health: Final = health
        self.pool: Final = pool
        self.is_misplaced = False
        self.failures = 0
        self._cold_requests: deque[float] = deque()

    def record_cold_request(self, now: float) -> None:
        """Record a request to a cold replica."""
        self._cold_requests.append(now)

    def recent_cold_requests(self, now: float) -> int:
        """Return the number of requests in the last second."""
        while self._cold_requests and self._cold_requests[0] <= now - 1.0:
            self._cold_requests.popleft()
        return len(self._cold_requests)


class ReplicaRegistry:
    """All replicas known to this VM."""

    def __init__(
        self,
        *,
        data_centre: str,
        now: Callable[[], float],
        uniform: Callable[[], float],
        share_divisor: Callable[[], int],
        pool_options: PoolOptions,
        cold: ColdBounds,
        reach: Reachability,
        on_opened: Callable[[], None],
        policy: ForwardPolicy,
        version_rule: Callable[[str], VersionRule | None] = lambda service: None,
        is_on_trial: Callable[[str], bool] = lambda service: False,
    ) -> None:
        """Initialize the registry.

        `version_rule` returns which versions of a service receive requests, `is_on_trial` whether
        its unused version gets a share of them on trial.
        """
        self._version_rule: Final = version_rule
        self._is_on_trial: Final = is_on_trial
        self._policy: Final = policy
        self._mean_pace: Final = MeanPace()
        self._reach: Final = reach
        self._data_centre: Final = data_centre
        self._now: Final = now
        self._uniform: Final = uniform
        self._share_divisor: Final = share_divisor
        self._pool_options: Final = pool_options
        self._cold: Final = cold
        self._on_opened: Final = on_opened
        self._handles: dict[str, ReplicaHandle] = {}
        self._usable: dict[str, tuple[ReplicaHandle, ...]] = {}
        self._missing_shares: dict[tuple[str, ...], Mapping[str, float]] = {}
        self._remote_positions: dict[tuple[str, ...], tuple[int, ...]] = {}
        self._excluded_data_centres: frozenset[str] = frozenset()
        self._table: RoutingTable | None = None
        self._retired: Final = RetiredPools()
        self.losses: Final = LossReports()
        self.reply_memory: Final = ReplyMemory()

    def __len__(self) -> int:
        return len(self._handles)

    @property
    def handles(self) -> Iterable[ReplicaHandle]:
        """Return the handles of all replicas."""
        return self._handles.values()

    def in_data_centre(self, data_centre: str) -> list[ReplicaHandle]:
        """Return the replicas of a data centre, none if it is excluded."""
        if data_centre in self._excluded_data_centres:
            return []
        return [one for one in self._handles.values() if one.replica.data_centre == data_centre]

    @property
    def data_centres(self) -> set[str]:
        """Return the data centres that have a replica."""
        return {handle.replica.data_centre for handle in self._handles.values()}

    def get(self, replica_id: str) -> ReplicaHandle | None:
        """Return the handle of a replica."""
        return self._handles.get(replica_id)

    def put(self, replica: Replica) -> None:
        """Apply an announcement."""
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
        self._invalidate_caches()
        self._return_waiting(handle)
        if self._version_rule(replica.service) is not None:
            # The first replica of the version in force replaces those of other versions.
            self._return_all_waiting(replica.service)

    def remove(self, replica_id: str) -> None:
        """Remove a replica; its pending requests are finished."""
        handle = self._handles.pop(replica_id, None)
        if handle is None:
            return
        self._invalidate_caches()
        handle.pool.fail_waiting("the replica is gone")
        self._retired.retire(handle.pool)

    def set_excluded_data_centres(self, data_centres: frozenset[str]) -> None:
        """Exclude the replicas of these data centres."""
        self._excluded_data_centres = data_centres
        self._invalidate_caches()
        self._return_all_waiting()

    def set_table(self, table: RoutingTable) -> None:
        """Apply the connection and rate limits of a routing table."""
        self._table = table
        for handle in self._handles.values():
            handle.pool.limit = self._limit(handle.replica)

    def usable(self, service: str) -> tuple[ReplicaHandle, ...]:
        """Return the usable replicas of a service."""
        found = self._usable.get(service)
        if found is None:
            found = self._usable[service] = self._select_usable(service)
        return found

    def pick_trial_replica(self, service: str) -> ReplicaHandle | None:
        """Return the replica on which the new version of a service is tried, or None.

        All VMs select the same one, the lowest id, so that the small share of requests on trial
        adds up to the load of a regular replica.
        """
        rule = self._version_rule(service)
        if rule is None or rule.is_used:
            return None
        now = self._now()
        candidates = [
            handle
            for handle in self._eligible(service)
            if handle.replica.version == rule.version
            and not self._is_cold_limit_reached(handle, now)
        ]
        return min(candidates, key=lambda handle: handle.replica.id, default=None)

    def versions(self, service: str) -> set[str]:
        """Return the versions of a service that replicas have announced."""
        return {
            handle.replica.version
            for handle in self._handles.values()
            if handle.replica.service == service
        }

    def on_version_rules_changed(self) -> None:
        """Drop cached selections, and return the requests that wait for a version not in use."""
        self._invalidate_caches()
        self._return_all_waiting()

    def _select_usable(self, service: str) -> tuple[ReplicaHandle, ...]:
        eligible, rule = self._eligible(service), self._version_rule(service)
        if rule is None:
            return eligible
        usable = tuple(h for h in eligible if (h.replica.version == rule.version) == rule.is_used)
        # If no replica runs the version in force, all are used. The version on trial never replaces
        # missing replicas, unless it is the only version: then it is also the one in force.
        is_only = self.versions(service) == {rule.version}
        return usable or (eligible if rule.is_used or is_only else ())

    def _eligible(self, service: str) -> tuple[ReplicaHandle, ...]:
        return tuple(
            handle
            for handle in self._handles.values()
            if handle.replica.service == service and self._is_eligible(handle)
        )

    def _is_eligible(self, handle: ReplicaHandle) -> bool:
        """Return whether a replica may get requests, whatever its version."""
        return not (
            handle.replica.draining
            or handle.is_misplaced
            or handle.replica.data_centre in self._excluded_data_centres
        )

    def _may_get_waiting(self, handle: ReplicaHandle) -> bool:
        """Return whether requests that wait for a replica may still be sent to it."""
        service = handle.replica.service
        rule = self._version_rule(service)
        if rule is None or not self._is_eligible(handle):
            return self._is_eligible(handle)
        is_new = handle.replica.version == rule.version
        return (is_new and self._is_on_trial(service)) or handle in self.usable(service)

    def _return_waiting(self, handle: ReplicaHandle) -> None:
        if not self._may_get_waiting(handle):
            handle.pool.fail_waiting("the replica is no longer usable")

    def _return_all_waiting(self, service: str | None = None) -> None:
        """Return the waiting requests of replicas that may not get them, of all services or one."""
        for handle in tuple(self._handles.values()):
            if service is None or handle.replica.service == service:
                self._return_waiting(handle)

    def missing_shares(self, services: tuple[str, ...]) -> Mapping[str, float]:
        """Return by data centre the share of services without a usable replica there.

        A data centre that is absent from the result has none of them.
        """
        found = self._missing_shares.get(services)
        if found is None:
            counts = Counter(
                data_centre
                for service in services
                for data_centre in {h.replica.data_centre for h in self.usable(service)}
            )
            found = {name: 1.0 - count / len(services) for name, count in counts.items()}
            self._missing_shares[services] = found
        return found

    def remote_positions(self, services: tuple[str, ...]) -> tuple[int, ...]:
        """Return the positions of the services without a usable replica in this data centre."""
        found = self._remote_positions.get(services)
        if found is None:
            found = tuple(n for n, name in enumerate(services) if not self.has_local_replica(name))
            self._remote_positions[services] = found
        return found

    def has_replica(self, data_centre: str, service: str) -> bool:
        """Return whether a service has a usable replica in a data centre."""
        return any(h.replica.data_centre == data_centre for h in self.usable(service))

    def has_local_replica(self, service: str) -> bool:
        """Return whether a service has a usable replica in this VM's data centre."""
        return self.has_replica(self._data_centre, service)

    def pick(
        self, service: str, *, tried: frozenset[str], is_hedge: bool, non_repeatable: bool = False
    ) -> ReplicaHandle | None:
        """Return the untried replica of least cost, or None.

        With `non_repeatable` the request must not be repeated, and replicas that lost responses
        cost more.

        A hedge goes only to a replica that currently responds and has a free slot: on any other it
        would queue like the first attempt and delay the requests behind it. A replica in an
        unreachable data centre counts as stalled even if it was not tried itself, and is skipped
        while this VM is cut off.
        """
        now, best, best_cost = self._now(), None, float("inf")
        cut_off = self._reach.is_isolated(now)
        for handle in self.usable(service):
            if handle.replica.id in tried or self._is_cold_limit_reached(handle, now):
                continue
            if is_hedge and self._policy.hedge_idle_only and not handle.health.has_free_slot(now):
                continue
            cost = handle.health.cost(now, uniform=self._uniform())
            if handle.replica.data_centre != self._data_centre:
                if cut_off:
                    continue
                if self._reach.is_unreachable(now, handle.replica.data_centre):
                    cost += STALLED_COST
            if non_repeatable and self.losses.is_lossy(now, handle.replica.process_id):
                cost += LOSSY_COST
            if cost < best_cost:
                best, best_cost = handle, cost
        if is_hedge and best_cost >= STALLED_COST:
            return None
        return best

    def mark_misplaced(self, handle: ReplicaHandle) -> None:
        """Exclude a replica whose address now belongs to another one."""
        handle.is_misplaced = True
        self._invalidate_caches()
        self._return_waiting(handle)

    async def close(self) -> None:
        """Close all connections."""
        await self._retired.close()
        await asyncio.gather(*(handle.pool.close() for handle in self._handles.values()))

    def _invalidate_caches(self) -> None:
        self._usable.clear()
        self._missing_shares.clear()
        self._remote_positions.clear()

    def _open(self, replica: Replica) -> ReplicaHandle:
        health = ReplicaHealth(
            slots=replica.slots,
            is_local=replica.data_centre == self._data_centre,
            policy=self._policy,
            mean_pace=self._mean_pace,
        )
        pool = ReplicaPool(
            replica.host,
            replica.port,
            limit=self._limit(replica),
            options=self._pool_options,
            memory=self.reply_memory,
            on_opened=lambda: self._on_connection_opened(replica),
        )
        return ReplicaHandle(replica, health, pool)

    def _on_connection_opened(self, replica: Replica) -> None:
        self._reach.on_contact(self._now(), replica.data_centre)
        self._on_opened()

    def _limit(self, replica: Replica) -> int:
        max_connections = self._table.rules(replica.service).max_connections if self._table else 8
        return max(1, int(max_connections * CONNECTION_SHARE / self._share_divisor()))

    def _is_cold_limit_reached(self, handle: ReplicaHandle, now: float) -> bool:
        """Return whether a cold replica has received this VM's share of its rate limit."""
        if now >= handle.health.cold_until or self._table is None:
            return False
        rate = self._table.rules(handle.replica.service).cold_rate
        if rate is None:
            return False
        allowed = (
            COLD_SHARE * (rate * self._cold.overshoot + self._cold.slack) / self._share_divisor()
        )
        return handle.recent_cold_requests(now) + 1 > max(1.0, allowed)


def _same_process(one: Replica, other: Replica) -> bool:
    return (one.service, one.host, one.port, one.born) == (
        other.service,
        other.host,
        other.port,
        other.born,
    )
