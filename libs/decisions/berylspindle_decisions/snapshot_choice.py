"""Choose the one snapshot that all shards of a request are computed on.

Load: index versions that change under running queries, shard by shard and replica by replica.
Without a pinned snapshot, an answer mixes data from before and after a change. If the newest
version that any one server reported were pinned, most other shards would refuse it, and each search
would be sent twice.

Terms:
  snapshot   epoch of the partitioning and version of the index
  holder     a replica that is known to hold a snapshot
  common     held by at least one known replica of every shard
  re-ask     a repetition of shards' sub-requests on another snapshot within the same request

Flow: `SnapshotTracker.observe` records the versions in every reply, and `on_gone` records refusals;
`choose` pins the newest common snapshot. When replies disagree or shards refuse, `reask` returns
one target snapshot and all the shards to ask again on it. Replies on any other snapshot are
discarded, never merged.

Limits: a request has two re-asks at most, and each requires that the expected time of one fan-out
is left. The first re-ask prefers the target with the fewest shards to ask again, since a second
replica of a shard often still holds the snapshot chosen first. The last re-ask takes the newest
common snapshot, which will be held the longest.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import Final

import attrs

from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.snapshot import Snapshot

MAX_REASKS: Final = 2


@attrs.frozen(kw_only=True)
class Reask:
    """Ask these shards again on `target`; other shards' answers on it are kept."""

    target: Snapshot
    shards: tuple[str, ...]


@attrs.frozen(kw_only=True)
class KeepSnapshot:
    """Keep only the answers on `kept`, if any; count these shards as missing."""

    kept: Snapshot | None
    missing: tuple[str, ...]


class SnapshotTracker:
    """Snapshots of the replicas of one service, as observed by one entry."""

    def __init__(self, epoch: int, shards: Mapping[str, Iterable[str]]) -> None:
        self._epoch = epoch
        self._servers: dict[str, frozenset[str]] = {}
        self._held: dict[tuple[str, str], frozenset[Snapshot]] = {}
        self._newest: Snapshot | None = None
        self._choice_is_stale = True
        self.set_map(epoch, shards)

    @property
    def epoch(self) -> int:
        """Return the epoch of the current shard map."""
        return self._epoch

    def set_map(self, epoch: int, shards: Mapping[str, Iterable[str]]) -> None:
        """Replace the shard map; snapshots of replicas that keep their shard stay known."""
        self._epoch = epoch
        self._choice_is_stale = True
        self._servers = {shard: frozenset(servers) for shard, servers in shards.items()}
        self._held = {
            (shard, server): held
            for (shard, server), held in self._held.items()
            if server in self._servers.get(shard, frozenset())
        }

    def observe(
        self, shard: str, server: str, versions: Iterable[Snapshot], epoch: int | None = None
    ) -> None:
        """Record all snapshots that a replica reports.

        `epoch` is the epoch of the shard map that the sub-request was based on. A reply for an
        older map is ignored, since the shard's name may denote another part of the index by now.
        """
        if epoch is not None and epoch != self._epoch:
            return
        if server not in self._servers.get(shard, frozenset()):
            return
        held = frozenset(versions)
        if held != self._held.get((shard, server)):
            self._held[(shard, server)] = held
            self._choice_is_stale = True

    def on_gone(self, shard: str, server: str, snapshot: Snapshot) -> None:
        """Record that a replica refused a snapshot; call before `observe` for that reply."""
        held = self._held.get((shard, server))
        if held is not None:
            self._held[(shard, server)] = held - {snapshot}
            self._choice_is_stale = True

    def holders(self, shard: str, snapshot: Snapshot) -> frozenset[str]:
        """Return the replicas of a shard that are known to hold a snapshot."""
        servers = self._servers.get(shard, frozenset())
        return frozenset(s for s in servers if snapshot in self._held.get((shard, s), ()))

    def holds(self, shard: str, server: str, snapshot: Snapshot) -> bool | None:
        """Return whether a replica holds a snapshot, or None if unknown."""
        held = self._held.get((shard, server))
        return None if held is None else snapshot in held

    def choose(self, usable: Collection[str] | None = None) -> Snapshot | None:
        """Return the newest common snapshot of the map's epoch, or None if none is known.

        `usable` restricts the holders to servers that may be sent requests now.
        """
        if usable is not None:
            return max(self._common(usable), default=None)
        if self._choice_is_stale:
            # Most replies change nothing; the choice is recomputed only after a change.
            self._newest = max(self._common(None), default=None)
            self._choice_is_stale = False
        return self._newest

    def reask(
        self,
        *,
        answered: Mapping[str, Snapshot],
        refused: Collection[str],
        pinned: bool,
        rounds: int,
        left_ms: float,
        expected_ms: float,
        usable: Collection[str] | None = None,
    ) -> Reask | KeepSnapshot | Refusal:
        """Return what to do when shards refused the snapshot or answered on different ones.

        `answered` is the snapshot of each shard's answer, `refused` the shards that no longer hold
        the snapshot they were asked on, `rounds` the number of previous re-asks. `pinned` is set
        for a page token: all of its pages need one order, so no other snapshot may be used.
        """
        if pinned:
            run = RunState.RAN if answered else RunState.NOT_RUN
            return Refusal(
                ErrorKind.SNAPSHOT_GONE, "the snapshot of the page token is no longer held", run
            )
        common = self._common(usable)
        if not common or rounds >= MAX_REASKS or left_ms < expected_ms:
            return self._keep_most_common(answered)
        target = self._choose_target(common, answered, is_last=rounds + 1 >= MAX_REASKS)
        asked = set(answered) | set(refused)
        repeated = tuple(s for s in self._servers if s in asked and answered.get(s) != target)
        return Reask(target=target, shards=repeated)

    def _choose_target(
        self, common: Collection[Snapshot], answered: Mapping[str, Snapshot], *, is_last: bool
    ) -> Snapshot:
        if is_last:
            return max(common)
        snapshots = list(answered.values())
        return max(common, key=lambda snapshot: (snapshots.count(snapshot), snapshot))

    def _keep_most_common(self, answered: Mapping[str, Snapshot]) -> KeepSnapshot:
        snapshots = list(answered.values())
        kept = max(
            set(snapshots), key=lambda snapshot: (snapshots.count(snapshot), snapshot), default=None
        )
        missing = tuple(s for s in self._servers if answered.get(s) != kept or kept is None)
        return KeepSnapshot(kept=kept, missing=missing)

    def _common(self, usable: Collection[str] | None) -> set[Snapshot]:
        common: set[Snapshot] | None = None
        for shard, servers in self._servers.items():
            of_shard: set[Snapshot] = set()
            for server in servers:
                if usable is None or server in usable:
                    of_shard.update(self._held.get((shard, server), ()))
            common = of_shard if common is None else common & of_shard
            if not common:
                return set()
        return {snapshot for snapshot in common or () if snapshot.epoch == self._epoch}
