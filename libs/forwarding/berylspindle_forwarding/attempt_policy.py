"""Connect one request to shared replica state, retry budgets and latency statistics.

Terms:
  tools   what all requests of one VM share
  times   the bounds of one request

Flow: the forwarder makes one `ForwardTools`; each request gets a `RouteAttemptPolicy`, which
chooses replicas from the registry, grants retry budgets and hedge delays, and updates all three
from the outcome of each attempt.
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
    added_ms_of,
    pressure_of,
    return_after_ms,
)
from berylspindle_decisions.answer_time import HedgeTimes, hedge_times
from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.hedged_request import AttemptPolicy
from berylspindle_decisions.latency_profile import LatencyProfile
from berylspindle_decisions.log_rate_limiter import LineKind, LogRateLimiter
from berylspindle_decisions.reach import Reach
from berylspindle_decisions.replica_health import ReplicaHealth
from berylspindle_decisions.shared_retry_budget import SharedBudgetOptions, SharedRetryBudget
from berylspindle_forwarding.attempt import Attempt
from berylspindle_forwarding.crash_watch import CrashWatch
from berylspindle_forwarding.dialect import HOP_HEADERS, Dialect
from berylspindle_forwarding.replica_registry import ReplicaHandle, ReplicaRegistry
from berylspindle_forwarding.reply_check import ReplyClass
from berylspindle_forwarding.rollouts import Rollouts
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.routing import Route
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.logs import logger
from berylspindle_telemetry.metrics import Metrics
from berylspindle_wire.exchange import EndKind, ExchangeEnd, ExchangeReply

NO_REPLICA_WAIT_S: Final = 0.25
"""Seconds for which a service without a usable replica is waited for: a replica that has just gone
is mostly replaced within them, and a caller that is told to come back waits as long. A VM that is
cut off says so at once."""

RETRY_AFTER_MS: Final = 300
"""When a caller may come back to a service without a usable replica: a replica that has crashed is
back, or its absence known, within some of these."""

_LOG: Final = logger("replica")


def _profiles() -> defaultdict[str, LatencyProfile]:
    return defaultdict(LatencyProfile)


@attrs.define(kw_only=True)
class ForwardTools:
    """What all requests of one VM share.

    Attributes:
        profiles: latencies of each route's sub-requests.
        unqueued: of those that were sent to a replica with a free slot.
    """

    registry: ReplicaRegistry
    crashes: CrashWatch
    reach: Reach
    dialect: Dialect
    metrics: Metrics
    now: Callable[[], float]
    vms: Callable[[], int]
    until_elsewhere: Callable[[float], float]
    bounds: SharedBudgetOptions
    started: float
    policy: ForwardPolicy
    gate: AdmissionController
    rollouts: Rollouts
    lines: LogRateLimiter = attrs.field(factory=LogRateLimiter)
    shares: dict[str, SharedRetryBudget] = attrs.field(factory=dict)
    profiles: defaultdict[str, LatencyProfile] = attrs.field(factory=_profiles)
    unqueued: defaultdict[str, LatencyProfile] = attrs.field(factory=_profiles)

    def note_belief(self, message: str, **fields: str) -> None:
        """Write a line for a change of what this VM believes of a replica, as far as is allowed."""
        if not self.lines.may_write(self.now(), LineKind.BELIEF):
            self.metrics.count(names.LOG_LEFT_OUT, kind=LineKind.BELIEF.value)
            return
        _LOG.info(message, extra=fields)

    def share(self, service: str) -> SharedRetryBudget:
        """Return this VM's extra share at a service."""
        found = self.shares.get(service)
        if found is None:
            found = self.shares[service] = SharedRetryBudget(self.bounds, started=self.started)
        return found


@attrs.frozen(kw_only=True)
class RequestTimes:
    """The bounds of one request, in seconds of the loop's clock.

    Attributes:
        aim_cut: when an answer must leave to be worth all that it can be.
        deadline: when the caller stops waiting; what replicas are told.
        answer_by: when the last answer must leave to reach the caller by then.
    """

    started: float
    aim_cut: float
    deadline: float
    answer_by: float


