"""Take connections off a listening port, and lose none when the port closes.

Terms:
  queue     connections that the kernel has taken for the port and this process has not yet
  opening   connections of this process that are not yet with their protocol, for a handshake mostly

Flow: `listen` binds the port; each time the loop finds it readable, all of its queue is accepted
and handed to new protocols. `close` closes the port, takes over what its queue still holds and
waits until nothing is opening.

Guard: asyncio's own server forgets connections that it has accepted and not yet handed over, and
the kernel resets those that wait in the queue of a port that is closed. In a planned shutdown
either shows to a peer as a request that was cut. So the kernel is first told to drop whatever still
arrives at the port, then the queue is emptied, then the port closed: a peer that connects meanwhile
tries again after a second and is refused, which says that nothing was taken.
"""

from __future__ import annotations

import asyncio
import ctypes
import errno
import os
import socket
import ssl
import struct
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, Final

BACKLOG: Final = 1024
"""Connections that the kernel queues for a port; one more has its peer try again after seconds."""

_PAUSE: Final = 1.0
"""Seconds without accepting after the process or the machine ran out of descriptors or memory."""

_OUT_OF: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

_ATTACH_FILTER: Final = 26
"""SO_ATTACH_FILTER of Linux, which the socket module does not name."""

_DROP_ALL: Final = struct.pack("HBBI", 0x06, 0, 0, 0)
"""A packet filter of one instruction: keep 0 bytes of each packet."""

OnFault = Callable[[BaseException], None]


class Acceptor:
    """A listening port; made by `listen`."""

    def __init__(
        self,
        ports: list[socket.socket],
        protocol: Callable[[], asyncio.Protocol],
        *,
        tls: ssl.SSLContext | None,
        handshake_timeout: float | None,
        on_fault: OnFault,
    ) -> None:
        self._ports: Final = ports
        self._protocol: Final = protocol
        self._tls: Final = tls
        self._handshake_timeout: Final = handshake_timeout
        self._on_fault: Final = on_fault
        self._loop: Final = asyncio.get_running_loop()
        self._opening: Final[set[asyncio.Task[None]]] = set()
        self._paused: asyncio.TimerHandle | None = None
        self._watch()

    @property
    def port(self) -> int:
        """Return the port's number."""
        number: int = self._ports[0].getsockname()[1]
        return number

    async def close(self) -> None:
        """Close the port and hand over all connections that were taken before."""
        if self._paused is not None:
            self._paused.cancel()
        self._unwatch()
        with ExitStack() as ports:
            for port in self._ports:
                ports.enter_context(port)
                self._drop_arrivals(port)
            for port in self._ports:
                self._accept_all(port)
        while self._opening:
            await asyncio.wait(set(self._opening))

    def abort(self) -> None:
        """Close the port at once; what waits in its queue is reset."""
        if self._paused is not None:
            self._paused.cancel()
        self._unwatch()
        for port in self._ports:
            port.close()

    def _watch(self) -> None:
        self._paused = None
        for port in self._ports:
            self._loop.add_reader(port, self._accept_all, port)

    def _unwatch(self) -> None:
        for port in self._ports:
            if port.fileno() >= 0:
                self._loop.remove_reader(port)

    def _accept_all(self, port: socket.socket) -> None:
        while True:
            try:
                connection, _ = port.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._on_fault(error)
                if error.errno in _OUT_OF:
                    # The port stays readable, so that the loop would spin on it.
                    self._unwatch()
                    self._paused = self._loop.call_later(_PAUSE, self._watch)
                return
            connection.setblocking(False)
            task = self._loop.create_task(self._open(connection))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    def _drop_arrivals(self, port: socket.socket) -> None:
        """Have the kernel drop the packets that arrive at the port from now on."""
        program = ctypes.create_string_buffer(_DROP_ALL, len(_DROP_ALL))
        try:
            port.setsockopt(
                socket.SOL_SOCKET, _ATTACH_FILTER, struct.pack("HP", 1, ctypes.addressof(program))
            )
        except OSError as error:
            # A kernel without filters: what arrives within the next microseconds is reset.
            self._on_fault(error)

    async def _open(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(
                self._protocol,
                connection,
                ssl=self._tls,
                ssl_handshake_timeout=self._handshake_timeout,
            )
        except OSError as error:
            # A peer that went away in its handshake; TLS faults are OSErrors too.
            connection.close()
            if self._tls is None:
                self._on_fault(error)


def listen(
    host: str,
    port: int,
    protocol: Callable[[], asyncio.Protocol],
    *,
    tls: ssl.SSLContext | None = None,
    handshake_timeout: float | None = None,
    on_fault: OnFault,
    bound: socket.socket | None = None,
) -> Acceptor:
    """Bind host and port and accept from now on; raises OSError where they can't be bound.

    `bound` is a socket that listens already and is taken over.
    """
    ports = [bound] if bound is not None else _bind_all(host, port)
    return Acceptor(
        ports, protocol, tls=tls, handshake_timeout=handshake_timeout, on_fault=on_fault
    )


def _bind_all(host: str, port: int) -> list[socket.socket]:
    with ExitStack() as undo:
        ports: list[socket.socket] = []
        found = socket.getaddrinfo(
            host or None, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
        )
        for family, kind, number, _, address in dict.fromkeys(found):
            listening = undo.enter_context(socket.socket(family, kind, number))
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if family is socket.AF_INET6:
                listening.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            _bind(listening, address)
            listening.listen(BACKLOG)
            listening.setblocking(False)
            ports.append(listening)
        undo.pop_all()
    return ports


def _bind(listening: socket.socket, address: tuple[Any, ...]) -> None:
    try:
        listening.bind(address)
    except OSError as error:
        text = os.strerror(error.errno) if error.errno else str(error)
        raise OSError(error.errno, f"can't bind {address[0]}:{address[1]}: {text}") from error
