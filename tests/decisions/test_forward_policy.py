"""The switches of forwarding's decisions, as settings name them."""

from __future__ import annotations

import attrs
import pytest

from berylspindle_decisions.forward_policy import ForwardPolicy, read_policy, switched_off

NAMES = tuple(attrs.fields_dict(ForwardPolicy))


def test_all_decisions_are_on_unless_a_setting_says_otherwise():
    assert read_policy("") == ForwardPolicy()
    assert switched_off(ForwardPolicy()) == ()
    assert read_policy(" hedges = on ,") == ForwardPolicy()


@pytest.mark.parametrize("name", NAMES)
def test_each_switch_is_set_by_its_name_and_told(name: str):
    policy = read_policy(f"{name}=off")
    assert switched_off(policy) == (name,)
    assert policy == attrs.evolve(ForwardPolicy(), **{name: False})


@pytest.mark.parametrize("text", ["hedging=off", "hedges", "hedges=no", "hedges=off;relays=off"])
def test_a_setting_that_is_not_understood_is_refused_with_the_names_that_are(text: str):
    with pytest.raises(ValueError, match="hedge_idle_only"):
        read_policy(text)
