"""Connect one request to shared replica state, retry budgets and latency statistics.

Terms:
  aim   a route's latency target (`target_ms`); it is earlier than the deadline

Flow: the forwarder creates one `ForwardContext`; each request gets a `RouteAttemptPolicy`, which
selects replicas from the registry, applies the retry budget and the hedge delay, and updates
replica health and latency statistics from the outcome of each attempt.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from typing import Final

import attrs

from berylspindle_decisions.admission_controller import (
    AdmissionController,
    AdmissionRequest,
    min_queueing_delay_ms,
    queueing_pressure,
    retry_after_ms,
)
from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.hedged_request import AttemptPolicy
from berylspindle_decisions.latency_profile import LatencyProfile
from berylspindle_decisions.log_rate_limiter import LineKind, LogRateLimiter
from berylspindle_decisions.reachability import Reachability
from berylspindle_decisions.replica_health import ReplicaHealth
from berylspindle_decisions.response_timing import HedgeTiming, hedge_timing
from berylspindle_decisions.shared_retry_budget import SharedBudgetOptions, SharedRetryBudget
from berylspindle_forwarding.attempt import Attempt
from berylspindle_forwarding.crash_watch import CrashWatch
from berylspindle_forwarding.dialect import HOP_HEADERS, Dialect
from berylspindle_forwarding.replica_registry import ReplicaHandle, ReplicaRegistry
from berylspindle_forwarding.reply_check import ReplyClass
from berylspindle_forwarding.rollouts import Rollouts
from berylspindle_model.digits import parse_digits
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.routing import Organisation, Route
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.logs import logger
from berylspindle_telemetry.metrics import Metrics
from berylspindle_wire.exchange import ExchangeFailure, ExchangeFailureKind, ExchangeReply

NO_REPLICA_WAIT_S: Final = 0.25
"""Maximum wait for a usable replica, in seconds. A replica that has just disappeared is usually
replaced within this time, and a caller that is refused waits about as long before it retries. A VM
that is cut off from other data centres refuses without waiting."""

RETRY_AFTER_MS: Final = 300
"""Retry-after for a service without a usable replica, in milliseconds. Within a few such intervals
a crashed replica has restarted, or its absence has been detected."""

MAX_FIGURE_DIGITS: Final = 9
"""Maximum digits of a figure in a load report; a longer one is malformed."""

USUAL_PACE_FIGURE: Final = 100
"""Figure for the pace in a load report, in hundredths, at which work takes its usual time."""

_LOG: Final = logger("replica")


def _parse_figure(text: str) -> int | None:
    """Return a figure of a load report, or None if it is malformed."""
    digits = text.strip()
    return parse_digits(digits) if len(digits) <= MAX_FIGURE_DIGITS else None


def _profiles() -> defaultdict[str, LatencyProfile]:
    return defaultdict(LatencyProfile)


@attrs.define(kw_only=True)
class ForwardContext:
    """State and services shared by all requests of one VM.

    Attributes:
        vms: returns the number of VMs that share retry budgets.
        until_rerouted: seconds until the balancer sends the callers of a VM that is cut off to
            another data centre.
        started: start time of this VM, from which the slack of retry budgets grows.
        retry_budgets: retry budget of each service.
        profiles: latency profile of each route's sub-requests.
        unqueued_profiles: latency profile of each route's sub-requests that found a free slot.
    """

    registry: ReplicaRegistry
    crashes: CrashWatch
    reach: Reachability
    dialect: Dialect
    metrics: Metrics
    now: Callable[[], float]
    vms: Callable[[], int]
    until_rerouted: Callable[[float], float]
    budget_options: SharedBudgetOptions
    started: float
    policy: ForwardPolicy
    admission: AdmissionController
    rollouts: Rollouts
    log_limiter: LogRateLimiter = attrs.field(factory=LogRateLimiter)
    retry_budgets: dict[str, SharedRetryBudget] = attrs.field(factory=dict)
    profiles: defaultdict[str, LatencyProfile] = attrs.field(factory=_profiles)
    unqueued_profiles: defaultdict[str, LatencyProfile] = attrs.field(factory=_profiles)

    def log_replica_change(self, message: str, **fields: str) -> None:
        """Log a change in the state of a replica, subject to the rate limit of log lines."""
        if not self.log_limiter.allow(self.now(), LineKind.SUSPICION):
            self.metrics.count(names.LOG_LEFT_OUT, kind=LineKind.SUSPICION.value)
            return
        _LOG.info(message, extra=fields)

    def retry_budget(self, service: str) -> SharedRetryBudget:
        """Return this VM's retry budget for a service."""
        found = self.retry_budgets.get(service)
        if found is None:
            found = self.retry_budgets[service] = SharedRetryBudget(
                self.budget_options, started=self.started
            )
        return found


