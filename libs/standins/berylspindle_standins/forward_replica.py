"""A stand-in replica for forwarded requests, which can misbehave on the wire in each known way.

Terms:
  answer      a body that is made of the request's target, with a signature over both; two replicas
              of one service answer alike
  spoil       one way in which an answer goes wrong on the wire
  pause       a time in which nothing is begun and nothing answered

Flow: `start_replica` listens; each connection serves one request at a time. A request takes a slot,
works, and its answer is written, spoiled where that is its turn. What ran is counted, so that tests
read the truth here and not at the program under test.
"""

from __future__ import annotations

import asyncio
import enum
import hashlib
import socket
import struct
from collections import Counter
from typing import Final

import attrs

from berylspindle_forwarding.dialect import Dialect
from berylspindle_standins.slots import Slots

RECORDS: Final = 12
_READ: Final = 65536


class Spoil(enum.StrEnum):
    """Ways in which an answer goes wrong on the wire.

    CUT: half of the body, then the end of the connection. UNFRAMED: no length, ends with the
    connection. UNFRAMED_RESET: the same, cut by a reset. EXTRA: a second answer at once.
    LATE_EXTRA: a second answer after a while. GARBAGE: bytes that are no answer. FOREIGN: names
    another request. UNSIGNED: no signature. ENCODED: in an encoding that nobody asked for. LOST:
    the connection resets after the run. EARLY: the answer comes before the request's body is read.
    """

    CUT = "cut"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed_reset"
    EXTRA = "extra"
    LATE_EXTRA = "late_extra"
    GARBAGE = "garbage"
    FOREIGN = "foreign"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    LOST = "lost"
    EARLY = "early"


@attrs.define(kw_only=True)
class ReplicaBehaviour:
    """What one replica does just now; times in seconds.

    Attributes:
        work: time that a request takes in its slot.
        spoil, spoiled: how the next `spoiled` answers go wrong; -1 means all.
        refuse: the next so many requests are refused unrun; -1 means all.
        fail: the next so many requests run and fail.
        misplaced: answers as another replica that has its address.
        crash: requests whose target holds this text take the replica down.
        idle: seconds after which an idle connection is closed; stated to the peer in whole seconds
            unless `idle_unsaid`.
    """

    work: float = 0.0
    spoil: Spoil | None = None
    spoiled: int = 0
    refuse: int = 0
    fail: int = 0
    misplaced: bool = False
    crash: str = ""
    idle: float = 5.0
    idle_unsaid: bool = False


@attrs.define(kw_only=True)
class ReplicaCounts:
    """What reached one replica."""

    arrivals: int = 0
    runs: Counter[str] = attrs.field(factory=Counter)
    refused: int = 0
    ended_early: int = 0
    crashes: int = 0
    connections: int = 0
    times_left: list[int] = attrs.field(factory=list)
    targets: list[str] = attrs.field(factory=list)
    bodies: list[bytes] = attrs.field(factory=list)


def answer_body(service: str, target: str) -> bytes:
    """Return the records with which any replica of a service answers a target."""
    return b"".join(
        hashlib.md5(f"{service}/{target}/{number}".encode(), usedforsecurity=False).digest()
        for number in range(RECORDS)
    )


def signature_of(service: str, request_id: str, body: bytes) -> str:
    """Return the proof that a service's replica answered a request with this body."""
    digest = hashlib.md5(f"{service}/{request_id}/".encode() + body, usedforsecurity=False)
    return f"{service}.{digest.hexdigest()[:12]}"


