"""Times at which the platform's store is known to have answered, as one VM knows them.

Terms:
  view          a VM's copy of the store's entries
  confirmed at  a time at which the view held all changes of the store
  span          the times from `since` to `at` in which the store answered without a gap
  gap           a time between two answers in which an outage may have let leases expire
  era           how often the store has returned from a copy (`store.revisions`)

Flow: each answer of the store makes a span (`confirmed_by_call`). A VM hands on its span with each
answer to another VM, which converts it to its own clock (`from_ages`). `ViewSpan` unites the spans
that a VM receives. The age of a view is the time since `at`; deletions are deferred for some time
after `since` if the span follows a gap.

Guards: whether the last call was answered says who answered, not as of when. Two VMs that follow
each other would take each other's entries as current; spans that they exchange gain nothing, since
only the store makes a new one. A VM that the store rejects can't tell this from an outage, in which
the leases of live replicas expire; the span of a peer that the store serves covers the time.

Times are in seconds on a clock that includes the time in which the machine is suspended. `at` is
never later than the true time, and `since` never earlier.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

DEFAULT_MAX_GAP_S: Final = 2.2
"""Longest time between two answers within a span if the settings state no heartbeat interval."""

GAP_RESERVE_S: Final = 0.2
"""Seconds by which a gap is shorter than two heartbeat intervals. A lease of three intervals
expires no sooner than two intervals after the beginning of an outage."""

RETURN_S: Final = 2.0
"""Seconds after the store's return within which every live process announces itself again."""

FAILURES_OF_OUTAGE: Final = 2
"""Calls of one VM that fail in a row, while no VM is known to be answered, before a time shorter
than `max_gap` counts as an outage. A lost response or a reset connection is one failure."""

MIN_SHARE_OF_GAP: Final = 0.5
"""Share of a gap known to a peer that has to be without an answer known to this VM."""


def max_gap(heartbeat: float) -> float:
    """Return the longest gap in which no lease that is renewed each `heartbeat` seconds expires."""
    return 2 * heartbeat - GAP_RESERVE_S


def min_gap(max_gap: float) -> float:
    """Return the shortest outage in which the lease of a live process may expire.

    A lease that was renewed one interval before the outage expires two intervals after its
    beginning, and its owner renews it up to `RETURN_S` after its end.
    """
    return max(0.0, max_gap - RETURN_S)


@attrs.frozen
class ConfirmedSpan:
    """A time in which the store answered; `since` is later than `at` if it answered only once.

    `follows_gap` tells whether some VM knows that the store was possibly unavailable before the
    span; if not, the span begins where the knowledge of the first VM begins. `gap_from` is the last
    answer known before the gap; no lease that expires in the gap does so within the next two
    heartbeat intervals.
    """

    since: float
    at: float
    era: int = 0
    follows_gap: bool = False
    gap_from: float = attrs.field(default=-math.inf, eq=False)

    def unite(self, other: ConfirmedSpan, *, max_gap: float) -> ConfirmedSpan:
        """Return the span of both, or the later one if there is a gap between them.

        A return from a copy is a gap: of two eras, the span of the later one is returned.
        """
        if self.era != other.era:
            newer = max(self, other, key=lambda span: span.era)
            return attrs.evolve(newer, follows_gap=True, gap_from=-math.inf)
        earlier, later = sorted((self, other), key=lambda span: span.at)
        gap = later.since - earlier.at
        if gap > max_gap or later._is_outage(gap, min_gap(max_gap)):
            return attrs.evolve(later, follows_gap=True, gap_from=earlier.at)
        first = min(self, other, key=lambda span: span.since)
        follows_gap = self.follows_gap or other.follows_gap
        return ConfirmedSpan(first.since, later.at, self.era, follows_gap, first.gap_from)

    def _is_outage(self, gap: float, shortest: float) -> bool:
        """Return whether a VM saw an outage in the `gap` seconds before this span."""
        known = self.since - self.gap_from
        return self.follows_gap and gap > shortest and gap >= MIN_SHARE_OF_GAP * known


def confirmed_by_call(
    *, sent: float, received: float, wait: float, era: int, has_changes: bool
) -> ConfirmedSpan:
    """Return the span of one call to the store.

    A watch without changes is answered once its `wait` is over, any other call after it was sent.
    """
    has_waited = not has_changes and received - sent >= wait
    return ConfirmedSpan(received, sent + wait if has_waited else sent, era)


def from_ages(
    *,
    sent: float,
    received: float,
    held: float,
    at_age: float,
    since_age: float,
    era: int,
    follows_gap: bool,
    gap_age: float = math.inf,
) -> ConfirmedSpan:
    """Return a peer's span by this VM's clock.

    The peer held the request for `held` seconds and stated the ages of both ends of its span when
    it answered, which was no earlier than `sent + held` and no later than `received`.
    """
    stated = min(received, sent + held)
    return ConfirmedSpan(received - since_age, stated - at_age, era, follows_gap, stated - gap_age)


class ViewSpan:
    """The confirmed span of one VM's view."""

    def __init__(self, max_gap: float = DEFAULT_MAX_GAP_S) -> None:
        self._max_gap: Final = max_gap
        self._span: ConfirmedSpan | None = None
        self._listed_at: float | None = None
        self._failures = 0
        self._failing_since = 0.0

    @property
    def span(self) -> ConfirmedSpan | None:
        """Return the span, or None before the first confirmation."""
        return self._span

    def on_unconfirmed_list(self, sent: float) -> None:
        """Record a list that may be outdated, which was sent at `sent`."""
        if self._listed_at is None:
            self._listed_at = sent

    def on_failed_call(self, now: float) -> None:
        """Record a call to the store that was not answered."""
        if not self._failures:
            self._failing_since = now
        self._failures += 1

    def add_answer(self, span: ConfirmedSpan) -> None:
        """Unite the span with one that an answer of the store to this VM makes."""
        known = self._span
        # If another VM was answered since, the store rejected this one alone.
        if (
            known is not None
            and self._failures >= FAILURES_OF_OUTAGE
            and self._failing_since >= known.at
            and span.since - known.at > min_gap(self._max_gap)
        ):
            span = attrs.evolve(span, follows_gap=True, gap_from=known.at)
        self._failures = 0
        self.add(span)

    def add(self, span: ConfirmedSpan) -> None:
        """Unite the span with one that a peer hands on."""
        if self._span is not None:
            self._span = self._span.unite(span, max_gap=self._max_gap)
        elif self._listed_at is not None and span.since - self._listed_at > self._max_gap:
            self._span = attrs.evolve(span, follows_gap=True)
        else:
            self._span = span
