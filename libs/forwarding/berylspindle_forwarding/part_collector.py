"""Collect the parts of one search and build its answer.

Terms:
  part     the signed answer of one shard
  subset   parts of several shards merged by another VM

Flow: a request adds each part and counts lost shards; `verdict` returns whether to answer, and
`response` builds the answer.
"""

from __future__ import annotations

from typing import Final

from berylspindle_decisions.record_merge import top_records
from berylspindle_decisions.response_timing import PartialResultVerdict, decide_partial_result
from berylspindle_forwarding.dialect import Dialect
from berylspindle_model.digits import parse_digits
from berylspindle_model.routing import ShardSet
from berylspindle_wire.http import HttpResponse


class PartCollector:
    """The parts of one search over a shard set."""

    def __init__(self, shard_set: ShardSet, dialect: Dialect) -> None:
        self._shard_set: Final = shard_set
        self._dialect: Final = dialect
        self._signatures: Final[list[str]] = []
        self._bodies: Final[list[bytes]] = []
        self._lost = 0

    @property
    def asked(self) -> int:
        """Return the number of shards of the search."""
        return len(self._shard_set.shards)

    def add(self, signature: str, body: bytes) -> None:
        """Add the part of one shard."""
        self._signatures.append(signature)
        self._bodies.append(body)

    def add_subset(self, response: HttpResponse, shards: int) -> bool:
        """Add merged parts; return False if the response isn't valid for this many shards."""
        signed = _header(response, self._dialect.parts)
        signatures = [part.strip() for part in signed.split(",") if part.strip()]
        absent = parse_digits(_header(response, self._dialect.absent) or "0")
        if not signatures or absent is None or len(signatures) + absent != shards:
            return False
        self._signatures.extend(signatures)
        self._bodies.append(response.body)
        self._lost += absent
        return True

    def add_lost(self, shards: int = 1) -> None:
        """Count shards that will give no part."""
        self._lost += shards

    def verdict(self, *, aim_passed: bool) -> PartialResultVerdict:
        """Return whether to answer with the parts received so far."""
        return decide_partial_result(
            requested=self.asked,
            min_parts=self._shard_set.min_shards,
            parts=len(self._signatures),
            lost=self._lost,
            target_passed=aim_passed,
        )

    def response(self, request_id: bytes) -> HttpResponse:
        """Return the answer made of the parts received so far."""
        headers = [
            (b"content-type", b"application/octet-stream"),
            (self._dialect.parts, ", ".join(self._signatures).encode("latin-1")),
            (self._dialect.absent, b"%d" % (self.asked - len(self._signatures))),
        ]
        if request_id:
            headers.append((self._dialect.request_id, request_id))
        body = top_records(self._bodies, self._shard_set.top)
        return HttpResponse(status=200, body=body, raw_headers=tuple(headers))


def _header(response: HttpResponse, name: bytes) -> str:
    values = [value for key, value in response.raw_headers if key == name]
    return b", ".join(values).decode("latin-1")
