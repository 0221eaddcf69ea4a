"""Quotas hold while messages and processes fail, the owner changes and limits are lowered.

The machine has one owner role, two lenders and three VMs. A bag loses, delays, duplicates and
reorders messages. After each step two bounds are checked: spent tokens in any window of W + 0.2 s
are at most A, and all tokens that could be spent at once are within the bound of each window that
ends now. The second one finds a rule that creates tokens before a run happens to spend them all.

CI runs 200 examples. By hand: QUOTA_EXAMPLES=10000 pytest tests/decisions/test_quota_machine.py
"""

from __future__ import annotations

import enum
import math
import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from berylspindle_decisions.quota_limits import (
    ARRIVAL_LAG_S,
    TOKEN_TTL_S,
    QuotaBounds,
    QuotaLimit,
    quota_limit,
)
from berylspindle_decisions.quota_owner import QuotaOwner
from berylspindle_decisions.token_pool import TokenPool
from berylspindle_model.quota_messages import QuotaAsk, QuotaGrant

BOUNDS = QuotaBounds()
WINDOW_S = BOUNDS.window_s + ARRIVAL_LAG_S
LENDERS = ("l0", "l1")
VMS = ("v0", "v1", "v2")
POOLS = LENDERS + VMS
OWNER = "owner"
MAX_BAG = 40
# A restart takes longer than a request waits for tokens that its lender handed out.
RESTART_S = 0.2


def limit_of(rate: int) -> QuotaLimit:
    limit = quota_limit(rate, rate, BOUNDS)
    assert limit is not None
    return limit


class Link(enum.Enum):
    """What an ask meets: an answer, a lost answer, no receiver; or the pool does not ask."""

    UP = "up"
    ANSWER_LOST = "answer lost"
    CUT = "cut"
    IDLE = "idle"


