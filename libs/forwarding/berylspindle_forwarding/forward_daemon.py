"""The forwarding daemon of one VM: its edges, and its graceful shutdown in stages.

Terms:
  edge    an address that the daemon listens on: callers', the balancer's and the collector's
  stage   a step of the shutdown

Flow: `run_forward_daemon` opens the store's client, the forwarder and the edges, all owned by one
exit stack, and waits to be told to stop. The shutdown then goes through these stages:

  unready   readiness fails, answers ask callers to go; all that still comes is served, for the
  balancer
            takes a second or two to notice and callers hold connections open
  drain     nothing has come for a while, or the time for it is over: the callers' port is closed,
  what
            is under way is finished
  close     everything is closed

Guard: callers whose connection is open send on it until they are told to go. Each answer says so
from the first stage on, and idle connections are closed only once nothing has come over them for a
while.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Final

import attrs

from berylspindle_decisions.log_rate_limiter import LineKind, LogRateLimiter
from berylspindle_forwarding.catalogue import CatalogueReader
from berylspindle_forwarding.forward_options import ForwardOptions
from berylspindle_forwarding.forwarder import Forwarder, open_forwarder
from berylspindle_forwarding.front import refusal_reply
from berylspindle_model.errors import Refusal
from berylspindle_store.store import Store
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.logs import logger
from berylspindle_telemetry.metrics import CONTENT_TYPE, Metrics
from berylspindle_wire.http import Handler, HttpLimits, HttpRequest, HttpResponse
from berylspindle_wire.http_head import read_raw_head
from berylspindle_wire.http_server import HttpServer, serve

BALANCER_S: Final = 2.6
"""Seconds after which a balancer that asks every second and counts two misses sends nothing more,
and some tenths for what it sent just before."""

LAST_PART: Final = 1.0
"""Seconds of the grace that are left for closing."""

LEAVE_S: Final = 0.4
"""Seconds for telling the store that this VM goes: a store that is silent would hold the process
beyond its grace."""


@attrs.frozen
class Endpoint:
    """An address to listen on."""

    host: str
    port: int


@attrs.frozen(kw_only=True)
class EdgeOptions:
    """The edges of one daemon.

    Attributes:
        callers: where callers' requests arrive; `bound` is a socket that listens there already.
        ready: where the balancer asks, or None; `ready_path` is what it asks for.
        metrics: where metrics are read, or None; `metrics_path` likewise.
        peers: where other VMs read this one's mirror, or None.
        grace_s: seconds between the order to stop and the end of the process.
        connections: callers' connections at a time.
    """

    callers: Endpoint
    bound: socket.socket | None = None
    ready: Endpoint | None = None
    ready_path: str = "/readyz"
    metrics: Endpoint | None = None
    metrics_path: str = "/metrics"
    peers: Endpoint | None = None
    grace_s: float = 6.0
    connections: int = 2000


class ForwardDaemon:
    """The edges over one forwarder."""

    def __init__(self, edges: EdgeOptions, forwarder: Forwarder, metrics: Metrics) -> None:
        self._edges: Final = edges
        self._forwarder: Final = forwarder
        self._metrics: Final = metrics
        self._log: Final = logger("daemon")
        self._lines: Final = LogRateLimiter()
        self._stack: Final = AsyncExitStack()
        self._callers: HttpServer

    async def start(self) -> None:
        """Open the edges; raises OSError where an address can't be bound."""
        limits = HttpLimits(connections=self._edges.connections)
        self._callers = await serve(
            self._forwarder.front.handle,
            host=self._edges.callers.host,
            port=self._edges.callers.port,
            limits=limits,
            on_fault=self._on_fault,
            read=read_raw_head,
            refuse=self._refuse_unread,
            bound=self._edges.bound,
        )
        self._stack.push_async_callback(self._callers.close, 0.0)
        self._forwarder.on_limits = self._set_limits
        self._forwarder.on_cut_off = self._callers.ask_to_go
        if self._edges.peers is not None:
            await self._serve_page(self._edges.peers, self._forwarder.mirror.answer)
        if self._edges.ready is not None:
            await self._serve_page(self._edges.ready, self._answer_ready)
        if self._edges.metrics is not None:
            await self._serve_page(self._edges.metrics, self._answer_metrics)

    async def shut_down(self) -> None:
        """End in stages; all that has come is answered, as far as the grace allows."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + self._edges.grace_s - LAST_PART
        self._stage("unready")
        self._forwarder.begin_shutdown()
        self._callers.begin_drain()
        await asyncio.sleep(min(BALANCER_S, max(0.0, ends - loop.time())))
        self._stage("drain")
        await self._callers.close(max(0.1, ends - loop.time()))
        self._stage("close")
        try:
            async with asyncio.timeout(LEAVE_S):
                await self._forwarder.leave()
        except TimeoutError:
            self._log.warning("not withdrawn", extra={"reason": "the store did not answer in time"})
        await self.close()

    async def close(self) -> None:
        """Close all edges at once."""
        await self._stack.aclose()

    async def _serve_page(self, at: Endpoint, answer: Handler) -> None:
        server = await serve(answer, host=at.host, port=at.port, on_fault=self._on_fault)
        self._stack.push_async_callback(server.close, 0.0)

    async def _answer_ready(self, request: HttpRequest) -> HttpResponse:
        if request.path != self._edges.ready_path:
            return HttpResponse(status=404)
        refusal: Refusal | None = self._forwarder.unready()
        if refusal is None:
            return HttpResponse(status=200)
        return HttpResponse(status=503, body=refusal.kind.value.encode())

    async def _answer_metrics(self, request: HttpRequest) -> HttpResponse:
        if request.path != self._edges.metrics_path:
            return HttpResponse(status=404)
        return HttpResponse(
            status=200,
            body=await self._metrics.render_in_steps(),
            headers={"content-type": CONTENT_TYPE},
        )

    def _refuse_unread(self, refusal: Refusal) -> HttpResponse:
        """Answer what never became a request, and what the shutdown has cut short."""
        self._metrics.count(names.FORWARD_REQUESTS, route="-", result=refusal.kind.value)
        if self._lines.may_write(asyncio.get_running_loop().time(), LineKind.REFUSED):
            self._log.info(
                "refused unread", extra={"kind": refusal.kind.value, "detail": refusal.detail}
            )
        else:
            self._metrics.count(names.LOG_LEFT_OUT, kind=LineKind.REFUSED.value)
        return refusal_reply(refusal, self._forwarder.dialect.request_id, b"")

    def _set_limits(self, limits: HttpLimits) -> None:
        self._callers.set_limits(attrs.evolve(limits, connections=self._edges.connections))

    def _on_fault(self, error: BaseException) -> None:
        self._metrics.count(names.FORWARD_REQUESTS, route="-", result="fault")
        self._log.error("internal fault", exc_info=(type(error), error, error.__traceback__))

    def _stage(self, name: str) -> None:
        self._log.info("shutdown", extra={"stage": name})


async def run_forward_daemon(
    options: ForwardOptions,
    edges: EdgeOptions,
    *,
    open_store: Callable[[], Store],
    reader: CatalogueReader,
    metrics: Metrics,
    on_reload: Callable[[], None] | None = None,
) -> None:
    """Run one daemon until SIGTERM or SIGINT; `on_reload` is called for each SIGHUP."""

    def reload() -> None:
        logger("forwarding").info("reload asked for", extra={"done": on_reload is not None})
        if on_reload is not None:
            on_reload()

    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    async with AsyncExitStack() as stack:
        store = open_store()
        if isinstance(store, contextlib.AbstractAsyncContextManager):
            await stack.enter_async_context(store)
        forwarder = await open_forwarder(
            options, store=store, reader=reader, metrics=metrics, stack=stack
        )
        daemon = ForwardDaemon(edges, forwarder, metrics)
        stack.push_async_callback(daemon.close)
        await daemon.start()
        await stop.wait()
        await daemon.shut_down()
