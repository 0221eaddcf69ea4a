"""Trials of rollouts: how often a version that is bad is found, and what it serves until then.

Terms:
  kind     how a version is bad: from the start, later, on one route, under a replica's full load
  judge    what finds it; the fixed thresholds and the judge without routes are baselines
  lag      seconds until a VM has heard of a step, and until its answers count for the next one
  fault    what goes wrong beside the rollout, from `FAULT_AT` on

Flow: `simulate_rollout` sends requests through the real decisions (`rollout_plan`,
`version_analysis`). `python -m berylspindle_bench.rollout_trials` prints a row for each rate, share
of bad answers of the old version and judge; with `faults` as its argument a row for each fault
and version.
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

STEP_S: Final = 0.4
HEARD_S: Final = 0.7
COUNTED_S: Final = 1.5
READY_S: Final = 1.5
LATER_S: Final = 5.0
QUICK_ROUTE: Final = 0.36
REPLICAS: Final = 3
RUNS: Final = 100

FAULT_AT: Final = 4.0
FAULT_RUNS: Final = 200
CUT_SHARE: Final = 0.25
BURST: Final = 3.5


class Fault(enum.StrEnum):
    """What goes wrong beside a rollout.

    CONTROLLER_KILLED: the next VM that follows the store takes over after two seconds.
    STORE_UNAVAILABLE: no step and no record is written. POWER_LOSS: all VMs stop, and know only the
    records afterwards.
    CUT: a quarter of the requests come in a data centre that hears of no step and is not counted.
    BURST: more requests, some of them late at either version. OLD_SLOW, TRIAL_SLOW: one replica of
    the old version, or the one on trial, turns slow. COLD: what the new replicas answer does not
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


FAULT_S: Final[dict[Fault, float]] = {
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
"""Seconds for which each fault lasts."""

FAULT_BAD: Final[dict[tuple[Fault, bool], float]] = {
    (Fault.BURST, False): 0.1,
    (Fault.BURST, True): 0.1,
    (Fault.OLD_SLOW, False): 0.6,
    (Fault.TRIAL_SLOW, True): 0.45,
}
"""Shares of answers, by fault and whether the version is the new one, that it makes bad; of old
replicas it is the first where one is slow."""


@attrs.frozen(kw_only=True)
class Version:
    """A new version: of its answers `share` are bad, of the kind that is named; none if sound."""

    kind: str = "sound"
    share: float = 0.0

    def is_bad(self, now: float, route: str, load: float) -> bool:
        """Return whether it is bad now; `load` is what one replica gets of its usual load."""
        return {
            "sound": False,
            "start": True,
            "later": now >= LATER_S,
            "one route": route == "quick",
            "load": load >= 0.9,
        }[self.kind]


@attrs.frozen(kw_only=True)
class Played:
    """What came of one rollout; `allowed` are the requests that a bad version may get."""

    stage: Stage
    exposed: int
    allowed: float
    ended: float


@attrs.frozen(kw_only=True)
class Service:
    """Requests a second of all VMs, the share of bad answers of the old version, and the term."""

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
) -> Played:
    """Play one rollout."""
    played = _Play(version, service, judge, fault, random.Random(seed))
    while played.now < service.term_s:
        played.request()
        played.look()
    allowed = played.bounds.share * played.total + played.bounds.slack
    at, stage = played.steps[-1]
    return Played(stage=stage, exposed=played.exposed, allowed=allowed, ended=at)


@attrs.frozen(kw_only=True)
class _Answer:
    """One answer, and when it counts."""

    counted_at: float
    route: str
    replica: int
    is_new: bool
    is_bad: bool


