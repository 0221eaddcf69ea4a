"""Tests that the kernel closes connections whose path is dead, idle or waiting for a reply."""

from __future__ import annotations

import socket

from raw_server import open_raw_server

from berylspindle_wire.exchange import open_exchange_connection
from berylspindle_wire.http_client import connect
from berylspindle_wire.reply_body import ReplyMemory


async def test_every_client_connection_enables_dead_path_detection() -> None:
    """Guard against a VM with an old configuration ten seconds after a network partition healed.

    Its store watch waits for half a minute on a connection that the store has dropped without a
    reset. Only kernel keepalive probes detect that in time. Packets can't be dropped on loopback,
    so the test checks the socket options.
    """
    async with open_raw_server() as port:
        client = await connect("127.0.0.1", port, timeout=5)
        exchange = await open_exchange_connection(
            "127.0.0.1",
            port,
            timeout=5,
            max_reply_bytes=100,
            memory=ReplyMemory(),
            on_free=lambda connection: None,
        )
        for connection in (client, exchange):
            watched = connection._transport.get_extra_info("socket")
            idle = watched.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
            step = watched.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
            tries = watched.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
            assert watched.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            # A VM counts as connected four seconds after a network partition has healed.
            assert idle + step * tries <= 4
            assert 0 < watched.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) <= 2000
            connection.close()
