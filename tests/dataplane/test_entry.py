"""Entry between callers and owners, with owners whose replies the test sends."""

from __future__ import annotations

import asyncio

from entry_harness import WITHOUT_SERVICE, EntryHarness

from berylspindle_dataplane.entry import fingerprint_of
from berylspindle_decisions.quarantine import RunMode
from berylspindle_model.messages import SearchAnswer


async def test_a_search_completes_after_its_service_was_removed() -> None:
    """Guards against an internal error for a search whose service is removed while it runs.

    The search starts before a new configuration removes the service and is answered afterwards.
    """
    harness = EntryHarness()
    search = await harness.begin()
    harness.adopt(WITHOUT_SERVICE)
    harness.owners.answer()
    answer = await search
    assert isinstance(answer, SearchAnswer)
    assert answer.coverage.missing == ()


async def test_a_disconnected_caller_releases_the_canary() -> None:
    """Guards against a refusal due to a canary that is no longer running.

    A suspected search runs as canary; its caller disconnects before the answer and retries at once.
    """
    harness = EntryHarness()
    fingerprint = fingerprint_of("lots", "lot")
    harness.context.quarantine.on_connection_lost(harness.context.now(), fingerprint, "t")
    search = await harness.begin()
    assert harness.owners.sent[-1][0].is_canary
    search.cancel()
    await asyncio.gather(search, return_exceptions=True)
    assert harness.context.quarantine.decide(harness.context.now(), fingerprint) is RunMode.CANARY
