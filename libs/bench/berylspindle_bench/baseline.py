"""Baseline query tier for benchmarks: independent VMs without owners, hedges or admission control.

Terms:
  policy         how a replica of each shard is selected, and the limit on concurrent attempts
  random         a uniformly random replica, no limit
  two-choices    of two random replicas the one with fewer attempts of this VM, no limit
  static-shares  a random replica, limited to this VM's equal share of its slots, at least one

Flow: a baseline VM serves the search route for callers with the same HTTP library, sends one
attempt for each shard through the same backend client, and merges the replies that arrive before
the deadline. It polls the configuration in the store every two seconds to detect that a data centre
was taken out, and does not pin a snapshot.
"""

from __future__ import annotations

import asyncio
import enum
import itertools
import random
import signal
from contextlib import AsyncExitStack
from typing import Final

from berylspindle_controlplane.documents import CONFIGURATION_KEY
from berylspindle_dataplane.http_backend import BackendOptions, HttpBackend, open_http_backend
from berylspindle_decisions.merge import merge_hits
from berylspindle_model import caller_protocol as protocol
from berylspindle_model import codec
from berylspindle_model.configuration import Configuration, Server, ServerState, Service
from berylspindle_model.configuration_codec import from_stored
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.messages import Attempt, AttemptReply, Coverage, SearchAnswer
from berylspindle_store.http_store import open_store
from berylspindle_store.store import Store, StoreError
from berylspindle_wire.http import HttpRequest, HttpResponse, json_response
from berylspindle_wire.http_errors import refusal_response
from berylspindle_wire.http_server import serve

POLL_INTERVAL_S: Final = 2.0
HOST: Final = "127.0.0.1"


class BaselinePolicy(enum.StrEnum):
    """Replica selection and concurrency limit of a baseline."""

    RANDOM = "random"
    TWO_CHOICES = "two-choices"
    STATIC_SHARES = "static-shares"


class _Replica:
    """Connections and outstanding attempts of one baseline VM at one backend server."""

    def __init__(self, server: Server, slot_limit: int | None) -> None:
        self.server: Final = server
        self.outstanding = 0
        self.backend: Final[HttpBackend] = open_http_backend(
            server, BackendOptions(connect_timeout=1.0), lambda _: None
        )
        self._slots = asyncio.Semaphore(slot_limit) if slot_limit is not None else None

    async def run(self, attempt: Attempt, deadline_ms: int) -> AttemptReply:
        """Run one attempt. Wait for a free slot first if the slots are limited."""
        self.outstanding += 1
        try:
            if self._slots is None:
                return await self.backend.run(attempt, deadline_ms=deadline_ms)
            async with self._slots:
                return await self.backend.run(attempt, deadline_ms=deadline_ms)
        finally:
            self.outstanding -= 1


