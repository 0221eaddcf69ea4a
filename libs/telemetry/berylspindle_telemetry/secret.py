"""Wrap keys and tokens so that they are not printed or logged.

Flow: settings read a secret from a file or the environment into a `Secret`; only code that signs or
compares calls `reveal`. Printing, logging or formatting a `Secret` gives `***`.
"""

from __future__ import annotations

import hmac
from typing import Final

MASK: Final = "***"


class Secret:
    """A secret that is masked in all its representations."""

    __slots__ = ("_value",)

    def __init__(self, value: str) -> None:
        self._value = value

    def reveal(self) -> str:
        """Return the secret in plain text; the result must not be logged or formatted."""
        return self._value

    def matches(self, candidate: str) -> bool:
        """Return whether `candidate` is the secret, in constant time against timing attacks."""
        return hmac.compare_digest(self._value.encode(), candidate.encode())

    def __repr__(self) -> str:
        return MASK

    def __str__(self) -> str:
        return MASK

    def __format__(self, spec: str) -> str:
        return MASK

    def __reduce__(self) -> str:
        raise TypeError("a Secret cannot be serialised")
