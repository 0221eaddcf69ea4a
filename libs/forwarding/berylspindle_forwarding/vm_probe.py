"""Ask other VMs whether they answer at all, and exchange reports of lost answers with them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from berylspindle_forwarding.mirror import MirrorStore
from berylspindle_store.store import StoreAway


async def answers(host: str, port: int, *, timeout: float) -> bool:
    """Return whether the VM whose mirror is read there answers within `timeout` seconds."""
    mirror = MirrorStore(host, port)
    try:
        return await _ask(mirror, timeout)
    finally:
        await mirror.close()


class Prober:
    """Probes of a few VMs over connections that stay open while they answer.

    `introduction` returns what they are told of this VM; `on_losses` takes what they report.
    """

    def __init__(
        self,
        introduction: Callable[[], dict[str, str]],
        on_losses: Callable[[dict[str, int]], None],
    ) -> None:
        self._introduction: Final = introduction
        self._on_losses: Final = on_losses
        self._mirrors: Final[dict[tuple[str, int], MirrorStore]] = {}

    async def answers(self, host: str, port: int, *, timeout: float) -> bool:
        """Return whether the VM whose mirror is read there answers within `timeout` seconds."""
        mirror = self._mirrors.get((host, port))
        if mirror is None:
            mirror = MirrorStore(
                host, port, introduction=self._introduction, on_losses=self._on_losses
            )
            self._mirrors[host, port] = mirror
        if await _ask(mirror, timeout):
            return True
        await self._drop((host, port))
        return False

    def knows(self, host: str, port: int) -> bool:
        """Return whether a connection to a VM is open."""
        return (host, port) in self._mirrors

    async def close(self) -> None:
        """Close all connections."""
        for address in tuple(self._mirrors):
            await self._drop(address)

    async def _drop(self, address: tuple[str, int]) -> None:
        mirror = self._mirrors.pop(address, None)
        if mirror is not None:
            await mirror.close()


async def _ask(mirror: MirrorStore, timeout: float) -> bool:
    try:
        await mirror.probe(timeout)
    except StoreAway:
        # Silence is what is asked about; the caller counts it.
        return False
    return True
