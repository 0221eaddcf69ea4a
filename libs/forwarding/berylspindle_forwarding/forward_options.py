"""Settings of forwarding on one VM."""

from __future__ import annotations

import attrs

from berylspindle_decisions.confirmed_span import DEFAULT_MAX_GAP_S
from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.quota_limits import QuotaBounds
from berylspindle_decisions.rollout_plan import ExposureBounds
from berylspindle_decisions.shared_retry_budget import SharedBudgetOptions
from berylspindle_forwarding.dialect import Dialect
from berylspindle_forwarding.relay import RelayPort
from berylspindle_forwarding.replica_pool import PoolOptions
from berylspindle_forwarding.replica_registry import ColdBounds
from berylspindle_forwarding.rollout_controller import RolloutEntries
from berylspindle_forwarding.upstream_selector import DEFAULT_AGE_LIMIT_S, MirrorAddress


@attrs.frozen(kw_only=True)
class ForwardOptions:
    """Settings of forwarding on one VM.

    Attributes:
        peers: address of this VM's mirror, or None.
        seeds: mirror addresses of some other VMs.
        announce_key: store key of this VM's entry, or empty.
        announced_here: number of VMs per data centre that have an entry, the largest ones; the
            others follow these and have no entry.
        suspects_prefix: key prefix of requests that crash replicas, or empty.
        callers_port: port where this VM accepts relayed requests, or 0.
        relay_port: whether that is the callers' port or a separate one.
        quota: bounds on the requests of organisations, or None if quotas are not enforced.
        bears: capacity of this VM (`decisions.relay_choice`).
        first_start: whether all VMs of the system start for the first time.
        expected_vms: minimum number of VMs among which budgets and connections are divided.
        extra: limits of the retry budget of all VMs together.
        cold: limits of the requests to a cold replica.
        exposure: limits of the requests to a new version before it is known to be faulty.
        age_limit_s: greatest allowed age of the view in seconds (`decisions.upstream_choice`).
        max_gap_s: longest time in seconds between two answers of the store in which no lease of a
            live replica expires (`decisions.confirmed_span`).
        rollout_entries: location of rollout entries, or None if rollouts are disabled.
        policy: which decisions are enabled.
    """

    vm: str
    data_centre: str
    peers: MirrorAddress | None = None
    seeds: tuple[MirrorAddress, ...] = ()
    announce_key: str = ""
    announced_here: int = 3
    suspects_prefix: str = ""
    callers_port: int = 0
    relay_port: RelayPort = RelayPort.CALLERS
    quota: QuotaBounds | None = None
    bears: float = 1.0
    first_start: bool = False
    expected_vms: int = 8
    dialect: Dialect = attrs.field(factory=Dialect)
    extra: SharedBudgetOptions = attrs.field(factory=SharedBudgetOptions)
    cold: ColdBounds = attrs.field(factory=ColdBounds)
    exposure: ExposureBounds = attrs.field(factory=ExposureBounds)
    age_limit_s: float = DEFAULT_AGE_LIMIT_S
    max_gap_s: float = DEFAULT_MAX_GAP_S
    rollout_entries: RolloutEntries | None = None
    pool: PoolOptions = attrs.field(factory=PoolOptions)
    policy: ForwardPolicy = attrs.field(factory=ForwardPolicy)
