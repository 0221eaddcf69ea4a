"""A stand-in of the platform's store, which can misbehave in each way that the platform names.

Terms:
  history   the changes that a watch can still be told; `forget` drops them
  outage    how calls end meanwhile: answered that nothing was done, reset, or never answered
  late      a write that is done and not answered, or done some time after its connection broke

Flow: `open_kv` listens; each call is counted, turned away where an outage says so, and answered
from one table of items with one revision.
"""

from __future__ import annotations

import asyncio
import base64
import json
from collections import Counter
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


@attrs.define(kw_only=True)
class KvStandin:
    """The store's state; tests change it directly, as operator and replicas do."""

    port: int = 0
    rev: int = 100
    page: int = 500
    items: dict[str, Item] = attrs.field(factory=dict)
    history: list[tuple[int, str, bytes | None]] = attrs.field(factory=list)
    first: int = 100
    stale_items: dict[str, Item] | None = None
    leases: dict[int, float] = attrs.field(factory=dict)
    calls: Counter[str] = attrs.field(factory=Counter)
    outage: str = ""
    lose: int = 0
    late: float = 0.0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write an item; anything but bytes is written as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rev += 1
        created = self.items[key].created if key in self.items else self.rev
        self.items[key] = Item(data, self.rev, created, lease)
        self._note(key, data)

    def remove(self, key: str) -> None:
        """Remove an item."""
        del self.items[key]
        self.rev += 1
        self._note(key, None)

    def forget(self) -> None:
        """Drop the history and cut the watches."""
        self.history.clear()
        self.first = self.rev
        self.cut()

    def cut(self) -> None:
        """Reset all connections."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    def _note(self, key: str, value: bytes | None) -> None:
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
            self._write(writer, int(self.outage), {})
            return True
        if method == "POST" and self.lose and "kv-txn" in url.path:
            self.lose -= 1
            asyncio.get_running_loop().call_later(self.late, self._change, body)
            writer.transport.abort()
            return False
        status, answer = await self._answer(
            method, url.path, dict(parse_qsl(url.query, keep_blank_values=True)), body
        )
        self._write(writer, status, answer)
        return True

    def _write(self, writer: asyncio.StreamWriter, status: int, answer: object) -> None:
        data = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n"
            f"content-length: {len(data)}\r\n\r\n".encode() + data
        )

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, object]:
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, self._shown(query["key"], item)) if item else (404, {})
        if path == "/-/kv-range":
            items = self.stale_items if query.get("stale_ok") else None
            items = self.items if items is None else items
            return 200, self._range(query["prefix"], query.get("after", ""), items)
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return self._change(body)
        if path == "/-/kv-lease":
            lease = 1 + len(self.leases)
            self.leases[lease] = body["ttl_ms"]
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

    def _shown(self, key: str, item: Item) -> dict[str, object]:
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
        shown = [self._shown(key, items[key]) for key in keys[: self.page]]
        return {"items": shown, "has_more": len(keys) > self.page, "current_rev": self.rev}

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        after, ends = int(query["after"]), int(query["wait_ms"]) / 1000
        if after < self.first:
            return 410, {"current_rev": self.rev}
        try:
            async with asyncio.timeout(ends):
                while not self._since(query["prefix"], after):
                    await self.changed.wait()
        except TimeoutError:
            pass
        return 200, {"events": self._since(query["prefix"], after), "current_rev": self.rev}

    def _since(self, prefix: str, after: int) -> list[dict[str, object]]:
        return [
            (
                {"key": key, "rev": rev, "deleted": True}
                if value is None
                else {"key": key, "rev": rev, "value": base64.b64encode(value).decode()}
            )
            for rev, key, value in self.history
            if rev > after and key.startswith(prefix)
        ]

    def _change(self, body: dict[str, Any]) -> tuple[int, object]:
        for row in body.get("if_rev", []):
            item = self.items.get(row["key"])
            if row["rev"] != (item.rev if item else 0):
                shown = [self._shown(row["key"], item)] if item else []
                return 412, {"items": shown}
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
        kv.cut()
