"""All parts of forwarding on one VM, put together.

Flow: `Forwarder` follows the catalogue, keeps the replica registry and the front in step with it,
and says when this VM is ready for callers. `open_forwarder` starts its task; its exit stack owns
all that must be closed.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Final

from berylspindle_decisions.admission_controller import AdmissionController
from berylspindle_decisions.forward_policy import switched_off
from berylspindle_decisions.quarantine import FirstSeen, Quarantine, QuarantineOptions
from berylspindle_decisions.reach import Reach
from berylspindle_forwarding.attempt_policy import ForwardTools
from berylspindle_forwarding.catalogue import (
    AnswersChange,
    Catalogue,
    CatalogueListener,
    CatalogueReader,
    Change,
    OutChange,
    ReplicaChange,
    RolloutChange,
    SuspectChange,
    TableChange,
    Unreadable,
    VmChange,
)
from berylspindle_forwarding.crash_watch import CrashWatch
from berylspindle_forwarding.dialect import Dialect
from berylspindle_forwarding.forward_options import ForwardOptions
from berylspindle_forwarding.forward_parts import (
    make_announcer,
    make_keeper,
    make_registry,
    make_relay,
)
from berylspindle_forwarding.front import Front
from berylspindle_forwarding.mirror import Mirror, pack_losses
from berylspindle_forwarding.outside import Outside
from berylspindle_forwarding.rollout_changes import show_answers, take_change
from berylspindle_forwarding.rollouts import Rollouts
from berylspindle_forwarding.upstream_selector import UpstreamSelector
from berylspindle_forwarding.vm_probe import Prober
from berylspindle_forwarding.vm_registry import VmRegistry
from berylspindle_model import codec
from berylspindle_model.errors import ErrorKind, Refusal
from berylspindle_store.store import Store
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.logs import logger
from berylspindle_telemetry.metrics import Metrics
from berylspindle_wire.http import HttpLimits

SUSPECT_S: Final = 120.0
"""Seconds for which a request that has crashed replicas once is tried on one shard first."""

USED_S: Final = 5.0
"""Seconds after a caller's request in which this VM counts as used."""


