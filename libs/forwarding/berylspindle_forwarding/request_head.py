"""What the edge reads out of a caller's request, and what goes on to a replica.

Flow: `read_forward` checks the headers that the edge itself uses; `replica_request` writes the
request anew for one replica, with the caller's method, target and body unchanged.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final

import attrs

from berylspindle_forwarding.dialect import HOP_HEADERS, Dialect
from berylspindle_wire.exchange import ExchangeRequest
from berylspindle_wire.http import HttpRequest

MOST_MS: Final = 600_000

_HEX: Final = re.compile(rb"[0-9a-f]{1,1024}")

RELAY_TABLE: Final = b"x-relay-table"
RELAY_AIM: Final = b"x-relay-aim-ms"
RELAY_SHARDS: Final = b"x-relay-shards"
RELAY_LOAD: Final = b"x-relay-load"
RELAY_UNRUN: Final = b"x-relay-unrun"
"""Headers between VMs: the origin's table version, the time to its aim, and the shards that are
asked for where these are not all; the merger's work under way, and its word that it has not begun
the request."""


@attrs.frozen
class Relayed:
    """What another VM says of a request that it passes on to this one.

    `shards` holds positions in the route's list of shards; empty for all of them.
    """

    table: int
    aim_ms: float
    shards: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class ForwardRequest:
    """One caller's request.

    Attributes:
        request_id: the caller's name for this try, or empty.
        left_ms: how long the caller still waits, or None where it does not say.
        passed_on: its headers but those of the hop and those that are set anew.
        relayed: None where it comes from a caller, and not from another VM.
    """

    method: bytes
    target: bytes
    host: str
    path: str
    request_id: bytes
    left_ms: float | None
    passed_on: tuple[tuple[bytes, bytes], ...]
    body: bytes
    relayed: Relayed | None = None


def read_forward(request: HttpRequest, dialect: Dialect) -> ForwardRequest:
    """Return what the edge needs of a request that was read raw."""
    request_id, left_ms, host = b"", None, ""
    relay_table, relay_aim = None, None
    relay_shards: tuple[int, ...] = ()
    passed_on: list[tuple[bytes, bytes]] = []
    hop = set(HOP_HEADERS)
    for name, value in request.raw_headers:
        if name == b"connection":
            # Headers that the connection header names concern this hop alone too.
            hop |= {part.strip().lower() for part in value.split(b",")}
    for name, value in request.raw_headers:
        if name == dialect.time_left:
            left_ms = _milliseconds(value)
            continue
        if name in hop or name == dialect.expected:
            continue
        if name == RELAY_TABLE:
            relay_table = _whole(value)
            continue
        if name == RELAY_AIM:
            relay_aim = _milliseconds(value)
            continue
        if name == RELAY_SHARDS:
            relay_shards = unpack_positions(value)
            continue
        if name == dialect.request_id:
            request_id = value
        elif name == b"host":
            host = value.decode("latin-1").lower().rpartition(":")[0] or value.decode("latin-1")
        passed_on.append((name, value))
    return ForwardRequest(
        method=request.method.encode("latin-1"),
        target=request.target.encode("latin-1"),
        host=host.lower(),
        path=request.target.partition("?")[0],
        request_id=request_id,
        left_ms=left_ms,
        passed_on=tuple(passed_on),
        body=request.body,
        relayed=(
            Relayed(relay_table, relay_aim, relay_shards)
            if relay_table is not None and relay_aim is not None
            else None
        ),
    )


def replica_request(
    request: ForwardRequest, dialect: Dialect, *, replica: str, left_ms: float
) -> ExchangeRequest:
    """Return the request as it goes to one replica, with the time that is left."""
    headers = (
        *request.passed_on,
        (dialect.time_left, b"%d" % max(1, int(left_ms))),
        (dialect.expected, replica.encode("latin-1")),
    )
    return ExchangeRequest(request.method, request.target, headers, request.body)


def pack_positions(positions: Iterable[int]) -> bytes:
    """Return positions as hexadecimal bits."""
    return b"%x" % sum(1 << position for position in positions)


def unpack_positions(value: bytes) -> tuple[int, ...]:
    """Return the positions that `pack_positions` has packed; none where they can't be read."""
    if not _HEX.fullmatch(value):
        return ()
    bits = int(value, 16)
    return tuple(n for n in range(bits.bit_length()) if bits >> n & 1)


def _milliseconds(value: bytes) -> float | None:
    text = value.strip()
    if not text.isdigit():
        return None
    return float(min(int(text), MOST_MS))


def _whole(value: bytes) -> int | None:
    return int(value) if value.isdigit() else None
