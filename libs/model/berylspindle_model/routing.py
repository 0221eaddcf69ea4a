"""Define the routing table of forwarded requests, and the replicas that they are sent to.

Terms:
  route        maps requests, by host and path, to services, with limits
  forwarding   passing a caller's request on unchanged, to one replica or to one of each shard
  repeatable   the request is idempotent and may run more than once
  aim          the latency target; a response within it has its full value to the caller
  shard set    the services that together hold one index; each is one shard of it
  record       a fixed-size piece of a shard's response; the highest records of all shards form the
               merged response
  organisation a customer whose callers identify themselves by API keys

Flow: a table of one version is parsed, validated and replaced as a whole. The data plane looks up a
request's route with `find` and keeps it until the request ends, so that no request uses parts of
two versions.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs

RECORD_BYTES: Final = 16
"""Size of a record in a shard's response; a shorter remainder is not a record."""


@attrs.frozen(kw_only=True)
class WeightedService:
    """A service and its share of a route's requests relative to the other weights."""

    service: str
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class ShardSet:
    """Shards of one index, and how their responses are merged.

    Attributes:
        shards: services, one per shard.
        top: number of the highest records in a merged response.
        least_share: fraction of the shards, 0 to 1, that a response requires.
    """

    shards: tuple[str, ...]
    top: int
    least_share: float

    @property
    def min_shards(self) -> int:
        """Return the number of shards that a response requires, at least one."""
        exact = self.least_share * len(self.shards)
        # 0.55 * 100 is 55.00000000000001 in floating point and must be rounded up to 55, not to 56.
        return max(1, -int(-(exact - 1e-9) // 1))


@attrs.frozen(kw_only=True)
class Route:
    """One route, with either targets or a shard set.

    Attributes:
        host: host of the requests, in lower case and without a port.
        prefix: path prefix that starts and ends with a slash; the longest match is used.
        timeout_ms: maximum time until the response.
        aim_ms: latency target.
        priority: priority under load shedding; 0 is the highest.
        max_replicas: maximum number of replicas, of each shard, that may run one request.
        public: whether requests need no key even if the table lists organisations.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout_ms: int
    aim_ms: int
    priority: int = 0
    max_replicas: int = 1
    targets: tuple[WeightedService, ...] = ()
    shard_set: ShardSet | None = None
    public: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """Return the names of all services of the route."""
        if self.shard_set is not None:
            return self.shard_set.shards
        return tuple(target.service for target in self.targets)


@attrs.frozen(kw_only=True)
class ServiceRules:
    """Properties of the replicas of one service.

    Attributes:
        max_connections: maximum connections to one replica from all callers together.
        cold_s: time for which a replica is cold after its start, in seconds.
        cold_rate: maximum request rate of a cold replica from all callers together, in requests
            per second; None if not specified.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 25
    cold_s: float = 0.0
    cold_rate: float | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Size limits of a caller's requests in bytes, and timeouts in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 256 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@attrs.frozen(kw_only=True)
class Replica:
    """Announcement of one replica.

    Attributes:
        id: its name, which is sent with each request to it.
        born: start time in milliseconds of its own clock, or None if not announced; it differs
            after a restart under the same id.
        cold_ms: time for which it stays cold, from the announcement on.
        version: its software version; empty if not announced.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int = 1
    draining: bool = False
    cold_ms: float = 0.0
    born: int | None = None
    version: str = ""

    @property
    def process_id(self) -> str:
        """Return a name of this process of the replica; after a restart it is another one."""
        return f"{self.id}@{self.born or 0}"


@attrs.frozen(kw_only=True)
class Organisation:
    """An organisation, its API keys and its request quota over all VMs together.

    Attributes:
        keys: API keys of its callers; omitted from representations, as they are secret.
        priority: replaces the priority of a route, or None.
        rate: quota in requests per second; 0 means no limit.
        burst: requests beyond the rate that may arrive at once.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(default=(), repr=False)
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0


class RoutingTable:
    """All routes and organisations of one version; immutable."""

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: Mapping[str, ServiceRules],
        limits: CallerLimits,
        organisations: tuple[Organisation, ...] = (),
    ) -> None:
        self.version: Final = version
        self.routes: Final = routes
        self.services: Final = dict(services)
        self.limits: Final = limits
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        for host_routes in by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._by_host: Final = by_host
        self.organisations: Final[Mapping[str, Organisation]] = {
            organisation.name: organisation for organisation in organisations
        }
        owners, conflicts = _assign_keys(organisations)
        self._by_key: Final = owners
        self.key_conflicts: Final = conflicts
        """Names of the organisations that hold a key together, one tuple for each such group."""

    @property
    def requires_key(self) -> bool:
        """Return whether requests need the key of an organisation unless their route is public."""
        return bool(self.organisations)

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that a key belongs to, or None."""
        return self._by_key.get(key)

    def find(self, host: str, path: str) -> Route | None:
        """Return the longest-prefix match for a lower-case host and a raw path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def rules(self, service: str) -> ServiceRules:
        """Return the rules of a service, or the defaults if the table has none."""
        return self.services.get(service) or ServiceRules(name=service)


def _assign_keys(
    organisations: tuple[Organisation, ...],
) -> tuple[Mapping[str, Organisation], tuple[tuple[str, ...], ...]]:
    """Return the owner of each key, and the names of organisations that hold a key together.

    A key of several organisations belongs to none, since a request with it can't be attributed.
    """
    owners: dict[str, Organisation] = {}
    shared: dict[str, list[str]] = {}
    for organisation in organisations:
        for key in organisation.keys:
            owner = owners.setdefault(key, organisation)
            if owner.name != organisation.name:
                names = shared.setdefault(key, [owner.name])
                if organisation.name not in names:
                    names.append(organisation.name)
    for key in shared:
        del owners[key]
    return owners, tuple(sorted({tuple(names) for names in shared.values()}))
