"""Delays before a request that no owner has taken is sent again."""

from __future__ import annotations

import pytest

from berylspindle_decisions.reroute import MAX_REROUTE_DELAY_S, is_owner_refusal, reroute_delay
from berylspindle_model.errors import ErrorKind


@pytest.mark.parametrize("time_s", [0.02, 0.5, 2.0, 10.0, 60.0])
def test_rounds_end_while_the_caller_has_time_for_a_retry(time_s: float) -> None:
    """Guard against holding a request that no owner takes until its deadline."""
    now, rounds = 100.0, 0
    while (
        delay := reroute_delay(rounds, now=now, started=100.0, deadline=100.0 + time_s)
    ) is not None:
        assert 0.0 < delay <= MAX_REROUTE_DELAY_S
        now, rounds = now + delay, rounds + 1
    assert now - 100.0 < time_s / 2
    # An owner that is slow to accept a link for a second is tried again after it has accepted one.
    assert rounds >= 3 or time_s < 1.0


def test_refusals_of_a_backend_server_are_not_rerouted() -> None:
    """Guard against repeating a request at a server that has refused it for lack of capacity."""
    kinds = {kind for kind in ErrorKind if is_owner_refusal(kind)}
    assert kinds == {ErrorKind.PEER_LOST, ErrorKind.NOT_OWNER, ErrorKind.SHUTTING_DOWN}
