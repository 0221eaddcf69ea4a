"""Stand-in for the platform's key-value store, with the faults that the platform documents.

Terms:
  history   the changes that a watch can still return; `compact_history` drops them
  outage    how calls end during an outage: an error status, "reset" (the connection is reset) or
            "silent" (no response)
  unanswered write   a write whose connection is reset and which takes effect after a delay
  copy      a state of some seconds ago; `restore` returns to it and begins the next era

Flow: `open_kv` listens. Each call is counted, rejected during an outage, and otherwise served from
one table of items with one revision.
"""

from __future__ import annotations

import asyncio
import base64
import json
from collections import Counter, deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import attrs


@attrs.define
class Item:
    value: bytes
    rev: int
    created: int
    lease: int = 0


@attrs.frozen
class Copy:
    """A copy of the store's state."""

    rev: int
    items: dict[str, Item]
    history: tuple[tuple[int, str, bytes | None], ...]
    leases: dict[int, float]


@attrs.define(kw_only=True)
class KvStandin:
    """State of the store; tests change it directly in place of the operator and the replicas.

    Attributes:
        rev: revision of the last change.
        era: how often the store has returned from a copy, as all responses state.
        watched_rev: highest revision from which a client has watched in this era.
        compacted_rev: watches from a lower revision are answered with 410.
        stale_copies: copies of the items from which the pages of lists that allow stale results are
            read in turn; empty for the current items.
        outage: "silent", "reset" or an error status; empty if the store works.
        unanswered_writes: number of following writes whose connection is reset.
        write_delay_s: seconds after which such a write takes effect.
    """

    port: int = 0
    rev: int = 100
    era: int = 1
    watched_rev: int = 0
    page_size: int = 500
    items: dict[str, Item] = attrs.field(factory=dict)
    history: list[tuple[int, str, bytes | None]] = attrs.field(factory=list)
    compacted_rev: int = 100
    stale_copies: deque[dict[str, Item]] = attrs.field(factory=deque)
    leases: dict[int, float] = attrs.field(factory=dict)
    calls: Counter[str] = attrs.field(factory=Counter)
    outage: str = ""
    unanswered_writes: int = 0
    write_delay_s: float = 0.0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write an item; a value other than bytes is encoded as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rev += 1
        created = self.items[key].created if key in self.items else self.rev
        self.items[key] = Item(data, self.rev, created, lease)
        self._record_event(key, data)

    def remove(self, key: str) -> None:
        """Remove an item."""
        del self.items[key]
        self.rev += 1
        self._record_event(key, None)

    def compact_history(self) -> None:
        """Drop the history and reset all connections."""
        self.history.clear()
        self.compacted_rev = self.rev
        self.reset_connections()

    def grant_lease(self, ttl_ms: float) -> int:
        """Grant a lease and return its id."""
        lease = 1 + len(self.leases)
        self.leases[lease] = ttl_ms
        return lease

    def copy(self) -> Copy:
        """Return a copy of the current state."""
        return Copy(self.rev, dict(self.items), tuple(self.history), dict(self.leases))

    def restore(self, copy: Copy) -> None:
        """Return to a copy: later changes are lost, and their revisions are given out again."""
        self.rev, self.items, self.leases = copy.rev, dict(copy.items), dict(copy.leases)
        self.history[:] = copy.history
        self.era += 1
        self.watched_rev = 0
        self.reset_connections()

    async def until_watched(self) -> None:
        """Wait until a client watches for changes after the current revision."""
        while self.watched_rev < self.rev:  # noqa: ASYNC110
            await asyncio.sleep(0.02)

    def reset_connections(self) -> None:
        for writer in tuple(self.writers):
            writer.transport.abort()

    def _record_event(self, key: str, value: bytes | None) -> None:
        self.history.append((self.rev, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        method, target, _ = head.split("\r\n")[0].split(" ")
        length = 0
        for line in head.lower().split("\r\n"):
            if line.startswith("content-length:"):
                length = int(line.partition(":")[2])
        body = json.loads(await reader.readexactly(length)) if length else {}
        url = urlsplit(target)
        self.calls[url.path.split("/-/")[1].split("/")[0]] += 1
        if self.outage == "silent":
            await asyncio.sleep(3600)
        if self.outage == "reset":
            writer.transport.abort()
            return False
        if self.outage:
            self._write_response(writer, int(self.outage), {})
            return True
        if method == "POST" and self.unanswered_writes and "kv-txn" in url.path:
            self.unanswered_writes -= 1
            asyncio.get_running_loop().call_later(self.write_delay_s, self._apply_transaction, body)
            writer.transport.abort()
            return False
        status, payload = await self._handle(
            method, url.path, dict(parse_qsl(url.query, keep_blank_values=True)), body
        )
        self._write_response(writer, status, payload)
        return True

    def _write_response(self, writer: asyncio.StreamWriter, status: int, payload: object) -> None:
        data = json.dumps(payload).encode()
        writer.write(
            f"HTTP/1.1 {status} -\r\ncontent-type: application/json\r\nstore-era: {self.era}\r\n"
            f"content-length: {len(data)}\r\n\r\n".encode() + data
        )

    async def _handle(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, object]:
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, self._encode_item(query["key"], item)) if item else (404, {})
        if path == "/-/kv-range":
            items = self.items
            if query.get("stale_ok") and self.stale_copies:
                items = self.stale_copies[0]
                self.stale_copies.rotate(-1)
            return 200, self._range(query["prefix"], query.get("after", ""), items)
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return self._apply_transaction(body)
        if path == "/-/kv-lease":
            lease = self.grant_lease(body["ttl_ms"])
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            del self.leases[lease]
            for key in [k for k, item in self.items.items() if item.lease == lease]:
                self.remove(key)
            return 200, {}
        return 200, {"ttl_ms": self.leases[lease]}

    def _encode_item(self, key: str, item: Item) -> dict[str, object]:
        text = base64.b64encode(item.value).decode()
        return {
            "key": key,
            "value": text,
            "rev": item.rev,
            "created": item.created,
            "lease": item.lease,
            "current_rev": self.rev,
        }

    def _range(self, prefix: str, after: str, items: dict[str, Item]) -> dict[str, object]:
        keys = sorted(k for k in items if k.startswith(prefix) and k > after)
        encoded = [self._encode_item(key, items[key]) for key in keys[: self.page_size]]
        return {"items": encoded, "has_more": len(keys) > self.page_size, "current_rev": self.rev}

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
        if not self.compacted_rev <= after <= self.rev:
            return 410, {"current_rev": self.rev}
        self.watched_rev = max(self.watched_rev, after)
        try:
            async with asyncio.timeout(wait_s):
                while not self._events_since(query["prefix"], after):
                    await self.changed.wait()
        except TimeoutError:
            pass
        return 200, {"events": self._events_since(query["prefix"], after), "current_rev": self.rev}

    def _events_since(self, prefix: str, after: int) -> list[dict[str, object]]:
        return [
            (
                {"key": key, "rev": rev, "deleted": True}
                if value is None
                else {"key": key, "rev": rev, "value": base64.b64encode(value).decode()}
            )
            for rev, key, value in self.history
            if rev > after and key.startswith(prefix)
        ]

    def _apply_transaction(self, body: dict[str, Any]) -> tuple[int, object]:
        for row in body.get("if_rev", []):
            item = self.items.get(row["key"])
            if row["rev"] != (item.rev if item else 0):
                encoded = [self._encode_item(row["key"], item)] if item else []
                return 412, {"items": encoded}
        for row in body.get("writes", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            if key in self.items:
                self.remove(key)
        return 200, {"rev": self.rev}


@asynccontextmanager
async def open_kv() -> AsyncIterator[KvStandin]:
    kv = KvStandin()
    server = await asyncio.start_server(kv.serve, "127.0.0.1", 0)
    kv.port = server.sockets[0].getsockname()[1]
    try:
        yield kv
    finally:
        server.close()
        kv.reset_connections()