@attrs.frozen(kw_only=True)
class RequestTimes:
    """Time limits of one request, in seconds of the event loop's clock.

    Attributes:
        aim_cutoff: latest time to send an answer that reaches the caller within the aim.
        deadline: when the caller stops waiting; replicas receive it as the time left.
        answer_by: latest time to send an answer or refusal that reaches the caller in time.
    """

    started: float
    aim_cutoff: float
    deadline: float
    answer_by: float


class RouteAttemptPolicy(AttemptPolicy):
    """Select replicas for the attempts of one request, and record their outcomes."""

    def __init__(
        self,
        context: ForwardContext,
        route: Route,
        times: RequestTimes,
        avoided: frozenset[str] = frozenset(),
        organisation: Organisation | None = None,
    ) -> None:
        """Initialize; replicas in `avoided` are selected only if no other is usable.

        The priority of `organisation`, if it has one, replaces that of the route.
        """
        self._avoided: Final = avoided
        own_priority = organisation.priority if organisation is not None else None
        self._organisation: Final = organisation.name if organisation is not None else None
        self._priority: Final = route.priority if own_priority is None else own_priority
        self._context: Final = context
        self._route: Final = route
        self._times: Final = times
        self._profile: Final = context.profiles[route.name]
        self._unqueued_profile: Final = context.unqueued_profiles[route.name]
        self._hedge: HedgeTiming | None = None

    @property
    def usual_ms(self) -> float:
        """Return the median latency of the route's sub-requests, or 0 if it isn't known yet."""
        return self._profile.quantile(0.5) if self._profile.has_enough_samples else 0.0

    def pick_replica(self, service: str, *, tried: frozenset[str], hedge: bool) -> str | None:
        """Return the replica for an attempt, or None if none is usable."""
        if hedge and not self._context.policy.hedges:
            return None
        if not (tried or hedge) and self._context.rollouts.admit_to_trial(
            service, uniform=random.random()
        ):
            on_trial = self._context.registry.pick_trial_replica(service)
            if on_trial is not None:
                return on_trial.replica.id
        once = not self._route.repeatable
        avoided = tried | self._avoided
        handle = self._context.registry.pick(
            service, tried=avoided, is_hedge=hedge, non_repeatable=once
        )
        if handle is None and self._avoided:
            handle = self._context.registry.pick(
                service, tried=tried, is_hedge=hedge, non_repeatable=once
            )
        return handle.replica.id if handle is not None else None

    def acquire_extra(self, service: str, *, hedge: bool) -> bool:
        """Return whether the retry budget allows one more attempt, and if so spend it."""
        now, budget = self._context.now(), self._context.retry_budget(service)
        if not budget.allows(now, vms=self._context.vms(), hedge=hedge):
            self._context.metrics.count(names.FORWARD_DENIED, reason="hedge" if hedge else "retry")
            return False
        budget.take(now)
        return True

    def hedge_delay_s(self, service: str) -> float:
        """Return the hedge delay in seconds for an attempt that is sent now."""
        return self._hedge_times().delay_ms / 1000

    def handle(self, replica: str) -> ReplicaHandle:
        """Return the handle of a replica that was just selected."""
        found = self._context.registry.get(replica)
        assert found is not None
        return found

    def record_sent(self, now: float, attempt: Attempt, reason: str) -> None:
        """Record an attempt that is sent."""
        health = attempt.handle.health
        attempt.expected_slowdown = health.queueing_factor(now)
        delay = attempt.record.hedge_at - attempt.record.sent_at
        # A pace below 1 may have ended since its report, so it makes no attempt overdue earlier.
        delay *= attempt.expected_slowdown * max(1.0, health.pace(now))
        health.on_sent(attempt, late_at=attempt.record.hedge_at, overdue_at=now + delay)
        self._context.reach.on_attempt(now, attempt.handle.replica.data_centre)
        if now < health.cold_until:
            attempt.handle.record_cold_request(now)
        self._context.metrics.count(names.FORWARD_ATTEMPTS, reason=reason)

    def record_load(self, now: float, handle: ReplicaHandle, reply: ExchangeReply) -> None:
        """Record the load report of a replica if its reply has a valid one.

        A fourth figure states the pace; if it is malformed, the others still count.
        """
        text = reply.header(self._context.dialect.load)
        if text is None:
            return
        parts = text.split(",")
        if len(parts) not in (3, 4):
            return
        running, waiting, slots = map(_parse_figure, parts[:3])
        if running is None or waiting is None or slots is None:
            return
        figure = _parse_figure(parts[3]) if len(parts) == 4 else None
        pace = None if figure is None else figure / USUAL_PACE_FIGURE
        handle.health.on_report(now, running=running, waiting=waiting, slots=slots, pace=pace)

    def record_reply(
        self,
        now: float,
        attempt: Attempt,
        verdict: ReplyClass,
        elapsed_ms: float,
        reply: ExchangeReply,
    ) -> None:
        """Update replica health, latencies and rollout statistics from a complete reply."""
        health = attempt.handle.health
        self._context.reach.on_contact(now, attempt.handle.replica.data_centre)
        self._context.metrics.count(names.FORWARD_REPLIES, kind=verdict.value)
        if verdict in (ReplyClass.ANSWER, ReplyClass.FINAL):
            ratio = self._ratio(attempt, elapsed_ms)
            self._record_version(now, attempt, elapsed_ms)
            self._profile.add(elapsed_ms)
            self._record_unqueued(now, attempt, elapsed_ms)
            health.on_answer(now, attempt, latency_ratio=ratio)
        elif verdict is ReplyClass.REFUSED:
            health.on_refusal(now, attempt)
        elif verdict is ReplyClass.MISDIRECTED:
            health.on_not_sent(attempt)
            self._context.log_replica_change(
                "address belongs to another replica", replica=attempt.handle.replica.id
            )
            self._context.registry.mark_misplaced(attempt.handle)
        else:
            if verdict is ReplyClass.FOREIGN:
                self._context.registry.losses.on_loss(now, attempt.handle.replica.process_id)
            else:
                self._record_version(now, attempt, None)
            self._record_failure(now, attempt, verdict.value)

    def record_end(self, now: float, attempt: Attempt, end: ExchangeFailure) -> None:
        """Update replica health and loss reports from an attempt without a reply."""
        self._context.metrics.count(names.FORWARD_REPLIES, kind=end.kind.value)
        if end.kind is ExchangeFailureKind.NOT_SENT:
            attempt.handle.health.on_not_sent(attempt)
        else:
            self._context.registry.losses.on_loss(now, attempt.handle.replica.process_id)
        self._record_failure(now, attempt, f"{end.kind.value} {end.detail}")

    def _record_failure(self, now: float, attempt: Attempt, reason: str) -> None:
        health = attempt.handle.health
        was_backing_off = health.is_backing_off(now)
        health.on_failure(now, attempt)
        if was_backing_off:
            return
        self._context.log_replica_change(
            "replica held off",
            replica=attempt.handle.replica.id,
            service=attempt.handle.replica.service,
            after=reason,
            shed_rate=f"{health.shed_rate(now):.2f}",
        )

    def record_abandoned(self, now: float, attempt: Attempt, elapsed_ms: float) -> None:
        """Update replica health and rollout statistics from an abandoned attempt."""
        replica, ms = attempt.handle.replica, elapsed_ms / attempt.expected_slowdown
        is_cold = now < attempt.handle.health.cold_until
        sent_at = now - elapsed_ms / 1000
        if not is_cold and self._context.reach.had_contact_since(replica.data_centre, sent_at):
            self._context.rollouts.record_abandoned(replica, self._route.name, ms)
        attempt.handle.health.on_abandoned(
            now, attempt, latency_ratio=self._ratio(attempt, elapsed_ms)
        )

    def _record_version(self, now: float, attempt: Attempt, elapsed_ms: float | None) -> None:
        """Count a reply for the version of its replica; `elapsed_ms` is None for a failure.

        Cold replicas are skipped: they are slow or drop requests whatever their version. Lost and
        malformed replies aren't evidence about a version and must not be counted either.
        """
        if now < attempt.handle.health.cold_until:
            return
        replica = attempt.handle.replica
        ms = None if elapsed_ms is None else elapsed_ms / attempt.expected_slowdown
        self._context.rollouts.record_answer(replica, self._route.name, ms)

    def _record_unqueued(self, now: float, attempt: Attempt, elapsed_ms: float) -> None:
        """Record the latency of an attempt as that of a replica without a queue.

        An attempt that waited for a connection is ignored. A VM that has just started opens all
        connections at once; if these waits counted as replica latency, it would refuse callers that
        return after an outage. Attempts at a replica with a queue are recorded only until the
        profile has enough samples, with their latency divided by the expected slowdown. Latencies
        are also divided by the replica's pace, which would otherwise count twice in the expected
        queueing delay while most replicas have the same pace.
        """
        if attempt.waited_for_connection:
            return
        if attempt.expected_slowdown <= 1.0 or not self._unqueued_profile.has_enough_samples:
            pace = attempt.handle.health.pace(now)
            self._unqueued_profile.add(elapsed_ms / (attempt.expected_slowdown * pace))

    def _ratio(self, attempt: Attempt, elapsed_ms: float) -> float:
        """Return a latency over the latency expected from a replica of normal speed."""
        expected_ms = self._hedge_times().usual_ms
        if self._unqueued_profile.has_enough_samples:
            expected_ms = self._unqueued_profile.quantile(0.5)
        return elapsed_ms / max(expected_ms * attempt.expected_slowdown, 0.1)

    def admission_refusal(self, services: Sequence[str]) -> Refusal | None:
        """Return a refusal if admission control rejects the request, else None."""
        now = self._context.now()
        usual_ms = (
            self._unqueued_profile.quantile(0.5)
            if self._unqueued_profile.has_enough_samples
            else 0.0
        )
        added_ms = [
            min_queueing_delay_ms(self._healths(service), now, usual_ms=usual_ms)
            for service in services
        ]
        shard_set = self._route.shard_set
        least = shard_set.min_shards if shard_set is not None else len(services)
        aim_ms = (self._times.aim_cutoff - self._times.started) * 1000
        left_ms = (self._times.deadline - now) * 1000
        request = AdmissionRequest(
            group=services[0],
            priority=self._priority,
            pressure=queueing_pressure(added_ms, min_parts=least, target_ms=aim_ms),
            organisation=self._organisation,
        )
        if self._context.admission.admit(now, request, uniform=random.random()):
            return None
        wait = retry_after_ms(
            queueing_delay_ms=max(added_ms), left_ms=left_ms, uniform=random.random()
        )
        return Refusal(
            ErrorKind.OVERLOADED,
            f"queueing delay is {request.pressure:.2f} times the latency target",
            RunState.NOT_RUN,
            retry_after_ms=int(wait),
        )

    def _healths(self, service: str) -> Iterator[ReplicaHealth]:
        return (handle.health for handle in self._context.registry.usable(service))

    def lacks_reachable_shards(self) -> bool:
        """Return whether a VM that is cut off reaches too few of the route's shards to answer."""
        shard_set = self._route.shard_set
        if shard_set is None or not self._context.reach.is_isolated(self._context.now()):
            return False
        return (
            sum(map(self._context.registry.has_local_replica, shard_set.shards))
            < shard_set.min_shards
        )

    def no_replica_wait_s(self) -> float:
        """Return how long to wait for a usable replica, in seconds."""
        if not self._context.policy.wait_for_replica or self._context.reach.is_isolated(
            self._context.now()
        ):
            return 0.0
        return NO_REPLICA_WAIT_S

    def retry_after_ms(self, now: float) -> int:
        """Return the retry-after, in milliseconds, of a request that was not run.

        If this VM is cut off from other data centres, it is the time until the balancer sends the
        caller to another one: an earlier retry would be spent on a VM that is cut off as well.
        """
        left_ms = (self._times.deadline - now) * 1000
        wait_ms: float = RETRY_AFTER_MS
        if self._context.reach.is_isolated(now):
            wait_ms = self._context.until_rerouted(now) * 1000
        return int(max(0.0, min(wait_ms, left_ms / 3)))

    def end_to_end(self, reply: ExchangeReply) -> tuple[tuple[bytes, bytes], ...]:
        """Return the end-to-end headers of a reply."""
        return tuple((n, v) for n, v in reply.headers if n not in HOP_HEADERS)

    def _hedge_times(self) -> HedgeTiming:
        now = self._context.now()
        aim_left_ms = (self._times.aim_cutoff - now) * 1000
        aim_ms = (self._times.aim_cutoff - self._times.started) * 1000
        return hedge_timing(self._profile, target_left_ms=aim_left_ms, target_ms=aim_ms)
