"""A front is stopped by SIGTERM while replicas work on requests that must not be repeated."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
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
HOST = "hufi27.example"
SERVICE = "freight-book"
REPLICAS, SLOTS = 13, 2
DEADLINE_S = 5.0
WORK_S = (3.7, 4.4)
INTERVAL_S = 0.6
BALANCER_S = 2.0
"""The balancer asks once a second and takes a node out after two misses."""
AFTER_S = 8.0


def configuration() -> dict[str, object]:
    return {
        "version": 7,
        "routes": [
            {"name": "r-1", "host": HOST, "prefix": "/goka902/", "kind": "non_idempotent",
             "timeout_ms": int(DEADLINE_S * 1000), "target_latency_ms": 4500, "priority": 2,
             "attempts": 2, "service": SERVICE},
        ],
        "services": [
            {"name": SERVICE, "health_path": "/health", "max_conns": 110, "protocol": "h1",
             "tls": False, "warmup_s": 3.0, "warmup_per_s": 0.0},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


async def play(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule held."""
    network = loopback_network()
    store = Store(record=record)
    await store.start(f"{network}.9", STORE)
    began: dict[str, float] = {}

    def on_run(replica: Replica, request_id: str, target: str) -> None:
        began[request_id] = time.monotonic()
        record("run", id=request_id, replica=replica.id, job=target)

    def on_answer(replica: Replica, connection: int, request_id: str, status: int,
                  delay: float | None) -> None:
        record("replica answers", id=request_id, replica=replica.id, status=status)

    replicas = [
        Replica(f"i-{random.getrandbits(32):08x}", SERVICE, ZONES[number % 2], slots=SLOTS,
                queue=4, work_s=lambda: random.uniform(*WORK_S), on_run=on_run,
                on_answer=on_answer, max_conns=110)
        for number in range(REPLICAS)
    ]
    for replica in replicas:
        await replica.start(f"{network}.8")
    seeds = [f"{network}.1:8224", f"{network}.3:8224"]
    machines = [
        Machine(f"front-{zone}-{number}", zone, f"{network}.{number}", store.address, seeds,
                folder, record, ZONES)
        for number, zone in enumerate((ZONES[0], ZONES[0], ZONES[1], ZONES[1]), 1)
    ]
    try:
        store.put("op/config", configuration())
        for replica in replicas:
            store.put(f"servers/{replica.id}", replica.entry())
        for machine in machines:
            await machine.start(bootstrap=True)
        for machine in machines:
            await machine.until_ready(20)
        await asyncio.sleep(10)
        return await stop_and_judge(record, machines, began)
    finally:
        for machine in machines:
            await machine.kill()
        for replica in replicas:
            await replica.close()
        await store.close()


async def stop_and_judge(
    record: Record, machines: list[Machine], began: dict[str, float]
) -> bool:
    """Send jobs all the time; stop the first front, and send to the others once it is out."""
    victim, others = machines[0], machines[1:]
    answers: dict[str, int] = {}
    tasks: list[asyncio.Task[None]] = []
    stopped_at = time.monotonic() + 6.0
    until, is_stopped, number = stopped_at + AFTER_S, False, 0
    while (now := time.monotonic()) < until:
        if now >= stopped_at and not is_stopped and TROUBLE:
            assert victim.process is not None
            victim.process.send_signal(signal.SIGTERM)
            record("SIGTERM", node=victim.name)
        is_stopped = now >= stopped_at
        out = TROUBLE and now >= stopped_at + BALANCER_S
        targets = [random.choice(others) if out else victim]
        if number % 3 == 0:
            targets.append(random.choice(others))
        for machine in targets:
            number += 1
            name = f"job-{number}"
            tasks.append(asyncio.create_task(job(record, machine, others, name, answers)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    broken = [name for name, status in answers.items()
              if status in (408, 421, 429, 503) and name in began]
    for name in broken:
        record("refused and has run", id=name, answered=answers[name])
    statuses = Counter(answers.values())
    if TROUBLE and victim.process is not None:
        record("stopped", node=victim.name, exit=victim.process.returncode)
    record("result", requests=len(answers), answers=dict(statuses), refused_and_run=len(broken))
    print(f"{len(answers)} requests, answers {dict(statuses)}: {len(broken)} refused and ran")
    return not broken


async def job(
    record: Record, machine: Machine, others: list[Machine], name: str, answers: dict[str, int]
) -> None:
    """Send one job; after a promise that it has not run, repeat it once, as clients do."""
    began = time.monotonic()
    status = await post(record, machine, name, answers, DEADLINE_S)
    left = DEADLINE_S - (time.monotonic() - began)
    if status in (429, 503) and left > 0.2:
        await post(record, random.choice(others), name, answers, left)


async def post(
    record: Record, machine: Machine, name: str, answers: dict[str, int], left: float
) -> int:
    request_id = new_id()
    headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(int(left * 1000))}
    record("request", id=request_id, node=machine.name, job=name)
    try:
        async with asyncio.timeout(left + 1):
            status, answer, _ = await send(machine.ip, FRONT, "POST", f"/goka902/{name}", headers,
                                           b"{}")
    except (OSError, asyncio.IncompleteReadError) as error:
        record("answer", id=request_id, job=name, failed=repr(error))
        return 0
    answers[request_id] = status
    record("answer", id=request_id, job=name, status=status,
           retry_after=answer.get("retry-after", "-"), stamp=answer.get("server-stamp", "-"))
    return status


async def main() -> int:
    record = Record(HERE / "record.txt")
    record("case", trouble=int(TROUBLE), work_s=WORK_S, deadline_s=DEADLINE_S,
           grace_s=BOUNDS["grace_s"])
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
    print("the rule held" if held else "the rule was broken: REFUSED")
    return 0 if held else 1


clean_up_on_sigterm()
sys.exit(asyncio.run(main()))
