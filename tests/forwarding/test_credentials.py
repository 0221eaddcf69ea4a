"""Test the parsing of API keys."""

from __future__ import annotations

from hypothesis import example, given
from hypothesis import strategies as st

from berylspindle_forwarding.credentials import parse_key
from berylspindle_model.key_faults import KeyFault


@given(st.lists(st.binary(max_size=20) | st.just(b"bEaReR  kEy.1~+/="), max_size=3))
@example([b"Bearer"])
@example([b"Bearerkey"])
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
        assert values != [b"bEaReR  kEy.1~+/="]
        return
    scheme, token = values[0].split()
    assert (len(values), scheme.lower(), token.decode()) == (1, b"bearer", key)
