"""Decide whether a request that no owner has taken is sent again, and after which delay.

Load: busy VMs and moving ownership. An owner that accepts a link too slowly, that leaves, or whose
backend server has just moved to another VM refuses a request without running it. The same backend
server usually accepts the request moments later, so that it makes no difference to the server.

Terms:
  rerouted   sent again to the backend servers of its shard, through their present owners

Flow: after each reply that is certainly NOT_RUN, `is_owner_refusal` tells whether the owner refused
rather than the backend server. Once all targets have refused, `reroute_delay` returns how long to
wait before the next round.
"""

from __future__ import annotations

from typing import Final

from berylspindle_model.errors import ErrorKind

FIRST_REROUTE_DELAY_S: Final = 0.02
MAX_REROUTE_DELAY_S: Final = 0.25
# Share of the request's time after which it is refused. The caller needs the rest for a retry
# through another VM, which may reach an owner that this one can't.
REROUTE_TIME_SHARE: Final = 0.5

_OWNER_REFUSALS: Final = frozenset(
    {ErrorKind.PEER_LOST, ErrorKind.NOT_OWNER, ErrorKind.SHUTTING_DOWN}
)


def is_owner_refusal(kind: ErrorKind | None) -> bool:
    """Return whether the owner refused an attempt before it reached the backend server."""
    return kind in _OWNER_REFUSALS


def reroute_delay(rounds: int, *, now: float, started: float, deadline: float) -> float | None:
    """Return the delay in seconds before the next round, or None if the request is refused.

    `rounds` counts the previous delays. `started` and `deadline` are the times, in seconds, at
    which the dispatch began and by which it must end.
    """
    # The exponent is limited because 2.0**1024 overflows.
    delay = min(MAX_REROUTE_DELAY_S, FIRST_REROUTE_DELAY_S * 2.0 ** min(rounds, 16))
    latest = started + REROUTE_TIME_SHARE * (deadline - started)
    return delay if now + delay < latest else None
