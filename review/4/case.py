"""Case 4: one entry of another writer stops all machines from following the store."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "target" / "review-2"))
try:
    from small_site import ZONES, Site, configuration, route, run_case
except ImportError:
    sys.exit(2)

HOST = "lots.example"
LEVELS = 2000
"""Heartbeats of the other writer: 40 minutes at one each 1.2 s."""


def nested_entry(levels: int) -> bytes:
    """Return the entry of a writer that keeps its last entry in each new one."""
    head = json.dumps({"service": "agent", "sequence": 1})[:-1] + ', "last": '
    return (head * levels + "null" + "}" * levels).encode()


async def case(site: Site, trouble: bool) -> bool:
    for number, zone in enumerate(ZONES[:3]):
        await site.add_replica(f"i-old-{number}", "old-desk", zone)
        await site.add_replica(f"i-new-{number}", "new-desk", zone)
    first = [route("moved", "/lots/", service="old-desk"), route("dropped", "/gone/", service="old-desk")]
    site.put_config(configuration(3, first))
    await site.start()
    await asyncio.sleep(5.0)

    count = 0

    async def ask_all(label: str) -> list[tuple[str, str, str, int]]:
        """Send each route's request to each machine; return who ran it and the status."""
        nonlocal count
        seen = []
        for daemon in site.daemons:
            for target in ("/lots/7", "/gone/7"):
                count += 1
                request = f"{label}{count}"
                status, _, _ = await site.ask(daemon, request, HOST, target)
                services = {
                    replica.service
                    for replica in site.replicas.values()
                    for _, run, _, _ in replica.runs
                    if run == request
                }
                seen.append((daemon.name, target, ",".join(sorted(services)), status))
        return seen

    before = await ask_all("before-")
    if any(service != "old-desk" or status != 200 for _, _, service, status in before):
        site.record.note("the first version is not served")
        raise OSError("the first version is not served")

    if trouble:
        value = nested_entry(LEVELS)
        site.store.put("servers/agent-1", value)
        site.record.note(f"another writer writes servers/agent-1, {len(value)} bytes")
    await asyncio.sleep(5.0)

    site.put_config(configuration(8, [route("moved", "/lots/", service="new-desk")]))
    await asyncio.sleep(3.0 + 1.0)
    after = await ask_all("after-")
    stale = [one for one in after if one[2] == "old-desk"]
    for name, target, service, status in after:
        site.record.note(f"{name} {target}: run by {service or 'nobody'}, status {status}")
    site.record.note(
        f"{len(stale)} of {len(after)} requests later than config_apply_ms after version 8 were"
        f" handled as only version 3 allows, at {len({one[0] for one in stale})} of"
        f" {len(site.daemons)} machines"
    )

    leaving = site.replicas["i-old-0"], site.replicas["i-new-0"]
    for replica in leaving:
        replica.draining = True
        replica.register()
        site.record.note(f"replica {replica.name} reports draining")
    await asyncio.sleep(3.0 + 1.0)
    drained_from = site.record.now()
    for _ in range(3):
        await ask_all("drained-")
    late = sum(at >= drained_from for one in leaving for at, _, _, _ in one.runs)
    site.record.note(f"{late} requests reached a replica later than drain_ms after it was draining")

    daemon = site.daemons[-1]
    await daemon.end()
    await daemon.start(bootstrap=False)
    ready = False
    for _ in range(100):
        ready = ready or await daemon.is_ready()
        if ready:
            break
        await asyncio.sleep(0.1)
    site.record.note(f"{daemon.name} was killed and started again; ready within 10 s: {ready}")
    return not stale


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
