"""Validate the head of an HTTP/1.1 message and decode a request's head.

Terms:
  head       start line and headers, up to the empty line
  obs-fold   a header continued on a line that starts with a space, obsolete since RFC 7230
  smuggling  two programs on one path read different message boundaries from the same bytes, so
             that the tail of one caller's request is taken for the start of another's

Flow: the server validates each head before h11 parses it. h11 is lenient where RFC 9112 allows
it: it unfolds obs-fold, accepts a bare LF as line end, and merges equal Content-Length headers. In
each of these cases a load balancer in front may have read another boundary, so all are rejected.
The client validates replies in the same way.
"""

from __future__ import annotations

import re
from typing import Final
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from berylspindle_model.errors import ErrorKind, Refusal
from berylspindle_wire.http import HttpRequest

HEAD_END: Final = b"\r\n\r\n"

_ILLEGAL_BYTES: Final = re.compile(
    rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]"  # Control characters, including NUL.
    rb"|(?<!\r)\n"  # A bare LF.
    rb"|\r(?!\n|\Z)"  # A bare CR, except as the last byte: its LF may not have been received.
    rb"|\n[ \t]"  # A folded header (obs-fold).
)
_SINGLETON_HEADERS: Final = (b"\r\nhost:", b"\r\ncontent-length:", b"\r\ntransfer-encoding:")
_CONTENT_LENGTH: Final = re.compile(rb"\r\ncontent-length:[ \t]*([^\r]*?)[ \t]*\r")
_BAD_ESCAPE: Final = re.compile(r"%(?![0-9A-Fa-f]{2})")


class RequestFault(Exception):  # noqa: N818
    """A request that could not be read, with its refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal: Final = refusal


def bad_request(detail: str) -> RequestFault:
    """Return the exception for a malformed request."""
    return RequestFault(Refusal(ErrorKind.BAD_REQUEST, detail))


def illegal_bytes(head: bytes | bytearray) -> bool:
    """Return whether a head, or the part of it received so far, contains illegal bytes."""
    return _ILLEGAL_BYTES.search(head) is not None


def framing_fault(head: bytes) -> str | None:
    """Return what makes the message boundary ambiguous in a complete head, or None."""
    if illegal_bytes(head):
        return "illegal character, bare line end or folded header"
    lowercase_head = head.lower()
    for name in _SINGLETON_HEADERS:
        if lowercase_head.count(name) > 1:
            return f"more than one {name[2:-1].decode()} header"
    content_length = _CONTENT_LENGTH.search(lowercase_head)
    if content_length is None:
        return None
    if not content_length[1].isdigit():
        return "content-length is not a number"
    if _SINGLETON_HEADERS[2] in lowercase_head:
        return "both content-length and transfer-encoding"
    return None


def read_head(event: h11.Request) -> HttpRequest:
    """Return the typed request, without its body, for a parsed head.

    Repeated headers are joined by a comma. Raise RequestFault if the target is invalid or
    ambiguous, such as a duplicate query parameter.
    """
    if event.http_version not in (b"1.0", b"1.1"):
        raise bad_request("unsupported HTTP version")
    headers: dict[str, str] = {}
    for raw_name, raw_value in event.headers:
        name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    if event.http_version == b"1.0" and "transfer-encoding" in headers:
        raise bad_request("transfer-encoding in an HTTP/1.0 request")
    target = event.target.decode("latin-1")
    if not target.startswith("/"):
        target = _origin_form(target, headers.get("host", ""))
    path, _, query = target.partition("?")
    return HttpRequest(
        method=event.method.decode("latin-1"),
        path=_decode(path),
        headers=headers,
        query=_read_query(query) if query else {},
    )


def read_raw_head(event: h11.Request) -> HttpRequest:
    """Return a request to forward: nothing in it is decoded, joined or rejected."""
    return HttpRequest(
        method=event.method.decode("latin-1"),
        path="",
        target=event.target.decode("latin-1"),
        raw_headers=tuple(event.headers),
    )


def _origin_form(target: str, host: str) -> str:
    """Return the path and query of a target not in origin form ("*" or an absolute URL)."""
    if target == "*":
        return target
    try:
        parts = urlsplit(target)
    except ValueError as error:
        raise bad_request("target is not a valid URL") from error
    if parts.scheme not in ("http", "https") or parts.netloc != host:
        raise bad_request("target is neither a path nor a URL of this host")
    return f"{parts.path or '/'}?{parts.query}" if parts.query else parts.path or "/"


def _decode(text: str) -> str:
    if "%" not in text:
        return text
    if _BAD_ESCAPE.search(text):
        raise bad_request("invalid percent escape")
    try:
        decoded = unquote(text, errors="strict")
    except UnicodeDecodeError as error:
        raise bad_request("target is not valid UTF-8") from error
    if "\0" in decoded:
        raise bad_request("NUL in target")
    return decoded


def _read_query(query: str) -> dict[str, str]:
    if _BAD_ESCAPE.search(query):
        raise bad_request("invalid percent escape")
    try:
        pairs = parse_qsl(query, keep_blank_values=True, errors="strict")
    except ValueError as error:
        raise bad_request("query cannot be decoded") from error
    parameters = dict(pairs)
    if len(parameters) != len(pairs):
        raise bad_request("duplicate query parameter")
    return parameters
