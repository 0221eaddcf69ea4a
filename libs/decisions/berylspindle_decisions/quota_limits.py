"""Derive the token bucket of an organisation from its limit and the bounds of all quotas.

Load: an organisation sends several times its limit over all VMs, while VMs are cut off, restart and
change their roles. In any window of `window_s` seconds at most `A = (rate x window_s + burst) x
(1 + overshoot) + slack` requests may reach replicas.

Terms:
  excess   what the bound allows beyond the refill of a window and `ARRIVAL_LAG_S`
  depth    the owner's bucket with the tokens lent out of it
  standby  what all borrowers may hold for the time when they are out of touch, with the owner's
           reserve for it
  initial  the level with which a successor of an owner starts

The excess is divided into depth, standby and initial level; the latter two are equal. Lent tokens
count until an ask shows them spent, about a second later, so the depth has to hold more than a
second of the rate: with a third of the excess, an organisation of 30 requests per second got 0.52
of its limit. Small limits leave more for standby, of which each data centre needs a few tokens.

Flow: `quota_limit` is called for each version of the configuration; its result sets the limits of
`QuotaOwner` and `TokenPool`.
"""

from __future__ import annotations

from typing import Final

import attrs

# Time between the spending of a token and the arrival of its request at a replica.
ARRIVAL_LAG_S: Final = 0.2
# The depth covers the lag of `DEPTH_LAG_S` seconds and `DEPTH_SPARE` tokens, within these shares of
# the excess.
DEPTH_LAG_S: Final = 1.25
DEPTH_SPARE: Final = 5.0
DEPTH_SHARE_MIN: Final = 0.45
DEPTH_SHARE_MAX: Final = 0.66
# With less excess the initial level or the standby would be less than one token.
EXCESS_MIN: Final = 6.0

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
STANDBY_BEGIN_S: Final = 2.25
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
    """Token bucket of an organisation.

    Attributes:
        rate: in tokens per second.
        depth: of the owner's bucket, in tokens.
        standby: tokens of all standby buckets together.
    """

    rate: float
    depth: float
    standby: float

    @property
    def excess(self) -> float:
        """Return the tokens beyond the rate that may exist at any time, of all three parts."""
        return self.depth + self.initial + self.standby

    @property
    def initial(self) -> float:
        """Return the level with which a successor starts, in tokens."""
        return self.standby


def quota_limit(rate: float, burst: float, bounds: QuotaBounds) -> QuotaLimit | None:
    """Return the token bucket for a limit, or None if `rate` is 0, which means unlimited.

    `rate` is in requests per second, `burst` in requests. The rate of the bucket is lowered if the
    bound leaves no excess, which happens with long windows without overshoot and slack.
    """
    if rate <= 0.0:
        return None
    allowed = bounds.allowed(rate, burst)
    window_s = bounds.window_s + ARRIVAL_LAG_S
    rate = min(rate, max(0.0, allowed - EXCESS_MIN) / window_s)
    excess = allowed - rate * window_s
    depth = max(DEPTH_SHARE_MIN * excess, DEPTH_LAG_S * rate + DEPTH_SPARE)
    depth = min(DEPTH_SHARE_MAX * excess, depth)
    return QuotaLimit(rate, depth, (excess - depth) / 2)
