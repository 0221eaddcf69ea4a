"""Limit the additional load of retries and hedges over all hops of a request.

Load: saturation, where failures cause retries. Without a budget, three tries at each of three hops
turn one request into 27 when the backend servers have the least capacity, and a short fault becomes
an outage that sustains itself.

Terms:
  first attempt   the first try of a sub-request, which earns a share of one token
  token           the right to one additional attempt
  free reroute    another try after a rejection that cost no backend server any work
  canary          another try of a request whose connection broke, since it may crash servers

Flow: only the entry retries; owners and pools never do. `ExtraBudget.on_first_attempt` counts each
first attempt. `RetryPolicy.decide` classifies each failed attempt as FREE, BUDGETED, CANARY or
NEVER. Hedges use a budget of their own, so that retries in a wave of failures can't exhaust the
budget of the hedges, nor hedges that of the retries.

Limits: the shares are the service's policy (5% hedges, 10% retries). The reserve of 10 tokens lets
a service that has just started, or has few requests, retry. A bucket holds at most 50 tokens, which
limits the burst after an idle period. Spent tokens never exceed reserve + share x first attempts.
"""

from __future__ import annotations

import enum
from typing import Final

import attrs

from berylspindle_model.errors import ErrorKind, RunState


@attrs.frozen(kw_only=True)
class BudgetOptions:
    """Settings of one budget.

    Attributes:
        share: tokens that a first attempt earns, 0 to 1.
        reserve: initial tokens.
        max_tokens: capacity of the bucket.
    """

    share: float = 0.1
    reserve: float = 10.0
    max_tokens: float = 50.0


class ExtraBudget:
    """Token bucket for additional attempts, filled by first attempts."""

    def __init__(self, options: BudgetOptions | None = None) -> None:
        self._options = options or BudgetOptions()
        self._tokens = self._options.reserve
        self._first = 0
        self._spent = 0
        self._denied = 0

    @property
    def share(self) -> float:
        """Return the tokens that one first attempt earns."""
        return self._options.share

    @property
    def tokens(self) -> float:
        """Return the additional attempts that are allowed now."""
        return self._tokens

    @property
    def first_attempts(self) -> int:
        """Return the number of first attempts."""
        return self._first

    @property
    def spent(self) -> int:
        """Return the number of tokens taken and not given back."""
        return self._spent

    @property
    def denied(self) -> int:
        """Return the number of additional attempts that were denied."""
        return self._denied

    def on_first_attempt(self, count: int = 1) -> None:
        """Count first attempts."""
        self._first += count
        earned = self._tokens + self._options.share * count
        self._tokens = min(max(self._options.max_tokens, self._options.reserve), earned)

    def take(self) -> bool:
        """Take one token; return False if there is none."""
        if self._tokens < 1.0:
            self._denied += 1
            return False
        self._tokens -= 1.0
        self._spent += 1
        return True

    def give_back(self) -> None:
        """Give back a token whose attempt was never sent; raise ValueError if none was taken."""
        if self._spent == 0:
            raise ValueError("no token was taken")
        self._tokens += 1.0
        self._spent -= 1


class RetryBudget(ExtraBudget):
    """Retry budget of a service at one entry."""


class RetryClass(enum.Enum):
    """Whether and how a failed attempt may be retried."""

    FREE = "free"
    BUDGETED = "budgeted"
    CANARY = "canary"
    NEVER = "never"


# The rejecting VM is the wrong target and nothing ran, so another target may accept the request.
# There are few targets, and each request limits its reroutes.
_FREE_KINDS: Final = frozenset(
    {
        ErrorKind.NOT_OWNER,
        ErrorKind.SERVER_LEAVING,
        ErrorKind.DATA_CENTRE_OUT,
        ErrorKind.SHUTTING_DOWN,
        ErrorKind.NOT_READY,
    }
)

# Attempts that end with SERVER_SHED, OVERLOADED or NO_REPLICA did not run, but free reroutes would
# spread the overload of one server to its replicas. Those that end with BAD_REPLY or BACKEND_FAILED
# ran or may have run.
_BUDGETED_KINDS: Final = frozenset(
    {
        ErrorKind.SERVER_SHED,
        ErrorKind.OVERLOADED,
        ErrorKind.NO_REPLICA,
        ErrorKind.BAD_REPLY,
        ErrorKind.BACKEND_FAILED,
    }
)


