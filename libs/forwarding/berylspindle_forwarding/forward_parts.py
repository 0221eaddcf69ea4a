"""Create the components of forwarding from its settings."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from berylspindle_decisions.reachability import Reachability
from berylspindle_forwarding.catalogue_changes import VmEntry
from berylspindle_forwarding.forward_options import ForwardOptions
from berylspindle_forwarding.mirror import Mirror
from berylspindle_forwarding.quota_admission import QuotaAdmission
from berylspindle_forwarding.quota_owners import QuotaOwners
from berylspindle_forwarding.quota_service import QuotaService
from berylspindle_forwarding.quota_shares import EvenQuotaShares
from berylspindle_forwarding.relay import Relay
from berylspindle_forwarding.replica_registry import ReplicaRegistry
from berylspindle_forwarding.rollout_controller import RolloutController
from berylspindle_forwarding.rollouts import Rollouts
from berylspindle_forwarding.vm_announcer import VmAnnouncer
from berylspindle_forwarding.vm_registry import VmRegistry
from berylspindle_store.store import Store
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics


def make_registry(
    options: ForwardOptions,
    vms: VmRegistry,
    reach: Reachability,
    rollouts: Rollouts,
    metrics: Metrics,
) -> ReplicaRegistry:
    """Create the replica registry."""
    return ReplicaRegistry(
        data_centre=options.data_centre,
        now=asyncio.get_running_loop().time,
        uniform=random.random,
        share_divisor=lambda: vms.share_divisor,
        pool_options=options.pool,
        cold=options.cold,
        reach=reach,
        on_opened=lambda: metrics.count(names.FORWARD_CONNECTIONS, reason="needed"),
        policy=options.policy,
        version_rule=rollouts.version_rule,
        is_on_trial=rollouts.is_on_trial,
    )


def make_relay(
    options: ForwardOptions,
    vms: VmRegistry,
    registry: ReplicaRegistry,
    reach: Reachability,
    metrics: Metrics,
) -> Relay:
    """Create the relay to VMs that merge searches."""
    return Relay(
        bears=options.bears,
        data_centre=options.data_centre,
        vms=vms.merge_candidates,
        registry=registry,
        reach=reach,
        dialect=options.dialect,
        metrics=metrics,
        now=asyncio.get_running_loop().time,
        uniform=random.random,
        policy=options.policy,
    )


def make_rollout_controller(
    options: ForwardOptions,
    store: Store,
    rollouts: Rollouts,
    registry: ReplicaRegistry,
    mirror: Mirror,
    *,
    is_controller: Callable[[], bool],
) -> RolloutController | None:
    """Create the rollout controller, or return None if rollouts are disabled."""
    if options.rollout_entries is None:
        return None
    return RolloutController(
        rollouts,
        store,
        options.rollout_entries,
        data_centre=options.data_centre,
        stored_entry=mirror.get,
        versions=registry.versions,
        is_controller=is_controller,
        now=asyncio.get_running_loop().time,
    )


def make_quotas(
    options: ForwardOptions,
    vms: VmRegistry,
    owners: QuotaOwners,
    metrics: Metrics,
    clock: Callable[[], float],
) -> QuotaAdmission | None:
    """Create what enforces quotas, or return None if the options have no bounds for them."""
    if options.quota is None:
        return None
    if not options.policy.lends_tokens:
        return EvenQuotaShares(
            vm=options.vm,
            data_centre=options.data_centre,
            bounds=options.quota,
            vms=lambda: vms.vm_count,
            clock=clock,
            metrics=metrics,
            uniform=random.random,
        )
    return QuotaService(
        vm=options.vm,
        data_centre=options.data_centre,
        bounds=options.quota,
        owners=owners,
        clock=clock,
        metrics=metrics,
        rng=random.Random(),
    )


def make_announcer(
    options: ForwardOptions,
    store: Store,
    vms: VmRegistry,
    mirror: Mirror,
    *,
    listed: asyncio.Event,
    on_failure: Callable[[str], None],
    clock: Callable[[], float],
    owns_quotas: Callable[[], bool],
) -> VmAnnouncer | None:
    """Create the announcer of this VM, or return None if it has no entry."""
    if not options.announce_key or options.peers is None:
        return None
    entry = VmEntry(
        host=options.peers.host,
        port=options.peers.port,
        data_centre=options.data_centre,
        callers_port=options.callers_port,
        bears=options.bears,
    )
    return VmAnnouncer(
        store,
        key=options.announce_key,
        entry=entry,
        followers=mirror.followers,
        known_vms=lambda: vms.local_peers().values(),
        required=options.announced_here,
        stored_entry=lambda: mirror.get(options.announce_key),
        listed=listed,
        on_failure=on_failure,
        is_watcher=lambda: not vms.watchers(),
        uniform=random.random,
        clock=clock,
        owns_quotas=owns_quotas,
    )
