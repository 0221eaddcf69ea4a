"""Test health checks of a backend server that sends bytes without end."""

from __future__ import annotations

import asyncio

import pytest

from berylspindle_dataplane.http_backend import BackendOptions, open_http_backend
from berylspindle_model.configuration import Server
from berylspindle_standins.endless_peer import EndlessReply, open_endless_peer

REPORT_TIMEOUT_S = 0.4


@pytest.mark.parametrize("pause_s", [0.0, 0.005])
@pytest.mark.parametrize("reply", EndlessReply)
async def test_endless_health_report_ends_with_its_timeout(
    reply: EndlessReply, pause_s: float
) -> None:
    """Guard against a health check that reads, or waits, for good."""
    async with open_endless_peer(reply, pause_s=pause_s) as peer:
        server = Server(
            id="b1",
            service="s",
            shard="0",
            data_centre="a",
            host="127.0.0.1",
            port=peer.port,
            slots=2,
            connections=2,
        )
        options = BackendOptions(report_timeout=REPORT_TIMEOUT_S)
        backend = open_http_backend(server, options, lambda event: None)
        async with asyncio.timeout(REPORT_TIMEOUT_S + 1.0):
            assert await backend.report() is None
            assert peer.connections
            while peer.open_connections:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await backend.close()
