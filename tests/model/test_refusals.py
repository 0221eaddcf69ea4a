"""Test the statuses of refusals, in both kinds of responses that are made of them."""

from __future__ import annotations

import itertools

import pytest

from berylspindle_forwarding.front import refusal_reply
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_wire.http_errors import refusal_response

NOT_RUN_STATUSES = {408, 421, 429, 503}


@pytest.mark.parametrize(("kind", "run"), [*itertools.product(ErrorKind, (*RunState, None))])
def test_status_promises_not_run_only_if_that_is_certain(
    kind: ErrorKind, run: RunState | None
) -> None:
    """Guard against a request that runs twice since its caller was told that it had not run."""
    refusal = Refusal(kind, run=run)
    for status in (refusal_response(refusal).status, refusal_reply(refusal, b"id", b"").status):
        assert status not in NOT_RUN_STATUSES or refusal.run_state is RunState.NOT_RUN


def test_request_that_has_not_run_keeps_the_status_of_its_kind() -> None:
    refusal = Refusal(ErrorKind.SHUTTING_DOWN, run=RunState.NOT_RUN)
    assert refusal_response(refusal).status == refusal_reply(refusal, b"id", b"").status == 503