class RouteAttemptPolicy(AttemptPolicy):
    """What the attempts of one request need to know, and what is learned from them."""

    def __init__(
        self,
        tools: ForwardTools,
        route: Route,
        times: RequestTimes,
        avoided: frozenset[str] = frozenset(),
    ) -> None:
        """Take also replicas that are tried only where no others are left."""
        self._avoided: Final = avoided
        self._tools: Final = tools
        self._route: Final = route
        self._times: Final = times
        self._profile: Final = tools.profiles[route.name]
        self._unqueued: Final = tools.unqueued[route.name]
        self._hedge: HedgeTimes | None = None

    @property
    def usual_ms(self) -> float:
        """Return the usual latency of the route's sub-requests, 0 where it isn't known yet."""
        return self._profile.quantile(0.5) if self._profile.known else 0.0

    def pick(self, service: str, *, tried: frozenset[str], hedge: bool) -> str | None:
        """Return the replica for an attempt, or None."""
        if hedge and not self._tools.policy.hedges:
            return None
        if not (tried or hedge) and self._tools.rollouts.takes_trial(service, u=random.random()):
            on_trial = self._tools.registry.pick_on_trial(service)
            if on_trial is not None:
                return on_trial.replica.id
        once = not self._route.repeatable
        avoided = tried | self._avoided
        handle = self._tools.registry.pick(service, tried=avoided, hedge=hedge, once=once)
        if handle is None and self._avoided:
            handle = self._tools.registry.pick(service, tried=tried, hedge=hedge, once=once)
        return handle.replica.id if handle is not None else None

    def may_take_extra(self, service: str, *, hedge: bool) -> bool:
        """Tell whether one more arrival is allowed; True has taken it."""
        now, share = self._tools.now(), self._tools.share(service)
        if not share.may_take(now, vms=self._tools.vms(), hedge=hedge):
            self._tools.metrics.count(names.FORWARD_DENIED, reason="hedge" if hedge else "retry")
            return False
        share.take(now)
        return True

    def hedge_after(self, service: str) -> float:
        """Return after how many seconds an attempt that goes out now is hedged."""
        return self._hedge_times().delay_ms / 1000

    def handle(self, replica: str) -> ReplicaHandle:
        """Return the handle of a replica that was just picked."""
        found = self._tools.registry.get(replica)
        assert found is not None
        return found

    def note_sent(self, now: float, attempt: Attempt, reason: str) -> None:
        """Note an attempt that goes out."""
        attempt.explained = attempt.handle.health.explained(now)
        delay = attempt.record.hedge_at - attempt.record.sent_at
        attempt.handle.health.sent(
            attempt,
            late_at=attempt.record.hedge_at,
            unexplained_at=now + delay * attempt.explained,
        )
        self._tools.reach.tried(now, attempt.handle.replica.data_centre)
        if now < attempt.handle.health.cold_until:
            attempt.handle.note_cold_send(now)
        self._tools.metrics.count(names.FORWARD_ATTEMPTS, reason=reason)

    def note_load(self, now: float, handle: ReplicaHandle, reply: ExchangeReply) -> None:
        """Take a replica's report of its load, if its reply holds one that can be read."""
        text = reply.header(self._tools.dialect.load)
        if text is None:
            return
        parts = text.split(",")
        if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
            running, waiting, slots = (int(part) for part in parts)
            handle.health.reported(now, running=running, waiting=waiting, slots=slots)

    def note_reply(
        self,
        now: float,
        attempt: Attempt,
        verdict: ReplyClass,
        elapsed_ms: float,
        reply: ExchangeReply,
    ) -> None:
        """Learn from a whole reply."""
        health = attempt.handle.health
        self._tools.reach.heard(now, attempt.handle.replica.data_centre)
        self._tools.metrics.count(names.FORWARD_REPLIES, kind=verdict.value)
        if verdict in (ReplyClass.ANSWER, ReplyClass.FINAL):
            ratio = self._ratio(attempt, elapsed_ms)
            self._note_version(now, attempt, elapsed_ms)
            self._profile.add(elapsed_ms)
            self._learn_unqueued(attempt, elapsed_ms)
            health.answered(now, attempt, ratio=ratio)
        elif verdict is ReplyClass.REFUSED:
            health.refused(now, attempt)
        elif verdict is ReplyClass.MISDIRECTED:
            health.withdrawn(attempt)
            self._tools.note_belief(
                "address belongs to another replica", replica=attempt.handle.replica.id
            )
            self._tools.registry.set_misplaced(attempt.handle)
        else:
            if verdict is ReplyClass.FOREIGN:
                self._tools.registry.losses.lost(now, attempt.handle.replica.id)
            else:
                self._note_version(now, attempt, None)
            self._note_failed(now, attempt, verdict.value)

    def note_end(self, now: float, attempt: Attempt, end: ExchangeEnd) -> None:
        """Learn from an attempt without a reply."""
        self._tools.metrics.count(names.FORWARD_REPLIES, kind=end.kind.value)
        if end.kind is EndKind.NOT_SENT:
            attempt.handle.health.withdrawn(attempt)
        else:
            self._tools.registry.losses.lost(now, attempt.handle.replica.id)
        self._note_failed(now, attempt, f"{end.kind.value} {end.detail}")

    def _note_failed(self, now: float, attempt: Attempt, what: str) -> None:
        health = attempt.handle.health
        was_held_off = health.is_held_off(now)
        health.failed(now, attempt)
        if was_held_off:
            return
        self._tools.note_belief(
            "replica held off",
            replica=attempt.handle.replica.id,
            service=attempt.handle.replica.service,
            after=what,
            shed_rate=f"{health.shed_rate(now):.2f}",
        )

    def note_given_up(self, now: float, attempt: Attempt, elapsed_ms: float) -> None:
        """Learn from an attempt that nobody waits for any more."""
        replica, ms = attempt.handle.replica, elapsed_ms / attempt.explained
        is_cold = now < attempt.handle.health.cold_until
        sent_at = now - elapsed_ms / 1000
        if not is_cold and self._tools.reach.heard_since(replica.data_centre, sent_at):
            self._tools.rollouts.note_abandoned(replica, self._route.name, ms)
        attempt.handle.health.given_up(now, attempt, ratio=self._ratio(attempt, elapsed_ms))

    def _note_version(self, now: float, attempt: Attempt, elapsed_ms: float | None) -> None:
        """Count a reply after so long, None where it is a failure.

        A cold replica is slow, or drops what it can't bear, whatever its version; nor does a lost
        or spoiled reply say anything of it.
        """
        if now < attempt.handle.health.cold_until:
            return
        replica = attempt.handle.replica
        ms = None if elapsed_ms is None else elapsed_ms / attempt.explained
        self._tools.rollouts.note_answer(replica, self._route.name, ms)

    def _learn_unqueued(self, attempt: Attempt, elapsed_ms: float) -> None:
        """Learn what an attempt takes at a free replica.

        One that waited for a connection tells nothing of that: a VM that has just started opens
        them all at once, took the wait for its replicas' pace, and refused callers who came back
        after an outage. Until enough is known a queued one counts for what its queue leaves of it.
        """
        if attempt.waited:
            return
        if attempt.explained <= 1.0 or not self._unqueued.known:
            self._unqueued.add(elapsed_ms / attempt.explained)

    def _ratio(self, attempt: Attempt, elapsed_ms: float) -> float:
        """Return a latency over what was to be expected of a replica of usual pace."""
        usual = self._hedge_times().usual_ms
        if self._unqueued.known:
            usual = self._unqueued.quantile(0.5)
        return elapsed_ms / max(usual * attempt.explained, 0.1)

    def refusal_at_once(self, services: Sequence[str]) -> Refusal | None:
        """Return the refusal of a request that would only make the queues longer, or None."""
        now = self._tools.now()
        usual_ms = self._unqueued.quantile(0.5) if self._unqueued.known else 0.0
        added_ms = [
            added_ms_of(self._healths(service), now, usual_ms=usual_ms) for service in services
        ]
        shard_set = self._route.shard_set
        least = shard_set.least if shard_set is not None else len(services)
        aim_ms = (self._times.aim_cut - self._times.started) * 1000
        left_ms = (self._times.deadline - now) * 1000
        request = AdmissionRequest(
            group=services[0],
            priority=self._route.priority,
            pressure=pressure_of(added_ms, least=least, aim_ms=aim_ms),
        )
        if self._tools.gate.admits(now, request, u=random.random()):
            return None
        wait = return_after_ms(added_ms=max(added_ms), left_ms=left_ms, u=random.random())
        return Refusal(
            ErrorKind.OVERLOADED,
            f"pressure {request.pressure:.2f}",
            RunState.NOT_RUN,
            retry_after_ms=int(wait),
        )

    def _healths(self, service: str) -> Iterator[ReplicaHealth]:
        return (handle.health for handle in self._tools.registry.usable(service))

    def is_hopeless(self) -> bool:
        """Tell whether this VM is cut off from too many of the route's shards for an answer."""
        shard_set = self._route.shard_set
        if shard_set is None or not self._tools.reach.is_cut_off(self._tools.now()):
            return False
        return sum(map(self._tools.registry.has_at_home, shard_set.shards)) < shard_set.least

    def no_replica_wait_s(self) -> float:
        """Return how long a service without a usable replica is waited for."""
        if not self._tools.policy.wait_for_replica or self._tools.reach.is_cut_off(
            self._tools.now()
        ):
            return 0.0
        return NO_REPLICA_WAIT_S

    def retry_after_ms(self, now: float) -> int:
        """Return when a caller that was refused unrun may come back.

        Where this VM is cut off, when the balancer sends it to another data centre: sooner it would
        spend one of its few tries on a VM that is cut off too.
        """
        left_ms = (self._times.deadline - now) * 1000
        wait_ms: float = RETRY_AFTER_MS
        if self._tools.reach.is_cut_off(now):
            wait_ms = self._tools.until_elsewhere(now) * 1000
        return int(max(0.0, min(wait_ms, left_ms / 3)))

    def end_to_end(self, reply: ExchangeReply) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers of a reply that are not of its hop."""
        return tuple((n, v) for n, v in reply.headers if n not in HOP_HEADERS)

    def _hedge_times(self) -> HedgeTimes:
        now = self._tools.now()
        aim_left_ms = (self._times.aim_cut - now) * 1000
        aim_ms = (self._times.aim_cut - self._times.started) * 1000
        return hedge_times(self._profile, aim_left_ms=aim_left_ms, aim_ms=aim_ms)
