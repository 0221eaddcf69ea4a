"""Quotas that several daemons hold together, as separate processes."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

from platform_site import HOST, configuration, open_platform, start_vm

from berylspindle_decisions.quota_limits import QuotaBounds
from berylspindle_model import codec
from berylspindle_model.quota_status import QuotaStatus
from berylspindle_wire.client import HttpClient

BOUNDS = QuotaBounds(window_s=2.0, overshoot=0.0, slack=10.0)
SETTINGS = "quota_window_s = 2\nquota_overshoot = 0\nquota_slack = 10"
RATE = BURST = 10.0
TENANT = {"name": "acme", "api_keys": ["s3cr3t"], "rate_per_s": RATE, "burst": BURST}
LOAD_S = 4.0


async def ask(client: HttpClient) -> int:
    headers = {"host": HOST, "deadline-ms": "4000", "authorization": "Bearer s3cr3t"}
    return (await client.request("GET", "/booking/1", headers=headers, timeout=10)).status


async def test_processes_hold_a_limit_together(tmp_path: Path) -> None:
    """Guard against processes that each grant the whole limit, or that never find an owner."""
    async with open_platform(tmp_path, SETTINGS) as platform:
        platform.kv.put("op/config", configuration(2, tenants=[TENANT]))
        seeds = (platform.control,)
        clients, controls = [platform.client], [platform.control]
        for name in ("front-2", "front-3"):
            _, client, _, control = await start_vm(
                platform.stack, platform.kv, tmp_path, name, seeds, SETTINGS
            )
            clients.append(client)
            controls.append(control)
        await platform.until_ready()
        # New VMs are announced after some seconds, and own organisations after some more.
        async with asyncio.timeout(30):
            for client in clients:
                while await ask(client) != 200:  # noqa: ASYNC110
                    await asyncio.sleep(0.2)
        before = sum(replica.counts.arrivals for replica in platform.replicas.values())
        results = Counter[int]()
        for _ in range(int(LOAD_S / 0.1)):
            results.update(await asyncio.gather(*map(ask, clients * 2)))
            await asyncio.sleep(0.1)
        after = sum(replica.counts.arrivals for replica in platform.replicas.values())
        windows = LOAD_S * 1.5 / BOUNDS.window_s
        assert after - before <= windows * BOUNDS.allowed(RATE, BURST)
        assert results[429] >= 1
        # The owner is fresh, and lends 0.6 of the rate.
        assert results[200] >= 0.4 * RATE * LOAD_S
        statuses = [await read_status(control) for control in controls]
        assert len({status.organisations[0].owner for status in statuses}) == 1
        assert sum(status.organisations[0].admitted for status in statuses) >= results[200]


async def read_status(control: int) -> QuotaStatus:
    async with HttpClient("127.0.0.1", control) as client:
        return codec.from_json((await client.get("/quota/1/status")).body, QuotaStatus)
