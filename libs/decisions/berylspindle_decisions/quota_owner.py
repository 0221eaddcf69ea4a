"""Lend the tokens of one organisation to the lenders of all data centres.

Load: an organisation sends several times its limit through all VMs while messages are lost, late,
duplicated and reordered, VMs restart, data centres are cut off and the owner changes. The requests
that reach replicas stay within the bound of `quota_limits`.

Terms:
  level        tokens in the bucket
  outstanding  tokens lent out of the bucket that may be unspent
  standby      bucket of a borrower for the time when it is out of touch; it starts full, and
               refills at the standby rate from `STANDBY_BEGIN_S` after the last grant that arrived
  reserve      tokens from which standby buckets are filled for the first time
  fresh        owner for less than `STANDBY_TTL_S`, when a predecessor may have granted standby

Flow: `lend` answers each ask; `set_limit` is called for a new version of the configuration.

Invariants: `level + outstanding <= depth` and `reserve + sizes of all standby buckets <= depth`.
The refill of the bucket and of all standby buckets together is at most `rate`; what the full bucket
does not take flows into the reserve. So at any time at most `2 x depth` tokens exist, and in a
window at most `2 x depth + rate x window` are spent. A successor adds one `depth`: its reserve is
empty, and while it is fresh it renews standby only up to what borrowers state, since the
predecessor's standby that it does not know of is part of the same `depth`. The tokens that the
predecessor lent are spent within `TOKEN_TTL_S`, so the bound holds for windows before which, for
that time, and in which there is at most one change of the owner.

Uncertainty: an ask does not tell whether its answer will arrive. Until the next ask confirms a
grant, a borrower counts with the larger standby of both cases, and with the earlier begin.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

from berylspindle_decisions.lent_tokens import Borrower, LentTokens
from berylspindle_decisions.quota_limits import (
    STANDBY_BEGIN_S,
    STANDBY_SHARE,
    STANDBY_TTL_S,
    TOKEN_TTL_S,
    WAITING_TTL_S,
    QuotaLimit,
)
from berylspindle_model.quota_messages import QuotaAsk, QuotaGrant

# Largest share of all standby for one borrower, so that the first one leaves some to the others.
STANDBY_BORROWER_SHARE_MAX: Final = 0.5
# Time constant of the demand that standby is divided by, in seconds: longer than a cut-off begins
# to change the demand, shorter than a working day's shifts between data centres.
STANDBY_DEMAND_S: Final = 10.0
# Standby is taken back from a borrower only if it exceeds its share by more than this, as demand
# fluctuates and each move keeps tokens unusable until it is confirmed.
TAKE_BACK_FACTOR: Final = 1.5
# Refill that a grant may count on beside the level, in seconds: borrowers ask once a second.
ASK_INTERVAL_S: Final = 1.0


@attrs.define(slots=True, eq=False)
class _Standby:
    """The standby of one borrower.

    Attributes:
        size: largest size that its bucket may have; `granted_size` that of the last grant.
        rate: largest standby rate that it may use; `granted_rate` that of the last grant.
        returned: tokens that the last grant took back.
        begin_basis: time of the earliest grant that may be the last one that arrived.
        end: time at which the last grant's standby ends.
        weight: smoothed demand.
    """

    borrower: Borrower
    size: float = 0.0
    granted_size: int = 0
    rate: float = 0.0
    granted_rate: float = 0.0
    returned: int = 0
    begin_basis: float = math.inf
    end: float = -math.inf
    weight: float = 0.0
    weighed_at: float = -math.inf

    def withheld(self, start: float, end: float) -> float:
        """Return the tokens that may accrue at the standby rate between two times in seconds."""
        return self.rate * max(
            0.0, min(end, self.end) - max(start, self.begin_basis + STANDBY_BEGIN_S)
        )


class QuotaOwner:
    """Token bucket and standby of one organisation, on the VM that owns it."""

    __slots__ = (
        "_advanced_at",
        "_fresh_until",
        "_lent",
        "_level",
        "_limit",
        "_reserve",
        "_standby",
    )

    def __init__(self, limit: QuotaLimit, now: float, *, is_fresh: bool) -> None:
        """Create the bucket at `now` seconds.

        `is_fresh` states that a predecessor may have granted standby within `STANDBY_TTL_S`.
        """
        self._limit = limit
        self._lent: Final = LentTokens(now)
        self._standby: Final[list[_Standby]] = []
        self._level = limit.depth
        self._reserve = 0.0 if is_fresh else limit.depth
        self._fresh_until = now + STANDBY_TTL_S if is_fresh else now
        self._advanced_at = now

    @property
    def limit(self) -> QuotaLimit:
        """Return the limit in force."""
        return self._limit

    @property
    def outstanding(self) -> int:
        """Return the lent tokens that may be unspent."""
        return self._lent.outstanding

    @property
    def reserve(self) -> float:
        """Return the tokens that are reserved for standby and not granted."""
        return self._reserve

    def level(self, now: float) -> float:
        """Return the tokens that are neither lent nor reserved."""
        self._advance(now)
        return self._level

    def is_idle(self, now: float) -> bool:
        """Return whether a new owner that is not fresh would decide alike; it may be dropped."""
        self._advance(now)
        self._sweep(now)
        return (
            now >= self._fresh_until
            and self._lent.is_empty
            and self._level >= self._limit.depth
            and self._reserve >= self._limit.depth
        )

    def lend(self, now: float, ask: QuotaAsk) -> QuotaGrant | None:
        """Return the grant for an ask, possibly without tokens; None if the ask is outdated."""
        self._advance(now)
        self._sweep(now)
        borrower = self._lent.accept(now, ask)
        if borrower is None:
            return None
        self._drop_ended()
        tokens = self._share(now, ask)
        self._level -= tokens
        waiting = min(tokens, max(0, ask.waiting))
        standby = self._grant_standby(now, ask, borrower)
        self._lent.record_grant(
            now, borrower, ((now + WAITING_TTL_S, waiting), (now + TOKEN_TTL_S, tokens - waiting))
        )
        return QuotaGrant(
            tokens=tokens,
            ttl_ms=int(TOKEN_TTL_S * 1000),
            standby_rate=standby.granted_rate,
            standby_tokens=standby.granted_size,
            standby_ttl_ms=int(STANDBY_TTL_S * 1000),
            limit_rate=self._limit.rate,
            limit_depth=self._limit.depth,
        )

    def set_limit(self, now: float, limit: QuotaLimit) -> None:
        """Replace the limit.

        A lower one scales the standby down, as each holder does when it has the same version.
        """
        if limit == self._limit:
            return
        self._advance(now)
        rate_factor = min(1.0, limit.rate / self._limit.rate)
        depth_factor = min(1.0, limit.depth / self._limit.depth)
        for standby in self._standby:
            standby.rate *= rate_factor
            standby.granted_rate = standby.rate
            standby.size *= depth_factor
            # Holders round down after each version that they see, and may have skipped some. So the
            # sizes are rounded up, and what was returned is not known.
            standby.granted_size = math.ceil(standby.size)
            standby.returned = 0
        self._limit = limit
        self._level = max(0.0, min(self._level, limit.depth - self._lent.outstanding))
        self._reserve = max(0.0, min(self._reserve, limit.depth - self._sizes()))

    def _advance(self, now: float) -> None:
        # The bucket is filled up to each expiry with the tokens that were outstanding until then.
        # If it were filled at once, tokens spent just before they expire would be lent again.
        while self._lent.next_expiry <= now:
            expiry = self._lent.next_expiry
            self._refill(expiry)
            self._lent.expire(expiry)
        self._refill(now)

    def _refill(self, now: float) -> None:
        if self._advanced_at < self._fresh_until < now:
            self._refill_evenly(self._fresh_until)
        self._refill_evenly(now)

    def _refill_evenly(self, now: float) -> None:
        start = self._advanced_at
        if now <= start:
            return
        self._advanced_at = now
        rate, depth = self._limit.rate, self._limit.depth
        if now <= self._fresh_until:
            # The reserve stays as it is: the standby that the predecessor granted may fill its
            # depth, and this owner knows only of the borrowers that have asked.
            level = self._level + (1.0 - STANDBY_SHARE) * rate * (now - start)
            self._level = max(0.0, min(level, depth - self._lent.outstanding))
            return
        withheld = sum(standby.withheld(start, now) for standby in self._standby)
        level = self._level + max(0.0, rate * (now - start) - withheld)
        self._level = max(0.0, min(level, depth - self._lent.outstanding))
        room = max(0.0, depth - self._sizes())
        self._reserve = min(self._reserve + max(0.0, level - self._level), room)

    def _sizes(self) -> float:
        return sum(standby.size for standby in self._standby)

    def _share(self, now: float, ask: QuotaAsk) -> int:
        available = int(self._level)
        wanted = max(0, min(ask.wanted, available))
        demand = self._lent.demand(now)
        if demand <= 0.0 or self._level - wanted >= self._limit.depth / 2:
            return wanted
        expected = self._level + self._limit.rate * ASK_INTERVAL_S
        return min(wanted, max(1, int(expected * ask.demand / demand)))

    def _grant_standby(self, now: float, ask: QuotaAsk, borrower: Borrower) -> _Standby:
        standby, left = self._apply_statement(now, ask, borrower)
        weights = sum(one.weight for one in self._standby)
        share = standby.weight / weights if weights > 0.0 else 0.0
        share = min(share, STANDBY_BORROWER_SHARE_MAX)
        is_fresh = now < self._fresh_until
        size, rate = standby.size, standby.rate

        target = int(self._limit.depth * share)
        granted = min(int(size), max(left, target)) if left < target else left
        if left > TAKE_BACK_FACTOR * target:
            granted = target
        elif is_fresh:
            granted = left
        else:
            # Spent tokens are replaced out of the bucket, a larger size out of the reserve.
            replaced = max(0, min(granted - left, int(self._level)))
            self._level -= replaced
            granted = left + replaced
            if granted == int(size) < target:
                added = min(target - granted, int(self._reserve))
                self._reserve -= added
                granted += added
        standby.returned = max(0, left - granted)
        standby.granted_size = granted
        standby.size = max(size, granted)

        others = sum(one.rate for one in self._standby) - rate
        room = max(0.0, STANDBY_SHARE * self._limit.rate - others)
        standby.granted_rate = min(STANDBY_SHARE * self._limit.rate * share, room)
        if is_fresh:
            stated = max(0.0, ask.standby_rate)
            standby.granted_rate = min(standby.granted_rate, rate, stated)
        standby.rate = max(rate, standby.granted_rate)
        standby.end = now + STANDBY_TTL_S
        standby.begin_basis = min(standby.begin_basis, now)
        return standby

    def _apply_statement(
        self, now: float, ask: QuotaAsk, borrower: Borrower
    ) -> tuple[_Standby, int]:
        """Return the borrower's standby and the tokens left in it."""
        standby = next((one for one in self._standby if one.borrower is borrower), None)
        if standby is None:
            standby = _Standby(borrower)
            self._standby.append(standby)
            if now < self._fresh_until:
                standby.size = max(0, ask.standby_tokens)
                standby.rate = max(0.0, ask.standby_rate)
        elif borrower.is_confirmed:
            standby.size = standby.granted_size
            standby.rate = standby.granted_rate
            standby.begin_basis = borrower.granted_at
            # Negative if the borrower had spent more than the grant left to it.
            returned = standby.returned + min(0, ask.standby_tokens)
            self._reserve = max(0.0, self._reserve + returned)
        standby.returned = 0
        past = math.exp(max(-1e3, (standby.weighed_at - now) / STANDBY_DEMAND_S))
        standby.weight = standby.weight * past + ask.demand * (1.0 - past)
        standby.weighed_at = now
        return standby, max(0, min(ask.standby_tokens, int(standby.size)))

    def _drop_ended(self) -> None:
        self._standby[:] = [one for one in self._standby if self._lent.is_known(one.borrower)]

    def _sweep(self, now: float) -> None:
        self._lent.sweep(now)
        self._drop_ended()
