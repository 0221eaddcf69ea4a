"""Accept connections on a listening port, without losing any when the port closes.

Terms:
  queue     connections that the kernel has established and this process has not yet accepted
  pending   accepted connections not yet attached to a protocol, mostly during a TLS handshake

Flow: `listen` binds the port. Whenever the event loop reports it readable, the whole queue is
accepted and attached to new protocols. `close` accepts what the queue still holds, closes the port
and waits until no connection is pending.

asyncio's own server drops connections that it has accepted and not yet attached to a protocol, and
the kernel resets those left in the queue of a closed port. During a planned shutdown, a peer sees
either as an aborted request. Hence `close` first has the kernel drop packets that arrive at the
port, then empties the queue, then closes the port. A peer that connects meanwhile retries its SYN
after a second and is refused, which shows that its request was not accepted.
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
"""Length of the kernel's queue for a port. If it is full, the kernel drops connection attempts,
which peers repeat only after a second or more."""

_EXHAUSTION_PAUSE_S: Final = 1.0
"""Seconds without accepting after running out of file descriptors or memory."""

_EXHAUSTION_ERRNOS: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

_ATTACH_FILTER: Final = 26
"""SO_ATTACH_FILTER of Linux, which the socket module does not define."""

_DROP_ALL_FILTER: Final = struct.pack("HBBI", 0x06, 0, 0, 0)
"""A packet filter (classic BPF) of one instruction: keep 0 bytes of each packet."""

OnFault = Callable[[BaseException], None]


class Acceptor:
    """A listening port, created by `listen`."""

    def __init__(
        self,
        sockets: list[socket.socket],
        protocol: Callable[[], asyncio.Protocol],
        *,
        tls: ssl.SSLContext | None,
        handshake_timeout: float | None,
        on_fault: OnFault,
    ) -> None:
        self._sockets: Final = sockets
        self._protocol: Final = protocol
        self._tls: Final = tls
        self._handshake_timeout: Final = handshake_timeout
        self._on_fault: Final = on_fault
        self._loop: Final = asyncio.get_running_loop()
        self._pending: Final[set[asyncio.Task[None]]] = set()
        self._resume_timer: asyncio.TimerHandle | None = None
        self._start_accepting()

    @property
    def port(self) -> int:
        """Return the port number."""
        number: int = self._sockets[0].getsockname()[1]
        return number

    async def close(self) -> None:
        """Accept what is left in the queue, close the port and wait for pending connections."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        self._stop_accepting()
        with ExitStack() as sockets:
            for port in self._sockets:
                sockets.enter_context(port)
                self._drop_new_packets(port)
            for port in self._sockets:
                self._accept_queue(port)
        while self._pending:
            await asyncio.wait(set(self._pending))

    def abort(self) -> None:
        """Close the port at once; connections in its queue are reset."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        self._stop_accepting()
        for port in self._sockets:
            port.close()

    def _start_accepting(self) -> None:
        self._resume_timer = None
        for port in self._sockets:
            self._loop.add_reader(port, self._accept_queue, port)

    def _stop_accepting(self) -> None:
        for port in self._sockets:
            if port.fileno() >= 0:
                self._loop.remove_reader(port)

    def _accept_queue(self, port: socket.socket) -> None:
        while True:
            try:
                connection, _ = port.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._on_fault(error)
                if error.errno in _EXHAUSTION_ERRNOS:
                    # The port stays readable, so the event loop would spin on it.
                    self._stop_accepting()
                    self._resume_timer = self._loop.call_later(
                        _EXHAUSTION_PAUSE_S, self._start_accepting
                    )
                return
            connection.setblocking(False)
            task = self._loop.create_task(self._attach(connection))
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)

    def _drop_new_packets(self, port: socket.socket) -> None:
        """Have the kernel drop packets that arrive at the port from now on."""
        program = ctypes.create_string_buffer(_DROP_ALL_FILTER, len(_DROP_ALL_FILTER))
        try:
            port.setsockopt(
                socket.SOL_SOCKET, _ATTACH_FILTER, struct.pack("HP", 1, ctypes.addressof(program))
            )
        except OSError as error:
            # Without filter support, connections of the next few microseconds are reset.
            self._on_fault(error)

    async def _attach(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(
                self._protocol,
                connection,
                ssl=self._tls,
                ssl_handshake_timeout=self._handshake_timeout,
            )
        except OSError as error:
            # The peer closed during the handshake; TLS errors are OSErrors too.
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
    listening_socket: socket.socket | None = None,
) -> Acceptor:
    """Bind host and port and start accepting; raise OSError if they can't be bound.

    `listening_socket` is a socket that is already listening, used in place of host and port and
    owned by the acceptor from then on.
    """
    sockets = [listening_socket] if listening_socket is not None else _bind_addresses(host, port)
    return Acceptor(
        sockets, protocol, tls=tls, handshake_timeout=handshake_timeout, on_fault=on_fault
    )


def _bind_addresses(host: str, port: int) -> list[socket.socket]:
    with ExitStack() as cleanup:
        sockets: list[socket.socket] = []
        addresses = socket.getaddrinfo(
            host or None, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
        )
        for family, kind, number, _, address in dict.fromkeys(addresses):
            listening = cleanup.enter_context(socket.socket(family, kind, number))
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if family is socket.AF_INET6:
                listening.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            _bind(listening, address)
            listening.listen(BACKLOG)
            listening.setblocking(False)
            sockets.append(listening)
        cleanup.pop_all()
    return sockets


def _bind(listening: socket.socket, address: tuple[Any, ...]) -> None:
    try:
        listening.bind(address)
    except OSError as error:
        text = os.strerror(error.errno) if error.errno else str(error)
        raise OSError(error.errno, f"can't bind {address[0]}:{address[1]}: {text}") from error
