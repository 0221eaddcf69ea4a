"""Simulate rollouts: how often a bad version is detected, and how many requests it gets before.

Terms:
  kind     when a version is bad: always, after some seconds, on one route, or under full load
  judge    function that decides on a version; fixed thresholds and judging the total over all
           routes are baselines
  stage    stage of the rollout; it reaches the VMs `STAGE_DELAY_S` after the decision, and their
           answers count after up to `MAX_COUNTING_DELAY_S`
  fault    a failure during the rollout that begins at `FAULT_START_S`

Flow: `simulate_rollout` sends requests through the production decisions (`rollout_plan`,
`version_analysis`). `python -m berylspindle_bench.rollout_trials` prints a row for each judge,
request rate and share of bad answers of the old version; with the argument `faults` a row for each
fault and version.
"""

from __future__ import annotations

import enum
import math
import random
import sys
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from berylspindle_decisions.rollout_plan import (
    ExposureBounds,
    Stage,
    allows_trial_request,
    evidence_limits,
    next_stage,
    trial_share,
)
from berylspindle_decisions.version_analysis import (
    MIN_ANSWERS,
    EvidenceLimits,
    Verdict,
    analyse,
    control_counts,
)
from berylspindle_model.rollout import AnswerCounts

Judge = Callable[[Mapping[str, AnswerCounts], EvidenceLimits], Verdict]

DECISION_INTERVAL_S: Final = 0.4
STAGE_DELAY_S: Final = 0.7
MAX_COUNTING_DELAY_S: Final = 1.5
TRIAL_READY_S: Final = 1.5
LATER_START_S: Final = 5.0
QUICK_ROUTE_SHARE: Final = 0.36
REPLICAS: Final = 3
RUNS: Final = 100

FAULT_START_S: Final = 4.0
FAULT_RUNS: Final = 200
PARTITIONED_SHARE: Final = 0.25
BURST_FACTOR: Final = 3.5


class Fault(enum.StrEnum):
    """A failure during a rollout.

    CONTROLLER_KILLED: the VM that runs the rollout is killed, and another one takes over after two
    seconds. STORE_UNAVAILABLE: neither stages nor answer counts are stored. POWER_LOSS: all VMs
    restart with only the stored answer counts. PARTITION: a quarter of the requests arrive in a
    partitioned data centre, which new stages do not reach and whose answers do not count. BURST: a
    higher request rate, with some late answers of both versions. OLD_SLOW, TRIAL_SLOW: one replica
    of the old version, or the replica on trial, is slow. COLD: the answers of new replicas do not
    count for three seconds.
    """

    NONE = "none"
    CONTROLLER_KILLED = "keeper killed"
    STORE_UNAVAILABLE = "store away"
    POWER_LOSS = "power loss"
    PARTITION = "cut"
    BURST = "burst"
    OLD_SLOW = "old replicas slow"
    TRIAL_SLOW = "trial replica slow"
    COLD = "cold replicas"


FAULT_DURATION_S: Final[dict[Fault, float]] = {
    Fault.NONE: 0.0,
    Fault.CONTROLLER_KILLED: 2.0,
    Fault.STORE_UNAVAILABLE: 4.5,
    Fault.POWER_LOSS: 1.5,
    Fault.PARTITION: 5.0,
    Fault.BURST: 6.0,
    Fault.OLD_SLOW: 5.0,
    Fault.TRIAL_SLOW: 5.0,
    Fault.COLD: 3.0,
}
"""Duration of each fault in seconds."""

FAULT_BAD_SHARE: Final[dict[tuple[Fault, bool], float]] = {
    (Fault.BURST, False): 0.1,
    (Fault.BURST, True): 0.1,
    (Fault.OLD_SLOW, False): 0.6,
    (Fault.TRIAL_SLOW, True): 0.45,
}
"""Share of answers that a fault makes bad, by fault and whether the version is the new one.

OLD_SLOW applies to the first old replica only."""


