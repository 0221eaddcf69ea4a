"""Compressed transfer of large values between mirrors.

Terms:
  large value   a value of more than `COMPRESS_ABOVE_BYTES`, with its compressed form
  position      index of an entry, within a response, whose value is sent in compressed form

Flow: a mirror holds the entries that `with_large_value` returns. For each response it calls
`compress_entries`, which compresses a large value at its first transfer only; the compressed form
lives as long as the value. The reader calls `decompress_entries`, whose values keep the form in
which they were received, so that a mirror which follows a mirror passes it on.

Guard: a configuration of 40 KB that 26 followers receive at once occupies a link of 100 Mbit/s for
80 ms, in which the other responses of the VM wait.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Final, Self

import attrs

from berylspindle_model import codec
from berylspindle_store.store import StoredValue

COMPRESS_ABOVE_BYTES: Final = 8 * 1024
"""Longest value that is sent as it is. Entries of replicas and VMs have some hundred bytes, and
small configurations a few kilobytes."""

COMPRESSION_LEVEL: Final = 5
"""Level of zlib. For configurations of 33 to 42 KB it takes 0.6 to 1.2 ms and gives 5.2 to 10.5 KB;
level 1 gives 14% to 23% more in 0.4 to 0.6 ms, and level 9 5% to 9% less in 2.4 to 4.2 ms, which
delays the other requests of the VM."""


class LargeValue(bytes):
    """A value that is sent in compressed form; it equals the plain `bytes` of the same content."""

    _compressed: bytes | None = None

    @property
    def compressed(self) -> bytes:
        """Return the compressed form, which is made at the first use."""
        if self._compressed is None:
            self._compressed = zlib.compress(self, COMPRESSION_LEVEL)
        return self._compressed

    @classmethod
    def from_compressed(cls, data: bytes, max_bytes: int) -> Self:
        """Return the value whose compressed form is `data`.

        Raise codec.MalformedError if it is not exactly one stream of zlib, or if the value has more
        than `max_bytes`.
        """
        decompressor = zlib.decompressobj()
        try:
            # One byte more than allowed shows that a value is too long.
            value = cls(decompressor.decompress(data, max_bytes + 1))
        except zlib.error as error:
            raise codec.MalformedError(f"compressed value: {error}") from error
        if len(value) > max_bytes:
            raise codec.MalformedError(f"compressed value of more than {max_bytes} bytes")
        if not decompressor.eof or decompressor.unused_data:
            raise codec.MalformedError("compressed value is truncated or followed by other data")
        value._compressed = data
        return value


def with_large_value(entry: StoredValue) -> StoredValue:
    """Return the entry with a `LargeValue` if its value is large, or else the entry itself."""
    value = entry.value
    if value is None or len(value) <= COMPRESS_ABOVE_BYTES or isinstance(value, LargeValue):
        return entry
    return attrs.evolve(entry, value=LargeValue(value))


def compress_entries(
    entries: Iterable[StoredValue],
) -> tuple[tuple[StoredValue, ...], tuple[int, ...]]:
    """Return the entries with large values in compressed form, and the positions of these."""
    sent = list(entries)
    positions = [n for n, entry in enumerate(sent) if isinstance(entry.value, LargeValue)]
    for position in positions:
        value = sent[position].value
        assert isinstance(value, LargeValue)
        sent[position] = attrs.evolve(sent[position], value=value.compressed)
    return tuple(sent), tuple(positions)


def decompress_entries(
    entries: Iterable[StoredValue], positions: Iterable[int], max_bytes: int
) -> tuple[StoredValue, ...]:
    """Return the entries of a response with the values at `positions` decompressed.

    Raise codec.MalformedError if a position or value is invalid, or if the decompressed values have
    more than `max_bytes` together.
    """
    received = list(entries)
    for position in positions:
        data = received[position].value if 0 <= position < len(received) else None
        if data is None:
            raise codec.MalformedError(f"no compressed value at position {position}")
        value = LargeValue.from_compressed(data, max_bytes)
        max_bytes -= len(value)
        received[position] = attrs.evolve(received[position], value=value)
    return tuple(received)
