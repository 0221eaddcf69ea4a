"""Test that a watch after a list returns all changes that its pages lack, on a model of a store."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from berylspindle_store.pages import Page, combine_pages, combine_stale_pages
from berylspindle_store.revisions import make_revision
from berylspindle_store.store import ListResult, StoredValue

KEYS = "abcdef"
ERA = 3
PAGE_SIZE = 2

CHANGES = st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), max_size=20)


class ModelStore:
    """The states of a store after each change; a change writes or removes a key."""

    def __init__(self, changes: list[tuple[str, bool]]) -> None:
        self.events: list[StoredValue] = []
        self.states: list[dict[str, StoredValue]] = [{}]
        for number, (key, is_write) in enumerate(changes, 1):
            value = b"%d" % number if is_write else None
            event = StoredValue(key=key, value=value, revision=make_revision(ERA, number))
            self.events.append(event)
            state = {known: entry for known, entry in self.states[-1].items() if known != key}
            self.states.append({**state, key: event} if is_write else state)

    def read(self, state: int, after: str, *, current: int) -> tuple[Page, bool]:
        """Return the page after a key as of a state, and whether there are more."""
        entries = [entry for key, entry in sorted(self.states[state].items()) if key > after]
        page = Page(revision=make_revision(ERA, current), entries=tuple(entries[:PAGE_SIZE]))
        return page, len(entries) > PAGE_SIZE

    def apply_events(self, listed: ListResult) -> dict[str, StoredValue]:
        """Return what a client knows after a list and a watch from its revision."""
        known = {entry.key: entry for entry in listed.entries}
        for event in self.events:
            if event.revision > listed.revision:
                known[event.key] = event
        return {key: entry for key, entry in known.items() if entry.value is not None}


def read_pages(store: ModelStore, data: st.DataObject, *, is_stale: bool) -> list[Page]:
    """Return the pages of a list, each of its own state; current ones grow newer."""
    pages: list[Page] = []
    state, after, has_more = 0, "", True
    while has_more:
        lowest = 0 if is_stale else state
        state = data.draw(st.integers(lowest, len(store.events)))
        current = len(store.events) if is_stale else state
        page, has_more = store.read(state, after, current=current)
        pages.append(page)
        after = page.entries[-1].key if page.entries else after
    return pages


@given(CHANGES, st.data())
def test_watch_after_stale_pages_of_any_ages_completes_the_list(
    changes: list[tuple[str, bool]], data: st.DataObject
) -> None:
    """Guard against a change that is neither listed nor watched."""
    store = ModelStore(changes)
    listed = combine_stale_pages(read_pages(store, data, is_stale=True))
    assert listed is not None
    assert store.apply_events(listed) == store.states[-1]


@given(CHANGES, st.data())
def test_watch_after_pages_between_which_the_store_changes_completes_the_list(
    changes: list[tuple[str, bool]], data: st.DataObject
) -> None:
    store = ModelStore(changes)
    listed = combine_pages(read_pages(store, data, is_stale=False))
    assert store.apply_events(listed) == store.states[-1]


def test_stale_page_that_is_newer_than_the_store_is_of_an_earlier_history() -> None:
    store = ModelStore([("a", True), ("b", True), ("c", True)])
    current, _ = store.read(1, "", current=1)
    earlier, _ = store.read(3, "a", current=1)
    assert combine_stale_pages([current, earlier]) is None
    assert combine_stale_pages([current]) is not None
