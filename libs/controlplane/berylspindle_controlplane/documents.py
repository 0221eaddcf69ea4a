"""Keys and values of the control plane in the configuration store.

Terms:
  view key            views/<data centre>, changed only by compare-and-swap
  configuration key   config/current, a single document that contains its revision

Readers report and ignore values that cannot be decoded, so that an invalid value, such as one
written by hand, does not stop a VM that already has a valid one.
"""

from __future__ import annotations

from typing import Final

from berylspindle_model import codec
from berylspindle_model.topology import View

CONFIGURATION_PREFIX: Final = "config/"
CONFIGURATION_KEY: Final = "config/current"
VIEWS_PREFIX: Final = "views/"


def view_key(data_centre: str) -> str:
    """Return the store key of a data centre's view."""
    return VIEWS_PREFIX + data_centre


def view_to_value(view: View) -> bytes:
    """Encode a view for the store."""
    return codec.to_json(view)


def view_from_value(value: bytes) -> View:
    """Decode a view from the store. Raises codec.MalformedError."""
    return codec.from_json(value, View)
