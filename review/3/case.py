"""A node loses its process right after a change of the configuration, and starts again."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True

from standins.fleet import (  # noqa: E402
    BOUNDS,
    FRONT,
    STORE,
    CannotRun,
    Machine,
    Record,
    clean_up_on_sigterm,
    loopback_network,
    new_id,
    send,
)
from standins.replica import Replica  # noqa: E402
from standins.store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("zone-a", "zone-b")
HOST = "leno12.example"
OLD, NEW = "freight-book", "invoice-run"
LAGS_S = (3.0, 0.2)
RESTART_S = 1.0
JUDGED_S = 10.0
CONTACT_S = BOUNDS["contact_ms"] / 1000
APPLY_S = BOUNDS["config_apply_ms"] / 1000


def configuration(version: int, booking: str) -> dict[str, object]:
    shards = [f"desk-{number}" for number in range(10)]
    search = {"host": HOST, "kind": "idempotent", "priority": 1, "attempts": 2}
    return {
        "version": version,
        "routes": [
            search | {"name": "r-1", "prefix": "/rany330/", "timeout_ms": 1200, "gather": shards,
                      "target_latency_ms": 144, "top_k": 20, "min_version": 0.89},
            search | {"name": "r-2", "prefix": "/goka902/", "timeout_ms": 5000,
                      "target_latency_ms": 500, "service": booking},
        ],
        "services": [
            {"name": name, "health_path": "/health", "max_conns": conns, "protocol": "h1",
             "tls": False, "warmup_s": 3.0, "warmup_per_s": 0.0}
            for name, conns in [*((shard, 31) for shard in shards), (OLD, 110), (NEW, 110)]
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


def replicas_of(record: Record, ran: dict[str, str]) -> list[Replica]:
    def on_run(replica: Replica, request_id: str, target: str) -> None:
        ran[request_id] = replica.service

    counts = [*((f"desk-{n}", 3, 3) for n in range(10)), (OLD, 13, 2), (NEW, 7, 2)]
    made = []
    for service, count, slots in counts:
        for number in range(count):
            made.append(
                Replica(f"i-{random.getrandbits(31):08x}", service, ZONES[number % 2], slots=slots,
                        on_run=on_run, max_conns=110 if slots == 2 else 31)
            )
    return made


async def play(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule held."""
    network, ran = loopback_network(), {}
    store = Store(lags_s=LAGS_S, record=record)
    await store.start(f"{network}.9", STORE)
    replicas = replicas_of(record, ran)
    # The id sorts after those of the others, as one of fifty random ids does.
    joining = Replica("i-ffa1c3d2", "desk-3", ZONES[1], slots=3)
    for replica in (*replicas, joining):
        await replica.start(f"{network}.8")
    machines: list[Machine] = []
    seeds = [f"{network}.1:8224", f"{network}.3:8224"]
    for number, zone in enumerate((ZONES[0], ZONES[0], ZONES[1], ZONES[1]), 1):
        machines.append(Machine(f"front-{zone}-{number}", zone, f"{network}.{number}",
                                store.address, seeds, folder, record, ZONES))
    try:
        first = store.put("op/config", configuration(7, OLD))
        for replica in replicas:
            store.put(f"servers/{replica.id}", replica.entry())
        record("operator: configuration 7 acknowledged", rev=first, route="/goka902/", service=OLD)
        await asyncio.sleep(max(LAGS_S) + 1)
        for machine in machines:
            await machine.start(bootstrap=True)
        for machine in machines:
            await machine.until_ready(20)
        await asyncio.sleep(12)
        return await change_and_judge(record, store, machines, joining, ran)
    finally:
        for machine in machines:
            await machine.kill()
        for replica in (*replicas, joining):
            await replica.close()
        await store.close()


async def change_and_judge(
    record: Record, store: Store, machines: list[Machine], joining: Replica, ran: dict[str, str]
) -> bool:
    victim = machines[0]
    for machine in machines:
        await ask(record, machine, ran, "before the change")
    rev = store.put("op/config", configuration(12, NEW))
    acknowledged = time.monotonic()
    record("operator: configuration 12 acknowledged", rev=rev, route="/goka902/", service=NEW)
    if TROUBLE:
        await victim.kill()
    await asyncio.sleep(0.3)
    rev = store.put(f"servers/{joining.id}", joining.entry())
    record("replica registers", id=joining.id, service=joining.service, rev=rev)
    await asyncio.sleep(RESTART_S - 0.3)
    if TROUBLE:
        await victim.start(bootstrap=False)
        await victim.until_ready(20)
    # In touch: the processes ran for all of contact_ms.
    judged_from = max(acknowledged + APPLY_S, victim.started + CONTACT_S) + 0.5
    await asyncio.sleep(max(0.0, judged_from - time.monotonic()))
    old, new, other = 0, 0, 0
    until = time.monotonic() + JUDGED_S
    while time.monotonic() < until:
        for machine in machines:
            service = await ask(record, machine, ran, "judged")
            old += service == OLD
            new += service == NEW
            other += service not in (OLD, NEW)
        await asyncio.sleep(0.2)
    record("result", after_ack_s=f"{judged_from - acknowledged:.1f}", run_by_old_service=old,
           run_by_new_service=new, not_run=other)
    print(f"judged requests: {old} run by the old service, {new} by the new one, {other} not run")
    if new == 0:
        raise CannotRun("no request was run by the new service")
    return old == 0


async def ask(record: Record, machine: Machine, ran: dict[str, str], when: str) -> str:
    """Send one booking request to a machine, and return the service that ran it."""
    request_id = new_id()
    headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "5000"}
    try:
        async with asyncio.timeout(5):
            status, answer, _ = await send(machine.ip, FRONT, "GET", "/goka902/2f", headers)
    except (OSError, asyncio.IncompleteReadError) as error:
        record("request", when=when, node=machine.name, id=request_id, failed=repr(error))
        return ""
    service = ran.get(request_id, "")
    record("request", when=when, node=machine.name, id=request_id, status=status,
           stamp=answer.get("server-stamp", ""), run_by=service or "nobody")
    return service


async def main() -> int:
    record = Record(HERE / "record.txt")
    record("case", trouble=int(TROUBLE), stale_lags_s=LAGS_S, page=50)
    try:
        with tempfile.TemporaryDirectory() as folder:
            async with asyncio.timeout(100):
                held = await play(record, Path(folder))
    except (CannotRun, OSError, TimeoutError) as error:
        record("cannot run", reason=repr(error))
        print(f"cannot run: {error!r}")
        return 2
    finally:
        record.close()
    print("the rule held" if held else "the rule was broken: CONFIG")
    return 0 if held else 1


clean_up_on_sigterm()
sys.exit(asyncio.run(main()))
