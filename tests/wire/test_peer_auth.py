"""Tests of the authentication of calls between peers."""

from __future__ import annotations

import pytest

from berylspindle_wire.peer_auth import MAX_CLOCK_SKEW_S, CallVerifier, sign_call


class Clock:
    def __init__(self) -> None:
        self.now = 1_000_000.0

    def __call__(self) -> float:
        return self.now


@pytest.mark.parametrize("skew", [0.0, MAX_CLOCK_SKEW_S - 1, 1 - MAX_CLOCK_SKEW_S])
def test_signed_call_is_accepted_once(skew):
    """Guard against a replay of the call that opens a link."""
    clock = Clock()
    verifier = CallVerifier(b"k", clock)
    call = sign_call(b"k", "/m", clock.now + skew)
    assert verifier.accepts("/m", call)
    for step in (0.0, MAX_CLOCK_SKEW_S, MAX_CLOCK_SKEW_S, MAX_CLOCK_SKEW_S):
        clock.now += step
        assert not verifier.accepts("/m", call)


@pytest.mark.parametrize("skew", [MAX_CLOCK_SKEW_S + 1, -MAX_CLOCK_SKEW_S - 1])
def test_call_with_excessive_clock_skew_is_rejected(skew):
    clock = Clock()
    assert not CallVerifier(b"k", clock).accepts("/m", sign_call(b"k", "/m", clock.now + skew))


def test_call_for_another_method_or_with_altered_entries_is_rejected():
    clock = Clock()
    verifier = CallVerifier(b"k", clock)
    call = sign_call(b"k", "/m", clock.now)
    assert not verifier.accepts("/other", call)
    assert not verifier.accepts("/m", sign_call(b"other", "/m", clock.now))
    assert not verifier.accepts("/m", {})
    for name, value in call.items():
        for altered in (value[:-1], value + "0", "", "é" * 8, "x" * 100):
            assert not verifier.accepts("/m", call | {name: altered})
    assert verifier.accepts("/m", call)


def test_expired_nonces_are_discarded():
    clock = Clock()
    verifier = CallVerifier(b"k", clock)
    for _ in range(50):
        assert verifier.accepts("/m", sign_call(b"k", "/m", clock.now))
        clock.now += MAX_CLOCK_SKEW_S
    assert len(verifier._seen_nonces) <= 3
