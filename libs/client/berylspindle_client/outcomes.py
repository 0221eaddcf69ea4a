"""Outcomes of a client call: the answer, a refusal, or a network failure.

Terms:
  refusal       a daemon responded with the reason and whether the request may have run
  unreachable   no daemon could be reached, so that none received the request
  unknown       the request was sent and no valid response arrived: it may have run

Flow: clients return the typed answer or one of these; network failures raise no exception.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

from berylspindle_model import codec
from berylspindle_model.caller_protocol import ErrorBody
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_wire.http import HttpResponse

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Refused:
    """A daemon refused the request."""

    kind: ErrorKind
    run: RunState
    text: str = ""
    detail: str = ""
    retry_after_ms: int | None = None
    request_id: str = ""
    daemon: str = ""


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No daemon was reached; nothing ran. `tried` lists the addresses."""

    tried: tuple[str, ...]
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Unknown:
    """No response arrived, or it can't be decoded; the request may have run."""

    daemon: str
    detail: str


Failure = Refused | Unreachable | Unknown


def read_answer(response: HttpResponse, kind: type[T], daemon: str) -> T | Refused | Unknown:
    """Return the typed answer of a 200 response, or the refusal of any other status.

    Return `Unknown` if the body can't be decoded, since it is then unclear whether the request ran.
    """
    if response.status != 200:
        return read_refusal(response, daemon)
    try:
        return codec.from_json(response.body, kind)
    except codec.MalformedError as error:
        # The checker of histories looks for "can't be read" in this text.
        return Unknown(daemon, f"the response body can't be read: {error}")


def read_refusal(response: HttpResponse, daemon: str) -> Refused | Unknown:
    """Return the refusal in a response, or `Unknown` if it can't be decoded."""
    try:
        body = codec.from_json(response.body, ErrorBody)
    except codec.MalformedError as error:
        return Unknown(daemon, f"status {response.status}, the body can't be read: {error}")
    return Refused(
        kind=body.error.kind,
        run=body.error.run,
        text=body.error.text,
        detail=body.error.detail,
        retry_after_ms=body.error.retry_after_ms,
        request_id=body.request_id,
        daemon=daemon,
    )
