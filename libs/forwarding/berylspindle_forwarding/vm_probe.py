"""Ask other VMs whether they answer at all."""

from __future__ import annotations

from typing import Final

from berylspindle_forwarding.mirror import WATCH_PATH
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http_client import HttpFailure


async def answers(host: str, port: int, *, timeout: float) -> bool:
    """Return whether the VM whose mirror is read there answers within `timeout` seconds."""
    async with HttpClient(host, port, limit=1, connect_timeout=timeout) as client:
        return await _ask(client, timeout)


class Prober:
    """Probes of a few VMs over connections that stay open while they answer."""

    def __init__(self) -> None:
        self._clients: Final[dict[tuple[str, int], HttpClient]] = {}

    async def answers(self, host: str, port: int, *, timeout: float) -> bool:
        """Return whether the VM whose mirror is read there answers within `timeout` seconds."""
        client = self._clients.get((host, port))
        if client is None:
            client = HttpClient(host, port, limit=1, connect_timeout=timeout)
            self._clients[host, port] = client
        if await _ask(client, timeout):
            return True
        await self._drop((host, port))
        return False

    def knows(self, host: str, port: int) -> bool:
        """Return whether a connection to a VM is open."""
        return (host, port) in self._clients

    async def close(self) -> None:
        """Close all connections."""
        for address in tuple(self._clients):
            await self._drop(address)

    async def _drop(self, address: tuple[str, int]) -> None:
        client = self._clients.pop(address, None)
        if client is not None:
            await client.close()


async def _ask(client: HttpClient, timeout: float) -> bool:
    try:
        await client.get(WATCH_PATH, query={"after": "0", "wait": "0"}, timeout=timeout)
    except HttpFailure:
        # Silence is what is asked about; the caller counts it.
        return False
    return True
