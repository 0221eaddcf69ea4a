"""Actions of a fan-out and the interface through which it obtains its decisions.

Terms:
  strategy   provides targets, retry and hedge decisions and snapshots to one search
  action     an attempt to send or to cancel; the fan-out itself performs no I/O

Flow: `search_fanout.SearchFanout` consults a `FanoutStrategy` before each decision and returns
actions. `service_state.SearchStrategy` is the implementation of a running entry; tests provide
their own.
"""

from __future__ import annotations

import abc
from collections.abc import Mapping

import attrs

from berylspindle_dataplane.router import Target
from berylspindle_decisions.hedging import HedgeVerdict
from berylspindle_decisions.snapshot_choice import KeepSnapshot, Reask
from berylspindle_model.errors import Refusal
from berylspindle_model.messages import Attempt, AttemptReply
from berylspindle_model.snapshot import Snapshot


@attrs.frozen(kw_only=True)
class Send:
    """Send one attempt to the owner of its target; `reason` is the label of the attempt counter."""

    attempt: Attempt
    target: Target
    reason: str


@attrs.frozen(kw_only=True)
class Cancel:
    """Cancel an attempt at the owner of its target."""

    attempt_id: str
    target: Target
    elapsed_ms: float
    was_first: bool


Action = Send | Cancel


class FanoutStrategy(abc.ABC):
    """Provide targets, retry and hedge decisions and snapshots to one search."""

    @abc.abstractmethod
    def pick(
        self, shard: str, *, tried: frozenset[str], pin: Snapshot | None, hedge: bool
    ) -> Target | None:
        """Return the backend server to query next, or None if no untried one is usable."""

    @abc.abstractmethod
    def hedge_delay_ms(self) -> float:
        """Return the delay after which an unanswered shard may be hedged, in milliseconds."""

    @abc.abstractmethod
    def may_hedge(self, *, elapsed_ms: float, left_ms: float) -> HedgeVerdict:
        """Return whether a hedge may start now; GO has already been charged to the budget."""

    @abc.abstractmethod
    def may_retry(self, shard: str, reply: AttemptReply, *, left_ms: float) -> bool:
        """Return whether to retry a failed attempt; True has already been charged to the budget."""

    @abc.abstractmethod
    def reask(
        self,
        *,
        answered: Mapping[str, Snapshot],
        refused: frozenset[str],
        rounds: int,
        left_ms: float,
    ) -> Reask | KeepSnapshot | Refusal:
        """Return how to proceed when shards no longer hold the pin."""

    @abc.abstractmethod
    def observe(self, target: Target, reply: AttemptReply, *, is_first: bool) -> None:
        """Update statistics from one reply; `is_first` if it answers a shard's first attempt."""

    @abc.abstractmethod
    def new_id(self) -> str:
        """Return a new unique attempt id."""
