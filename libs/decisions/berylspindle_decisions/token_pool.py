"""Hold, spend and lend on borrowed quota tokens of one organisation, on a VM or a lender.

Load: an organisation sends several times its limit, or a VM sends one request a minute; the lender
or the owner does not answer, answers late, or a data centre is cut off for seconds. A pool asks at
most once a second, and spends nothing that its owner counts as expired or spent.

Terms:
  stock     tokens held for the requests of about the next second; those that expire too soon to be
            lent are no part of it
  waiting   requests that wait for an ask; their tokens expire `WAITING_SPEND_S` after the ask
  standby   bucket that may be spent while the last ask failed; it refills at the standby rate from
            `STANDBY_BEGIN_S` after the last grant
  demand    requests per second, admitted or not; an exponentially weighted rate

Flow on a VM: `on_request` and `take` for each request; without a token `next_ask`, then `on_grant`
or `on_failure`, then `take` again for each waiting request, as the tokens are in the pool now. A
lender answers the asks of VMs by `lend`. If the grant has fewer tokens than requests wait, it calls
`next_ask` with the number of those without a token, and `lend_more` after `on_grant`. The lender on
the owner's VM, where an ask is no message, does so if the grant has fewer tokens than wanted. Every
pool that has state gets `next_ask` with `waiting=0` about twice a second, which renews the standby
of a lender in use.

Times err on the safe side: tokens and standby end counted from when the ask was sent, and the
standby rate begins counted from the receipt of the grant. `now` must include suspension.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

from berylspindle_decisions.lent_tokens import DEMAND_TIME_CONSTANT_S, LentTokens
from berylspindle_decisions.quota_limits import (
    STANDBY_BEGIN_S,
    STANDBY_TTL_S,
    WAITING_SPEND_S,
    QuotaLimit,
)
from berylspindle_model.quota_messages import QuotaAsk, QuotaGrant

ASKS_PER_S: Final = 1.0
ASK_BURST: Final = 3.0
# A stock covers the demand of this time, in seconds, and for each ask that the budget lacks some
# standard deviations of that demand: with few asks left, fluctuation must be covered by stock.
STOCK_S: Final = 1.0
STOCK_DEVIATIONS: Final = 1.2
# A lender in use renews its standby well before it ends; two renewals may be lost.
RENEW_S: Final = STANDBY_TTL_S / 3
# An organisation is at rest on a VM this many seconds after its last request. A small one sends a
# request in tens of seconds, and should find standby when its data centre is cut off.
IN_USE_S: Final = 60.0
# Limits of the time until tokens are likely, in seconds.
RETRY_MIN_S: Final = 0.25
RETRY_MAX_S: Final = 1.0


@attrs.define(slots=True)
class _Batch:
    expiry: float
    count: int
    is_waiting: bool


class TokenPool:
    """Tokens of one organisation on one VM, which may also lend them to other VMs."""

    __slots__ = (
        "_ask_budget",
        "_ask_budget_at",
        "_asks_per_s",
        "_batches",
        "_demand",
        "_demand_at",
        "_handed",
        "_in_flight",
        "_incarnation",
        "_is_out_of_touch",
        "_is_scarce",
        "_lent",
        "_limit",
        "_organisation",
        "_received",
        "_retry_at",
        "_scaled_to",
        "_sent_at",
        "_sequence",
        "_spent_since_ask",
        "_standby_at",
        "_standby_begin",
        "_standby_end",
        "_standby_level",
        "_standby_rate",
        "_standby_size",
        "_unfilled",
        "_used_at",
        "_vm",
        "_waiting",
        "_wanted",
    )

    def __init__(
        self,
        organisation: str,
        vm: str,
        incarnation: int,
        limit: QuotaLimit,
        *,
        asks_per_s: float = ASKS_PER_S,
    ) -> None:
        """Create an empty pool; `asks_per_s` is infinite where an ask is no message."""
        self._organisation: Final = organisation
        self._vm: Final = vm
        self._incarnation: Final = incarnation
        self._limit = limit
        self._asks_per_s: Final = asks_per_s
        self._ask_budget = ASK_BURST
        self._ask_budget_at = -math.inf
        self._sequence = 0
        self._received = 0
        self._in_flight = 0
        self._sent_at = -math.inf
        self._waiting = 0
        self._wanted = 0
        # Stock that VMs wanted and did not get since the last ask.
        self._unfilled = 0
        # Whether the last grant had fewer tokens than wanted.
        self._is_scarce = False
        self._retry_at = -math.inf
        self._batches: list[_Batch] = []
        self._lent: LentTokens | None = None
        self._demand = 0.0
        self._demand_at = -math.inf
        self._used_at = -math.inf
        self._is_out_of_touch = False
        self._standby_rate = 0.0
        self._standby_size = 0
        self._standby_level = 0.0
        self._standby_at = -math.inf
        self._standby_begin = math.inf
        self._standby_end = -math.inf
        # Rate and standby of the limit to which the standby is scaled.
        self._scaled_to = (limit.rate, limit.standby)
        self._spent_since_ask = 0
        # Expiry and number of standby tokens that VMs got for waiting requests.
        self._handed: list[tuple[float, int]] = []

    @property
    def standby_rate(self) -> float:
        """Return the granted standby rate in tokens per second."""
        return self._standby_rate

    @property
    def is_out_of_touch(self) -> bool:
        """Return whether the last ask failed, so that the standby may be used."""
        return self._is_out_of_touch

    def standby_tokens(self, now: float) -> int:
        """Return the standby tokens that are left."""
        self._accrue_standby(now)
        return math.floor(self._standby_level)

    def unspent(self, now: float) -> int:
        """Return the unspent tokens here, without standby."""
        return self._here(now)

    def held(self, now: float) -> int:
        """Return the unspent tokens here and on the VMs that this one lent to, without standby."""
        return self._here(now) + self._outstanding(now)

    def demand(self, now: float) -> float:
        """Return the requests per second of this VM and the VMs that borrow from it."""
        own = self._demand * math.exp((self._demand_at - now) / DEMAND_TIME_CONSTANT_S)
        return own if self._lent is None else own + self._lent.demand(now)

    def retry_after_s(self, now: float) -> float:
        """Return the seconds until tokens are likely."""
        return min(RETRY_MAX_S, max(RETRY_MIN_S, self._retry_at - now))

    def is_idle(self, now: float) -> bool:
        """Return whether the pool may be dropped: at rest, nothing held and no ask in flight."""
        self._accrue_standby(now)
        if self._lent is not None:
            self._lent.sweep(now)
        return (
            now - self._used_at >= IN_USE_S
            and not self._in_flight
            and self._standby_size == 0
            and self.held(now) == 0
            and (self._lent is None or self._lent.is_empty)
        )

    def on_request(self, now: float) -> None:
        """Count one request of this VM, once, whether or not it is admitted."""
        decay = math.exp((self._demand_at - now) / DEMAND_TIME_CONSTANT_S)
        self._demand = self._demand * decay + 1.0 / DEMAND_TIME_CONSTANT_S
        self._demand_at = now
        self._used_at = now

    def take(self, now: float) -> bool:
        """Spend one token; return False if there is none. Uses standby while out of touch."""
        if self._here(now):
            self._draw(1)
            return True
        return self._take_standby(now, 1) == 1

    def next_ask(self, now: float, waiting: int) -> QuotaAsk | None:
        """Return the ask to send now, or None if none is in order.

        `waiting` is the number of requests that wait, here or on a VM whose ask is being answered.
        After an ask, `on_grant` or `on_failure` must follow.
        """
        if self._in_flight or now < self._retry_at:
            return None
        here = self._here(now)
        demand = self.demand(now)
        is_needed = waiting > 0 or (self._unfilled > 0 and math.isinf(self._asks_per_s))
        if not is_needed and not self._needs_renewal(now):
            return None
        if not self._spend_ask(now):
            return None
        # The waiting requests are counted in the demand. They have their own tokens; a single
        # request in a long time would otherwise ask for a second one that expires unspent.
        stock = self._stock(max(0.0, demand - waiting / DEMAND_TIME_CONSTANT_S))
        self._accrue_standby(now)
        handed = sum(count for _, count in self._handed)
        self._sequence += 1
        self._in_flight = self._sequence
        self._sent_at = now
        self._waiting = waiting
        lendable = sum(batch.count for batch in self._batches if _is_lendable(batch, now))
        self._wanted = waiting + max(0, stock - lendable) + self._unfilled
        self._unfilled = 0
        self._spent_since_ask = handed
        return QuotaAsk(
            organisation=self._organisation,
            vm=self._vm,
            incarnation=self._incarnation,
            sequence=self._sequence,
            received=self._received,
            held=here + self._outstanding(now),
            standby_rate=self._standby_rate,
            standby_tokens=math.floor(self._standby_level) + handed,
            demand=demand,
            waiting=waiting,
            wanted=self._wanted,
        )

    def on_grant(self, now: float, sequence: int, grant: QuotaGrant) -> None:
        """Take in the grant for the ask of that sequence; late and duplicate ones are dropped."""
        if sequence != self._in_flight:
            return
        self._in_flight = 0
        self._received = sequence
        self._is_out_of_touch = False
        self._is_scarce = grant.tokens < self._wanted
        waiting = min(grant.tokens, self._waiting)
        ttl_s = grant.ttl_ms / 1000
        self._add(now, self._sent_at + min(WAITING_SPEND_S, ttl_s), waiting, is_waiting=True)
        self._add(now, self._sent_at + ttl_s, grant.tokens - waiting, is_waiting=False)
        self._replace_standby(now, grant)
        if waiting < self._waiting and not math.isinf(self._asks_per_s):
            # A larger part of the demand that was granted makes further tokens likely sooner.
            missing = (self._waiting - waiting) / max(1, grant.tokens)
            self._retry_at = now + min(RETRY_MAX_S, RETRY_MIN_S * missing)

    def on_failure(self, now: float, sequence: int) -> None:
        """Record that the ask of that sequence has no answer; a later grant for it is dropped."""
        if sequence != self._in_flight:
            return
        self._in_flight = 0
        self._is_out_of_touch = True

    def lend(self, now: float, ask: QuotaAsk) -> QuotaGrant | None:
        """Return the grant for the ask of a VM, possibly without tokens; None if it is outdated."""
        if self._lent is None:
            self._lent = LentTokens(now)
        self._lent.expire(now)
        self._lent.sweep(now)
        if self._lent.accept(now, ask) is None:
            return None
        self._used_at = now
        return self._lend(now, ask, QuotaGrant(tokens=0, ttl_ms=int(WAITING_SPEND_S * 1000)))

    def lend_more(self, now: float, ask: QuotaAsk, grant: QuotaGrant) -> QuotaGrant:
        """Return `grant`, which `lend` gave for this ask, with the tokens that came in since."""
        return self._lend(now, ask, grant)

    def set_limit(self, now: float, limit: QuotaLimit) -> None:
        """Replace the limit of this VM's table; a lower one scales the standby down."""
        self._accrue_standby(now)
        self._limit = limit
        self._scale_standby(*self._scaled_to)

    def _here(self, now: float) -> int:
        while self._batches and self._batches[0].expiry <= now:
            del self._batches[0]
        return sum(batch.count for batch in self._batches)

    def _outstanding(self, now: float) -> int:
        if self._lent is None:
            return 0
        self._lent.expire(now)
        return self._lent.outstanding

    def _add(self, now: float, expiry: float, count: int, *, is_waiting: bool) -> None:
        if count <= 0 or expiry <= now:
            return
        self._batches.append(_Batch(expiry, count, is_waiting))
        self._batches.sort(key=lambda batch: batch.expiry)

    def _draw(self, count: int) -> None:
        while count > 0:
            batch = self._batches[0]
            drawn = min(batch.count, count)
            batch.count -= drawn
            count -= drawn
            if batch.count == 0:
                del self._batches[0]

    def _stock(self, demand: float) -> int:
        if math.isinf(self._asks_per_s):
            return 0
        mean = demand * STOCK_S
        missing = min(ASK_BURST - 1.0, ASK_BURST - 1.0 - self._ask_budget)
        return math.floor(mean + STOCK_DEVIATIONS * missing * math.sqrt(mean))

    def _needs_renewal(self, now: float) -> bool:
        is_holder = now < self._standby_end
        return is_holder and now - self._sent_at >= RENEW_S and now - self._used_at < IN_USE_S

    def _spend_ask(self, now: float) -> bool:
        if math.isinf(self._asks_per_s):
            return True
        refill = self._asks_per_s * (now - self._ask_budget_at)
        budget = min(ASK_BURST, self._ask_budget + refill)
        if budget < 1.0:
            return False
        self._ask_budget = budget - 1.0
        self._ask_budget_at = now
        return True

    def _replace_standby(self, now: float, grant: QuotaGrant) -> None:
        self._standby_rate = grant.standby_rate
        self._standby_size = grant.standby_tokens
        # What was spent after the ask was sent is not known to the owner.
        self._standby_level = float(grant.standby_tokens - self._spent_since_ask)
        self._standby_at = now
        self._standby_begin = now + STANDBY_BEGIN_S
        self._standby_end = self._sent_at + grant.standby_ttl_ms / 1000
        if grant.limit_rate > 0.0:
            self._scale_standby(grant.limit_rate, grant.limit_standby)

    def _scale_standby(self, granted_rate: float, granted_standby: float) -> None:
        rate = min(granted_rate, self._limit.rate)
        standby = min(granted_standby, self._limit.standby)
        self._standby_rate *= rate / granted_rate
        size = math.floor(self._standby_size * (standby / granted_standby))
        self._standby_size = size
        handed = sum(count for _, count in self._handed)
        self._standby_level = min(self._standby_level, float(size - handed))
        self._scaled_to = (rate, standby)

    def _accrue_standby(self, now: float) -> None:
        if now >= self._standby_end:
            self._standby_size, self._standby_rate = 0, 0.0
            self._standby_level = 0.0
            self._handed.clear()
            return
        start = max(self._standby_at, self._standby_begin)
        if now > start:
            # Handed out tokens may be unspent, and still belong to the bucket.
            room = self._standby_size - sum(count for _, count in self._handed)
            accrued = self._standby_level + self._standby_rate * (now - start)
            self._standby_level = max(self._standby_level, min(accrued, room))
        self._standby_at = max(now, self._standby_at)
        if self._handed:
            self._handed = [row for row in self._handed if row[0] > now]

    def _take_standby(self, now: float, wanted: int) -> int:
        if not self._is_out_of_touch or wanted <= 0:
            return 0
        self._accrue_standby(now)
        taken = min(wanted, max(0, math.floor(self._standby_level)))
        self._standby_level -= taken
        self._spent_since_ask += taken
        return taken

    def _lend(self, now: float, ask: QuotaAsk, grant: QuotaGrant) -> QuotaGrant:
        assert self._lent is not None
        borrower = self._lent.latest(ask)
        if borrower is None:
            return grant
        waiting = max(0, ask.waiting - grant.tokens)
        wanted = max(0, ask.wanted - max(grant.tokens, ask.waiting))
        self._here(now)
        usable = [batch for batch in self._batches if batch.is_waiting or _is_lendable(batch, now)]
        for_waiting = self._draw_from(usable, waiting)
        stock_batches = [batch for batch in usable if batch.count and not batch.is_waiting]
        available = sum(batch.count for batch in stock_batches)
        for_stock = min(wanted, available)
        if self._is_scarce:
            # The waiting tokens are a part of the VM's share. They are soon known to be spent, so
            # the owner can lend their successors; stock counts until the VM asks again.
            share = self._share_of(now, ask)
            given = grant.tokens + for_waiting
            for_stock = min(for_stock, max(0, int((available + given) * share) - given))
            self._unfilled = max(self._unfilled, int((wanted - for_stock) * share))
        else:
            self._unfilled += wanted - for_stock
        ttl_ms = int((stock_batches[0].expiry - now) * 1000) if for_stock else grant.ttl_ms
        for_stock = self._draw_from(stock_batches, for_stock)
        self._batches = [batch for batch in self._batches if batch.count]
        if for_waiting < waiting and now + WAITING_SPEND_S <= self._standby_end:
            handed = self._take_standby(now, waiting - for_waiting)
            if handed:
                self._handed.append((now + WAITING_SPEND_S, handed))
            for_waiting += handed
        self._lent.record_grant(
            now,
            borrower,
            ((now + WAITING_SPEND_S, for_waiting), (now + ttl_ms / 1000, for_stock)),
        )
        if grant.tokens > ask.waiting and for_stock:
            ttl_ms = min(ttl_ms, grant.ttl_ms)
        return QuotaGrant(tokens=grant.tokens + for_waiting + for_stock, ttl_ms=ttl_ms)

    def _share_of(self, now: float, ask: QuotaAsk) -> float:
        demand = self.demand(now)
        return min(1.0, ask.demand / demand) if demand > 0.0 else 0.0

    def _draw_from(self, batches: list[_Batch], count: int) -> int:
        drawn = 0
        for batch in batches:
            step = min(batch.count, count - drawn)
            batch.count -= step
            drawn += step
        return drawn


def _is_lendable(batch: _Batch, now: float) -> bool:
    """Return whether a waiting request of another VM may still spend the tokens in time."""
    return batch.expiry >= now + WAITING_SPEND_S
