"""State of one shard within a search.

Terms:
  backoff retry   another round of attempts at a shard whose replicas refused the request without
                  running it, for a transient reason
"""

from __future__ import annotations

import attrs

from berylspindle_dataplane.router import Target
from berylspindle_model.messages import AttemptReply


@attrs.define(eq=False)
class ShardProgress:
    """Attempts, hedge, reply and retry state of one shard within a search."""

    name: str
    outstanding: dict[str, Target] = attrs.field(factory=dict)
    tried: set[str] = attrs.field(factory=set)
    attempts: int = 0
    first_id: str = ""
    first_sent_at: float = 0.0
    hedged: bool = False
    reply: AttemptReply | None = None
    backoff_retries: int = 0
    retry_at: float | None = None

    def reset(self) -> None:
        """Clear all attempts when the search moves to another snapshot."""
        self.outstanding.clear()
        self.tried.clear()
        self.attempts = 0
        self.first_id = ""
        self.hedged = False
        self.reply = None
        self.retry_at = None