class Forwarder(CatalogueListener):
    """Forwarding on one VM; made by `open_forwarder`."""

    def __init__(
        self, options: ForwardOptions, store: Store, reader: CatalogueReader, metrics: Metrics
    ) -> None:
        loop = asyncio.get_running_loop()
        self._options: Final = options
        self._metrics: Final = metrics
        self._log: Final = logger("forwarding")
        self.vms: Final = VmRegistry(
            vm=options.vm,
            data_centre=options.data_centre,
            bears=options.bears,
            peers=options.peers,
            seeds=options.seeds,
            expected_vms=options.expected_vms,
        )
        self._out: set[str] = set()
        self._listed: Final = asyncio.Event()
        self._shutting_down = False
        self._store_reached: bool | None = None
        self.table_version = 0
        self.on_limits: Callable[[HttpLimits], None] = lambda limits: None
        self._reach: Final = Reach(options.data_centre)
        self.on_cut_off: Callable[[bool], None] = lambda cut_off: None
        self.rollouts: Final = Rollouts(
            options.exposure,
            now=loop.time,
            on_change=lambda: self.registry.follow_versions(),
            dither=random.random(),
        )
        self.registry: Final = make_registry(options, self.vms, self._reach, self.rollouts, metrics)
        self._crashes: Final = CrashWatch(
            Quarantine(QuarantineOptions(first_seen=FirstSeen.NEVER, suspect_s=SUSPECT_S)),
            store,
            key_prefix=options.suspects_prefix,
            now=loop.time,
        )
        self._tools: Final = ForwardTools(
            crashes=self._crashes,
            registry=self.registry,
            reach=self._reach,
            dialect=options.dialect,
            metrics=metrics,
            now=loop.time,
            vms=lambda: self.vms.alike,
            until_elsewhere=lambda now: self._outside.until_elsewhere(now),
            bounds=options.extra,
            started=loop.time(),
            policy=options.policy,
            gate=AdmissionController(options.policy),
            rollouts=self.rollouts,
        )
        self._relay: Final = make_relay(options, self.vms, self.registry, self._reach, metrics)
        self.front: Final = Front(self._tools, self._relay, self._may_begin)
        self._outside: Final = Outside(
            self._reach,
            self.registry,
            data_centre=options.data_centre,
            vms=lambda: self.vms.entries,
            table=lambda: self.front.table,
            watches=lambda: not self.vms.watchers(),
            is_followed=self.vms.is_watcher,
            prober=Prober(self._introduction, self._on_losses),
            now=loop.time,
            on_change=self._note_cut_off,
        )
        self.mirror: Final = Mirror(loop.time)
        self.mirror.losses = self.registry.losses
        self.mirror.on_rollouts = self._on_rollouts
        self._choice: Final = UpstreamSelector(
            store,
            mirrors=self.vms.mirrors,
            now=loop.time,
            rng=random.Random(),
            watchers=self.vms.watchers,
            vms_here=self.vms.size_here,
            introduction=self._introduction,
            on_losses=self._on_losses,
        )
        self._catalogue: Final = Catalogue(
            self._choice,
            reader,
            self,
            self.mirror,
            first_start=options.first_start,
            is_used=self._is_used,
            now=loop.time,
            u=random.random,
        )
        self._announcer: Final = make_announcer(
            options,
            store,
            self.vms,
            self.mirror,
            listed=self._listed,
            on_failure=self._on_announce_failed,
        )
        self._keeper: Final = make_keeper(
            options,
            store,
            self.rollouts,
            self.registry,
            self.mirror,
            is_keeper=lambda: self._choice.follows_store,
        )
        if off := switched_off(options.policy):
            self._log.warning("decisions switched off", extra={"switches": ", ".join(off)})
        metrics.gauge_function(names.REPLICAS_KNOWN, lambda: len(self.registry))

    @property
    def dialect(self) -> Dialect:
        """Return the names in use."""
        return self._options.dialect

    def unready(self) -> Refusal | None:
        """Return why callers should not come here, or None where they may."""
        if self._shutting_down:
            return Refusal(ErrorKind.SHUTTING_DOWN)
        if not self._listed.is_set() or self.table_version == 0:
            return Refusal(ErrorKind.NOT_READY)
        if self._outside.is_cut_off:
            return Refusal(ErrorKind.NO_REPLICA, "cut off from the other data centres")
        return None

    def begin_shutdown(self) -> None:
        """Be unready; what still comes is served."""
        self._shutting_down = True

    async def run(self) -> None:
        """Follow the catalogue, and keep this VM announced, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._catalogue.run())
            tasks.create_task(self._outside.run())
            if self._announcer is not None:
                tasks.create_task(self._announcer.run())
            if self._keeper is not None:
                tasks.create_task(self._keeper.run())

    async def leave(self) -> None:
        """Tell the other VMs that this one goes."""
        if self._announcer is not None:
            await self._announcer.withdraw()

    async def close(self) -> None:
        """Close all connections."""
        await self._choice.close()
        await self._crashes.close()
        await self._outside.close()
        await self._relay.close()
        await self.registry.close()

    def on_change(self, change: Change) -> None:
        """Take one change of the catalogue."""
        if isinstance(change, TableChange):
            self._set_table(change)
        elif isinstance(change, ReplicaChange):
            self._take_replica(change)
        elif isinstance(change, OutChange):
            self._set_out(change)
        elif isinstance(change, VmChange):
            self._take_vm(change)
        elif isinstance(change, SuspectChange):
            self._crashes.merge(change.record)
        elif isinstance(change, Unreadable):
            self._note_unreadable(change)
        else:
            self._on_rollout(change)

    def on_listed(self) -> None:
        """Take that all that there is has been told."""
        if not self._listed.is_set():
            self._log.info("listed", extra={"replicas": len(self.registry), "vms": len(self.vms)})
        self._listed.set()

    def on_told_cut_off(self, cut_off: bool, source: object) -> None:
        """Take whether the VM that this one follows is cut off."""
        self._outside.told(cut_off, source=source)

    def on_store(self, reached: bool, detail: str) -> None:
        """Take whether the store answers."""
        if reached == self._store_reached:
            return
        self._store_reached = reached
        self._metrics.gauge(names.STORE_AWAY, 0 if reached else 1)
        if reached:
            self._log.info("the store answers")
        else:
            self._log.warning("the store does not answer", extra={"detail": detail})

    def _set_table(self, change: TableChange) -> None:
        if change.table.version <= self.table_version:
            return
        self.table_version = change.table.version
        self._metrics.gauge(names.ROUTING_VERSION, change.table.version)
        self.registry.set_table(change.table)
        self.front.set_table(change.table)
        limits = change.table.limits
        self.on_limits(
            HttpLimits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                read_timeout=limits.header_timeout,
                idle_timeout=limits.idle_timeout,
            )
        )
        self._log.info("routing table in force", extra={"version": change.table.version})

    def _take_replica(self, change: ReplicaChange) -> None:
        replica = change.replica
        if replica is None:
            self.registry.remove(change.id)
            self._log_entry("replica gone", replica=change.id)
            return
        self.registry.put(replica)
        self._log_entry(
            "replica announced",
            replica=replica.id,
            service=replica.service,
            data_centre=replica.data_centre,
            address=f"{replica.host}:{replica.port}",
            draining=replica.draining,
            cold_ms=replica.cold_ms,
        )

    def _log_entry(self, message: str, **fields: object) -> None:
        """Log one changed entry, on the VMs that follow the store for the others.

        Each VM would else write 400 lines at its start, and 195 VMs a line each for every change.
        """
        if self._listed.is_set() and not self.vms.watchers():
            self._log.info(message, extra=fields)

    def _note_cut_off(self, cut_off: bool) -> None:
        self._metrics.gauge(names.CUT_OFF, int(cut_off))
        self.mirror.set_cut_off(cut_off)
        self._log.warning("cut off from other data centres" if cut_off else "no longer cut off")
        self.on_cut_off(cut_off)

    def _take_vm(self, change: VmChange) -> None:
        self.vms.take(change)
        message = "VM announced" if change.vm is not None else "VM gone"
        self._log_entry(message, id=change.id, vms=len(self.vms))

    def _on_rollout(self, change: RolloutChange) -> None:
        take_change(self.rollouts, change, is_new=self._listed.is_set())
        if isinstance(change, AnswersChange):
            show_answers(self._metrics, self.rollouts, change.service)
            return
        stage = self.rollouts.stage(change.service)
        self._log_entry("rollout", service=change.service, stage=stage.value)

    def _introduction(self) -> dict[str, str]:
        """Return what the VM that this one follows is told of it."""
        told: dict[str, str] = {}
        for_others = self.vms.is_watcher() and bool(self.vms.watchers())
        if report := self.rollouts.report(for_others=for_others):
            told |= {"vm": self._options.vm, "rollouts": report}
        if losses := self.registry.losses.report(asyncio.get_running_loop().time()):
            told["losses"] = pack_losses(losses)
        if self._announcer is not None and not self._announcer.is_announced:
            told |= {"follower": self._options.vm, "bears": f"{self._options.bears:.3f}"}
        return told

    def _on_losses(self, losses: dict[str, int]) -> None:
        """Take the losses that another VM reports."""
        if self._options.policy.shares_losses:
            self.registry.losses.merge(asyncio.get_running_loop().time(), losses)

    def _on_rollouts(self, vm: str, report: str) -> None:
        try:
            self.rollouts.take_report(vm, report)
        except codec.MalformedError as error:
            self._log.warning("report not read", extra={"vm": vm, "detail": str(error)})

    def _may_begin(self) -> bool:
        """Tell whether this VM takes work of other VMs."""
        return not self._shutting_down

    def _on_announce_failed(self, detail: str) -> None:
        self._metrics.count(names.ANNOUNCE_FAILED)
        self._log.debug("this VM is not announced", extra={"detail": detail})
        self._catalogue.doubt()

    def _set_out(self, change: OutChange) -> None:
        if change.is_out:
            self._out.add(change.data_centre)
        else:
            self._out.discard(change.data_centre)
        self.registry.set_out(frozenset(self._out))

    def _note_unreadable(self, change: Unreadable) -> None:
        self._log.warning("entry names nothing", extra={"key": change.key, "reason": change.reason})

    def _is_used(self) -> bool:
        return asyncio.get_running_loop().time() - self.front.last_request < USED_S


async def open_forwarder(
    options: ForwardOptions,
    *,
    store: Store,
    reader: CatalogueReader,
    metrics: Metrics,
    stack: AsyncExitStack,
) -> Forwarder:
    """Return a running forwarder, owned by `stack`."""
    forwarder = Forwarder(options, store, reader, metrics)
    stack.push_async_callback(forwarder.close)
    task = asyncio.get_running_loop().create_task(forwarder.run())

    async def stop() -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    stack.push_async_callback(stop)
    return forwarder
