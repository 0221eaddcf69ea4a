"""Entry for searches: turns each request of a caller into one answer or one refusal.

Terms:
  fingerprint   hash of the work a search causes at backend servers; equal searches share it

Flow: `search` admits or refuses the request at once, derives the deadline of the fan-out, queries
the quarantine, pins the snapshot and lets a `FanoutDriver` run the fan-out. If the caller
disconnects, `search` is cancelled, which cancels the outstanding attempts.
"""

from __future__ import annotations

from typing import Final

import xxhash

from berylspindle_dataplane.entry_context import EntryContext
from berylspindle_dataplane.fanout_driver import FanoutDriver
from berylspindle_dataplane.router import Router
from berylspindle_dataplane.search_fanout import SearchFanout
from berylspindle_dataplane.service_meters import ServiceMeters
from berylspindle_dataplane.service_state import OverloadSignal, SearchStrategy, ServiceState
from berylspindle_decisions.quarantine import RunMode
from berylspindle_model.configuration import Configuration, Service
from berylspindle_model.errors import ErrorKind, Refusal, RunState
from berylspindle_model.messages import SearchAnswer, SearchRequest
from berylspindle_model.topology import ClusterState
from berylspindle_telemetry import metric_names as names


class Entry:
    """Answer searches."""

    def __init__(self, router: Router, context: EntryContext) -> None:
        self._router: Final = router
        self._context: Final = context
        self._services: dict[str, ServiceState] = {}
        self._configuration: Configuration | None = None

    def adopt(self, state: ClusterState) -> None:
        """Apply a new cluster state; keep the state of services that remain configured."""
        configuration = state.configuration
        if configuration is None or configuration is self._configuration:
            return
        self._configuration = configuration
        maps = _shard_maps(configuration)
        for service in configuration.services:
            existing = self._services.get(service.name)
            if existing is None:
                meters = ServiceMeters(service.name, self._context.metrics, self._context.timeline)
                self._services[service.name] = ServiceState(
                    service, maps[service.name], meters, self._context.admission
                )
            else:
                existing.adopt(service, maps[service.name])
        for name in set(self._services) - {service.name for service in configuration.services}:
            del self._services[name]

    def state(self, service: str) -> ServiceState | None:
        """Return the state of a service, or None if it is not configured."""
        return self._services.get(service)

    async def search(self, request: SearchRequest) -> SearchAnswer | Refusal:
        """Answer or refuse one search before its deadline."""
        started = self._context.now()
        outcome = await self._admit(request, started)
        self._record_metrics(request.service, outcome, (self._context.now() - started) * 1000)
        return outcome

    async def _admit(self, request: SearchRequest, started: float) -> SearchAnswer | Refusal:
        if self._configuration is None:
            return Refusal(ErrorKind.NOT_READY)
        state = self._services.get(request.service)
        if state is None:
            return Refusal(ErrorKind.UNKNOWN_SERVICE, request.service)
        left_ms = request.deadline_ms or state.service.policy.deadline_ms
        timeout_ms = self._context.deadlines.for_entry(left_ms, shards=len(state.service.shards))
        if timeout_ms is None:
            return Refusal(ErrorKind.DEADLINE_EXCEEDED, "the deadline is too short", _NOT_RUN)
        admission = state.admission
        verdict = admission.decide(started, caller=request.caller, deadline_left_ms=timeout_ms)
        if isinstance(verdict, Refusal):
            self._context.shedding.on_refused(started, verdict.kind.value)
            return verdict
        self._context.shedding.on_admitted(started)
        admission.on_start(request.caller)
        overload = OverloadSignal()
        try:
            return await self._run(request, state, overload, started, started + timeout_ms / 1000)
        finally:
            admission.on_done(
                self._context.now(),
                request.caller,
                queued_ms=overload.queued_ms,
                service_ms=state.served_ms,
                overloaded=overload.overloaded,
            )

    async def _run(
        self,
        request: SearchRequest,
        state: ServiceState,
        overload: OverloadSignal,
        started: float,
        deadline: float,
    ) -> SearchAnswer | Refusal:
        fingerprint = fingerprint_of(request.service, request.query)
        mode = self._context.quarantine.decide(started, fingerprint)
        if isinstance(mode, Refusal):
            return mode
        is_canary = mode is RunMode.CANARY
        fanout = SearchFanout(
            request,
            state.service,
            self._make_strategy(request, state, overload, fingerprint),
            pin=request.pin or state.tracker.choose(self._usable(state.service)),
            suspected=is_canary,
            now=started,
            deadline=deadline,
        )
        driver = FanoutDriver(
            fanout,
            state,
            self._router,
            self._context,
            request,
            fingerprint=fingerprint,
            is_canary=is_canary,
        )
        try:
            return await driver.run(deadline)
        finally:
            if is_canary:
                self._context.quarantine.on_inconclusive(fingerprint)

    def _make_strategy(
        self,
        request: SearchRequest,
        state: ServiceState,
        overload: OverloadSignal,
        fingerprint: str,
    ) -> SearchStrategy:
        return SearchStrategy(
            state,
            self._router,
            self._context.quarantine,
            fingerprint=fingerprint,
            overload=overload,
            pinned=request.pin is not None,
            now=self._context.now,
            random=self._context.random,
            new_id=self._context.new_id,
        )

    def _usable(self, service: Service) -> frozenset[str]:
        return frozenset(
            target.server.id
            for shard in service.shards
            for target in self._router.targets(service.name, shard)
        )

    def _record_metrics(
        self, service: str, outcome: SearchAnswer | Refusal, elapsed_ms: float
    ) -> None:
        metrics = self._context.metrics
        if isinstance(outcome, Refusal):
            result = outcome.kind.value
        else:
            missing = len(outcome.coverage.missing)
            state = self._services.get(service)
            if state is not None:
                # The service may have been removed from the configuration while the search ran.
                state.meters.on_answer(outcome.snapshot)
            result = "partial" if missing else "whole"
            if missing:
                metrics.count(names.SHARDS_MISSING, missing, service=service)
        metrics.count(names.REQUESTS, service=service, operation="search", result=result)
        metrics.observe(names.REQUEST_TIME, elapsed_ms, service=service, operation="search")


_NOT_RUN: Final = RunState.NOT_RUN


def fingerprint_of(service: str, query: str) -> str:
    """Return the fingerprint of a search."""
    return xxhash.xxh3_64_hexdigest(f"{service}\x00{query}".encode())


def _shard_maps(configuration: Configuration) -> dict[str, dict[str, tuple[str, ...]]]:
    servers: dict[tuple[str, str], list[str]] = {}
    for server in configuration.servers:
        servers.setdefault((server.service, server.shard), []).append(server.id)
    return {
        service.name: {
            shard: tuple(servers.get((service.name, shard), ())) for shard in service.shards
        }
        for service in configuration.services
    }
