"""Track the health of one replica, and estimate the cost of sending it a sub-request.

In a scatter-gather over many shards, one replica that is slow, paused, shedding load or down delays
the whole request. Its cost rises, so that other replicas get its sub-requests.

Terms:
  slowdown         latency of the replica's responses over the usual latency of their routes
  late             an attempt that is outstanding for longer than its hedge delay
  stalled          a replica whose oldest attempt is late
  back-off         the time after a refusal or failure in which the replica is avoided; it doubles
                   with each one
  spike            a response that took over `SPIKE_RATIO` times the slowdown, as during a pause
  shed rate        share of the latest attempts that the replica refused or failed
  cost             expected duration of an attempt, in usual latencies; the lowest is chosen
  queueing factor  expected duration of an attempt over its duration at a replica without a queue,
                   computed from the load at the time of sending; only latency beyond this factor
                   raises the slowdown
  pace             how long work takes on the replica's machine, over the usual time, as last
                   reported by the replica; with the age of the report it decays to the mean pace
  mean pace        mean of the paces that all replicas report to this VM

Flow: `on_sent`, `on_answer`, `on_refusal`, `on_failure` and `on_abandoned` record each attempt;
`cost` is read for each choice of a replica. The load by other VMs comes from the replica's own
reports (`load_estimate`), which may also state its pace.

Guards: one pause makes two or three responses late, so of a replica that was fast before, only the
first spike counts, and it is clipped. The shed rate is needed because each success resets the
duration of the back-off: without it, a replica that refuses half of its requests would still get a
third of the work. The slowdown decays over `SLOWDOWN_DECAY_S`, since a replica without traffic
gives no new evidence. The pace changes several times a second, faster than a VM sees most replicas,
so a report loses its weight within `PACE_DECAY_S`. It decays to the mean pace and not to 1: a
replica that was just seen at its usual pace is a better choice than one that was not seen for a
while. A replica that never reports a pace has pace 1. Latency that the pace explains is kept out of
the slowdown, which would otherwise hold it against the replica for seconds.
"""

from __future__ import annotations

import math
from typing import Final

from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.load_estimate import LoadEstimate

SLOWDOWN_RISE_WEIGHT: Final = 0.5
SLOWDOWN_FALL_WEIGHT: Final = 0.25
SLOWDOWN_DECAY_S: Final = 4.0
MAX_SLOWDOWN: Final = 20.0
SPIKE_RATIO: Final = 2.5
SPIKE_WINDOW_S: Final = 0.1
RECENTLY_FAST_S: Final = 0.6
STALLED_COST: Final = 30.0
BACKOFF_COST: Final = 15.0
BACKOFF_INITIAL_S: Final = 0.1
BACKOFF_MAX_S: Final = 3.0
LOCAL_MIN_COST_SHARE: Final = 0.35
LOCAL_MAX_DISCOUNT: Final = 1.2
LOAD_COST: Final = 0.25
COLD_COST: Final = 1.6
SHED_COST: Final = 4.0
SHED_WEIGHT: Final = 0.2
SHED_DECAY_S: Final = 5.0

# The pace holds for about 0.6 s, so a report tells little about the replica after half of that.
PACE_DECAY_S: Final = 0.3
MIN_PACE: Final = 0.1
MAX_PACE: Final = 100.0

# The mean pace is over about this many of the latest reports, and begins as if there had been
# `MEAN_PACE_PRIOR` reports of 1. A greater pace counts as `MAX_PACE_IN_MEAN`, so that one replica
# with a wrong figure hardly changes the mean.
MEAN_PACE_REPORTS: Final = 256
MEAN_PACE_PRIOR: Final = 16
MAX_PACE_IN_MEAN: Final = 4.0

# Spread of the costs of replicas that report their pace. Without it, VMs that have seen the same
# figures would all choose the replica with the lowest one, however small the difference.
PACE_SPREAD: Final = 0.2


class MeanPace:
    """Mean of the paces that replicas report to one VM; 1 before the first reports."""

    def __init__(self) -> None:
        self._mean = 1.0
        self._reports = MEAN_PACE_PRIOR

    @property
    def value(self) -> float:
        """Return the mean."""
        return self._mean

    def add(self, pace: float) -> None:
        """Record one report."""
        self._reports = min(MEAN_PACE_REPORTS, self._reports + 1)
        self._mean += (min(pace, MAX_PACE_IN_MEAN) - self._mean) / self._reports


