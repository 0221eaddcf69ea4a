"""Classify the complete reply of a replica.

Terms:
  answer        a signed success
  refused       the replica states that it has not run the request
  misdirected   the address belongs to another replica, which has not run the request
  final         a signed client error: the request itself is invalid
  failure       a signed failure of the replica; another replica may succeed
  foreign       a reply to another request or outside the protocol; the request may have run

Flow: `classify` uses only status and headers, by the names of the dialect.

Guards: a replica may send a late second reply in place of the next one; its request id differs. A
success that is unsigned, or in an encoding that was not requested, isn't the replica's own body.
Neither may reach a caller as a success.
"""

from __future__ import annotations

import enum

from berylspindle_forwarding.dialect import Dialect
from berylspindle_forwarding.request_head import ForwardRequest
from berylspindle_wire.exchange import ExchangeReply


class ReplyClass(enum.StrEnum):
    """Class of a reply."""

    ANSWER = "answer"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    FINAL = "final"
    FAILURE = "failure"
    FOREIGN = "foreign"


def classify(reply: ExchangeReply, request: ForwardRequest, dialect: Dialect) -> ReplyClass:
    """Return the class of a reply to a request."""
    echoed_id = reply.header(dialect.request_id)
    if echoed_id is not None and echoed_id.encode("latin-1") != request.request_id:
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
