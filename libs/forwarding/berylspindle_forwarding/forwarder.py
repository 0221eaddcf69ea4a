"""Assemble the forwarding components of one VM.

Flow: `Forwarder` receives catalogue changes, applies them to the replica registry and the front,
and reports whether this VM is ready for callers. `open_forwarder` starts its task; the exit stack
owns everything that must be closed.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import partial
from typing import Final

from berylspindle_decisions.admission_controller import AdmissionController
from berylspindle_decisions.forward_policy import disabled_switches
from berylspindle_decisions.reachability import Reachability
from berylspindle_forwarding.attempt_policy import ForwardContext
from berylspindle_forwarding.boot_clock import boot_time
from berylspindle_forwarding.catalogue import Catalogue
from berylspindle_forwarding.catalogue_changes import (
    CatalogueListener,
    CatalogueReader,
    Change,
    DataCentreExclusionChange,
    DeferredDeletion,
    ReplicaChange,
    RolloutAnswersChange,
    RolloutChange,
    SuspectChange,
    TableChange,
    UnreadableEntry,
    VmChange,
)
from berylspindle_forwarding.crash_watch import CrashWatch, make_quarantine
from berylspindle_forwarding.dialect import Dialect
from berylspindle_forwarding.forward_options import ForwardOptions
from berylspindle_forwarding.forward_parts import (
    make_announcer,
    make_quotas,
    make_registry,
    make_relay,
    make_rollout_controller,
)
from berylspindle_forwarding.front import Front
from berylspindle_forwarding.isolation_monitor import IsolationMonitor
from berylspindle_forwarding.mirror import Mirror, pack_losses
from berylspindle_forwarding.quota_admission import PATH_PREFIX
from berylspindle_forwarding.quota_owners import QuotaOwners
from berylspindle_forwarding.rollout_changes import apply_change, update_answer_metrics
from berylspindle_forwarding.rollouts import Rollouts
from berylspindle_forwarding.upstream_selector import UpstreamSelector
from berylspindle_forwarding.vm_probe import Prober
from berylspindle_forwarding.vm_registry import VmRegistry
from berylspindle_model import codec
from berylspindle_model.errors import ErrorKind, Refusal
from berylspindle_store.revisions import describe_revision
from berylspindle_store.store import Store, StoredValue
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.logs import logger
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.supervisor import keep_running, report_failure
from berylspindle_wire.http import HttpLimits, HttpRequest, HttpResponse

RECENT_REQUEST_S: Final = 5.0
"""Time in seconds for which this VM counts as in use after a caller's request."""


