"""Split the time that a caller allows over the hops of a request.

Load: any load near a deadline. Without a margin a backend server works until the last millisecond
and its answer arrives too late: the work is wasted, and the caller gets a timeout instead of a
partial answer.

Terms:
  left        milliseconds until the sender of a request stops waiting, counted from the time of
              sending
  way back    time to carry a reply one hop up, including the wakeup of a busy process

Flow: caller -> `for_entry` -> entry -> `for_owner` -> owner -> `for_server` -> backend server.
Every hop passes on the remaining time and never a time of day, since clocks of VMs differ.

Margins: a caller is 3 ms away in each direction, another data centre 0.5 ms, and a busy event loop
adds about 1 ms. A margin takes at most a fifth of the remaining time, so that short deadlines still
reach the backend servers.
"""

from __future__ import annotations

from typing import Final

import attrs

MAX_MARGIN_SHARE: Final = 0.2


@attrs.frozen(kw_only=True)
class DeadlineOptions:
    """Margins, all in milliseconds.

    Attributes:
        caller_ms: round trip between caller and entry, since the caller's timeout starts when it
            sends the request.
        hop_ms: way back from an owner to an entry, including one wakeup of a busy process.
        server_ms: way back from a backend server to its owner.
        merge_ms_per_shard: time to decode and merge the reply of one shard.
        min_useful_ms: minimum time that is passed on to the next hop.
    """

    caller_ms: float = 6.0
    hop_ms: float = 1.5
    server_ms: float = 1.0
    merge_ms_per_shard: float = 0.02
    min_useful_ms: float = 1.0


class Deadlines:
    """Compute the time that each hop may give to the next one."""

    def __init__(self, options: DeadlineOptions | None = None) -> None:
        self._options = options or DeadlineOptions()

    def for_entry(self, left_ms: float, *, shards: int) -> float | None:
        """Return the time in which an entry must get all replies, or None if it is too short.

        `left_ms` is the caller's timeout, which starts when the caller sends the request.
        """
        merge_ms = shards * self._options.merge_ms_per_shard
        return self._subtract_margin(left_ms, self._options.caller_ms + merge_ms)

    def for_owner(self, left_ms: float) -> float | None:
        """Return the time that an entry gives to an owner, or None if it is too short."""
        return self._subtract_margin(left_ms, self._options.hop_ms)

    def for_server(self, left_ms: float) -> float | None:
        """Return the time that an owner gives to a backend server, or None if it is too short."""
        return self._subtract_margin(left_ms, self._options.server_ms)

    def _subtract_margin(self, left_ms: float, margin_ms: float) -> float | None:
        remaining_ms = left_ms - min(margin_ms, left_ms * MAX_MARGIN_SHARE)
        return remaining_ms if remaining_ms >= self._options.min_useful_ms else None