class QuotaMachine(RuleBasedStateMachine):
    @initialize(rate=st.sampled_from((30, 8, 3)), changes_limits=st.sampled_from((0, 0, 1)))
    def start(self, rate: int, changes_limits: int) -> None:
        self.now = 100.0
        self.incarnations = 0
        self.changes_limits = bool(changes_limits)
        self.rates = dict.fromkeys((OWNER, *POOLS), rate)
        # Time until which some process had this rate.
        self.rate_until = {rate: float("inf")}
        self.rate_changed_at = -100.0
        self.owner = QuotaOwner(limit_of(rate), self.now, is_fresh=False)
        self.changed_at, self.changed_before = -100.0, -200.0
        self.pools = {name: self.started(name) for name in POOLS}
        self.asks: list[tuple[str, TokenPool, QuotaAsk]] = []
        self.grants: list[tuple[TokenPool, int, QuotaGrant]] = []
        self.in_flight: dict[TokenPool, int] = {}
        # Times at which tokens were spent, with their numbers.
        self.spent: dict[float, int] = {}

    def started(self, name: str) -> TokenPool:
        self.incarnations += 1
        rate = self.rates[name]
        return TokenPool(
            "org", name, self.incarnations * 7919 % 1009, limit_of(rate), asks_per_s=math.inf
        )

    def spend(self, pool: TokenPool, count: int) -> None:
        for _ in range(count):
            pool.on_request(self.now)
            if pool.take(self.now):
                self.spent[self.now] = self.spent.get(self.now, 0) + 1

    def send(self, name: str, target: str, waiting: int) -> QuotaAsk | None:
        pool = self.pools[name]
        for _ in range(waiting):
            pool.on_request(self.now)
        ask = pool.next_ask(self.now, waiting)
        if ask is not None:
            self.in_flight[pool] = ask.sequence
            self.asks = [*self.asks, (target, pool, ask)][-MAX_BAG:]
        return ask

    def answer(self, target: str, pool: TokenPool, ask: QuotaAsk) -> None:
        lender = self.owner if target == OWNER else self.pools[target]
        grant = None if lender is pool else lender.lend(self.now, ask)
        if grant is None:
            return
        self.grants = [*self.grants, (pool, ask.sequence, grant)][-MAX_BAG:]

    def receive(self, pool: TokenPool, sequence: int, grant: QuotaGrant) -> None:
        if pool in self.pools.values():
            pool.on_grant(self.now, sequence, grant)
            if self.in_flight.get(pool) == sequence:
                del self.in_flight[pool]

    @rule(name=st.sampled_from(POOLS), count=st.sampled_from((1, 5, 60)))
    def request(self, name: str, count: int) -> None:
        self.spend(self.pools[name], count)

    @rule()
    def spend_everything(self) -> None:
        for pool in self.pools.values():
            self.spend(pool, 60)

    @rule(
        name=st.sampled_from(POOLS),
        lender=st.sampled_from((OWNER, OWNER, *LENDERS)),
        waiting=st.integers(0, 6),
    )
    def ask(self, name: str, lender: str, waiting: int) -> None:
        self.send(name, lender, waiting)

    @precondition(lambda self: self.asks)
    @rule(data=st.data(), is_duplicate=st.booleans())
    def deliver_ask(self, data: st.DataObject, is_duplicate: bool) -> None:
        index = data.draw(st.integers(0, len(self.asks) - 1))
        self.answer(*(self.asks[index] if is_duplicate else self.asks.pop(index)))

    @precondition(lambda self: self.grants)
    @rule(data=st.data(), is_duplicate=st.booleans())
    def deliver_grant(self, data: st.DataObject, is_duplicate: bool) -> None:
        index = data.draw(st.integers(0, len(self.grants) - 1))
        pool, sequence, grant = self.grants[index] if is_duplicate else self.grants.pop(index)
        self.receive(pool, sequence, grant)

    @rule(
        links=st.fixed_dictionaries({name: st.sampled_from(Link) for name in POOLS}),
        waiting=st.sampled_from((0, 3, 30)),
        steps=st.integers(1, 12),
        seconds=st.sampled_from((0.05, 0.3, 0.7)),
        spends=st.booleans(),
    )
    def serve(
        self, links: dict[str, Link], waiting: int, steps: int, seconds: float, spends: bool
    ) -> None:
        """Serve for a while, as lenders and VMs do between faults, on links of all states."""
        for _ in range(steps):
            self.now += seconds
            for name, link in links.items():
                lender = OWNER if name in LENDERS else LENDERS[int(name[1:]) % len(LENDERS)]
                self.exchange(name, lender, link, waiting)
            self.tokens_that_could_be_spent_now_are_within_the_bound()
            if spends:
                self.spend_everything()

    def exchange(self, name: str, lender: str, link: Link, waiting: int) -> None:
        pool = self.pools[name]
        ask = None if link is Link.IDLE else self.send(name, lender, waiting)
        if ask is None:
            return
        sent = self.asks.pop()
        if link is not Link.CUT:
            self.answer(*sent)
        if link is Link.UP and self.grants and self.grants[-1][0] is pool:
            self.receive(*self.grants.pop())
        else:
            self.time_out({name})

    @rule(lender=st.sampled_from(LENDERS), vm=st.sampled_from(VMS), waiting=st.integers(1, 9))
    def borrow(self, lender: str, vm: str, waiting: int) -> None:
        """Ask a lender, which answers at once; its response may still be lost or late."""
        if self.send(vm, lender, waiting) is not None:
            self.answer(*self.asks.pop())

    @precondition(lambda self: self.in_flight)
    @rule(names=st.sets(st.sampled_from(POOLS), min_size=1))
    def time_out(self, names: set[str]) -> None:
        for name in names:
            sequence = self.in_flight.pop(self.pools[name], None)
            if sequence is not None:
                self.pools[name].on_failure(self.now, sequence)

    @rule(seconds=st.sampled_from((0.03, 0.08, 0.15, 0.4, 0.9, 1.45, 2.6, 4.0)))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def lose_messages(self) -> None:
        self.asks.clear()
        self.grants.clear()

    @rule(name=st.sampled_from(POOLS))
    def restart(self, name: str) -> None:
        self.now += RESTART_S
        self.in_flight.pop(self.pools[name], None)
        self.pools[name] = self.started(name)

    @precondition(lambda self: self.now - self.changed_at > WINDOW_S + TOKEN_TTL_S)
    @rule()
    def change_owner(self) -> None:
        """The owner restarts, or another VM becomes the owner; both begin without knowledge."""
        self.owner = QuotaOwner(limit_of(self.rates[OWNER]), self.now, is_fresh=True)
        self.changed_at, self.changed_before = self.now, self.changed_at

    @precondition(lambda self: self.changes_limits)
    @rule(
        names=st.sets(st.sampled_from((OWNER, *POOLS))) | st.just({OWNER, *POOLS}),
        rate=st.sampled_from((30, 8, 1)),
    )
    def set_limits(self, names: set[str], rate: int) -> None:
        for name in names:
            self.rates[name] = rate
            user = self.owner if name == OWNER else self.pools[name]
            user.set_limit(self.now, limit_of(rate))
        in_use = set(self.rates.values())
        self.rate_until = {
            one: float("inf") if one in in_use else min(until, self.now)
            for one, until in (self.rate_until | dict.fromkeys(in_use, 0.0)).items()
        }
        self.rate_changed_at = self.now

    @invariant()
    def spent_tokens_are_within_the_bound_in_any_window(self) -> None:
        """Guard against requests beyond the quota at the replicas."""
        start = self.now - WINDOW_S
        spent = sum(count for at, count in self.spent.items() if at >= start)
        rates = [rate for rate, until in self.rate_until.items() if until >= start - TOKEN_TTL_S]
        allowed = max(BOUNDS.allowed(rate, rate) for rate in rates)
        assert spent <= allowed, f"{spent} tokens spent in {WINDOW_S} s, {allowed} allowed"

    @invariant()
    def tokens_that_could_be_spent_now_are_within_the_bound(self) -> None:
        """Guard against tokens that are counted as spent while a process still holds them."""
        limit = self.owner.limit
        if any(limit_of(rate) != limit for rate in self.rates.values()):
            return
        total = self.owner.level(self.now) + self.owner.reserve
        for pool in self.pools.values():
            total += pool.unspent(self.now) + max(0, pool.standby_tokens(self.now))
        first = max(self.changed_before, self.rate_changed_at) + TOKEN_TTL_S
        if self.rate_changed_at > 0.0:
            first = max(first, self.rate_changed_at + WINDOW_S)
        for start, count in [(self.now, 0), *reversed(self.spent.items())]:
            if start < first:
                break
            total += count
            allowed = limit.rate * (self.now - start) + limit.depth + limit.standby
            if self.changed_at >= start - TOKEN_TTL_S:
                allowed += limit.initial
            assert total <= allowed + 1e-6, f"{total} tokens from {start}, {allowed} allowed"


TestQuotas = QuotaMachine.TestCase
TestQuotas.settings = settings(
    max_examples=int(os.environ.get("QUOTA_EXAMPLES", "200")),
    stateful_step_count=40,
    deadline=None,
)
