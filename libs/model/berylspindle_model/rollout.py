"""Define the messages about rollouts, which move a service's requests to replicas of a new version.

Terms:
  order    an operator's request to move a service to a version within a term
  status   the state of a rollout that the system writes for the operator
  answers  counts of replica responses by version and route, by which the version is judged

Flow: an operator writes an order; new replicas start beside the old ones; the VMs send trial
requests to the new version, and one VM writes a status that all VMs follow. After `COMPLETED` the
old replicas stop, after `ROLLED_BACK` the new ones.
"""

from __future__ import annotations

import enum

import attrs


class RolloutState(enum.StrEnum):
    """State of a rollout in its status."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """Order of a rollout; `term` in seconds, `revision` of the order's store entry."""

    service: str
    version: str
    term: float
    revision: int


@attrs.frozen(kw_only=True)
class RolloutStatus:
    """Status of a service's last rollout."""

    version: str
    state: RolloutState
    revision: int = 0


@attrs.frozen(kw_only=True)
class RolloutShift:
    """Signal to send all requests to the new version; `order` is the order's revision."""

    order: int


@attrs.define
class AnswerCounts:
    """Counts of responses and of bad responses on one route, by version.

    Those of the old version are counted by replica, as (responses, bad responses).
    """

    new: int = 0
    new_bad: int = 0
    old: dict[str, tuple[int, int]] = attrs.field(factory=dict)

    def add(self, replica: str, *, is_new: bool, is_bad: bool) -> None:
        """Count one response."""
        if is_new:
            self.new += 1
            self.new_bad += is_bad
            return
        answers, bad = self.old.get(replica, (0, 0))
        self.old[replica] = (answers + 1, bad + is_bad)

    def add_all(self, other: AnswerCounts) -> None:
        """Add the counts of another VM."""
        self.new += other.new
        self.new_bad += other.new_bad
        for replica, (answers, bad) in other.old.items():
            current = self.old.get(replica, (0, 0))
            self.old[replica] = (current[0] + answers, current[1] + bad)

    def merge_max(self, minimum: AnswerCounts) -> None:
        """Raise each count to that of an earlier record if that is higher."""
        self.new = max(self.new, minimum.new)
        self.new_bad = max(self.new_bad, minimum.new_bad)
        for replica, (answers, bad) in minimum.old.items():
            current = self.old.get(replica, (0, 0))
            self.old[replica] = (max(current[0], answers), max(current[1], bad))


@attrs.frozen(kw_only=True)
class RolloutAnswers:
    """Observations of one or more VMs about one rollout so far.

    Attributes:
        order: revision of the order.
        elapsed_ms: time since the order, as far as known.
        requests: number of requests to the service, of both versions.
        routes: counts of responses by route.
        rate: highest mean rate so far, in requests per second; 0 while unknown.
    """

    order: int
    elapsed_ms: int
    requests: int
    routes: dict[str, AnswerCounts] = attrs.field(factory=dict)
    rate: float = 0.0


@attrs.frozen(kw_only=True)
class RolloutReport:
    """Report of a VM to its upstream, by service; `is_sum` if it includes other VMs' counts."""

    is_sum: bool
    services: dict[str, RolloutAnswers]
