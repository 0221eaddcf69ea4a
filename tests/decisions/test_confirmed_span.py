"""Times at which the store is known to have answered."""

from __future__ import annotations

import itertools

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from berylspindle_decisions.confirmed_span import (
    DEFAULT_MAX_GAP_S,
    ConfirmedSpan,
    ViewSpan,
    confirmed_by_call,
    from_ages,
    max_gap,
)

HEARTBEAT_S = 1.2


def answer(at: float, era: int = 0) -> ConfirmedSpan:
    return ConfirmedSpan(at, at, era)


def test_outage_in_which_a_lease_can_expire_is_a_gap() -> None:
    """Guard against live replicas that are removed because their leases expired in an outage."""
    view = ViewSpan()
    view.add(answer(0.0))
    view.add(answer(2 * HEARTBEAT_S))
    assert view.span == ConfirmedSpan(2.4, 2.4, 0, follows_gap=True)
    assert max_gap(HEARTBEAT_S) == pytest.approx(DEFAULT_MAX_GAP_S)


def test_outage_is_not_hidden_in_a_call_that_is_answered_late() -> None:
    """Guard against a call sent during an outage that counts as an answer of that time."""
    view = ViewSpan()
    view.add(answer(0.0))
    late = confirmed_by_call(sent=1.46, received=2.47, wait=0.05, era=0, has_changes=True)
    view.add(late)
    assert view.span is not None
    assert view.span.follows_gap
    assert view.span.since == 2.47


def test_span_of_a_peer_covers_the_time_in_which_the_store_rejected_this_vm() -> None:
    """Guard against deletions that one VM defers since the store rejected it alone."""
    view = ViewSpan()
    view.add(answer(0.0))
    view.add(answer(3.6))
    assert view.span == ConfirmedSpan(3.6, 3.6, 0, follows_gap=True)
    view.add(ConfirmedSpan(-20.0, 3.4))
    assert view.span is not None
    assert (view.span.since, view.span.at) == (-20.0, 3.6)


def test_span_of_a_vm_just_started_does_not_hide_a_gap_that_others_know() -> None:
    """Guard against live replicas that are removed since a VM started right after an outage."""
    view = ViewSpan()
    view.add(answer(0.0))
    view.add(answer(10.0))
    view.add(ConfirmedSpan(9.99, 10.1))
    assert view.span == ConfirmedSpan(9.99, 10.1, 0, follows_gap=True)


def test_outage_right_after_the_first_list_is_a_gap() -> None:
    """Guard against a VM that starts just before an outage, and drops all replicas after it."""
    view = ViewSpan()
    view.on_unconfirmed_list(0.0)
    view.add(answer(2.4))
    assert view.span == ConfirmedSpan(2.4, 2.4, 0, follows_gap=True)


def test_call_that_is_not_answered_is_no_gap() -> None:
    """Guard against a single lost answer that defers the deletions of a VM without peers."""
    view = ViewSpan()
    view.add(answer(0.0))
    view.add(answer(DEFAULT_MAX_GAP_S - 0.1))
    assert view.span == ConfirmedSpan(0.0, DEFAULT_MAX_GAP_S - 0.1)


def test_two_failed_calls_in_a_row_show_an_outage_that_is_shorter_than_a_gap() -> None:
    """Guard against live replicas that are removed after an outage that swallows a heartbeat."""
    view, peer = ViewSpan(), ViewSpan()
    for known in (view, peer):
        known.add(answer(0.0))
    view.on_failed_call(0.2)
    view.on_failed_call(0.9)
    view.add_answer(answer(1.9))
    assert view.span == ConfirmedSpan(1.9, 1.9, 0, follows_gap=True)
    assert view.span.gap_from == 0.0
    peer.add(view.span)
    assert peer.span == view.span
    # A later answer to another VM belongs to the same outage.
    view.add(ConfirmedSpan(2.6, 2.6, 0, follows_gap=True, gap_from=0.0))
    assert (view.span.since, view.span.at) == (1.9, 2.6)