class Baseline:
    """One baseline VM."""

    def __init__(self, policy: BaselinePolicy, vms: int, seed: int) -> None:
        self._policy: Final = policy
        self._vms: Final = vms
        self._rng: Final = random.Random(seed)
        self._ids: Final = itertools.count(1)
        self._prefix: Final = f"baseline-{seed}"
        self._configuration: Configuration | None = None
        self._replicas: dict[str, _Replica] = {}

    async def poll_configuration(self, store: Store) -> None:
        """Poll the configuration until cancelled. A failed read is repeated after the interval."""
        while True:
            try:
                entry = await store.get(CONFIGURATION_KEY)
                if entry is not None and entry.value is not None:
                    self._apply(from_stored(entry.value))
            except StoreError:
                pass
            await asyncio.sleep(POLL_INTERVAL_S)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a search or a readiness check of the load balancer."""
        if request.path == protocol.READY_PATH:
            status = 200 if self._configuration is not None else 503
            return json_response(status, b"{}")
        route = protocol.parse_path(request.path)
        service = self._service(route.service) if route is not None else None
        if service is None:
            return refusal_response(Refusal(ErrorKind.UNKNOWN_SERVICE))
        body = codec.from_json(request.body, protocol.SearchBody)
        deadline_ms = int(request.headers.get(protocol.DEADLINE_HEADER, "1000"))
        try:
            replies = await self._fan_out(service, body, deadline_ms)
        except TimeoutError:
            refusal = Refusal(ErrorKind.DEADLINE_EXCEEDED, run=RunState.MAY_HAVE_RUN)
            return refusal_response(refusal)
        return self._answer(service, body, replies)

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(*(replica.backend.close() for replica in self._replicas.values()))

    def _service(self, name: str) -> Service | None:
        return self._configuration.service(name) if self._configuration is not None else None

    def _apply(self, configuration: Configuration) -> None:
        self._configuration = configuration
        for server in configuration.servers:
            if server.id not in self._replicas:
                is_limited = self._policy is BaselinePolicy.STATIC_SHARES
                slot_limit = max(1, server.slots // self._vms) if is_limited else None
                self._replicas[server.id] = _Replica(server, slot_limit)

    async def _fan_out(
        self, service: Service, body: protocol.SearchBody, deadline_ms: int
    ) -> list[AttemptReply]:
        tasks = [
            asyncio.ensure_future(self._run_attempt(service, shard, body, deadline_ms))
            for shard in service.shards
        ]
        done, pending = await asyncio.wait(tasks, timeout=deadline_ms * 0.95 / 1000)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        replies = [task.result() for task in done]
        successful = [reply for reply in replies if reply is not None and reply.error is None]
        if not successful:
            raise TimeoutError
        return successful

    async def _run_attempt(
        self, service: Service, shard: str, body: protocol.SearchBody, deadline_ms: int
    ) -> AttemptReply | None:
        replica = self._choose(service, shard)
        if replica is None:
            return None
        attempt = Attempt(
            id=f"{self._prefix}-{next(self._ids)}",
            request_id="",
            server=replica.server.id,
            service=service.name,
            shard=shard,
            query=body.query,
            limit=body.limit + 1,
        )
        return await replica.run(attempt, deadline_ms)

    def _choose(self, service: Service, shard: str) -> _Replica | None:
        configuration = self._configuration
        assert configuration is not None
        usable = [
            self._replicas[server.id]
            for server in configuration.replicas(service.name, shard)
            if server.state is ServerState.ACTIVE and configuration.is_in(server.data_centre)
        ]
        if not usable:
            return None
        if self._policy is BaselinePolicy.TWO_CHOICES and len(usable) > 1:
            return min(self._rng.sample(usable, 2), key=lambda replica: replica.outstanding)
        return self._rng.choice(usable)

    def _answer(
        self, service: Service, body: protocol.SearchBody, replies: list[AttemptReply]
    ) -> HttpResponse:
        answered = {reply.shard for reply in replies}
        newest = max(reply.snapshot for reply in replies if reply.snapshot is not None)
        page = merge_hits((reply.hits for reply in replies), offset=0, limit=body.limit)
        answer = SearchAnswer(
            request_id="",
            snapshot=newest,
            coverage=Coverage(
                asked=len(service.shards),
                answered=len(answered),
                missing=tuple(shard for shard in service.shards if shard not in answered),
            ),
            hits=page.hits,
        )
        return json_response(200, codec.to_json(answer))


async def run_baseline(
    policy: BaselinePolicy, *, vms: int, listen_port: int, store_port: int, seed: int
) -> None:
    """Serve one baseline VM until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(open_store(HOST, store_port))
        baseline = Baseline(policy, vms, seed)
        stack.push_async_callback(baseline.close)
        polling = asyncio.get_running_loop().create_task(baseline.poll_configuration(store))
        stack.callback(polling.cancel)
        server = await serve(baseline.handle, host=HOST, port=listen_port)
        stack.push_async_callback(server.close, 0.0)
        await stopped.wait()
