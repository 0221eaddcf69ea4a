"""Network interface of the control plane, and the names of the calls that it serves.

Terms:
  datagram   a message that can be lost, delayed or duplicated; it is authenticated by the peer key
  call       a request to one VM with a response, for data that does not fit into a datagram

Flow: the control plane uses a `Transport`. `wire_transport` implements it by the peer links and the
datagram port; tests implement it without a network.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

from berylspindle_model.topology import Vm

Address = tuple[str, int]

PULL_METHOD: Final = "pull"
JOIN_METHOD: Final = "join"


class TransportError(Exception):
    """A call got no response in time; the receiver may have processed it."""


class Transport(ABC):
    """Interface for sending datagrams and making calls to other VMs."""

    @abstractmethod
    def send(self, to: Address, data: bytes) -> None:
        """Send a datagram, which can be lost. Raises no errors."""

    @abstractmethod
    async def call(self, vm: Vm, method: str, payload: bytes, *, timeout: float) -> bytes:
        """Return a VM's response to a call; `timeout` is in seconds. Raises TransportError."""