@attrs.frozen(kw_only=True)
class Version:
    """A new version, sound or bad.

    `kind` is the condition under which the version is bad, `share` its share of bad answers then.
    """

    kind: str = "sound"
    share: float = 0.0

    def is_bad(self, now: float, route: str, load: float) -> bool:
        """Return whether the version is bad now.

        `load` is the load of one replica as a share of its usual load.
        """
        return {
            "sound": False,
            "start": True,
            "later": now >= LATER_START_S,
            "one route": route == "quick",
            "load": load >= 0.9,
        }[self.kind]


@attrs.frozen(kw_only=True)
class RolloutResult:
    """Result of one rollout.

    Attributes:
        stage: last stage.
        exposed: requests sent to the new version.
        allowed: requests that a bad version may get.
        ended: time of the last stage change, in seconds.
    """

    stage: Stage
    exposed: int
    allowed: float
    ended: float


@attrs.frozen(kw_only=True)
class Service:
    """Requests per second, share of bad answers of the old version, and term of a rollout.

    The term is the time from the order to the deadline, in seconds.
    """

    rate: float
    old_bad_share: float = 0.02
    term_s: float = 12.0


def simulate_rollout(
    version: Version,
    service: Service,
    *,
    seed: int,
    judge: Judge = analyse,
    fault: Fault = Fault.NONE,
) -> RolloutResult:
    """Simulate one rollout and return its result."""
    simulation = _Simulation(version, service, judge, fault, random.Random(seed))
    while simulation.now < service.term_s:
        simulation.request()
        simulation.decide_stage()
    allowed = simulation.bounds.share * simulation.total + simulation.bounds.slack
    at, stage = simulation.stages[-1]
    return RolloutResult(stage=stage, exposed=simulation.exposed, allowed=allowed, ended=at)


@attrs.frozen(kw_only=True)
class _Answer:
    """An answer and the time from which it counts."""

    counted_at: float
    route: str
    replica: int
    is_new: bool
    is_bad: bool


