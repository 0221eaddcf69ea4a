"""The daemon as a separate process, between stand-ins for the platform on sockets."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import attrs
from free_ports import free_ports
from kv_standin import Copy, KvStandin, open_kv

from berylspindle_adapter.wire_names import DIALECT
from berylspindle_decisions.record_merge import top_records
from berylspindle_standins.forward_replica import (
    ForwardReplica,
    answer_body,
    signature_of,
    start_replica,
)
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import HttpResponse
from berylspindle_wire.http_client import FailurePhase, HttpFailure

HOST = "lots.example"
SHARDS = ("s1", "s2", "s3")
GRACE_S = 5.0
DRAIN_S = 3.0
"""Seconds within which requests to a replica end after it has announced that it drains."""

CONFIG_APPLY_S = 7.0
"""Seconds within which a version is in force after the return of the store: the 4 s after which a
VM counts as in touch and the 3 s from there."""

WATCH_TIMEOUT_S = 10.0
"""Seconds within which a VM without callers has received all changes."""


def configuration(version: int, **changes: object) -> dict[str, Any]:
    route = {
        "name": "merged",
        "host": HOST,
        "prefix": "/lots/",
        "kind": "idempotent",
        "timeout_ms": 5000,
        "target_latency_ms": 2000,
        "priority": 1,
        "gather": list(SHARDS),
        "attempts": 2,
        "top_k": 5,
        "min_version": 0.6,
    }
    plain = {
        "name": "plain",
        "host": HOST,
        "prefix": "/booking/",
        "kind": "non_idempotent",
        "timeout_ms": 5000,
        "target_latency_ms": 2000,
        "service": "booking",
    }
    document: dict[str, Any] = {"version": version, "routes": [route, plain], "services": []}
    return document | changes


@attrs.define(kw_only=True)
class Platform:
    """A store, the replicas announced in it, and one VM."""

    kv: KvStandin
    process: asyncio.subprocess.Process
    client: HttpClient
    ready: HttpClient
    replicas: dict[str, ForwardReplica]
    stack: AsyncExitStack
    folder: Path
    control: int
    count: int = 0

    async def request(self, path: str, method: str = "GET", body: bytes = b"") -> HttpResponse:
        self.count += 1
        headers = {"host": HOST, "Request-Id": f"id-{self.count}", "Deadline-Ms": "4000"}
        return await self.client.request(method, path, headers=headers, body=body, timeout=10)

    async def is_ready(self) -> bool:
        try:
            return (await self.ready.get("/-/ready")).status == 200
        except HttpFailure:
            return False

    async def until_ready(self) -> None:
        async with asyncio.timeout(20):
            while not await self.is_ready():  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    def announce(self, replica: ForwardReplica, state: str = "ready", **fields: object) -> None:
        announcement = {
            "service": replica.service,
            "addr": f"127.0.0.1:{replica.port}",
            "zone": "north",
            "slots": 3,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
        }
        self.kv.put(f"servers/{replica.id}", announcement | fields)

    def announce_all(self) -> None:
        for replica in self.replicas.values():
            self.announce(replica)

    def drop_merged_route(self) -> None:
        """Write version 2 of the configuration, without the merged route."""
        self.kv.put("op/config", configuration(2, routes=configuration(2)["routes"][1:]))

    async def lose_changes(self, copy: Copy) -> None:
        """Let the VM that follows the store receive changes, which the store then loses."""
        for _ in range(3):
            self.announce_all()
        await asyncio.wait_for(self.kv.until_watched(), WATCH_TIMEOUT_S)
        self.kv.restore(copy)


async def start_vm(
    stack: AsyncExitStack, kv: KvStandin, folder: Path, name: str, seeds: tuple[int, ...] = ()
) -> tuple[asyncio.subprocess.Process, HttpClient, HttpClient, int]:
    """Start one VM.

    Return its process, clients for callers and readiness, and its port for peers.
    """
    front, ready, metrics, control = free_ports(4)
    path = folder / f"{name}.toml"
    seed_list = ", ".join(f'"127.0.0.1:{seed}"' for seed in (control, *seeds))
    path.write_text(
        f'node = "{name}"\nzone = "north"\nip = "127.0.0.1"\nmetrics_port = {metrics}\n'
        f"seeds = [{seed_list}]\n"
        f'[listen]\nfront = "127.0.0.1:{front}"\nready = "127.0.0.1:{ready}"\n'
        f'control = "127.0.0.1:{control}"\n'
        f"[bounds]\ngrace_s = 5\nbudget_slack = 60\nexposure = 0.1\nexposure_slack = 50\n"
        f'[platform]\naddr = "127.0.0.1:{kv.port}"\n'
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "berylspindle_adapter.main",
        f"127.0.0.1:{front}",
        env={**os.environ, "BERYLSPINDLE_NODE_FILE": str(path)},
        stdout=(folder / f"{name}.jsonl").open("wb"),
        cwd=folder,
    )
    stack.push_async_callback(_kill, process)
    clients = [HttpClient("127.0.0.1", port, limit=20) for port in (front, ready)]
    for client in clients:
        await stack.enter_async_context(client)
    return process, clients[0], clients[1], control


@asynccontextmanager
async def open_platform(folder: Path) -> AsyncIterator[Platform]:
    async with AsyncExitStack() as stack:
        kv = await stack.enter_async_context(open_kv())
        replicas = {}
        for service in (*SHARDS, "booking"):
            for number in range(2):
                replica = await start_replica(f"i-{service}-{number}", service, dialect=DIALECT)
                stack.push_async_callback(replica.close)
                replicas[replica.id] = replica
        kv.put("op/config", configuration(1))
        process, client, ready, control = await start_vm(stack, kv, folder, "front-1")
        platform = Platform(
            kv=kv,
            process=process,
            client=client,
            ready=ready,
            replicas=replicas,
            stack=stack,
            folder=folder,
            control=control,
        )
        for replica in replicas.values():
            platform.announce(replica)
        yield platform


async def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
        await process.wait()


async def test_requests_are_forwarded_and_operator_changes_take_effect(
    tmp_path: Path,
) -> None:
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        response = await platform.request("/lots/1")
        bodies = {shard: answer_body(shard, "/lots/1") for shard in SHARDS}
        assert response.status == 200
        assert response.body == top_records(bodies.values(), 5)
        assert set(response.headers["part-stamps"].split(", ")) == {
            signature_of(shard, "id-1", body) for shard, body in bodies.items()
        }
        assert (await platform.request("/booking/1", "POST", b"{}")).status == 200
        leaving = platform.replicas["i-booking-0"]
        platform.announce(leaving, state="draining")
        platform.kv.put("servers/i-broken", b"\xff\x00")
        platform.drop_merged_route()
        async with asyncio.timeout(5):
            while (await platform.request("/lots/2")).status != 404:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        before = leaving.counts.arrivals
        for _ in range(10):
            assert (await platform.request("/booking/2", "POST", b"{}")).status == 200
        assert leaving.counts.arrivals == before


async def test_vm_serves_during_a_store_outage_and_catches_up_after_it(
    tmp_path: Path,
) -> None:
    """Guard against a VM that drops its routes or replicas when the store is unreachable."""
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        platform.kv.outage = "reset"
        platform.kv.reset_connections()
        await asyncio.sleep(0.3)
        assert (await platform.request("/lots/1")).status == 200
        # Leases of live replicas expire during the outage; the replicas announce themselves again.
        for replica in platform.replicas.values():
            platform.kv.remove(f"servers/{replica.id}")
        platform.kv.compact_history()
        platform.kv.outage = ""
        await asyncio.sleep(0.8)
        for number in range(5):
            assert (await platform.request(f"/lots/{number}")).status == 200
        for replica in platform.replicas.values():
            if replica.service != "booking":
                platform.announce(replica)
        await asyncio.sleep(3.5)
        assert (await platform.request("/lots/9")).status == 200
        # The booking replicas were not announced again in time and are removed.
        assert (await platform.request("/booking/9", "POST", b"{}")).status == 503


async def test_vm_started_during_a_store_outage_loads_from_its_peers(
    tmp_path: Path,
) -> None:
    """Guard against a VM replaced during a store outage that cannot serve until the outage ends."""
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        platform.kv.outage = "reset"
        platform.kv.reset_connections()
        _, client, ready, _ = await start_vm(
            platform.stack, platform.kv, tmp_path, "front-2", seeds=(platform.control,)
        )
        platform.client, platform.ready = client, ready
        await platform.until_ready()
        assert (await platform.request("/lots/1")).status == 200
        platform.kv.outage = ""
        platform.drop_merged_route()
        async with asyncio.timeout(8):
            while (await platform.request("/lots/2")).status != 404:  # noqa: ASYNC110
                await asyncio.sleep(0.05)


async def test_vm_rejected_by_the_store_follows_its_peers(tmp_path: Path) -> None:
    """Guard against a VM that keeps old routes while its peers apply the operator's changes.

    The store rejects calls of this VM only; a second stand-in on another port does so here.
    """
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        rejecting_kv = KvStandin(rev=platform.kv.rev, items=platform.kv.items)
        server = await asyncio.start_server(rejecting_kv.serve, "127.0.0.1", 0)
        rejecting_kv.port = server.sockets[0].getsockname()[1]
        rejecting_kv.outage = "503"
        _, client, ready, _ = await start_vm(
            platform.stack, rejecting_kv, tmp_path, "front-2", seeds=(platform.control,)
        )
        platform.client, platform.ready = client, ready
        await platform.until_ready()
        assert (await platform.request("/lots/1")).status == 200
        platform.drop_merged_route()
        async with asyncio.timeout(5):
            while (await platform.request("/lots/2")).status != 404:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        server.close()


async def test_replica_that_drains_after_the_store_returned_from_a_copy_gets_no_requests(
    tmp_path: Path,
) -> None:
    """Guard against requests to a replica whose announcement has a lower revision than before."""
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        copy = platform.kv.copy()
        await platform.lose_changes(copy)
        platform.announce_all()
        await asyncio.wait_for(platform.kv.until_watched(), WATCH_TIMEOUT_S)
        for number in range(2):
            platform.replicas[f"i-booking-{number}"].behaviour.service_time_s = 0.05
        leaving = platform.replicas["i-booking-0"]
        platform.announce(leaving, state="draining")
        await asyncio.sleep(DRAIN_S)
        arrivals = leaving.counts.arrivals
        responses = await asyncio.gather(*(platform.request(f"/booking/{n}") for n in range(12)))
        assert {response.status for response in responses} == {200}
        assert leaving.counts.arrivals == arrivals


async def until_route_is_dropped(platform: Platform, *clients: HttpClient) -> None:
    """Wait until all VMs answer requests of the route that version 2 drops with 404."""
    async with asyncio.timeout(CONFIG_APPLY_S):
        for platform.client in clients:
            while (await platform.request("/lots/2")).status != 404:  # noqa: ASYNC110
                await asyncio.sleep(0.05)


async def test_configuration_written_after_the_store_returned_from_a_copy_is_in_force(
    tmp_path: Path,
) -> None:
    """Guard against VMs that keep an old table: one follows the store, one a mirror."""
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        copy = platform.kv.copy()
        _, follower, ready, _ = await start_vm(
            platform.stack, platform.kv, tmp_path, "front-2", seeds=(platform.control,)
        )
        first, platform.ready = platform.client, ready
        await platform.until_ready()
        await platform.lose_changes(copy)
        await asyncio.wait_for(platform.kv.until_watched(), WATCH_TIMEOUT_S)
        platform.drop_merged_route()
        await until_route_is_dropped(platform, first, follower)


async def test_configuration_is_in_force_if_the_revision_watched_was_given_out_again(
    tmp_path: Path,
) -> None:
    """Guard against a watch that continues in another history and misses what was before."""
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        copy = platform.kv.copy()
        platform.announce(platform.replicas["i-s1-0"])
        await asyncio.wait_for(platform.kv.until_watched(), WATCH_TIMEOUT_S)
        platform.kv.outage = "reset"
        platform.kv.restore(copy)
        platform.drop_merged_route()
        platform.announce_all()
        platform.kv.outage = ""
        await until_route_is_dropped(platform, platform.client)


async def test_shutdown_ends_within_its_grace_period_while_the_store_is_silent(
    tmp_path: Path,
) -> None:
    """Guard against a process that waits for the store during shutdown until it is killed."""
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        async with asyncio.timeout(10):
            while not any("/vms/" in key for key in platform.kv.items):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        for replica in platform.replicas.values():
            replica.behaviour.service_time_s = 30.0
        platform.kv.outage = "silent"
        platform.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(GRACE_S):
            await asyncio.sleep(1.2)
            pending = asyncio.create_task(platform.request("/lots/1"))
            assert await platform.process.wait() == 0
        await asyncio.gather(pending, return_exceptions=True)


async def test_on_sigterm_vm_is_unready_at_once_and_serves_until_it_closes(
    tmp_path: Path,
) -> None:
    """Guard against errors for callers while a VM is replaced."""
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        for replica in platform.replicas.values():
            replica.behaviour.service_time_s = 0.05
        responses: list[HttpResponse] = []
        failures: list[HttpFailure] = []

        async def send_until_stopped() -> None:
            while platform.process.returncode is None:
                try:
                    responses.append(await platform.request("/lots/1"))
                except HttpFailure as failure:
                    failures.append(failure)
                    return

        senders = [asyncio.create_task(send_until_stopped()) for _ in range(6)]
        await asyncio.sleep(0.2)
        platform.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        assert not await platform.is_ready()
        await asyncio.gather(*senders)
        assert await asyncio.wait_for(platform.process.wait(), 6) == 0
        # Once the port is closed, connections are refused before a request is sent.
        assert {failure.phase for failure in failures} == {FailurePhase.NOT_SENT}
        assert {response.status for response in responses} == {200}
        assert len(responses) > 20
