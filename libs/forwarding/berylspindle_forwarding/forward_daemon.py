"""The forwarding daemon of one VM: its edges and its graceful shutdown.

Terms:
  edge    an address that the daemon listens on: for callers, the balancer, metrics and peers, and
          for requests that other VMs relay unless they send them to the callers' port
  stage   a step of the shutdown

Flow: `run_forward_daemon` opens the store's client, the forwarder and the edges, all owned by one
exit stack, and waits for a signal to stop. The shutdown has these stages:

  unready   readiness fails and responses ask callers to close their connections; new requests are
            served, since the balancer takes one or two seconds to detect it and callers keep
            connections open
  drain     `BALANCER_DETECTION_S` later, or sooner if the grace period is too short for it: the
            ports of callers and of relayed requests are closed, and pending requests are finished;
            those that are left are answered by whether they may have run
  close     everything is closed

Guard: callers with an open connection send on it until a response asks them to close it. From the
first stage on each response does so, and an idle connection is closed only after a period without
requests.
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
from berylspindle_forwarding.catalogue_changes import CatalogueReader
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

BALANCER_DETECTION_S: Final = 2.6
"""Seconds until a balancer with a check interval of one second and a threshold of two failures
stops sending requests, plus some tenths of a second for requests that it sent just before."""

CLOSE_RESERVE_S: Final = 1.0
"""Seconds of the grace period that are reserved for closing."""

RELAY_HEADER_BYTES: Final = 2048
"""Size in bytes of the headers that an origin adds to a relayed request: its relay headers with the
bit set of up to a thousand shards, the time left and the organisation's name."""

WITHDRAW_TIMEOUT_S: Final = 0.4
"""Time-out in seconds for withdrawing this VM's announcement: a store that does not respond would
keep the process running beyond its grace period."""


@attrs.frozen
class Endpoint:
    """An address to listen on."""

    host: str
    port: int


@attrs.frozen(kw_only=True)
class EdgeOptions:
    """The edges of one daemon.

    Attributes:
        callers: address for callers' requests.
        bound: socket that already listens on `callers`, or None to open one.
        ready: address of the balancer's readiness check, or None; its path is `ready_path`.
        metrics: address for reading metrics, or None; the path is `metrics_path`.
        peers: address at which other VMs read this one's mirror and borrow quota tokens, or None.
        relays: address for relayed requests of other VMs, or None if these use the callers' port.
        grace_s: seconds between the signal to stop and the end of the process.
        connections: maximum number of callers' connections.
        relay_connections: maximum number of connections at `relays`.
    """

    callers: Endpoint
    bound: socket.socket | None = None
    ready: Endpoint | None = None
    ready_path: str = "/readyz"
    metrics: Endpoint | None = None
    metrics_path: str = "/metrics"
    peers: Endpoint | None = None
    relays: Endpoint | None = None
    grace_s: float = 6.0
    connections: int = 2000
    relay_connections: int = 1000


