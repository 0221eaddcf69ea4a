"""Switches of the forwarding decisions and their setting."""

from __future__ import annotations

import attrs
import pytest

from berylspindle_decisions.forward_policy import ForwardPolicy, disabled_switches, parse_policy

NAMES = tuple(attrs.fields_dict(ForwardPolicy))


def test_all_switches_are_on_by_default():
    assert parse_policy("") == ForwardPolicy()
    assert disabled_switches(ForwardPolicy()) == ()
    assert parse_policy(" hedges = on ,") == ForwardPolicy()


@pytest.mark.parametrize("name", NAMES)
def test_each_switch_is_disabled_by_name_and_reported(name: str):
    policy = parse_policy(f"{name}=off")
    assert disabled_switches(policy) == (name,)
    assert policy == attrs.evolve(ForwardPolicy(), **{name: False})


@pytest.mark.parametrize("text", ["hedging=off", "hedges", "hedges=no", "hedges=off;relays=off"])
def test_an_invalid_setting_is_rejected_with_the_known_names(text: str):
    with pytest.raises(ValueError, match="hedge_idle_only"):
        parse_policy(text)
