"""Test over sockets a VM that is cut off from the other data centres."""

from __future__ import annotations

import asyncio
import socket
from contextlib import ExitStack

from forward_site import Site, merged_route, open_site, plain_route

from berylspindle_forwarding.isolation_monitor import CHECK_INTERVAL_S
from berylspindle_model.errors import ErrorKind

SHARDS = ("s0", "s1", "s2")


class Blackhole:
    """An address that neither accepts nor refuses connections, as in a network partition."""

    def __init__(self, stack: ExitStack) -> None:
        self._listener = stack.enter_context(socket.socket())
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.port: int = self._listener.getsockname()[1]
        # The first connections fill the backlog, and later ones get no answer to their SYN.
        for _ in range(2):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))


async def open_cut_site(site: Site, stack: ExitStack, *, local: tuple[str, ...]) -> None:
    """Announce shards with a local replica, and replicas in another data centre that is cut off."""
    for shard in SHARDS:
        if shard in local:
            await site.replica(f"{shard}-home", shard)
        replica = await site.replica(f"{shard}-far", shard, data_centre="b")
        site.announce(replica, data_centre="b", port=Blackhole(stack).port)


async def test_cut_off_vm_is_unready_and_refuses_unservable_requests_at_once() -> None:
    """Guard against callers of a cut off data centre that wait until their deadlines.

    The balancer sends them to another data centre only once the VMs of this one are unready.
    """
    with ExitStack() as stack:
        async with open_site() as site:
            await open_cut_site(site, stack, local=("s0",))
            site.route(merged_route(SHARDS, least=0.9), plain_route("s0"))
            monitor = asyncio.create_task(site.forwarder._isolation_monitor.run())
            site.forwarder.on_listed()
            assert site.forwarder.readiness_refusal() is None
            await asyncio.gather(*(site.ask(f"/lots/{n}", left_ms=700) for n in range(3)))
            await asyncio.sleep(3 * CHECK_INTERVAL_S)
            refusal = site.forwarder.readiness_refusal()
            assert refusal is not None
            assert refusal.kind is ErrorKind.NO_REPLICA
            started_at = asyncio.get_running_loop().time()
            runs_before = sum(site.runs().values())
            response = await site.ask("/lots/9", left_ms=3000)
            assert asyncio.get_running_loop().time() - started_at < 0.2
            assert response.status == 503
            assert 0 < float(response.headers["retry-after"]) <= 1.0
            assert sum(site.runs().values()) == runs_before
            # A request whose replica is local is still answered.
            assert (await site.ask("/booking/1")).status == 200
            monitor.cancel()


async def test_cut_off_vm_with_all_shards_local_stays_ready() -> None:
    with ExitStack() as stack:
        async with open_site() as site:
            await open_cut_site(site, stack, local=SHARDS)
            await site.replica("far", "booking", data_centre="b")
            site.announce(site.replicas["far"], data_centre="b", port=Blackhole(stack).port)
            site.route(merged_route(SHARDS, least=0.9))
            monitor = asyncio.create_task(site.forwarder._isolation_monitor.run())
            site.forwarder.on_listed()
            for _ in range(8):
                site.forwarder._reach.on_attempt(asyncio.get_running_loop().time(), "b")
                await asyncio.sleep(0.1)
            assert site.forwarder._reach.is_isolated(asyncio.get_running_loop().time())
            assert site.forwarder.readiness_refusal() is None
            assert (await site.ask("/lots/1")).status == 200
            monitor.cancel()
