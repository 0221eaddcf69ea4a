"""Test the parsing of API keys."""

from __future__ import annotations

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from berylspindle_forwarding.credentials import KeyFault, parse_key


@pytest.mark.parametrize("scheme", [b"Bearer", b"bearer", b"BEARER", b"bEaReR  "])
def test_scheme_is_case_insensitive_and_key_is_not(scheme: bytes) -> None:
    assert parse_key([scheme + b" kEy.1~+/="]) == "kEy.1~+/="


@given(st.lists(st.binary(max_size=20) | st.just(b"Bearer k"), max_size=3))
@example([b"Bearer"])
@example([b"Bearer "])
@example([b"Bearerkey"])
@example([b"Basic key"])
@example([b"Bearer a b"])
@example([b"Bearer a, Bearer a"])
@example([b"Bearer\tkey"])
@example([b"Bearer \xff"])
@example([b"Bearer a\x00"])
def test_only_one_bearer_token_is_a_key(values: list[bytes]) -> None:
    """Guard against a request that is attributed by a part of a malformed or repeated header."""
    key = parse_key(values)
    if isinstance(key, KeyFault):
        assert (key is KeyFault.MISSING) == (not values)
        assert (key is KeyFault.DUPLICATED) == (len(values) > 1)
        return
    (value,) = values
    scheme, token = value.split()
    assert (scheme.lower(), token.decode()) == (b"bearer", key)
