"""Fixtures for tests over loopback sockets."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager

import attrs
import pytest

from berylspindle_model.errors import ErrorKind, RunState, refuse
from berylspindle_model.messages import Attempt, AttemptBatch, AttemptReply
from berylspindle_model.topology import Vm
from berylspindle_wire.owner_link import BatchHandler
from berylspindle_wire.peer_link import PeerLinks
from berylspindle_wire.peer_server import PeerServer

Until = Callable[[Callable[[], bool]], Awaitable[None]]


@pytest.fixture
def until() -> Until:
    """Return a function that waits until a condition holds and fails after a timeout."""

    async def wait(condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(10):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.001)

    return wait


KEY = b"shared"


class FakeOwner(BatchHandler):
    """Answer attempts for the server "fast"; hold those for "slow" until `release` is set."""

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.seen: list[str] = []
        self.deadlines: list[int] = []
        self.cancelled: list[str] = []
        self.make: Callable[[Attempt], Sequence[AttemptReply]] = lambda attempt: [ok(attempt)]

    async def run(self, batch: AttemptBatch, reply: Callable[[AttemptReply], None]) -> None:
        self.deadlines.append(batch.deadline_ms)
        self.seen.extend(attempt.id for attempt in batch.attempts)
        for attempt in batch.attempts:
            if attempt.server == "slow":
                await self.release.wait()
            for message in self.make(attempt):
                reply(message)

    def cancel(self, attempts: Sequence[str]) -> None:
        self.cancelled.extend(attempts)


def ok(attempt: Attempt) -> AttemptReply:
    return AttemptReply(attempt=attempt.id, server=attempt.server, shard=attempt.shard)


def batch_of(*attempts: str, deadline_ms: int = 5000) -> AttemptBatch:
    """Return a batch; "a:slow" names an attempt and its server, which is "fast" by default."""
    return AttemptBatch(
        entry="e",
        caller="c",
        deadline_ms=deadline_ms,
        revision=1,
        attempts=tuple(
            Attempt(
                id=text.split(":")[0],
                request_id="r",
                server=text.partition(":")[2] or "fast",
                service="s",
                shard="0",
            )
            for text in attempts
        ),
    )


@attrs.define
class Replies:
    """The replies that an entry received, by attempt."""

    all: list[AttemptReply] = attrs.field(factory=list)

    def take(self, reply: AttemptReply) -> None:
        self.all.append(reply)

    @property
    def outcomes(self) -> dict[str, tuple[ErrorKind | None, RunState | None]]:
        counts = Counter(reply.attempt for reply in self.all)
        assert set(counts.values()) <= {1}, "an attempt was answered twice"
        return {reply.attempt: (reply.error, reply.run) for reply in self.all}


@attrs.define
class Pair:
    owner: FakeOwner
    server: PeerServer
    links: PeerLinks
    vm: Vm
    replies: Replies = attrs.field(factory=Replies)

    batch_of = staticmethod(batch_of)
    ok = staticmethod(ok)

    def submit(self, *attempts: str, **options) -> None:
        self.links.submit(self.vm, batch_of(*attempts, **options), self.replies.take)

    def submit_execute(self, attempt: str, **options) -> None:
        """Submit an execute for the server "slow"."""
        batch = batch_of(f"{attempt}:slow", **options)
        execute = attrs.evolve(batch.attempts[0], execute_key=attempt, payload={})
        self.links.submit(self.vm, attrs.evolve(batch, attempts=(execute,)), self.replies.take)


async def _add_one(payload: bytes) -> bytes:
    return payload + b"1"


async def _refuse(payload: bytes) -> bytes:
    raise refuse(ErrorKind.STALE_PLAN, "too old")


async def _hang(payload: bytes) -> bytes:
    await asyncio.sleep(60)
    return payload


async def _break(payload: bytes) -> bytes:
    raise ValueError("broken")


CONTROL = {"add": _add_one, "refuse": _refuse, "hang": _hang, "break": _break}


@asynccontextmanager
async def open_pair(key: bytes | None = KEY, **options) -> AsyncIterator[Pair]:
    owner = FakeOwner()
    server = PeerServer("127.0.0.1", 0, batch_handler=owner, control=CONTROL, key=KEY)
    await server.start()
    links = PeerLinks("e", key=key, **{"connect_timeout": 2.0, "silence_timeout": 30.0} | options)
    vm = Vm(id="o", data_centre="d", host="127.0.0.1", peer_port=server.port)
    try:
        yield Pair(owner, server, links, vm)
    finally:
        await links.close()
        await server.close()


@attrs.define
class Relay:
    """Forward bytes between an entry and an owner.

    All bytes are dropped while `silent`, and delayed while `held`.
    """

    port: int = 0
    target: int = 0
    silent: bool = False
    held: bool = False
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.target)
        for source, sink in ((reader, other_writer), (other_reader, writer)):
            task = asyncio.create_task(self._pass_on(source, sink))
            self.tasks.add(task)

    async def _pass_on(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        try:
            while data := await source.read(65536):
                while self.held:  # noqa: ASYNC110
                    await asyncio.sleep(0.001)
                if not self.silent:
                    sink.write(data)
        except ConnectionError:
            pass
        finally:
            sink.close()


@asynccontextmanager
async def open_relayed_pair() -> AsyncIterator[tuple[Relay, Pair]]:
    async with open_pair(silence_timeout=0.3) as peers:
        relay = Relay(target=peers.server.port)
        listener = await asyncio.start_server(relay.accept, "127.0.0.1", 0)
        relay.port = listener.sockets[0].getsockname()[1]
        peers.vm = attrs.evolve(peers.vm, peer_port=relay.port)
        try:
            yield relay, peers
        finally:
            listener.close()
            for task in relay.tasks:
                task.cancel()
            await asyncio.gather(*relay.tasks, return_exceptions=True)


@pytest.fixture
def pair() -> Callable[..., object]:
    """Return a context manager for a linked entry and owner."""
    return open_pair


@pytest.fixture
def relayed_pair() -> Callable[..., object]:
    """Return a context manager for an entry and owner linked by a relay that can drop all bytes."""
    return open_relayed_pair
