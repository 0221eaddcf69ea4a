"""Define the page on which a VM shows the quotas of all organisations.

Flow: `GET /quota/1/status` on the peers' edge returns a `QuotaStatus` as JSON; the operators' tool
reads it from each VM and adds the counts up.
"""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class OrganisationQuota:
    """Quota of one organisation as one VM sees it; counts are since the start of its process.

    Attributes:
        rate: limit in requests per second; 0 means no limit.
        owner: VM that grants the tokens, or None if no VM is known to.
        lender: VM that lends them in this VM's data centre, or None.
        asked: requests of callers of this VM.
        refused: requests that were refused, by error kind.
        lent: tokens lent to other VMs, as owner or lender.
        spent: tokens spent by requests of this VM.
        state_age_ms: time since this VM was last granted tokens; 0 without state.
        level: tokens in the owner's bucket if this VM is the owner.
        standby_rate: tokens per second that this VM may use while out of touch with the owner.
        standby_tokens: tokens that it may use at once then.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    priority: int | None = None
    owner: str | None = None
    lender: str | None = None
    asked: int = 0
    admitted: int = 0
    refused: dict[str, int] = attrs.field(factory=dict)
    lent: int = 0
    spent: int = 0
    state_age_ms: int = 0
    level: float = 0.0
    standby_rate: float = 0.0
    standby_tokens: int = 0


@attrs.frozen(kw_only=True)
class QuotaStatus:
    """Quotas of all organisations of the table in force on one VM."""

    vm: str
    data_centre: str
    table_version: int
    organisations: tuple[OrganisationQuota, ...] = ()
