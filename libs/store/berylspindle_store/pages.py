"""Combine the pages of one list.

Terms:
  page         a part of a list, read from one state of the store; the next page may be read from
               another one
  stale page   a page read from a copy of the store that lags by an unknown time

Flow: a client of the store reads all pages of a list and combines them here.

Guard: a watch after the list has to return each change that any of the pages lacks, so the list has
the revision of its oldest page. With a later revision, a change to the keys of the oldest page that
the copy did not have yet would be neither listed nor watched, for as long as its entry stays as it
is. The state of a stale page is not stated; it has at least the highest revision of its entries.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from berylspindle_store.revisions import era_of, make_revision
from berylspindle_store.store import ListResult, StoredValue


@attrs.frozen(kw_only=True)
class Page:
    """One page. `revision` is the store's current one, to which a stale page lags."""

    revision: int
    entries: tuple[StoredValue, ...]

    @property
    def newest_revision(self) -> int:
        """Return the highest revision of an entry, or the lowest one of the era if it is empty."""
        lowest = make_revision(era_of(self.revision), 0)
        return max((entry.revision for entry in self.entries), default=lowest)


def combine_pages(pages: Sequence[Page]) -> ListResult:
    """Return the list of one or more pages that were each read from the store's current state."""
    return _combine(pages, min(page.revision for page in pages))


def combine_stale_pages(pages: Sequence[Page]) -> ListResult | None:
    """Return the list of one or more stale pages.

    None if a page is newer than the store's current state: it was read before the store returned
    from a copy.
    """
    if any(page.newest_revision > page.revision for page in pages):
        return None
    return _combine(pages, min(page.newest_revision for page in pages))


def _combine(pages: Sequence[Page], revision: int) -> ListResult:
    entries = tuple(entry for page in pages for entry in page.entries)
    return ListResult(revision=revision, entries=entries)
