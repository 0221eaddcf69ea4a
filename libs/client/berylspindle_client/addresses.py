"""Addresses of daemons in settings."""

from __future__ import annotations

import ipaddress

import attrs


@attrs.frozen(kw_only=True)
class Address:
    """Address of the callers' or the operators' interface of a daemon."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse `host:port,[host]:port,...`; raise ValueError naming the malformed address."""
    return tuple(_parse_address(part.strip()) for part in text.split(",") if part.strip())


def _parse_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return Address(host=str(ipaddress.ip_address(host.strip("[]"))), port=int(port))
