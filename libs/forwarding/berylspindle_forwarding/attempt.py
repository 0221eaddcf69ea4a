"""One attempt of a request at one replica."""

from __future__ import annotations

import abc

from berylspindle_decisions.hedged_request import AttemptRecord
from berylspindle_forwarding.replica_registry import ReplicaHandle
from berylspindle_wire.exchange import ExchangeConnection, ExchangeEnd, ExchangeReply, ExchangeSink


class AttemptOwner(abc.ABC):
    """Whoever is told how an attempt ends."""

    @abc.abstractmethod
    def on_reply(self, attempt: Attempt, reply: ExchangeReply) -> None:
        """Handle a whole reply."""

    @abc.abstractmethod
    def on_end(self, attempt: Attempt, end: ExchangeEnd) -> None:
        """Handle the end of the exchange without a reply."""


class Attempt(ExchangeSink):
    """An attempt of the service at position `index` of its request.

    `explained` is how many times as long as at a free replica it should take, and `waited` whether
    it waited for a connection.
    """

    __slots__ = ("_owner", "connection", "explained", "handle", "index", "record", "waited")

    def __init__(
        self, owner: AttemptOwner, index: int, handle: ReplicaHandle, record: AttemptRecord
    ) -> None:
        self._owner = owner
        self.index = index
        self.handle = handle
        self.record = record
        self.explained = 1.0
        self.waited = False
        self.connection: ExchangeConnection | None = None

    def on_carried(self, connection: ExchangeConnection) -> None:
        """Take the connection that carries the request."""
        self.connection = connection

    def on_reply(self, reply: ExchangeReply) -> None:
        """Pass a whole reply to the owner."""
        self._owner.on_reply(self, reply)

    def on_end(self, end: ExchangeEnd) -> None:
        """Pass the end without a reply to the owner."""
        self._owner.on_end(self, end)
