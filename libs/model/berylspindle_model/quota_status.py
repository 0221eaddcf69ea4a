"""Define what a VM reports about organisations and their quotas at its peers' edge.

Terms:
  owner    the VM that holds the token bucket of an organisation and lends from it
  lender   the VM of a data centre that borrows from the owner and lends to the VMs there
  level    tokens of an organisation that the VM holds: in the bucket if it is the owner, else in
           its pool

Flow: a VM answers `GET /quota/1/status` with a `QuotaStatus`; the operators' tool reads it from
many VMs and merges the answers. A report contains names of organisations, never their keys.
"""

from __future__ import annotations

from typing import Annotated, Final

import attrs
import msgspec

STATUS_PATH: Final = "/quota/1/status"

Count = Annotated[int, msgspec.Meta(ge=0)]
"""A counter since the start of the VM's process."""

Amount = Annotated[float, msgspec.Meta(ge=0)]
"""A non-negative quantity."""


@attrs.frozen(kw_only=True)
class OrganisationStatus:
    """One organisation as a VM knows it; all counters are 0 if the VM has no state of it.

    Attributes:
        rate: requests per second over all VMs together; 0 is unlimited.
        burst: requests that may be made at once.
        owner: name of the VM that this VM takes for the owner; None if it knows none.
        lender: name of the VM that this VM takes for the lender of its data centre.
        asked: requests of the organisation that reached this VM.
        refused: refused requests by error kind.
        lent: tokens lent to other VMs.
        spent: tokens spent on requests of this VM.
        state_age_ms: time since the VM last heard of the organisation's quota, in milliseconds.
        standby_rate: tokens per second that the VM may use while out of touch with the owner.
        standby_tokens: tokens that it may use at once then.
    """

    name: str
    rate: Amount
    burst: Amount
    priority: int | None = None
    owner: str | None = None
    lender: str | None = None
    asked: Count
    admitted: Count
    refused: dict[str, Count]
    lent: Count
    spent: Count
    state_age_ms: Amount
    level: float
    standby_rate: Amount
    standby_tokens: Amount


@attrs.frozen(kw_only=True)
class QuotaStatus:
    """The organisations of a VM's routing table; version 0 means that it has no table yet."""

    vm: str
    data_centre: str
    table_version: int
    organisations: tuple[OrganisationStatus, ...]
