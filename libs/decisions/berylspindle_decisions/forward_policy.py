"""Which decisions of forwarding are on: one switch a mechanism, all on unless a setting says so.

Terms:
  switch   a mechanism that can be left out, so that what it is worth can be measured

Flow: the daemon reads `POLICY_VARIABLE` once at its start by `read_policy` and hands the result to
what makes the decisions; each switch is read in one place. Trials set the fields themselves.

A switch that is off breaks no promise of its own: bounds on repeats, cold caps and what is never
sent twice have none.
"""

from __future__ import annotations

from typing import Final

import attrs

POLICY_VARIABLE: Final = "BERYLSPINDLE_POLICY"


@attrs.frozen(kw_only=True)
class ForwardPolicy:
    """The switches."""

    # A second attempt goes out beside a late one; off, a paused replica is waited for.
    hedges: bool = True
    # Hedges go only where a slot is free; off, they lengthen queues under a burst.
    hedge_idle_only: bool = True
    # What would only lengthen queues is refused at once; off, all is late together.
    refuses: bool = True
    # The refused share drifts with the pressure; off, queues settle longer the more is offered.
    drifts: bool = True
    # Of the less urgent more is refused; off, each kind is weighed by its own queues alone.
    urgent_first: bool = True
    # A search is answered at its aim with enough parts; off, it waits for the last one.
    partial_at_target: bool = True
    # Replicas of the own data centre go first until they are twice as slow; off, all are alike.
    prefers_near: bool = True
    # A replica that answers slowly gets less; off, only its queue counts.
    learns_pace: bool = True
    # One pause counts once against a fast replica; off, each of its late answers does.
    clips_jumps: bool = True
    # A replica that refuses or fails often gets less; off, a success clears it.
    learns_sheds: bool = True
    # The load that other VMs usually bring counts between reports; off, the last report alone.
    estimate_load: bool = True
    # Searches of small VMs go through bigger ones of their data centre; off, each does its own.
    relays: bool = True
    # Shards without a replica near come as one answer of a VM near them; off, each comes alone.
    subsets: bool = True
    # What may not be repeated avoids replicas that lost answers of any VM; off, of this one alone.
    shares_losses: bool = True
    # A service without a usable replica is waited for; off, its callers are told at once.
    wait_for_replica: bool = True


def read_policy(text: str) -> ForwardPolicy:
    """Return the policy that a setting such as "hedges=off, relays=off" says.

    Raises ValueError for a name or a value that isn't known, with the names that are.
    """
    known = attrs.fields_dict(ForwardPolicy)
    changes: dict[str, bool] = {}
    for part in filter(None, (part.strip() for part in text.split(","))):
        name, _, value = (piece.strip() for piece in part.partition("="))
        if name not in known or value not in ("on", "off"):
            raise ValueError(f"{part!r}: takes NAME=on or NAME=off; names: {', '.join(known)}")
        changes[name] = value == "on"
    return ForwardPolicy(**changes)


def switched_off(policy: ForwardPolicy) -> tuple[str, ...]:
    """Return the names of the switches that are off."""
    return tuple(name for name, is_on in attrs.asdict(policy).items() if not is_on)
