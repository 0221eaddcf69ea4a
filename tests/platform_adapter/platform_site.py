"""Share test fixtures: daemons as separate processes, between stand-ins for the platform."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import attrs
from free_ports import free_ports
from kv_standin import Copy, KvStandin, open_kv

from berylspindle_adapter.wire_names import DIALECT
from berylspindle_standins.forward_replica import (
    ForwardReplica,
    start_replica,
)
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import HttpResponse
from berylspindle_wire.http_client import HttpFailure

HOST = "lots.example"
SHARDS = ("s1", "s2", "s3")
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
    stack: AsyncExitStack,
    kv: KvStandin,
    folder: Path,
    name: str,
    seeds: tuple[int, ...] = (),
    bounds: str = "",
) -> tuple[asyncio.subprocess.Process, HttpClient, HttpClient, int]:
    """Start one VM; `bounds` are lines that are added to the bounds of its settings.

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
        f"[bounds]\ngrace_s = 5\nbudget_slack = 60\nexposure = 0.1\nexposure_slack = 50\n{bounds}\n"
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
async def open_platform(folder: Path, bounds: str = "") -> AsyncIterator[Platform]:
    async with AsyncExitStack() as stack:
        kv = await stack.enter_async_context(open_kv())
        replicas = {}
        for service in (*SHARDS, "booking"):
            for number in range(2):
                replica = await start_replica(f"i-{service}-{number}", service, dialect=DIALECT)
                stack.push_async_callback(replica.close)
                replicas[replica.id] = replica
        kv.put("op/config", configuration(1))
        process, client, ready, control = await start_vm(
            stack, kv, folder, "front-1", bounds=bounds
        )
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
