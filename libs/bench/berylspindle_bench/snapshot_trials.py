"""Trials of the choice of a snapshot while index versions change under running searches.

Terms:
  roll     a new version reaches the thirty replicas one after the other, within `ROLL_S`
  mixed    an answer whose shards were computed on different snapshots
  asked    sub-requests of a search for each shard; 1.0 is the least

Flow: an entry searches ten shards with three replicas each, a hundred times a second. Each replica
keeps its two newest versions and tells them with every reply. Variants differ in what they pin; all
but the first ask shards again as `SnapshotTracker.reask` says.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Final

import attrs

from berylspindle_decisions.snapshot_choice import KeepSnapshot, Reask, SnapshotTracker
from berylspindle_model.snapshot import Snapshot

SHARDS: Final = tuple(f"{n}" for n in range(10))
REPLICAS: Final = 3
PERIOD_S: Final = 5.0
ROLL_S: Final = 4.0
SECONDS: Final = 60.0
RATE: Final = 100.0
VARIANTS: Final = ("no pin, merge all", "no pin, ask again", "newest seen", "newest common")


@attrs.frozen(kw_only=True)
class SnapshotRow:
    """Figures of one variant."""

    variant: str
    mixed: float
    whole: float
    asked: float


class _Replica:
    """Holds the two newest versions that have reached it."""

    def __init__(self, name: str, lag_s: float) -> None:
        self.name = name
        self._lag_s = lag_s

    def held(self, now: float) -> tuple[Snapshot, ...]:
        newest = int((now - self._lag_s) // PERIOD_S) + 2
        return Snapshot(1, newest - 1), Snapshot(1, newest)


class _Entry:
    """One entry and what it has learnt of the replicas."""

    def __init__(self, variant: str) -> None:
        self.asked = 0
        self._variant = variant
        self._random = random.Random(6)
        self._replicas = {
            shard: [
                _Replica(f"{shard}-{r}", self._random.uniform(0, ROLL_S)) for r in range(REPLICAS)
            ]
            for shard in SHARDS
        }
        names = {shard: [r.name for r in rows] for shard, rows in self._replicas.items()}
        self._tracker = SnapshotTracker(1, names)
        self._newest: Snapshot | None = None

    def search(self, now: float) -> tuple[int, bool]:
        """Return how many shards answer, and whether the answer is mixed."""
        pin = self._pin()
        answered: dict[str, Snapshot] = {}
        refused: set[str] = set()
        self._ask(now, SHARDS, pin, answered, refused)
        if self._variant == VARIANTS[0]:
            return len(answered), len(set(answered.values())) > 1
        rounds = 0
        while refused or len(set(answered.values())) > 1:
            step = self._tracker.reask(
                answered=answered,
                refused=refused,
                pinned=False,
                rounds=rounds,
                left_ms=100.0,
                expected_ms=10.0,
            )
            if isinstance(step, Reask):
                for shard in step.shards:
                    answered.pop(shard, None)
                refused.clear()
                self._ask(now, step.shards, step.target, answered, refused)
                rounds += 1
                continue
            missing = len(step.missing) if isinstance(step, KeepSnapshot) else len(SHARDS)
            return len(SHARDS) - missing, False
        return len(answered), False

    def _pin(self) -> Snapshot | None:
        if self._variant == "newest seen":
            return self._newest
        return self._tracker.choose() if self._variant == "newest common" else None

    def _ask(
        self,
        now: float,
        shards: tuple[str, ...],
        pin: Snapshot | None,
        answered: dict[str, Snapshot],
        refused: set[str],
    ) -> None:
        for shard in shards:
            self.asked += 1
            replica = self._choose(shard, pin)
            held = replica.held(now)
            self._tracker.observe(shard, replica.name, held)
            self._newest = max(self._newest or held[-1], held[-1])
            if pin is None or pin in held:
                answered[shard] = pin or held[-1]
            else:
                refused.add(shard)

    def _choose(self, shard: str, pin: Snapshot | None) -> _Replica:
        rows = self._replicas[shard]
        if pin is None or self._variant in VARIANTS[:2]:
            return self._random.choice(rows)
        may = [r for r in rows if self._tracker.holds(shard, r.name, pin) is not False]
        return self._random.choice(may or rows)


def snapshot_rows() -> Iterator[SnapshotRow]:
    """Run every variant over the same rolls."""
    for variant in VARIANTS:
        entry = _Entry(variant)
        total = int(SECONDS * RATE)
        whole = mixed = 0
        for n in range(total):
            answered, is_mixed = entry.search(10.0 + n / RATE)
            whole += answered == len(SHARDS) and not is_mixed
            mixed += is_mixed
        yield SnapshotRow(
            variant=variant,
            mixed=mixed / total,
            whole=whole / total,
            asked=entry.asked / (total * len(SHARDS)),
        )
