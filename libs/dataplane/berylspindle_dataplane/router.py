"""Routing of attempts from shards to backend servers and to the VMs that own them.

Terms:
  target      a backend server that accepts new work, with the VM that owns it
  dispatcher  transport of a batch to one owner: on this VM, or over a link to a peer

Flow: the control plane publishes a `ClusterState`, from which the targets of each shard are derived
on demand. An entry reads `targets` and passes batches to `submit`; `on_reply` is called once per
attempt.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final, Protocol

import attrs

from berylspindle_dataplane.owner_table import OwnerTable
from berylspindle_model.configuration import Configuration, Server, ServerState, Service
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import AttemptBatch, AttemptReply
from berylspindle_model.topology import ClusterState, Vm

OnReply = Callable[[AttemptReply], None]


@attrs.frozen
class Target:
    """A backend server that accepts new work, and its owner."""

    server: Server
    owner: Vm


class Dispatcher(Protocol):
    """Send batches to owners on other VMs; `on_reply` is called once per attempt."""

    def submit(self, vm: Vm, batch: AttemptBatch, on_reply: OnReply) -> None:
        """Send a batch without blocking."""

    def cancel(self, vm: Vm, attempts: Sequence[str]) -> None:
        """Cancel attempts at their owner."""


class LocalDispatcher(Protocol):
    """Dispatch batches to the backend servers that this VM owns."""

    def submit_local(self, batch: AttemptBatch, on_reply: OnReply) -> None:
        """Queue a batch without blocking."""

    def cancel(self, attempts: Sequence[str]) -> None:
        """Cancel attempts, queued or running."""


class Router:
    """Derive the targets of each shard and send batches to their owners."""

    def __init__(
        self, *, me: Vm, owners: OwnerTable, local: LocalDispatcher, links: Dispatcher
    ) -> None:
        self._me: Final = me
        self._owners: Final = owners
        self._own: Final = local
        self._links: Final = links
        self._state = ClusterState()
        self._targets: dict[tuple[str, str], tuple[Target, ...]] = {}
        self._leaving: frozenset[str] = frozenset()
        self._replicas: dict[tuple[str, str], list[Server]] = {}

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force on this VM, or None before the first one."""
        return self._state.configuration

    @property
    def me(self) -> Vm:
        """Return this VM."""
        return self._me

    def adopt(self, state: ClusterState) -> None:
        """Apply a new cluster state; the owner table must have adopted its views before."""
        if state.configuration is not self._state.configuration:
            self._replicas = _by_shard(state.configuration)
        self._state = state
        self._targets = {}

    def mark_leaving(self, servers: frozenset[str]) -> None:
        """Exclude backend servers that are leaving from the targets.

        A server is excluded if the configuration, the VM list or its own report says so; this
        method covers the last two.
        """
        if servers == self._leaving:
            return
        self._leaving = servers
        self._targets = {}

    def service(self, name: str) -> Service | None:
        """Return the service with this name, or None."""
        configuration = self._state.configuration
        return configuration.service(name) if configuration else None

    def targets(self, service: str, shard: str) -> tuple[Target, ...]:
        """Return the backend servers of a shard that accept new work."""
        key = (service, shard)
        found = self._targets.get(key)
        if found is None:
            found = self._targets[key] = self._derive(service, shard)
        return found

    def submit(self, vm: Vm, batch: AttemptBatch, on_reply: OnReply) -> None:
        """Send a batch to its owner; `on_reply` is called once per attempt."""
        if vm.id == self._me.id:
            self._own.submit_local(batch, on_reply)
            return
        self._links.submit(vm, batch, on_reply)

    def cancel(self, vm: Vm, attempts: Sequence[str]) -> None:
        """Cancel attempts at their owner."""
        if vm.id == self._me.id:
            self._own.cancel(attempts)
            return
        self._links.cancel(vm, attempts)

    def _derive(self, service: str, shard: str) -> tuple[Target, ...]:
        configuration = self._state.configuration
        if configuration is None:
            return ()
        found: list[Target] = []
        for server in self._replicas.get((service, shard), ()):
            owner = self._usable_owner(configuration, server)
            if owner is not None:
                found.append(Target(server, owner))
        return tuple(found)

    def _usable_owner(self, configuration: Configuration, server: Server) -> Vm | None:
        if server.state is ServerState.RETIRED or server.id in self._leaving:
            return None
        if not configuration.is_in(server.data_centre):
            return None
        owner = self._owners.owner(server)
        if owner is None or owner.id in self._state.suspects:
            return None
        return owner


def _by_shard(configuration: Configuration | None) -> dict[tuple[str, str], list[Server]]:
    replicas: dict[tuple[str, str], list[Server]] = {}
    for server in configuration.servers if configuration else ():
        replicas.setdefault((server.service, server.shard), []).append(server)
    return replicas


def refusal_reply(
    attempt: str,
    *,
    server: str,
    shard: str,
    kind: ErrorKind,
    run: RunState = RunState.NOT_RUN,
    detail: str = "",
    retry_after_ms: int | None = None,
) -> AttemptReply:
    """Return the reply to an attempt that was refused or failed."""
    return AttemptReply(
        attempt=attempt,
        server=server,
        shard=shard,
        error=kind,
        run=run,
        detail=detail,
        retry_after_ms=retry_after_ms,
    )