class ReplicaHealth:
    """The health of one replica as seen by one VM; times are in seconds of the caller's clock."""

    def __init__(
        self,
        *,
        slots: int,
        is_local: bool,
        policy: ForwardPolicy = ForwardPolicy(),  # noqa: B008
        mean_pace: MeanPace | None = None,
    ) -> None:
        """Initialize; `mean_pace` is shared by the replicas that one VM uses."""
        self._policy: Final = policy
        self.slots = max(1, slots)
        self.is_local = is_local and policy.prefers_near
        self.cold_until = -math.inf
        self._slowdown = 1.0
        self._slowdown_at = -math.inf
        self._spike_until = -math.inf
        self._fast_at = -math.inf
        # For each outstanding attempt in the order of sending: the time from which it is late, and
        # the time from which it is late even with the queueing delay expected when it was sent.
        self._attempts: dict[object, tuple[float, float]] = {}
        self._backoff_until = -math.inf
        self._refused_until = -math.inf
        self._backoffs = 0
        self._shed_rate = 0.0
        self._shed_rate_at = -math.inf
        self._remote_load: Final = LoadEstimate(use_mean=policy.estimate_load)
        self._mean_pace: Final = mean_pace or MeanPace()
        self._pace: float | None = None
        self._pace_at = -math.inf

    @property
    def outstanding(self) -> int:
        """Return the number of outstanding attempts."""
        return len(self._attempts)

    def slowdown(self, now: float) -> float:
        """Return the slowdown, decayed since the last response."""
        age = now - self._slowdown_at
        if not self._policy.learns_pace or age > 4 * SLOWDOWN_DECAY_S:
            return 1.0
        return 1.0 + (self._slowdown - 1.0) * math.exp(-max(0.0, age) / SLOWDOWN_DECAY_S)

    def pace(self, now: float) -> float:
        """Return the pace, decayed to the mean since the last report; 1 without any report."""
        if self._pace is None or not self._policy.uses_pace:
            return 1.0
        age, mean = max(0.0, now - self._pace_at), self._mean_pace.value
        if age > 4 * PACE_DECAY_S:
            return mean
        return mean + (self._pace - mean) * math.exp(-age / PACE_DECAY_S)

    def latency_factor(self, now: float) -> float:
        """Return the expected latency without a queue, in usual latencies."""
        return self.slowdown(now) * self.pace(now)

    def shed_rate(self, now: float) -> float:
        """Return the share of refused and failed attempts, decayed since the last attempt."""
        if self._shed_rate == 0.0 or not self._policy.learns_sheds:
            return 0.0
        return self._shed_rate * math.exp(-max(0.0, now - self._shed_rate_at) / SHED_DECAY_S)

    def is_stalled(self, now: float) -> bool:
        """Return whether the oldest outstanding attempt is late."""
        for late_at, _ in self._attempts.values():
            return late_at <= now
        return False

    def is_backing_off(self, now: float) -> bool:
        """Return whether the replica is in the back-off after a refusal or failure."""
        return now < self._backoff_until

    def on_sent(self, attempt: object, *, late_at: float, overdue_at: float | None = None) -> None:
        """Record an attempt.

        From `late_at` on it is late; from `overdue_at` on the queue at the replica no longer
        explains the delay. Without `overdue_at`, both times are equal.
        """
        self._attempts[attempt] = (late_at, late_at if overdue_at is None else overdue_at)

    def on_answer(self, now: float, attempt: object, *, latency_ratio: float) -> None:
        """Record a response; `latency_ratio` is its latency over the usual one of its route."""
        self._attempts.pop(attempt, None)
        self._backoffs = 0
        self._update_slowdown(now, self._unexplained_ratio(now, latency_ratio))
        self._update_shed_rate(now, 0.0)

    def on_refusal(self, now: float, attempt: object, *, retry_after_s: float = 0.0) -> None:
        """Record a refusal of a request that did not run; `retry_after_s` is its Retry-After in
        seconds."""
        self._attempts.pop(attempt, None)
        self._back_off(now, retry_after_s)
        self._refused_until = self._backoff_until

    def on_failure(self, now: float, attempt: object) -> None:
        """Record a failure: a lost connection, a malformed response, an error of the replica."""
        self._attempts.pop(attempt, None)
        self._back_off(now, 0.0)

    def on_abandoned(self, now: float, attempt: object, *, latency_ratio: float) -> None:
        """Record an attempt that was abandoned without a response after `latency_ratio` usual
        latencies."""
        if self._attempts.pop(attempt, None) is None:
            return
        latency_ratio = self._unexplained_ratio(now, latency_ratio)
        if latency_ratio > self.slowdown(now):
            self._update_slowdown(now, latency_ratio)
        if latency_ratio > STALLED_COST / 2:
            self._back_off(now, 0.0)

    def on_not_sent(self, attempt: object) -> None:
        """Record that an attempt was not sent after all."""
        self._attempts.pop(attempt, None)

    def on_report(
        self, now: float, *, running: int, waiting: int, slots: int, pace: float | None = None
    ) -> None:
        """Record the replica's report of its load by all callers together, and of its pace.

        Without a pace, the last one that was reported continues to decay. Record the report before
        the answer that carries it, as its pace explains that answer's latency.
        """
        self.slots = max(1, slots)
        if pace is not None:
            self._pace, self._pace_at = min(MAX_PACE, max(MIN_PACE, pace)), now
            self._mean_pace.add(self._pace)
        self._remote_load.on_report(now, total=running + waiting, own=len(self._attempts))

    def expected_load(self, now: float) -> float:
        """Return the estimated number of requests of all VMs at the replica."""
        return len(self._attempts) + self._remote_load.estimate(now)

    def has_free_slot(self, now: float) -> bool:
        """Return whether one more request would start without queueing."""
        return self.expected_load(now) < self.slots

    def queueing_delay_ms(self, now: float, *, usual_ms: float) -> float:
        """Return the milliseconds that one more attempt would wait: for the queue, or for the end
        of the back-off after a refusal."""
        queue_ms = usual_ms * self.latency_factor(now) * self._queued_per_slot(now)
        return max(queue_ms, (self._refused_until - now) * 1000)

    def queueing_factor(self, now: float) -> float:
        """Return the expected duration of one more attempt over that without a queue."""
        return 1.0 + self._queued_per_slot(now)

    def is_healthy(self, now: float) -> bool:
        """Return whether the replica is warm, not failing, and no later than its queue explains.

        A refusal is no failure here: it shows that the replica is full.
        """
        if now < self.cold_until:
            return False
        for _, unexplained_at in self._attempts.values():
            if unexplained_at <= now:
                return False
            break
        return not self.is_backing_off(now) or self._refused_until >= self._backoff_until

    def _queued_per_slot(self, now: float) -> float:
        return max(0.0, self.expected_load(now) + 1.0 - self.slots) / self.slots

    def cost(self, now: float, *, uniform: float) -> float:
        """Return the expected duration of one more attempt, in usual latencies.

        `uniform` is a uniform random number in [0, 1); it spreads the choices of VMs with equal
        state.
        """
        busy = self.expected_load(now)
        # A replica that answers, however slowly, costs less than a stalled one without a queue.
        latency_factor = min(MAX_SLOWDOWN, self.latency_factor(now))
        cost = latency_factor * self.queueing_factor(now) + LOAD_COST * (
            busy / self.slots + 0.2 * uniform
        )
        if self._pace is not None and self._policy.uses_pace:
            cost += PACE_SPREAD * uniform
        if now < self.cold_until:
            cost *= COLD_COST
        if self.is_local:
            cost -= min((1.0 - LOCAL_MIN_COST_SHARE) * cost, LOCAL_MAX_DISCOUNT)
        if self.is_stalled(now):
            cost += STALLED_COST
        if now < self._backoff_until:
            cost += BACKOFF_COST
        return cost + SHED_COST * self.shed_rate(now)

    def _unexplained_ratio(self, now: float, ratio: float) -> float:
        """Return a latency ratio without the part that the pace explains.

        Only a part of the latency grows with the pace (the network's does not), so the pace may
        explain a deviation from the usual latency, but is itself no evidence of another one.
        """
        pace = self.pace(now)
        if pace < 1.0:
            return min(ratio / pace, max(ratio, 1.0))
        return max(ratio / pace, min(ratio, self.slowdown(now), 1.0))

    def _update_slowdown(self, now: float, ratio: float) -> None:
        slowdown = self.slowdown(now)
        if ratio <= SPIKE_RATIO * slowdown:
            self._fast_at = now
        elif self._policy.clips_jumps and now - self._fast_at < RECENTLY_FAST_S:
            if now < self._spike_until:
                return
            self._spike_until = now + SPIKE_WINDOW_S
            ratio = SPIKE_RATIO * slowdown
        weight = SLOWDOWN_RISE_WEIGHT if ratio > slowdown else SLOWDOWN_FALL_WEIGHT
        self._slowdown = slowdown + weight * (min(ratio, MAX_SLOWDOWN) - slowdown)
        self._slowdown_at = now

    def _update_shed_rate(self, now: float, value: float) -> None:
        rate = self.shed_rate(now)
        self._shed_rate = rate + SHED_WEIGHT * (value - rate)
        self._shed_rate_at = now

    def _back_off(self, now: float, wait: float) -> None:
        self._update_shed_rate(now, 1.0)
        if now >= self._backoff_until:
            self._backoffs = min(self._backoffs + 1, 8)
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_INITIAL_S * 2.0 ** (self._backoffs - 1))
        self._backoff_until = max(
            self._backoff_until, now + max(backoff_s, min(wait, BACKOFF_MAX_S))
        )
