"""Record the lifetimes of the daemons of a run, and the revisions that they adopt.

Flow: `LifeRecorder.record_start` reads the id of a daemon when it is ready. `save_adoptions` reads
the adoptions from the event timeline of a daemon; it must be called before the daemon exits, since
the timeline is lost with the process. `record_end` records the exit code.
"""

from __future__ import annotations

import random
import re
import time
from typing import Final

import attrs

from berylspindle_bench.cluster import Cluster, DaemonPlan
from berylspindle_bench.history_records import Adoption, Life
from berylspindle_client.operators import FleetTimeline, OperatorClient
from berylspindle_model.events import EventFilter, EventKind
from berylspindle_telemetry.secret import Secret

_REVISION: Final = re.compile(r"revision=(\d+)")


class LifeRecorder:
    """Record the lifetimes and adoptions of the daemons of one cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster: Final = cluster
        self._unclaimed: Final = list(cluster.plan.daemons)
        self._running: dict[str, Life] = {}
        self._ended: list[Life] = []
        self._adoptions: dict[tuple[str, int], Adoption] = {}
        self.dropped = 0

    @property
    def lives(self) -> tuple[Life, ...]:
        """Return all lifetimes, those of ended daemons first."""
        return (*self._ended, *self._running.values())

    @property
    def adoptions(self) -> tuple[Adoption, ...]:
        """Return all recorded adoptions."""
        return tuple(self._adoptions.values())

    def claim(self, rng: random.Random) -> DaemonPlan:
        """Return a random daemon that was not claimed before."""
        return self._unclaimed.pop(rng.randrange(len(self._unclaimed)))

    async def record_start(self, daemon: DaemonPlan) -> None:
        """Record that a daemon is ready; raise RuntimeError if its timeline is unreadable."""
        timeline = await self._timeline(daemon)
        if timeline is None:
            raise RuntimeError(f"could not read the event timeline of {daemon.vm}")
        self._running[daemon.vm] = Life(vm=daemon.vm, vm_id=timeline.vms[0], start=time.time())

    async def save_adoptions(self, daemon: DaemonPlan) -> None:
        """Record the adoptions of a daemon that still runs."""
        timeline = await self._timeline(daemon)
        if timeline is None:
            self.dropped += 1
            return
        self.dropped += sum(timeline.dropped.values())
        for event in timeline.events:
            found = _REVISION.search(event.detail)
            if event.kind is EventKind.CONFIGURATION_ADOPTED and found is not None:
                self._adoptions[event.vm, event.sequence] = Adoption(
                    vm_id=event.vm,
                    sequence=event.sequence,
                    wall=event.stamp.millis / 1000,
                    revision=int(found[1]),
                )

    async def save_all_adoptions(self) -> None:
        """Record the adoptions of all running daemons."""
        for daemon in self._cluster.plan.daemons:
            if daemon.vm in self._running:
                await self.save_adoptions(daemon)

    def record_end(self, vm: str, exit_code: int, *, terminated: float | None) -> None:
        """Record the exit of a daemon; `terminated` is when it got SIGTERM, if it did."""
        life = self._running.pop(vm)
        self._ended.append(
            attrs.evolve(life, end=time.time(), exit_code=exit_code, terminated=terminated)
        )

    async def _timeline(self, daemon: DaemonPlan) -> FleetTimeline | None:
        secret = Secret(self._cluster.token)
        async with OperatorClient(
            [daemon.admin_address], token=secret, operator="checker"
        ) as client:
            timeline = await client.timeline(EventFilter())
        return timeline if isinstance(timeline, FleetTimeline) else None
