"""A replica that is full rejects requests, and some of its answers are followed by a late copy."""

from __future__ import annotations

import asyncio
import math
import os
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True

from standins.fleet import (  # noqa: E402
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
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
HOST = "hufi27.example"
SERVICE = "sorting-desk"
REPLICAS = ((SERVICE, 1), ("coop-reports", 2))
SLOTS, QUEUE, MAX_CONNS = 2, 2, 26
RATE, WORK_S, LOAD_S = 45.0, 0.03, 46.0
# The fault: the replica sends a late copy of 3 in 100 of its answers, five seconds long, again and
# again once the budget of retries has its full size.
COPIED_SHARE, COPY_AFTER_S = 0.03, (0.03, 0.06)
BEGIN_S, EVERY_S, FOR_S = 10.0, 6.0, 5.0


def configuration() -> dict[str, object]:
    return {
        "version": 7,
        "routes": [
            {"name": "r-1", "host": HOST, "prefix": "/goka902/", "kind": "non_idempotent",
             "timeout_ms": 4000, "target_latency_ms": 346, "priority": 2, "attempts": 2,
             "service": SERVICE},
        ],
        "services": [
            {"name": name, "health_path": "/health", "max_conns": MAX_CONNS, "protocol": "h1",
             "tls": False, "warmup_s": 3.0, "warmup_per_s": 0.0}
            for name, _ in REPLICAS
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


class Copies:
    """Decide which answers of a faulty replica are followed by a copy: rejections, as far as all
    copies together stay within the share of its answers."""

    def __init__(self) -> None:
        self.began = math.inf
        self.answers = self.sent = 0

    def __call__(self, status: int) -> float | None:
        into = time.monotonic() - self.began - BEGIN_S
        if not TROUBLE or into < 0 or into % EVERY_S >= FOR_S:
            return None
        self.answers += 1
        if status != 503 or self.sent + 1 > COPIED_SHARE * self.answers:
            return None
        self.sent += 1
        return random.uniform(*COPY_AFTER_S)


async def play(record: Record, folder: Path) -> bool:
    network, copies = loopback_network(), Copies()
    store = Store(record=record)
    await store.start(f"{network}.9", STORE)

    def on_run(replica: Replica, request_id: str, target: str) -> None:
        record("run", id=request_id, replica=replica.id)

    def on_answer(replica: Replica, connection: int, request_id: str, status: int,
                  delay: float | None) -> None:
        copy = "-" if delay is None else f"{delay:.3f}"
        record("replica answers", id=request_id, replica=replica.id, connection=connection,
               status=status, copy_after_s=copy)

    replicas = [
        Replica(f"i-{random.getrandbits(32):08x}", service, ZONES[number], slots=SLOTS,
                queue=QUEUE, work_s=lambda: random.uniform(0.6, 1.4) * WORK_S, on_run=on_run,
                on_answer=on_answer, max_conns=MAX_CONNS)
        for service, count in REPLICAS
        for number in range(count)
    ]
    replicas[0].copy_after = copies
    for replica in replicas:
        await replica.start(f"{network}.10")
    seeds = [f"{network}.1:8224", f"{network}.3:8224"]
    machines = [
        Machine(f"front-{zone}-{number}", zone, f"{network}.{number}", store.address, seeds,
                folder, record, ZONES)
        for number, zone in enumerate((*ZONES, *ZONES), 1)
    ]
    try:
        store.put("op/config", configuration())
        for replica in replicas:
            store.put(f"servers/{replica.id}", replica.entry())
        for machine in machines:
            await machine.start(bootstrap=True)
        for machine in machines:
            await machine.until_ready(20)
        await asyncio.sleep(5)
        return await load_and_judge(record, machines, replicas, copies)
    finally:
        for machine in machines:
            await machine.kill()
        for replica in replicas:
            await replica.close()
        await store.close()


async def load_and_judge(
    record: Record, machines: list[Machine], replicas: list[Replica], copies: Copies
) -> bool:
    answers: dict[str, int] = {}
    tasks: list[asyncio.Task[None]] = []
    began = copies.began = time.monotonic()
    while time.monotonic() < began + LOAD_S:
        machine = random.choice(machines)
        tasks.append(asyncio.create_task(post(record, machine, answers)))
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.gather(*tasks)
    runs: Counter[str] = Counter()
    for replica in replicas:
        runs += replica.runs
    twice = {name: count for name, count in runs.items() if count > 1}
    refused = {name for name, status in answers.items()
               if status in (408, 421, 429, 503) and runs[name]}
    rejected = sum(sum(replica.rejected.values()) for replica in replicas)
    statuses = Counter(answers.values())
    for name in sorted(twice):
        record("ran twice", id=name, runs=twice[name], answered=answers.get(name, 0))
    for name in sorted(refused):
        record("refused and has run", id=name, runs=runs[name], answered=answers[name])
    record("result", requests=len(tasks), answers=dict(statuses), rejected=rejected,
           copies=copies.sent, answers_of_faulty=copies.answers, twice=len(twice), refused_and_run=len(refused))
    print(f"{len(tasks)} requests, answers {dict(statuses)}, {rejected} rejections, "
          f"{copies.sent} copies: {len(twice)} ran twice, {len(refused)} refused and ran")
    return not twice and not refused


async def post(record: Record, machine: Machine, answers: dict[str, int]) -> None:
    request_id = new_id()
    headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "4000"}
    record("request", id=request_id, node=machine.name)
    try:
        async with asyncio.timeout(5):
            status, _, _ = await send(machine.ip, FRONT, "POST", "/goka902/2f", headers, b"{}")
    except (OSError, asyncio.IncompleteReadError) as error:
        record("answer", id=request_id, failed=repr(error))
        return
    answers[request_id] = status
    record("answer", id=request_id, status=status)


async def main() -> int:
    record = Record(HERE / "record.txt")
    record("case", trouble=int(TROUBLE), share=COPIED_SHARE,
           copy_after_s=COPY_AFTER_S, every_s=EVERY_S, for_s=FOR_S)
    try:
        with tempfile.TemporaryDirectory() as folder:
            async with asyncio.timeout(110):
                held = await play(record, Path(folder))
    except (CannotRun, OSError, TimeoutError) as error:
        record("cannot run", reason=repr(error))
        print(f"cannot run: {error!r}")
        return 2
    finally:
        record.close()
    print("the rule held" if held else "the rule was broken: TWICE")
    return 0 if held else 1


clean_up_on_sigterm()
sys.exit(asyncio.run(main()))