class Forwarder(CatalogueListener):
    """Forwarding on one VM; created by `open_forwarder`."""

    def __init__(
        self,
        options: ForwardOptions,
        store: Store,
        reader: CatalogueReader,
        metrics: Metrics,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._options: Final = options
        self._metrics: Final = metrics
        self._log: Final = logger("forwarding")
        self.vms: Final = VmRegistry(
            vm=options.vm,
            data_centre=options.data_centre,
            capacity=options.bears,
            own_mirror=options.peers,
            seeds=options.seeds,
            expected_vms=options.expected_vms,
        )
        self._data_centres_out: set[str] = set()
        self._listed: Final = asyncio.Event()
        self._is_following = False
        self._shutting_down = False
        self._store_reached: bool | None = None
        self.table_version = 0
        self.on_limits: Callable[[HttpLimits], None] = lambda limits: None
        self._reach: Final = Reachability(options.data_centre)
        self.on_divert: Callable[[bool], None] = lambda diverts: None
        self.rollouts: Final = Rollouts(
            options.exposure,
            now=loop.time,
            on_change=lambda: self.registry.on_version_rules_changed(),
            dither=random.random(),
        )
        self.registry: Final = make_registry(options, self.vms, self._reach, self.rollouts, metrics)
        self._crashes: Final = CrashWatch(
            make_quarantine(options.vm),
            store,
            key_prefix=options.suspects_prefix,
            now=loop.time,
        )
        self._context: Final = ForwardContext(
            crashes=self._crashes,
            registry=self.registry,
            reach=self._reach,
            dialect=options.dialect,
            metrics=metrics,
            now=loop.time,
            vms=lambda: self.vms.share_divisor,
            until_rerouted=lambda now: self._isolation_monitor.failover_delay(now),
            budget_options=options.extra,
            started=loop.time(),
            policy=options.policy,
            admission=AdmissionController(options.policy),
            rollouts=self.rollouts,
        )
        self._relay: Final = make_relay(options, self.vms, self.registry, self._reach, metrics)
        self._quota_owners: Final = QuotaOwners(
            vm=options.vm,
            data_centre=options.data_centre,
            clock=clock,
            lease_valid_until=lambda: self._lease_valid_until,
            announced_at=lambda: self._announced_at,
            first_start=options.first_start,
        )
        self.quotas: Final = make_quotas(options, self.vms, self._quota_owners, metrics, clock)
        self.front: Final = Front(
            self._context,
            self._relay,
            self._accepts_relayed,
            relay_port=options.relay_port,
            admit_quota=self.quotas.admit if self.quotas is not None else None,
        )
        self._isolation_monitor: Final = IsolationMonitor(
            self._reach,
            self.registry,
            data_centre=options.data_centre,
            known_vms=lambda: self.vms.entries,
            table=lambda: self.front.table,
            probes_when_idle=lambda: not self.vms.watchers(),
            has_followers=self.vms.is_watcher,
            prober=Prober(self._upstream_report, self._on_losses),
            now=loop.time,
            on_change=self._on_cut_off_change,
        )
        self.mirror: Final = Mirror(loop.time, clock)
        self.mirror.losses = self.registry.losses
        self.mirror.on_rollout_report = self._on_rollouts
        self._upstream_selector: Final = UpstreamSelector(
            store,
            mirrors=self.vms.mirrors,
            now=clock,
            rng=random.Random(),
            age_limit=options.age_limit_s,
            watchers=self.vms.watchers,
            is_watcher=self.vms.is_watcher,
            local_vm_count=self.vms.local_vm_count,
            extra_query=self._upstream_report,
            on_losses=self._on_losses,
            recent_reader=self.mirror.recent_reader,
        )
        self._catalogue: Final = Catalogue(
            self._upstream_selector,
            reader,
            self,
            self.mirror,
            first_start=options.first_start,
            max_gap=options.max_gap_s,
            has_recent_requests=self._has_recent_requests,
            now=clock,
            uniform=random.random,
        )
        self._announcer: Final = make_announcer(
            options,
            store,
            self.vms,
            self.mirror,
            listed=self._listed,
            on_failure=self._on_announce_failed,
            clock=clock,
            owns_quotas=lambda: self.quotas is not None and self.quotas.has_limits,
        )
        self._rollout_controller: Final = make_rollout_controller(
            options,
            store,
            self.rollouts,
            self.registry,
            self.mirror,
            is_controller=lambda: self._upstream_selector.follows_store,
        )
        if off := disabled_switches(options.policy):
            self._log.warning("decisions switched off", extra={"switches": ", ".join(off)})
        metrics.gauge_function(names.REPLICAS_KNOWN, lambda: len(self.registry))
        metrics.gauge_function(names.VIEW_AGE, lambda: int(self.mirror.age * 1000))

    @property
    def dialect(self) -> Dialect:
        """Return the header names and statuses in use."""
        return self._options.dialect

    @property
    def _lease_valid_until(self) -> float:
        return self._announcer.lease_valid_until if self._announcer is not None else -math.inf

    @property
    def _announced_at(self) -> float:
        return self._announcer.announced_at if self._announcer is not None else -math.inf

    async def handle_peer(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of another VM on the peers' edge."""
        if self.quotas is not None and request.path.startswith(PATH_PREFIX):
            return await self.quotas.handle(request)
        return await self.mirror.handle(request)

    def readiness_refusal(self) -> Refusal | None:
        """Return the reason why this VM is not ready for callers, or None if it is."""
        if self._shutting_down:
            return Refusal(ErrorKind.SHUTTING_DOWN)
        if not self._is_following or self.table_version == 0:
            return Refusal(ErrorKind.NOT_READY)
        if self._isolation_monitor.is_cut_off:
            return Refusal(ErrorKind.NO_REPLICA, "cut off from other data centres")
        return None

    def begin_shutdown(self) -> None:
        """Report not ready from now on; requests that still arrive are served."""
        self._shutting_down = True

    async def run(self) -> None:
        """Apply catalogue changes and keep this VM announced until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(keep_running(self._catalogue.run, self._on_catalogue_failure))
            for name, task in (
                ("isolation monitor", self._isolation_monitor),
                ("announcer", self._announcer),
                ("rollout controller", self._rollout_controller),
            ):
                if task is not None:
                    tasks.create_task(keep_running(task.run, partial(self._on_task_failure, name)))

    async def leave(self) -> None:
        """Withdraw this VM's announcement, unless VMs borrow the tokens of quotas from it.

        A VM that is restarted owns the same quotas again at once if its entry stays, and until then
        lenders use their standby. Withdrawn, they would change their owner twice, and each new
        owner lends less than the limit at first.
        """
        if self.quotas is not None:
            self.quotas.begin_shutdown()
            if self.quotas.has_limits:
                return
        if self._announcer is not None:
            await self._announcer.withdraw()

    async def close(self) -> None:
        """Close all connections."""
        if self.quotas is not None:
            await self.quotas.close()
        await self._upstream_selector.close()
        await self._crashes.close()
        await self._isolation_monitor.close()
        await self._relay.close()
        await self.registry.close()

    def on_run_end(self, task: asyncio.Task[None]) -> None:
        """Report this VM as not ready for good if `run` was not cancelled: nothing is followed."""
        if task.cancelled():
            return
        self._stop_following()
        self._metrics.count(names.TASK_FAILURES, task="forwarding")
        self._log.error("forwarding has ended", extra={"detail": repr(task.exception())})

    def on_change(self, change: Change) -> None:
        """Apply one change of the catalogue."""
        if isinstance(change, TableChange):
            self._set_table(change)
        elif isinstance(change, ReplicaChange):
            self._update_replica(change)
        elif isinstance(change, DataCentreExclusionChange):
            self._set_out(change)
        elif isinstance(change, VmChange):
            self._update_vm(change)
        elif isinstance(change, SuspectChange):
            self._crashes.merge(change.record)
        elif isinstance(change, UnreadableEntry):
            self._log_unreadable(change)
        else:
            self._on_rollout(change)

    def on_listed(self) -> None:
        """Handle the end of the initial listing."""
        if not self._listed.is_set():
            self._log.info(
                "initial listing complete",
                extra={"replicas": len(self.registry), "vms": len(self.vms)},
            )
        self._listed.set()
        self._quota_owners.on_listed()
        if not self._is_following:
            self._is_following = True
            self._update_diversion()

    def on_older_entry(self, entry: StoredValue, known_revision: int, *, from_mirror: bool) -> None:
        """Count an ignored entry, and log it if the store itself returned it."""
        self._metrics.count(names.OLDER_ENTRIES, upstream="mirror" if from_mirror else "store")
        if not from_mirror:
            self._log.warning(
                "ignored store entry with an older revision",
                extra={
                    "key": entry.key,
                    "revision": describe_revision(entry.revision),
                    "known": describe_revision(known_revision),
                },
            )

    def on_entry_fault(self, key: str, error: Exception) -> None:
        """Count and log an entry that is skipped because of an unexpected error."""
        self._metrics.count(names.FAULTY_ENTRIES)
        self._log.error(
            "skipped store entry",
            extra={"key": key},
            exc_info=(type(error), error, error.__traceback__),
        )

    def on_deferred_deletion(self, deletion: DeferredDeletion) -> None:
        """Count a deferred deletion, and log the first until none is deferred."""
        self._metrics.count(
            names.DEFERRED_DELETIONS,
            entry="vm" if deletion.is_vm else "other",
        )
        if deletion.is_first:
            self._log.info(
                "deletions deferred",
                extra={
                    "key": deletion.key,
                    "read_from": deletion.read_from,
                    "gap_from": deletion.gap_from,
                    "for_ms": int(deletion.seconds * 1000),
                },
            )

    def on_deferral_end(self, seconds: float) -> None:
        """Log that no deletion is deferred any more."""
        self._log.info("deletions no longer deferred", extra={"after_ms": int(seconds * 1000)})

    def on_peer_isolation(self, cut_off: bool, source: object) -> None:
        """Record whether the upstream VM reports itself cut off."""
        self._isolation_monitor.record_peer_report(cut_off, source=source)

    def on_store_reachability(self, reached: bool, detail: str) -> None:
        """Record whether the store answers, and log each change."""
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
        self.registry.set_table(change.table)
        if self.quotas is not None:
            self.quotas.set_table(change.table)
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
        # Only now: a table whose application failed is applied again.
        self.table_version = change.table.version
        self._metrics.gauge(names.ROUTING_VERSION, change.table.version)
        for organisations in change.table.key_conflicts:
            self._log.warning(
                "ignored a key that several organisations hold",
                extra={"organisations": ", ".join(organisations)},
            )
        self._log.info("routing table in force", extra={"version": change.table.version})

    def _update_replica(self, change: ReplicaChange) -> None:
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
        """Log a changed entry after the initial listing, only on a VM that follows the store.

        Otherwise each VM would write 400 lines at its start, and 195 VMs one line for each change.
        """
        if self._listed.is_set() and not self.vms.watchers():
            self._log.info(message, extra=fields)

    def _on_cut_off_change(self, cut_off: bool) -> None:
        self._metrics.gauge(names.CUT_OFF, int(cut_off))
        self.mirror.set_cut_off(cut_off)
        self._log.warning("cut off from other data centres" if cut_off else "no longer cut off")
        self._update_diversion()

    def _on_catalogue_failure(self, error: Exception) -> None:
        """Report this VM as not ready until all entries have been listed again."""
        self._stop_following()
        self._on_task_failure("catalogue", error)

    def _stop_following(self) -> None:
        self._is_following = False
        self._update_diversion()

    def _on_task_failure(self, task: str, error: Exception) -> None:
        report_failure(self._log, self._metrics, task, error)

    def _update_diversion(self) -> None:
        """Have callers with open connections move to other VMs while this one is not ready."""
        stopped_following = self._listed.is_set() and not self._is_following
        self.on_divert(stopped_following or self._isolation_monitor.is_cut_off)

    def _update_vm(self, change: VmChange) -> None:
        self.vms.apply(change)
        self._quota_owners.apply(change)
        message = "VM announced" if change.vm is not None else "VM gone"
        self._log_entry(message, id=change.id, vms=len(self.vms))

    def _on_rollout(self, change: RolloutChange) -> None:
        apply_change(self.rollouts, change, is_new=self._listed.is_set())
        if isinstance(change, RolloutAnswersChange):
            update_answer_metrics(self._metrics, self.rollouts, change.service)
            return
        stage = self.rollouts.stage(change.service)
        self._log_entry("rollout updated", service=change.service, stage=stage.value)

    def _upstream_report(self) -> dict[str, str]:
        """Return the query fields that this VM sends to its upstream VM."""
        fields: dict[str, str] = {}
        if (own := self._options.peers) is not None:
            fields["mirror"] = f"{own.host}:{own.port}"
        for_others = self.vms.is_watcher() and bool(self.vms.watchers())
        if report := self.rollouts.report(include_reports=for_others):
            fields |= {"vm": self._options.vm, "rollouts": report}
        if losses := self.registry.losses.report(asyncio.get_running_loop().time()):
            fields["losses"] = pack_losses(losses)
        if self._announcer is not None and not self._announcer.is_announced:
            fields |= {"follower": self._options.vm, "bears": f"{self._options.bears:.3f}"}
        return fields

    def _on_losses(self, losses: dict[str, int]) -> None:
        """Merge the lost replies that another VM reports."""
        if self._options.policy.shares_losses:
            self.registry.losses.merge(asyncio.get_running_loop().time(), losses)

    def _on_rollouts(self, vm: str, report: str) -> None:
        try:
            self.rollouts.merge_report(vm, report)
        except codec.MalformedError as error:
            self._log.warning(
                "ignored unreadable rollout report", extra={"vm": vm, "detail": str(error)}
            )

    def _accepts_relayed(self) -> bool:
        """Return whether this VM accepts requests relayed by other VMs."""
        return not self._shutting_down

    def _on_announce_failed(self, detail: str) -> None:
        self._metrics.count(names.ANNOUNCE_FAILED)
        self._log.debug("announcement of this VM failed", extra={"detail": detail})

    def _set_out(self, change: DataCentreExclusionChange) -> None:
        if change.is_excluded:
            self._data_centres_out.add(change.data_centre)
        else:
            self._data_centres_out.discard(change.data_centre)
        self.registry.set_excluded_data_centres(frozenset(self._data_centres_out))

    def _log_unreadable(self, change: UnreadableEntry) -> None:
        self._log.warning(
            "ignored unreadable store entry", extra={"key": change.key, "reason": change.reason}
        )

    def _has_recent_requests(self) -> bool:
        return asyncio.get_running_loop().time() - self.front.last_request < RECENT_REQUEST_S


async def open_forwarder(
    options: ForwardOptions,
    *,
    store: Store,
    reader: CatalogueReader,
    metrics: Metrics,
    stack: AsyncExitStack,
    clock: Callable[[], float] = boot_time,
) -> Forwarder:
    """Start a forwarder that is closed with `stack`.

    `clock` returns the time in seconds by which the ages of views are measured.
    """
    forwarder = Forwarder(options, store, reader, metrics, clock)
    stack.push_async_callback(forwarder.close)
    task = asyncio.get_running_loop().create_task(forwarder.run())
    task.add_done_callback(forwarder.on_run_end)

    async def stop() -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    stack.push_async_callback(stop)
    return forwarder
