"""Derive the token bucket of an organisation from its limit and the bounds of all quotas.

Load: an organisation sends several times its limit over all VMs, while VMs are cut off, restart and
change their roles. In any window of `window_s` seconds at most `A = (rate x window_s + burst) x
(1 + overshoot) + slack` requests may reach replicas.

Terms:
  excess   what the bound allows beyond the refill of a window and `ARRIVAL_LAG_S`
  depth    a third of the excess. The parts are the owner's bucket with the tokens lent out of it,
           the initial level of a successor's bucket, and the standby of all borrowers with the
           owner's reserve for it.

Flow: `quota_limit` is called for each version of the configuration; its result sets the limits of
`QuotaOwner` and `TokenPool`.
"""

from __future__ import annotations

from typing import Final

import attrs

# Time between the spending of a token and the arrival of its request at a replica.
ARRIVAL_LAG_S: Final = 0.2
EXCESS_PARTS: Final = 3

# Time for which lent tokens may be spent, in seconds from the ask.
TOKEN_TTL_S: Final = 1.5
# Tokens for waiting requests: a borrower spends or drops them within `WAITING_SPEND_S` of its ask.
# They pass through a lender and a VM, so the owner counts them as unspent for `WAITING_TTL_S`.
WAITING_SPEND_S: Final = 0.1
WAITING_TTL_S: Final = 0.2
# Time for which a standby may be used, in seconds from the ask.
STANDBY_TTL_S: Final = 12.0
# Seconds after the receipt of a grant from which the standby rate accrues. The owner knows that a
# grant arrived only from the next ask, about a second later. With less than two seconds and some
# delay, the owner would withhold the standby rates of borrowers that are in touch.
STANDBY_BEGIN_S: Final = 2.5
# Share of the rate that all standby rates together may use.
STANDBY_SHARE: Final = 0.4


@attrs.frozen(kw_only=True)
class QuotaBounds:
    """Bounds on the quotas of all organisations: window in seconds, overshoot, slack in tokens."""

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    def allowed(self, rate: float, burst: float) -> float:
        """Return the number of requests that may arrive at replicas in a window."""
        return (rate * self.window_s + burst) * (1.0 + self.overshoot) + self.slack


@attrs.frozen
class QuotaLimit:
    """Token bucket of an organisation: `rate` in tokens per second and `depth` in tokens."""

    rate: float
    depth: float


def quota_limit(rate: float, burst: float, bounds: QuotaBounds) -> QuotaLimit | None:
    """Return the token bucket for a limit, or None if `rate` is 0, which means unlimited.

    `rate` is in requests per second, `burst` in requests. The rate of the bucket is lowered if the
    bound leaves no excess, which happens with long windows without overshoot and slack.
    """
    if rate <= 0.0:
        return None
    allowed = bounds.allowed(rate, burst)
    window_s = bounds.window_s + ARRIVAL_LAG_S
    # The depth holds at least one token, as no request could be admitted otherwise.
    rate = min(rate, max(0.0, allowed - EXCESS_PARTS) / window_s)
    return QuotaLimit(rate, (allowed - rate * window_s) / EXCESS_PARTS)
