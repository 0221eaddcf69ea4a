"""Test requests to replicas that send bytes without end, over sockets."""

from __future__ import annotations

import pytest
from forward_site import Site, merged_route, open_site, plain_route, until

from berylspindle_forwarding.catalogue_changes import ReplicaChange
from berylspindle_forwarding.scatter_gather import ABANDONED_ATTEMPT_GRACE_S
from berylspindle_model.routing import Replica
from berylspindle_standins.endless_peer import EndlessPeer, EndlessReply, open_endless_peer
from berylspindle_wire.reply_body import ReplyMemory

KERNEL_BUFFERS_BYTES = 16 * 1024 * 1024
"""Bytes that a peer may write to one connection before the client has read them."""

REPLY_LIMIT_BYTES = 4 * 1024 * 1024
SHARDS = tuple(f"s{number}" for number in range(8))


def announce(site: Site, peer: EndlessPeer, service: str, name: str = "endless") -> None:
    replica = Replica(
        id=name, service=service, host="127.0.0.1", port=peer.port, data_centre="a", slots=3
    )
    site.forwarder.on_change(ReplicaChange(name, replica))


@pytest.mark.parametrize("reply", EndlessReply)
async def test_endless_reply_is_broken_off_by_its_size(reply: EndlessReply) -> None:
    """Guard against a VM that reads one reply until its memory is used up."""
    async with open_site() as site, open_endless_peer(reply) as peer:
        announce(site, peer, "booking")
        site.route(plain_route(repeatable=False))
        response = await site.ask("/booking/1", method="POST", body=b"{}")
        assert response.status in (502, 504)
        await until(lambda: peer.open_connections == 0, 2.0)
        assert peer.written < REPLY_LIMIT_BYTES + KERNEL_BUFFERS_BYTES
        assert site.forwarder.registry.reply_memory.total == 0


@pytest.mark.parametrize("reply", [EndlessReply.HEADER_VALUE, EndlessReply.BODY_UNTIL_CLOSE])
async def test_reply_that_trickles_without_end_is_closed_at_the_deadline(
    reply: EndlessReply,
) -> None:
    """Guard against connections that stay open for good since a byte arrives now and then."""
    async with open_site() as site, open_endless_peer(reply, pause_s=0.005) as peer:
        announce(site, peer, "booking")
        site.route(plain_route(repeatable=False))
        response = await site.ask("/booking/1", method="POST", body=b"{}", left_ms=400)
        assert response.status == 504
        await until(lambda: peer.open_connections == 0, ABANDONED_ATTEMPT_GRACE_S + 1.0)


async def test_repeatable_request_is_answered_by_another_replica() -> None:
    async with open_site() as site, open_endless_peer(EndlessReply.BODY_UNTIL_CLOSE) as peer:
        announce(site, peer, "booking")
        await site.replica("sound", "booking")
        site.route(plain_route())
        for number in range(10):
            assert (await site.ask(f"/booking/{number}")).status == 200
        await until(lambda: peer.open_connections == 0, 2.0)


async def test_search_is_answered_beside_endless_parts_within_a_common_limit() -> None:
    """Guard against a search over many shards whose unfinished parts use up the memory."""
    limit = 1024 * 1024
    async with open_site() as site, open_endless_peer(EndlessReply.BODY_UNTIL_CLOSE) as peer:
        site.forwarder.registry.reply_memory = memory = ReplyMemory(limit)
        peak = 0
        update = memory.update

        def record_peak(receiver, size):
            nonlocal peak
            update(receiver, size)
            peak = max(peak, memory.total)

        memory.update = record_peak
        for number, shard in enumerate(SHARDS):
            if number % 2:
                announce(site, peer, shard, name=f"endless-{shard}")
            else:
                await site.replica(f"sound-{shard}", shard)
        site.route(merged_route(SHARDS, least=0.5, aim_ms=300))
        response = await site.ask("/lots/1", left_ms=1500)
        assert response.status == 200
        assert response.headers["x-parts-absent"] == "4"
        await until(lambda: peer.open_connections == 0, 3.0)
        assert 0 < peak <= limit
        assert memory.total == 0