class _Simulation:
    """One rollout: requests at a fixed rate and a periodic decision on the stage."""

    def __init__(
        self, version: Version, service: Service, judge: Judge, fault: Fault, rng: random.Random
    ) -> None:
        self.bounds: Final = ExposureBounds()
        self.stages = [(0.0, Stage.TRIAL)]
        self.now = 0.0
        self.total = self.exposed = 0
        self._version: Final = version
        self._service: Final = service
        self._judge: Final = judge
        self._fault: Final = fault
        self._rng: Final = rng
        self._reported = _no_answers()
        self._stored = _no_answers()
        self._pending: list[_Answer] = []
        self._counted_answers = 0
        self._rate = 0.0
        self._next_decision_at = DECISION_INTERVAL_S

    def request(self) -> None:
        """Send the next request and record its answer."""
        self.now += 1.0 / (
            self._service.rate * (BURST_FACTOR if self._is_active(Fault.BURST) else 1.0)
        )
        if self._is_active(Fault.POWER_LOSS):
            self.now = FAULT_START_S + FAULT_DURATION_S[Fault.POWER_LOSS]
            self._reported, self._pending = _no_answers(), []
        is_partitioned = self._is_active(Fault.PARTITION) and self._rng.random() < PARTITIONED_SHARE
        stage = self._known_stage(FAULT_START_S if is_partitioned else self.now)
        self.total += 1
        share = self._share(stage)
        route = "quick" if self._rng.random() < QUICK_ROUTE_SHARE else "whole"
        is_new = self.now >= TRIAL_READY_S and self._rng.random() < share
        load = share if stage is not Stage.TRIAL else share * REPLICAS
        self.exposed += is_new
        replica = self._rng.randrange(REPLICAS)
        is_cold = (
            is_new
            and self._fault is Fault.COLD
            and self.now < TRIAL_READY_S + FAULT_DURATION_S[self._fault]
        )
        if is_partitioned or is_cold:
            return
        self._pending.append(
            _Answer(
                counted_at=self.now + MAX_COUNTING_DELAY_S * self._rng.random(),
                route=route,
                replica=replica,
                is_new=is_new,
                is_bad=self._is_bad(route, replica, is_new, load),
            )
        )

    def decide_stage(self) -> None:
        """Move to the next stage if it is time for a decision and the answers allow it."""
        if self.now < self._next_decision_at:
            return
        self._next_decision_at += DECISION_INTERVAL_S
        if self._is_active(Fault.CONTROLLER_KILLED) or self._is_active(Fault.STORE_UNAVAILABLE):
            return
        self._store_counts()
        entered_at, stage = self.stages[-1]
        term = self._service.term_s
        limits = evidence_limits(self.bounds, term=term, rate=self._service.rate)
        verdict = self._judge(self._stored, limits)
        next_ = next_stage(
            stage, verdict, elapsed=self.now, stage_elapsed=self.now - entered_at, term=term
        )
        if next_ is not stage:
            self.stages.append((self.now, next_))

    def _store_counts(self) -> None:
        """Merge the answers that count by now into the stored counts."""
        for answer in self._pending:
            if answer.counted_at <= self.now:
                self._reported[answer.route].add(
                    str(answer.replica), is_new=answer.is_new, is_bad=answer.is_bad
                )
        self._pending = [answer for answer in self._pending if answer.counted_at > self.now]
        for route, counts in self._stored.items():
            counts.merge_max(self._reported[route])
        self._counted_answers = sum(
            counts.new + sum(answers for answers, _ in counts.old.values())
            for counts in self._stored.values()
        )
        if self.now > 1.0 + MAX_COUNTING_DELAY_S:
            self._rate = max(self._rate, self._counted_answers / self.now)

    def _is_active(self, fault: Fault) -> bool:
        """Return whether a fault is active."""
        return (
            self._fault is fault
            and FAULT_START_S <= self.now < FAULT_START_S + FAULT_DURATION_S[fault]
        )

    def _known_stage(self, now: float) -> Stage:
        return [stage for at, stage in self.stages if at + STAGE_DELAY_S <= now or at == 0.0][-1]

    def _share(self, stage: Stage) -> float:
        if stage in (Stage.SHIFT, Stage.COMPLETED):
            return 1.0
        if stage is not Stage.TRIAL:
            return 0.0
        term = self._service.term_s
        is_allowed = allows_trial_request(
            self.bounds,
            elapsed=self.now,
            requests=self.total,
            trial_requests=self.exposed,
            total_requests=self._counted_answers,
            dither=0.5,
        )
        share = trial_share(self.bounds, term=term, rate=self._rate, elapsed=self.now)
        return share if is_allowed else 0.0

    def _is_bad(self, route: str, replica: int, is_new: bool, load: float) -> bool:
        shares = [self._service.old_bad_share]
        if self._is_active(self._fault) and not (self._fault is Fault.OLD_SLOW and replica):
            shares.append(FAULT_BAD_SHARE.get((self._fault, is_new), 0.0))
        if is_new and self._version.is_bad(self.now, route, load):
            shares.append(self._version.share)
        return any(self._rng.random() < share for share in shares)


def _no_answers() -> dict[str, AnswerCounts]:
    return {"whole": AnswerCounts(), "quick": AnswerCounts()}


def judge_without_routes(routes: Mapping[str, AnswerCounts], limits: EvidenceLimits) -> Verdict:
    """Judge the total over all routes."""
    total = AnswerCounts()
    for counts in routes.values():
        total.add_all(counts)
    return analyse({"all": total}, limits)


