"""The names of headers and statuses that callers, replicas and this program use for one thing.

Terms:
  dialect   one set of names; the default is this project's own, an adapter brings another
  hop       one connection; headers of a hop concern nobody beyond it

Flow: everything that reads or writes a header takes its name from the `Dialect` that it was given,
so that a platform with other names needs another value and no other code.
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
"""Headers that are not passed on; a body's length is stated anew on each hop."""


@attrs.frozen(kw_only=True)
class Dialect:
    """Header names in lower case, and statuses with a meaning of their own.

    Attributes:
        request_id: names one try of a caller; replicas repeat it.
        time_left: milliseconds that whoever sends still waits.
        expected: id of the replica that a request is meant for; any other refuses it.
        not_run: in a replica's answer: it has not run the request.
        signature: in a replica's answer: its proof of the answer, passed on unchanged.
        load: in a replica's answer: running, waiting and slots, separated by commas.
        parts: in a merged answer: the signatures of the parts, separated by commas.
        absent: in a merged answer: how many shards it lacks.
        misdirected: status of a replica that is not the expected one and did not run the request.
    """

    request_id: bytes = REQUEST_ID_HEADER.encode()
    time_left: bytes = DEADLINE_HEADER.encode()
    expected: bytes = b"x-expected-replica"
    not_run: bytes = b"x-not-run"
    signature: bytes = b"x-replica-signature"
    load: bytes = b"x-replica-load"
    parts: bytes = b"x-part-signatures"
    absent: bytes = b"x-parts-absent"
    misdirected: int = 421
