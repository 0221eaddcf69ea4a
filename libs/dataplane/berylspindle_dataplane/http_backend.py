"""HTTP/1.1 client of a backend server: sends calls, validates replies, classifies failures.

Terms:
  call    one HTTP request of `backend_protocol` for one attempt
  check   a reply is accepted only if it names the attempt and server of its call, and the service
          and shard of a search or the key of an execute; any other reply answers another request on
          a reused connection and is rejected as BAD_REPLY

Flow: `run` encodes the call, sends it on a pooled connection and converts the response or the
failure to one `AttemptReply`. Failed attempts are not retried here: a retry at this hop would hide
from the entry that the server may have run the work, and would multiply with the retries of the
entry.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_dataplane.backend import Backend, BackendReport
from berylspindle_dataplane.router import refusal_reply
from berylspindle_model import backend_protocol as protocol
from berylspindle_model import codec
from berylspindle_model.backend_protocol import BackendError
from berylspindle_model.configuration import Server
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import Attempt, AttemptReply
from berylspindle_wire.http import JSON_TYPE, HttpRequest, HttpResponse
from berylspindle_wire.http_client import FailurePhase, HttpFailure
from berylspindle_wire.http_pool import ConnectionPool

_KINDS: Final[dict[BackendError, ErrorKind]] = {
    BackendError.SHED: ErrorKind.SERVER_SHED,
    BackendError.DRAINING: ErrorKind.SERVER_LEAVING,
    BackendError.COLD: ErrorKind.SERVER_SHED,
    BackendError.EXPIRED: ErrorKind.DEADLINE_EXCEEDED,
    BackendError.SNAPSHOT_GONE: ErrorKind.SNAPSHOT_GONE,
    BackendError.WRONG_SHARD: ErrorKind.NO_REPLICA,
    BackendError.BAD_REQUEST: ErrorKind.BAD_REQUEST,
    BackendError.DEADLINE: ErrorKind.DEADLINE_EXCEEDED,
    BackendError.FAILED: ErrorKind.BACKEND_FAILED,
}

_PHASES: Final[dict[FailurePhase, tuple[ErrorKind, RunState]]] = {
    FailurePhase.NOT_SENT: (ErrorKind.CONNECTION_LOST, RunState.NOT_RUN),
    FailurePhase.SENT: (ErrorKind.CONNECTION_LOST, RunState.MAY_HAVE_RUN),
    FailurePhase.BAD_REPLY: (ErrorKind.BAD_REPLY, RunState.MAY_HAVE_RUN),
}

COLD_DETAIL: Final = "cold"
# Share of the remaining time after which a reused connection without a byte of the reply is
# considered silent: late enough for ordinary stragglers to answer, early enough for a second try.
SILENT_DEADLINE_SHARE: Final = 0.4
SILENT_FLOOR_SECONDS: Final = 0.05


@attrs.frozen(kw_only=True)
class BackendOptions:
    """Settings of the connections to one backend server.

    Attributes:
        connect_timeout: seconds to wait for a connection. Connecting takes 1 to 6 ms, so half a
            second means that the server is gone.
        idle_probe_after: seconds of idleness after which a connection is probed before it is
            reused; middleboxes drop idle connections silently after minutes.
        progress_timeout: seconds without a byte of the reply after which a reused connection is
            considered silent.
        report_timeout: seconds to wait for the health report of the server.
        cancel_wait: maximum seconds that a cancelled call waits for the server to close its side.
            If the next call arrived first, the server would work on both at once.
        spare: connections kept open beyond those in use.
    """

    connect_timeout: float = 0.5
    idle_probe_after: float = 10.0
    progress_timeout: float = 1.0
    report_timeout: float = 0.5
    cancel_wait: float = 0.25
    spare: int = 1


class HttpBackend(Backend):
    """Client of one backend server over pooled HTTP/1.1 connections."""

    def __init__(self, server: Server, pool: ConnectionPool, options: BackendOptions) -> None:
        self._server: Final = server
        self._pool: Final = pool
        self._options: Final = options

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are open or being opened."""
        return self._pool.open_connections

    async def run(self, attempt: Attempt, *, deadline_ms: int) -> AttemptReply:
        """Send one attempt and return its validated reply."""
        request = _encode(attempt, deadline_ms)
        try:
            response = await self._send(request, deadline_ms / 1000, attempt.execute_key is None)
        except HttpFailure as failure:
            return _failure_reply(attempt, failure)
        try:
            return _decode(attempt, response)
        except codec.MalformedError as error:
            return _refusal_reply(attempt, ErrorKind.BAD_REPLY, RunState.MAY_HAVE_RUN, str(error))

    async def _send(self, request: HttpRequest, timeout: float, repeatable: bool) -> HttpResponse:
        """Send on a pooled connection, and again on a new one if a reused connection stays silent.

        A middlebox may have dropped an idle connection: it is not reset, the request is lost, and
        the server appears dead although new connections work. The pool closes that connection and
        those of the same age, so that the second attempt uses a new one and a second silence is
        caused by the server. A request that must not be repeated is sent once and awaited until its
        deadline.
        """
        if not repeatable:
            return await self._pool.request(request, timeout=timeout, progress_timeout=None)
        silence_timeout = max(timeout * SILENT_DEADLINE_SHARE, SILENT_FLOOR_SECONDS)
        silence_timeout = min(silence_timeout, self._options.progress_timeout)
        wait = self._options.cancel_wait
        try:
            return await self._pool.request(
                request, timeout=timeout, progress_timeout=silence_timeout, cancel_wait=wait
            )
        except HttpFailure as failure:
            if not failure.silent or timeout <= 2 * silence_timeout:
                raise
        left = timeout - silence_timeout
        return await self._pool.request(
            request, timeout=left, progress_timeout=None, cancel_wait=wait
        )

    async def report(self) -> BackendReport | None:
        """Return the server's health report, or None if it did not arrive in time."""
        request = HttpRequest(method="GET", path=protocol.HEALTH_PATH)
        try:
            response = await self._pool.request(
                request, timeout=self._options.report_timeout, progress_timeout=None
            )
            if response.status != 200:
                return None
            health = codec.from_json(response.body, protocol.HealthReport)
        except (HttpFailure, codec.MalformedError):
            return None
        if health.server != self._server.id:
            return None
        return BackendReport(state=health.state, versions=health.versions)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()


