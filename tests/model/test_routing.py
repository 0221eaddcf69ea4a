"""Test the look-up of organisations by key."""

from __future__ import annotations

from berylspindle_model.routing import CallerLimits, Organisation, RoutingTable


def make_table(*organisations: Organisation) -> RoutingTable:
    return RoutingTable(1, (), {}, CallerLimits(), organisations)


def test_key_of_two_organisations_belongs_to_neither() -> None:
    """Guard against requests that are counted for another organisation that has the same key."""
    first = Organisation(name="first", keys=("a", "shared", "a"))
    second = Organisation(name="second", keys=("shared", "b"))
    third = Organisation(name="third", keys=("shared",))
    table = make_table(first, second, third, Organisation(name="none"))
    assert table.find_organisation("a") is first
    assert table.find_organisation("b") is second
    assert table.find_organisation("shared") is None
    assert table.find_organisation("A") is None
    assert table.key_conflicts == (("first", "second", "third"),)
    assert table.requires_key
    assert not make_table().requires_key


def test_representation_of_an_organisation_omits_its_keys() -> None:
    """Guard against keys in log lines and error messages."""
    assert "secret" not in repr(Organisation(name="first", keys=("secret",)))