class _Play:
    """One rollout: requests one after the other, and a look of the keepers now and then."""

    def __init__(
        self, version: Version, service: Service, judge: Judge, fault: Fault, rng: random.Random
    ) -> None:
        self.bounds: Final = ExposureBounds()
        self.steps = [(0.0, Stage.TRIAL)]
        self.now = 0.0
        self.total = self.exposed = 0
        self._version: Final = version
        self._service: Final = service
        self._judge: Final = judge
        self._fault: Final = fault
        self._rng: Final = rng
        self._told = _no_answers()
        self._record = _no_answers()
        self._pending: list[_Answer] = []
        self._counted = 0
        self._rate = 0.0
        self._look_at = STEP_S

    def request(self) -> None:
        """Send the next request and note what is told of its answer."""
        self.now += 1.0 / (self._service.rate * (BURST if self._has(Fault.BURST) else 1.0))
        if self._has(Fault.POWER_LOSS):
            self.now = FAULT_AT + FAULT_S[Fault.POWER_LOSS]
            self._told, self._pending = _no_answers(), []
        is_cut = self._has(Fault.PARTITION) and self._rng.random() < CUT_SHARE
        stage = self._heard(FAULT_AT if is_cut else self.now)
        self.total += 1
        share = self._share(stage)
        route = "quick" if self._rng.random() < QUICK_ROUTE else "whole"
        is_new = self.now >= READY_S and self._rng.random() < share
        load = share if stage is not Stage.TRIAL else share * REPLICAS
        self.exposed += is_new
        replica = self._rng.randrange(REPLICAS)
        is_cold = is_new and self._fault is Fault.COLD and self.now < READY_S + FAULT_S[self._fault]
        if is_cut or is_cold:
            return
        self._pending.append(
            _Answer(
                counted_at=self.now + COUNTED_S * self._rng.random(),
                route=route,
                replica=replica,
                is_new=is_new,
                is_bad=self._is_bad(route, replica, is_new, load),
            )
        )

    def look(self) -> None:
        """Take the next step, if the records allow one."""
        if self.now < self._look_at:
            return
        self._look_at += STEP_S
        if self._has(Fault.CONTROLLER_KILLED) or self._has(Fault.STORE_UNAVAILABLE):
            return
        self._count()
        since, stage = self.steps[-1]
        term = self._service.term_s
        care = evidence_limits(self.bounds, term=term, rate=self._service.rate)
        verdict = self._judge(self._record, care)
        following = next_stage(
            stage, verdict, elapsed=self.now, stage_elapsed=self.now - since, term=term
        )
        if following is not stage:
            self.steps.append((self.now, following))

    def _count(self) -> None:
        """Bring what was told by now into the record."""
        for one in self._pending:
            if one.counted_at <= self.now:
                self._told[one.route].add(str(one.replica), is_new=one.is_new, is_bad=one.is_bad)
        self._pending = [one for one in self._pending if one.counted_at > self.now]
        for route, counts in self._record.items():
            counts.merge_max(self._told[route])
        self._counted = sum(
            counts.new + sum(answers for answers, _ in counts.old.values())
            for counts in self._record.values()
        )
        if self.now > 1.0 + COUNTED_S:
            self._rate = max(self._rate, self._counted / self.now)

    def _has(self, fault: Fault) -> bool:
        """Return whether a fault is under way."""
        return self._fault is fault and FAULT_AT <= self.now < FAULT_AT + FAULT_S[fault]

    def _heard(self, now: float) -> Stage:
        return [stage for at, stage in self.steps if at + HEARD_S <= now or at == 0.0][-1]

    def _share(self, stage: Stage) -> float:
        if stage in (Stage.SHIFT, Stage.COMPLETED):
            return 1.0
        if stage is not Stage.TRIAL:
            return 0.0
        term = self._service.term_s
        may = allows_trial_request(
            self.bounds,
            elapsed=self.now,
            requests=self.total,
            trial_requests=self.exposed,
            total_requests=self._counted,
            dither=0.5,
        )
        share = trial_share(self.bounds, term=term, rate=self._rate, elapsed=self.now)
        return share if may else 0.0

    def _is_bad(self, route: str, replica: int, is_new: bool, load: float) -> bool:
        shares = [self._service.old_bad_share]
        if self._has(self._fault) and not (self._fault is Fault.OLD_SLOW and replica):
            shares.append(FAULT_BAD.get((self._fault, is_new), 0.0))
        if is_new and self._version.is_bad(self.now, route, load):
            shares.append(self._version.share)
        return any(self._rng.random() < share for share in shares)


