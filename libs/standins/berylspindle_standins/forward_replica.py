"""A stand-in replica for forwarded requests, with fault injection on the wire.

Terms:
  answer   a body derived from service and target, with a signature over service, request id and
           body; all replicas of a service return the same body for a target
  fault    a deviation of an answer from the protocol, see `ReplyFault`
  pause    a period in which no request starts and no answer is sent

Flow: `start_replica` listens; each connection serves one request at a time. A request acquires a
slot, sleeps for its service time, and its answer is written, with a fault if one is active.
Arrivals and runs are counted here, so that tests need not rely on the program under test.
"""

from __future__ import annotations

import asyncio
import enum
import functools
import hashlib
import socket
import struct
from collections import Counter, deque
from typing import Final

import attrs

from berylspindle_forwarding.dialect import Dialect
from berylspindle_standins.slots import Slots

RECORD_COUNT: Final = 12
MAX_HEADS: Final = 100
_READ_BYTES: Final = 65536


class ReplyFault(enum.StrEnum):
    """Faults of an answer on the wire.

    TRUNCATED: half of the body, then the connection closes. UNFRAMED: no content length; the body
    ends with the connection. UNFRAMED_RESET: the same, but a reset after half of the body.
    DUPLICATE: a second answer at once. LATE_DUPLICATE: a second answer after 10 ms. GARBAGE: bytes
    that are not HTTP. WRONG_REQUEST_ID: the id of another request. UNSIGNED: no signature. ENCODED:
    a content encoding that was not requested. CONNECTION_RESET: a connection reset after the run
    instead of an answer. EARLY: the answer is sent before the request's body is read.
    """

    TRUNCATED = "cut"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed_reset"
    DUPLICATE = "extra"
    LATE_DUPLICATE = "late_extra"
    GARBAGE = "garbage"
    WRONG_REQUEST_ID = "foreign"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    CONNECTION_RESET = "lost"
    EARLY = "early"


@attrs.define(kw_only=True)
class ReplicaBehaviour:
    """Current behaviour of one replica; times in seconds.

    Attributes:
        service_time_s: service time of a request, within its slot.
        reply_fault: fault of the next answers; None for none.
        faulty_replies: number of answers with that fault; -1 means all.
        refused_requests: number of requests to refuse without running them; -1 means all.
        refusal_copy_delay_s: time after which a second copy of a refusal follows on the connection;
            None for no copy.
        failed_requests: number of requests that run and then fail; -1 means all.
        failure_status: status of a request that runs and then fails.
        misdirected: whether to answer as misdirected, like another replica at the same address.
        crash_marker: text in a target that crashes the replica; empty for none.
        reset_delay_s: time from the reset of that request's connection to that of the others.
        idle_timeout_s: time after which an idle connection is closed.
        omit_keep_alive: whether to omit the idle timeout from replies; otherwise each states it in
            whole seconds if it is at least 1 s.
        load_suffix: text after the three figures of each load report.
    """

    service_time_s: float = 0.0
    reply_fault: ReplyFault | None = None
    faulty_replies: int = 0
    refused_requests: int = 0
    refusal_copy_delay_s: float | None = None
    failed_requests: int = 0
    failure_status: int = 500
    misdirected: bool = False
    crash_marker: str = ""
    reset_delay_s: float = 0.0
    idle_timeout_s: float = 5.0
    omit_keep_alive: bool = False
    load_suffix: str = ""


@attrs.define(kw_only=True)
class ReplicaCounts:
    """Counts of one replica.

    Attributes:
        runs: number of runs by request id.
        cancelled: requests whose connection closed before their answer.
        remaining_ms: time left until the deadline of each request that ran, as its header states.
        targets: targets of the requests that ran.
        bodies: bodies of the requests that ran.
        heads: the last heads received, as they arrived.
    """

    arrivals: int = 0
    runs: Counter[str] = attrs.field(factory=Counter)
    refused: int = 0
    cancelled: int = 0
    crashes: int = 0
    connections: int = 0
    remaining_ms: list[int] = attrs.field(factory=list)
    targets: list[str] = attrs.field(factory=list)
    bodies: list[bytes] = attrs.field(factory=list)
    heads: deque[bytes] = attrs.field(factory=lambda: deque(maxlen=MAX_HEADS))


