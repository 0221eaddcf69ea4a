"""Request handlers of the platform's protocol on the state of its stand-in.

Terms:
  kind   the name under which a call is counted, derived from its method and path

Flow: `call_kind` classifies a request; `PlatformCalls.run` decodes it, reads or changes the store
or the VM list, and returns the reply. Watches wait for the next change; timers expire leases.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from berylspindle_model import codec
from berylspindle_standins.platform_faults import PlatformCounts, PlatformFaults
from berylspindle_standins.standin_http import Reply, json_reply
from berylspindle_standins.store_state import (
    CompactedError,
    ConflictError,
    StoreState,
    UnknownLeaseError,
)
from berylspindle_store import routes
from berylspindle_store.routes import (
    ConflictDocument,
    EntryDocument,
    LeaseDocument,
    LeaseRequest,
    ListDocument,
    VmDocument,
    VmListDocument,
)
from berylspindle_wire.http import HttpRequest

MAX_WAIT_S: Final = 60.0

_ENTRY_KINDS: Final = {"GET": "get", "PUT": "put", "DELETE": "delete"}
_LEASE_KINDS: Final = {"PUT": "keep_alive", "DELETE": "revoke"}


def call_kind(request: HttpRequest) -> str | None:
    """Return the kind of a call, or None for an unknown route."""
    method, path = request.method, request.path
    exact_routes = {
        ("GET", routes.KV_PATH): "list",
        ("GET", routes.WATCH_PATH): "watch",
        ("GET", routes.VMS_PATH): "vms",
        ("POST", routes.LEASES_PATH): "grant",
    }
    if (method, path) in exact_routes:
        return exact_routes[method, path]
    if path.startswith(routes.KV_PATH + "/"):
        return _ENTRY_KINDS.get(method)
    if path.startswith(routes.LEASES_PATH + "/"):
        return _LEASE_KINDS.get(method)
    return None


class PlatformCalls:
    """Handlers of the calls on one store and one VM list."""

    def __init__(self, state: StoreState, vms: tuple[VmDocument, ...]) -> None:
        self._state: Final = state
        self._vm_lists: list[tuple[float, tuple[VmDocument, ...]]] = [(float("-inf"), vms)]
        self._changed = asyncio.Event()
        self._timers: set[asyncio.TimerHandle] = set()
        self.faults = PlatformFaults()
        self.counts: Final = PlatformCounts()
        self._handlers: Final[dict[str, Callable[[HttpRequest], Awaitable[Reply]]]] = {
            "get": self._get,
            "list": self._list,
            "watch": self._watch,
            "vms": self._vms,
            "put": self._put,
            "delete": self._delete,
            "grant": self._grant,
            "keep_alive": self._keep_alive,
            "revoke": self._revoke,
        }

    async def run(self, kind: str, request: HttpRequest) -> Reply:
        """Run one call and return its reply."""
        try:
            return await self._handlers[kind](request)
        except UnknownLeaseError:
            return json_reply(routes.STATUS_GONE, {"error": "no such lease"})
        except (codec.MalformedError, ValueError, KeyError) as error:
            return json_reply(routes.STATUS_BAD_REQUEST, {"error": repr(error)})

    def set_vms(self, vms: tuple[VmDocument, ...]) -> None:
        """Replace the VM list; readers see it after `vm_list_lag_ms`."""
        self._vm_lists.append((_now(), vms))

    def close(self) -> None:
        """Cancel the lease timers."""
        for timer in self._timers:
            timer.cancel()

    async def _get(self, request: HttpRequest) -> Reply:
        lag = self.faults.read_lag_ms / 1000
        entry = self._state.get(routes.entry_key(request.path), _now(), lag=lag)
        headers = (
            (routes.STORE_REVISION_HEADER, str(self._state.revision_at(_now(), lag=lag))),
            (routes.REVISION_HEADER, "0" if entry is None else str(entry.revision)),
        )
        if entry is None:
            return Reply(status=routes.STATUS_NOT_FOUND, headers=headers)
        return Reply(status=routes.STATUS_OK, headers=headers, body=entry.value or b"")

    async def _list(self, request: HttpRequest) -> Reply:
        lag = self.faults.read_lag_ms / 1000
        entries = self._state.list(request.query[routes.PREFIX_PARAMETER], _now(), lag=lag)
        document = ListDocument(
            revision=self._state.revision_at(_now(), lag=lag), entries=tuple(entries)
        )
        return json_reply(routes.STATUS_OK, document)

    async def _watch(self, request: HttpRequest) -> Reply:
        prefix = request.query[routes.PREFIX_PARAMETER]
        after = int(request.query[routes.AFTER_PARAMETER])
        wait = min(int(request.query[routes.WAIT_PARAMETER]) / 1000, MAX_WAIT_S)
        self._count_watch()
        try:
            entries = await self._changes(prefix, after, wait)
        except CompactedError:
            body = ListDocument(revision=self._state.revision)
            return json_reply(routes.STATUS_GONE, body)
        finally:
            self.counts.waiting_watches -= 1
        # The reply is fixed before the delay, so that a delayed event reports an old state.
        revision = max(self._state.revision, after)
        if entries and self.faults.watch_delay_ms > 0:
            await asyncio.sleep(self.faults.watch_delay_ms / 1000)
        if self.faults.consume("watch_repeats"):
            entries = (*entries, *self._oldest_change(prefix))
        return json_reply(routes.STATUS_OK, ListDocument(revision=revision, entries=entries))

    def _count_watch(self) -> None:
        counts = self.counts
        counts.waiting_watches += 1
        counts.peak_waiting_watches = max(counts.peak_waiting_watches, counts.waiting_watches)

    async def _changes(self, prefix: str, after: int, wait: float) -> tuple[EntryDocument, ...]:
        try:
            async with asyncio.timeout(wait):
                while not (entries := self._state.changes(prefix, after)):
                    await self._changed.wait()
                return entries
        except TimeoutError:
            return ()

    def _oldest_change(self, prefix: str) -> tuple[EntryDocument, ...]:
        try:
            return self._state.changes(prefix, 0)[:1]
        except CompactedError:
            return ()

    async def _vms(self, _: HttpRequest) -> Reply:
        as_of = _now() - self.faults.vm_list_lag_ms / 1000
        visible = [vms for changed_at, vms in self._vm_lists if changed_at <= as_of]
        return json_reply(routes.STATUS_OK, VmListDocument(vms=visible[-1]))

    async def _put(self, request: HttpRequest) -> Reply:
        self.counts.largest_value = max(self.counts.largest_value, len(request.body))
        if len(request.body) > routes.MAX_VALUE_BYTES:
            return json_reply(routes.STATUS_TOO_LARGE, {"error": "the value is too large"})
        return self._write(request, request.body)

    async def _delete(self, request: HttpRequest) -> Reply:
        return self._write(request, None)

    def _write(self, request: HttpRequest, value: bytes | None) -> Reply:
        try:
            entry = self._state.write(
                routes.entry_key(request.path),
                value,
                _now(),
                expect=int(request.query[routes.EXPECT_PARAMETER]),
                lease=request.query.get(routes.LEASE_PARAMETER),
            )
        except ConflictError as error:
            self.counts.conflicts += 1
            body = ConflictDocument(revision=self._state.revision, current=error.current)
            return json_reply(routes.STATUS_CONFLICT, body)
        self._notify()
        headers = (
            (routes.STORE_REVISION_HEADER, str(self._state.revision)),
            (routes.REVISION_HEADER, str(entry.revision)),
        )
        return Reply(status=routes.STATUS_OK, headers=headers)

    async def _grant(self, request: HttpRequest) -> Reply:
        ttl_ms = codec.from_json(request.body, LeaseRequest).ttl_ms
        lease = self._state.grant(ttl_ms / 1000, _now())
        self._schedule_expiry(ttl_ms / 1000)
        return json_reply(routes.STATUS_OK, LeaseDocument(id=lease, ttl_ms=ttl_ms))

    async def _keep_alive(self, request: HttpRequest) -> Reply:
        lease = request.path[len(routes.LEASES_PATH) + 1 :]
        ttl = self._state.keep_alive(lease, _now())
        self._schedule_expiry(ttl)
        return json_reply(routes.STATUS_OK, LeaseDocument(id=lease, ttl_ms=int(ttl * 1000)))

    async def _revoke(self, request: HttpRequest) -> Reply:
        self._state.revoke(request.path[len(routes.LEASES_PATH) + 1 :], _now())
        self._notify()
        return Reply(status=routes.STATUS_OK)

    def _schedule_expiry(self, ttl: float) -> None:
        """Expire leases in `ttl` seconds, so that watches are notified of the deletions."""

        def expire() -> None:
            self._timers.discard(timer)
            if self._state.expire_leases(_now()):
                self._notify()

        timer = asyncio.get_running_loop().call_later(ttl + 0.001, expire)
        self._timers.add(timer)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _now() -> float:
    return asyncio.get_running_loop().time()
