"""The rollouts that this VM takes part in: which version a request goes to, and what came of it.

Terms:
  order, status, answers  as in `berylspindle_model.rollout`
  stage                   how far a rollout has come (`decisions.rollout_plan`)
  report                  answers as one VM tells them to the VM that it follows
  record                  answers of a whole data centre, an entry in the store

Flow: the forwarder hands over each entry of the store that concerns a rollout. `rule` says which
replicas of a service get requests, `takes_trial` whether a request goes to the new version instead;
the attempts of requests report their answers. Reports go up to the first watcher of the data centre
by the reads of mirrors (`report`, `take_report`); it writes the record, by which the watchers of
all data centres decide (`rollout_keeper`).

Guards: a VM that has just started does not know how old an order is, and tries nothing until a
record says so: a trial goes on no longer than its part of the term. A VM whose own answers show a
bad version stops trying it, also where neither the store nor another VM can be reached.
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
    caution,
    may_try,
    trial_share,
)
from berylspindle_decisions.version_judge import SLOW_RATIO, Verdict, judge
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

REPORT_S: Final = 5.0
"""Seconds for which a report counts; a VM reports with each read of a mirror, once a second."""

MOST_REPORTED: Final = 12
"""Services in one report, the latest orders first: it is part of a request's head."""

RATE_AFTER_MS: Final = 1000
"""Milliseconds after an order before which its requests say nothing of their rate."""

FINAL_STAGES: Final = {
    RolloutState.COMPLETED: Stage.COMPLETED,
    RolloutState.ROLLED_BACK: Stage.ROLLED_BACK,
}
"""The stages that the operator is told of as the end of a rollout."""


@attrs.frozen(kw_only=True)
class VersionRule:
    """Which replicas of a service get requests: those of a version, or all others."""

    version: str
    is_used: bool


def _counts() -> defaultdict[str, AnswerCounts]:
    return defaultdict(AnswerCounts)


def _profiles() -> defaultdict[str, LatencyProfile]:
    return defaultdict(LatencyProfile)


@attrs.define(kw_only=True)
class _Rollout:
    """One service; `seen_at` is None while the age of the order isn't known."""

    order: RolloutOrder | None = None
    status: RolloutStatus | None = None
    shift: RolloutShift | None = None
    seen_at: float | None = None
    shift_at: float = 0.0
    requests: int = 0
    tried: int = 0
    routes: defaultdict[str, AnswerCounts] = attrs.field(factory=_counts)
    usual: defaultdict[str, LatencyProfile] = attrs.field(factory=_profiles)
    records: dict[str, RolloutAnswers] = attrs.field(factory=dict)
    is_stopped: bool = False

    @property
    def stage(self) -> Stage:
        """Return how far the rollout has come."""
        order, status = self.order, self.status
        if status is not None and status.state in FINAL_STAGES and _is_of(status, order):
            return FINAL_STAGES[status.state]
        if order is None:
            return Stage.ROLLED_BACK
        if self.shift is not None and self.shift.order == order.revision:
            return Stage.SHIFT
        return Stage.TRIAL

    @property
    def is_active(self) -> bool:
        """Return whether something is still to be decided."""
        return self.order is not None and not self.stage.is_final

    @property
    def version(self) -> str:
        """Return the version that is ordered, or was last."""
        if self.order is not None:
            return self.order.version
        return self.status.version if self.status is not None else ""

    def is_slow(self, route: str, ms: float) -> bool:
        """Return whether an answer is slow beside those of the old version."""
        usual = self.usual[route]
        return usual.known and ms >= SLOW_RATIO * usual.quantile(0.5)

    def begin(self, order: RolloutOrder | None, seen_at: float | None) -> None:
        """Take a new order, or that there is none any more."""
        self.order, self.seen_at = order, seen_at
        self.requests = self.tried = 0
        self.is_stopped = False
        self.routes.clear()
        self.usual.clear()
        self.records.clear()


