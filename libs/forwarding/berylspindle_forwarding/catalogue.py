"""Follow the store's entries of routes, replicas and data centres in one task.

Flow: `run` lists all entries, then watches for changes. It passes each change to a
`CatalogueListener` and each entry to this VM's own mirror. An `UpstreamSelector` selects whether
the store or a peer is followed, by the age of the view: each answer of the store confirms the view,
and each answer of a mirror hands on the time in which the store has answered (`confirmed_span`).

Guards: an entry may be deferred after an outage of the store (`applied_entries`). An entry that
can't be read or applied is reported and affects no other entry; a routing table that can't be
applied ends `run`, since this VM would go on by an older one. A watch may be neither answered nor
disconnected, if the store or the connection loses it; each call therefore ends by the time-out that
the selector chose, and no watch is pending for longer than a cycle.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from berylspindle_decisions.confirmed_span import (
    DEFAULT_MAX_GAP_S,
    ConfirmedSpan,
    ViewSpan,
    confirmed_by_call,
)
from berylspindle_forwarding.applied_entries import AppliedEntries
from berylspindle_forwarding.catalogue_changes import (
    CatalogueListener,
    CatalogueReader,
    Change,
    DeferredDeletion,
    TableChange,
)
from berylspindle_forwarding.mirror import Mirror, MirrorStore
from berylspindle_forwarding.upstream_selector import Upstream, UpstreamSelector
from berylspindle_store.revisions import era_of
from berylspindle_store.store import StoredValue, StoreOutcomeUnknown, StoreUnavailable

T = TypeVar("T")

BATCH_INTERVAL_S: Final = 0.5
"""Seconds between the response to a watch and the next watch, which then returns several changes at
once. Each call to the store has a cost, and a release changes tens of entries one by one."""

IDLE_BATCH_INTERVAL_S: Final = 1.5
"""The same interval if no caller has sent a request to this VM for some seconds, as right after its
start, when all replicas announce themselves. A cycle of the store's watches may shorten it."""

STARTUP_LISTS: Final = 4
"""Maximum number of lists before the first watch if all VMs of the system start for the first time.
The lists end as soon as there is a watcher to follow. With a watch of the store instead, each VM
would receive the announcement of every other."""

STARTUP_LIST_INTERVAL_S: Final = 1.0
"""Seconds between two of these lists, with a jitter of 50%."""

LIST_TIMEOUT_S: Final = 4.0
"""Time-out in seconds of a list, whose pages have time-outs of their own."""

UNREAD_S: Final = 0.4
"""Seconds after the confirmation of a view in which a deferred entry may take effect. A live
process announces itself within two seconds of the store's return, 0.5 s before
(`applied_entries.SETTLE_S`)."""

MIN_SETTLE_WAIT_S: Final = 0.05
"""Shortest wait in seconds of a watch that ends when a deferred entry takes effect."""


