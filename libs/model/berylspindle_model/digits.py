"""Parse numbers in text from outside.

A check with `str.isdigit` before `int` isn't enough: it accepts characters such as a superscript
two, and `int` raises ValueError for these and for text of more than 4,300 digits.
"""

from __future__ import annotations

from typing import Final

MAX_DIGITS: Final = 18
"""Digits of the longest accepted number, which fits in 64 bits."""

MAX_PORT: Final = 65_535


def parse_digits(text: str | bytes) -> int | None:
    """Return the number in ASCII digits, or None for any other text or too many digits."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def parse_port(text: str) -> int | None:
    """Return a port from 1 to 65535, or None for any other text."""
    port = parse_digits(text)
    return port if port is not None and 0 < port <= MAX_PORT else None
