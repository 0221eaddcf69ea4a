"""Schedule the attempts of one request at one service: the first attempt, hedges and retries.

Terms:
  attempt    one request sent to one replica; it ends as answered, not run, or possibly run
  runs       attempts that ran, may have run, or may still run; limited by the route
  hedge      an additional attempt while another one is in flight
  retry      an attempt after all others have ended without an answer

Flow: `HedgedRequest.step` returns the next action: send to a replica, wait until a time, or give
up. The caller reports the end of each attempt. An `AttemptPolicy` selects replicas and grants the
retry budget. The module reads no clock.

Limits: a request that is not idempotent gets a second attempt only if the first has certainly not
run. Hedges and retries together never exceed the route's limit on runs. Refused attempts load the
service as well, so the backoff after refusals doubles from `REFUSAL_BACKOFF_MIN_S`, the time in
which a replica drains a queue of twenty requests. A first refusal is rerouted at once, but only to
a replica that has not refused. The same backoff applies where all replicas refuse connections. A
request that is denied retry budget for `BUDGET_WAIT_MAX_S` fails, so that its caller can still
retry elsewhere.
"""

from __future__ import annotations

import abc
import enum
import math
from typing import Final

import attrs

REFUSAL_BACKOFF_MIN_S: Final = 0.01
REFUSAL_BACKOFF_MAX_S: Final = 0.16
RETRY_POLL_INTERVAL_S: Final = 0.02
BUDGET_WAIT_MAX_S: Final = 0.12
HEDGE_RETRY_INTERVAL_S: Final = 0.01


class AttemptOutcome(enum.Enum):
    """Outcome of an attempt that has ended.

    NOT_SENT: no byte left this VM. While all attempts have ended this way, the next one still
    counts as the first attempt and needs no retry budget. NOT_RUN: the replica refused the request.
    """

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class RequestState(enum.Enum):
    """State of a request at one service."""

    OPEN = "open"
    ANSWERED = "won"
    FAILED = "lost"


@attrs.frozen
class SendTo:
    """Send an attempt to this replica now."""

    replica: str
    reason: str


@attrs.frozen
class WaitUntil:
    """Wait until this time or until an attempt ends, whichever comes first."""

    time: float


class GiveUpReason(enum.StrEnum):
    """Why a request ends without an answer."""

    ALL_FAILED = "every attempt that is allowed has failed"
    DEADLINE_PASSED = "the deadline passed"
    NO_REPLICA = "no replica is usable"
    RETRY_BUDGET_EXHAUSTED = "the extra share is spent"


@attrs.frozen
class GiveUp:
    """End the request without an answer."""

    reason: GiveUpReason


_NOT_RUN_OUTCOMES: Final = frozenset({AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN})

RequestStep = SendTo | WaitUntil | GiveUp


class AttemptPolicy(abc.ABC):
    """Replica selection and retry budget for the attempts of a request."""

    @abc.abstractmethod
    def pick_replica(self, service: str, *, tried: frozenset[str], hedge: bool) -> str | None:
        """Return a replica that is not in `tried`, or None if none is usable.

        For a hedge, return only a replica that is expected to answer sooner than a stalled one.
        """

    @abc.abstractmethod
    def acquire_extra(self, service: str, *, hedge: bool) -> bool:
        """Spend retry budget on one more attempt; return False if there is none left."""

    @abc.abstractmethod
    def hedge_delay_s(self, service: str) -> float:
        """Return the delay in seconds before an attempt that is sent now is hedged."""


@attrs.define(eq=False)
class AttemptRecord:
    """One attempt of a request."""

    replica: str
    sent_at: float
    hedge_at: float
    end: AttemptOutcome | None = None
    in_flight: bool = True

    @property
    def counts_as_run(self) -> bool:
        """Return whether the attempt ran, may have run, or may still run."""
        return self.end not in _NOT_RUN_OUTCOMES


