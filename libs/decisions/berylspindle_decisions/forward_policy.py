"""Switches of the forwarding decisions, one per mechanism; all but `uses_pace` are on by default.

Terms:
  switch   a mechanism that can be disabled, so that its effect can be determined

Flow: the daemon parses `POLICY_VARIABLE` once at its start with `parse_policy` and passes the
result to the decisions; each switch is read in one place. Trials set the fields directly.

Disabling a switch breaks no guarantee: there are no switches for the limits on attempts, the cold
caps and the rule that some requests are never sent twice.
"""

from __future__ import annotations

from typing import Final

import attrs

POLICY_VARIABLE: Final = "BERYLSPINDLE_POLICY"


@attrs.frozen(kw_only=True)
class ForwardPolicy:
    """Switches of the forwarding decisions."""

    # Send a second attempt while a late one is in flight. If disabled, wait for paused replicas.
    hedges: bool = True
    # Send hedges only to replicas with a free slot. If disabled, they lengthen queues in a burst.
    hedge_idle_only: bool = True
    # Reject requests that would only lengthen queues. If disabled, every answer is late.
    refuses: bool = True
    # Integrate the pressure into the rejected share. If disabled, queues grow with the load.
    drifts: bool = True
    # Reject more of lower priorities. If disabled, each priority counts its own queues only.
    urgent_first: bool = True
    # Reject less of organisations that use less than their fair share. If disabled, an organisation
    # that causes an overload and the others lose the same share of their requests.
    fair_shares: bool = True
    # Answer a search at its latency target with enough parts. If disabled, wait for all parts.
    partial_at_target: bool = True
    # Prefer replicas of the own data centre until they are twice as slow.
    prefers_near: bool = True
    # Send less to replicas that answer slowly. If disabled, only their queues count.
    learns_pace: bool = True
    # Use the pace that replicas report. Off by default: parts that miss the latency target became
    # more, as most reports are older than the pace lasts.
    uses_pace: bool = False
    # Count a pause once against a fast replica. If disabled, each late answer counts.
    clips_jumps: bool = True
    # Send less to replicas that often refuse or fail. If disabled, one success clears them.
    learns_sheds: bool = True
    # Count the usual load of other VMs between reports. If disabled, only the last report counts.
    estimate_load: bool = True
    # Relay searches of small VMs through larger ones of the same data centre.
    relays: bool = True
    # Fetch remote shards as one merged answer of a VM near them. If disabled, one by one.
    subsets: bool = True
    # For requests that are not idempotent, avoid replicas that lost answers of any VM. If disabled,
    # avoid only those that lost answers of this VM.
    shares_losses: bool = True
    # Wait for a usable replica. If disabled, a request without one fails at once.
    wait_for_replica: bool = True
    # Lend the tokens of quotas to the VMs that need them. If disabled, each VM has an even share.
    lends_tokens: bool = True


def parse_policy(text: str) -> ForwardPolicy:
    """Parse a setting such as "hedges=off, relays=off".

    Raise ValueError for an unknown name or value, with a list of the known names.
    """
    known = attrs.fields_dict(ForwardPolicy)
    changes: dict[str, bool] = {}
    for part in filter(None, (part.strip() for part in text.split(","))):
        name, _, value = (piece.strip() for piece in part.partition("="))
        if name not in known or value not in ("on", "off"):
            raise ValueError(
                f"{part!r}: expected NAME=on or NAME=off; known names: {', '.join(known)}"
            )
        changes[name] = value == "on"
    return ForwardPolicy(**changes)


def disabled_switches(policy: ForwardPolicy) -> tuple[str, ...]:
    """Return the names of the switches that are disabled although they are on by default."""
    on_by_default = attrs.asdict(ForwardPolicy())
    return tuple(
        name for name, is_on in attrs.asdict(policy).items() if on_by_default[name] and not is_on
    )
