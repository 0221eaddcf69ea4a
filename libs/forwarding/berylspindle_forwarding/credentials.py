"""Determine the organisation of a request, and set the header that names it to replicas.

Flow: `authenticate` parses the key of a caller's request with `parse_key` and looks up its
organisation; `accept_relayed` takes the organisation that the origin of a relayed request has
determined. Both remove the authorization headers, and afterwards no part of the request holds the
key.

Guard: the reasons of a failure are constants and quote no header, so that a key never gets into a
log line through them.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import Final

from berylspindle_forwarding.dialect import Dialect
from berylspindle_forwarding.request_head import ForwardRequest
from berylspindle_model.key_faults import KeyFault
from berylspindle_model.routing import Route, RoutingTable

AUTHORIZATION: Final = b"authorization"
"""Name of the header with the key, in lower case (RFC 9110, section 11.6.2)."""

_BEARER: Final = re.compile(rb"bearer +([\x21-\x7e\x80-\xff]+)", re.IGNORECASE)
"""The scheme in any case, and one token without spaces and control characters."""


def parse_key(values: Sequence[bytes]) -> str | KeyFault:
    """Return the key in the values of all authorization headers of a request, or the fault."""
    if not values:
        return KeyFault.MISSING
    match = _BEARER.fullmatch(values[0].strip(b" \t"))
    if match is None or len(values) > 1:
        return KeyFault.MALFORMED
    try:
        return match[1].decode()
    except UnicodeDecodeError:
        return KeyFault.MALFORMED


def authenticate(
    forward: ForwardRequest,
    raw_headers: Sequence[tuple[bytes, bytes]],
    route: Route,
    table: RoutingTable,
    dialect: Dialect,
) -> ForwardRequest | KeyFault:
    """Return a caller's request with its organisation in place of its key, or the fault.

    `raw_headers` are all headers of the request as received: a caller may declare a header as
    hop-by-hop, and it is then missing in `forward`. On a public route a request without a valid key
    has no organisation.
    """
    key = parse_key([value for name, value in raw_headers if name == AUTHORIZATION])
    fault = key if isinstance(key, KeyFault) else KeyFault.UNKNOWN
    organisation = None if isinstance(key, KeyFault) else table.find_organisation(key)
    if organisation is None and not route.public:
        return fault
    dropped = (AUTHORIZATION, dialect.organisation)
    headers = [header for header in forward.forwarded_headers if header[0] not in dropped]
    if organisation is not None:
        headers.append((dialect.organisation, organisation.name.encode()))
    return forward.with_organisation(organisation, tuple(headers))


def accept_relayed(
    forward: ForwardRequest, table: RoutingTable, dialect: Dialect
) -> ForwardRequest:
    """Return a relayed request with the organisation that its origin has determined."""
    names = [value for name, value in forward.forwarded_headers if name == dialect.organisation]
    organisation = table.organisations.get(names[0].decode(errors="replace")) if names else None
    kept = tuple(header for header in forward.forwarded_headers if header[0] != AUTHORIZATION)
    return forward.with_organisation(organisation, kept)
