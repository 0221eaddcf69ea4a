"""Tests of control calls between peers over loopback sockets."""

from __future__ import annotations

from unittest.mock import Mock

import pytest

from berylspindle_model.errors import ErrorKind, RefusalError
from berylspindle_wire.owner_link import BatchHandler
from berylspindle_wire.peer_auth import KeyRequiredError
from berylspindle_wire.peer_server import PeerServer


async def test_control_calls(pair):
    async with pair() as peers:
        assert await peers.links.call(peers.vm, "add", b"4", timeout=2) == b"41"
        expected = {
            "refuse": ErrorKind.STALE_PLAN,
            "break": ErrorKind.INTERNAL,
            "unknown": ErrorKind.CONNECTION_LOST,
        }
        for method, kind in expected.items():
            with pytest.raises(RefusalError) as caught:
                await peers.links.call(peers.vm, method, b"", timeout=2)
            assert caught.value.refusal.kind is kind
        with pytest.raises(RefusalError) as caught:
            await peers.links.call(peers.vm, "hang", b"", timeout=0.05)
        assert caught.value.refusal.kind is ErrorKind.DEADLINE_EXCEEDED
        assert await peers.links.call(peers.vm, "add", b"", timeout=2) == b"1"
        await peers.server.close()
        with pytest.raises(RefusalError) as caught:
            await peers.links.call(peers.vm, "add", b"", timeout=2)
        assert caught.value.refusal.kind is ErrorKind.CONNECTION_LOST


def test_non_loopback_port_requires_a_key():
    owner = Mock(spec=BatchHandler)
    PeerServer("127.0.0.1", 0, batch_handler=owner, control={}, key=None)
    with pytest.raises(KeyRequiredError):
        PeerServer("0.0.0.0", 0, batch_handler=owner, control={}, key=None)
