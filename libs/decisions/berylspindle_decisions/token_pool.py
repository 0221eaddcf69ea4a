"""Hold and spend borrowed quota tokens of one organisation, on a VM or a lender."""

from __future__ import annotations

from berylspindle_decisions.quota_limits import QuotaLimit
from berylspindle_model.quota_messages import QuotaAsk, QuotaGrant

ASKS_PER_S = 1.0


class TokenPool:
    """Tokens of one organisation on one VM, which may also lend them to other VMs.

    Flow on a VM: `on_request` and `take` for each request; without a token `next_ask`, then
    `on_grant` or `on_failure`, then `take` again for each waiting request (its tokens are in the
    pool now). A lender answers the asks of VMs by `lend`; if `lend` leaves it short, it asks the
    owner with the VM's waiting requests as `waiting`, and calls `lend_more` after `on_grant`.
    """

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
        raise NotImplementedError

    @property
    def standby_rate(self) -> float:
        """Return the granted standby rate in tokens per second."""
        raise NotImplementedError

    def standby_tokens(self, now: float) -> int:
        """Return the standby tokens that are left."""
        raise NotImplementedError

    def held(self, now: float) -> int:
        """Return the unspent tokens here and on the VMs that this one lent to, without standby."""
        raise NotImplementedError

    def demand(self, now: float) -> float:
        """Return the requests per second of this VM and the VMs that borrow from it."""
        raise NotImplementedError

    def retry_after_s(self, now: float) -> float:
        """Return the seconds until tokens are likely."""
        raise NotImplementedError

    def is_out_of_touch(self, now: float) -> bool:
        """Return whether the last ask failed, so that the standby may be used."""
        raise NotImplementedError

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is held and no demand is left; the pool may be dropped."""
        raise NotImplementedError

    def on_request(self, now: float) -> None:
        """Count one request of this VM, once, whether or not it is admitted."""
        raise NotImplementedError

    def take(self, now: float) -> bool:
        """Spend one token; return False if there is none. Uses standby while out of touch."""
        raise NotImplementedError

    def next_ask(self, now: float, waiting: int) -> QuotaAsk | None:
        """Return the ask to send now, or None if none is in order.

        `waiting` is the number of requests that wait, here or on a VM whose ask is being answered.
        After an ask, `on_grant` or `on_failure` must follow.
        """
        raise NotImplementedError

    def on_grant(self, now: float, sequence: int, grant: QuotaGrant) -> None:
        """Take in the grant for the ask of that sequence; late and duplicate ones are dropped."""
        raise NotImplementedError

    def on_failure(self, now: float, sequence: int) -> None:
        """Record that the ask of that sequence has no answer; a later grant for it is dropped."""
        raise NotImplementedError

    def lend(self, now: float, ask: QuotaAsk) -> QuotaGrant | None:
        """Return the grant for the ask of a VM, possibly without tokens; None if it is outdated."""
        raise NotImplementedError

    def lend_more(self, now: float, ask: QuotaAsk, grant: QuotaGrant) -> QuotaGrant:
        """Return `grant`, which `lend` gave for this ask, with the tokens that came in since."""
        raise NotImplementedError

    def set_limit(self, now: float, limit: QuotaLimit) -> None:
        """Replace the limit of this VM's table; a lower one scales the standby down."""
        raise NotImplementedError
