"""Read a caller's request head, and build the request to a replica.

Flow: `read_forward` parses the headers that this VM uses; `replica_request` builds the request to
one replica, with the caller's method, target and body unchanged.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final

import attrs

from berylspindle_forwarding.dialect import HOP_HEADERS, Dialect
from berylspindle_model.digits import parse_digits
from berylspindle_model.routing import Organisation
from berylspindle_wire.exchange import ExchangeRequest
from berylspindle_wire.http import HttpRequest

MAX_TIME_LEFT_MS: Final = 600_000

_HEX: Final = re.compile(rb"[0-9a-f]{1,1024}")

RELAY_TABLE: Final = b"x-relay-table"
RELAY_AIM: Final = b"x-relay-aim-ms"
RELAY_SHARDS: Final = b"x-relay-shards"
RELAY_LOAD: Final = b"x-relay-load"
RELAY_UNRUN: Final = b"x-relay-unrun"
"""Headers between VMs. From the origin: its table version, the time to its aim, and the requested
shards unless all are requested. From the merger: its requests in flight, and a mark that it has not
begun the request."""


@attrs.frozen
class RelayInfo:
    """Relay headers of a request from another VM.

    `shards` are positions in the route's list of shards; empty means all shards.
    """

    table: int
    aim_ms: float
    shards: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class ForwardRequest:
    """One caller's request.

    Attributes:
        request_id: the caller's id for this try, or empty.
        left_ms: how long the caller still waits, or None if not stated.
        forwarded_headers: headers except hop-by-hop headers and those set anew on each hop.
        relayed: None if the request is from a caller and not from another VM.
        organisation: organisation of the caller, or None if none is known.
    """

    method: bytes
    target: bytes
    host: str
    path: str
    request_id: bytes
    left_ms: float | None
    forwarded_headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    relayed: RelayInfo | None = None
    organisation: Organisation | None = None

    def with_organisation(
        self,
        organisation: Organisation | None,
        forwarded_headers: tuple[tuple[bytes, bytes], ...],
    ) -> ForwardRequest:
        """Return a copy with an organisation and other headers.

        It is made once for each request; `attrs.evolve` takes twice as long.
        """
        return ForwardRequest(
            method=self.method,
            target=self.target,
            host=self.host,
            path=self.path,
            request_id=self.request_id,
            left_ms=self.left_ms,
            forwarded_headers=forwarded_headers,
            body=self.body,
            relayed=self.relayed,
            organisation=organisation,
        )


def read_forward(request: HttpRequest, dialect: Dialect) -> ForwardRequest:
    """Parse a raw request; invalid values of optional headers are ignored."""
    request_id, left_ms, host = b"", None, ""
    relay_table, relay_aim = None, None
    relay_shards: tuple[int, ...] = ()
    forwarded_headers: list[tuple[bytes, bytes]] = []
    hop = set(HOP_HEADERS)
    for name, value in request.raw_headers:
        if name == b"connection":
            # Headers listed in the connection header are hop-by-hop as well.
            hop |= {part.strip().lower() for part in value.split(b",")}
    for name, value in request.raw_headers:
        if name == dialect.time_left:
            left_ms = _milliseconds(value)
            continue
        if name in hop or name == dialect.expected:
            continue
        if name == RELAY_TABLE:
            relay_table = parse_digits(value)
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
        forwarded_headers.append((name, value))
    return ForwardRequest(
        method=request.method.encode("latin-1"),
        target=request.target.encode("latin-1"),
        host=host.lower(),
        path=request.target.partition("?")[0],
        request_id=request_id,
        left_ms=left_ms,
        forwarded_headers=tuple(forwarded_headers),
        body=request.body,
        relayed=(
            RelayInfo(relay_table, relay_aim, relay_shards)
            if relay_table is not None and relay_aim is not None
            else None
        ),
    )


def replica_request(
    request: ForwardRequest, dialect: Dialect, *, replica: str, left_ms: float
) -> ExchangeRequest:
    """Return the request to one replica, with the time left in its header."""
    headers = (
        *request.forwarded_headers,
        (dialect.time_left, b"%d" % max(1, int(left_ms))),
        (dialect.expected, replica.encode("latin-1")),
    )
    return ExchangeRequest(request.method, request.target, headers, request.body)


def pack_positions(positions: Iterable[int]) -> bytes:
    """Encode positions as a hexadecimal bit set."""
    return b"%x" % sum(1 << position for position in positions)


def unpack_positions(value: bytes) -> tuple[int, ...]:
    """Decode positions encoded by `pack_positions`; return () if the value is malformed."""
    if not _HEX.fullmatch(value):
        return ()
    bits = int(value, 16)
    return tuple(n for n in range(bits.bit_length()) if bits >> n & 1)


def _milliseconds(value: bytes) -> float | None:
    ms = parse_digits(value.strip())
    return float(min(ms, MAX_TIME_LEFT_MS)) if ms is not None else None
