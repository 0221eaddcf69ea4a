"""Tests of idle connections whose close by the peer this process has not yet read."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
from collections.abc import Callable

import pytest

from berylspindle_wire.http import HttpRequest
from berylspindle_wire.http_pool import ConnectionPool

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HOLD = HttpRequest(method="POST", path="/execute", body=b"{}")


def reset(connection: socket.socket) -> None:
    """Close with a reset instead of an orderly shutdown."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class EndingServer:
    """Answer the first request and close its connection when `end` is set; count requests."""

    def __init__(self, end: Callable[[socket.socket], None]) -> None:
        self.requests = 0
        self.end = threading.Event()
        self.ended = threading.Event()
        self._end = end
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        while connection.recv(65536):
            self.requests += 1
            connection.sendall(OK)
            if self.requests == 1:
                self.end.wait(5)
                self._end(connection)
                self.ended.set()
                return


@pytest.mark.parametrize("end", [reset, socket.socket.close])
async def test_a_connection_with_an_unread_close_carries_no_request(
    end: Callable[[socket.socket], None],
) -> None:
    """Guard against a hold that is reported as "may have run" although no server received it.

    The backend server closes an idle connection while this process is busy; the loop then sends the
    hold before it has read the end from the socket.
    """
    server = EndingServer(end)
    pool = ConnectionPool(
        "127.0.0.1", server.port, limit=2, spare=0, connect_timeout=5, idle_probe_after=60
    )
    try:
        await pool.request(HOLD, timeout=5)
        server.end.set()
        # Block the loop on purpose, so that the close stays unread in the kernel.
        assert server.ended.wait(5)
        answer = await asyncio.wait_for(pool.request(HOLD, timeout=5), 5)
    finally:
        await pool.close()
        server.close()
    assert (answer.status, server.requests) == (200, 2)
