"""What the kernel knows of a connection and does for it.

Terms:
  silent   a path on which nothing is reset and nothing arrives, since something between the two
           ends has lost track of the connection

Flow: `watch_path` is called once for each new connection; `has_ended` before an idle one is used.
"""

from __future__ import annotations

import select
import socket
from typing import Final, Protocol

UNHEARD_MS: Final = 1500
"""Milliseconds for which sent bytes may stay unacknowledged before the kernel gives the connection
up; several retransmissions within a data centre, where a round trip takes about a millisecond."""

KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_STEP_S: Final = 1
KEEPALIVE_TRIES: Final = 2
"""An idle connection is probed by the kernel, so that one gone silent is found before its use."""

_ENDED: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class AnySocket(Protocol):
    """A socket, or what asyncio shows of one."""

    def fileno(self) -> int:
        """Return the descriptor."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Set an option of the kernel."""


def has_ended(connected: AnySocket) -> bool:
    """Tell whether the peer has closed or reset a connection, though the loop has not read it.

    Guards against a request written into a connection whose end lies in the kernel unread, as after
    a busy turn of the loop: it would count as "may have run", though no server could see it, and
    what may not be repeated would be lost. Only an end that is on its way still gets by.
    """
    return _has(connected, _ENDED)


def has_input(connected: AnySocket) -> bool:
    """Tell whether bytes of the peer, or its end, lie in the kernel unread."""
    return _has(connected, select.POLLIN)


def _has(connected: AnySocket, events: int) -> bool:
    poll = select.poll()
    poll.register(connected.fileno(), events)
    return bool(poll.poll(0))


def watch_path(connected: AnySocket) -> None:
    """Have the kernel end a connection whose path has gone silent, idle or not.

    Guards against connections that something on the way has lost track of: nothing is reset, and
    whatever is sent is never heard. Without bounds of the kernel's only a time-out of each request
    shows it, and an idle connection not before it is used.
    """
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNHEARD_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_STEP_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_TRIES),
    ):
        connected.setsockopt(level, option, value)
