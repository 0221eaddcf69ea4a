"""A VM's copy of the store's entries, which its peers follow.

Terms:
  mirror   the entries that one VM holds, with the store's revisions, and the latest changes
  follow   list and watch a mirror instead of the store
  span     the time in which the store is known to have answered (`decisions.confirmed_span`)

Flow: the catalogue passes each list, each change and each confirmation to the `Mirror`; the edge
for peers serves requests from it. A watch of a mirror is answered at the next change, and also as
soon as the mirror's view is confirmed later than the reader's, so that a confirmation reaches all
followers without delay. `MirrorStore` is a read-only `Store` over a peer's mirror, so that the same
code follows the store or a mirror. Each response states the ages of the span, and carries large
values in compressed form (`large_values`).

Guard: without mirrors, a VM that starts while the store is unavailable, or that the store rejects,
would have no routes and replicas, although its peers have them all. A mirror may be outdated;
entries keep the store's revisions, so that an older entry never replaces a newer one.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Final, TypeVar

import attrs

from berylspindle_decisions.confirmed_span import ConfirmedSpan, from_ages
from berylspindle_decisions.follower_count import FollowerCount
from berylspindle_decisions.loss_reports import LossReports
from berylspindle_forwarding.large_values import (
    compress_entries,
    decompress_entries,
    with_large_value,
)
from berylspindle_model import codec
from berylspindle_model.digits import parse_digits, parse_port
from berylspindle_store.store import (
    Lease,
    ListResult,
    Store,
    StoredValue,
    StoreUnavailable,
    WatchResult,
)
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import HttpLimits, HttpRequest, HttpResponse
from berylspindle_wire.http_client import HttpFailure

LIST_PATH: Final = "/mirror/4/entries"
WATCH_PATH: Final = "/mirror/4/changes"
"""Paths with the version of the protocol. VMs of different versions follow the store, not each
other: version 1 has revisions without an era, version 2 has no ages, and version 3 has no
compressed values."""

CONTENT_TYPE: Final = "application/msgpack"

MAX_CHANGES: Final = 4000
"""Changes that a mirror keeps; a reader that lags further lists again."""

MAX_RESPONSE_BYTES: Final = 16 * 1024 * 1024
"""Longest accepted response of a mirror: the entries of 5,200 replicas take 1.4 MB, a configuration
up to 1 MB. Also the limit of the decompressed values of one response together."""

MAX_WAIT_S: Final = 5.0
LIST_TIMEOUT_S: Final = 1.0
WATCH_TIMEOUT_MARGIN_S: Final = 0.6
"""Seconds that a mirror's response may take beyond the wait of its watch."""

MIN_GAIN_S: Final = 0.3
"""Seconds by which a mirror's view has to be confirmed later than the reader's for an answer
without a change."""

RECENT_READER_S: Final = 10.0
"""Seconds for which a reader whose view was more recent than this VM's is worth asking: the longest
interval between two probes of the store (`decisions.upstream_choice`)."""


@attrs.frozen(kw_only=True)
class SpanReport:
    """A mirror's span: the ages in milliseconds of both ends at the time of the response.

    `gap` is the age of the last answer before the span; None if that is not known.
    """

    at: int
    since: int
    era: int
    follows_gap: bool
    gap: int | None = None


@attrs.frozen(kw_only=True)
class MirrorList:
    """All entries of a mirror.

    Attributes:
        span: its span; None if the store has not confirmed its view yet.
        cut_off: whether its VM reaches no other data centre and can't serve all routes locally.
        compressed: positions of the entries whose values are compressed (`large_values`).
    """

    revision: int
    span: SpanReport | None = None
    cut_off: bool = False
    entries: tuple[StoredValue, ...] = ()
    compressed: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class MirrorChanges:
    """The changes after a revision; `compacted` if the mirror no longer has all of them.

    `span`, `cut_off` and `compressed` are as in `MirrorList`. `held_ms` is the time from the
    request to the response; `losses` maps replicas that lost responses to the age of the loss in
    milliseconds (`decisions.loss_reports`).
    """

    revision: int
    compacted: bool
    held_ms: int = 0
    span: SpanReport | None = None
    cut_off: bool = False
    losses: dict[str, int] = attrs.field(factory=dict)
    entries: tuple[StoredValue, ...] = ()
    compressed: tuple[int, ...] = ()