def open_http_backend(
    server: Server, options: BackendOptions, on_event: Callable[[str], None]
) -> HttpBackend:
    """Return a client of one backend server, limited to the connections it accepts."""
    pool = ConnectionPool(
        server.host,
        server.port,
        limit=server.connections,
        spare=min(options.spare, server.connections),
        connect_timeout=options.connect_timeout,
        idle_probe_after=options.idle_probe_after,
        on_event=on_event,
    )
    return HttpBackend(server, pool, options)


def _failure_reply(attempt: Attempt, failure: HttpFailure) -> AttemptReply:
    """Return the reply to an attempt whose exchange failed.

    A timeout is distinguished from a lost connection: only the latter is evidence that the request
    crashed the server. Treating requests to a slow server as crashing would quarantine them.
    """
    if failure.timed_out:
        kind, run = ErrorKind.DEADLINE_EXCEEDED, RunState.MAY_HAVE_RUN
    else:
        kind, run = _PHASES[failure.phase]
    return _refusal_reply(attempt, kind, run, failure.detail)


def _encode(attempt: Attempt, deadline_ms: int) -> HttpRequest:
    headers = {"content-type": JSON_TYPE, protocol.DEADLINE_HEADER: str(deadline_ms)}
    call: protocol.SearchCall | protocol.ExecuteCall
    if attempt.execute_key is not None:
        path = protocol.EXECUTE_PATH
        call = protocol.ExecuteCall(
            attempt=attempt.id,
            key=attempt.execute_key,
            service=attempt.service,
            shard=attempt.shard,
            payload=attempt.payload or {},
        )
    else:
        path = protocol.SEARCH_PATH
        call = protocol.SearchCall(
            attempt=attempt.id,
            service=attempt.service,
            shard=attempt.shard,
            query=attempt.query,
            limit=attempt.limit,
            pin=attempt.pin,
        )
    return HttpRequest(method="POST", path=path, headers=headers, body=codec.to_json(call))


def _decode(attempt: Attempt, response: HttpResponse) -> AttemptReply:
    if response.status != 200:
        return _decode_refusal(attempt, response)
    if attempt.execute_key is not None:
        return _decode_execute(attempt, response)
    reply = codec.from_json(response.body, protocol.SearchReply)
    reply_identity = (reply.attempt, reply.server, reply.service, reply.shard)
    if reply_identity != (attempt.id, attempt.server, attempt.service, attempt.shard):
        # The reply belongs to another request on this connection; accepting it would return its
        # hits to the wrong caller. Attempt ids are unique, so the check detects every such case.
        return _refusal_reply(
            attempt, ErrorKind.BAD_REPLY, RunState.MAY_HAVE_RUN, f"the reply names {reply_identity}"
        )
    return AttemptReply(
        attempt=attempt.id,
        server=attempt.server,
        shard=attempt.shard,
        snapshot=reply.snapshot,
        hits=reply.hits,
        partial=reply.partial,
        versions=reply.versions,
    )


def _decode_execute(attempt: Attempt, response: HttpResponse) -> AttemptReply:
    reply = codec.from_json(response.body, protocol.ExecuteReply)
    reply_identity = (reply.attempt, reply.server, reply.key)
    if reply_identity != (attempt.id, attempt.server, attempt.execute_key):
        return _refusal_reply(
            attempt, ErrorKind.BAD_REPLY, RunState.MAY_HAVE_RUN, f"the reply names {reply_identity}"
        )
    return AttemptReply(
        attempt=attempt.id, server=attempt.server, shard=attempt.shard, result=reply.result
    )


def _decode_refusal(attempt: Attempt, response: HttpResponse) -> AttemptReply:
    refusal = codec.from_json(response.body, protocol.BackendRefusal)
    status, run = protocol.REFUSALS[refusal.error]
    if refusal.attempt != attempt.id or response.status != status:
        # NOT_RUN is certain only if this server refused this very attempt.
        return _refusal_reply(
            attempt, ErrorKind.BAD_REPLY, RunState.MAY_HAVE_RUN, f"refusal of {refusal.attempt!r}"
        )
    detail = COLD_DETAIL if refusal.error is BackendError.COLD else refusal.detail
    reply = _refusal_reply(attempt, _KINDS[refusal.error], run, detail)
    return attrs.evolve(reply, retry_after_ms=refusal.retry_after_ms, versions=refusal.versions)


def _refusal_reply(attempt: Attempt, kind: ErrorKind, run: RunState, detail: str) -> AttemptReply:
    return refusal_reply(
        attempt.id, server=attempt.server, shard=attempt.shard, kind=kind, run=run, detail=detail
    )
