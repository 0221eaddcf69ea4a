"""Simulate the choice of a snapshot while new index versions are rolled out.

Terms:
  rollout  a new version reaches the thirty replicas one after the other within `ROLLOUT_S`
  mixed    an answer whose shards were computed on different snapshots
  asked    sub-requests per shard of a search; the minimum is 1.0

Flow: an entry searches ten shards with three replicas each, a hundred times per second. Each
replica holds its two newest versions and reports them with every reply. The variants differ in the
snapshot that they pin; all but the first repeat sub-requests as `SnapshotTracker.reask` decides.
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
VERSION_INTERVAL_S: Final = 5.0
ROLLOUT_S: Final = 4.0
SECONDS: Final = 60.0
SEARCHES_PER_S: Final = 100.0
VARIANTS: Final = ("no pin, merge all", "no pin, ask again", "newest seen", "newest common")


@attrs.frozen(kw_only=True)
class SnapshotRow:
    """Results of one variant."""

    variant: str
    mixed: float
    whole: float
    asked: float


class _Replica:
    """A replica that holds the two newest versions that have reached it."""

    def __init__(self, name: str, lag_s: float) -> None:
        self.name = name
        self._lag_s = lag_s

    def held(self, now: float) -> tuple[Snapshot, ...]:
        newest = int((now - self._lag_s) // VERSION_INTERVAL_S) + 2
        return Snapshot(1, newest - 1), Snapshot(1, newest)


class _Entry:
    """An entry with its record of the versions of the replicas."""

    def __init__(self, variant: str) -> None:
        self.asked = 0
        self._variant = variant
        self._rng = random.Random(6)
        self._replicas = {
            shard: [
                _Replica(f"{shard}-{r}", self._rng.uniform(0, ROLLOUT_S)) for r in range(REPLICAS)
            ]
            for shard in SHARDS
        }
        names = {
            shard: [replica.name for replica in replicas]
            for shard, replicas in self._replicas.items()
        }
        self._tracker = SnapshotTracker(1, names)
        self._newest_seen: Snapshot | None = None

    def search(self, now: float) -> tuple[int, bool]:
        """Return the number of answered shards and whether the answer is mixed."""
        pin = self._pin()
        answered: dict[str, Snapshot] = {}
        refused: set[str] = set()
        self._send_to_shards(now, SHARDS, pin, answered, refused)
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
                self._send_to_shards(now, step.shards, step.target, answered, refused)
                rounds += 1
                continue
            missing = len(step.missing) if isinstance(step, KeepSnapshot) else len(SHARDS)
            return len(SHARDS) - missing, False
        return len(answered), False

    def _pin(self) -> Snapshot | None:
        if self._variant == "newest seen":
            return self._newest_seen
        return self._tracker.choose() if self._variant == "newest common" else None

    def _send_to_shards(
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
            self._newest_seen = max(self._newest_seen or held[-1], held[-1])
            if pin is None or pin in held:
                answered[shard] = pin or held[-1]
            else:
                refused.add(shard)

    def _choose(self, shard: str, pin: Snapshot | None) -> _Replica:
        replicas = self._replicas[shard]
        if pin is None or self._variant in VARIANTS[:2]:
            return self._rng.choice(replicas)
        candidates = [
            replica
            for replica in replicas
            if self._tracker.holds(shard, replica.name, pin) is not False
        ]
        return self._rng.choice(candidates or replicas)


def snapshot_rows() -> Iterator[SnapshotRow]:
    """Run every variant over the same rollouts and yield the results."""
    for variant in VARIANTS:
        entry = _Entry(variant)
        total = int(SECONDS * SEARCHES_PER_S)
        whole = mixed = 0
        for n in range(total):
            answered, is_mixed = entry.search(10.0 + n / SEARCHES_PER_S)
            whole += answered == len(SHARDS) and not is_mixed
            mixed += is_mixed
        yield SnapshotRow(
            variant=variant,
            mixed=mixed / total,
            whole=whole / total,
            asked=entry.asked / (total * len(SHARDS)),
        )