MessageT = TypeVar("MessageT", MirrorList, MirrorChanges)


class Mirror:
    """The store's entries known to this VM."""

    def __init__(
        self, now: Callable[[], float], clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Initialize an empty mirror; the span is on `clock`, all else on `now`."""
        self._now: Final = now
        self._clock: Final = clock
        self._entries: dict[str, StoredValue] = {}
        self._changes: Final[deque[StoredValue]] = deque(maxlen=MAX_CHANGES)
        self._oldest_revision = 0
        self._revision = 0
        self._started = clock()
        self._span: ConfirmedSpan | None = None
        self._changed = asyncio.Event()
        self._cut_off = False
        self._recent_reader: tuple[str, float] | None = None
        self.followers: Final = FollowerCount()
        self.losses = LossReports()
        self.on_rollout_report: Callable[[str, str], None] = lambda vm, report: None

    @property
    def revision(self) -> int:
        """Return the store's revision that the entries reflect; 0 before the first list."""
        return self._revision

    @property
    def span(self) -> ConfirmedSpan | None:
        """Return the time in which the store is known to have answered."""
        return self._span

    @property
    def age(self) -> float:
        """Return the seconds since the view was confirmed; before that, since it was listed."""
        return self._clock() - (self._span.at if self._span is not None else self._started)

    def recent_reader(self) -> str | None:
        """Return the address of the reader that had the most recent view when it asked last.

        None if no reader's view was more recent than this one in the last `RECENT_READER_S`.
        """
        if self._recent_reader is None:
            return None
        address, confirmed_at = self._recent_reader
        return address if self._clock() - confirmed_at <= RECENT_READER_S else None

    def get(self, key: str) -> StoredValue | None:
        """Return an entry by its key."""
        return self._entries.get(key)

    def replace_entries(self, entries: Iterable[StoredValue], revision: int) -> None:
        """Replace all entries by those of a list at a revision.

        Followers receive the differences as changes, so that they need not list as well.
        """
        if revision < self._revision:
            return
        if self._span is None:
            self._started = self._clock()
        listed = {entry.key: with_large_value(entry) for entry in entries}
        changes = [entry for entry in listed.values() if entry != self._entries.get(entry.key)]
        changes += [
            StoredValue(key=key, value=None, revision=revision)
            for key in self._entries
            if key not in listed
        ]
        if self._revision and all(entry.revision > self._revision for entry in changes):
            self.apply_changes(sorted(changes, key=lambda entry: entry.revision), revision)
            return
        self._entries = listed
        self._changes.clear()
        self._oldest_revision = self._revision = revision
        self._notify_watches()

    def apply_changes(self, entries: Iterable[StoredValue], revision: int) -> None:
        """Apply changes up to a revision."""
        for entry in map(with_large_value, entries):
            if entry.value is None:
                self._entries.pop(entry.key, None)
            else:
                self._entries[entry.key] = entry
            if len(self._changes) == MAX_CHANGES:
                self._oldest_revision = self._changes[0].revision
            self._changes.append(entry)
        if revision > self._revision:
            self._revision = revision
            self._notify_watches()

    def confirm(self, span: ConfirmedSpan) -> None:
        """Record the time in which the store is known to have answered."""
        self._span = span
        self._notify_watches()

    def set_cut_off(self, cut_off: bool) -> None:
        """Record whether this VM is cut off, and notify all followers."""
        self._cut_off = cut_off
        self._notify_watches()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a peer's list or watch."""
        if request.path == LIST_PATH:
            return self._to_response(
                MirrorList(
                    revision=self._revision,
                    span=self._report_span(),
                    cut_off=self._cut_off,
                    entries=tuple(self._entries.values()),
                )
            )
        if request.path == WATCH_PATH:
            try:
                return self._to_response(await self._handle_watch(request.query))
            except ValueError as error:
                return HttpResponse(status=400, body=str(error).encode())
        return HttpResponse(status=404)

    async def _handle_watch(self, query: dict[str, str]) -> MirrorChanges:
        """Record what the reader reports, and wait for changes. Raises ValueError."""
        if losses := query.get("losses"):
            self.losses.merge(self._now(), unpack_losses(losses))
        if follower := query.get("follower"):
            bears = _parse_finite(query.get("bears", "0"))
            self.followers.on_read(self._now(), follower, capacity=bears)
        if report := query.get("rollouts"):
            self.on_rollout_report(query.get("vm", ""), report)
        return await self._watch(query)

    async def _watch(self, query: dict[str, str]) -> MirrorChanges:
        after, wait = int(query.get("after", "0")), _parse_finite(query.get("wait", "0"))
        known_cut_off = query.get("cut_off") == "1"
        received = self._clock()
        confirmed_at = received - _parse_finite(query["age"]) if "age" in query else -math.inf
        self._record_reader(query.get("mirror", ""), confirmed_at)
        try:
            async with asyncio.timeout(min(wait, MAX_WAIT_S)):
                while (
                    self._revision <= after
                    and self._cut_off == known_cut_off
                    and not self._is_confirmed_after(confirmed_at)
                ):
                    await self._changed.wait()
        except TimeoutError:
            pass
        compacted = after < self._oldest_revision
        return MirrorChanges(
            revision=max(self._revision, after),
            compacted=compacted,
            held_ms=int((self._clock() - received) * 1000),
            span=self._report_span(),
            cut_off=self._cut_off,
            losses=self.losses.report(self._now()),
            entries=(
                ()
                if compacted
                else tuple(entry for entry in self._changes if entry.revision > after)
            ),
        )

    def _is_confirmed_after(self, at: float) -> bool:
        return self._span is not None and self._span.at >= at + MIN_GAIN_S

    def _record_reader(self, address: str, confirmed_at: float) -> None:
        if self._span is None or confirmed_at - self._span.at < MIN_GAIN_S:
            return
        if parse_port(address.rpartition(":")[2]) is None:
            return
        if self._recent_reader is None or self._recent_reader[1] < confirmed_at:
            self._recent_reader = address, confirmed_at

    def _report_span(self) -> SpanReport | None:
        if self._span is None:
            return None
        now = self._clock()
        gap_from = self._span.gap_from
        # Rounded so that a reader takes neither end for more favourable than it is.
        return SpanReport(
            at=math.ceil((now - self._span.at) * 1000),
            since=math.floor((now - self._span.since) * 1000),
            era=self._span.era,
            follows_gap=self._span.follows_gap,
            gap=math.ceil((now - gap_from) * 1000) if math.isfinite(gap_from) else None,
        )

    def _to_response(self, message: MirrorList | MirrorChanges) -> HttpResponse:
        entries, compressed = compress_entries(message.entries)
        message = attrs.evolve(message, entries=entries, compressed=compressed)
        return HttpResponse(
            status=200, body=codec.to_msgpack(message), headers={"content-type": CONTENT_TYPE}
        )

    def _notify_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


class MirrorStore(Store):
    """Read-only access to a peer's mirror as a `Store`.

    `span` and `cut_off` are as the mirror reported them last, the span on `clock`. `age` is
    that of this VM's own view in seconds, which a watch states. `extra_query` returns the query
    parameters that describe this VM, sent with each watch and probe.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        clock: Callable[[], float] = time.monotonic,
        extra_query: Callable[[], dict[str, str]] = dict,
        on_losses: Callable[[dict[str, int]], None] = lambda losses: None,
    ) -> None:
        self.address: Final = f"{host}:{port}"
        self._clock: Final = clock
        self._introduction: Final = extra_query
        self._on_losses: Final = on_losses
        limits = HttpLimits(body_bytes=MAX_RESPONSE_BYTES)
        self._client: Final = HttpClient(host, port, limit=2, connect_timeout=0.5, limits=limits)
        self.span: ConfirmedSpan | None = None
        self.age = math.inf
        self.cut_off = False

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def list(self, prefix: str) -> ListResult:
        """Return all entries under a prefix. Raises StoreUnavailable if the mirror has none yet."""
        sent = self._clock()
        response: MirrorList = await self._request(LIST_PATH, {}, LIST_TIMEOUT_S, MirrorList)
        if not response.revision:
            raise StoreUnavailable("the mirror has not been filled yet")
        self._set_span(response.span, sent=sent, held=0.0)
        self.cut_off = response.cut_off
        matching = tuple(entry for entry in response.entries if entry.key.startswith(prefix))
        return ListResult(revision=response.revision, entries=matching)

    async def watch(self, prefix: str, *, after: int, wait: float) -> WatchResult:
        """Wait for changes under a prefix, or for a later confirmation of the view."""
        wait = min(wait, MAX_WAIT_S)
        query = {"after": str(after), "wait": f"{wait:.3f}", **self._introduction()}
        if math.isfinite(self.age):
            query["age"] = f"{self.age:.3f}"
        if self.cut_off:
            query["cut_off"] = "1"
        sent = self._clock()
        response: MirrorChanges = await self._request(
            WATCH_PATH, query, wait + WATCH_TIMEOUT_MARGIN_S, MirrorChanges
        )
        self._set_span(response.span, sent=sent, held=response.held_ms / 1000)
        self.cut_off = response.cut_off
        self._on_losses(response.losses)
        matching = tuple(entry for entry in response.entries if entry.key.startswith(prefix))
        return WatchResult(
            revision=response.revision, entries=matching, compacted=response.compacted
        )

    async def probe(self, timeout: float) -> None:
        """Check that the mirror responds within `timeout` seconds. Raises StoreUnavailable."""
        query = {"after": "0", "wait": "0", **self._introduction()}
        response: MirrorChanges = await self._request(WATCH_PATH, query, timeout, MirrorChanges)
        self._on_losses(response.losses)

    async def get(self, key: str) -> StoredValue | None:
        """Raise StoreUnavailable: a mirror supports lists and watches only."""
        raise StoreUnavailable("a mirror supports lists and watches only")

    async def compare_and_swap(
        self, key: str, value: bytes | None, *, expect: int, lease: str | None = None
    ) -> StoredValue:
        """Raise StoreUnavailable: a mirror is read-only."""
        raise StoreUnavailable("a mirror is read-only")

    async def grant_lease(self, ttl: float) -> Lease:
        """Raise StoreUnavailable: a mirror is read-only."""
        raise StoreUnavailable("a mirror is read-only")

    async def keep_alive(self, lease: str) -> Lease:
        """Raise StoreUnavailable: a mirror is read-only."""
        raise StoreUnavailable("a mirror is read-only")

    async def revoke(self, lease: str) -> None:
        """Raise StoreUnavailable: a mirror is read-only."""
        raise StoreUnavailable("a mirror is read-only")

    def _set_span(self, report: SpanReport | None, *, sent: float, held: float) -> None:
        if report is None:
            self.span = None
            return
        self.span = from_ages(
            sent=sent,
            received=self._clock(),
            held=held,
            at_age=report.at / 1000,
            since_age=report.since / 1000,
            era=report.era,
            follows_gap=report.follows_gap,
            gap_age=report.gap / 1000 if report.gap is not None else math.inf,
        )

    async def _request(
        self, path: str, query: dict[str, str], timeout: float, kind: type[MessageT]
    ) -> MessageT:
        try:
            response = await self._client.get(path, query=query, timeout=timeout)
        except HttpFailure as failure:
            raise StoreUnavailable(f"mirror: {failure}") from failure
        if response.status != 200:
            raise StoreUnavailable(f"mirror: status {response.status}")
        try:
            message = codec.from_msgpack(response.body, kind)
            entries = decompress_entries(message.entries, message.compressed, MAX_RESPONSE_BYTES)
        except codec.MalformedError as error:
            raise StoreUnavailable(f"mirror: {error}") from error
        return attrs.evolve(message, entries=entries, compressed=())


def pack_losses(losses: Mapping[str, int]) -> str:
    """Encode a report of lost responses as a query parameter."""
    return ",".join(f"{replica}:{age_ms}" for replica, age_ms in losses.items())


def unpack_losses(text: str) -> dict[str, int]:
    """Decode the query parameter of `pack_losses`; malformed parts are skipped."""
    pairs = (part.rpartition(":") for part in text.split(","))
    ages = ((replica, parse_digits(age)) for replica, _, age in pairs if replica)
    return {replica: age for replica, age in ages if age is not None}


def _parse_finite(text: str) -> float:
    """Return a number from a reader's query. Raises ValueError, also for infinity and NaN.

    A timer that is due at NaN would disorder all timers of the event loop.
    """
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"not a finite number: {text!r}")
    return number
