"""Check whether other VMs respond, and exchange reports of lost responses with them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from berylspindle_forwarding.mirror import MirrorStore
from berylspindle_store.store import StoreUnavailable
from berylspindle_wire.addresses import invalid_address_as_os_error


async def is_responding(host: str, port: int, *, timeout: float) -> bool:
    """Return whether the VM whose mirror has this address responds within `timeout` seconds."""
    mirror = MirrorStore(host, port)
    try:
        return await _responds(mirror, timeout)
    finally:
        await mirror.close()


async def accepts_connections(host: str, port: int, *, timeout: float) -> bool:
    """Return whether an address accepts a new connection within `timeout` seconds."""
    try:
        async with asyncio.timeout(timeout):
            with invalid_address_as_os_error(host, port):
                _, writer = await asyncio.open_connection(host, port)
    except OSError:
        # A refused or timed out connection is a result of the probe, not an error.
        return False
    writer.close()
    return True


class Prober:
    """Probe a few VMs over connections that stay open while they respond.

    `extra_query` returns the query parameters that describe this VM; `on_losses` receives the
    reports of lost responses.
    """

    def __init__(
        self,
        extra_query: Callable[[], dict[str, str]],
        on_losses: Callable[[dict[str, int]], None],
    ) -> None:
        self._introduction: Final = extra_query
        self._on_losses: Final = on_losses
        self._mirrors: Final[dict[tuple[str, int], MirrorStore]] = {}

    async def is_responding(self, host: str, port: int, *, timeout: float) -> bool:
        """Return whether the VM whose mirror has this address responds within `timeout` seconds."""
        mirror = self._mirrors.get((host, port))
        if mirror is None:
            mirror = MirrorStore(
                host, port, extra_query=self._introduction, on_losses=self._on_losses
            )
            self._mirrors[host, port] = mirror
        if await _responds(mirror, timeout):
            return True
        await self._disconnect((host, port))
        return False

    def has_connection(self, host: str, port: int) -> bool:
        """Return whether a connection to a VM is open."""
        return (host, port) in self._mirrors

    async def close(self) -> None:
        """Close all connections."""
        for address in tuple(self._mirrors):
            await self._disconnect(address)

    async def _disconnect(self, address: tuple[str, int]) -> None:
        mirror = self._mirrors.pop(address, None)
        if mirror is not None:
            await mirror.close()


async def _responds(mirror: MirrorStore, timeout: float) -> bool:
    try:
        await mirror.probe(timeout)
    except StoreUnavailable:
        # A missing response is a result of the probe, not an error.
        return False
    return True