class ForwardDaemon:
    """The edges of one forwarder."""

    def __init__(self, edges: EdgeOptions, forwarder: Forwarder, metrics: Metrics) -> None:
        self._edges: Final = edges
        self._forwarder: Final = forwarder
        self._metrics: Final = metrics
        self._log: Final = logger("daemon")
        self._log_limiter: Final = LogRateLimiter()
        self._stack: Final = AsyncExitStack()
        self._callers: HttpServer
        self._relays: HttpServer | None = None

    async def start(self) -> None:
        """Open the edges; raises OSError if an address can't be bound."""
        limits = HttpLimits(connections=self._edges.connections)
        self._callers = await serve(
            self._forwarder.front.handle,
            host=self._edges.callers.host,
            port=self._edges.callers.port,
            limits=limits,
            on_fault=self._on_fault,
            read=read_raw_head,
            refuse=self._refuse_unread,
            listening_socket=self._edges.bound,
        )
        self._stack.push_async_callback(self._callers.close, 0.0)
        if self._edges.relays is not None:
            self._relays = await serve(
                self._forwarder.front.handle_relayed,
                host=self._edges.relays.host,
                port=self._edges.relays.port,
                limits=HttpLimits(connections=self._edges.relay_connections),
                on_fault=self._on_fault,
                read=read_raw_head,
                refuse=self._refuse_unread,
            )
            self._stack.push_async_callback(self._relays.close, 0.0)
        self._stack.callback(self._forwarder.front.begin_stop)
        self._forwarder.on_limits = self._set_limits
        self._forwarder.on_divert = self._callers.set_connection_close
        if self._edges.peers is not None:
            await self._serve_edge(self._edges.peers, self._forwarder.handle_peer)
        if self._edges.ready is not None:
            await self._serve_edge(self._edges.ready, self._answer_ready)
        if self._edges.metrics is not None:
            await self._serve_edge(self._edges.metrics, self._answer_metrics)

    async def shut_down(self) -> None:
        """Shut down in stages; accepted requests are answered as far as the grace period allows."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._edges.grace_s - CLOSE_RESERVE_S
        self._log_stage("unready")
        self._forwarder.begin_shutdown()
        servers = [self._callers] if self._relays is None else [self._callers, self._relays]
        for server in servers:
            server.begin_drain()
        await asyncio.sleep(min(BALANCER_DETECTION_S, max(0.0, deadline - loop.time())))
        self._log_stage("drain")
        grace = max(0.1, deadline - loop.time())
        await asyncio.gather(*(server.finish(grace) for server in servers))
        self._forwarder.front.begin_stop()
        await asyncio.gather(*(server.close() for server in servers))
        self._log_stage("close")
        try:
            async with asyncio.timeout(WITHDRAW_TIMEOUT_S):
                await self._forwarder.leave()
        except TimeoutError:
            self._log.warning(
                "announcement not withdrawn", extra={"reason": "the store did not answer in time"}
            )
        await self.close()

    async def close(self) -> None:
        """Close all edges at once."""
        await self._stack.aclose()

    async def _serve_edge(self, endpoint: Endpoint, handler: Handler) -> None:
        server = await serve(
            handler, host=endpoint.host, port=endpoint.port, on_fault=self._on_fault
        )
        self._stack.push_async_callback(server.close, 0.0)

    async def _answer_ready(self, request: HttpRequest) -> HttpResponse:
        if request.path != self._edges.ready_path:
            return HttpResponse(status=404)
        refusal: Refusal | None = self._forwarder.readiness_refusal()
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
        """Answer input that never became a request, or a request without an outcome of its own."""
        self._metrics.count(names.FORWARD_REQUESTS, route="-", result=refusal.kind.value)
        if self._log_limiter.allow(asyncio.get_running_loop().time(), LineKind.REFUSED):
            self._log.info(
                "request refused at the edge",
                extra={
                    "kind": refusal.kind.value,
                    "run_state": refusal.run_state.value,
                    "detail": refusal.detail,
                },
            )
        else:
            self._metrics.count(names.LOG_LEFT_OUT, kind=LineKind.REFUSED.value)
        return refusal_reply(refusal, self._forwarder.dialect.request_id, b"")

    def _set_limits(self, limits: HttpLimits) -> None:
        self._callers.set_limits(attrs.evolve(limits, connections=self._edges.connections))
        if self._relays is not None:
            relay_limits = attrs.evolve(
                limits,
                header_bytes=limits.header_bytes + RELAY_HEADER_BYTES,
                connections=self._edges.relay_connections,
            )
            self._relays.set_limits(relay_limits)

    def _on_fault(self, error: BaseException) -> None:
        self._metrics.count(names.FORWARD_REQUESTS, route="-", result="fault")
        self._log.error("internal fault", exc_info=(type(error), error, error.__traceback__))

    def _log_stage(self, name: str) -> None:
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
        logger("forwarding").info("reload requested", extra={"done": on_reload is not None})
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
