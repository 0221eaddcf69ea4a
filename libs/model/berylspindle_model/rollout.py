"""Rollouts: moving a service's requests from the replicas of one version to those of another.

Terms:
  order    the operator's request to move a service to a version, within a term
  status   what the system tells the operator of it
  answers  counts of the replicas' answers by version and route, by which the version is judged

Flow: an operator writes an order; new replicas start beside the old ones; the VMs try the new
version, and one of them writes a status that all follow. The old replicas stop with `COMPLETED`,
the new ones with `ROLLED_BACK`.
"""

from __future__ import annotations

import enum

import attrs


class RolloutState(enum.StrEnum):
    """What the operator is told of a rollout."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """An operator's order; `term` is in seconds, `revision` that of its entry in the store."""

    service: str
    version: str
    term: float
    revision: int


@attrs.frozen(kw_only=True)
class RolloutStatus:
    """What the system has written of a service's last rollout."""

    version: str
    state: RolloutState
    revision: int = 0


@attrs.frozen(kw_only=True)
class RolloutShift:
    """The word that all requests go to the new version; `order` is the order's revision."""

    order: int


@attrs.define
class AnswerCounts:
    """Answers on one route, by version: all and the bad ones.

    Those of the old version are counted by replica, as (all, bad).
    """

    new: int = 0
    new_bad: int = 0
    old: dict[str, tuple[int, int]] = attrs.field(factory=dict)

    def add(self, replica: str, *, is_new: bool, is_bad: bool) -> None:
        """Count one answer."""
        if is_new:
            self.new += 1
            self.new_bad += is_bad
            return
        answers, bad = self.old.get(replica, (0, 0))
        self.old[replica] = (answers + 1, bad + is_bad)

    def join(self, other: AnswerCounts) -> None:
        """Add the counts of another VM."""
        self.new += other.new
        self.new_bad += other.new_bad
        for replica, (answers, bad) in other.old.items():
            known = self.old.get(replica, (0, 0))
            self.old[replica] = (known[0] + answers, known[1] + bad)

    def raise_to(self, least: AnswerCounts) -> None:
        """Take each count of an earlier record that is higher."""
        self.new = max(self.new, least.new)
        self.new_bad = max(self.new_bad, least.new_bad)
        for replica, (answers, bad) in least.old.items():
            known = self.old.get(replica, (0, 0))
            self.old[replica] = (max(known[0], answers), max(known[1], bad))


@attrs.frozen(kw_only=True)
class RolloutAnswers:
    """What some VMs have seen of one rollout so far.

    Attributes:
        order: revision of the order.
        elapsed_ms: time since the order, as far as it is known.
        requests: requests to the service, to either version.
        routes: answers by route.
        rate: requests a second, the highest mean so far; 0 while it isn't known.
    """

    order: int
    elapsed_ms: int
    requests: int
    routes: dict[str, AnswerCounts] = attrs.field(factory=dict)
    rate: float = 0.0


@attrs.frozen(kw_only=True)
class RolloutReport:
    """What one VM tells the VM that it follows, by service; `is_sum` if for other VMs too."""

    is_sum: bool
    services: dict[str, RolloutAnswers]
