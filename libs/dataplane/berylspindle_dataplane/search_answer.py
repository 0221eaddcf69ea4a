"""Build the answer or the refusal of a search from the results of its shards.

Flow: `search_fanout` decides when a search ends. `merged_answer` merges the replies computed on one
snapshot; `combined_refusal` combines the refusals of the lost shards.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from berylspindle_dataplane.page_token import MAX_DEPTH, PagePosition, encode_page, search_hash
from berylspindle_decisions.merge import merge_hits
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.messages import AttemptReply, Coverage, SearchAnswer, SearchRequest
from berylspindle_model.snapshot import Snapshot


def merged_answer(
    request: SearchRequest, *, pin: Snapshot, coverage: Coverage, replies: Iterable[AttemptReply]
) -> SearchAnswer:
    """Return one page of merged hits; all replies must have been computed on `pin`."""
    hits = (reply.hits for reply in replies)
    page = merge_hits(hits, offset=request.offset, limit=request.limit)
    return SearchAnswer(
        request_id=request.request_id,
        snapshot=pin,
        coverage=coverage,
        hits=page.hits,
        next_page=_next_page(request, pin, page.next_offset),
    )


def _next_page(request: SearchRequest, pin: Snapshot, offset: int | None) -> str | None:
    if offset is None or offset + request.limit > MAX_DEPTH:
        return None
    search = search_hash(request.service, request.query)
    return encode_page(PagePosition(snapshot=pin, offset=offset, search=search))


def combined_refusal(
    refusals: Sequence[Refusal], *, run_states: set[RunState], coverage: Coverage, is_expired: bool
) -> Refusal:
    """Return the reason shared by all lost shards, or INCOMPLETE if the reasons differ.

    The run state is NOT_RUN only if that holds for every attempt. The retry delay is the longest
    one that any shard returned.
    """
    run = RunState.NOT_RUN if run_states <= {RunState.NOT_RUN} else RunState.MAY_HAVE_RUN
    detail = f"{coverage.answered} of {coverage.asked} shards answered"
    retry_delays_ms = [each.retry_after for each in refusals if each.retry_after is not None]
    retry_after_ms = max(retry_delays_ms, default=None)
    if is_expired and not coverage.answered:
        return Refusal(ErrorKind.DEADLINE_EXCEEDED, detail, run, retry_after_ms)
    kinds = {each.kind for each in refusals}
    kind = kinds.pop() if len(kinds) == 1 else ErrorKind.INCOMPLETE
    return Refusal(kind, detail, run, retry_after_ms)