def _no_answers() -> dict[str, AnswerCounts]:
    return {"whole": AnswerCounts(), "quick": AnswerCounts()}


def judge_without_routes(routes: Mapping[str, AnswerCounts], caution: EvidenceLimits) -> Verdict:
    """Judge all routes together only."""
    total = AnswerCounts()
    for counts in routes.values():
        total.add_all(counts)
    return analyse({"all": total}, caution)


def judge_by_thresholds(routes: Mapping[str, AnswerCounts], caution: EvidenceLimits) -> Verdict:
    """Judge by three bad answers that are twice the control's share and a twentieth more."""
    total = AnswerCounts()
    for counts in routes.values():
        total.add_all(counts)
    for one in (total, *routes.values()):
        answers, bad = control_counts(one)
        control = (bad + 0.5) / (answers + 10)
        if one.new >= MIN_ANSWERS and one.new_bad >= max(3, one.new * (2 * control + 0.05)):
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
    """Return the table: for each version, the share completed and that over its exposure."""
    named = [f"{one.kind} {one.share or ''}".strip() for one in VERSIONS]
    lines = [" | ".join(["judge", "requests/s", "old bad", *named])]
    for name, judge_ in JUDGES.items():
        for rate in (2.0, 10.0, 63.0):
            for bad in (0.01, 0.05, 0.15):
                service = Service(rate=rate, old_bad_share=bad)
                cells = [_cell(version, service, judge_) for version in VERSIONS]
                lines.append(" | ".join([name, f"{rate:g}", f"{bad:g}", *cells]))
    return lines


def _cell(version: Version, service: Service, judge_: Judge) -> str:
    played = [simulate_rollout(version, service, seed=seed, judge=judge_) for seed in range(RUNS)]
    completed = sum(one.stage is Stage.COMPLETED for one in played) / RUNS
    over = sum(one.exposed > one.allowed for one in played) / RUNS
    return f"{completed:.2f}" if version.kind == "sound" else f"{completed:.2f}, {over:.2f}"


def fault_rows() -> list[str]:
    """Return the table of faults: share decided right with its 95% interval, when, and exposure."""
    lines = ["fault | version | right | 95% | decided after s, median, last | beyond exposure"]
    for fault in Fault:
        for version in VERSIONS:
            lines.append(_fault_row(fault, version))
    return lines


def _fault_row(fault: Fault, version: Version) -> str:
    service = Service(rate=63.0, old_bad_share=0.05)
    played = [
        simulate_rollout(version, service, seed=seed, fault=fault) for seed in range(FAULT_RUNS)
    ]
    wanted = Stage.COMPLETED if version.kind == "sound" else Stage.ROLLED_BACK
    right = sum(one.stage is wanted for one in played)
    low, high = _interval(right, FAULT_RUNS)
    ends = sorted(one.ended for one in played)
    over = sum(one.exposed > one.allowed for one in played) / FAULT_RUNS
    beyond = "" if version.kind == "sound" else f"{over:.3f}"
    cells = [
        fault.value,
        f"{version.kind} {version.share or ''}".strip(),
        f"{right / FAULT_RUNS:.3f}",
        f"{low:.3f} to {high:.3f}",
        f"{ends[FAULT_RUNS // 2]:.1f}, {ends[-1]:.1f}",
        beyond,
    ]
    return " | ".join(cells)


def _interval(hits: int, runs: int, z: float = 1.96) -> tuple[float, float]:
    """Return Wilson's interval of a share."""
    share, weight = hits / runs, z * z / runs
    middle = (share + weight / 2) / (1 + weight)
    half = z * math.sqrt(share * (1 - share) / runs + weight / (4 * runs)) / (1 + weight)
    return max(0.0, middle - half), min(1.0, middle + half)


if __name__ == "__main__":
    print("\n".join(fault_rows() if sys.argv[1:] == ["faults"] else rows()))
