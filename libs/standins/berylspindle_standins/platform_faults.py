"""Faults and counts of the platform's stand-in.

Terms:
  fault   an injected fault that is set by `PUT /faults` on the admin port while the platform runs
  count   a counter of calls or events, as ground truth for tests and benchmarks

Flow: `PUT /faults` carries the fields to set; `GET /counts` returns the counts.
"""

from __future__ import annotations

import collections
import enum
from typing import Any

import attrs

from berylspindle_model import codec


class Outage(enum.StrEnum):
    """How the platform is unavailable."""

    NONE = "none"
    RESET = "reset"
    SILENT = "silent"
    REFUSE = "refuse"


@attrs.define(kw_only=True)
class PlatformFaults:
    """Active faults. Counted faults decrease by one with each use; -1 means unlimited.

    Attributes:
        outage: RESET closes every connection without a reply, SILENT never replies, REFUSE
            replies 503. No call takes effect in an outage, but leases still expire.
        delay_ms: delay before a call takes effect.
        late_reply_ms: delay between the effect of a write and its reply.
        lost_replies: writes that take effect and whose connection is then closed without a reply.
        lost_reply_share: probability that a write loses its reply that way, drawn with the seed.
        read_lag_ms: age of the state that gets and lists return.
        watch_delay_ms: delay of changes on their way to watches.
        watch_repeats: watch replies that end with a repeated old change.
        vm_list_lag_ms: age of the VM list that is returned.
        writes_per_second: limit above which writes are refused with 503; None is no limit.
        reads_per_second: the same for reads, including watches.
    """

    outage: Outage = Outage.NONE
    delay_ms: float = 0.0
    late_reply_ms: float = 0.0
    lost_replies: int = 0
    lost_reply_share: float = 0.0
    read_lag_ms: float = 0.0
    watch_delay_ms: float = 0.0
    watch_repeats: int = 0
    vm_list_lag_ms: float = 0.0
    writes_per_second: int | None = None
    reads_per_second: int | None = None

    def consume(self, counter: str) -> bool:
        """Use a counted fault once. Return False if none is remaining."""
        remaining: int = getattr(self, counter)
        if remaining > 0:
            setattr(self, counter, remaining - 1)
        return remaining != 0


@attrs.frozen(kw_only=True)
class PlatformChange:
    """Body of PUT /faults. `clear` resets all faults first; `compact` clears the log once."""

    set: dict[str, Any] = attrs.field(factory=dict)
    clear: bool = False
    compact: bool = False


@attrs.define(kw_only=True)
class PlatformCounts:
    """Counts of the platform.

    Attributes:
        calls: number by kind: get, list, watch, vms, put, delete, grant, keep_alive, revoke.
        writes: puts, deletes and lease calls.
        reads: all other calls; a watch counts as one.
        refused: calls and connections refused by an outage or a rate limit.
        lost: writes that took effect and whose reply was lost.
        waiting_watches: watches that are currently waiting.
        peak_writes_per_second: most writes within one clock second.
        peak_reads_per_second: most reads within one clock second.
        largest_value: size of the largest value of a put, in bytes.
    """

    calls: dict[str, int] = attrs.field(factory=lambda: collections.defaultdict(int))
    writes: int = 0
    reads: int = 0
    conflicts: int = 0
    refused: int = 0
    lost: int = 0
    waiting_watches: int = 0
    peak_waiting_watches: int = 0
    peak_writes_per_second: int = 0
    peak_reads_per_second: int = 0
    largest_value: int = 0


def apply_platform_change(faults: PlatformFaults, change: PlatformChange) -> PlatformFaults:
    """Return the faults with a change applied. Raises DecodeError for an invalid field."""
    base = PlatformFaults() if change.clear else faults
    unknown = sorted(set(change.set) - {field.name for field in attrs.fields(PlatformFaults)})
    if unknown:
        raise codec.DecodeError(f"no such fault: {', '.join(unknown)}")
    return codec.from_json(codec.to_json({**attrs.asdict(base), **change.set}), PlatformFaults)
