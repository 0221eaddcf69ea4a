"""The deployments have the sizes stated by their users."""

from __future__ import annotations

from collections import Counter

import pytest

from berylspindle_model.configuration import Configuration, Preference
from berylspindle_standins.deployments import kurabito, pwani_kamba, small


@pytest.mark.parametrize(
    ("configuration", "servers", "data_centres"),
    [(kurabito(17000), 95, 4), (pwani_kamba(17000), 83, 4), (small(17000), 8, 2)],
)
def test_sizes_ports_and_placement(
    configuration: Configuration, servers: int, data_centres: int
) -> None:
    assert len(configuration.servers) == servers
    assert [server.port for server in configuration.servers] == [*range(17000, 17000 + servers)]
    assert len(configuration.data_centres) == data_centres
    for service in configuration.services:
        for shard in service.shards:
            replicas = configuration.replicas(service.name, shard)
            placement = Counter(server.data_centre for server in replicas)
            # After the loss of one data centre every shard still has a replica, and no data centre
            # holds more than its share of the replicas of a shard.
            assert len(placement) == min(len(replicas), data_centres)
            assert max(placement.values()) <= -(-len(replicas) // data_centres)


def test_service_policies_match_the_users_preferences() -> None:
    assert {service.policy.prefer for service in kurabito().services} == {Preference.LATENCY}
    assert {service.policy.prefer for service in pwani_kamba().services} == {Preference.COVERAGE}