@pytest.mark.parametrize(("failed", "peer_at"), [((0.2,), 0.0), ((0.2, 0.9), 0.3)])
def test_failed_calls_of_one_vm_alone_are_no_outage(
    failed: tuple[float, ...], peer_at: float
) -> None:
    """Guard against a lost response, or a rejected VM, that defers the deletions of a fleet."""
    view = ViewSpan()
    view.add(answer(0.0))
    for at in failed:
        view.on_failed_call(at)
    view.add(answer(peer_at))
    view.add_answer(answer(1.9))
    assert view.span == ConfirmedSpan(0.0, 1.9)


def test_deferral_ends_at_the_same_time_whoever_relays_the_first_answer() -> None:
    """Guard against deletions that each hop defers anew."""
    first, second = ViewSpan(), ViewSpan()
    first.add(answer(0.0))
    second.add(ConfirmedSpan(0.0, 0.0))
    first.add(answer(5.0))
    for now in (5.5, 6.0, 6.5):
        first.add(answer(now))
        assert first.span is not None
        second.add(first.span)
        assert second.span is not None
        assert (second.span.since, second.span.follows_gap) == (5.0, True)


def test_return_from_a_copy_is_a_gap_of_any_length() -> None:
    """Guard against a copy's entries that take effect at once after a moment's absence."""
    view = ViewSpan()
    view.add(answer(0.0))
    view.add(answer(0.4, era=1))
    view.add(ConfirmedSpan(-9.0, 0.9, 0))
    assert view.span == ConfirmedSpan(0.4, 0.4, 1, follows_gap=True)


def test_vms_that_follow_each_other_gain_nothing() -> None:
    """Guard against two VMs without the store that take each other's entries as current."""
    one, two = ViewSpan(), ViewSpan()
    one.add(answer(1.0))
    two.add(answer(0.8))
    for _ in range(20):
        assert one.span is not None
        two.add(one.span)
        assert two.span is not None
        one.add(two.span)
    assert one.span == ConfirmedSpan(0.8, 1.0)


@settings(derandomize=True, deadline=None, database=None, max_examples=200)
@given(
    st.lists(st.floats(0.05, 4.0), min_size=1, max_size=8),
    st.floats(0.0, 0.3),
    st.floats(0.0, 0.8),
    st.floats(0.0, 0.3),
)
def test_span_handed_on_is_never_more_recent_than_the_store_was(
    gaps: list[float], request_way: float, held: float, response_way: float
) -> None:
    """Guard against a view that counts as recent although a hop has delayed it."""
    source, reader = ViewSpan(), ViewSpan()
    for at in itertools.accumulate(gaps):
        source.add(answer(at))
        assert source.span is not None
        sent = at
        stated = sent + request_way + held
        received = stated + response_way
        span = from_ages(
            sent=sent,
            received=received,
            held=held,
            at_age=stated - source.span.at,
            since_age=stated - source.span.since,
            era=0,
            follows_gap=source.span.follows_gap,
        )
        assert span.at <= source.span.at + 1e-9
        assert span.since >= source.span.since - 1e-9
        reader.add(span)
    assert source.span is not None
    assert reader.span is not None
    assert reader.span.at <= source.span.at + 1e-9
    assert not source.span.follows_gap or reader.span.follows_gap or len(gaps) == 1


def test_watch_without_changes_is_confirmed_at_the_end_of_its_wait() -> None:
    call = {"sent": 1.0, "wait": 0.5, "era": 3}
    assert confirmed_by_call(received=1.51, has_changes=False, **call).at == 1.5  # type: ignore[arg-type]
    assert confirmed_by_call(received=1.3, has_changes=False, **call).at == 1.0  # type: ignore[arg-type]
    changed = confirmed_by_call(received=1.4, has_changes=True, **call)  # type: ignore[arg-type]
    assert changed == attrs.evolve(answer(1.0, 3), since=1.4)


def test_answer_before_a_gap_is_handed_on_no_later_than_it_was() -> None:
    """Guard against a hop that applies deletions of leases which expired in an outage."""
    span = from_ages(
        sent=10.0,
        received=10.6,
        held=0.2,
        at_age=0.1,
        since_age=0.5,
        era=0,
        follows_gap=True,
        gap_age=2.0,
    )
    assert span.gap_from == pytest.approx(8.2)
