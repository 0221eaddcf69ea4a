"""Kernel state and options of connections.

Terms:
  dead path   a path on which nothing is reset and nothing arrives, because of a network partition
              or a middlebox that has dropped the state of the connection

Flow: `enable_dead_path_detection` is called once for each new connection; `peer_has_closed` before
an idle connection is reused.
"""

from __future__ import annotations

import select
import socket
from typing import Final, Protocol

UNACKNOWLEDGED_TIMEOUT_MS: Final = 1500
"""Milliseconds for which sent bytes may stay unacknowledged before the kernel drops the connection;
several retransmissions within a data centre, where a round trip takes about a millisecond."""

KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
"""The kernel probes idle connections, so that a dead path is detected before the next request."""

_CLOSED_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class AnySocket(Protocol):
    """A socket, or asyncio's `TransportSocket`."""

    def fileno(self) -> int:
        """Return the file descriptor."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Set a socket option."""


def peer_has_closed(connected: AnySocket) -> bool:
    """Return whether the peer has closed or reset a connection, even if the loop has not read it.

    After a long loop iteration, the end of a connection may be in the kernel, unread. A request
    written to it would count as "may have run" although no server received it, and a request that
    must not be repeated would be lost. An end still in transit can't be detected.
    """
    return _poll(connected, _CLOSED_EVENTS)


def has_input(connected: AnySocket) -> bool:
    """Return whether bytes of the peer, or its end of output, are in the kernel, unread."""
    return _poll(connected, select.POLLIN)


def _poll(connected: AnySocket, events: int) -> bool:
    poll = select.poll()
    poll.register(connected.fileno(), events)
    return bool(poll.poll(0))


def enable_dead_path_detection(connected: AnySocket) -> None:
    """Have the kernel close a connection whose path is dead, whether idle or in use.

    On a dead path nothing is reset and nothing that is sent arrives. Without these kernel timeouts,
    only a timeout of each request detects it, and on an idle connection not before its next use.
    """
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        connected.setsockopt(level, option, value)
