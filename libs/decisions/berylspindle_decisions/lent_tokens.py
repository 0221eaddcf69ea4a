"""Account for tokens that were lent and may still be unspent.

Load: responses are lost, asks arrive late, twice or in another order, and borrowers restart. What a
lender counts as spent must be spent or expired in all of these cases.

Terms:
  outstanding  tokens that were lent and not yet shown to be spent, until they expire
  confirmed    an ask states that the last grant to this borrower arrived

Flow: `accept` is called for each ask, then `record_grant`. `next_expiry` and `expire` let the owner
of a bucket refill it up to each expiry with the tokens that were outstanding until then.

Restarts: incarnations are random, so they have no order. A delayed first ask of an old process may
arrive after the asks of its successor. An incarnation is therefore ended only by an ask that
confirms a grant which was made after that incarnation's last ask: a VM runs one process at a time,
so the confirming process is the later one. The tokens of an ended incarnation stay outstanding
until they expire, as VMs that it lent them to may still spend them.
"""

from __future__ import annotations

import heapq
import math
from typing import Final

import attrs

from berylspindle_decisions.quota_limits import STANDBY_TTL_S
from berylspindle_model.quota_messages import QuotaAsk

DEMAND_TIME_CONSTANT_S: Final = 2.0
# Longer than a standby, so that the standby of a borrower ends before its entry is removed.
FORGET_S: Final = STANDBY_TTL_S + 1.0
SWEEP_S: Final = 4.0
MAX_ENDED: Final = 64


@attrs.define(slots=True)
class _Batch:
    expiry: float
    count: int


@attrs.define(slots=True, eq=False)
class Borrower:
    """One process of a borrower.

    Attributes:
        sequence: of its newest ask.
        granted_sequence: sequence of the ask that got the last grant, 0 if none.
        granted_at: time of that grant in seconds.
        seen_at: time of its newest ask in seconds.
        is_confirmed: whether its newest ask shows that the last grant before it arrived.
        demand: stated requests per second at `seen_at`.
        batches: its outstanding tokens.
    """

    vm: str
    incarnation: int
    sequence: int = 0
    granted_sequence: int = 0
    granted_at: float = -math.inf
    seen_at: float = -math.inf
    is_confirmed: bool = False
    demand: float = 0.0
    batches: list[_Batch] = attrs.Factory(list)

    def trim(self, held: int) -> int:
        """Keep `held` outstanding tokens, those that expire last; return the number removed."""
        removed, kept = 0, []
        for batch in sorted(self.batches, key=lambda batch: -batch.expiry):
            spent = batch.count - min(batch.count, max(0, held))
            held -= batch.count
            batch.count -= spent
            removed += spent
            if batch.count:
                kept.append(batch)
        self.batches = kept
        return removed


