"""Requests of callers in a simulation of forwarded searches, and the score of their answers.

Terms:
  pattern    load and slow replicas of one simulation over time
  kind       a kind of request: its work, latency target, deadline and minimum number of shards
  credit     score of an answer: the square of its share of shards if it arrived within the target,
             0.1 of that if later, and 0.55 of it if a second attempt after a refusal was answered
             within the target of that attempt

Flow: the model simulates a pattern and fills in each `CallerRequest`; trials and experiments
aggregate the requests with `credit_share`, `late_share` and `unserved_share`.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Final

import attrs


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of request; `share` is its share of all requests, `worth` the weight of its credit."""

    name: str
    share: float
    priority: int
    work_ms: float
    target_ms: float
    deadline_ms: float
    min_shards: int
    worth: float


KINDS: Final = (
    Kind(
        name="sweep",
        share=0.75,
        priority=1,
        work_ms=16.5,
        target_ms=118.0,
        deadline_ms=1500.0,
        min_shards=9,
        worth=2.0,
    ),
    Kind(
        name="check",
        share=0.25,
        priority=2,
        work_ms=5.7,
        target_ms=56.0,
        deadline_ms=800.0,
        min_shards=8,
        worth=1.0,
    ),
)


@attrs.frozen(kw_only=True)
class Pattern:
    """Load relative to the base rate over time, slow replicas and long searches.

    Attributes:
        load: rows of (start in seconds, factor).
        slow_share, slow_factor, slow_from: share of slow replicas, multiplier of their service
            times, and the time in seconds from which they are slow.
        long_share, long_factor: share of searches with more work, and the multiplier of their work.
        uneven_share, uneven_factor: share of replicas whose machine is slow at a time, and the
            multiplier of their service times. Each replica draws anew every `PACE_INTERVAL_S` and
            reports the multiplier as its pace.
        vms: number of VMs that share the requests.
    """

    name: str
    load: tuple[tuple[float, float], ...]
    seconds: float
    slow_share: float = 0.0
    slow_factor: float = 1.0
    slow_from: float = math.inf
    long_share: float = 0.0
    long_factor: float = 1.0
    uneven_share: float = 0.0
    uneven_factor: float = 1.0
    vms: int = 8

    def factor(self, now: float) -> float:
        """Return the load factor at a time in seconds."""
        return [factor for start, factor in self.load if start <= now][-1]


@attrs.define(eq=False)
class CallerRequest:
    """A request of a caller, with a second attempt if the first one was refused."""

    kind: Kind
    arrived_at: float
    work_factor: float = 1.0
    attempts: int = 0
    sent_at: float = 0.0
    answered_at: float | None = None
    share: float = 0.0

    @property
    def latency_ms(self) -> float:
        """Return the time from the first attempt to the answer, infinite without an answer."""
        return math.inf if self.answered_at is None else (self.answered_at - self.arrived_at) * 1000

    @property
    def credit(self) -> float:
        """Return the credit earned, from 0 to 1."""
        if self.answered_at is None:
            return 0.0
        if self.latency_ms <= self.kind.target_ms:
            return self.share**2
        last_attempt_ms = (self.answered_at - self.sent_at) * 1000
        is_retry_in_time = self.attempts > 1 and last_attempt_ms <= self.kind.target_ms
        return self.share**2 * (0.55 if is_retry_in_time else 0.1)


def credit_share(requests: Sequence[CallerRequest]) -> float:
    """Return the credit earned as a share of the worth of all requests; 1 without requests."""
    total_worth = sum(request.kind.worth for request in requests)
    if not total_worth:
        return 1.0
    return sum(request.kind.worth * request.credit for request in requests) / total_worth


def late_share(requests: Sequence[CallerRequest]) -> float:
    """Return the share of requests that were answered after the latency target."""
    late = [
        request
        for request in requests
        if request.answered_at is not None and request.latency_ms > request.kind.target_ms
    ]
    return len(late) / len(requests)


def unserved_share(requests: Sequence[CallerRequest]) -> float:
    """Return the share of requests without an answer."""
    return sum(request.answered_at is None for request in requests) / len(requests)
