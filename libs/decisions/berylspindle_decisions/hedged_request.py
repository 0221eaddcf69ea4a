"""Decide on the attempts of one request at one service: first, hedges and retries.

Pattern of load: replicas that pause, refuse, fail and vanish while a request waits for one of them.

Terms:
  attempt    one sending to one replica; at the end it has answered, has surely not run, or may have
  runs       attempts that have run, may have, or still may; never more than the route allows
  hedge      an attempt beside one that is out
  retry      an attempt after all others have ended without an answer

Flow: `step` returns what to do now: send to a replica, wait until a time, or give up; the caller
reports each attempt's end. An `AttemptPolicy` chooses replicas and grants the retry budget; there
is no clock here.

Guards: a request that is not idempotent gets a second attempt only where the first has surely not
run. A request never has more runs than its route allows, hedges and retries together. Refusals cost
arrivals too, so that the pause after each grows from `PAUSE_FIRST`, the time in which a replica's
queue of twenty drains. Where all replicas refuse connections, the next try waits as long. A spent
budget is asked for again for `BUDGET_PATIENCE`; a caller that is told then can try elsewhere.
"""

from __future__ import annotations

import abc
import enum
import math
from typing import Final

import attrs

PAUSE_FIRST: Final = 0.01
PAUSE_MOST: Final = 0.16
BUDGET_PAUSE: Final = 0.02
BUDGET_PATIENCE: Final = 0.12
HEDGE_AGAIN: Final = 0.01


class AttemptEnd(enum.Enum):
    """What is known of an attempt that has ended.

    NOT_SENT: no byte of it left this VM, so that it was no arrival either. NOT_RUN: the replica
    refused it.
    """

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class RequestState(enum.Enum):
    """Where a race stands."""

    OPEN = "open"
    WON = "won"
    LOST = "lost"


@attrs.frozen
class SendTo:
    """Send an attempt to this replica now."""

    replica: str
    reason: str


@attrs.frozen
class WaitUntil:
    """Nothing to do before this time, if nothing else happens."""

    time: float


class LossReason(enum.StrEnum):
    """Why a race gives no answer."""

    ALL_FAILED = "every attempt that is allowed has failed"
    TOO_LATE = "the deadline passed"
    NO_REPLICA = "no replica is usable"
    EXTRA_SPENT = "the extra share is spent"


@attrs.frozen
class GiveUp:
    """No answer can come any more."""

    reason: LossReason


_UNRUN: Final = frozenset({AttemptEnd.NOT_SENT, AttemptEnd.NOT_RUN})

RequestStep = SendTo | WaitUntil | GiveUp


class AttemptPolicy(abc.ABC):
    """What a race needs to know of everything beyond it."""

    @abc.abstractmethod
    def pick(self, service: str, *, tried: frozenset[str], hedge: bool) -> str | None:
        """Return the replica for an attempt, or None where none is usable.

        For a hedge only one that is expected to answer sooner than a stalled one would.
        """

    @abc.abstractmethod
    def may_take_extra(self, service: str, *, hedge: bool) -> bool:
        """Tell whether the extra share allows one more arrival; True has taken it."""

    @abc.abstractmethod
    def hedge_after(self, service: str) -> float:
        """Return after how many seconds an attempt that goes out now is hedged."""


@attrs.define(eq=False)
class AttemptRecord:
    """One attempt of a race."""

    replica: str
    sent_at: float
    hedge_at: float
    end: AttemptEnd | None = None
    is_out: bool = True

    @property
    def counts_as_run(self) -> bool:
        """Tell whether it has run, may have, or still may."""
        return self.end not in _UNRUN


