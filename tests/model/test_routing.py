"""Test the look-up of organisations by key."""

from __future__ import annotations

from berylspindle_model.routing import CallerLimits, Organisation, RoutingTable


def test_key_of_two_organisations_belongs_to_neither() -> None:
    """Guard against requests that are counted for another organisation that has the same key."""
    keys = {"first": ("a", "shared", "a"), "second": ("shared", "b"), "third": ("shared",)}
    rows = tuple(Organisation(name=name, keys=held) for name, held in keys.items())
    table = RoutingTable(1, (), {}, CallerLimits(), rows)
    found = [table.find_organisation(key) for key in ("a", "b", "shared", "A")]
    assert found == [rows[0], rows[1], None, None]
    assert table.key_conflicts == (("first", "second", "third"),)
    assert "shared" not in repr(rows)
