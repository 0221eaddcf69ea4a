"""Lend the tokens of one organisation to the lenders of all data centres."""

from __future__ import annotations

from berylspindle_decisions.quota_limits import QuotaLimit
from berylspindle_model.quota_messages import QuotaAsk, QuotaGrant


class QuotaOwner:
    """Token bucket and standby of one organisation, on the VM that owns it."""

    def __init__(self, limit: QuotaLimit, now: float, *, is_fresh: bool) -> None:
        """Create the bucket at `now` seconds.

        `is_fresh` states that a predecessor may have granted standby within `STANDBY_TTL_S`.
        """
        raise NotImplementedError

    @property
    def limit(self) -> QuotaLimit:
        """Return the limit in force."""
        raise NotImplementedError

    def level(self, now: float) -> float:
        """Return the tokens that are neither lent nor reserved."""
        raise NotImplementedError

    def is_idle(self, now: float) -> bool:
        """Return whether a new owner that is not fresh would decide alike; it may be dropped."""
        raise NotImplementedError

    def lend(self, now: float, ask: QuotaAsk) -> QuotaGrant | None:
        """Return the grant for an ask, possibly without tokens; None if the ask is outdated."""
        raise NotImplementedError

    def set_limit(self, now: float, limit: QuotaLimit) -> None:
        """Replace the limit."""
        raise NotImplementedError
