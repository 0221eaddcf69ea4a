"""Convert refusals to HTTP responses.

Terms:
  refusal   the failure of a request, with its `ErrorKind`

Flow: the HTTP server, the data plane and the operators' interface all call `refusal_response`, so
that a caller gets every error in the same format, whichever component failed the request.
"""

from __future__ import annotations

from berylspindle_model.caller_protocol import REQUEST_ID_HEADER, ErrorBody, ErrorDetails
from berylspindle_model.codec import to_json
from berylspindle_model.errors import ANSWERS, Refusal
from berylspindle_wire.http import JSON_TYPE, HttpResponse


def refusal_response(refusal: Refusal, request_id: str = "") -> HttpResponse:
    """Return the error response for a refusal.

    The `retry-after` header carries whole seconds, rounded up, since HTTP has no smaller unit; the
    body's `retry_after_ms` is exact. `request_id`, if given, is echoed as a header and in the body,
    so that a caller can log the id by which the timeline can be searched.
    """
    answer = ANSWERS[refusal.kind]
    retry_after_ms = refusal.retry_after
    details = ErrorDetails(
        kind=refusal.kind,
        run=refusal.run_state,
        text=answer.text,
        detail=refusal.detail,
        retry_after_ms=retry_after_ms,
    )
    headers = {"content-type": JSON_TYPE}
    if retry_after_ms is not None:
        headers["retry-after"] = str(-(-retry_after_ms // 1000))
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    return HttpResponse(
        status=refusal.status,
        body=to_json(ErrorBody(error=details, request_id=request_id)),
        headers=headers,
    )
