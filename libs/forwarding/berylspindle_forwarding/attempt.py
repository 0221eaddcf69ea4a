"""Connect one attempt at a replica to the exchange that carries it."""

from __future__ import annotations

import abc

from berylspindle_decisions.hedged_request import AttemptRecord
from berylspindle_forwarding.replica_registry import ReplicaHandle
from berylspindle_wire.exchange import (
    ConnectionUse,
    ExchangeConnection,
    ExchangeFailure,
    ExchangeReply,
    ExchangeSink,
)


class AttemptOwner(abc.ABC):
    """Receive the outcome of attempts; each ends with exactly one of the two `on_` calls."""

    @abc.abstractmethod
    def connection_use(self, connection: ExchangeConnection) -> ConnectionUse:
        """Return whether an attempt may be sent on a connection."""

    @abc.abstractmethod
    def on_reply(self, attempt: Attempt, reply: ExchangeReply) -> None:
        """Handle a complete reply."""

    @abc.abstractmethod
    def on_end(self, attempt: Attempt, end: ExchangeFailure) -> None:
        """Handle the end of the exchange without a reply."""


class Attempt(ExchangeSink):
    """One attempt at a replica.

    `index` is the position of its service in the request. `expected_slowdown` is the expected
    latency over that of a replica without a queue. `waited_for_connection` is set if no connection
    was free when the attempt was submitted.
    """

    __slots__ = (
        "_owner",
        "connection",
        "expected_slowdown",
        "handle",
        "index",
        "record",
        "waited_for_connection",
    )

    def __init__(
        self, owner: AttemptOwner, index: int, handle: ReplicaHandle, record: AttemptRecord
    ) -> None:
        self._owner = owner
        self.index = index
        self.handle = handle
        self.record = record
        self.expected_slowdown = 1.0
        self.waited_for_connection = False
        self.connection: ExchangeConnection | None = None

    def connection_use(self, connection: ExchangeConnection) -> ConnectionUse:
        """Return whether the owner allows this attempt on a connection."""
        return self._owner.connection_use(connection)

    def on_connection_assigned(self, connection: ExchangeConnection) -> None:
        """Store the connection that carries the request."""
        self.connection = connection

    def on_reply(self, reply: ExchangeReply) -> None:
        """Pass a complete reply to the owner."""
        self._owner.on_reply(self, reply)

    def on_failure(self, end: ExchangeFailure) -> None:
        """Report the end of the exchange without a reply to the owner."""
        self._owner.on_end(self, end)
