"""Ports that are free just now."""

from __future__ import annotations

import socket
from contextlib import ExitStack


def free_ports(count: int) -> list[int]:
    """Return different free ports of the loopback interface."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]