class ForwardReplica:
    """One replica; made by `start_replica`."""

    def __init__(self, replica_id: str, service: str, dialect: Dialect, slots: int) -> None:
        self.id: Final = replica_id
        self.service: Final = service
        self.behaviour: Final = ReplicaBehaviour()
        self.counts: Final = ReplicaCounts()
        self._dialect: Final = dialect
        self._slots: Final = Slots(slots, 16)
        self._slot_count: Final = slots
        self._running: Final = asyncio.Event()
        self._running.set()
        self._writers: Final[set[asyncio.StreamWriter]] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def listen(self, port: int = 0) -> None:
        """Take connections; a port of 0 picks one, and the same again after `go_down`."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port or self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def pause(self) -> None:
        """Begin and answer nothing until `resume`."""
        self._running.clear()

    def resume(self) -> None:
        """Go on."""
        self._running.set()

    def go_down(self) -> None:
        """Crash: reset all connections and take none."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            _reset(writer)

    async def revive(self) -> None:
        """Take connections again after `go_down`."""
        if self._server is not None and not self._server.is_serving():
            await self.listen()

    async def close(self) -> None:
        """End everything."""
        self.resume()
        self.go_down()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.counts.connections += 1
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        async with asyncio.timeout(self.behaviour.idle):
            head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        target = lines[0].split(" ")[1]
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        length = int(headers.get("content-length", "0"))
        self.counts.arrivals += 1
        early = self._takes(Spoil.EARLY)
        if early:
            self._write(writer, self._answer(target, headers))
        body = await reader.readexactly(length) if length else b""
        if early:
            return True
        gone = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self._answer_one(target, headers, body, writer))
        try:
            await asyncio.wait((gone, work), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.counts.ended_early += 1
                return False
            return work.result()
        finally:
            work.cancel()
            gone.cancel()
            await asyncio.gather(gone, work, return_exceptions=True)

    async def _answer_one(
        self, target: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        behaviour = self.behaviour
        await self._running.wait()
        if behaviour.misplaced:
            self._write(writer, self._plain(self._dialect.misdirected))
            return True
        if behaviour.refuse or self._slots.full:
            behaviour.refuse -= behaviour.refuse > 0
            self.counts.refused += 1
            self._write(writer, self._plain(503, (self._dialect.not_run.decode(), "1")))
            return True
        left = headers.get(self._dialect.time_left.decode(), "")
        if not await self._slots.acquire(int(left) / 1000 if left.isdigit() else None):
            self._write(writer, self._plain(503, (self._dialect.not_run.decode(), "1")))
            return True
        try:
            return await self._run(target, headers, body, writer)
        finally:
            self._slots.release()

    async def _run(
        self, target: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        behaviour, counts = self.behaviour, self.counts
        counts.runs[headers.get(self._dialect.request_id.decode(), "")] += 1
        counts.targets.append(target)
        counts.bodies.append(body)
        counts.times_left.append(int(headers.get(self._dialect.time_left.decode(), "0")))
        if behaviour.crash and behaviour.crash in target:
            counts.crashes += 1
            self.go_down()
            return False
        if behaviour.work:
            await asyncio.sleep(behaviour.work)
        await self._running.wait()
        if behaviour.fail:
            behaviour.fail -= behaviour.fail > 0
            signed = (self._dialect.signature.decode(), f"{self.service}.failed")
            self._write(writer, self._plain(500, signed))
            return True
        answer = self._answer(target, headers)
        spoil = behaviour.spoil
        if spoil is None or spoil is Spoil.EARLY or not behaviour.spoiled:
            self._write(writer, answer)
            return True
        behaviour.spoiled -= behaviour.spoiled > 0
        return await self._write_spoiled(writer, answer, spoil)

    def _takes(self, spoil: Spoil) -> bool:
        behaviour = self.behaviour
        if behaviour.spoil is not spoil or not behaviour.spoiled:
            return False
        behaviour.spoiled -= behaviour.spoiled > 0
        return True

    def _answer(self, target: str, headers: dict[str, str]) -> bytes:
        request_id = headers.get(self._dialect.request_id.decode(), "")
        body = answer_body(self.service, target)
        return self._response(
            200,
            body,
            (self._dialect.request_id.decode(), request_id),
            (self._dialect.signature.decode(), signature_of(self.service, request_id, body)),
        )

    def _plain(self, status: int, *headers: tuple[str, str]) -> bytes:
        return self._response(status, b"", *headers)

    def _response(self, status: int, body: bytes, *headers: tuple[str, str]) -> bytes:
        load = f"{self._slots.running},{self._slots.queued},{self._slot_count}"
        lines = [f"HTTP/1.1 {status} -", f"{self._dialect.load.decode()}: {load}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if not self.behaviour.idle_unsaid and self.behaviour.idle >= 1:
            lines.append(f"keep-alive: timeout={int(self.behaviour.idle)}")
        lines += [f"content-length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode("latin-1") + body

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)

    async def _write_spoiled(
        self, writer: asyncio.StreamWriter, answer: bytes, spoil: Spoil
    ) -> bool:
        """Write an answer that goes wrong; tell whether the connection goes on."""
        head, _, body = answer.partition(b"\r\n\r\n")
        if spoil is Spoil.LOST:
            _reset(writer)
            return False
        if spoil is Spoil.EXTRA:
            writer.write(answer + answer)
            return True
        if spoil is Spoil.LATE_EXTRA:
            writer.write(answer)
            asyncio.get_running_loop().call_later(0.01, writer.write, answer)
            return True
        if spoil in (Spoil.FOREIGN, Spoil.UNSIGNED, Spoil.ENCODED):
            writer.write(self._renamed(head, spoil) + b"\r\n\r\n" + body)
            return True
        if spoil is Spoil.GARBAGE:
            writer.write(b"\x00\x17garbage\r\n\r\n")
            return True
        if spoil is Spoil.CUT:
            writer.write(answer[: len(answer) - len(body) // 2])
            return False
        lines = [line for line in head.split(b"\r\n") if not line.startswith(b"content-length")]
        unframed = b"\r\n".join(lines) + b"\r\nconnection: close\r\n\r\n"
        if spoil is Spoil.UNFRAMED:
            writer.write(unframed + body)
            return False
        writer.write(unframed + body[: len(body) // 2])
        await writer.drain()
        await asyncio.sleep(0.005)
        _reset(writer)
        return False

    def _renamed(self, head: bytes, spoil: Spoil) -> bytes:
        """Return a head that names another request, or lacks or adds what it should not."""
        if spoil is Spoil.ENCODED:
            return head + b"\r\ncontent-encoding: gzip"
        name = self._dialect.signature if spoil is Spoil.UNSIGNED else self._dialect.request_id
        kept = [line for line in head.split(b"\r\n") if not line.startswith(name + b":")]
        if spoil is Spoil.FOREIGN:
            kept.append(name + b": of-somebody-else")
        return b"\r\n".join(kept)


def _reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset rather than in order."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def start_replica(
    replica_id: str, service: str, *, dialect: Dialect | None = None, slots: int = 3
) -> ForwardReplica:
    """Return a replica that listens on a free port; close it in the end."""
    replica = ForwardReplica(replica_id, service, dialect or Dialect(), slots)
    await replica.listen()
    return replica
