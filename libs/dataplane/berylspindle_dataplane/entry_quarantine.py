"""Quarantine of one entry that records its changes and notifies the gossip.

Terms:
  strike   loss of all connections to a backend server during an attempt (`quarantine`)
  change   a strike, a quarantine or a clearing that other VMs must receive

Flow: the fan-out and the executor pass each reply to `record_reply`. A change calls `on_change`,
which makes `quarantine_gossip` send it to the other VMs. A fingerprint that becomes quarantined, or
is no longer quarantined, is recorded in the timeline. `expire` must be called periodically, since a
quarantine ends by time alone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from berylspindle_decisions.quarantine import (
    UNKNOWN_ELAPSED_MS,
    Quarantine,
    QuarantineLevel,
    QuarantineOptions,
    SuspectRecord,
)
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.events import EventKind
from berylspindle_model.messages import AttemptReply
from berylspindle_telemetry.timeline import Timeline


def _no_op() -> None:
    """Default for `on_change` until a gossip is attached."""


class EntryQuarantine(Quarantine):
    """Quarantine that is updated from replies and reports its changes."""

    def __init__(self, timeline: Timeline, options: QuarantineOptions | None = None) -> None:
        super().__init__(options)
        self.on_change: Callable[[], None] = _no_op
        self._timeline: Final = timeline
        self._quarantined: set[str] = set()

    @property
    def quarantined(self) -> int:
        """Return the number of quarantined fingerprints."""
        return len(self._quarantined)

    def record_reply(self, now: float, fingerprint: str, reply: AttemptReply) -> None:
        """Update the quarantine from the reply to a request.

        A lost connection counts only if the owner reports the loss of its connections to the
        backend server: a broken link between VMs, as when a VM is replaced, is not caused by the
        request.
        """
        if reply.error is None:
            self.on_success(now, fingerprint)
        elif reply.error is ErrorKind.QUARANTINED:
            self.on_suspected(now, fingerprint)
        elif is_connection_loss(reply):
            self.on_connection_lost(
                now,
                fingerprint,
                reply.server,
                start=reply.loss_event or None,
                elapsed_ms=reply.served_ms or UNKNOWN_ELAPSED_MS,
                in_flight=reply.lost_together,
            )

    def on_success(self, now: float, fingerprint: str) -> None:
        """Record that a backend server ran the request without crashing."""
        was = self.level(now, fingerprint)
        super().on_success(now, fingerprint)
        if was is not QuarantineLevel.CLEARED:
            self._on_local_change(now, (fingerprint,))

    def on_connection_lost(
        self,
        now: float,
        fingerprint: str,
        server: str,
        *,
        start: int | None = None,
        elapsed_ms: float = UNKNOWN_ELAPSED_MS,
        in_flight: int = 1,
    ) -> None:
        """Record lost connections during the request; `in_flight` attempts were lost together."""
        super().on_connection_lost(
            now, fingerprint, server, start=start, elapsed_ms=elapsed_ms, in_flight=in_flight
        )
        self._on_local_change(now, (fingerprint,))

    def merge(self, records: Iterable[SuspectRecord], now: float) -> bool:
        """Merge records of peers; return whether any was new and must be forwarded."""
        received = tuple(records)
        changed = super().merge(received, now)
        self._record_levels(now, (record.fingerprint for record in received))
        return changed

    def expire(self, now: float) -> None:
        """Record in the time line which quarantines have expired."""
        self._record_levels(now, tuple(self._quarantined))

    def _on_local_change(self, now: float, fingerprints: tuple[str, ...]) -> None:
        self._record_levels(now, fingerprints)
        self.on_change()

    def _record_levels(self, now: float, fingerprints: Iterable[str]) -> None:
        for fingerprint in fingerprints:
            is_refused = self.level(now, fingerprint) is QuarantineLevel.QUARANTINED
            if is_refused and fingerprint not in self._quarantined:
                self._quarantined.add(fingerprint)
                self._timeline.record(EventKind.QUARANTINED, detail=fingerprint)
            elif not is_refused and fingerprint in self._quarantined:
                self._quarantined.discard(fingerprint)
                self._timeline.record(EventKind.QUARANTINE_ENDED, detail=fingerprint)


def is_connection_loss(reply: AttemptReply) -> bool:
    """Return whether the backend server lost its connections during an attempt it may have run."""
    return (
        reply.error is ErrorKind.CONNECTION_LOST
        and reply.run is RunState.MAY_HAVE_RUN
        and reply.lost_together > 0
    )
