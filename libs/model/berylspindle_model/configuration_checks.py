"""Check a configuration for inconsistent or invalid content.

Terms:
  fault   a problem in a configuration: the path to it and a description for operators

Flow: `find_faults` runs all checks over the whole document and returns everything that they found,
so that an operator can correct a document in one round.
"""

from __future__ import annotations

import ipaddress
import math
import re
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from berylspindle_model.configuration import Configuration, Policy, Server

MAX_DEADLINE_MS: Final = 600_000
MAX_PORT: Final = 65_535
# Names are used in paths of the admin interface, keys of the store and log lines.
_NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")


@attrs.frozen
class Fault:
    """One fault: its path in the document, and a description."""

    path: str
    text: str


def find_faults(configuration: Configuration) -> tuple[Fault, ...]:
    """Return all faults of the content; empty if the configuration is valid."""
    return (
        *_check_header(configuration),
        *_check_names("data_centres", [dc.name for dc in configuration.data_centres]),
        *_check_names("services", [service.name for service in configuration.services]),
        *_check_names("servers", [server.id for server in configuration.servers]),
        *_check_names("intents", [intent.id for intent in configuration.intents]),
        *_check_services(configuration),
        *_check_servers(configuration),
        *_check_replicas(configuration),
    )


def _check_header(configuration: Configuration) -> Iterator[Fault]:
    if configuration.revision < 1:
        yield Fault("$.revision", "must be at least 1")
    if not _NAME_PATTERN.fullmatch(configuration.deployment):
        yield Fault(
            "$.deployment",
            "must be up to 128 letters, digits and . _ : -, starting with a letter or digit",
        )


def _check_names(kind: str, names: list[str]) -> Iterator[Fault]:
    counts = Counter(names)
    for index, name in enumerate(names):
        path = f"$.{kind}[{index}]"
        if not _NAME_PATTERN.fullmatch(name):
            yield Fault(
                path,
                f"{name!r:.80} is not up to 128 letters, digits and . _ : -, "
                "starting with a letter or digit",
            )
        if counts[name] > 1 and names.index(name) != index:
            yield Fault(path, f"{name} is defined more than once")


def _check_services(configuration: Configuration) -> Iterator[Fault]:
    for index, service in enumerate(configuration.services):
        path = f"$.services[{index}]"
        if service.epoch < 0:
            yield Fault(f"{path}.epoch", "must not be negative")
        if not service.shards:
            yield Fault(f"{path}.shards", f"service {service.name} has no shards")
        yield from _check_names(f"services[{index}].shards", list(service.shards))
        yield from _check_policy(f"{path}.policy", service.policy)


def _check_policy(path: str, policy: Policy) -> Iterator[Fault]:
    for name in ("min_coverage", "hedge_share", "retry_share"):
        share = getattr(policy, name)
        if math.isnan(share) or not 0 <= share <= 1:
            yield Fault(f"{path}.{name}", f"must be between 0 and 1, not {share}")
    if not 1 <= policy.deadline_ms <= MAX_DEADLINE_MS:
        yield Fault(f"{path}.deadline_ms", f"must be between 1 and {MAX_DEADLINE_MS}")
    if not 0 <= policy.patience_ms <= policy.deadline_ms:
        yield Fault(f"{path}.patience_ms", "must be between 0 and deadline_ms")


def _check_servers(configuration: Configuration) -> Iterator[Fault]:
    data_centres = {dc.name for dc in configuration.data_centres}
    shards = {service.name: frozenset(service.shards) for service in configuration.services}
    id_by_address: dict[tuple[str, int], str] = {}
    for index, server in enumerate(configuration.servers):
        path = f"$.servers[{index}]"
        if server.data_centre not in data_centres:
            yield Fault(f"{path}.data_centre", f"unknown data centre {server.data_centre!r}")
        if server.service not in shards:
            yield Fault(f"{path}.service", f"unknown service {server.service!r}")
        elif server.shard not in shards[server.service]:
            yield Fault(f"{path}.shard", f"service {server.service} has no shard {server.shard!r}")
        yield from _check_limits(path, server)
        existing_id = id_by_address.setdefault((server.host, server.port), server.id)
        if existing_id != server.id:
            yield Fault(
                f"{path}.port", f"{server.host}:{server.port} is already used by {existing_id}"
            )


def _check_limits(path: str, server: Server) -> Iterator[Fault]:
    try:
        ipaddress.ip_address(server.host)
    except ValueError:
        yield Fault(f"{path}.host", f"{server.host!r:.80} is not an IP address")
    if not 1 <= server.port <= MAX_PORT:
        yield Fault(f"{path}.port", f"must be between 1 and {MAX_PORT}")
    if server.slots < 1:
        yield Fault(f"{path}.slots", "must be at least 1")
    if not 1 <= server.cold_slots <= max(1, server.slots):
        yield Fault(f"{path}.cold_slots", "must be between 1 and slots")
    if server.connections < 1:
        yield Fault(f"{path}.connections", "must be at least 1")


def _check_replicas(configuration: Configuration) -> Iterable[Fault]:
    shards_with_replica = {(server.service, server.shard) for server in configuration.servers}
    for index, service in enumerate(configuration.services):
        for position, shard in enumerate(service.shards):
            if (service.name, shard) not in shards_with_replica:
                path = f"$.services[{index}].shards[{position}]"
                yield Fault(path, f"shard {shard!r} of service {service.name} has no replica")
