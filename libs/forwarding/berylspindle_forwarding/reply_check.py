"""Tell what a replica's whole reply means for the request that waits for it.

Terms:
  answer        a success with the replica's signature
  refused       the replica says that it has not run the request
  misdirected   another replica has the address; it has not run the request either
  final         a failure that lies in the request itself
  failure       a failure of the replica, signed; another replica may do better
  foreign       the reply to another request, or none of this protocol; nothing is known

Flow: `classify` looks at status and headers alone, by the dialect.

Guards: a replica may send a second reply late, where the next one is expected; it names another
request. A success without a signature, or in an encoding that nobody asked for, is not the
replica's own body. None of these may reach a caller as a success.
"""

from __future__ import annotations

import enum

from berylspindle_forwarding.dialect import Dialect
from berylspindle_forwarding.request_head import ForwardRequest
from berylspindle_wire.exchange import ExchangeReply


class ReplyClass(enum.StrEnum):
    """What a reply means."""

    ANSWER = "answer"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    FINAL = "final"
    FAILURE = "failure"
    FOREIGN = "foreign"


def classify(reply: ExchangeReply, request: ForwardRequest, dialect: Dialect) -> ReplyClass:
    """Return what a reply means for a request."""
    named = reply.header(dialect.request_id)
    if named is not None and named.encode("latin-1") != request.request_id:
        return ReplyClass.FOREIGN
    if reply.status == dialect.misdirected:
        return ReplyClass.MISDIRECTED
    if reply.header(dialect.not_run) is not None:
        return ReplyClass.REFUSED
    signed = bool(reply.header(dialect.signature))
    if 200 <= reply.status < 300:
        encoded = reply.header(b"content-encoding") not in (None, "identity")
        return ReplyClass.ANSWER if signed and not encoded else ReplyClass.FOREIGN
    if not signed:
        return ReplyClass.FOREIGN
    return ReplyClass.FINAL if 400 <= reply.status < 500 else ReplyClass.FAILURE
