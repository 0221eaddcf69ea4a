"""Report addresses that can't exist as those that can't be reached."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def invalid_address_as_os_error(host: str, port: int) -> Iterator[None]:
    """Raise OSError in place of the ValueError or OverflowError for an invalid host or port.

    Addresses come from entries that others write. The tasks that connect expect OSError only, and
    requests would wait for a connection that nothing opens.
    """
    try:
        yield
    except (ValueError, OverflowError) as error:
        raise OSError(f"invalid address {host!r}:{port}: {error}") from error
