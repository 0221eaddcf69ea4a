"""Small control messages over UDP, such as membership probes.

Terms:
  MAC   keyed BLAKE2b digest of the message, 16 bytes, prepended to it

Flow: `open_datagrams` binds a port; `send` prepends the MAC and passes the datagram to the kernel;
a received datagram is delivered only if its MAC is valid. The MAC rejects senders without the key
and damaged datagrams. It doesn't prevent replay, and UDP loses, duplicates and reorders datagrams,
so a message names its recipient and carries a sequence number where order matters.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
from collections.abc import Callable
from typing import Final, cast

import attrs

from berylspindle_wire.peer_auth import require_key

MAX_PAYLOAD_BYTES: Final = 1400
"""With MAC and headers, a message of this size fits one Ethernet frame; the loss of one IP fragment
would lose the whole message."""

_MAC_BYTES: Final = 16

Address = tuple[str, int]
OnMessage = Callable[[bytes, Address], None]


@attrs.define
class DatagramCounters:
    """Cumulative counts of one port. `refused` counts datagrams with an invalid MAC or length."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    refused: int = 0
    refused_bytes: int = 0
    errors: int = 0


class DatagramPort(asyncio.DatagramProtocol):
    """A bound UDP port, created by `open_datagrams`."""

    def __init__(self, key: bytes | None, on_message: OnMessage) -> None:
        self.counters: Final = DatagramCounters()
        self._keyed_hash: Final = hashlib.blake2b(key=key or b"", digest_size=_MAC_BYTES)
        self._on_message: Final = on_message
        self._transport = cast(asyncio.DatagramTransport, None)

    @property
    def port(self) -> int:
        """Return the bound port number."""
        port: int = self._transport.get_extra_info("sockname")[1]
        return port

    def send(self, data: bytes, address: Address) -> None:
        """Send one message without delivery guarantee; raise ValueError if it is too long."""
        if len(data) > MAX_PAYLOAD_BYTES:
            raise ValueError(
                f"message too long: {len(data)} bytes, at most {MAX_PAYLOAD_BYTES} allowed"
            )
        if self._transport.is_closing():
            return
        self._transport.sendto(self._mac(data) + data, address)
        self.counters.sent += 1
        self.counters.sent_bytes += len(data) + _MAC_BYTES

    def close(self) -> None:
        """Close the port."""
        self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Deliver a message if its MAC is valid."""
        message = data[_MAC_BYTES:]
        is_valid = hmac.compare_digest(data[:_MAC_BYTES], self._mac(message))
        if not is_valid or len(message) > MAX_PAYLOAD_BYTES:
            self.counters.refused += 1
            self.counters.refused_bytes += len(data)
            return
        self.counters.received += 1
        self.counters.received_bytes += len(data)
        self._on_message(message, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Count an error of an earlier send, such as a port without a listener."""
        self.counters.errors += 1

    def _mac(self, data: bytes) -> bytes:
        mac = self._keyed_hash.copy()
        mac.update(data)
        return mac.digest()


async def open_datagrams(
    host: str, port: int, *, key: bytes | None, on_message: OnMessage
) -> DatagramPort:
    """Bind a UDP port and deliver each authentic message to `on_message`.

    Raise KeyRequiredError if there is no key and `host` is not a loopback address, since the MAC
    then only detects damage; ValueError if the key is longer than 64 bytes; OSError if the address
    can't be bound.
    """
    require_key(host, key)
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: DatagramPort(key, on_message), local_addr=(host, port)
    )
    return protocol
