"""Entries in effect while a store is written, and returns from copies of itself."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from berylspindle_decisions.confirmed_span import DEFAULT_MAX_GAP_S, ConfirmedSpan, ViewSpan
from berylspindle_forwarding.applied_entries import SETTLE_S, VM_EXPIRY_S, AppliedEntries
from berylspindle_store.revisions import make_revision
from berylspindle_store.store import StoredValue

KEYS = st.sampled_from("abc")


class RestoredStoreMachine(RuleBasedStateMachine):
    """A VM in sync with a store that is written and returns from copies; each value is unique.

    `effect` is what the VM has in effect, `items` the store's number and value of each key.
    """

    @initialize(first_era=st.integers(0, 2))
    def start(self, first_era: int) -> None:
        self.now, self.era, self.number, self.writes = 0.0, first_era, 1, 0
        self.items: dict[str, tuple[int, bytes]] = {}
        self.copies = [(self.number, dict(self.items))]
        self.view = ViewSpan()
        self.effect: dict[str, bytes] = {}
        self.entries = AppliedEntries(
            is_vm_key=lambda key: False, is_same_change=lambda one, other: True
        )
        self.list_entries()

    @rule(key=KEYS)
    def put(self, key: str) -> None:
        """A write takes effect at once, also right after a return."""
        self.writes += 1
        self.number += 1
        self.items[key] = (self.number, b"%d" % self.writes)
        self.receive(self.entry(key))
        assert self.effect[key] == self.items[key][1]

    @rule(key=KEYS)
    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.number += 1
            revision = make_revision(self.era, self.number)
            self.receive(StoredValue(key=key, value=None, revision=revision))

    @rule()
    def copy(self) -> None:
        self.copies.append((self.number, dict(self.items)))

    @rule(position=st.integers(0, 5))
    def return_from_copy(self, position: int) -> None:
        """Nothing that the VM knows is reverted before the store has settled."""
        self.number, items = self.copies[position % len(self.copies)]
        self.items = dict(items)
        self.era += 1
        before = dict(self.effect)
        self.list_entries()
        assert self.effect == before

    @rule()
    def settle(self) -> None:
        """What nobody has written again is as the store has it."""
        self.now += SETTLE_S
        for entry in self.entries.take_settled(self.now):
            self.record(entry)
        assert self.effect == {key: value for key, (_, value) in self.items.items()}

    @invariant()
    def known_revisions_are_of_the_store(self) -> None:
        for key in self.effect:
            assert self.entries.known_revision(key) > 0

    def entry(self, key: str) -> StoredValue:
        number, value = self.items[key]
        return StoredValue(key=key, value=value, revision=make_revision(self.era, number))

    def list_entries(self) -> None:
        revision = make_revision(self.era, self.number)
        self.view.add(ConfirmedSpan(self.now, self.now, self.era))
        span = self.view.span
        assert span is not None
        self.entries.set_settled_from(span.since if span.follows_gap else None)
        for key in sorted(self.items):
            self.receive(self.entry(key))
        for key in self.entries.missing_keys(self.items):
            self.receive(StoredValue(key=key, value=None, revision=revision))

    def receive(self, entry: StoredValue) -> None:
        if self.entries.apply(self.now, entry):
            self.record(entry)

    def record(self, entry: StoredValue) -> None:
        if entry.value is None:
            del self.effect[entry.key]
        else:
            self.effect[entry.key] = entry.value


RestoredStoreMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=200
)
TestRestoredStore = RestoredStoreMachine.TestCase


@pytest.mark.parametrize(("key", "expiry"), [("a", DEFAULT_MAX_GAP_S), ("vm", VM_EXPIRY_S)])
def test_deletion_is_deferred_only_if_a_lease_may_have_expired_in_the_outage(
    key: str, expiry: float
) -> None:
    """Guard against requests to replicas that leave right after a moment without an answer."""
    for before, is_deferred in ((0.01, False), (0.0, True)):
        entries = AppliedEntries(
            is_vm_key=lambda key: key == "vm", is_same_change=lambda one, other: True
        )
        entries.apply(0.0, StoredValue(key=key, value=b"1", revision=1))
        entries.set_settled_from(100.5, gap_from=100.0)
        deletion = StoredValue(key=key, value=None, revision=2)
        assert entries.apply(100.0 + expiry - before, deletion) is not is_deferred
        assert entries.is_deferred(key) is is_deferred
