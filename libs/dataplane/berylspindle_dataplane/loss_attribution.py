"""Attribution of lost connections to the requests that ran at a backend server.

Terms:
  event   one loss of all connections to a backend server

Flow: the worker calls `is_suspect` before each dispatch, passes each reply through
`with_loss_count`, which adds the number of the event and of the attempts lost in it, and passes it
to `record_reply`.

A crash breaks all connections, and their attempts fail one after the other. If each were counted on
its own, the last of four innocent searches would appear to have been alone at the server and would
be quarantined. All attempts dispatched before the first loss therefore belong to the same event.
"""

from __future__ import annotations

from typing import Final

import attrs

from berylspindle_decisions.quarantine import Quarantine
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import AttemptReply


class LossAttribution:
    """Attribute the losses of one backend server to requests.

    `quarantine` belongs to the owner and is shared by all its workers.
    """

    def __init__(self, server_id: str, quarantine: Quarantine) -> None:
        self._server_id: Final = server_id
        self._quarantine: Final = quarantine
        self._event_at = float("-inf")
        self._event_size = 0
        self._events = 0

    def is_suspect(self, now: float, fingerprint: str, *, is_canary: bool) -> bool:
        """Return whether to refuse the request because it has crashed a server of this VM.

        A suspect that its entry sends as a canary is not refused; a quarantined one always is.
        """
        if not fingerprint:
            return False
        return self._quarantine.check_attempt(now, fingerprint, canary=is_canary) is not None

    def with_loss_count(
        self, now: float, reply: AttemptReply, *, dispatched_at: float, in_flight: int
    ) -> AttemptReply:
        """Return the reply; if its connection was lost, add the number of attempts lost together.

        `in_flight` is the number of attempts at the server just before this one ended, including
        it.
        """
        if reply.error is not ErrorKind.CONNECTION_LOST or reply.run is RunState.NOT_RUN:
            return reply
        if dispatched_at > self._event_at:
            self._event_at = now
            self._event_size = in_flight
            self._events += 1
        return attrs.evolve(reply, lost_together=self._event_size, loss_event=self._events)

    def record_reply(
        self, now: float, fingerprint: str, reply: AttemptReply, served_ms: float
    ) -> None:
        """Record whether the server was lost during the request or ran it without harm."""
        if not fingerprint:
            return
        if reply.error is None:
            self._quarantine.on_success(now, fingerprint)
        elif reply.lost_together:
            self._quarantine.on_connection_lost(
                now,
                fingerprint,
                self._server_id,
                start=reply.loss_event,
                elapsed_ms=served_ms,
                in_flight=reply.lost_together,
            )
