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

Invariants: `level + outstanding <= depth` and `reserve + sizes of all standby buckets <= standby`.
The refill of the bucket and of all standby buckets together is at most `rate`; what the full bucket
does not take flows into the reserve. So at any time at most `depth + standby` tokens exist, and in
a window at most these and `rate x window` are spent. A successor adds `initial`: its reserve is
empty, and while it is fresh it renews standby only up to what borrowers state, since the
predecessor's standby that it does not know of is part of the same whole. For `TOKEN_TTL_S` its
bucket holds no more than `initial`, as tokens of the predecessor may be unspent. The bound holds
for windows in which, and for `TOKEN_TTL_S` before which, there is at most one change of the owner.

Uncertainty: an ask does not tell whether its answer will arrive. Until the next ask confirms a
grant, a borrower counts with the larger standby of both cases, and with the earlier begin.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

from berylspindle_decisions.lent_tokens import DEMAND_TIME_CONSTANT_S, Borrower, LentTokens
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
# Part of the standby that is divided evenly: the demand of a small organisation is zero between its
# requests, and its borrowers would lose their standby to the one that had the last request.
STANDBY_EVEN_SHARE: Final = 0.5
# Length in seconds of the cut-offs that standby tokens and the standby rate together are sized for.
CUT_OFF_S: Final = 6.0
# Demand as a share of the rate below which withheld standby rates leave enough to all.
LOW_USE: Final = 0.2
# Time constant of the demand that standby is divided by, in seconds: longer than a cut-off begins
# to change the demand, shorter than a working day's shifts between data centres.
STANDBY_DEMAND_S: Final = 20.0
# While the reserve has tokens for the others, standby is taken back from a borrower only if it
# exceeds its share by this factor: demand fluctuates, and each move keeps tokens unusable until it
# is confirmed.
TAKE_BACK_FACTOR: Final = 1.5
# Longest refill, in seconds, that a grant counts on beside the level. Borrowers ask once a second.
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
    granted_size: float = 0.0
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
        "_shallow_until",
        "_standby",
    )

    def __init__(self, limit: QuotaLimit, now: float, *, is_fresh: bool) -> None:
        """Create the bucket at `now` seconds.

        `is_fresh` states that a predecessor may have granted standby within `STANDBY_TTL_S`.
        """
        self._limit = limit
        self._lent: Final = LentTokens(now)
        self._standby: Final[list[_Standby]] = []
        self._level = limit.initial if is_fresh else limit.depth
        self._reserve = 0.0 if is_fresh else limit.standby
        self._fresh_until = now + STANDBY_TTL_S if is_fresh else now
        self._shallow_until = now + TOKEN_TTL_S if is_fresh else now
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
        """Return the tokens reserved for standby and not granted, as of the last call."""
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
            and self._reserve >= self._limit.standby
        )

    def lend(self, now: float, ask: QuotaAsk) -> QuotaGrant | None:
        """Return the grant for an ask, possibly without tokens; None if the ask is outdated."""
        self._advance(now)
        self._sweep(now)
        borrower = self._lent.accept(now, ask)
        if borrower is None:
            return None
        self._drop_ended()
        tokens = self._share(now, ask, borrower)
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
            standby_tokens=int(standby.granted_size),
            standby_ttl_ms=int(STANDBY_TTL_S * 1000),
            limit_rate=self._limit.rate,
            limit_standby=self._limit.standby,
        )

    def set_limit(self, now: float, limit: QuotaLimit) -> None:
        """Replace the limit.

        A lower one scales the standby down, as each holder does when it has the same version.
        """
        if limit == self._limit:
            return
        self._advance(now)
        rate_factor = min(1.0, limit.rate / self._limit.rate)
        standby_factor = min(1.0, limit.standby / self._limit.standby)
        for standby in self._standby:
            standby.rate *= rate_factor
            standby.granted_rate = standby.rate
            standby.size *= standby_factor
            # Not rounded here: holders round down, possibly once for several versions.
            standby.granted_size *= standby_factor
            standby.returned = 0
        self._limit = limit
        self._level = max(0.0, min(self._level, self._depth(now) - self._lent.outstanding))
        self._reserve = max(0.0, min(self._reserve, limit.standby - self._sizes()))

    def _advance(self, now: float) -> None:
        # The bucket is filled up to each expiry with the tokens that were outstanding until then.
        # If it were filled at once, tokens spent just before they expire would be lent again.
        while self._lent.next_expiry <= now:
            expiry = self._lent.next_expiry
            self._refill(expiry)
            self._lent.expire(expiry)
        self._refill(now)

    def _refill(self, now: float) -> None:
        for turn in (self._shallow_until, self._fresh_until):
            if self._advanced_at < turn < now:
                self._refill_evenly(turn)
        self._refill_evenly(now)

    def _refill_evenly(self, now: float) -> None:
        start = self._advanced_at
        if now <= start:
            return
        self._advanced_at = now
        rate, depth = self._limit.rate, self._depth(now)
        if now <= self._fresh_until:
            # The reserve stays as it is: the standby that the predecessor granted may fill its
            # depth, and this owner knows only of the borrowers that have asked.
            level = self._level + (1.0 - STANDBY_SHARE) * rate * (now - start)
            self._level = max(0.0, min(level, depth - self._lent.outstanding))
            return
        withheld = sum(standby.withheld(start, now) for standby in self._standby)
        level = self._level + max(0.0, rate * (now - start) - withheld)
        self._level = max(0.0, min(level, depth - self._lent.outstanding))
        room = max(0.0, self._limit.standby - self._sizes())
        self._reserve = min(self._reserve + max(0.0, level - self._level), room)

    def _depth(self, now: float) -> float:
        return self._limit.depth if now > self._shallow_until else self._limit.initial

    def _sizes(self) -> float:
        return sum(standby.size for standby in self._standby)

    def _share(self, now: float, ask: QuotaAsk, borrower: Borrower) -> int:
        available = int(self._level)
        wanted = max(0, min(ask.wanted, available))
        demand = self._lent.demand(now)
        if demand <= 0.0 or self._level - wanted >= self._limit.depth / 2:
            return wanted
        # The others ask as often as this one, so the refill since its last grant is for all.
        interval_s = min(ASK_INTERVAL_S, now - borrower.granted_at)
        expected = self._level + self._limit.rate * interval_s
        return min(wanted, max(1, int(expected * ask.demand / demand)))

    def _grant_standby(self, now: float, ask: QuotaAsk, borrower: Borrower) -> _Standby:
        standby, left = self._apply_statement(now, ask, borrower)
        share = self._standby_share(standby)
        is_fresh = now < self._fresh_until
        size, rate = standby.size, standby.rate

        target = math.ceil(self._limit.standby * share)
        granted = min(int(size), max(left, target)) if left < target else left
        is_short = self._reserve < 1.0 and left > target
        if is_short or left > TAKE_BACK_FACTOR * target:
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
        if sum(one.weight for one in self._standby) > LOW_USE * self._limit.rate:
            # The withheld rate is lost to the others, so a borrower gets no more than it would use.
            needed = max(0.0, standby.weight - granted / CUT_OFF_S)
            standby.granted_rate = min(standby.granted_rate, needed)
        if is_fresh:
            stated = max(0.0, ask.standby_rate)
            standby.granted_rate = min(standby.granted_rate, rate, stated)
        standby.rate = max(rate, standby.granted_rate)
        standby.end = now + STANDBY_TTL_S
        standby.begin_basis = min(standby.begin_basis, now)
        return standby

    def _standby_share(self, standby: _Standby) -> float:
        weights = sum(one.weight for one in self._standby)
        by_demand = standby.weight / weights if weights > 0.0 else 0.0
        even = 1.0 / len(self._standby)
        share = STANDBY_EVEN_SHARE * even + (1.0 - STANDBY_EVEN_SHARE) * by_demand
        return min(share, STANDBY_BORROWER_SHARE_MAX)

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
        # Asks are sent when requests wait, so these are left out: the demand that is stated just
        # after a request of a small organisation is several times its mean.
        demand = max(0.0, ask.demand - ask.waiting / DEMAND_TIME_CONSTANT_S)
        standby.weight = standby.weight * past + demand * (1.0 - past)
        standby.weighed_at = now
        return standby, max(0, min(ask.standby_tokens, int(standby.size)))

    def _drop_ended(self) -> None:
        self._standby[:] = [one for one in self._standby if self._lent.is_known(one.borrower)]

    def _sweep(self, now: float) -> None:
        self._lent.sweep(now)
        self._drop_ended()
