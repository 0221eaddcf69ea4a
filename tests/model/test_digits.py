"""Numbers in text from outside."""

from __future__ import annotations

import pytest

from berylspindle_model.digits import parse_digits, parse_port


@pytest.mark.parametrize(
    ("text", "number"),
    [("0", 0), (b"42", 42), ("9" * 18, 10**18 - 1), ("9" * 19, None), ("9" * 5000, None)]
    + [(text, None) for text in ("", b"", "-1", "+1", " 1", "1_0", "1.0", "²", "٣", b"\xb2")],
)
def test_only_ascii_digits_are_a_number(text: str | bytes, number: int | None) -> None:
    """Guard against `int` raising ValueError for text that `str.isdigit` accepts."""
    assert parse_digits(text) == number


@pytest.mark.parametrize(
    ("text", "port"), [("1", 1), ("65535", 65535), ("0", None), ("65536", None)]
)
def test_ports_have_sixteen_bits(text: str, port: int | None) -> None:
    assert parse_port(text) == port
