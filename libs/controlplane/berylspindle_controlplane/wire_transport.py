"""Transport of the control plane's messages over the peer links and the datagram port.

Flow: datagrams are sent by a callable from the owner of the port, calls by `PeerLinks`. Every
refusal of a call becomes a `TransportError`, since the control plane retries in any case.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from berylspindle_controlplane.transport import Address, Transport, TransportError
from berylspindle_model.errors import RefusalError
from berylspindle_model.topology import Vm
from berylspindle_wire.peer_link import PeerLinks

SendDatagram = Callable[[bytes, Address], None]


class WireTransport(Transport):
    """`Transport` of a daemon."""

    def __init__(self, links: PeerLinks, send: SendDatagram) -> None:
        self._links: Final = links
        self._send: Final = send

    def send(self, to: Address, data: bytes) -> None:
        """Send a datagram, which can be lost. Raises no errors."""
        self._send(data, to)

    async def call(self, vm: Vm, method: str, payload: bytes, *, timeout: float) -> bytes:
        """Return a VM's response to a call; `timeout` is in seconds. Raises TransportError."""
        try:
            return await self._links.call(vm, method, payload, timeout=timeout)
        except RefusalError as error:
            raise TransportError(str(error)) from error
