"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Writes and plain reads are linearizable. A read with `stale_ok` is served from a copy that lags by
one of `lags_s` seconds, in turn; each response states the store's current revision. A range has
pages of at most `page` items, which are not a snapshot. Leases run from the arrival of a call.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from standins.http import encode, read_message

HISTORY_S = 20.0
ANSWER_S = 0.004


@dataclass
class Event:
    at: float
    rev: int
    key: str
    value: bytes | None
    lease: int
    created: int


@dataclass
class Store:
    lags_s: tuple[float, ...] = (0.0,)
    page: int = 50
    record: Callable[..., None] = lambda *args, **fields: None
    rev: int = 100
    events: list[Event] = field(default_factory=list)
    items: dict[str, Event] = field(default_factory=dict)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    stale_reads: int = 0
    address: str = ""

    def __post_init__(self) -> None:
        self._lease_ids = itertools.count(7001)
        self._lags = itertools.cycle(self.lags_s)
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"
        self._tasks.append(asyncio.create_task(self._expire()))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write an item; anything but bytes is written as JSON. Return its revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rev += 1
        known = self.items.get(key)
        created = known.created if known is not None else self.rev
        event = Event(time.monotonic(), self.rev, key, data, lease, created)
        self.items[key] = event
        self._append(event)
        return self.rev

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        self.rev += 1
        self._append(Event(time.monotonic(), self.rev, key, None, 0, 0))

    def _append(self, event: Event) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _state(self, lag: float) -> dict[str, Event]:
        """Return the items as they were `lag` seconds ago."""
        if lag <= 0:
            return self.items
        until, state = time.monotonic() - lag, {}
        for event in self.events:
            if event.at > until:
                break
            if event.value is None:
                state.pop(event.key, None)
            else:
                state[event.key] = event
        return state

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [n for n, (until, _) in self.leases.items() if until < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                start, _, body = await read_message(reader)
                method, target, _ = start.split(" ")
                await asyncio.sleep(ANSWER_S)
                status, payload = await self._handle(method, target, body, peer)
                data = json.dumps(payload).encode()
                writer.write(
                    encode(f"HTTP/1.1 {status} -", {"Content-Type": "application/json"}, data)
                )
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, method: str, target: str, body: bytes, peer: str
    ) -> tuple[int, dict[str, Any]]:
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        path = url.path.removeprefix("/-/")
        if path == "kv-key":
            item = self.items.get(query["key"])
            return (200, self._encode(item) | {"current_rev": self.rev}) if item else (404, {})
        if path == "kv-range":
            return 200, self._range(query, peer)
        if path == "kv-watch":
            return await self._watch(query)
        if path == "kv-txn":
            return self._transact(json.loads(body))
        if path == "kv-lease":
            ttl_ms, lease = json.loads(body)["ttl_ms"], next(self._lease_ids)
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {"ttl_ms": ttl_ms}

    def _range(self, query: dict[str, str], peer: str) -> dict[str, Any]:
        stale = query.get("stale_ok") == "1"
        lag = next(self._lags) if stale else 0.0
        state, prefix, after = self._state(lag), query["prefix"], query.get("after", "")
        keys = sorted(key for key in state if key.startswith(prefix) and key > after)
        items = [self._encode(state[key]) for key in keys[: self.page]]
        if stale:
            self.stale_reads += 1
            self.record(
                "store: stale range",
                reader=peer,
                after=after,
                lag_s=lag,
                items=len(items),
                newest_rev=max((item["rev"] for item in items), default=0),
                current_rev=self.rev,
            )
        return {"items": items, "has_more": len(keys) > self.page, "current_rev": self.rev}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        oldest = time.monotonic() - HISTORY_S
        if any(event.at < oldest and event.rev > after for event in self.events):
            return 410, {"current_rev": self.rev}
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                while not self._since(query["prefix"], after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        return 200, {"events": self._since(query["prefix"], after), "current_rev": self.rev}

    def _since(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            self._encode(event)
            for event in self.events
            if event.rev > after and event.key.startswith(prefix)
        ]

    def _encode(self, event: Event) -> dict[str, Any]:
        if event.value is None:
            return {"key": event.key, "rev": event.rev, "deleted": True}
        return {
            "key": event.key,
            "value": base64.b64encode(event.value).decode(),
            "rev": event.rev,
            "created": event.created,
            "lease": event.lease,
        }

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        rows = call.get("if_rev", [])
        current = [(row, self.items.get(row["key"])) for row in rows]
        if any(row["rev"] != (item.rev if item else 0) for row, item in current):
            return 412, {"items": [self._encode(item) for _, item in current if item]}
        writes, removed = call.get("writes", []), call.get("remove", [])
        for key in [row["key"] for row in writes] + removed:
            if key.startswith(("op/", "servers/")):
                return 403, {}
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return 404, {}
        for row in writes:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in removed:
            self.remove(key)
        return 200, {"rev": self.rev}
