"""State that one entry keeps for one service, and the strategy of each search based on it.

Terms:
  replica statistics   smoothed latency, outstanding attempts and retry delay of one backend server
                       as observed by this entry

Flow: `ServiceState` exists as long as the service is configured and is updated from every reply. A
`SearchStrategy` is created per search and gives it access to budgets, replica choice and the
snapshot tracker. This state is local to the entry; only the quarantine is shared between VMs.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

import attrs

from berylspindle_dataplane.entry_quarantine import EntryQuarantine, is_connection_loss
from berylspindle_dataplane.fanout_strategy import FanoutStrategy
from berylspindle_dataplane.router import Router, Target
from berylspindle_dataplane.service_meters import ServiceMeters
from berylspindle_decisions.admission import Admission, AdmissionOptions
from berylspindle_decisions.budget import (
    BudgetOptions,
    RequestRetries,
    RetryBudget,
    RetryClass,
    RetryPolicy,
)
from berylspindle_decisions.ejection import Ejector
from berylspindle_decisions.hedging import HedgeOptions, HedgePolicy, HedgeVerdict
from berylspindle_decisions.replica_choice import ReplicaView, choose, hedge_target
from berylspindle_decisions.snapshot_choice import KeepSnapshot, Reask, SnapshotTracker
from berylspindle_model.configuration import Service
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.messages import AttemptReply
from berylspindle_model.snapshot import Snapshot

# Weight of a new reply in the smoothed latency: about ten replies reveal a server that has become
# slow.
SMOOTHING_FACTOR: Final = 0.1
# Expected latency of an attempt before the first reply.
DEFAULT_EXPECTED_MS: Final = 5.0
# How long a server is avoided after a refusal without a retry delay.
DEFAULT_REFUSAL_SECONDS: Final = 0.05


@attrs.define(eq=False)
class OverloadSignal:
    """Longest queueing delay of one request, and whether an attempt was refused for overload."""

    queued_ms: float = 0.0
    overloaded: bool = False

    def record_reply(self, reply: AttemptReply) -> None:
        """Update the signal from one reply."""
        self.queued_ms = max(self.queued_ms, reply.queued_ms)
        if reply.error in _OVERLOAD_ERRORS:
            self.overloaded = True


@attrs.define(eq=False)
class ReplicaStats:
    """Statistics of one backend server as observed by this entry."""

    latency_ms: float | None = None
    outstanding: int = 0
    refused_until: float = float("-inf")

    def record_latency(self, latency_ms: float) -> None:
        """Update the smoothed latency from one reply."""
        if self.latency_ms is None:
            self.latency_ms = latency_ms
            return
        self.latency_ms += SMOOTHING_FACTOR * (latency_ms - self.latency_ms)


class ServiceState:
    """State that one entry keeps for one service."""

    def __init__(
        self,
        service: Service,
        shard_map: Mapping[str, tuple[str, ...]],
        meters: ServiceMeters,
        admission: AdmissionOptions,
    ) -> None:
        policy = service.policy
        # One per service: overload of one service says nothing about others.
        self.admission: Final = Admission(admission)
        self.service = service
        self.meters: Final = meters
        self.tracker: Final = SnapshotTracker(service.epoch, shard_map)
        self.hedging: Final = HedgePolicy(HedgeOptions(share=policy.hedge_share))
        self.retry_budget: Final = RetryBudget(BudgetOptions(share=policy.retry_share))
        self.retries: Final = RetryPolicy(self.retry_budget)
        self.ejector: Final = Ejector(shard_map)
        self.expected_ms = DEFAULT_EXPECTED_MS
        self.served_ms = DEFAULT_EXPECTED_MS
        self._replica_stats: dict[str, ReplicaStats] = {}

    def adopt(self, service: Service, shard_map: Mapping[str, tuple[str, ...]]) -> None:
        """Apply a changed service or shard map; keep the state of servers that remain."""
        self.service = service
        self.tracker.set_map(service.epoch, shard_map)
        self.ejector.set_groups(shard_map)
        known = {server for servers in shard_map.values() for server in servers}
        self._replica_stats = {name: r for name, r in self._replica_stats.items() if name in known}

    def replica_stats(self, server: str) -> ReplicaStats:
        """Return the statistics of one backend server."""
        found = self._replica_stats.get(server)
        if found is None:
            found = self._replica_stats[server] = ReplicaStats()
        return found

    def view(self, target: Target, *, local: str, now: float, pin: Snapshot | None) -> ReplicaView:
        """Return the input of the replica choice for one target."""
        server = target.server
        stats = self.replica_stats(server.id)
        holds = self.tracker.holds(server.shard, server.id, pin) if pin is not None else None
        return ReplicaView(
            server=server.id,
            data_centre=server.data_centre,
            owner=target.owner.id,
            is_local=server.data_centre == local,
            is_ejected=not self.ejector.may_use(now, server.id),
            holds_snapshot=holds,
            latency_ms=stats.latency_ms,
            outstanding=stats.outstanding,
            slots=server.slots,
            refused_until=stats.refused_until,
        )

    def record_cancelled(self, server: str, elapsed_ms: float) -> None:
        """Update the latency from a first attempt cancelled in favour of its hedge, if it was slow.

        Without this, a server whose attempts are all hedged would keep the latency from before it
        became slow, and every search would spend another hedge on it.
        """
        stats = self.replica_stats(server)
        known_ms = stats.latency_ms if stats.latency_ms is not None else DEFAULT_EXPECTED_MS
        if elapsed_ms > known_ms:
            stats.record_latency(elapsed_ms)
        self.ejector.on_cancelled(server, elapsed_ms)

    def record_reply(self, now: float, target: Target, reply: AttemptReply) -> None:
        """Update latency, known snapshots, refusals and failures from one reply."""
        server = target.server.id
        stats = self.replica_stats(server)
        if reply.versions:
            self.tracker.observe(reply.shard, server, reply.versions)
        if reply.error is None:
            elapsed = reply.queued_ms + reply.served_ms
            stats.record_latency(elapsed)
            self.expected_ms += SMOOTHING_FACTOR * (elapsed - self.expected_ms)
            self.served_ms += SMOOTHING_FACTOR * (reply.served_ms - self.served_ms)
            self.ejector.on_success(now, server, reply.served_ms)
            self.meters.on_ejection_check(now, server, self.ejector)
            return
        if reply.error in _SERVER_FAULTS and reply.run is not RunState.NOT_RUN:
            self.ejector.on_failure(now, server)
            self.meters.on_ejection_check(now, server, self.ejector)
        elif reply.run is RunState.NOT_RUN and reply.error not in _REQUEST_ERRORS:
            wait = (reply.retry_after_ms or 0) / 1000
            stats.refused_until = now + max(wait, DEFAULT_REFUSAL_SECONDS)


_SERVER_FAULTS: Final = frozenset(
    {
        ErrorKind.CONNECTION_LOST,
        ErrorKind.BAD_REPLY,
        ErrorKind.BACKEND_FAILED,
        ErrorKind.DEADLINE_EXCEEDED,
    }
)


# Refusals caused by the request, not by the server.
_REQUEST_ERRORS: Final = frozenset({ErrorKind.SNAPSHOT_GONE, ErrorKind.QUARANTINED})


_OVERLOAD_ERRORS: Final = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.CALLER_OVER_SHARE,
        ErrorKind.SERVER_SHED,
        ErrorKind.DEADLINE_EXCEEDED,
    }
)


class SearchStrategy(FanoutStrategy):
    """Provide one search with the targets, budgets and snapshots of its service."""

    def __init__(
        self,
        state: ServiceState,
        router: Router,
        quarantine: EntryQuarantine,
        *,
        fingerprint: str,
        overload: OverloadSignal,
        pinned: bool,
        now: Callable[[], float],
        random: Callable[[], float],
        new_id: Callable[[], str],
    ) -> None:
        self._state: Final = state
        self._router: Final = router
        self._quarantine: Final = quarantine
        self._fingerprint: Final = fingerprint
        self._overload: Final = overload
        self._pinned: Final = pinned
        self._now: Final = now
        self._random: Final = random
        self._new_id: Final = new_id
        self._retries: Final = RequestRetries()
        self._owners: set[str] = set()
        self._connection_lost = False

    def pick(
        self, shard: str, *, tried: frozenset[str], pin: Snapshot | None, hedge: bool
    ) -> Target | None:
        """Return the best untried target of a shard, or None."""
        now = self._now()
        local = self._router.me.data_centre
        targets = {t.server.id: t for t in self._router.targets(self._state.service.name, shard)}
        views = [self._state.view(t, local=local, now=now, pin=pin) for t in targets.values()]
        if hedge:
            chosen = hedge_target(choose(views, now=now, uniform=self._random()), tried, now=now)
            return targets[chosen.server] if chosen is not None else None
        untried = [view for view in views if view.server not in tried]
        order = choose(untried, now=now, uniform=self._random(), owners=self._owners)
        if not order:
            return None
        self._owners.add(order[0].owner)
        return targets[order[0].server]

    def hedge_delay_ms(self) -> float:
        """Return the hedge delay of the service, derived from its latencies, in milliseconds."""
        return self._state.hedging.delay_ms

    def may_hedge(self, *, elapsed_ms: float, left_ms: float) -> HedgeVerdict:
        """Return whether a hedge may start now."""
        verdict = self._state.hedging.decide(
            elapsed_ms=elapsed_ms,
            left_ms=left_ms,
            repeatable=True,
            connection_lost=self._connection_lost,
        )
        if verdict is HedgeVerdict.NO_BUDGET:
            self._state.meters.on_denied("hedge")
        return verdict

    def may_retry(self, shard: str, reply: AttemptReply, *, left_ms: float) -> bool:
        """Return whether a failed attempt may be retried."""
        denied = self._state.retry_budget.denied
        verdict = self._state.retries.decide(
            self._retries,
            shard=shard,
            kind=reply.error or ErrorKind.INTERNAL,
            run=reply.run or RunState.MAY_HAVE_RUN,
            repeatable=True,
            left_ms=left_ms,
            expected_ms=self._state.expected_ms,
        )
        if self._state.retry_budget.denied > denied:
            self._state.meters.on_denied("retry")
        # A retry after a lost connection would have to be a canary itself. The next search with the
        # same fingerprint is one; within this search the shard counts as lost.
        return verdict in (RetryClass.FREE, RetryClass.BUDGETED)

    def reask(
        self,
        *,
        answered: Mapping[str, Snapshot],
        refused: frozenset[str],
        rounds: int,
        left_ms: float,
    ) -> Reask | KeepSnapshot | Refusal:
        """Return the snapshot to query next, or how to proceed without one."""
        service = self._state.service
        usable = {
            target.server.id
            for shard in service.shards
            for target in self._router.targets(service.name, shard)
        }
        return self._state.tracker.reask(
            answered=answered,
            refused=refused,
            pinned=self._pinned,
            rounds=rounds,
            left_ms=left_ms,
            expected_ms=self._state.expected_ms,
            usable=usable,
        )

    def observe(self, target: Target, reply: AttemptReply, *, is_first: bool) -> None:
        """Update the state of the service and the quarantine from one reply."""
        now = self._now()
        self._state.replica_stats(target.server.id).outstanding -= 1
        self._state.record_reply(now, target, reply)
        self._overload.record_reply(reply)
        self._quarantine.record_reply(now, self._fingerprint, reply)
        if reply.error is None:
            if is_first:
                elapsed_ms = reply.queued_ms + reply.served_ms
                self._state.hedging.observe(now, elapsed_ms, queued_ms=reply.queued_ms)
            return
        if is_connection_loss(reply):
            self._connection_lost = True
        if reply.error is ErrorKind.SNAPSHOT_GONE and not reply.versions:
            self._state.tracker.observe(reply.shard, target.server.id, ())

    def new_id(self) -> str:
        """Return a new unique attempt id."""
        return self._new_id()