class Catalogue:
    """Follow the store or a peer's mirror; all state belongs to the task of `run`."""

    def __init__(
        self,
        selector: UpstreamSelector,
        reader: CatalogueReader,
        listener: CatalogueListener,
        mirror: Mirror,
        *,
        first_start: bool = False,
        max_gap: float = DEFAULT_MAX_GAP_S,
        has_recent_requests: Callable[[], bool],
        now: Callable[[], float],
        uniform: Callable[[], float],
    ) -> None:
        self._selector: Final = selector
        self._reader: Final = reader
        self._listener: Final = listener
        self._mirror: Final = mirror
        self._cached_lists_left = STARTUP_LISTS if first_start else 1
        self._has_recent_requests: Final = has_recent_requests
        self._now: Final = now
        self._uniform: Final = uniform
        self._entries: Final = AppliedEntries(
            is_vm_key=lambda key: self._reader.is_vm_key(key),
            is_same_change=self._is_same_change,
            expiry=max_gap,
        )
        self._view: Final = ViewSpan(max_gap)
        self._gap_from = ""
        self._deferring_since: float | None = None

    async def run(self) -> None:
        """Follow the store until cancelled; it starts with a list, also when run again."""
        after: int | None = None
        while True:
            upstream = self._pick()
            if after is not None or self._selector.store_unavailable:
                await self._sleep(upstream.call.delay)
            try:
                after = await self._step(upstream, after)
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                await self._on_failure(upstream, str(error))
                continue
            self._report_deferral_end()
            if not upstream.is_mirror and self._cached_lists_left:
                if self._selector.has_watchers:
                    continue
                after = None
                await asyncio.sleep(STARTUP_LIST_INTERVAL_S * (0.5 + self._uniform()))

    def _pick(self) -> Upstream:
        pause = BATCH_INTERVAL_S if self._has_recent_requests() else IDLE_BATCH_INTERVAL_S
        return self._selector.pick(age=self._mirror.age, pause=pause)

    async def _sleep(self, delay: float) -> None:
        """Sleep, but not beyond the time at which a deferred entry may take effect."""
        settled_at = self._entries.next_settled_at
        if settled_at is not None and settled_at > self._now():
            delay = min(delay, settled_at - self._now())
        await asyncio.sleep(delay)

    async def _step(self, upstream: Upstream, after: int | None) -> int:
        if after is not None:
            return await self._watch(upstream, after)
        # The first watch returns the changes that a cached list lacks.
        revision = await self._list(upstream, cached=self._cached_lists_left > 0)
        self._cached_lists_left = max(0, self._cached_lists_left - 1)
        return revision

    async def _list(self, upstream: Upstream, *, cached: bool = False) -> int:
        sent = self._now()
        revision: int | None = None
        found: dict[str, StoredValue] = {}
        for part in self._reader.list_prefixes:
            call = upstream.store.list_cached(part) if cached else upstream.store.list(part)
            listed = await _with_timeout(call, LIST_TIMEOUT_S)
            # The watch starts at the lowest revision, and so returns changes between the lists.
            revision = listed.revision if revision is None else min(revision, listed.revision)
            found.update((entry.key, entry) for entry in listed.entries)
        assert revision is not None
        confirms = not cached or upstream.is_mirror
        span = self._span_of(upstream, revision, sent=sent, has_changes=True) if confirms else None
        self._require_span(upstream, span)
        if span is None:
            self._view.on_unconfirmed_list(sent)
        await self._on_success(upstream, span)
        self._mirror.replace_entries(found.values(), revision)
        for entry in found.values():
            self._apply(entry, upstream)
        for key in self._entries.missing_keys(found):
            self._apply(StoredValue(key=key, value=None, revision=revision), upstream)
        self._confirm()
        self._apply_settled()
        self._listener.on_listed()
        return revision

    async def _watch(self, upstream: Upstream, after: int) -> int:
        wait = upstream.call.wait
        settled_at = self._entries.next_settled_at
        if settled_at is not None and settled_at > self._now():
            wait = min(wait, max(MIN_SETTLE_WAIT_S, settled_at - self._now()))
        if isinstance(upstream.store, MirrorStore):
            upstream.store.age = self._mirror.age
        sent = self._now()
        watch = upstream.store.watch(self._reader.prefix, after=after, wait=wait)
        result = await _with_timeout(watch, upstream.call.timeout)
        if result.compacted:
            # List the upstream that reported it: another one may be a lagging mirror.
            return await self._list(upstream)
        span = self._span_of(
            upstream, result.revision, sent=sent, wait=wait, has_changes=bool(result.entries)
        )
        self._require_span(upstream, span)
        await self._on_success(upstream, span)
        self._mirror.apply_changes(result.entries, result.revision)
        for entry in result.entries:
            self._apply(entry, upstream)
        self._confirm()
        self._apply_settled()
        return result.revision

    def _require_span(self, upstream: Upstream, span: ConfirmedSpan | None) -> None:
        """Reject a mirror that can't tell whether its entries result from an outage."""
        if upstream.is_mirror and span is None and self._view.span is not None:
            raise StoreUnavailable("the mirror's view has not been confirmed yet")

    def _apply_settled(self) -> None:
        """Apply deferred entries; what their writers have written again was read before."""
        span = self._view.span
        confirmed_at = self._now() if span is None else span.at + UNREAD_S
        for entry in self._entries.take_settled(min(self._now(), confirmed_at)):
            self._notify(entry)

    def _span_of(
        self,
        upstream: Upstream,
        revision: int,
        *,
        sent: float,
        wait: float = 0.0,
        has_changes: bool,
    ) -> ConfirmedSpan | None:
        """Return the span that a response states or, if it is the store's, proves."""
        if isinstance(upstream.store, MirrorStore):
            return upstream.store.span
        return confirmed_by_call(
            sent=sent,
            received=self._now(),
            wait=wait,
            era=era_of(revision),
            has_changes=has_changes,
        )

    async def _on_success(self, upstream: Upstream, span: ConfirmedSpan | None) -> None:
        known = self._view.span
        if span is not None and upstream.is_mirror:
            self._view.add(span)
        elif span is not None:
            self._view.add_answer(span)
        if (view := self._view.span) is not None:
            if known is None or known.since != view.since:
                self._gap_from = upstream.name
            self._entries.set_settled_from(
                view.since if view.follows_gap else None,
                gap_from=view.gap_from,
            )
        if upstream.is_near:
            self._listener.on_peer_isolation(upstream.cut_off, upstream.store)
        if not upstream.is_mirror:
            self._listener.on_store_reachability(True, "")
        is_outdated = span is not None and known is not None and span.era < known.era
        await self._selector.record_success(upstream, None if is_outdated else span)

    async def _on_failure(self, upstream: Upstream, detail: str) -> None:
        if not upstream.is_mirror:
            self._view.on_failed_call(self._now())
            self._listener.on_store_reachability(False, detail)
        await self._selector.record_failure(upstream)

    def _confirm(self) -> None:
        """Hand on the view's span once all entries of the response are applied."""
        if (span := self._view.span) is not None:
            self._mirror.confirm(span)

    def _apply(self, entry: StoredValue, upstream: Upstream) -> None:
        known_revision = self._entries.known_revision(entry.key)
        if entry.value is not None and entry.revision < known_revision:
            self._listener.on_older_entry(entry, known_revision, from_mirror=upstream.is_mirror)
        was_deferred = self._entries.is_deferred(entry.key)
        if self._entries.apply(self._now(), entry):
            self._notify(entry)
        if entry.value is None and not was_deferred and self._entries.is_deferred(entry.key):
            self._report_deferred_deletion(entry.key, upstream)

    def _report_deferred_deletion(self, key: str, upstream: Upstream) -> None:
        now, is_vm = self._now(), self._reader.is_vm_key(key)
        is_first = not is_vm and self._deferring_since is None
        if is_first:
            self._deferring_since = now
        self._listener.on_deferred_deletion(
            DeferredDeletion(
                key=key,
                is_vm=is_vm,
                is_first=is_first,
                read_from=upstream.name,
                gap_from=self._gap_from,
                seconds=self._entries.settles_at(key) - now,
            )
        )

    def _report_deferral_end(self) -> None:
        if self._deferring_since is not None and not self._entries.deferred_deletions:
            self._listener.on_deferral_end(self._now() - self._deferring_since)
            self._deferring_since = None

    def _is_same_change(self, one: StoredValue, other: StoredValue) -> bool:
        return self._decode(one) == self._decode(other)

    def _notify(self, entry: StoredValue) -> None:
        """Pass on the change of an entry; the failure of one other than a table is reported."""
        change = self._decode(entry)
        if change is None:
            return
        try:
            self._listener.on_change(change)
        except Exception as error:
            self._entries.forget_effect(entry.key)
            if isinstance(change, TableChange):
                raise
            self._listener.on_entry_fault(entry.key, error)

    def _decode(self, entry: StoredValue) -> Change | None:
        try:
            return self._reader.decode(entry)
        except Exception as error:
            self._listener.on_entry_fault(entry.key, error)
            return None


async def _with_timeout(call: Awaitable[T], timeout: float) -> T:
    """Wait for a call. Raises StoreUnavailable if it takes longer than `timeout` seconds."""
    try:
        async with asyncio.timeout(timeout):
            return await call
    except TimeoutError as error:
        raise StoreUnavailable(f"no response within {timeout:.2f} s") from error
