"""Page tokens: position of the next page of a search, and its snapshot.

A token pins the snapshot of the first page, so that the pages of one search never mix snapshots. If
that snapshot is gone, the search is refused as SNAPSHOT_GONE and the caller must start again. A
token contains no secret and grants no rights: its format, service, query and offset are validated,
so a forged token reads no more than a plain search.
"""

from __future__ import annotations

import base64
import binascii
from typing import Final

import attrs
import xxhash

from berylspindle_model import codec
from berylspindle_model.errors import ErrorKind, refuse
from berylspindle_model.snapshot import Snapshot

MAX_TOKEN_CHARS: Final = 256
# Maximum offset plus limit. Every shard sorts and returns that many hits, so a deep page costs work
# at every shard of the service.
MAX_DEPTH: Final = 1000


@attrs.frozen(kw_only=True)
class PagePosition:
    """Start of a page: `offset` hits into the merged order of `snapshot`."""

    snapshot: Snapshot
    offset: int
    search: int


def search_hash(service: str, query: str) -> int:
    """Return the hash that binds a token to one service and query."""
    return xxhash.xxh64_intdigest(f"{service}\x00{query}".encode()) >> 1


def encode_page(position: PagePosition) -> str:
    """Return the token of a position."""
    return base64.urlsafe_b64encode(codec.to_msgpack(position)).decode().rstrip("=")


def decode_page(token: str, *, service: str, query: str) -> PagePosition:
    """Return the position encoded in a token.

    Raises RefusalError BAD_REQUEST if the token is malformed, too deep or of another search.
    """
    if len(token) > MAX_TOKEN_CHARS:
        raise refuse(ErrorKind.BAD_REQUEST, "the page token is too long")
    try:
        padded = token + "=" * (-len(token) % 4)
        position = codec.from_msgpack(base64.urlsafe_b64decode(padded), PagePosition)
    except (binascii.Error, ValueError, codec.MalformedError):
        raise refuse(ErrorKind.BAD_REQUEST, "the page token is malformed") from None
    if position.search != search_hash(service, query):
        raise refuse(ErrorKind.BAD_REQUEST, "the page token belongs to another search")
    if not 0 <= position.offset < MAX_DEPTH:
        raise refuse(ErrorKind.BAD_REQUEST, "the page token's offset is out of range")
    return position