def answer_body(service: str, target: str) -> bytes:
    """Return the body that every replica of a service returns for a target."""
    return b"".join(
        hashlib.md5(f"{service}/{target}/{number}".encode(), usedforsecurity=False).digest()
        for number in range(RECORD_COUNT)
    )


def signature_of(service: str, request_id: str, body: bytes) -> str:
    """Return the signature of a service over a request id and a body."""
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
        self._resumed: Final = asyncio.Event()
        self._resumed.set()
        self._writers: Final[set[asyncio.StreamWriter]] = set()
        self._server: asyncio.Server | None = None
        self._reserved: socket.socket | None = None
        self._crashes = 0
        self.port = 0

    async def listen(self, port: int = 0) -> None:
        """Accept connections; port 0 picks a free port, or the previous one after `crash`."""
        serve = functools.partial(self._serve, self._crashes)
        if self._reserved is not None and port in (0, self.port):
            self._server = await asyncio.start_server(serve, sock=self._reserved)
            self._reserved = None
        else:
            self._server = await asyncio.start_server(serve, "127.0.0.1", port or self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def pause(self) -> None:
        """Start and answer no request until `resume`."""
        self._resumed.clear()

    def resume(self) -> None:
        """End a pause."""
        self._resumed.set()

    def crash(self, first: asyncio.StreamWriter | None = None) -> None:
        """Crash: stop listening and reset all connections, the others after `first` if given."""
        self._crashes += 1
        if self._server is not None:
            self._server.close()
        self._reserve_port()
        if first is None or not self.behaviour.reset_delay_s:
            self._reset_all()
            return
        _reset(first)
        self._writers.discard(first)
        asyncio.get_running_loop().call_later(self.behaviour.reset_delay_s, self._reset_all)

    def _reset_all(self) -> None:
        for writer in tuple(self._writers):
            _reset(writer)

    async def restart(self) -> None:
        """Accept connections again after `crash`."""
        if self._server is not None and not self._server.is_serving():
            await self.listen()

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self.resume()
        self.crash()
        if self._reserved is not None:
            self._reserved.close()
            self._reserved = None
        await asyncio.sleep(0)

    def _reserve_port(self) -> None:
        """Bind the port without listening: it refuses connections, and no other socket takes it."""
        if self._reserved is not None or not self.port:
            return
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", self.port))
        self._reserved = reserved

    async def _serve(
        self, crashes: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection of a server that was started after `crashes` crashes."""
        if crashes != self._crashes:
            # Accepted before the crash, but this handler had not begun.
            _reset(writer)
            return
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
        async with asyncio.timeout(self.behaviour.idle_timeout_s):
            head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        target = lines[0].split(" ")[1]
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        length = int(headers.get("content-length", "0"))
        self.counts.arrivals += 1
        self.counts.heads.append(head)
        early = self._consume_fault(ReplyFault.EARLY)
        if early:
            self._write(writer, self._answer(target, headers))
        body = await reader.readexactly(length) if length else b""
        if early:
            return True
        disconnect = asyncio.ensure_future(reader.read(1))
        answer_task = asyncio.ensure_future(self._process(target, headers, body, writer))
        try:
            await asyncio.wait((disconnect, answer_task), return_when=asyncio.FIRST_COMPLETED)
            if not answer_task.done():
                self.counts.cancelled += 1
                return False
            return answer_task.result()
        finally:
            answer_task.cancel()
            disconnect.cancel()
            await asyncio.gather(disconnect, answer_task, return_exceptions=True)

    async def _process(
        self, target: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        behaviour = self.behaviour
        await self._resumed.wait()
        if behaviour.misdirected:
            self._write(writer, self._empty_response(self._dialect.misdirected))
            return True
        if behaviour.refused_requests or self._slots.full:
            behaviour.refused_requests -= behaviour.refused_requests > 0
            self.counts.refused += 1
            self._refuse(writer, headers)
            return True
        time_left = headers.get(self._dialect.time_left.decode(), "")
        if not await self._slots.acquire(int(time_left) / 1000 if time_left.isdigit() else None):
            self._refuse(writer, headers)
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
        counts.remaining_ms.append(int(headers.get(self._dialect.time_left.decode(), "0")))
        if behaviour.crash_marker and behaviour.crash_marker in target:
            counts.crashes += 1
            self.crash(writer)
            return False
        if behaviour.service_time_s:
            await asyncio.sleep(behaviour.service_time_s)
        await self._resumed.wait()
        if behaviour.failed_requests:
            behaviour.failed_requests -= behaviour.failed_requests > 0
            signed = (self._dialect.signature.decode(), f"{self.service}.failed")
            self._write(writer, self._empty_response(behaviour.failure_status, signed))
            return True
        answer = self._answer(target, headers)
        fault = behaviour.reply_fault
        if fault is None or fault is ReplyFault.EARLY or not behaviour.faulty_replies:
            self._write(writer, answer)
            return True
        behaviour.faulty_replies -= behaviour.faulty_replies > 0
        return await self._write_faulty(writer, answer, fault)

    def _refuse(self, writer: asyncio.StreamWriter, headers: dict[str, str]) -> None:
        id_header = self._dialect.request_id.decode()
        refusal = self._empty_response(
            503, (self._dialect.not_run.decode(), "1"), (id_header, headers.get(id_header, ""))
        )
        self._write(writer, refusal)
        delay = self.behaviour.refusal_copy_delay_s
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, writer.write, refusal)

    def _consume_fault(self, fault: ReplyFault) -> bool:
        behaviour = self.behaviour
        if behaviour.reply_fault is not fault or not behaviour.faulty_replies:
            return False
        behaviour.faulty_replies -= behaviour.faulty_replies > 0
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

    def _empty_response(self, status: int, *headers: tuple[str, str]) -> bytes:
        return self._response(status, b"", *headers)

    def _response(self, status: int, body: bytes, *headers: tuple[str, str]) -> bytes:
        load = f"{self._slots.running},{self._slots.queued},{self._slot_count}"
        load += self.behaviour.load_suffix
        lines = [f"HTTP/1.1 {status} -", f"{self._dialect.load.decode()}: {load}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if not self.behaviour.omit_keep_alive and self.behaviour.idle_timeout_s >= 1:
            lines.append(f"keep-alive: timeout={int(self.behaviour.idle_timeout_s)}")
        lines += [f"content-length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode("latin-1") + body

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)

    async def _write_faulty(
        self, writer: asyncio.StreamWriter, answer: bytes, fault: ReplyFault
    ) -> bool:
        """Write an answer with a fault. Return whether the connection stays open."""
        head, _, body = answer.partition(b"\r\n\r\n")
        if fault is ReplyFault.CONNECTION_RESET:
            _reset(writer)
            return False
        if fault is ReplyFault.DUPLICATE:
            writer.write(answer + answer)
            return True
        if fault is ReplyFault.LATE_DUPLICATE:
            writer.write(answer)
            asyncio.get_running_loop().call_later(0.01, writer.write, answer)
            return True
        if fault in (ReplyFault.WRONG_REQUEST_ID, ReplyFault.UNSIGNED, ReplyFault.ENCODED):
            writer.write(self._alter_head(head, fault) + b"\r\n\r\n" + body)
            return True
        if fault is ReplyFault.GARBAGE:
            writer.write(b"\x00\x17garbage\r\n\r\n")
            return True
        if fault is ReplyFault.TRUNCATED:
            writer.write(answer[: len(answer) - len(body) // 2])
            return False
        lines = [line for line in head.split(b"\r\n") if not line.startswith(b"content-length")]
        unframed = b"\r\n".join(lines) + b"\r\nconnection: close\r\n\r\n"
        if fault is ReplyFault.UNFRAMED:
            writer.write(unframed + body)
            return False
        writer.write(unframed + body[: len(body) // 2])
        await writer.drain()
        await asyncio.sleep(0.005)
        _reset(writer)
        return False

    def _alter_head(self, head: bytes, fault: ReplyFault) -> bytes:
        """Return a response head with a wrong request id, no signature or a content encoding."""
        if fault is ReplyFault.ENCODED:
            return head + b"\r\ncontent-encoding: gzip"
        name = self._dialect.signature if fault is ReplyFault.UNSIGNED else self._dialect.request_id
        lines = [line for line in head.split(b"\r\n") if not line.startswith(name + b":")]
        if fault is ReplyFault.WRONG_REQUEST_ID:
            lines.append(name + b": of-somebody-else")
        return b"\r\n".join(lines)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def start_replica(
    replica_id: str, service: str, *, dialect: Dialect | None = None, slots: int = 3
) -> ForwardReplica:
    """Start a replica on a free port. The caller closes it."""
    replica = ForwardReplica(replica_id, service, dialect or Dialect(), slots)
    await replica.listen()
    return replica
