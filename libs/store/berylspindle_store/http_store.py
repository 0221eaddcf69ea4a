"""Client of the configuration store over HTTP.

Terms:
  write    a call that can change the store; if its reply is lost, it may have taken effect
  read     any other call; if its reply is lost, it had no effect

Flow: each method sends one request on a pooled connection, with a timeout, and maps the status to a
result or to a subclass of StoreError. Nothing is retried here, since only the caller knows whether
a repetition is safe.
"""

from __future__ import annotations

from typing import Final, Self, TypeVar

from berylspindle_model import codec
from berylspindle_model.digits import parse_digits
from berylspindle_store import routes
from berylspindle_store.connections import StoreOptions, platform_pool
from berylspindle_store.store import (
    Lease,
    ListResult,
    Store,
    StoreConflict,
    StoredValue,
    StoreError,
    StoreLeaseNotFound,
    StoreOutcomeUnknown,
    StoreUnavailable,
    WatchResult,
)
from berylspindle_wire.http import HttpRequest, HttpResponse
from berylspindle_wire.http_client import FailurePhase, HttpFailure

T = TypeVar("T")


# Fraction of a call's timeout without progress after which a reused connection is considered
# unresponsive and the call fails. It is below 1, so that the pool detects this before the call's
# timeout and closes other stale connections. The call is not retried in the remaining time, which
# is too short for another attempt.
_PROGRESS_TIMEOUT_FRACTION: Final = 0.9