def judge_by_thresholds(routes: Mapping[str, AnswerCounts], limits: EvidenceLimits) -> Verdict:
    """Judge by fixed thresholds.

    A version is bad with at least three bad answers if their share is at least twice that of the
    control plus 0.05.
    """
    total = AnswerCounts()
    for counts in routes.values():
        total.add_all(counts)
    for counts in (total, *routes.values()):
        answers, bad = control_counts(counts)
        control = (bad + 0.5) / (answers + 10)
        if counts.new >= MIN_ANSWERS and counts.new_bad >= max(
            3, counts.new * (2 * control + 0.05)
        ):
            return Verdict.BAD
    return Verdict.SOUND if total.new >= MIN_ANSWERS else Verdict.INCONCLUSIVE


VERSIONS: Final = (
    Version(),
    Version(kind="start", share=0.1),
    Version(kind="start", share=0.3),
    Version(kind="later", share=0.3),
    Version(kind="one route", share=0.3),
    Version(kind="load", share=0.3),
)
JUDGES: Final[dict[str, Judge]] = {
    "mixture by route": analyse,
    "mixture, all routes": judge_without_routes,
    "thresholds": judge_by_thresholds,
}


def rows() -> list[str]:
    """Return a table with the shares of rollouts that complete and that exceed their exposure."""
    named = [f"{version.kind} {version.share or ''}".strip() for version in VERSIONS]
    lines = [" | ".join(["judge", "requests/s", "old bad", *named])]
    for name, judge_fn in JUDGES.items():
        for rate in (2.0, 10.0, 63.0):
            for bad in (0.01, 0.05, 0.15):
                service = Service(rate=rate, old_bad_share=bad)
                cells = [_cell(version, service, judge_fn) for version in VERSIONS]
                lines.append(" | ".join([name, f"{rate:g}", f"{bad:g}", *cells]))
    return lines


def _cell(version: Version, service: Service, judge_fn: Judge) -> str:
    results = [
        simulate_rollout(version, service, seed=seed, judge=judge_fn) for seed in range(RUNS)
    ]
    completed = sum(result.stage is Stage.COMPLETED for result in results) / RUNS
    over_share = sum(result.exposed > result.allowed for result in results) / RUNS
    return f"{completed:.2f}" if version.kind == "sound" else f"{completed:.2f}, {over_share:.2f}"


def fault_rows() -> list[str]:
    """Return a table of faults: share of right decisions with its 95% interval, times, exposure."""
    lines = ["fault | version | right | 95% | decided after s, median, last | beyond exposure"]
    for fault in Fault:
        for version in VERSIONS:
            lines.append(_fault_row(fault, version))
    return lines


def _fault_row(fault: Fault, version: Version) -> str:
    service = Service(rate=63.0, old_bad_share=0.05)
    results = [
        simulate_rollout(version, service, seed=seed, fault=fault) for seed in range(FAULT_RUNS)
    ]
    expected = Stage.COMPLETED if version.kind == "sound" else Stage.ROLLED_BACK
    right_count = sum(result.stage is expected for result in results)
    low, high = _interval(right_count, FAULT_RUNS)
    ends = sorted(result.ended for result in results)
    over_share = sum(result.exposed > result.allowed for result in results) / FAULT_RUNS
    beyond = "" if version.kind == "sound" else f"{over_share:.3f}"
    cells = [
        fault.value,
        f"{version.kind} {version.share or ''}".strip(),
        f"{right_count / FAULT_RUNS:.3f}",
        f"{low:.3f} to {high:.3f}",
        f"{ends[FAULT_RUNS // 2]:.1f}, {ends[-1]:.1f}",
        beyond,
    ]
    return " | ".join(cells)


def _interval(hits: int, runs: int, z: float = 1.96) -> tuple[float, float]:
    """Return the Wilson score interval of a share."""
    share, weight = hits / runs, z * z / runs
    centre = (share + weight / 2) / (1 + weight)
    half_width = z * math.sqrt(share * (1 - share) / runs + weight / (4 * runs)) / (1 + weight)
    return max(0.0, centre - half_width), min(1.0, centre + half_width)


if __name__ == "__main__":
    print("\n".join(fault_rows() if sys.argv[1:] == ["faults"] else rows()))
