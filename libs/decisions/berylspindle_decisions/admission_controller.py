"""Admit or reject whole requests by the queueing delay at replicas.

Load: a burst, or replicas that become slow, exceeds the capacity of a service. Without rejections
the FIFO queue of each replica grows until every answer is late. Shedding sub-requests shard
by shard would remove parts of many searches instead of rejecting a few.

Terms:
  queueing delay  milliseconds that queues currently add to a sub-request, at its best replica
  pressure        queueing delay of a request over its latency target; for a search, the delay is
                  that of the shard that decides whether the minimum number of parts is reached
  group           requests that compete for the same replicas

Flow: `AdmissionController.admit` is called once for each request, before any sub-request is sent.
The rejected share has a proportional term, the pressure of the current request, and an integral
term, which adjusts until queues take `TARGET_PRESSURE` of the latency target. `retry_after_ms` is
the Retry-After of a rejected caller. Each VM decides by its own observations and does not need to
know the number of VMs.

Only queueing counts: rejecting callers of a replica that is slow, paused or unreachable speeds up
no other answer. The rejected share of a lower priority in a group is at least
`LOW_PRIORITY_FACTOR` times that of the higher priorities, capped at `LOW_PRIORITY_SHARE_MAX` to
avoid starvation.

The share of a group and priority is divided between the organisations whose requests have it
(`organisation_shares`): those that use less than their max-min fair share are rejected less, and
the others more. The total of each priority stays the same, and with it the order of priorities.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import attrs

from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.organisation_shares import OrganisationShares
from berylspindle_decisions.replica_health import ReplicaHealth

# Proportional term: the rejected share rises from 0 to 1 between these pressures.
REJECT_NONE_PRESSURE: Final = 0.65
REJECT_ALL_PRESSURE: Final = 1.05

# Integral term: gain in rejected share per second, for each unit of pressure above the target.
TARGET_PRESSURE: Final = 0.5
INTEGRAL_GAIN_PER_S: Final = 4.0
MAX_INTEGRAL_SHARE: Final = 0.9

# Maximum interval that one request is integrated over, above the target and below it. A VM with
# few requests thus increases its rejections slowly, and drops them soon after a burst.
MAX_INCREASE_STEP_S: Final = 0.05
MAX_DECREASE_STEP_S: Final = 1.0

LOW_PRIORITY_FACTOR: Final = 2.0
LOW_PRIORITY_SHARE_MAX: Final = 0.75

# Time for which the rejected share of a priority counts for lower ones after its last request.
HIGH_PRIORITY_MEMORY_S: Final = 0.1

# Bounds of Retry-After, as shares of the caller's remaining time: an earlier retry meets the same
# queues, and before a later one the caller may have given up.
RETRY_AFTER_MIN_SHARE: Final = 0.05
RETRY_AFTER_MAX_SHARE: Final = 1 / 3


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """A request to admit or reject; 0 is the highest priority.

    `organisation` is the name of the caller's organisation, or None if callers have none.
    """

    group: str
    priority: int
    pressure: float
    organisation: str | None = None


@attrs.define
class _PriorityState:
    """Rejection state of one priority: integral term, latest pressure and use by organisation."""

    share: float = 0.0
    pressure: float = 0.0
    updated_at: float = -math.inf
    organisations: OrganisationShares = attrs.field(factory=OrganisationShares)

    @property
    def rejected_share(self) -> float:
        """Return the larger of the integral and the proportional term."""
        return max(self.share, proportional_share(self.pressure))

    def update(self, now: float, pressure: float, *, integrate: bool) -> None:
        """Update the rejected share from the pressure of a request."""
        excess = pressure - TARGET_PRESSURE if integrate else 0.0
        step_s = min(
            now - self.updated_at, MAX_INCREASE_STEP_S if excess > 0.0 else MAX_DECREASE_STEP_S
        )
        self.share = min(
            MAX_INTEGRAL_SHARE, max(0.0, self.share + INTEGRAL_GAIN_PER_S * excess * step_s)
        )
        self.pressure, self.updated_at = pressure, now


class AdmissionController:
    """Admission decisions of one VM; times are in seconds of the caller's clock."""

    def __init__(self, policy: ForwardPolicy = ForwardPolicy()) -> None:  # noqa: B008
        self._policy: Final = policy
        self._states_by_group: Final[dict[str, dict[int, _PriorityState]]] = {}

    def admit(self, now: float, request: AdmissionRequest, *, uniform: float) -> bool:
        """Return whether to admit the request. `uniform` is a uniform random number in [0, 1)."""
        if not self._policy.refuses:
            return True
        states = self._states_by_group.setdefault(request.group, {})
        state = states.setdefault(request.priority, _PriorityState())
        state.update(now, request.pressure, integrate=self._policy.drifts)
        share = state.rejected_share
        if self._policy.urgent_first:
            share = max(share, _low_priority_share(states, request.priority, now))
        if request.organisation is not None and self._policy.fair_shares:
            share = state.organisations.rejected_share(now, request.organisation, share)
        return uniform >= share


def _low_priority_share(states: Mapping[int, _PriorityState], priority: int, now: float) -> float:
    """Return the minimum rejected share of a priority, from those of the higher priorities."""
    higher = [
        state.rejected_share
        for other, state in states.items()
        if other < priority and now - state.updated_at < HIGH_PRIORITY_MEMORY_S
    ]
    return min(LOW_PRIORITY_FACTOR * max(higher, default=0.0), LOW_PRIORITY_SHARE_MAX)


def proportional_share(pressure: float) -> float:
    """Return the share of requests to reject at a pressure, by the proportional term alone."""
    return min(
        1.0,
        max(0.0, (pressure - REJECT_NONE_PRESSURE) / (REJECT_ALL_PRESSURE - REJECT_NONE_PRESSURE)),
    )


def min_queueing_delay_ms(
    replicas: Iterable[ReplicaHealth], now: float, *, usual_ms: float
) -> float:
    """Return the queueing delay of a sub-request at the best replica, in milliseconds.

    Cold, paused and failing replicas are ignored, since waiting for them is not queueing. Return 0
    if no replica is left.
    """
    sound = [replica for replica in replicas if replica.is_healthy(now)]
    idle_ms = [usual_ms * replica.latency_factor(now) for replica in sound]
    loaded_ms = [
        idle + replica.queueing_delay_ms(now, usual_ms=usual_ms)
        for idle, replica in zip(idle_ms, sound, strict=True)
    ]
    return min(loaded_ms, default=0.0) - min(idle_ms, default=0.0)


def queueing_pressure(added_ms: Sequence[float], *, min_parts: int, target_ms: float) -> float:
    """Return the pressure of a request over services with these queueing delays.

    The request needs the answers of `min_parts` services, so the `min_parts`-th lowest delay
    decides.
    """
    if not added_ms:
        return 0.0
    return sorted(added_ms)[min_parts - 1] / max(target_ms, 1.0)


def retry_after_ms(*, queueing_delay_ms: float, left_ms: float, uniform: float) -> float:
    """Return the delay in milliseconds before a rejected caller may retry.

    The current queues have drained after `queueing_delay_ms`. Retries are spread over the time that
    follows by `uniform`, a uniform random number in [0, 1), so that callers do not return
    simultaneously.
    """
    latest = left_ms * RETRY_AFTER_MAX_SHARE
    earliest = min(latest, max(left_ms * RETRY_AFTER_MIN_SHARE, queueing_delay_ms))
    return math.floor(earliest + (latest - earliest) * uniform)
