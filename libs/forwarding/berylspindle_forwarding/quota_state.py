"""State of the quota of one organisation on one VM, in all roles of that VM.

Terms:
  lower pool   tokens borrowed from a lender of this data centre, for requests of this VM
  upper pool   tokens borrowed from the owner, for VMs that this one lends to and, while no other
               VM lends to this one, for its own requests; only this pool has a standby
  bucket       the tokens of the organisation, if this VM owns it

Flow: `admit` spends a token for a request; without one it waits for an ask to the first available
lender or to the owner. `lend_as_lender` and `lend_as_owner` answer asks of other VMs. Roles of the
same VM call each other without a message.

Guard: an owner knows a borrower by name, incarnation and sequence of its asks. Each new pool
therefore has a random incarnation of its own, and the two pools never ask the same VM in the same
role.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_decisions.log_rate_limiter import LineKind, LogRateLimiter
from berylspindle_decisions.quota_limits import STANDBY_TTL_S, QuotaLimit
from berylspindle_decisions.quota_owner import QuotaOwner
from berylspindle_decisions.token_pool import ASKS_PER_S, TokenPool
from berylspindle_forwarding.quota_admission import OrganisationCounts, OverQuota, QuotaUnknown
from berylspindle_forwarding.quota_borrowing import Borrowing, Replenished, Spawn
from berylspindle_forwarding.quota_owners import QuotaOwners, QuotaRank
from berylspindle_forwarding.quota_peers import OWNER_TIMEOUT_S, SKIP_S, QuotaPeers, QuotaRole
from berylspindle_model.quota_messages import QuotaAsk, QuotaDenial, QuotaGrant, QuotaReply
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.logs import logger
from berylspindle_telemetry.metrics import Metrics

INCARNATION_BITS: Final = 53
"""Size of an incarnation: every JSON and MessagePack reader represents it exactly."""


@attrs.frozen(kw_only=True)
class QuotaContext:
    """What the states of all organisations on one VM share.

    Attributes:
        clock: time in seconds that includes suspension.
        random_bits: returns a random number of so many bits.
        spawn: runs a coroutine as a task that ends with the service.
    """

    vm: str
    owners: QuotaOwners
    peers: QuotaPeers
    clock: Callable[[], float]
    metrics: Metrics
    log_limiter: LogRateLimiter
    random_bits: Callable[[int], int]
    spawn: Spawn

    def log(self, message: str, **fields: object) -> None:
        """Write a log line unless the rate limit suppresses it; those are counted."""
        if self.log_limiter.allow(self.clock(), LineKind.QUOTA):
            logger("quotas").info(message, extra=fields)
        else:
            self.metrics.count(names.LOG_LEFT_OUT, kind=LineKind.QUOTA.value)


class OrganisationState:
    """Pools and bucket of one organisation; they are created when they are first needed."""

    __slots__ = (
        "_bucket",
        "_bucket_used_at",
        "_context",
        "_counts",
        "_generation",
        "_granted_at",
        "_is_closed",
        "_is_on_standby",
        "_limit",
        "_lower",
        "_name",
        "_rank",
        "_unavailable_until",
        "_upper",
    )

    def __init__(
        self, name: str, limit: QuotaLimit, context: QuotaContext, counts: OrganisationCounts
    ) -> None:
        self._name: Final = name
        self._limit = limit
        self._context: Final = context
        self._counts: Final = counts
        self._generation = -1
        self._rank = QuotaRank(owner=None, lenders=())
        self._lower: Borrowing | None = None
        self._upper: Borrowing | None = None
        self._bucket: QuotaOwner | None = None
        self._bucket_used_at = -math.inf
        self._unavailable_until: dict[str, float] | None = None
        self._granted_at = context.clock()
        self._is_on_standby = False
        self._is_closed = False

    @property
    def is_idle(self) -> bool:
        """Return whether the state may be dropped and created again without an effect."""
        pools = (self._lower, self._upper)
        if any(borrowing is not None and not borrowing.is_idle for borrowing in pools):
            return False
        return self._bucket is None or self._bucket.is_idle(self._context.clock())

    @property
    def age_s(self) -> float:
        """Return the seconds since the last grant to this VM, or since the state was created."""
        return self._context.clock() - self._granted_at

    @property
    def level(self) -> float:
        """Return the tokens in the bucket if this VM is the owner, else those in its pools."""
        now = self._context.clock()
        if self._bucket is not None and self._rank.owner == self._context.vm:
            return self._bucket.level(now)
        pools = (self._lower, self._upper)
        return float(sum(one.pool.unspent(now) for one in pools if one is not None))

    @property
    def standby(self) -> tuple[float, int]:
        """Return the standby rate in tokens per second and the standby tokens of this VM."""
        if self._upper is None:
            return 0.0, 0
        pool = self._upper.pool
        return pool.standby_rate, pool.standby_tokens(self._context.clock())

    def prefetch(self) -> None:
        """Refill the pools before they are empty, and renew the standby; called twice a second."""
        for borrowing in (self._lower, self._upper):
            if borrowing is not None:
                borrowing.prefetch()

    def set_limit(self, limit: QuotaLimit) -> None:
        """Replace the limit."""
        if limit == self._limit:
            return
        self._limit = limit
        now = self._context.clock()
        for borrowing in (self._lower, self._upper):
            if borrowing is not None:
                borrowing.pool.set_limit(now, limit)
        if self._bucket is not None:
            self._bucket.set_limit(now, limit)

    def close(self) -> None:
        """Mark the organisation as no longer limited; requests that wait are admitted."""
        self._is_closed = True

    async def admit(self, until: float) -> OverQuota | QuotaUnknown | None:
        """Spend a token, or return why there is none; waits until a time of the event loop."""
        borrowing = self._source()
        borrowing.pool.on_request(self._context.clock())
        while True:
            if self._take():
                borrowing.prefetch()
                return None
            result = await borrowing.replenish(1, until)
            if self._is_closed or self._take():
                return None
            now = self._context.clock()
            if result is Replenished.PENDING:
                return QuotaUnknown()
            source = self._source()
            if result is Replenished.JOINED or source is not borrowing:
                borrowing = source
                continue
            if result is Replenished.FAILED or borrowing.pool.is_out_of_touch:
                return QuotaUnknown()
            return OverQuota(borrowing.pool.retry_after_s(now))

    async def lend_as_lender(self, ask: QuotaAsk) -> QuotaReply:
        """Return the reply to an ask of a VM of this data centre."""
        borrowing = self._upper_pool()
        pool = borrowing.pool
        grant = pool.lend(self._context.clock(), ask)
        if grant is None:
            return QuotaReply(reason=QuotaDenial.STALE)
        until = asyncio.get_running_loop().time() + OWNER_TIMEOUT_S
        result = Replenished.JOINED
        while grant.tokens < ask.wanted and result is Replenished.JOINED:
            result = await borrowing.replenish(max(0, ask.waiting - grant.tokens), until)
            grant = pool.lend_more(self._context.clock(), ask, grant)
        self._counts.on_lent(grant.tokens)
        is_unknown = (
            result in (Replenished.FAILED, Replenished.PENDING) or pool.is_out_of_touch
        ) and grant.tokens == 0
        # With a reason, the borrower treats the ask as not answered, but as one that no other
        # lender of the data centre could answer either.
        return QuotaReply(grant=grant, reason=QuotaDenial.UNKNOWN if is_unknown else None)

    def lend_as_owner(self, ask: QuotaAsk) -> QuotaReply:
        """Return the reply to an ask of a lender, or of a VM without one."""
        now = self._context.clock()
        since = self._context.owners.owned_since(self._name)
        if since is None:
            return QuotaReply(reason=QuotaDenial.NOT_OWNER)
        if self._bucket is None or since > self._bucket_used_at:
            # Another VM may have granted tokens before this one owned the organisation.
            is_fresh = now - since < STANDBY_TTL_S
            self._bucket = QuotaOwner(self._limit, now, is_fresh=is_fresh)
        self._bucket_used_at = now
        grant = self._bucket.lend(now, ask)
        if grant is None:
            return QuotaReply(reason=QuotaDenial.STALE)
        if ask.vm != self._context.vm:
            self._counts.on_lent(grant.tokens)
        return QuotaReply(grant=grant)

    def rank(self) -> QuotaRank:
        """Return the owner and the lenders, and log a change of the owner."""
        generation = self._context.owners.generation
        if generation != self._generation:
            before, self._rank = self._rank, self._context.owners.rank(self._name)
            if before.owner != self._rank.owner and self._generation >= 0:
                self._context.log(
                    "quota owner changed",
                    organisation=self._name,
                    owner=self._rank.owner,
                    before=before.owner,
                )
            self._generation = generation
        return self._rank

    def _take(self) -> bool:
        now = self._context.clock()
        if self._lower is not None and self._lower.pool.take(now):
            return True
        return self._upper is not None and self._upper.pool.take(now)

    def _source(self) -> Borrowing:
        """Return from where this VM borrows for its own requests now."""
        for vm in self.rank().lenders:
            if vm == self._context.vm:
                break
            if self._is_available(vm):
                if self._lower is None:
                    self._lower = self._open_pool(is_upper=False, is_local=False)
                return self._lower
        return self._upper_pool()

    def _upper_pool(self) -> Borrowing:
        is_local = self.rank().owner == self._context.vm
        if self._upper is None or self._upper.is_local != is_local:
            self._upper = self._open_pool(is_upper=True, is_local=is_local)
        return self._upper

    def _open_pool(self, *, is_upper: bool, is_local: bool) -> Borrowing:
        pool = TokenPool(
            self._name,
            self._context.vm,
            self._context.random_bits(INCARNATION_BITS),
            self._limit,
            asks_per_s=math.inf if is_local else ASKS_PER_S,
        )
        return Borrowing(
            pool,
            ask_remotely=self._ask_owner if is_upper else self._ask_lenders,
            ask_locally=self._ask_own_bucket if is_local else None,
            clock=self._context.clock,
            spawn=self._context.spawn,
            on_result=self._on_upper_result if is_upper else self._on_lower_result,
        )

    def _ask_own_bucket(self, ask: QuotaAsk) -> QuotaGrant | None:
        return self.lend_as_owner(ask).grant

    async def _ask_owner(self, ask: QuotaAsk) -> QuotaGrant | None:
        owner = self.rank().owner
        if owner is None or owner == self._context.vm:
            return None
        reply = await self._context.peers.borrow(owner, QuotaRole.OWNER, ask)
        return reply.grant if reply is not None and reply.reason is None else None

    async def _ask_lenders(self, ask: QuotaAsk) -> QuotaGrant | None:
        """Ask the available lenders that are ranked before this VM, one after the other."""
        for vm in self.rank().lenders:
            if vm == self._context.vm:
                break
            if not self._is_available(vm):
                continue
            reply = await self._context.peers.borrow(vm, QuotaRole.LENDER, ask)
            if reply is not None and reply.grant is not None:
                return reply.grant if reply.reason is None else None
            if reply is not None:
                self._set_unavailable(vm)
        return None

    def _is_available(self, vm: str) -> bool:
        if self._context.peers.is_skipped(vm):
            return False
        unavailable = self._unavailable_until
        return not unavailable or self._context.clock() >= unavailable.get(vm, -math.inf)

    def _set_unavailable(self, vm: str) -> None:
        """Skip a lender that does not know the organisation, such as one with an older table."""
        now = self._context.clock()
        kept = {name: end for name, end in (self._unavailable_until or {}).items() if end > now}
        self._unavailable_until = {**kept, vm: now + SKIP_S}

    def _on_lower_result(self, is_granted: bool) -> None:
        if is_granted:
            self._granted_at = self._context.clock()

    def _on_upper_result(self, is_granted: bool) -> None:
        if is_granted:
            self._granted_at = self._context.clock()
        if is_granted != self._is_on_standby:
            return
        self._is_on_standby = not is_granted
        rate, tokens = self.standby
        self._context.log(
            "quota standby ends" if is_granted else "quota standby begins",
            organisation=self._name,
            owner=self._rank.owner,
            rate=round(rate, 3),
            tokens=tokens,
        )
