"""Connection pool for calls to the platform, with its timeouts and limits.

All clients of the platform use this pool, both those of the protocol in `routes` and those of an
adapter for another protocol.
"""

from __future__ import annotations

from typing import Final

import attrs

from berylspindle_wire.http import HttpLimits
from berylspindle_wire.http_pool import ConnectionPool

# Enough for a list of several entries of nearly maximum size, in base64.
MAX_RESPONSE_BYTES: Final = 16 * 1024 * 1024

# Idle connections are effectively not probed: a probe would count as a call to the platform.
_IDLE_PROBE_AFTER_S: Final = 24 * 3600.0


@attrs.frozen(kw_only=True)
class StoreOptions:
    """Timeouts and limits for calls to the platform.

    Attributes:
        connect_timeout: seconds to open a connection.
        read_timeout: seconds for a read, up to the complete response.
        write_timeout: seconds for a write; after a timeout, the write may still take effect.
        watch_slack: seconds that a watch's response may take in addition to its wait.
        connections: maximum number of open connections, including those of waiting watches.
    """

    connect_timeout: float = 0.5
    read_timeout: float = 1.0
    write_timeout: float = 1.0
    watch_slack: float = 1.0
    connections: int = 16


def platform_pool(host: str, port: int, options: StoreOptions) -> ConnectionPool:
    """Return a connection pool for the platform."""
    return ConnectionPool(
        host,
        port,
        limit=options.connections,
        spare=0,
        connect_timeout=options.connect_timeout,
        idle_probe_after=_IDLE_PROBE_AFTER_S,
        limits=HttpLimits(body_bytes=MAX_RESPONSE_BYTES),
    )
