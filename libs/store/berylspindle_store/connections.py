"""The connections to the platform: their times and bounds, and their pool.

Flow: whoever speaks with the platform, in the product's protocol or another one, makes its pool
here.
"""

from __future__ import annotations

from typing import Final

import attrs

from berylspindle_wire.http import HttpLimits
from berylspindle_wire.http_pool import ConnectionPool

# A list of entries near the largest value, in base64, with room for several.
REPLY_BYTES: Final = 16 * 1024 * 1024

# Idle connections are not probed: a probe would count as a call to the platform.
_NEVER_PROBE: Final = 24 * 3600.0


@attrs.frozen(kw_only=True)
class StoreOptions:
    """Times and bounds of the client of the platform.

    Attributes:
        connect_timeout: seconds for a new connection.
        read_timeout: seconds for a read until its reply is whole.
        write_timeout: seconds for a write; past it the write may still take effect.
        watch_slack: seconds that a watch's reply may take beyond its own wait.
        connections: most open connections, waiting watches included.
    """

    connect_timeout: float = 0.5
    read_timeout: float = 1.0
    write_timeout: float = 1.0
    watch_slack: float = 1.0
    connections: int = 16


def platform_pool(host: str, port: int, options: StoreOptions) -> ConnectionPool:
    """Return the pool of connections to the platform."""
    return ConnectionPool(
        host,
        port,
        limit=options.connections,
        spare=0,
        connect_timeout=options.connect_timeout,
        idle_probe_after=_NEVER_PROBE,
        limits=HttpLimits(body_bytes=REPLY_BYTES),
    )