class Rollouts:
    """All rollouts that one VM knows; times are in seconds of its clock.

    `on_change` is called when the replicas that get requests may have changed.
    """

    def __init__(
        self,
        bounds: ExposureBounds,
        *,
        now: Callable[[], float],
        on_change: Callable[[], None],
        dither: float = 0.0,
    ) -> None:
        """Take also a random number in [0, 1) of this VM's own (`rollout_plan.may_try`)."""
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
        """Return the services for which something is still to be decided."""
        return self._active

    async def wait_active(self) -> None:
        """Wait until there is a rollout to decide on."""
        await self._some_active.wait()

    def take_order(self, service: str, order: RolloutOrder | None, *, is_new: bool) -> None:
        """Take an order, None where it is gone; `is_new` if it was written just now."""
        known = self._of(service)
        if known.order != order:
            known.begin(order, self._now() if is_new else None)
        self._changed()

    def take_status(self, service: str, status: RolloutStatus | None) -> None:
        """Take what the system has told the operator."""
        self._of(service).status = status
        self._changed()

    def take_shift(self, service: str, shift: RolloutShift | None) -> None:
        """Take the word that a service's requests go to the new version."""
        known = self._of(service)
        known.shift, known.shift_at = shift, self._now()
        self._changed()

    def take_record(self, service: str, data_centre: str, record: RolloutAnswers | None) -> None:
        """Take the answers of a data centre."""
        known = self._of(service)
        if known.order is None or record is None or record.order != known.order.revision:
            known.records.pop(data_centre, None)
            return
        known.records[data_centre] = record
        began = self._now() - record.elapsed_ms / 1000
        known.seen_at = began if known.seen_at is None else min(known.seen_at, began)

    def rule(self, service: str) -> VersionRule | None:
        """Return which replicas of a service get its requests; None where any may."""
        known = self._services.get(service)
        if known is None or not known.version:
            return None
        is_used = known.stage in (Stage.SHIFT, Stage.COMPLETED)
        return VersionRule(version=known.version, is_used=is_used)

    def takes_trial(self, service: str, *, u: float) -> bool:
        """Count a request to a service; return whether it goes to the new version on trial.

        `u` is a uniform random number in [0, 1).
        """
        if service not in self._active:
            return False
        known = self._services[service]
        known.requests += 1
        order, elapsed = known.order, self.elapsed(service)
        if order is None or elapsed is None or known.stage is not Stage.TRIAL or known.is_stopped:
            return False
        share = trial_share(self._bounds, term=order.term, rate=self._rate(known), elapsed=elapsed)
        takes = u < share and may_try(
            self._bounds,
            elapsed=elapsed,
            requests=known.requests,
            tried=known.tried,
            of_all=sum(record.requests for record in known.records.values()),
            dither=self._dither,
        )
        known.tried += takes
        return takes

    def note_answer(self, replica: Replica, route: str, ms: float | None) -> None:
        """Count an answer of a replica.

        `ms` is what it took beside the queue that it met; None where it failed. It is slow beside
        answers of the old version of the same service: services of one route may differ.
        """
        known = self._counting(replica.service)
        if known is None:
            return
        is_bad = ms is None or known.is_slow(route, ms)
        if ms is not None and replica.version != known.version:
            known.usual[route].add(ms)
        self._count(known, route, replica, is_bad=is_bad)

    def note_abandoned(self, replica: Replica, route: str, ms: float) -> None:
        """Count an attempt that nobody waited for any more, if it was slow by then."""
        known = self._counting(replica.service)
        if known is not None and known.is_slow(route, ms):
            self._count(known, route, replica, is_bad=True)

    def _counting(self, service: str) -> _Rollout | None:
        return self._services[service] if service in self._active else None

    def _count(self, known: _Rollout, route: str, replica: Replica, *, is_bad: bool) -> None:
        is_new = replica.version == known.version
        known.routes[route].add(replica.id, is_new=is_new, is_bad=is_bad)
        if is_new and is_bad:
            known.is_stopped = known.is_stopped or judge(known.routes) is Verdict.BAD

    def report(self, *, for_others: bool) -> str:
        """Return what the VM that this one follows is told, empty where there is nothing to tell.

        With `for_others` that includes what others have reported here.
        """
        if not self._active:
            return ""
        latest = sorted(self._active, key=self._order_revision, reverse=True)[:MOST_REPORTED]
        services = {name: self.answers(name, for_others=for_others) for name in latest}
        report = RolloutReport(is_sum=for_others, services=services)
        return codec.to_json(report).decode()

    def take_report(self, vm: str, text: str) -> None:
        """Take what a VM that follows this one tells. Raises MalformedError."""
        self._reports[vm] = (self._now(), codec.from_json(text.encode(), RolloutReport))

    def answers(self, service: str, *, for_others: bool, with_sums: bool = False) -> RolloutAnswers:
        """Return what this VM has seen of a rollout, and what others have reported to it.

        Reports that are sums themselves count only `with_sums`; else two VMs that follow each other
        for a while would count the same answers again and again.
        """
        known = self._services[service]
        order = known.order
        assert order is not None
        requests, routes = known.requests, _counts()
        _join(routes, known.routes)
        for told in self._told(service, order.revision, with_sums) if for_others else ():
            requests += told.requests
            _join(routes, told.routes)
        return RolloutAnswers(
            order=order.revision,
            elapsed_ms=int((self.elapsed(service) or 0.0) * 1000),
            requests=requests,
            routes=routes,
        )

    def record(self, service: str, data_centre: str) -> RolloutAnswers:
        """Return the record of a data centre: what its VMs tell, and no less than what it holds.

        Guard: a writer that has restarted knows little of what came before. Evidence of a bad
        version would be gone, and with fewer requests counted the trial would take a larger share.
        """
        told = self.answers(service, for_others=True, with_sums=True)
        rate = 1000 * told.requests / told.elapsed_ms if told.elapsed_ms > RATE_AFTER_MS else 0.0
        held = self._services[service].records.get(data_centre)
        if held is None:
            return attrs.evolve(told, rate=rate)
        for name, counts in held.routes.items():
            told.routes.setdefault(name, AnswerCounts()).raise_to(counts)
        return attrs.evolve(
            told,
            requests=max(told.requests, held.requests),
            rate=max(rate, held.rate),
        )

    def elapsed(self, service: str) -> float | None:
        """Return how many seconds ago the order was given, None where that isn't known."""
        seen_at = self._services[service].seen_at
        return None if seen_at is None else self._now() - seen_at

    def in_stage(self, service: str) -> float:
        """Return for how many seconds a rollout has been in the shift."""
        return self._now() - self._services[service].shift_at

    def order(self, service: str) -> RolloutOrder | None:
        """Return the order for a service."""
        return self._services[service].order

    def status(self, service: str) -> RolloutStatus | None:
        """Return what the operator was told last of a service."""
        return self._services[service].status

    def stage(self, service: str) -> Stage:
        """Return how far a rollout has come."""
        return self._services[service].stage

    def counted(self, service: str) -> dict[str, AnswerCounts]:
        """Return the answers of all data centres by route."""
        return dict(self._recorded(service))

    def verdict(self, service: str) -> Verdict:
        """Return what the answers of all data centres say."""
        known = self._services[service]
        term = known.order.term if known.order is not None else 0.0
        care = caution(self._bounds, term=term, rate=self._rate(known))
        return judge(self._recorded(service), care)

    def _recorded(self, service: str) -> defaultdict[str, AnswerCounts]:
        routes = _counts()
        for record in self._services[service].records.values():
            _join(routes, record.routes)
        return routes

    def _told(self, service: str, order: int, with_sums: bool) -> Iterable[RolloutAnswers]:
        oldest = self._now() - REPORT_S
        for at, report in self._reports.values():
            told = report.services.get(service)
            if told is None or at < oldest or told.order != order:
                continue
            if with_sums or not report.is_sum:
                yield told

    def _rate(self, known: _Rollout) -> float:
        """Return the requests of all VMs to a service a second, 0 while that isn't known."""
        return sum(record.rate for record in known.records.values())

    def _order_revision(self, service: str) -> int:
        order = self._services[service].order
        return order.revision if order is not None else 0

    def _of(self, service: str) -> _Rollout:
        return self._services.setdefault(service, _Rollout())

    def _changed(self) -> None:
        self._active = frozenset(name for name, one in self._services.items() if one.is_active)
        if self._active:
            self._some_active.set()
        else:
            self._some_active.clear()
            self._reports.clear()
        self._on_change()


def _is_of(status: RolloutStatus, order: RolloutOrder | None) -> bool:
    """Return whether a status is that of an order, or of the last one where none stands."""
    if order is None:
        return True
    return status.version == order.version and status.revision > order.revision


def _join(routes: defaultdict[str, AnswerCounts], more: Mapping[str, AnswerCounts]) -> None:
    for name, counts in more.items():
        routes[name].join(counts)
