"""Test the encoding of shard positions in relayed requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from berylspindle_forwarding.request_head import pack_positions, unpack_positions


@given(st.sets(st.integers(min_value=0, max_value=4000)))
def test_positions_round_trip(positions: set[int]) -> None:
    assert unpack_positions(pack_positions(positions)) == tuple(sorted(positions))


@given(st.binary(max_size=40))
def test_arbitrary_bytes_are_decoded_without_an_error(value: bytes) -> None:
    assert all(position >= 0 for position in unpack_positions(value))
