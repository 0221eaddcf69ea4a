"""Run a deployment with injected faults and check its history, once or for many plans.

Terms:
  run        one lifetime of a small deployment with callers and faults, and its verdict
  campaign   each fault alone with several seeds, and each pair of faults with fewer

Flow: `run_once` starts the cluster, runs callers and faults, clears all faults, collects the
history, stops the daemons with SIGTERM and runs the checkers. `run_many` executes plans with
limited concurrency.
"""

from __future__ import annotations

import asyncio
import itertools
import shutil
import signal
import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Final

import attrs

from berylspindle_bench.cluster import HOST, Cluster, start_cluster
from berylspindle_bench.history_checks import Violation
from berylspindle_bench.history_faults import (
    SERVER_FAULTS,
    STORE_FAULTS,
    Fault,
    FaultContext,
    FaultFactory,
)
from berylspindle_bench.history_lives import LifeRecorder
from berylspindle_bench.history_recorder import Recorder
from berylspindle_bench.history_records import History, OutcomeKind, write_history
from berylspindle_bench.history_verdict import judge
from berylspindle_bench.history_vm_faults import VM_FAULTS
from berylspindle_controlplane.documents import CONFIGURATION_KEY
from berylspindle_model import codec
from berylspindle_model.configuration import Configuration
from berylspindle_model.configuration_codec import from_stored
from berylspindle_standins.backend_faults import FaultChange
from berylspindle_standins.backend_standin import CALLS_PATH
from berylspindle_standins.call_log import CallsDocument, LoggedStep
from berylspindle_standins.platform_faults import PlatformChange
from berylspindle_store.http_store import open_store
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import HttpLimits

FAULTS: Final[dict[str, FaultFactory]] = {**SERVER_FAULTS, **STORE_FAULTS, **VM_FAULTS}
# Halves the times of leases and probes, so that leases expire and get new holders within a run.
SETTINGS: Final = {"BERYLSPINDLE_UNREADY_SECONDS": "0.2", "BERYLSPINDLE_CONTROL_PACE": "0.5"}
BACKEND_FLAGS: Final = ("--warm-after=10", "--restart-ms=400")
SEEDS_PER_FAULT: Final = 20
SEEDS_PER_PAIR: Final = 3
_SETTLE_SECONDS: Final = 0.5
# Exceeds the number of ports of any cluster.
_MIN_PORT_DISTANCE: Final = 1000
# Exceeds the 20 s grace period of a daemon. A daemon that takes longer is killed, which its exit
# code shows.
_STOP_SECONDS: Final = 25.0
_CALLS_LIMITS: Final = HttpLimits(body_bytes=64 * 1024 * 1024)


@attrs.frozen(kw_only=True)
class RunPlan:
    """The faults and the seed of one run."""

    seed: int
    faults: tuple[str, ...]

    @property
    def name(self) -> str:
        """Return a name for folders and tables."""
        return f"{'+'.join(self.faults) or 'none'}-{self.seed}"

    @property
    def command(self) -> str:
        """Return the command that repeats the run."""
        return f'make history SEED={self.seed} FAULTS="{",".join(self.faults)}"'


@attrs.frozen(kw_only=True)
class Verdict:
    """The result of one run."""

    plan: RunPlan
    violations: tuple[Violation, ...]
    history: History
    seconds: float

    @property
    def answered(self) -> int:
        """Return the number of tries that got an answer."""
        return sum(one.told is OutcomeKind.ANSWER for one in self.history.tries)


@attrs.frozen(kw_only=True)
class NotRun:
    """A run that failed to execute, and why."""

    plan: RunPlan
    reason: str


