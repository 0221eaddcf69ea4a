"""The cause of a request that is refused for its key or its organisation's quota."""

from __future__ import annotations

import pytest

from berylspindle_forwarding.failure_cause import RequestFacts, cause_of
from berylspindle_model.causes import Cause
from berylspindle_model.errors import ErrorKind, Refusal
from berylspindle_model.key_faults import KeyFault


@pytest.mark.parametrize(
    ("kind", "detail", "cause"),
    [
        (ErrorKind.UNAUTHORISED, KeyFault.MISSING, Cause.KEY_MISSING),
        (ErrorKind.UNAUTHORISED, KeyFault.MALFORMED, Cause.KEY_MALFORMED),
        (ErrorKind.UNAUTHORISED, KeyFault.UNKNOWN, Cause.KEY_UNKNOWN),
        ("quota_exceeded", "", Cause.QUOTA_EXCEEDED),
        ("quota_unknown", "", Cause.QUOTA_UNKNOWN),
    ],
)
def test_a_refused_organisation_is_not_counted_as_missing_replicas(
    kind: ErrorKind, detail: str, cause: Cause
) -> None:
    """Guard against `no_usable_replica`, the cause of any other refusal without an attempt."""
    facts = RequestFacts(
        outcome=Refusal(kind, detail), left_ms=None, table_wait_ms=0.0, usual_ms=0.0
    )
    assert cause_of(facts, None) is cause
