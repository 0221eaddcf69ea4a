"""One run with its faults, and many runs side by side.

Terms:
  run        a small deployment from start to end: callers, faults, history, verdict
  campaign   each fault alone with some seeds and each pair with fewer

Flow: `run_once` starts the cluster, lets callers and faults work, mends everything, collects the
history, stops the daemons by SIGTERM and judges. `run_many` keeps a few runs going at a time.
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
from berylspindle_bench.history_faults import SERVER_FAULTS, STORE_FAULTS, Fault, Make, Stage
from berylspindle_bench.history_lives import Lives
from berylspindle_bench.history_recorder import Recorder
from berylspindle_bench.history_records import History, Told, write_history
from berylspindle_bench.history_verdict import judge
from berylspindle_bench.history_vm_faults import VM_FAULTS
from berylspindle_controlplane.documents import CONFIGURATION_KEY
from berylspindle_model import codec
from berylspindle_model.checked import from_stored
from berylspindle_model.configuration import Configuration
from berylspindle_standins.backend_faults import FaultChange
from berylspindle_standins.backend_standin import CALLS_PATH
from berylspindle_standins.call_log import CallsDocument, LoggedStep
from berylspindle_standins.platform_faults import PlatformChange
from berylspindle_store.http_store import open_store
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import HttpLimits

FAULTS: Final[dict[str, Make]] = {**SERVER_FAULTS, **STORE_FAULTS, **VM_FAULTS}
# Leases and probes at half their times, so that they lapse and take over within a run.
SETTINGS: Final = {"BERYLSPINDLE_UNREADY_SECONDS": "0.2", "BERYLSPINDLE_CONTROL_PACE": "0.5"}
BACKEND_FLAGS: Final = ("--warm-after=10", "--restart-ms=400")
SEEDS_ALONE: Final = 20
SEEDS_PAIR: Final = 3
_CALM_SECONDS: Final = 0.5
# More ports than any cluster takes.
_BLOCK: Final = 1000
# A daemon's grace is 20 s; whatever takes longer is ended by force and found by its exit code.
_STOP_SECONDS: Final = 25.0
_CALLS_LIMITS: Final = HttpLimits(body_bytes=64 * 1024 * 1024)


@attrs.frozen(kw_only=True)
class RunPlan:
    """Which faults with which seed."""

    seed: int
    faults: tuple[str, ...]

    @property
    def name(self) -> str:
        """Return a name for folders and tables."""
        return f"{'+'.join(self.faults) or 'none'}-{self.seed}"

    @property
    def command(self) -> str:
        """Return what runs it again."""
        return f'make history SEED={self.seed} FAULTS="{",".join(self.faults)}"'


@attrs.frozen(kw_only=True)
class Verdict:
    """What came of one run."""

    plan: RunPlan
    violations: tuple[Violation, ...]
    history: History
    seconds: float

    @property
    def answered(self) -> int:
        """Return the number of tries that got an answer."""
        return sum(one.told is Told.ANSWER for one in self.history.tries)


@attrs.frozen(kw_only=True)
class NotRun:
    """A run that could not be made, and why."""

    plan: RunPlan
    why: str


async def run_once(
    plan: RunPlan, out: Path | None = None, *, ports: Ports | None = None
) -> Verdict:
    """Run once; with `out` a history with a violation is written there.

    `ports` keeps clusters of one process that run side by side from taking each other's ports.
    """
    begun = time.monotonic()
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
        seconds=time.monotonic() - begun,
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
    plans: Iterable[RunPlan], out: Path, *, at_once: int, tell: Callable[[Verdict | NotRun], None]
) -> None:
    """Run all plans, some at a time, and tell each verdict as it comes."""
    ports = Ports()
    waiting = iter(list(plans))

    async def work() -> None:
        for plan in waiting:
            try:
                tell(await run_once(plan, out, ports=ports))
            except Exception as error:
                # One run that can't be made, for a port that another program took or a machine
                # that is too busy, must not end the others; it is told as not run.
                tell(NotRun(plan=plan, why=repr(error)))

    async with asyncio.TaskGroup() as group:
        for _ in range(at_once):
            group.create_task(work())


class Ports:
    """Keep clusters of one process on blocks of ports that lie apart."""

    def __init__(self) -> None:
        self._taken: set[int] = set()

    def reserve(self, folder: Path) -> Cluster:
        """Return a cluster, not yet started, whose ports no other one of these has."""
        while True:
            cluster = start_cluster("small", folder, settings=SETTINGS, backend_flags=BACKEND_FLAGS)
            port = cluster.plan.store_port
            if all(abs(port - other) >= _BLOCK for other in self._taken):
                self._taken.add(port)
                return cluster

    def release(self, cluster: Cluster) -> None:
        """Let the ports of a cluster that has ended be taken again."""
        self._taken.discard(cluster.plan.store_port)


def alone(seeds: Iterable[int]) -> list[RunPlan]:
    """Return each fault by itself with each seed."""
    return [RunPlan(seed=seed, faults=(name,)) for seed in seeds for name in FAULTS]


def pairs(seeds: Iterable[int]) -> list[RunPlan]:
    """Return each pair of faults with each seed."""
    return [
        RunPlan(seed=seed, faults=pair)
        for seed in seeds
        for pair in itertools.combinations(FAULTS, 2)
    ]


def campaign() -> list[RunPlan]:
    """Return each fault alone and then each pair, with as many seeds as a campaign has."""
    return alone(range(1, SEEDS_ALONE + 1)) + pairs(range(1, SEEDS_PAIR + 1))


async def _record(cluster: Cluster, plan: RunPlan) -> History:
    faults = {name: FAULTS[name]() for name in plan.faults}
    configuration = cluster.plan.configuration
    service = configuration.services[0]
    lives = Lives(cluster)
    for daemon in cluster.plan.daemons:
        await lives.begin(daemon)
    recorder = Recorder(cluster.plan.daemons, service.name, service.shards, f"{plan.seed}/callers")
    stages = {name: Stage(name, cluster, recorder, lives, plan.seed) for name in faults}
    seconds = max((fault.seconds for fault in faults.values()), default=Fault.seconds)
    async with recorder, asyncio.TaskGroup() as group:
        group.create_task(recorder.load(seconds))
        for name, fault in faults.items():
            group.create_task(fault.run(stages[name]))
    await cluster.change_backends(FaultChange(clear=True))
    await cluster.change_platform(PlatformChange(clear=True))
    await asyncio.sleep(_CALM_SECONDS)
    return await _collect(cluster, configuration, recorder, lives, list(stages.values()))


async def _collect(
    cluster: Cluster,
    configuration: Configuration,
    recorder: Recorder,
    lives: Lives,
    stages: list[Stage],
) -> History:
    await lives.save_all()
    final = await _stored(cluster)
    calls = await _calls(cluster)
    await _terminate(cluster, lives)
    return History(
        configuration=configuration,
        final=final,
        tries=tuple(sorted(recorder.tries, key=lambda one: one.start)),
        calls=calls.steps,
        steps=tuple(sorted((s for each in stages for s in each.steps), key=lambda s: s.wall)),
        lives=lives.lives,
        adoptions=lives.adoptions,
        confirmed=tuple(sorted((c for s in stages for c in s.confirmed), key=lambda c: c.wall)),
        dropped=calls.dropped + lives.dropped,
    )


async def _terminate(cluster: Cluster, lives: Lives) -> None:
    """End all daemons by SIGTERM at once; each may take its whole grace."""
    told = time.time()
    for process in cluster.daemons.values():
        process.send(signal.SIGTERM)
    codes = await asyncio.gather(*(p.wait(_STOP_SECONDS) for p in cluster.daemons.values()))
    for vm, code in zip(cluster.daemons, codes, strict=True):
        lives.close(vm, code, terminated=told)


async def _calls(cluster: Cluster) -> CallsDocument:
    """Return the logs of all processes of stand-ins as one, by their common wall clock."""
    steps: list[LoggedStep] = []
    dropped = 0
    for port in cluster.plan.backend_admin_ports.values():
        async with HttpClient(HOST, port, limits=_CALLS_LIMITS) as client:
            response = await client.get(CALLS_PATH, timeout=10.0)
        document = codec.from_json(response.body, CallsDocument)
        steps += document.steps
        dropped += document.dropped
    return CallsDocument(dropped=dropped, steps=tuple(sorted(steps, key=lambda one: one.wall)))


async def _stored(cluster: Cluster) -> Configuration | None:
    async with open_store(HOST, cluster.plan.store_port) as store:
        entry = await store.get(CONFIGURATION_KEY)
    return from_stored(entry.value) if entry is not None and entry.value else None