async def run_once(
    plan: RunPlan, out: Path | None = None, *, ports: Ports | None = None
) -> Verdict:
    """Execute one run; if `out` is given, write a history with violations there.

    `ports` keeps concurrent clusters of one process from using the same ports.
    """
    started = time.monotonic()
    folder = Path(tempfile.mkdtemp(prefix="berylspindle-history-"))
    taken = ports if ports is not None else Ports()
    cluster = taken.reserve(folder)
    try:
        async with cluster:
            history = await _record(cluster, plan)
    finally:
        taken.release(cluster)
    verdict = Verdict(
        plan=plan,
        violations=judge(history),
        history=history,
        seconds=time.monotonic() - started,
    )
    if verdict.violations and out is not None:
        target = out / plan.name
        write_history(history, target / "history.jsonl")
        stories = "\n\n".join(map(str, verdict.violations))
        (target / "violations.txt").write_text(stories + "\n")
        shutil.copytree(folder, target / "logs", dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
    return verdict


async def run_many(
    plans: Iterable[RunPlan],
    out: Path,
    *,
    at_once: int,
    on_result: Callable[[Verdict | NotRun], None],
) -> None:
    """Execute all plans, `at_once` at a time, and call `on_result` for each."""
    ports = Ports()
    pending = iter(list(plans))

    async def work() -> None:
        for plan in pending:
            try:
                on_result(await run_once(plan, out, ports=ports))
            except Exception as error:
                # A run that fails to execute, because another program uses a port or the machine
                # is overloaded, must not end the others; it is reported as not run.
                on_result(NotRun(plan=plan, reason=repr(error)))

    async with asyncio.TaskGroup() as group:
        for _ in range(at_once):
            group.create_task(work())


class Ports:
    """Assign disjoint blocks of ports to the clusters of one process."""

    def __init__(self) -> None:
        self._taken: set[int] = set()

    def reserve(self, folder: Path) -> Cluster:
        """Return a cluster that is not started and shares no port with the others."""
        while True:
            cluster = start_cluster("small", folder, settings=SETTINGS, backend_flags=BACKEND_FLAGS)
            port = cluster.plan.store_port
            if all(abs(port - other) >= _MIN_PORT_DISTANCE for other in self._taken):
                self._taken.add(port)
                return cluster

    def release(self, cluster: Cluster) -> None:
        """Release the ports of a stopped cluster."""
        self._taken.discard(cluster.plan.store_port)


def single_fault_plans(seeds: Iterable[int]) -> list[RunPlan]:
    """Return a plan for each fault alone and each seed."""
    return [RunPlan(seed=seed, faults=(name,)) for seed in seeds for name in FAULTS]


def fault_pair_plans(seeds: Iterable[int]) -> list[RunPlan]:
    """Return a plan for each pair of faults and each seed."""
    return [
        RunPlan(seed=seed, faults=pair)
        for seed in seeds
        for pair in itertools.combinations(FAULTS, 2)
    ]


def campaign_plans() -> list[RunPlan]:
    """Return the plans of a campaign: each fault alone, then each pair."""
    return single_fault_plans(range(1, SEEDS_PER_FAULT + 1)) + fault_pair_plans(
        range(1, SEEDS_PER_PAIR + 1)
    )


async def _record(cluster: Cluster, plan: RunPlan) -> History:
    faults = {name: FAULTS[name]() for name in plan.faults}
    configuration = cluster.plan.configuration
    service = configuration.services[0]
    lives = LifeRecorder(cluster)
    for daemon in cluster.plan.daemons:
        await lives.record_start(daemon)
    recorder = Recorder(cluster.plan.daemons, service.name, service.shards, f"{plan.seed}/callers")
    contexts = {name: FaultContext(name, cluster, recorder, lives, plan.seed) for name in faults}
    seconds = max((fault.seconds for fault in faults.values()), default=Fault.seconds)
    async with recorder, asyncio.TaskGroup() as group:
        group.create_task(recorder.load(seconds))
        for name, fault in faults.items():
            group.create_task(fault.run(contexts[name]))
    await cluster.change_backends(FaultChange(clear=True))
    await cluster.change_platform(PlatformChange(clear=True))
    await asyncio.sleep(_SETTLE_SECONDS)
    return await _collect(cluster, configuration, recorder, lives, list(contexts.values()))


async def _collect(
    cluster: Cluster,
    configuration: Configuration,
    recorder: Recorder,
    lives: LifeRecorder,
    contexts: list[FaultContext],
) -> History:
    await lives.save_all_adoptions()
    final = await _stored_configuration(cluster)
    calls = await _call_log(cluster)
    await _terminate(cluster, lives)
    return History(
        configuration=configuration,
        final=final,
        tries=tuple(sorted(recorder.tries, key=lambda one: one.start)),
        calls=calls.steps,
        steps=tuple(sorted((s for each in contexts for s in each.steps), key=lambda s: s.wall)),
        lives=lives.lives,
        adoptions=lives.adoptions,
        confirmed=tuple(sorted((c for s in contexts for c in s.confirmed), key=lambda c: c.wall)),
        dropped=calls.dropped + lives.dropped,
    )


async def _terminate(cluster: Cluster, lives: LifeRecorder) -> None:
    """Stop all daemons concurrently with SIGTERM; each may use its full grace period."""
    signalled = time.time()
    for process in cluster.daemons.values():
        process.send_signal(signal.SIGTERM)
    codes = await asyncio.gather(*(p.wait(_STOP_SECONDS) for p in cluster.daemons.values()))
    for vm, code in zip(cluster.daemons, codes, strict=True):
        lives.record_end(vm, code, terminated=signalled)


async def _call_log(cluster: Cluster) -> CallsDocument:
    """Return the call logs of all stand-in processes, merged by their common wall clock."""
    steps: list[LoggedStep] = []
    dropped = 0
    for port in cluster.plan.backend_admin_ports.values():
        async with HttpClient(HOST, port, limits=_CALLS_LIMITS) as client:
            response = await client.get(CALLS_PATH, timeout=10.0)
        document = codec.from_json(response.body, CallsDocument)
        steps += document.steps
        dropped += document.dropped
    return CallsDocument(dropped=dropped, steps=tuple(sorted(steps, key=lambda one: one.wall)))


async def _stored_configuration(cluster: Cluster) -> Configuration | None:
    async with open_store(HOST, cluster.plan.store_port) as store:
        entry = await store.get(CONFIGURATION_KEY)
    return from_stored(entry.value) if entry is not None and entry.value else None