class HedgedRequest:
    """The attempts of one request at one service; times are in seconds of one clock."""

    def __init__(
        self,
        service: str,
        *,
        repeatable: bool,
        max_runs: int,
        no_replica_deadline: float,
        deadline: float,
        no_replica_wait: float = 0.0,
    ) -> None:
        """Initialize; the request gives up at `no_replica_deadline` if no replica is usable then.

        An attempt that was not sent postpones this to `no_replica_wait` seconds after its end: it
        may have waited for a connection for longer, to a replica that was usable until then.
        """
        self.service: Final = service
        self.state = RequestState.OPEN
        self.attempts: list[AttemptRecord] = []
        self._repeatable: Final = repeatable
        self._max_runs: Final = max_runs
        self._no_replica_deadline = no_replica_deadline
        self._no_replica_wait: Final = no_replica_wait
        self._deadline: Final = deadline
        self._not_before = -math.inf
        self._refusal_backoff = REFUSAL_BACKOFF_MIN_S
        self._hedge_at = math.inf
        self._budget_denied_since = math.inf
        self._same_replica_at = -math.inf
        self._reconnect_backoff = REFUSAL_BACKOFF_MIN_S

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt ran, may have run, or may still run."""
        return any(attempt.counts_as_run for attempt in self.attempts)

    def step(self, now: float, policy: AttemptPolicy) -> RequestStep:
        """Return the next action; call again until it is `WaitUntil` or `GiveUp`."""
        runs = sum(attempt.counts_as_run for attempt in self.attempts)
        in_flight = any(attempt.in_flight for attempt in self.attempts)
        if in_flight:
            return self._step_hedge(now, policy, runs)
        if runs >= self._max_runs or (runs and not self._repeatable):
            return self._give_up(GiveUpReason.ALL_FAILED)
        if now >= self._deadline:
            return self._give_up(GiveUpReason.DEADLINE_PASSED)
        if now < self._not_before:
            return WaitUntil(min(self._not_before, self._deadline))
        return self._step_retry(now, policy)

    def on_sent(self, now: float, replica: str, policy: AttemptPolicy) -> AttemptRecord:
        """Record an attempt that is sent now."""
        hedge_at = now + policy.hedge_delay_s(self.service)
        attempt = AttemptRecord(replica, now, hedge_at)
        self.attempts.append(attempt)
        self._hedge_at = hedge_at
        return attempt

    def on_answer(self, attempt: AttemptRecord) -> None:
        """Record the answer, which completes the request."""
        attempt.in_flight = False
        attempt.end = AttemptOutcome.RAN
        self.state = RequestState.ANSWERED

    def on_failure(
        self, now: float, attempt: AttemptRecord, end: AttemptOutcome, *, refused: bool
    ) -> None:
        """Record an attempt without an answer; `refused` if the replica rejected it."""
        attempt.in_flight = False
        attempt.end = end
        if end is AttemptOutcome.NOT_SENT:
            self._same_replica_at = now + self._reconnect_backoff
            self._no_replica_deadline = max(self._no_replica_deadline, now + self._no_replica_wait)
        if refused:
            self._same_replica_at = now + self._refusal_backoff
        if not refused or any(other.in_flight for other in self.attempts):
            return
        if {other.replica for other in self.attempts if other is not attempt}:
            # A second refusal indicates an overloaded service, so no replica is asked at once.
            self._not_before = now + self._refusal_backoff
            self._refusal_backoff = min(REFUSAL_BACKOFF_MAX_S, 2 * self._refusal_backoff)

    def on_withdrawn(self, attempt: AttemptRecord) -> None:
        """Record an attempt that was withdrawn before any byte of it was sent."""
        attempt.in_flight = False
        attempt.end = AttemptOutcome.NOT_SENT

    def _step_hedge(self, now: float, policy: AttemptPolicy, runs: int) -> RequestStep:
        if now >= self._deadline:
            # Send no more attempts; the code that awaits the request ends it at its deadline.
            return WaitUntil(math.inf)
        if not self._repeatable or runs >= self._max_runs:
            return WaitUntil(self._deadline)
        if now < self._hedge_at:
            return WaitUntil(min(self._hedge_at, self._deadline))
        tried = frozenset(attempt.replica for attempt in self.attempts)
        replica = policy.pick_replica(self.service, tried=tried, hedge=True)
        if replica is None or not policy.acquire_extra(self.service, hedge=True):
            self._hedge_at = now + HEDGE_RETRY_INTERVAL_S
            return WaitUntil(min(self._hedge_at, self._deadline))
        return SendTo(replica, "hedge")

    def _step_retry(self, now: float, policy: AttemptPolicy) -> RequestStep:
        used = frozenset(attempt.replica for attempt in self.attempts if attempt.counts_as_run)
        tried = frozenset(attempt.replica for attempt in self.attempts)
        replica = policy.pick_replica(self.service, tried=tried, hedge=False)
        if replica is None and tried != used:
            # Only replicas that refused or could not be reached are left.
            if now < self._same_replica_at:
                return WaitUntil(min(self._same_replica_at, self._deadline))
            replica = policy.pick_replica(self.service, tried=used, hedge=False)
            self._reconnect_backoff = min(REFUSAL_BACKOFF_MAX_S, 2 * self._reconnect_backoff)
        if replica is None:
            if now >= self._no_replica_deadline:
                return self._give_up(GiveUpReason.NO_REPLICA)
            self._not_before = now + RETRY_POLL_INTERVAL_S
            return WaitUntil(min(self._not_before, self._deadline))
        if all(attempt.end is AttemptOutcome.NOT_SENT for attempt in self.attempts):
            return SendTo(replica, "first")
        if not policy.acquire_extra(self.service, hedge=False):
            self._budget_denied_since = min(self._budget_denied_since, now)
            if now - self._budget_denied_since >= BUDGET_WAIT_MAX_S:
                return self._give_up(GiveUpReason.RETRY_BUDGET_EXHAUSTED)
            self._not_before = now + RETRY_POLL_INTERVAL_S
            return WaitUntil(min(self._not_before, self._deadline))
        self._budget_denied_since = math.inf
        return SendTo(replica, "retry")

    def _give_up(self, reason: GiveUpReason) -> GiveUp:
        self.state = RequestState.FAILED
        return GiveUp(reason)
