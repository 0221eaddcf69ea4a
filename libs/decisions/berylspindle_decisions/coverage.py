"""Count the shards that an answer covers, and decide when the answer is sent.

Load: straggling and lost shards. Without counting against the pinned shard map, a shard that
answers twice (a hedge and its first attempt) hides one that did not answer, and the stated coverage
is wrong. Without an early end, a caller waits until its deadline for a shard that can't answer.

Terms:
  pinned map    the shards of the service when the request was planned
  lost          a shard that can no longer answer within this request
  pending       a shard that is neither answered nor lost

Flow: `CoverageCount` counts answers and losses. The entry calls `decide_answer` after each answer,
after each loss, and when the wait time of the last decision has passed; `decide_answer` returns
whether to wait, answer or refuse.

Settings: `min_coverage`, `patience_ms` and the deadline belong to the service's policy. With the
preference LATENCY, the answer is sent as soon as `patience_ms` has passed and enough shards have
answered. With COVERAGE, the entry waits for each pending shard until the deadline. With either, the
request ends at once when no shard is pending or the minimum coverage can't be reached any more.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs

from berylspindle_model.configuration import Policy, Preference
from berylspindle_model.messages import Coverage


class CoverageCount:
    """Count the shards of the pinned map, each once."""

    def __init__(self, shards: Iterable[str]) -> None:
        self._shards = tuple(dict.fromkeys(shards))
        self._shard_set = frozenset(self._shards)
        self._answered: set[str] = set()
        self._partial: set[str] = set()
        self._lost: set[str] = set()

    @property
    def asked(self) -> int:
        """Return the number of shards of the pinned map."""
        return len(self._shards)

    @property
    def answered(self) -> int:
        """Return the number of shards that answered."""
        return len(self._answered)

    @property
    def waiting(self) -> int:
        """Return the number of shards that may still answer."""
        return len(self._shards) - len(self._answered) - len(self._lost)

    @property
    def pending(self) -> tuple[str, ...]:
        """Return the shards that may still answer, in the order of the map."""
        return tuple(s for s in self._shards if s not in self._answered and s not in self._lost)

    def is_answered(self, shard: str) -> bool:
        """Return whether the shard's answer is counted."""
        return shard in self._answered

    def on_answer(self, shard: str, *, partial: bool = False) -> bool:
        """Count one answer; return False if it must not be merged.

        A second answer of a shard must not be merged, since its hits would be duplicated. An answer
        of a shard outside the pinned map must not be merged either: the shard map has changed, and
        its hits belong to another partition.
        """
        if shard not in self._shard_set or shard in self._answered:
            return False
        self._answered.add(shard)
        self._lost.discard(shard)
        if partial:
            self._partial.add(shard)
        return True

    def on_lost(self, shard: str) -> None:
        """Record that a shard can no longer answer; an answer that is counted stays."""
        if shard in self._shard_set and shard not in self._answered:
            self._lost.add(shard)

    def on_reask(self, shard: str) -> None:
        """Discard a counted answer, since its shard is asked again on another snapshot."""
        self._answered.discard(shard)
        self._partial.discard(shard)
        self._lost.discard(shard)

    def coverage(self) -> Coverage:
        """Return the coverage that the answer states."""
        return Coverage(
            asked=len(self._shards),
            answered=len(self._answered),
            missing=tuple(s for s in self._shards if s not in self._answered),
            partial=tuple(s for s in self._shards if s in self._partial),
        )


class AnswerVerdict(enum.Enum):
    """What an entry does after it has counted an answer or a loss."""

    WAIT = "wait"
    ANSWER = "answer"
    REFUSE = "refuse"


@attrs.frozen(kw_only=True)
class AnswerDecision:
    """A verdict; for WAIT also the maximum milliseconds until the next decision."""

    verdict: AnswerVerdict
    wait_ms: float = 0.0


_ANSWER = AnswerDecision(verdict=AnswerVerdict.ANSWER)
_REFUSE = AnswerDecision(verdict=AnswerVerdict.REFUSE)


def decide_answer(
    policy: Policy, count: CoverageCount, *, elapsed_ms: float, left_ms: float
) -> AnswerDecision:
    """Return whether the answer is sent now.

    REFUSE means the error INCOMPLETE. `left_ms` is the time in which the replies of shards still
    count, see `Deadlines.for_entry`.
    """
    pending = count.waiting
    enough = count.asked == 0 or count.answered >= policy.min_coverage * count.asked
    if pending == 0 or left_ms <= 0:
        return _ANSWER if enough else _REFUSE
    if count.answered + pending < policy.min_coverage * count.asked:
        # Too many shards are lost to reach the minimum coverage. The caller gets the final error
        # now and can use the rest of its time.
        return _REFUSE
    if policy.prefer is Preference.COVERAGE:
        return AnswerDecision(verdict=AnswerVerdict.WAIT, wait_ms=left_ms)
    if elapsed_ms < policy.patience_ms:
        wait_ms = min(left_ms, policy.patience_ms - elapsed_ms)
        return AnswerDecision(verdict=AnswerVerdict.WAIT, wait_ms=wait_ms)
    if enough:
        return _ANSWER
    return AnswerDecision(verdict=AnswerVerdict.WAIT, wait_ms=left_ms)
