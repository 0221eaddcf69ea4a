"""Track the rollouts of services: which version receives requests, and how its requests end.

Terms:
  order, status, answers  as in `berylspindle_model.rollout`
  stage                   progress of a rollout (`decisions.rollout_plan`)
  trial                   the stage in which a small share of the requests goes to the new version
  report                  answers that a VM sends to the VM that it follows
  record                  answers of a whole data centre, an entry in the store

Flow: the `apply_*` methods receive each entry of the store for a rollout. `version_rule` returns
which replicas of a service receive requests, and `admit_to_trial` whether a request goes to the new
version instead; attempts report their responses. Reports are sent with the reads of mirrors
(`report`, `merge_report`) up to the first watcher of the data centre. It writes the record, from
which the watchers of all data centres decide (`rollout_controller`).

Guards: a VM that has just started does not know the age of an order, and sends no trial requests
until a record states it: a trial must not exceed its part of the term. A VM whose own answers show
a bad version stops its trial, also if it can reach neither the store nor another VM.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from berylspindle_decisions.latency_profile import LatencyProfile
from berylspindle_decisions.rollout_plan import (
    ExposureBounds,
    Stage,
    allows_trial_request,
    evidence_limits,
    trial_share,
)
from berylspindle_decisions.version_analysis import SLOW_RATIO, Verdict, analyse
from berylspindle_model import codec
from berylspindle_model.rollout import (
    AnswerCounts,
    RolloutAnswers,
    RolloutOrder,
    RolloutReport,
    RolloutShift,
    RolloutState,
    RolloutStatus,
)
from berylspindle_model.routing import Replica

REPORT_TTL_S: Final = 5.0
"""Seconds for which a report is valid; a VM reports with each read of a mirror, once a second."""

MAX_REPORTED_SERVICES: Final = 12
"""Services in one report, latest orders first: the report is part of a request's head."""

MIN_RATE_PERIOD_MS: Final = 1000
"""Milliseconds after an order before its request rate is computed."""

FINAL_STAGES: Final = {
    RolloutState.COMPLETED: Stage.COMPLETED,
    RolloutState.ROLLED_BACK: Stage.ROLLED_BACK,
}
"""Final stages by the state that is reported to the operator."""


@attrs.frozen(kw_only=True)
class VersionRule:
    """Which replicas of a service receive requests: those of a version, or all others."""

    version: str
    is_used: bool


def _new_counts() -> defaultdict[str, AnswerCounts]:
    return defaultdict(AnswerCounts)


def _new_profiles() -> defaultdict[str, LatencyProfile]:
    return defaultdict(LatencyProfile)


@attrs.define(kw_only=True)
class _Rollout:
    """One service; `ordered_at` is the time of the order, None while it isn't known."""

    order: RolloutOrder | None = None
    status: RolloutStatus | None = None
    shift: RolloutShift | None = None
    ordered_at: float | None = None
    shifted_at: float = 0.0
    requests: int = 0
    tried: int = 0
    routes: defaultdict[str, AnswerCounts] = attrs.field(factory=_new_counts)
    baselines: defaultdict[str, LatencyProfile] = attrs.field(factory=_new_profiles)
    records: dict[str, RolloutAnswers] = attrs.field(factory=dict)
    is_trial_stopped: bool = False

    @property
    def stage(self) -> Stage:
        order, status = self.order, self.status
        if status is not None and status.state in FINAL_STAGES and _status_matches(status, order):
            return FINAL_STAGES[status.state]
        if order is None:
            return Stage.ROLLED_BACK
        if self.shift is not None and self.shift.order == order.revision:
            return Stage.SHIFT
        return Stage.TRIAL

    @property
    def is_active(self) -> bool:
        """Return whether a decision is still pending."""
        return self.order is not None and not self.stage.is_final

    @property
    def version(self) -> str:
        """Return the ordered version, or that of the last status if no order exists."""
        if self.order is not None:
            return self.order.version
        return self.status.version if self.status is not None else ""

    def is_slow(self, route: str, ms: float) -> bool:
        """Return whether a response is slow in comparison with the old version."""
        baseline = self.baselines[route]
        return baseline.has_enough_samples and ms >= SLOW_RATIO * baseline.quantile(0.5)

    def reset(self, order: RolloutOrder | None, ordered_at: float | None) -> None:
        """Reset to a new order, or to none."""
        self.order, self.ordered_at = order, ordered_at
        self.requests = self.tried = 0
        self.is_trial_stopped = False
        self.routes.clear()
        self.baselines.clear()
        self.records.clear()


