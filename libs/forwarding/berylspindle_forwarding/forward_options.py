"""Settings of forwarding on one VM."""

from __future__ import annotations

import attrs

from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.rollout_plan import ExposureBounds
from berylspindle_decisions.shared_retry_budget import SharedBudgetOptions
from berylspindle_forwarding.dialect import Dialect
from berylspindle_forwarding.replica_pool import PoolOptions
from berylspindle_forwarding.replica_registry import ColdBounds
from berylspindle_forwarding.rollout_keeper import RolloutEntries
from berylspindle_forwarding.upstream_selector import MirrorAddress


@attrs.frozen(kw_only=True)
class ForwardOptions:
    """Settings of forwarding on one VM.

    Attributes:
        peers: where this VM's mirror is read, or None; `seeds` are those of some others.
        announce_key: key of this VM's entry in the store, or empty.
        announced_here: VMs of a data centre that have entries, the biggest ones; the others follow
            them without.
        suspects_prefix: prefix of the keys of requests that crash replicas, or empty.
        callers_port: where this VM takes requests of others, or 0.
        bears: what this VM can work on (`decisions.relay_choice`).
        first_start: whether all VMs of the system start now, for the first time.
        expected_vms: VMs that share budgets and connections while fewer are known.
        extra: the bound on hedges and retries of all VMs together.
        cold: the bound on requests to a cold replica.
        exposure: the bound on requests to a version that is bad.
        rollout_entries: where entries of rollouts lie, or None where none are ordered.
        policy: which decisions are on.
    """

    vm: str
    data_centre: str
    peers: MirrorAddress | None = None
    seeds: tuple[MirrorAddress, ...] = ()
    announce_key: str = ""
    announced_here: int = 3
    suspects_prefix: str = ""
    callers_port: int = 0
    bears: float = 1.0
    first_start: bool = False
    expected_vms: int = 8
    dialect: Dialect = attrs.field(factory=Dialect)
    extra: SharedBudgetOptions = attrs.field(factory=SharedBudgetOptions)
    cold: ColdBounds = attrs.field(factory=ColdBounds)
    exposure: ExposureBounds = attrs.field(factory=ExposureBounds)
    rollout_entries: RolloutEntries | None = None
    pool: PoolOptions = attrs.field(factory=PoolOptions)
    policy: ForwardPolicy = attrs.field(factory=ForwardPolicy)