class HttpStore(Store):
    """Implement `Store` by the platform's protocol. Construct it in a running event loop."""

    def __init__(self, host: str, port: int, options: StoreOptions) -> None:
        self._options: Final = options
        self._pool: Final = platform_pool(host, port, options)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections; pending calls fail."""
        await self._pool.close()

    async def get(self, key: str) -> StoredValue | None:
        """Return an entry or None; see `Store`."""
        response = await self._read(routes.entry_path(key), {}, self._options.read_timeout)
        # A 404 without the header comes from an intermediary, such as a load balancer, and does
        # not mean that there is no entry.
        if (
            response.status == routes.STATUS_NOT_FOUND
            and routes.REVISION_HEADER in response.headers
        ):
            return None
        _require_ok(response, StoreUnavailable)
        return StoredValue(
            key=key, value=response.body, revision=_revision(response, StoreUnavailable)
        )

    async def list(self, prefix: str) -> ListResult:
        """Return all entries under a prefix; see `Store`."""
        query = {routes.PREFIX_PARAMETER: prefix}
        response = await self._read(routes.KV_PATH, query, self._options.read_timeout)
        _require_ok(response, StoreUnavailable)
        document = _decode(response, routes.ListDocument, StoreUnavailable)
        return ListResult(revision=document.revision, entries=_stored_values(document))

    async def compare_and_swap(
        self, key: str, value: bytes | None, *, expect: int, lease: str | None = None
    ) -> StoredValue:
        """Write or delete an entry that has the expected revision; see `Store`."""
        if value is not None and len(value) > routes.MAX_VALUE_BYTES:
            raise ValueError(
                f"{len(value)} bytes for {key} exceed the maximum of {routes.MAX_VALUE_BYTES}"
            )
        query = {routes.EXPECT_PARAMETER: str(expect)}
        if lease is not None:
            query[routes.LEASE_PARAMETER] = lease
        method = "DELETE" if value is None else "PUT"
        response = await self._write(method, routes.entry_path(key), query, value or b"")
        if response.status == routes.STATUS_CONFLICT:
            conflict = _decode(response, routes.ConflictDocument, StoreOutcomeUnknown)
            raise StoreConflict(
                None if conflict.current is None else _stored_value(conflict.current)
            )
        _require_ok(response, StoreOutcomeUnknown)
        return StoredValue(key=key, value=value, revision=_revision(response, StoreOutcomeUnknown))

    async def watch(self, prefix: str, *, after: int, wait: float) -> WatchResult:
        """Wait for changes under a prefix; see `Store`."""
        query = {
            routes.PREFIX_PARAMETER: prefix,
            routes.AFTER_PARAMETER: str(after),
            routes.WAIT_PARAMETER: str(int(wait * 1000)),
        }
        timeout = wait + self._options.watch_slack
        response = await self._read(routes.WATCH_PATH, query, timeout)
        if response.status != routes.STATUS_GONE:
            _require_ok(response, StoreUnavailable)
        document = _decode(response, routes.ListDocument, StoreUnavailable)
        return WatchResult(
            revision=document.revision,
            entries=_stored_values(document),
            compacted=response.status == routes.STATUS_GONE,
        )

    async def grant_lease(self, ttl: float) -> Lease:
        """Return a new lease; see `Store`."""
        body = codec.to_json(routes.LeaseRequest(ttl_ms=int(ttl * 1000)))
        return _lease(await self._write("POST", routes.LEASES_PATH, {}, body))

    async def keep_alive(self, lease: str) -> Lease:
        """Restart the TTL of a lease; see `Store`."""
        return _lease(await self._write("PUT", routes.lease_path(lease), {}, b""))

    async def revoke(self, lease: str) -> None:
        """End a lease; see `Store`."""
        response = await self._write("DELETE", routes.lease_path(lease), {}, b"")
        _require_ok(response, StoreOutcomeUnknown)

    async def _read(self, path: str, query: dict[str, str], timeout: float) -> HttpResponse:
        request = HttpRequest(method="GET", path=path, query=query)
        try:
            return await self._send(request, timeout)
        except HttpFailure as failure:
            raise StoreUnavailable(str(failure)) from failure

    async def _write(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> HttpResponse:
        request = HttpRequest(method=method, path=path, query=query, body=body)
        try:
            response = await self._send(request, self._options.write_timeout)
        except HttpFailure as failure:
            # The call had no effect only if no byte was sent: if the connection breaks later, the
            # store may have received the write, and the reply may have been lost.
            error_type = (
                StoreUnavailable if failure.phase is FailurePhase.NOT_SENT else StoreOutcomeUnknown
            )
            raise error_type(str(failure)) from failure
        if response.status == routes.STATUS_GONE:
            raise StoreLeaseNotFound(path)
        return response

    async def _send(self, request: HttpRequest, timeout: float) -> HttpResponse:
        return await self._pool.request(
            request, timeout=timeout, progress_timeout=timeout * _PROGRESS_TIMEOUT_FRACTION
        )


def open_store(host: str, port: int, options: StoreOptions | None = None) -> HttpStore:
    """Return a client of the store; close it or use it as an asynchronous context manager."""
    return HttpStore(host, port, options or StoreOptions())


def _require_ok(response: HttpResponse, error_type: type[StoreError]) -> None:
    """Raise StoreUnavailable for a refusal and `error_type` for any other status except success."""
    if response.status == routes.STATUS_OK:
        return
    if response.status in _REFUSALS:
        raise StoreUnavailable(f"status {response.status}")
    raise error_type(f"status {response.status}")


# Statuses by which the platform reports that the call had no effect.
_REFUSALS: Final = frozenset(
    {
        routes.STATUS_BAD_REQUEST,
        routes.STATUS_NOT_FOUND,
        routes.STATUS_TOO_LARGE,
        routes.STATUS_UNAVAILABLE,
    }
)


def _decode(response: HttpResponse, kind: type[T], error_type: type[StoreError]) -> T:
    try:
        return codec.from_json(response.body, kind)
    except codec.MalformedError as error:
        raise error_type(f"malformed response: {error}") from error


def _revision(response: HttpResponse, error_type: type[StoreError]) -> int:
    revision = parse_digits(response.headers.get(routes.REVISION_HEADER, ""))
    if revision is None:
        raise error_type(f"response without a valid {routes.REVISION_HEADER} header")
    return revision


def _lease(response: HttpResponse) -> Lease:
    _require_ok(response, StoreOutcomeUnknown)
    document = _decode(response, routes.LeaseDocument, StoreOutcomeUnknown)
    return Lease(id=document.id, ttl=document.ttl_ms / 1000)


def _stored_value(entry: routes.EntryDocument) -> StoredValue:
    return StoredValue(key=entry.key, value=entry.value, revision=entry.revision)


def _stored_values(document: routes.ListDocument) -> tuple[StoredValue, ...]:
    return tuple(_stored_value(entry) for entry in document.entries)
