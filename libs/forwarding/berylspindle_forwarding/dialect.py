"""Define the header names and statuses of the protocol with callers and replicas.

Terms:
  dialect   one set of names; the default is this project's, an adapter may define another

Flow: code that reads or writes a header takes the name from its `Dialect`, so a platform with other
names needs only another value.
"""

from __future__ import annotations

from typing import Final

import attrs

from berylspindle_model.caller_protocol import DEADLINE_HEADER, REQUEST_ID_HEADER

HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
"""Hop-by-hop headers, which are not forwarded; each hop sets its own content-length."""


@attrs.frozen(kw_only=True)
class Dialect:
    """Header names in lower case, and statuses with a special meaning.

    Attributes:
        request_id: identifies one try of a caller; replicas echo it.
        time_left: how long the sender still waits, in milliseconds.
        expected: id of the replica that the request is addressed to; any other refuses it.
        not_run: in a replica's reply: the request was not run.
        signature: in a replica's reply: signature of the answer, forwarded unchanged.
        load: in a replica's reply: running, waiting and slots, separated by commas.
        parts: in a merged answer: the signatures of its parts, separated by commas.
        absent: in a merged answer: the number of missing shards.
        organisation: to replicas: name of the organisation whose key the caller sent.
        misdirected: status of a replica that isn't the expected one and did not run the request.
    """

    request_id: bytes = REQUEST_ID_HEADER.encode()
    time_left: bytes = DEADLINE_HEADER.encode()
    expected: bytes = b"x-expected-replica"
    not_run: bytes = b"x-not-run"
    signature: bytes = b"x-replica-signature"
    load: bytes = b"x-replica-load"
    parts: bytes = b"x-part-signatures"
    absent: bytes = b"x-parts-absent"
    organisation: bytes = b"x-organisation"
    misdirected: int = 421
