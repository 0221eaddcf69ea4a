"""What was decided for one request, step by step, as the log tells it.

Terms:
  step   one decision or one thing learned: an attempt that went out, how one ended, a shard lost

Flow: the drive of a request notes its steps, which costs an append each; they are written out only
for requests that the log tells of in full.
"""

from __future__ import annotations

from typing import Any, Final

from berylspindle_forwarding.replica_book import ReplicaHandle
from berylspindle_wire.exchange import ExchangeEnd


class RequestStory:
    """The steps of one request; times are milliseconds since it came."""

    __slots__ = ("_started", "_steps", "extras")

    def __init__(self, started: float) -> None:
        self._started: Final = started
        self._steps: list[tuple[float, str, Any, Any, Any]] = []
        self.extras = 0

    def sent(self, now: float, handle: ReplicaHandle, reason: str) -> None:
        """Note an attempt that goes out, and what this VM held of the replica."""
        if reason != "first":
            self.extras += 1
        standing = handle.standing
        self._steps.append(
            (now, reason, handle.replica.id, standing.outstanding, standing.pace(now))
        )

    def replied(self, now: float, replica: str, verdict: str, status: int) -> None:
        """Note a whole reply."""
        self._steps.append((now, verdict, replica, status, None))

    def ended(self, now: float, replica: str, end: ExchangeEnd) -> None:
        """Note an attempt without a reply."""
        self._steps.append((now, end.kind.value, replica, end.detail, None))

    def lost(self, now: float, service: str, detail: str) -> None:
        """Note a service that gives no answer."""
        self._steps.append((now, "given up", service, detail, None))

    def told(self) -> str:
        """Return all steps as one text."""
        return "; ".join(self._step(*step) for step in self._steps)

    def _step(self, now: float, what: str, who: Any, one: Any, other: Any) -> str:
        at = (now - self._started) * 1000
        if other is not None:
            return f"{at:.1f} {what} {who} out={one} pace={other:.1f}"
        return f"{at:.1f} {what} {who} {one}"
