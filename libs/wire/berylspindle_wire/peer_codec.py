"""The frames between peers and their codec for grpclib.

Terms:
  link    one long-lived bidirectional stream from an entry to an owner
  frame   one message on a link, in either direction; all its members are optional

Flow: the entry writes batches, cancellations and pings; the owner writes replies, pongs and, before
it shuts down, `closing`. A frame carries everything that became ready in one loop iteration, since
a grpclib message costs far more than an additional reply in one.
"""

from __future__ import annotations

from typing import Any, Final

import attrs
from grpclib.encoding.base import CodecBase

from berylspindle_model.codec import from_msgpack, to_msgpack
from berylspindle_model.messages import AttemptBatch, AttemptReply

LINK_PATH: Final = "/berylspindle.Peer/Link"
CONTROL_PATH: Final = "/berylspindle.Control/"

FRAME_ITEMS: Final = 128
"""Number of attempts or replies after which a frame is full. Encoding and decoding a frame blocks
the event loop; one of 800 replies takes 5 ms."""


@attrs.frozen(kw_only=True)
class PeerFrame:
    """One message on a link.

    Attributes:
        batches: work for the owner.
        replies: results of attempts, at most one each.
        cancel: ids of attempts whose replies are no longer needed.
        ping: a number that the owner echoes at once.
        pong: the number of the ping that is answered.
        closing: the owner is shutting down; the entry submits no more work here and ends the link.
    """

    batches: tuple[AttemptBatch, ...] = ()
    replies: tuple[AttemptReply, ...] = ()
    cancel: tuple[str, ...] = ()
    ping: int | None = None
    pong: int | None = None
    closing: bool = False


class PeerCodec(CodecBase):
    """MessagePack for typed messages; bytes, the payloads of control calls, pass unchanged."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message."""
        if message_type is bytes:
            return bytes(message)
        return to_msgpack(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the decoded message; raise as `from_msgpack` does."""
        if message_type is bytes:
            return data
        return from_msgpack(data, message_type)
