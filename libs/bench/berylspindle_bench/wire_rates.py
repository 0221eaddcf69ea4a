"""Benchmark the cost of messages: HTTP/1.1, streams and calls between VMs, datagrams, the codec.

Terms:
  sender, receiver   this process and a second one, each with one event loop on one core
  CPU a message      CPU time of one side divided by the number of messages, in microseconds

Flow: the receiver runs in its own process. For each case the sender warms up, then sends a fixed
number of messages with a fixed number in flight, and reads the CPU times of both sides. The cases
run one after the other, so that their ratios hold on a busy machine as well. Batches in flight
share frames; the case with one in flight gives the cost of a single frame.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from multiprocessing.connection import Connection
from typing import Final

import attrs

from berylspindle_model.codec import from_msgpack, to_msgpack
from berylspindle_model.messages import Attempt, AttemptBatch, AttemptReply, Hit
from berylspindle_model.snapshot import Snapshot
from berylspindle_model.topology import Vm
from berylspindle_wire.datagrams import DatagramPort, open_datagrams
from berylspindle_wire.http import HttpRequest, HttpResponse, json_response
from berylspindle_wire.http_client import connect
from berylspindle_wire.http_server import serve
from berylspindle_wire.owner_link import BatchHandler
from berylspindle_wire.peer_codec import PeerFrame
from berylspindle_wire.peer_link import PeerLinks
from berylspindle_wire.peer_server import PeerServer

HOST: Final = "127.0.0.1"
KEY: Final = b"bench"
REQUEST_BODY: Final = b'{"query":"junmai daiginjo","limit":10}' * 4
RESPONSE_BODY: Final = b'{"hits":[{"id":"lot-1","score":1.5}]}' * 8
HITS: Final = tuple(
    Hit(id=f"lot-{number}", score=1.0 / (number + 1), fields={"brewery": "Asahi", "cases": number})
    for number in range(3)
)
IN_FLIGHT: Final = 16
WARM_UP_MESSAGES: Final = 300


@attrs.frozen(kw_only=True)
class Row:
    """Results of one case: messages per second and CPU time per message on both sides."""

    name: str
    messages: int
    per_second: float
    sender_us: float
    receiver_us: float


class _Owner(BatchHandler):
    """Batch handler that answers each attempt at once with three hits."""

    async def run(self, batch: AttemptBatch, reply: Callable[[AttemptReply], None]) -> None:
        for attempt in batch.attempts:
            reply(_make_reply(attempt))

    def cancel(self, attempts: Sequence[str]) -> None:
        pass


def _make_reply(attempt: Attempt) -> AttemptReply:
    return AttemptReply(
        attempt=attempt.id,
        server=attempt.server,
        shard=attempt.shard,
        snapshot=Snapshot(1, 1),
        hits=HITS,
        versions=(Snapshot(1, 1),),
    )


async def _handle_search(_: HttpRequest) -> HttpResponse:
    return json_response(200, RESPONSE_BODY)


async def _echo(payload: bytes) -> bytes:
    return payload


async def _serve_all(pipe: Connection) -> None:
    """Serve all protocols; send the ports through the pipe, then the CPU time on each request."""
    http = await serve(_handle_search, host=HOST, port=0)
    peers = PeerServer(HOST, 0, batch_handler=_Owner(), control={"echo": _echo}, key=KEY)
    await peers.start()
    ports: list[DatagramPort] = []
    datagrams = await open_datagrams(
        HOST, 0, key=KEY, on_message=lambda data, address: ports[0].send(data, address)
    )
    ports.append(datagrams)
    pipe.send((http.port, peers.port, datagrams.port))
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, pipe.recv):
        pipe.send(time.process_time())
    datagrams.close()
    await peers.close()
    await http.close()


def _run_receiver(pipe: Connection) -> None:
    asyncio.run(_serve_all(pipe))


@attrs.frozen
class _Receiver:
    """Ports of the receiver and the pipe to its process."""

    pipe: Connection
    http: int
    peers: int
    datagrams: int

    def process_time(self) -> float:
        """Return the CPU time of the receiver in seconds."""
        self.pipe.send(True)
        seconds: float = self.pipe.recv()
        return seconds


@contextmanager
def _receiver() -> Iterator[_Receiver]:
    context = multiprocessing.get_context("spawn")
    sender_pipe, receiver_pipe = context.Pipe()
    process = context.Process(target=_run_receiver, args=(receiver_pipe,))
    process.start()
    try:
        yield _Receiver(sender_pipe, *sender_pipe.recv())
    finally:
        sender_pipe.send(False)
        process.join()


class _Case(ABC):
    """A kind of message to benchmark."""

    def __init__(self, receiver: _Receiver) -> None:
        self.receiver = receiver

    @abstractmethod
    async def open(self) -> None:
        """Open the connections of the case."""

    @abstractmethod
    async def send(self, count: int) -> None:
        """Send `count` messages, a fixed number in flight, and wait for all replies."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class _Http(_Case):
    async def open(self) -> None:
        self._connections = [
            await connect(HOST, self.receiver.http, timeout=5) for _ in range(IN_FLIGHT)
        ]

    async def send(self, count: int) -> None:
        request = HttpRequest(method="POST", path="/search", body=REQUEST_BODY)

        async def send_share(number: int) -> None:
            for _ in range(count // IN_FLIGHT):
                await self._connections[number].request(request, timeout=30)

        await asyncio.gather(*(send_share(number) for number in range(IN_FLIGHT)))

    async def close(self) -> None:
        for connection in self._connections:
            connection.close()


class _Links(_Case):
    """Base class of the cases between VMs."""

    async def open(self) -> None:
        self._links = PeerLinks("sender", key=KEY)
        self._vm = Vm(id="o", data_centre="d", host=HOST, peer_port=self.receiver.peers)

    async def close(self) -> None:
        await self._links.close()


class _Unary(_Links):
    async def send(self, count: int) -> None:
        payload = to_msgpack(_batch(0, 1))

        async def send_share() -> None:
            for _ in range(count // IN_FLIGHT):
                await self._links.call(self._vm, "echo", payload, timeout=30)

        await asyncio.gather(*(send_share() for _ in range(IN_FLIGHT)))


class _Stream(_Links):
    def __init__(self, receiver: _Receiver, size: int, in_flight: int = IN_FLIGHT) -> None:
        super().__init__(receiver)
        self._size = size
        self._in_flight = in_flight
        self._number = 0

    async def send(self, count: int) -> None:
        size = self._size
        remaining = count // size
        answered = 0
        done = asyncio.Event()

        def submit() -> None:
            nonlocal remaining
            remaining -= 1
            self._number += 1
            unanswered = size

            def on_reply(reply: AttemptReply) -> None:
                nonlocal unanswered, answered
                assert reply.error is None, reply
                unanswered -= 1
                answered += 1
                if answered == count // size * size:
                    done.set()
                elif not unanswered and remaining:
                    submit()

            self._links.submit(self._vm, _batch(self._number, size), on_reply)

        for _ in range(min(self._in_flight, remaining)):
            submit()
        await done.wait()


class _Datagrams(_Case):
    async def open(self) -> None:
        self._answered = asyncio.Semaphore(0)
        self._port = await open_datagrams(
            HOST, 0, key=KEY, on_message=lambda *_: self._answered.release()
        )

    async def send(self, count: int) -> None:
        address = (HOST, self.receiver.datagrams)
        for _ in range(count // IN_FLIGHT):
            for _ in range(IN_FLIGHT):
                self._port.send(REQUEST_BODY, address)
            for _ in range(IN_FLIGHT):
                await asyncio.wait_for(self._answered.acquire(), 10)

    async def close(self) -> None:
        self._port.close()


def _batch(number: int, size: int) -> AttemptBatch:
    return AttemptBatch(
        entry="sender",
        caller="buyer-desk",
        deadline_ms=500,
        revision=7,
        attempts=tuple(
            Attempt(
                id=f"{number}.{index}",
                request_id=str(number),
                server=f"s{index}",
                service="buyer-desk",
                shard=str(index),
                query="junmai daiginjo",
            )
            for index in range(size)
        ),
        fingerprint="0123456789abcdef",
    )


async def _measure(name: str, case: _Case, count: int) -> Row:
    await case.open()
    try:
        await case.send(WARM_UP_MESSAGES // IN_FLIGHT * IN_FLIGHT)
        receiver_s, sender_s, start = (
            case.receiver.process_time(),
            time.process_time(),
            time.perf_counter(),
        )
        await case.send(count)
        seconds = time.perf_counter() - start
        sender_s = time.process_time() - sender_s
        receiver_s = case.receiver.process_time() - receiver_s
    finally:
        await case.close()
    return Row(
        name=name,
        messages=count,
        per_second=count / seconds,
        sender_us=sender_s / count * 1e6,
        receiver_us=receiver_s / count * 1e6,
    )


def _codec_row(size: int, count: int) -> Row:
    """Measure only encoding and decoding of the frames in both directions, per attempt."""
    batch = PeerFrame(batches=(_batch(1, size),))
    replies = PeerFrame(replies=tuple(_make_reply(a) for a in batch.batches[0].attempts))
    packed, packed_replies = to_msgpack(batch), to_msgpack(replies)
    rounds = count // size
    start = time.process_time()
    for _ in range(rounds):
        to_msgpack(batch)
        from_msgpack(packed_replies, PeerFrame)
    sender = time.process_time() - start
    start = time.process_time()
    for _ in range(rounds):
        from_msgpack(packed, PeerFrame)
        to_msgpack(replies)
    receiver = time.process_time() - start
    total = rounds * size
    return Row(
        name=f"codec alone, {size} attempts a frame",
        messages=total,
        per_second=total / (sender + receiver),
        sender_us=sender / total * 1e6,
        receiver_us=receiver / total * 1e6,
    )


def measure_messages(count: int = 8000) -> list[Row]:
    """Return one row per case, with `count` round trips or attempts each."""
    rows = []
    with _receiver() as receiver:
        cases: list[tuple[str, _Case]] = [
            ("HTTP/1.1 round trips over h11", _Http(receiver)),
            ("control calls, one a message", _Unary(receiver)),
            ("attempts over a stream, one in flight", _Stream(receiver, 1, in_flight=1)),
            *((f"attempts over a stream, {n} a batch", _Stream(receiver, n)) for n in (1, 10, 50)),
            ("datagrams there and back", _Datagrams(receiver)),
        ]
        for name, case in cases:
            rows.append(asyncio.run(_measure(name, case, count)))
    rows.extend(_codec_row(size, count) for size in (1, 10, 50))
    return rows


def main() -> None:
    """Run the benchmark and print its results."""
    print(f"{'case':40} {'a second':>10} {'sender us':>10} {'receiver us':>12}")
    for row in measure_messages():
        print(f"{row.name:40} {row.per_second:10.0f} {row.sender_us:10.1f} {row.receiver_us:12.1f}")


if __name__ == "__main__":
    main()