class Rollouts:
    """All rollouts known to one VM; times are in seconds of its clock.

    `on_change` is called when the replicas that receive requests may have changed.
    """

    def __init__(
        self,
        bounds: ExposureBounds,
        *,
        now: Callable[[], float],
        on_change: Callable[[], None],
        dither: float = 0.0,
    ) -> None:
        """Initialize without rollouts.

        `dither` is a random number in [0, 1), drawn once by each VM
        (`rollout_plan.allows_trial_request`).
        """
        self._dither: Final = dither
        self._bounds: Final = bounds
        self._now: Final = now
        self._on_change: Final = on_change
        self._services: Final[dict[str, _Rollout]] = {}
        self._active: frozenset[str] = frozenset()
        self._reports: Final[dict[str, tuple[float, RolloutReport]]] = {}
        self._some_active: Final = asyncio.Event()

    @property
    def active(self) -> frozenset[str]:
        """Return the services with a pending decision."""
        return self._active

    async def wait_active(self) -> None:
        """Wait until a rollout has a pending decision."""
        await self._some_active.wait()

    def apply_order(self, service: str, order: RolloutOrder | None, *, is_new: bool) -> None:
        """Apply an order, None if it was deleted; `is_new` if it has just been written."""
        rollout = self._state_of(service)
        if rollout.order != order:
            rollout.reset(order, self._now() if is_new else None)
        self._on_state_changed()

    def apply_status(self, service: str, status: RolloutStatus | None) -> None:
        """Apply the status last reported to the operator."""
        self._state_of(service).status = status
        self._on_state_changed()

    def apply_shift(self, service: str, shift: RolloutShift | None) -> None:
        """Apply the entry that moves all requests of a service to the new version."""
        rollout = self._state_of(service)
        rollout.shift, rollout.shifted_at = shift, self._now()
        self._on_state_changed()

    def apply_record(self, service: str, data_centre: str, record: RolloutAnswers | None) -> None:
        """Apply the record of a data centre."""
        rollout = self._state_of(service)
        if rollout.order is None or record is None or record.order != rollout.order.revision:
            rollout.records.pop(data_centre, None)
            return
        rollout.records[data_centre] = record
        began = self._now() - record.elapsed_ms / 1000
        rollout.ordered_at = began if rollout.ordered_at is None else min(rollout.ordered_at, began)

    def version_rule(self, service: str) -> VersionRule | None:
        """Return which replicas of a service receive its requests; None if any may."""
        rollout = self._services.get(service)
        if rollout is None or not rollout.version:
            return None
        is_used = rollout.stage in (Stage.SHIFT, Stage.COMPLETED)
        return VersionRule(version=rollout.version, is_used=is_used)

    def is_on_trial(self, service: str) -> bool:
        """Return whether a service has a version on trial."""
        return service in self._active and self.stage(service) is Stage.TRIAL

    def admit_to_trial(self, service: str, *, uniform: float) -> bool:
        """Count a request to a service; return whether it goes to the new version on trial.

        `uniform` is a uniform random number in [0, 1).
        """
        if service not in self._active:
            return False
        rollout = self._services[service]
        rollout.requests += 1
        order, elapsed = rollout.order, self.elapsed(service)
        if (
            order is None
            or elapsed is None
            or rollout.stage is not Stage.TRIAL
            or rollout.is_trial_stopped
        ):
            return False
        share = trial_share(
            self._bounds, term=order.term, rate=self._rate(rollout), elapsed=elapsed
        )
        is_admitted = uniform < share and allows_trial_request(
            self._bounds,
            elapsed=elapsed,
            requests=rollout.requests,
            trial_requests=rollout.tried,
            total_requests=sum(record.requests for record in rollout.records.values()),
            dither=self._dither,
        )
        rollout.tried += is_admitted
        return is_admitted

    def record_answer(self, replica: Replica, route: str, ms: float | None) -> None:
        """Count a response of a replica.

        `ms` is the latency without queueing delay, or None if the request failed. Latencies are
        compared with those of the old version of the same service, since services of one route may
        differ.
        """
        rollout = self._active_rollout(replica.service)
        if rollout is None:
            return
        is_bad = ms is None or rollout.is_slow(route, ms)
        if ms is not None and replica.version != rollout.version:
            rollout.baselines[route].add(ms)
        self._count(rollout, route, replica, is_bad=is_bad)

    def record_abandoned(self, replica: Replica, route: str, ms: float) -> None:
        """Count an abandoned attempt if it was already slow."""
        rollout = self._active_rollout(replica.service)
        if rollout is not None and rollout.is_slow(route, ms):
            self._count(rollout, route, replica, is_bad=True)

    def _active_rollout(self, service: str) -> _Rollout | None:
        return self._services[service] if service in self._active else None

    def _count(self, rollout: _Rollout, route: str, replica: Replica, *, is_bad: bool) -> None:
        is_new = replica.version == rollout.version
        rollout.routes[route].add(replica.id, is_new=is_new, is_bad=is_bad)
        if is_new and is_bad:
            rollout.is_trial_stopped = (
                rollout.is_trial_stopped or analyse(rollout.routes) is Verdict.BAD
            )

    def report(self, *, include_reports: bool) -> str:
        """Return the report for the VM that this one follows; empty without active rollouts.

        With `include_reports` it includes the reports that this VM has received.
        """
        if not self._active:
            return ""
        latest = sorted(self._active, key=self._order_revision, reverse=True)[
            :MAX_REPORTED_SERVICES
        ]
        services = {name: self.answers(name, include_reports=include_reports) for name in latest}
        report = RolloutReport(is_sum=include_reports, services=services)
        return codec.to_json(report).decode()

    def merge_report(self, vm: str, text: str) -> None:
        """Merge the report of a VM that follows this one. Raises MalformedError."""
        self._reports[vm] = (self._now(), codec.from_json(text.encode(), RolloutReport))

    def answers(
        self, service: str, *, include_reports: bool, include_sums: bool = False
    ) -> RolloutAnswers:
        """Return the answers of a rollout that this VM has counted.

        With `include_reports` they include those reported to it. Reports that are sums themselves
        count only with `include_sums`; else two VMs that temporarily follow each other would count
        the same answers repeatedly.
        """
        rollout = self._services[service]
        order = rollout.order
        assert order is not None
        requests, routes = rollout.requests, _new_counts()
        _merge_counts(routes, rollout.routes)
        for reported in (
            self._reported_answers(service, order.revision, include_sums) if include_reports else ()
        ):
            requests += reported.requests
            _merge_counts(routes, reported.routes)
        return RolloutAnswers(
            order=order.revision,
            elapsed_ms=int((self.elapsed(service) or 0.0) * 1000),
            requests=requests,
            routes=routes,
        )

    def record(self, service: str, data_centre: str) -> RolloutAnswers:
        """Return the record of a data centre.

        It holds the reported answers, with counts no lower than those of the stored record.

        Guard: a writer that has restarted lacks the earlier answers. Without the stored record,
        evidence of a bad version would be lost, and with fewer requests counted the trial would
        take a larger share.
        """
        reported = self.answers(service, include_reports=True, include_sums=True)
        rate = (
            1000 * reported.requests / reported.elapsed_ms
            if reported.elapsed_ms > MIN_RATE_PERIOD_MS
            else 0.0
        )
        stored = self._services[service].records.get(data_centre)
        if stored is None:
            return attrs.evolve(reported, rate=rate)
        for name, counts in stored.routes.items():
            reported.routes.setdefault(name, AnswerCounts()).merge_max(counts)
        return attrs.evolve(
            reported,
            requests=max(reported.requests, stored.requests),
            rate=max(rate, stored.rate),
        )

    def elapsed(self, service: str) -> float | None:
        """Return the age of the order in seconds, None if it isn't known."""
        ordered_at = self._services[service].ordered_at
        return None if ordered_at is None else self._now() - ordered_at

    def stage_elapsed(self, service: str) -> float:
        """Return the seconds since the shift entry of a service last changed."""
        return self._now() - self._services[service].shifted_at

    def order(self, service: str) -> RolloutOrder | None:
        """Return the current order for a service."""
        return self._services[service].order

    def status(self, service: str) -> RolloutStatus | None:
        """Return the status of a service last reported to the operator."""
        return self._services[service].status

    def stage(self, service: str) -> Stage:
        """Return the stage of a rollout."""
        return self._services[service].stage

    def answer_counts(self, service: str) -> dict[str, AnswerCounts]:
        """Return the answers of all data centres by route."""
        return dict(self._recorded_counts(service))

    def verdict(self, service: str) -> Verdict:
        """Return the verdict on the answers of all data centres."""
        rollout = self._services[service]
        term = rollout.order.term if rollout.order is not None else 0.0
        required_evidence = evidence_limits(self._bounds, term=term, rate=self._rate(rollout))
        return analyse(self._recorded_counts(service), required_evidence)

    def _recorded_counts(self, service: str) -> defaultdict[str, AnswerCounts]:
        routes = _new_counts()
        for record in self._services[service].records.values():
            _merge_counts(routes, record.routes)
        return routes

    def _reported_answers(
        self, service: str, order: int, include_sums: bool
    ) -> Iterable[RolloutAnswers]:
        oldest = self._now() - REPORT_TTL_S
        for at, report in self._reports.values():
            reported = report.services.get(service)
            if reported is None or at < oldest or reported.order != order:
                continue
            if include_sums or not report.is_sum:
                yield reported

    def _rate(self, rollout: _Rollout) -> float:
        """Return the requests per second of all VMs to a service; 0 if it isn't known."""
        return sum(record.rate for record in rollout.records.values())

    def _order_revision(self, service: str) -> int:
        order = self._services[service].order
        return order.revision if order is not None else 0

    def _state_of(self, service: str) -> _Rollout:
        return self._services.setdefault(service, _Rollout())

    def _on_state_changed(self) -> None:
        self._active = frozenset(name for name, one in self._services.items() if one.is_active)
        if self._active:
            self._some_active.set()
        else:
            self._some_active.clear()
            self._reports.clear()
        self._on_change()


def _status_matches(status: RolloutStatus, order: RolloutOrder | None) -> bool:
    """Return whether a status belongs to an order; without an order any status does."""
    if order is None:
        return True
    return status.version == order.version and status.revision > order.revision


def _merge_counts(routes: defaultdict[str, AnswerCounts], more: Mapping[str, AnswerCounts]) -> None:
    for name, counts in more.items():
        routes[name].add_all(counts)
