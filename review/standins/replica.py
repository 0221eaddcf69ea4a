"""Stand-in of a replica, as PROTOCOL.md describes it.

It works on `slots` requests at a time and queues a few more; beyond that it rejects with 503 and
`Not-Executed`. It answers 421 to a request for another instance, echoes `Request-Id`, signs its
answers, and stops work at the deadline and when its connection closes. It serves one request at a
time on a connection. `copy_after` decides for each answer after how many seconds a second copy of
it follows on the same connection; None for no copy.
"""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.http import encode, read_message, reset


@dataclass
class Replica:
    id: str
    service: str
    zone: str
    slots: int = 2
    queue: int = 2
    work_s: Callable[[], float] = lambda: 0.02
    copy_after: Callable[[int], float | None] = lambda status: None
    on_run: Callable[[Replica, str, str], None] = lambda replica, request_id, target: None
    on_answer: Callable[..., None] = lambda *args, **fields: None
    max_conns: int = 31
    runs: Counter[str] = field(default_factory=Counter)
    rejected: Counter[str] = field(default_factory=Counter)
    address: str = ""
    born: int = 0
    sequence: int = 0

    def __post_init__(self) -> None:
        self._free = asyncio.Semaphore(self.slots)
        self._running = self._waiting = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._numbers = itertools.count(1)

    async def start(self, host: str) -> None:
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address, self.born = f"{host}:{port}", int(time.time() * 1000)

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return what the replica writes under its key in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def close(self) -> None:
        self._server.close()
        for writer in tuple(self._writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._writers) >= self.max_conns:
            reset(writer)
            return
        self._writers.add(writer)
        number = next(self._numbers)
        inbox, gone = asyncio.StreamReader(), asyncio.Event()
        reading = asyncio.create_task(_receive(reader, inbox, gone))
        try:
            while True:
                start, headers, body = await read_message(inbox)
                target = start.split(" ")[1]
                work = asyncio.ensure_future(self._answer(headers, target, body))
                closed = asyncio.ensure_future(gone.wait())
                await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
                closed.cancel()
                if not work.done():
                    work.cancel()
                    return
                status, answer = work.result()
                writer.write(answer)
                request_id, delay = headers.get("request-id", ""), self.copy_after(status)
                self.on_answer(self, number, request_id, status, delay)
                if delay is not None:
                    asyncio.get_running_loop().call_later(delay, self._write_copy, writer, answer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            reading.cancel()
            self._writers.discard(writer)
            writer.close()

    def _write_copy(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        if not writer.transport.is_closing():
            writer.write(answer)

    async def _answer(self, headers: dict[str, str], target: str, body: bytes) -> tuple[int, bytes]:
        if target == "/health":
            return self._reply(200, headers, {"Instance-Id": self.id})
        expected = headers.get("target-instance")
        if expected is not None and expected != self.id:
            return self._reply(421, headers, {"Instance-Id": self.id})
        request_id = headers.get("request-id", "")
        if self._free.locked() and self._waiting >= self.queue:
            self.rejected[request_id] += 1
            return self._reply(503, headers, {"Not-Executed": "1"})
        deadline = time.monotonic() + int(headers.get("deadline-ms", "5000")) / 1000
        self._waiting += 1
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + deadline - time.monotonic()
            ):
                await self._free.acquire()
        except TimeoutError:
            self.rejected[request_id] += 1
            return self._reply(503, headers, {"Not-Executed": "1"})
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self.runs[request_id] += 1
            self.on_run(self, request_id, target)
            work_s, left_s = self.work_s(), deadline - time.monotonic()
            await asyncio.sleep(max(0.0, min(work_s, left_s)))
            text = f"{self.service}/{target}/".encode() + body
            stamp = hashlib.sha256(text + request_id.encode()).hexdigest()[:12]
            signed = {"Server-Stamp": f"{self.service}.{stamp}"}
            if work_s > left_s:
                return self._reply(504, headers, signed)
            records = b"".join(hashlib.md5(text + b"%d" % n).digest() for n in range(25))
            return self._reply(200, headers, signed, records)
        finally:
            self._running -= 1
            self._free.release()

    def _reply(
        self, status: int, headers: dict[str, str], extra: dict[str, str], body: bytes = b""
    ) -> tuple[int, bytes]:
        own = {"Server-Load": f"{self._running},{self._waiting},{self.slots}"} | extra
        if "request-id" in headers:
            own["Request-Id"] = headers["request-id"]
        return status, encode(f"HTTP/1.1 {status} -", own, body)


async def _receive(
    reader: asyncio.StreamReader, inbox: asyncio.StreamReader, gone: asyncio.Event
) -> None:
    """Pass on what arrives, also during work on a request, and notice when the peer closes."""
    try:
        while data := await reader.read(65536):
            inbox.feed_data(data)
    except ConnectionError:
        pass
    gone.set()
    inbox.feed_eof()
