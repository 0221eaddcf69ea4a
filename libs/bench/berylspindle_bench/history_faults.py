"""Randomised faults of backend servers and of the platform's store.

Flow: a run creates a `FaultContext` for each fault and awaits `Fault.run`, which injects the fault,
removes it and records each step. The random numbers depend only on the seed and the name of the
fault, so that a fault makes the same choices alone and in combination with another.
"""

from __future__ import annotations

import asyncio
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from typing import Any, Final

import attrs

from berylspindle_bench.cluster import Cluster, DaemonPlan
from berylspindle_bench.history_lives import LifeRecorder
from berylspindle_bench.history_recorder import Recorder
from berylspindle_bench.history_records import Confirmed, Step, StepKind
from berylspindle_model.configuration import Server
from berylspindle_standins.backend_faults import BackendAction, BackendFaults, FaultChange
from berylspindle_standins.platform_faults import PlatformChange, PlatformFaults

CRASH_QUERY: Final = "crash-this-server"


class FaultContext:
    """The cluster, random numbers and record of steps of one fault."""

    def __init__(
        self, fault: str, cluster: Cluster, recorder: Recorder, lives: LifeRecorder, seed: int
    ) -> None:
        self.cluster: Final = cluster
        self.recorder: Final = recorder
        self.lives: Final = lives
        self.rng: Final = random.Random(f"{seed}/{fault}")
        self.steps: Final[list[Step]] = []
        self.confirmed: Final[list[Confirmed]] = []
        self._fault: Final = fault

    @property
    def servers(self) -> tuple[Server, ...]:
        """Return all backend servers."""
        return self.cluster.plan.configuration.servers

    def record_step(
        self, kind: StepKind, subject: str = "", detail: str = "", *, begun: float = 0.0
    ) -> None:
        """Record a step at the current time; `begun` is when an intent's confirm was sent."""
        now = time.time()
        self.steps.append(
            Step(
                wall=now,
                begun=begun or now,
                fault=self._fault,
                kind=kind,
                subject=subject,
                detail=detail,
            )
        )

    def sample_servers(self) -> tuple[str, ...]:
        """Return the ids of a random half of the servers."""
        ids = [server.id for server in self.servers]
        return tuple(sorted(self.rng.sample(ids, len(ids) // 2)))

    def claim_daemon(self) -> DaemonPlan:
        """Return a random daemon that no other fault of this run has claimed."""
        return self.lives.claim(self.rng)

    async def random_delay(self, low: float, high: float) -> None:
        """Wait for a random time between `low` and `high` seconds."""
        await asyncio.sleep(self.rng.uniform(low, high))

    async def switch_backend_faults(self, change: FaultChange) -> None:
        """Change the injected faults of backend servers and record the step."""
        detail = f"{[a.value for a in change.actions]} {change.set} {','.join(change.servers)}"
        self.record_step(StepKind.SWITCHED, detail=detail)
        await self.cluster.change_backends(change)

    async def switch_platform_faults(self, settings: Mapping[str, Any]) -> None:
        """Change the injected faults of the platform and record the step."""
        self.record_step(StepKind.SWITCHED, detail=str(dict(settings)))
        await self.cluster.change_platform(PlatformChange(set=dict(settings)))


class Fault(ABC):
    """A fault to inject; `seconds` is the duration of the load in a run with it."""

    seconds: float = 3.2

    @abstractmethod
    async def run(self, context: FaultContext) -> None:
        """Inject the fault and remove it."""


@attrs.frozen(kw_only=True)
class ServerFault(Fault):
    """Set fault fields of some servers for a time; `settings` are fields of `BackendFaults`."""

    settings: Mapping[str, Any]

    async def run(self, context: FaultContext) -> None:
        """Set the fields, wait, and restore their defaults."""
        servers = context.sample_servers()
        await context.random_delay(0.3, 1.0)
        await context.switch_backend_faults(FaultChange(servers=servers, set=dict(self.settings)))
        await context.random_delay(1.0, 2.0)
        defaults = attrs.asdict(BackendFaults())
        await context.switch_backend_faults(
            FaultChange(servers=servers, set={name: defaults[name] for name in self.settings})
        )


@attrs.frozen(kw_only=True)
class ServerAction(Fault):
    """Trigger an action at a few random servers, several times."""

    action: BackendAction
    undo: BackendAction | None = None
    times: int = 3
    duration_s: tuple[float, float] = (0.4, 0.9)
    delay_s: tuple[float, float] = (0.4, 0.8)
    seconds: float = 3.2

    async def run(self, context: FaultContext) -> None:
        """Trigger the action, and undo it after a random time if it has an inverse."""
        for _ in range(self.times):
            await context.random_delay(*self.delay_s)
            servers = context.sample_servers()[: 1 + context.rng.randrange(3)]
            await context.switch_backend_faults(
                FaultChange(servers=servers, actions=(self.action,))
            )
            if self.undo is not None:
                await context.random_delay(*self.duration_s)
                await context.switch_backend_faults(
                    FaultChange(servers=servers, actions=(self.undo,))
                )


class Publish(Fault):
    """New index versions reach one half of the servers before the other."""

    async def run(self, context: FaultContext) -> None:
        """Publish three versions."""
        for version in (2, 3, 4):
            first = context.sample_servers()
            rest = tuple(server.id for server in context.servers if server.id not in first)
            for part in (first, rest):
                await context.random_delay(0.1, 0.6)
                change = FaultChange(
                    servers=part, actions=(BackendAction.PUBLISH,), version=version
                )
                await context.switch_backend_faults(change)


class CrashingRequest(Fault):
    """A search that crashes each server that runs it is sent through every VM."""

    seconds = 4.0

    async def run(self, context: FaultContext) -> None:
        """Send the search through all daemons, twice."""
        for _ in range(2):
            await context.random_delay(0.2, 0.6)
            await context.recorder.search_everywhere(CRASH_QUERY)


@attrs.frozen(kw_only=True)
class StoreFault(Fault):
    """Set fault fields of the platform for a time; `settings` are fields of `PlatformFaults`."""

    settings: Mapping[str, Any]
    seconds: float = 4.0

    async def run(self, context: FaultContext) -> None:
        """Set the fields, wait, and restore their defaults."""
        await context.random_delay(0.3, 1.0)
        await context.switch_platform_faults(self.settings)
        await context.random_delay(1.0, 2.5)
        defaults = attrs.asdict(PlatformFaults())
        await context.switch_platform_faults({name: defaults[name] for name in self.settings})


FaultFactory = Callable[[], Fault]

SERVER_FAULTS: Final[dict[str, FaultFactory]] = {
    "stragglers": lambda: ServerFault(settings={"straggler_probability": 0.2}),
    "slow": lambda: ServerFault(settings={"slow_factor": 20.0}),
    "misleading": lambda: ServerFault(settings={"load_in_flight": 0, "health_state": "warm"}),
    "refuse": lambda: ServerFault(settings={"refuse_connections": True}),
    "crossed": lambda: ServerFault(settings={"crossed_replies": 15}),
    "truncated": lambda: ServerFault(settings={"truncated_replies": 15}),
    "dropped": lambda: ServerFault(settings={"dropped_replies": 15}),
    "failed": lambda: ServerFault(settings={"failed_replies": 15}),
    "partial": lambda: ServerFault(settings={"partial_replies": 15}),
    "late": lambda: ServerFault(settings={"late_reply_ms": 300.0}),
    "crash": lambda: ServerAction(action=BackendAction.CRASH),
    "cold": lambda: ServerAction(action=BackendAction.TURN_COLD, times=4),
    "silent": lambda: ServerAction(action=BackendAction.SILENCE_CONNECTIONS),
    "drain": lambda: ServerAction(
        action=BackendAction.DRAIN,
        undo=BackendAction.END_DRAIN,
        times=1,
        delay_s=(0.3, 0.6),
        duration_s=(4.6, 5.2),
        seconds=7.0,
    ),
    "publish": Publish,
    "crashing-request": CrashingRequest,
}
STORE_FAULTS: Final[dict[str, FaultFactory]] = {
    "store-reset": lambda: StoreFault(settings={"outage": "reset"}),
    "store-silent": lambda: StoreFault(settings={"outage": "silent"}),
    "store-refuse": lambda: StoreFault(settings={"outage": "refuse"}),
    "store-slow": lambda: StoreFault(settings={"delay_ms": 300.0, "late_reply_ms": 300.0}),
    "store-lost": lambda: StoreFault(settings={"lost_reply_share": 0.4}),
    "store-lag": lambda: StoreFault(
        settings={
            "read_lag_ms": 1500.0,
            "watch_delay_ms": 700.0,
            "watch_repeats": 20,
            "vm_list_lag_ms": 3000.0,
        }
    ),
}