class HedgedRequest:
    """The attempts of one request at one service."""

    def __init__(
        self,
        service: str,
        *,
        repeatable: bool,
        most_runs: int,
        wait_until: float,
        deadline: float,
    ) -> None:
        self.service: Final = service
        self.state = RequestState.OPEN
        self.attempts: list[AttemptRecord] = []
        self._repeatable: Final = repeatable
        self._most_runs: Final = most_runs
        self._wait_until: Final = wait_until
        self._deadline: Final = deadline
        self._not_before = -math.inf
        self._pause = PAUSE_FIRST
        self._hedge_at = math.inf
        self._denied_since = math.inf
        self._again_at = -math.inf
        self._again_pause = PAUSE_FIRST

    @property
    def may_have_run(self) -> bool:
        """Tell whether any attempt has run, may have, or still may."""
        return any(attempt.counts_as_run for attempt in self.attempts)

    def step(self, now: float, policy: AttemptPolicy) -> RequestStep:
        """Return what to do now; ask again until it says to wait."""
        runs = sum(attempt.counts_as_run for attempt in self.attempts)
        is_out = any(attempt.is_out for attempt in self.attempts)
        if is_out:
            return self._step_hedge(now, policy, runs)
        if runs >= self._most_runs or (runs and not self._repeatable):
            return self._lose(LossReason.ALL_FAILED)
        if now >= self._deadline:
            return self._lose(LossReason.TOO_LATE)
        if now < self._not_before:
            return WaitUntil(min(self._not_before, self._deadline))
        return self._step_retry(now, policy)

    def sent(self, now: float, replica: str, policy: AttemptPolicy) -> AttemptRecord:
        """Note an attempt that goes out now."""
        hedge_at = now + policy.hedge_after(self.service)
        attempt = AttemptRecord(replica, now, hedge_at)
        self.attempts.append(attempt)
        self._hedge_at = hedge_at
        return attempt

    def answered(self, attempt: AttemptRecord) -> None:
        """Note the answer; the race is won."""
        attempt.is_out = False
        attempt.end = AttemptEnd.RAN
        self.state = RequestState.WON

    def ended(self, now: float, attempt: AttemptRecord, end: AttemptEnd, *, refused: bool) -> None:
        """Note an attempt that ended without an answer; `refused` by the replica itself."""
        attempt.is_out = False
        attempt.end = end
        if end is AttemptEnd.NOT_SENT:
            self._again_at = now + self._again_pause
        if not refused or any(other.is_out for other in self.attempts):
            return
        if {other.replica for other in self.attempts if other is not attempt}:
            # The first refusal is rerouted at once; from the second on the service is pressed.
            self._not_before = now + self._pause
            self._pause = min(PAUSE_MOST, 2 * self._pause)

    def _step_hedge(self, now: float, policy: AttemptPolicy, runs: int) -> RequestStep:
        if now >= self._deadline:
            # Nothing more goes out; whoever waits for the race ends it.
            return WaitUntil(math.inf)
        if not self._repeatable or runs >= self._most_runs:
            return WaitUntil(self._deadline)
        if now < self._hedge_at:
            return WaitUntil(min(self._hedge_at, self._deadline))
        tried = frozenset(attempt.replica for attempt in self.attempts)
        replica = policy.pick(self.service, tried=tried, hedge=True)
        if replica is None or not policy.may_take_extra(self.service, hedge=True):
            self._hedge_at = now + HEDGE_AGAIN
            return WaitUntil(min(self._hedge_at, self._deadline))
        return SendTo(replica, "hedge")

    def _step_retry(self, now: float, policy: AttemptPolicy) -> RequestStep:
        out_of = frozenset(attempt.replica for attempt in self.attempts if attempt.counts_as_run)
        tried = frozenset(attempt.replica for attempt in self.attempts)
        replica = policy.pick(self.service, tried=tried, hedge=False)
        if replica is None and tried != out_of:
            # Only replicas that refused, or could not be reached, are left.
            if now < self._again_at:
                return WaitUntil(min(self._again_at, self._deadline))
            replica = policy.pick(self.service, tried=out_of, hedge=False)
            self._again_pause = min(PAUSE_MOST, 2 * self._again_pause)
        if replica is None:
            if now >= self._wait_until:
                return self._lose(LossReason.NO_REPLICA)
            self._not_before = now + BUDGET_PAUSE
            return WaitUntil(min(self._not_before, self._deadline))
        if all(attempt.end is AttemptEnd.NOT_SENT for attempt in self.attempts):
            return SendTo(replica, "first")
        if not policy.may_take_extra(self.service, hedge=False):
            self._denied_since = min(self._denied_since, now)
            if now - self._denied_since >= BUDGET_PATIENCE:
                return self._lose(LossReason.EXTRA_SPENT)
            self._not_before = now + BUDGET_PAUSE
            return WaitUntil(min(self._not_before, self._deadline))
        self._denied_since = math.inf
        return SendTo(replica, "retry")

    def _lose(self, reason: LossReason) -> GiveUp:
        self.state = RequestState.LOST
        return GiveUp(reason)
