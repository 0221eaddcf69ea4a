"""What one VM tells another of a request that it passes on."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from berylspindle_forwarding.request_head import pack_positions, unpack_positions


@given(st.sets(st.integers(min_value=0, max_value=4000)))
def test_positions_are_unpacked_as_they_were_packed(positions: set[int]) -> None:
    assert unpack_positions(pack_positions(positions)) == tuple(sorted(positions))


@given(st.binary(max_size=40))
def test_any_bytes_are_read_without_a_fault(value: bytes) -> None:
    assert all(position >= 0 for position in unpack_positions(value))
