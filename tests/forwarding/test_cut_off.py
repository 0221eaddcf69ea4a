"""Test over sockets a VM that is cut off from the other data centres."""

from __future__ import annotations

import asyncio
import socket
from contextlib import ExitStack

from forward_site import Site, merged_route, open_site, plain_route, until

from berylspindle_forwarding.catalogue_changes import VmChange, VmEntry
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


async def open_remote_site(site: Site, *, peers: bool) -> None:
    """Announce shards in two other data centres, and lost VMs there that refuse connections."""
    for data_centre in ("b", "c"):
        for shard in SHARDS:
            await site.replica(f"{shard}-{data_centre}", shard, data_centre=data_centre)
        if peers:
            with socket.socket() as lost:
                lost.bind(("127.0.0.1", 0))
                port = lost.getsockname()[1]
            entry = VmEntry(host="127.0.0.1", port=port, data_centre=data_centre)
            site.forwarder.on_change(VmChange(f"vm-{data_centre}", entry))
    site.route(merged_route(SHARDS, least=0.9))
    site.forwarder.on_listed()


async def test_vm_whose_peers_are_lost_is_not_cut_off_while_replicas_answer() -> None:
    """Guard against VMs that are left after a loss of VMs and refuse all requests for good."""
    async with open_site() as site:
        await open_remote_site(site, peers=True)
        monitor = asyncio.create_task(site.forwarder._isolation_monitor.run())
        assert (await site.ask("/lots/0")).status == 200
        # Lost VMs are detected, and their data centres probed at replicas from then on.
        await asyncio.sleep(1.5)
        for number in range(6):
            assert site.forwarder.readiness_refusal() is None
            assert (await site.ask(f"/lots/{number}")).status == 200
            await asyncio.sleep(0.4)
        monitor.cancel()


async def test_cut_off_vm_without_known_peers_returns_once_replicas_answer() -> None:
    """Guard against a VM that stays cut off after the entries of its lost peers have expired."""
    async with open_site() as site:
        await open_remote_site(site, peers=False)
        assert (await site.ask("/lots/0")).status == 200
        await asyncio.sleep(0.2)
        now, reach = asyncio.get_running_loop().time(), site.forwarder._reach
        for data_centre in ("b", "c"):
            reach.on_probe(now - 1.0, data_centre)
        assert reach.is_isolated(now)
        monitor = asyncio.create_task(site.forwarder._isolation_monitor.run())
        await until(lambda: not reach.is_isolated(asyncio.get_running_loop().time()), 1.0)
        assert (await site.ask("/lots/1")).status == 200
        monitor.cancel()
