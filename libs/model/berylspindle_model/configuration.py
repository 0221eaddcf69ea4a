"""Define the configuration: a single document whose revision increases with each change.

Terms:
  service          a search service; a search of it queries all of its shards
  shard            a part of a service's index, held by several replicas
  backend server   a replica of one shard, reached by host and port
  data centre      a site with backend servers and VMs of the system
  policy           a service's trade-off between latency and coverage, and its limits
  intent record    a confirmed operator intent, by its own id

Flow: `configuration_codec.parse_configuration` reads a document and reports all its faults at once;
only a document without faults becomes a `Configuration`. A change makes a new one with the next
revision. A search application of ten services with three replicas each is by default configured as
one service with ten shards. It can also be configured as ten services of one shard each.
"""

from __future__ import annotations

import enum

import attrs


class DataCentreState(enum.StrEnum):
    """Whether a data centre accepts new requests."""

    IN = "in"
    OUT = "out"


class ServerState(enum.StrEnum):
    """Whether operators let a backend server accept new requests."""

    ACTIVE = "active"
    RETIRED = "retired"


class Preference(enum.StrEnum):
    """What a service favours if it cannot have both: latency or coverage."""

    LATENCY = "latency"
    COVERAGE = "coverage"


@attrs.frozen(kw_only=True)
class DataCentre:
    """One data centre."""

    name: str
    region: str
    state: DataCentreState = DataCentreState.IN


@attrs.frozen(kw_only=True)
class Policy:
    """Limits of one service, and its trade-off between latency and coverage.

    Attributes:
        prefer: LATENCY returns a partial result after `patience_ms`; COVERAGE waits for all shards
            until the deadline.
        min_coverage: fraction of the shards, 0 to 1, that a partial result needs.
        patience_ms: time for which a LATENCY service waits for stragglers.
        deadline_ms: default deadline of requests without one.
        hedge_share: budget for hedged sub-requests, as a fraction of the first attempts.
        retry_share: budget for retried sub-requests, as a fraction of the first attempts.
    """

    prefer: Preference = Preference.LATENCY
    min_coverage: float = 0.5
    patience_ms: int = 80
    deadline_ms: int = 500
    hedge_share: float = 0.05
    retry_share: float = 0.1


@attrs.frozen(kw_only=True)
class Service:
    """One search service and the shards that a search of it queries.

    `epoch` is incremented by each repartitioning; `shards` are those of that epoch.
    """

    name: str
    epoch: int
    shards: tuple[str, ...]
    policy: Policy = attrs.field(factory=Policy)


@attrs.frozen(kw_only=True)
class Server:
    """One backend server: a replica of one shard.

    Attributes:
        slots: maximum concurrent requests when warm.
        cold_slots: maximum concurrent requests when cold.
        connections: maximum connections from all callers together.
    """

    id: str
    service: str
    shard: str
    data_centre: str
    host: str
    port: int
    slots: int
    connections: int
    cold_slots: int = 1
    state: ServerState = ServerState.ACTIVE


@attrs.frozen(kw_only=True)
class IntentRecord:
    """A confirmed intent; its record makes confirming it again a no-op."""

    id: str
    kind: str
    subject: str
    operator: str
    revision: int


@attrs.frozen(kw_only=True)
class Configuration:
    """Complete configuration at one revision."""

    revision: int
    deployment: str
    data_centres: tuple[DataCentre, ...] = ()
    services: tuple[Service, ...] = ()
    servers: tuple[Server, ...] = ()
    intents: tuple[IntentRecord, ...] = ()

    def service(self, name: str) -> Service | None:
        """Return the service with this name, or None."""
        return next((service for service in self.services if service.name == name), None)

    def server(self, server_id: str) -> Server | None:
        """Return the backend server with this id, or None."""
        return next((server for server in self.servers if server.id == server_id), None)

    def data_centre(self, name: str) -> DataCentre | None:
        """Return the data centre with this name, or None."""
        return next((dc for dc in self.data_centres if dc.name == name), None)

    def is_in(self, data_centre: str) -> bool:
        """Return whether a data centre is known and accepts new requests."""
        found = self.data_centre(data_centre)
        return found is not None and found.state is DataCentreState.IN

    def replicas(self, service: str, shard: str) -> tuple[Server, ...]:
        """Return all backend servers of a shard, including those that are retired or out."""
        return tuple(s for s in self.servers if s.service == service and s.shard == shard)
