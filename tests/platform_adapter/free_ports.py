"""Find free TCP ports for tests."""

from __future__ import annotations

import socket
from contextlib import ExitStack


def free_ports(count: int) -> list[int]:
    """Return `count` distinct ports that are free on the loopback interface."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]
