"""The configurations of the two deployments at their stated sizes, and a small one for tests.

Interpretation of the stated sizes: a desk of ten services with three replicas each is one service
with ten shards, since a search of the desk queries all of them. A number of replicas without
services, such as the 13 of freight-book, is one service with one shard and that many replicas,
since its data is not stated to be partitioned.

Flow: each function returns a configuration whose backend servers have consecutive ports of one
host from `base_port`; 0 lets the system choose the ports. The replicas of a shard are placed
round-robin over the data centres.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from berylspindle_model.configuration import (
    Configuration,
    DataCentre,
    Policy,
    Preference,
    Server,
    Service,
)
from berylspindle_standins.backend_faults import BackendOptions

HOST: Final = "127.0.0.1"
ADMIN_PORT_OFFSET: Final = 500


@attrs.frozen(kw_only=True)
class ServiceSize:
    """The size of one service. `connect_ms` is the delay of a new connection."""

    name: str
    shards: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float


KURABITO: Final = (
    ServiceSize(name="buyer-desk", shards=10, replicas=3, slots=3, connections=30, connect_ms=6.0),
    ServiceSize(
        name="brewery-sync", shards=15, replicas=3, slots=3, connections=30, connect_ms=6.0
    ),
    ServiceSize(
        name="freight-book", shards=1, replicas=13, slots=2, connections=110, connect_ms=1.0
    ),
    ServiceSize(name="invoice-run", shards=1, replicas=7, slots=2, connections=110, connect_ms=1.0),
)
PWANI_KAMBA: Final = (
    ServiceSize(
        name="dock-console", shards=10, replicas=3, slots=2, connections=25, connect_ms=6.0
    ),
    ServiceSize(
        name="buyer-portal", shards=15, replicas=3, slots=2, connections=25, connect_ms=6.0
    ),
    ServiceSize(name="sorting-desk", shards=1, replicas=4, slots=6, connections=50, connect_ms=1.0),
    ServiceSize(name="coop-reports", shards=1, replicas=4, slots=6, connections=50, connect_ms=1.0),
)
SMALL: Final = (
    ServiceSize(name="lots", shards=4, replicas=2, slots=3, connections=30, connect_ms=0.0),
)


def kurabito(base_port: int = 0) -> Configuration:
    """Return the configuration of Kurabito Andes Export: 95 servers, latency preferred."""
    return _configuration(
        "kurabito", "sierra-norte", 4, KURABITO, Policy(prefer=Preference.LATENCY), base_port
    )


def pwani_kamba(base_port: int = 0) -> Configuration:
    """Return the configuration of Pwani Kamba Mussel Works: 83 servers, coverage preferred."""
    policy = Policy(prefer=Preference.COVERAGE, deadline_ms=1000)
    return _configuration("pwani-kamba", "tanga-coast", 4, PWANI_KAMBA, policy, base_port)


def small(base_port: int = 0) -> Configuration:
    """Return a configuration for tests: 2 data centres, 1 service, 4 shards with 2 replicas."""
    return _configuration("small", "test", 2, SMALL, Policy(), base_port)


DEPLOYMENTS: Final = {"kurabito": kurabito, "pwani-kamba": pwani_kamba, "small": small}


def options_by_service(base: BackendOptions) -> dict[str, BackendOptions]:
    """Return the options by service name, with the connection delay of the service."""
    sizes = (*KURABITO, *PWANI_KAMBA, *SMALL)
    return {size.name: attrs.evolve(base, connect_ms=size.connect_ms) for size in sizes}


def _configuration(
    deployment: str,
    region: str,
    data_centres: int,
    sizes: Iterable[ServiceSize],
    policy: Policy,
    base_port: int,
) -> Configuration:
    names = [f"{region}-{letter}" for letter in "abcdefgh"[:data_centres]]
    sizes = tuple(sizes)
    return Configuration(
        revision=1,
        deployment=deployment,
        data_centres=tuple(DataCentre(name=name, region=region) for name in names),
        services=tuple(
            Service(name=size.name, epoch=1, shards=_shards(size), policy=policy) for size in sizes
        ),
        servers=tuple(_servers(sizes, names, base_port)),
    )


def _shards(size: ServiceSize) -> tuple[str, ...]:
    return tuple(str(number) for number in range(size.shards))


def _servers(sizes: Iterable[ServiceSize], names: list[str], base_port: int) -> Iterator[Server]:
    count = 0
    for size in sizes:
        for shard in range(size.shards):
            for replica in range(size.replicas):
                yield Server(
                    id=f"{size.name}-{shard}-{replica}",
                    service=size.name,
                    shard=str(shard),
                    # Each shard starts in the next data centre: with 3 replicas in 4 data
                    # centres, a fixed start would leave one data centre empty.
                    data_centre=names[(shard + replica) % len(names)],
                    host=HOST,
                    port=base_port + count if base_port else 0,
                    slots=size.slots,
                    connections=size.connections,
                )
                count += 1
