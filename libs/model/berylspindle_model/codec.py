"""Encode and decode typed messages: JSON at the edges, MessagePack between peers.

Both forms use msgspec and the same attrs classes, so that a message has one definition. Decoding
checks all types and raises `DecodeError` with the path of the first mismatch; the edges report it
as BAD_REQUEST or BAD_REPLY.
"""

from __future__ import annotations

from typing import Any, Final, TypeVar

import msgspec

T = TypeVar("T")

DecodeError: Final = msgspec.ValidationError
MalformedError: Final = msgspec.DecodeError

_JSON: Final = msgspec.json.Encoder()
_SORTED_JSON: Final = msgspec.json.Encoder(order="sorted")
_MSGPACK: Final = msgspec.msgpack.Encoder()


_JSON_DECODERS: Final[dict[object, msgspec.json.Decoder[Any]]] = {}
_MSGPACK_DECODERS: Final[dict[object, msgspec.msgpack.Decoder[Any]]] = {}


def to_json(message: object) -> bytes:
    """Return the JSON encoding of a message."""
    return _JSON.encode(message)


def from_json(data: bytes, kind: type[T]) -> T:
    """Return the message of type `kind` that is encoded in JSON.

    Raise MalformedError if the data is not valid JSON or nested too deeply, and its subclass
    DecodeError if a field is missing or has the wrong type.
    """
    decoder = _JSON_DECODERS.get(kind)
    if decoder is None:
        decoder = _JSON_DECODERS[kind] = msgspec.json.Decoder(kind)
    message: T = _decode(decoder, data)
    return message


def to_msgpack(message: object) -> bytes:
    """Return the MessagePack encoding of a message."""
    return _MSGPACK.encode(message)


def from_msgpack(data: bytes, kind: type[T]) -> T:
    """Return the message of type `kind` that is encoded in MessagePack.

    Raise the same errors as `from_json`.
    """
    decoder = _MSGPACK_DECODERS.get(kind)
    if decoder is None:
        decoder = _MSGPACK_DECODERS[kind] = msgspec.msgpack.Decoder(kind)
    message: T = _decode(decoder, data)
    return message


def to_sorted_json(message: object) -> bytes:
    """Return the JSON encoding with sorted object keys; equal contents give equal bytes."""
    return _SORTED_JSON.encode(message)


def _decode(decoder: msgspec.json.Decoder[T] | msgspec.msgpack.Decoder[T], data: bytes) -> T:
    try:
        message: T = decoder.decode(data)
    except RecursionError as error:
        # msgspec skips the values of unknown fields recursively.
        raise MalformedError("the value is nested too deeply") from error
    return message
