"""Define the messages by which VMs borrow quota tokens of an organisation.

Terms:
  owner      the VM that holds the token bucket of an organisation
  lender     the VM that borrows from the owner for its data centre, and lends to the VMs there
  borrower   the sender of an ask: a VM, or a lender towards the owner
  waiting    tokens for requests that wait for the answer; they expire within a tenth of a second
  stock      tokens beyond the waiting ones, held for the requests of about the next second
  standby    what a borrower may use while it is out of touch with the owner: a small bucket of
             tokens, which refills at the standby rate some time after the last grant

Flow: `QuotaAsk` -> `QuotaReply` with a `QuotaGrant` or a `QuotaDenial`. The same messages serve
both steps, VM to lender and lender to owner; a lender grants no standby.
"""

from __future__ import annotations

import enum

import attrs


class QuotaDenial(enum.StrEnum):
    """Why an ask was not answered by a grant."""

    NOT_OWNER = "not_owner"
    UNKNOWN = "unknown"
    STALE = "stale"


@attrs.frozen(kw_only=True)
class QuotaAsk:
    """Request tokens, and state what the borrower holds.

    Attributes:
        organisation: name of the organisation.
        vm: name of the borrower.
        incarnation: random number of the borrower's process.
        sequence: number of this ask, rising within an incarnation.
        received: sequence of the last ask whose grant arrived, 0 if none did.
        held: unspent tokens of the borrower and of the VMs that it lent to.
        standby_rate: granted standby rate in tokens per second.
        standby_tokens: standby tokens that are left.
        demand: requests per second, admitted or not, of the borrower and the VMs below it.
        waiting: requests that wait for this ask.
        wanted: tokens wanted, including those for the waiting requests.
    """

    organisation: str
    vm: str
    incarnation: int
    sequence: int
    received: int
    held: int
    standby_rate: float
    standby_tokens: int
    demand: float
    waiting: int
    wanted: int


@attrs.frozen(kw_only=True)
class QuotaGrant:
    """Tokens lent in answer to an ask; all times count from when the ask was sent.

    Attributes:
        tokens: number of tokens; the first `waiting` of them are for the waiting requests.
        ttl_ms: time for which the stock may be spent.
        standby_rate: standby rate in tokens per second; replaces the previous one.
        standby_tokens: size and level of the standby bucket; replaces the previous one.
        standby_ttl_ms: time for which the standby may be used.
        limit_rate: rate of the limit from which the standby was computed, in tokens per second; a
            borrower whose own limit is lower scales its standby down.
        limit_standby: standby tokens of that limit for all borrowers together.
    """

    tokens: int
    ttl_ms: int
    standby_rate: float = 0.0
    standby_tokens: int = 0
    standby_ttl_ms: int = 0
    limit_rate: float = 0.0
    limit_standby: float = 0.0


@attrs.frozen(kw_only=True)
class QuotaReply:
    """Response to an ask: the grant, or the reason why there is none."""

    grant: QuotaGrant | None = None
    reason: QuotaDenial | None = None