def retry_class(kind: ErrorKind, run: RunState, *, repeatable: bool) -> RetryClass:
    """Return whether and how an attempt that ended with `kind` may be retried.

    A search is repeatable, an order confirmation is not: it may be retried only if it has certainly
    not run. SNAPSHOT_GONE is NEVER, since `snapshot_choice` decides what to do about it.
    """
    if not repeatable and run is not RunState.NOT_RUN:
        return RetryClass.NEVER
    if kind is ErrorKind.CONNECTION_LOST:
        # A request that crashes servers shows up as a lost connection, and a plain retry would
        # crash the next replica as well, so it may continue only as a canary. A connection that
        # broke before the first byte was written is no evidence against the request.
        return RetryClass.FREE if run is RunState.NOT_RUN else RetryClass.CANARY
    if kind is ErrorKind.PEER_LOST:
        # An owner's VM failed together with all of its searches, which is no evidence against any
        # of them. A retry of one that may have run costs the replicas its work again.
        return RetryClass.FREE if run is RunState.NOT_RUN else RetryClass.BUDGETED
    if kind in _FREE_KINDS and run is RunState.NOT_RUN:
        return RetryClass.FREE
    if kind in _BUDGETED_KINDS:
        return RetryClass.BUDGETED
    return RetryClass.NEVER


@attrs.frozen(kw_only=True)
class RetryOptions:
    """Limits of one sub-request and of one request.

    Attributes:
        max_reroutes: maximum of free reroutes of one sub-request.
        max_retries: maximum of budgeted retries of one sub-request.
        max_request_retries: maximum of budgeted retries of all sub-requests of one request.
        min_left_share: remaining time that a retry requires, as a multiple of the expected time.
    """

    max_reroutes: int = 3
    max_retries: int = 1
    max_request_retries: int = 5
    min_left_share: float = 1.0


class RequestRetries:
    """Count the reroutes and retries of one request over all its sub-requests."""

    def __init__(self) -> None:
        self._reroutes: dict[str, int] = {}
        self._retries: dict[str, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Return the number of budgeted retries of the request."""
        return self._total

    def reroutes(self, shard: str) -> int:
        """Return the number of free reroutes of one sub-request."""
        return self._reroutes.get(shard, 0)

    def retries(self, shard: str) -> int:
        """Return the number of budgeted retries of one sub-request."""
        return self._retries.get(shard, 0)

    def on_reroute(self, shard: str) -> None:
        """Count one free reroute."""
        self._reroutes[shard] = self.reroutes(shard) + 1

    def on_retry(self, shard: str) -> None:
        """Count one budgeted retry."""
        self._retries[shard] = self.retries(shard) + 1
        self._total += 1


class RetryPolicy:
    """Decide whether a failed attempt is retried, and account for it."""

    def __init__(self, budget: RetryBudget, options: RetryOptions | None = None) -> None:
        self._budget = budget
        self._options = options or RetryOptions()

    def decide(
        self,
        request: RequestRetries,
        *,
        shard: str,
        kind: ErrorKind,
        run: RunState,
        repeatable: bool,
        left_ms: float,
        expected_ms: float,
    ) -> RetryClass:
        """Return FREE, BUDGETED or CANARY if another try may start now, else NEVER.

        An allowed try is already counted, and its token, if it costs one, is spent. A CANARY may
        start only if `quarantine` admits the request's fingerprint as one.
        """
        retry = retry_class(kind, run, repeatable=repeatable)
        if retry is RetryClass.NEVER or left_ms < expected_ms * self._options.min_left_share:
            return RetryClass.NEVER
        if retry is RetryClass.FREE:
            if request.reroutes(shard) >= self._options.max_reroutes:
                return RetryClass.NEVER
            request.on_reroute(shard)
            return retry
        if request.retries(shard) >= self._options.max_retries:
            return RetryClass.NEVER
        if request.total >= self._options.max_request_retries or not self._budget.take():
            return RetryClass.NEVER
        request.on_retry(shard)
        return retry
