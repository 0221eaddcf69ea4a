"""Checkers of the content of answers: snapshot consistency, coverage accuracy and integrity.

Terms:
  genuine   a hit that the index has for this query in the snapshot that the hit itself names

Flow: the expected hits are computed from the index of the stand-ins by service, shard, snapshot and
query. Each checker reports violations of its own guarantee only: a hit of another snapshot does not
count as a crossed answer, and a crossed answer does not count as wrong coverage.
"""

from __future__ import annotations

from collections.abc import Iterator

from berylspindle_bench.history_checks import Checker, Violation
from berylspindle_bench.history_records import History, OutcomeKind, Try
from berylspindle_model.messages import Hit, SearchAnswer
from berylspindle_model.snapshot import Snapshot
from berylspindle_standins.index import hit_sort_key, shard_hits


class SnapshotConsistency(Checker):
    """Check that each answer comes from one snapshot, and its second page from the same one."""

    guarantee = "each answer comes from one snapshot"

    def find(self, history: History) -> Iterator[Violation]:
        """Yield answers with hits of other snapshots, and second pages from another snapshot."""
        first_pages: dict[int, Snapshot] = {}
        for try_, answer in _answers(history):
            if try_.offset == 0:
                first_pages[try_.request] = answer.snapshot
            others = {s for s in map(_snapshot_of, answer.hits) if s != answer.snapshot}
            if others:
                description = (
                    f"the answer to {try_.text!r} from snapshot {answer.snapshot} has hits of "
                    + ", ".join(map(str, sorted(others)))
                )
                yield self.violation(history, description, text=try_.text)
            elif first_pages.get(try_.request, answer.snapshot) != answer.snapshot:
                description = (
                    f"a page of {try_.text!r} is from {answer.snapshot}, the first page is not"
                )
                yield self.violation(history, description, text=try_.text)


class CoverageAccuracy(Checker):
    """Check that an answer has exactly the hits of the shards that its coverage states."""

    guarantee = "an answer states its coverage correctly"

    def find(self, history: History) -> Iterator[Violation]:
        """Yield answers whose coverage is inconsistent or does not match their hits."""
        for try_, answer in _answers(history):
            fault = _coverage_fault(history, try_, answer) or _content_fault(history, try_, answer)
            if fault:
                description = f"the answer to {try_.text!r} states {answer.coverage}: {fault}"
                yield self.violation(history, description, text=try_.text)


class AnswerIntegrity(Checker):
    """Check that no caller gets the answer to another request or a truncated answer."""

    guarantee = "each caller gets the complete answer to its own request"

    def find(self, history: History) -> Iterator[Violation]:
        """Yield crossed, truncated and unordered answers."""
        for try_ in history.tries:
            fault = _integrity_fault(try_)
            if fault:
                yield self.violation(history, f"{try_.text!r}: {fault}", text=try_.text)


def _integrity_fault(try_: Try) -> str:
    """Return how an outcome differs from the complete one of its request; empty if it does not."""
    if try_.told is OutcomeKind.UNKNOWN and "can't be read" in try_.detail:
        return f"the answer is truncated: {try_.detail}"
    if try_.executed is not None:
        executed = try_.executed
        expected = (try_.text, try_.text, try_.shard)
        actual = (executed.key, executed.result.get("confirmed"), executed.result.get("shard"))
        return "" if actual == expected else f"the outcome belongs to another key: {actual}"
    if try_.answer is None:
        return ""
    if try_.request_id and try_.answer.request_id != try_.request_id:
        return f"the answer belongs to request {try_.answer.request_id}"
    foreign = [hit.id for hit in try_.answer.hits if not _genuine(try_, hit)]
    if foreign:
        return f"the hits {', '.join(foreign[:3])} belong to another query"
    if len(try_.answer.hits) > try_.limit:
        return f"{len(try_.answer.hits)} hits exceed the limit of {try_.limit}"
    if list(try_.answer.hits) != sorted(try_.answer.hits, key=hit_sort_key):
        return "the hits are out of order"
    return ""


def _coverage_fault(history: History, try_: Try, answer: SearchAnswer) -> str:
    shards = _shards(history, try_.service)
    stated = answer.coverage
    missing, partial = set(stated.missing), set(stated.partial)
    if stated.asked != len(shards):
        return f"the service has {len(shards)} shards"
    if not missing <= shards or not partial <= shards - missing:
        return "it lists unknown shards, or a shard as both missing and partial"
    if len(missing) != len(stated.missing) or stated.answered + len(missing) != stated.asked:
        return "answered and missing shards do not add up to the number asked"
    return ""


def _content_fault(history: History, try_: Try, answer: SearchAnswer) -> str:
    """Return how the hits differ from those of the stated shards; empty if they match."""
    if any(not _genuine(try_, h) or _snapshot_of(h) != answer.snapshot for h in answer.hits):
        return ""
    hits: list[Hit] = []
    for shard in _shards(history, try_.service) - set(answer.coverage.missing):
        found = shard_hits(try_.service, shard, answer.snapshot, try_.text)
        # A stand-in that searches only a part of its shard omits every second hit.
        hits += found[::2] if shard in answer.coverage.partial else found
    page = sorted(hits, key=hit_sort_key)[try_.offset : try_.offset + try_.limit]
    expected, actual = [hit.id for hit in page], [hit.id for hit in answer.hits]
    if expected == actual:
        return ""
    lacks = sorted(set(expected) - set(actual))
    return f"missing hits: {lacks[:3]}, unexpected: {sorted(set(actual) - set(expected))[:3]}"


def _answers(history: History) -> Iterator[tuple[Try, SearchAnswer]]:
    for try_ in history.tries:
        if try_.answer is not None:
            yield try_, try_.answer


def _shards(history: History, name: str) -> set[str]:
    # A repartition moves data between shards and keeps the names of the shards.
    service = history.configuration.service(name)
    return set(service.shards) if service is not None else set()


def _snapshot_of(hit: Hit) -> Snapshot:
    return Snapshot(int(hit.fields.get("epoch", 0)), int(hit.fields.get("version", 0)))


def _genuine(try_: Try, hit: Hit) -> bool:
    shard = str(hit.fields.get("shard", ""))
    return hit in shard_hits(try_.service, shard, _snapshot_of(hit), try_.text)
