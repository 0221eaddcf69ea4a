"""Ask another VM whether it answers at all."""

from __future__ import annotations

from berylspindle_forwarding.mirror import WATCH_PATH
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http_client import HttpFailure


async def answers(host: str, port: int, *, timeout: float) -> bool:
    """Return whether the VM whose mirror is read there answers within `timeout` seconds."""
    async with HttpClient(host, port, limit=1, connect_timeout=timeout) as client:
        try:
            await client.get(WATCH_PATH, query={"after": "0", "wait": "0"}, timeout=timeout)
        except HttpFailure:
            # Silence is what is asked about; the caller counts it.
            return False
    return True
