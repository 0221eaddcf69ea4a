"""Settings and counts that all links of one VM share."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from berylspindle_model.topology import Vm


@attrs.frozen(kw_only=True)
class LinkSettings:
    """Settings shared by all links of one VM; see `PeerLinks`.

    `max_silent_ticks` limits the calls of `EntryLink.tick` in a row without a frame from the owner.
    """

    entry_id: str
    key: bytes | None
    connect_timeout: float
    max_silent_ticks: int
    max_queued: int
    on_fault: Callable[[BaseException], None]
    on_silent: Callable[[Vm], None]


@attrs.define
class LinkCounters:
    """Cumulative counts over all links of one VM.

    `dropped_replies` counts late or misrouted replies.
    """

    opened: int = 0
    open_failed: int = 0
    broken: int = 0
    silent: int = 0
    overloaded: int = 0
    frames_sent: int = 0
    frames_received: int = 0
    replies: int = 0
    dropped_replies: int = 0
