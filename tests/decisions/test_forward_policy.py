"""Switches of the forwarding decisions and their setting."""

from __future__ import annotations

import attrs
import pytest

from berylspindle_decisions.forward_policy import ForwardPolicy, disabled_switches, parse_policy

NAMES = tuple(attrs.fields_dict(ForwardPolicy))
OFF_BY_DEFAULT = ("uses_pace",)


def test_all_other_switches_are_on_by_default():
    assert parse_policy("") == ForwardPolicy()
    off = tuple(name for name, is_on in attrs.asdict(ForwardPolicy()).items() if not is_on)
    assert off == OFF_BY_DEFAULT
    assert disabled_switches(ForwardPolicy()) == ()
    assert parse_policy(" hedges = on ,") == ForwardPolicy()


@pytest.mark.parametrize("name", NAMES)
def test_each_switch_is_disabled_by_name_and_reported(name: str):
    policy = parse_policy(f"{name}=off")
    assert disabled_switches(policy) == (() if name in OFF_BY_DEFAULT else (name,))
    assert policy == attrs.evolve(ForwardPolicy(), **{name: False})


@pytest.mark.parametrize("name", OFF_BY_DEFAULT)
def test_a_switch_that_is_off_by_default_is_enabled_by_name(name: str):
    policy = parse_policy(f"{name}=on")
    assert policy == attrs.evolve(ForwardPolicy(), **{name: True})
    assert disabled_switches(policy) == ()


@pytest.mark.parametrize("text", ["hedging=off", "hedges", "hedges=no", "hedges=off;relays=off"])
def test_an_invalid_setting_is_rejected_with_the_known_names(text: str):
    with pytest.raises(ValueError, match="hedge_idle_only"):
        parse_policy(text)
