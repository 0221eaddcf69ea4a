"""Protocol-independent client interface for one backend server.

Terms:
  attempt    one sub-request to the backend server; its reply carries the same id
  report     state that the backend server reports about itself. It may be outdated or wrong, so a
             report may lower the concurrency limit of the server but never raise it

The owner of a backend server holds one `Backend` for it and closes it when ownership ends.
"""

from __future__ import annotations

import abc

import attrs

from berylspindle_model.backend_protocol import BackendState
from berylspindle_model.messages import Attempt, AttemptReply
from berylspindle_model.snapshot import Snapshot


@attrs.frozen(kw_only=True)
class BackendReport:
    """State that a backend server reports, with the snapshots it holds, oldest first."""

    state: BackendState
    versions: tuple[Snapshot, ...] = ()
    in_flight: int | None = None


class Backend(abc.ABC):
    """Client of one backend server. Cancelling a call cancels the work at the server."""

    @property
    def open_connections(self) -> int:
        """Return the number of open connections; 0 for a connectionless protocol."""
        return 0

    @abc.abstractmethod
    async def run(self, attempt: Attempt, *, deadline_ms: int) -> AttemptReply:
        """Run one attempt and return its reply; failures are returned as replies, not raised.

        The run state is NOT_RUN only if no byte reached the server or the server itself refused the
        work.
        """

    @abc.abstractmethod
    async def report(self) -> BackendReport | None:
        """Return the server's report, or None if it did not arrive in time."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