class LentTokens:
    """The borrowers of one lender or owner, and their outstanding tokens."""

    __slots__ = (
        "_borrowers",
        "_demand",
        "_demand_at",
        "_ended",
        "_expiries",
        "_number",
        "_swept_at",
        "outstanding",
    )

    def __init__(self, now: float) -> None:
        self._borrowers: Final[dict[str, list[Borrower]]] = {}
        self._ended: Final[dict[tuple[str, int], None]] = {}
        self._expiries: Final[list[tuple[float, int, _Batch]]] = []
        self._number = 0
        self._demand = 0.0
        self._demand_at = now
        self._swept_at = now
        self.outstanding = 0

    @property
    def is_empty(self) -> bool:
        """Return whether there are neither borrowers nor outstanding tokens."""
        return not self._borrowers and not self.outstanding

    @property
    def next_expiry(self) -> float:
        """Return when the next tokens expire, in seconds; infinite if there are none."""
        return self._expiries[0][0] if self._expiries else math.inf

    def demand(self, now: float) -> float:
        """Return the requests per second of all borrowers; the statements of each decay."""
        return self._demand * math.exp((self._demand_at - now) / DEMAND_TIME_CONSTANT_S)

    def expire(self, now: float) -> None:
        """Remove outstanding tokens whose time is over."""
        while self._expiries and self._expiries[0][0] <= now:
            batch = heapq.heappop(self._expiries)[2]
            self.outstanding -= batch.count
            batch.count = 0

    def accept(self, now: float, ask: QuotaAsk) -> Borrower | None:
        """Return the borrower, with what the ask shows applied; None if the ask is outdated.

        Call `expire(now)` before.
        """
        borrower = self._find(ask)
        if borrower is None or ask.sequence <= borrower.sequence:
            return None
        borrower.is_confirmed = 0 < borrower.granted_sequence == ask.received
        if borrower.is_confirmed:
            self._end_earlier(borrower)
        # An earlier grant that has not arrived before this ask was sent is dropped on arrival. So
        # the borrower holds what it states and what is granted from now on.
        self.outstanding -= borrower.trim(ask.held)
        decayed = borrower.demand * math.exp(
            max(-1e3, (borrower.seen_at - now) / DEMAND_TIME_CONSTANT_S)
        )
        self._demand = max(0.0, self.demand(now) - decayed) + ask.demand
        self._demand_at = now
        borrower.sequence = ask.sequence
        borrower.seen_at = now
        borrower.demand = ask.demand
        return borrower

    def record_grant(
        self, now: float, borrower: Borrower, batches: tuple[tuple[float, int], ...]
    ) -> None:
        """Record the grant for the newest ask of a borrower: pairs of expiry and tokens."""
        borrower.granted_sequence = borrower.sequence
        borrower.granted_at = now
        for expiry, count in batches:
            if count <= 0:
                continue
            batch = _Batch(expiry, count)
            borrower.batches.append(batch)
            self.outstanding += count
            self._number += 1
            heapq.heappush(self._expiries, (expiry, self._number, batch))

    def latest(self, ask: QuotaAsk) -> Borrower | None:
        """Return the borrower if this is its newest ask."""
        for borrower in self._borrowers.get(ask.vm, ()):
            if borrower.incarnation == ask.incarnation and borrower.sequence == ask.sequence:
                return borrower
        return None

    def sweep(self, now: float) -> None:
        """Remove borrowers that have been silent for `FORGET_S`, every few seconds."""
        if now - self._swept_at < SWEEP_S:
            return
        self._swept_at = now
        for vm in list(self._borrowers):
            kept = [one for one in self._borrowers[vm] if now - one.seen_at < FORGET_S]
            if kept:
                self._borrowers[vm] = kept
            else:
                del self._borrowers[vm]

    def is_known(self, borrower: Borrower) -> bool:
        """Return whether a borrower is neither ended nor removed."""
        return any(borrower is one for one in self._borrowers.get(borrower.vm, ()))

    def _find(self, ask: QuotaAsk) -> Borrower | None:
        known = self._borrowers.get(ask.vm)
        if known is not None:
            for borrower in known:
                if borrower.incarnation == ask.incarnation:
                    return borrower
        if (ask.vm, ask.incarnation) in self._ended:
            return None
        borrower = Borrower(ask.vm, ask.incarnation)
        if known is None:
            self._borrowers[ask.vm] = [borrower]
        else:
            known.append(borrower)
        return borrower

    def _end_earlier(self, borrower: Borrower) -> None:
        known = self._borrowers[borrower.vm]
        if len(known) == 1:
            return
        for other in list(known):
            if other is borrower or other.seen_at >= borrower.granted_at:
                continue
            known.remove(other)
            self._ended[(other.vm, other.incarnation)] = None
            if len(self._ended) > MAX_ENDED:
                # If a delayed ask of this incarnation still arrives, it is granted tokens that
                # nobody spends; the bound holds without this entry.
                del self._ended[next(iter(self._ended))]
