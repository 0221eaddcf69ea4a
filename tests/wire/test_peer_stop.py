"""Tests of stopping a peer server while a connection is being established."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from berylspindle_model.messages import AttemptBatch, AttemptReply
from berylspindle_wire.owner_link import BatchHandler
from berylspindle_wire.peer_server import PeerServer

# Loop iterations from a pending connection to an established one.
LOOP_ITERATIONS = 6


class UnusedHandler(BatchHandler):
    """A handler that must not be called."""

    async def run(self, batch: AttemptBatch, reply: Callable[[AttemptReply], None]) -> None:
        raise AssertionError

    def cancel(self, attempts: object) -> None:
        raise AssertionError


@pytest.mark.parametrize("turns", range(LOOP_ITERATIONS))
async def test_a_peer_that_connects_while_the_server_stops_causes_no_error(turns: int) -> None:
    """Guard against a daemon that exits with an internal error because a peer connects late.

    When all VMs are replaced at once, a peer may connect in the loop iteration in which this VM
    closes its connections; grpclib has created the protocol but not yet its connection. The daemon
    would then exit with code 1.
    """
    server = PeerServer("127.0.0.1", 0, batch_handler=UnusedHandler(), control={}, key=None)
    await server.start()
    with socket.create_connection(("127.0.0.1", server.port)):
        for _ in range(turns):
            await asyncio.sleep(0)
        await server.close()
