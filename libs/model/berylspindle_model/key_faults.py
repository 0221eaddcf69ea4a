"""Define why a request's API key is rejected.

Flow: the front refuses the request as UNAUTHORISED with a `KeyFault` as the detail, from which the
cause in the request's log line follows. Neither contains the key.
"""

from __future__ import annotations

import enum


class KeyFault(enum.StrEnum):
    """Reason for which a request has no valid key; the value is the detail of the refusal."""

    MISSING = "no key"
    MALFORMED = "malformed key"
    """Not exactly one `Authorization: Bearer KEY` header."""

    UNKNOWN = "unknown key"
    """No organisation holds the key, or more than one."""
