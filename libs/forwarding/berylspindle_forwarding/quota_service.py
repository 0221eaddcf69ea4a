"""Lend the tokens of organisations' quotas among all VMs.

Terms:
  owner      the VM that grants the tokens of an organisation (`quota_owners`)
  lender     the VM that borrows from the owner for its data centre, and lends to the VMs there
  state      what this VM holds of one organisation (`quota_state`)

Flow: the front awaits `admit` for each request of an organisation with a limit, and other VMs post
their asks to the peers' edge, which passes them to `handle`. A state is created at the first
request or ask, and dropped when it is idle. Organisations without a limit have no state and cause
no message.

Guard: a VM lends until its ports are closed at the end of a shutdown. From `begin_shutdown` on asks
of other VMs are rejected, so that they find the next lender.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final

import attrs

from berylspindle_decisions.log_rate_limiter import LogRateLimiter
from berylspindle_decisions.quota_limits import QuotaBounds
from berylspindle_forwarding.quota_admission import OverQuota, QuotaAdmission, QuotaUnknown
from berylspindle_forwarding.quota_owners import QuotaOwners
from berylspindle_forwarding.quota_peers import BORROW_PATH, CONTENT_TYPE, QuotaPeers, QuotaRole
from berylspindle_forwarding.quota_state import OrganisationState, QuotaContext
from berylspindle_model import codec
from berylspindle_model.quota_messages import QuotaAsk, QuotaDenial, QuotaReply
from berylspindle_model.quota_status import OrganisationStatus
from berylspindle_model.routing import Organisation
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.logs import logger
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.supervisor import keep_running, report_failure
from berylspindle_wire.http import HttpRequest, HttpResponse

UPKEEP_INTERVAL_S: Final = 0.5
"""Seconds between two refills of all pools in use (`token_pool`), in which idle states are dropped
as well."""

UPKEEP_BATCH: Final = 100
"""States that are kept up in one iteration of the event loop, in about a millisecond."""


class QuotaService(QuotaAdmission):
    """Admit requests by borrowed tokens, and lend tokens to other VMs.

    Times are in seconds of `clock`, which includes suspension.
    """

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        bounds: QuotaBounds,
        owners: QuotaOwners,
        clock: Callable[[], float],
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        super().__init__(
            vm=vm, data_centre=data_centre, bounds=bounds, metrics=metrics, uniform=rng.random
        )
        log_limiter = LogRateLimiter()
        self._owners: Final = owners
        self._peers: Final = QuotaPeers(
            address=owners.address, clock=clock, metrics=metrics, log_limiter=log_limiter
        )
        self._context: Final = QuotaContext(
            vm=vm,
            owners=owners,
            peers=self._peers,
            clock=clock,
            metrics=metrics,
            log_limiter=log_limiter,
            random_bits=rng.getrandbits,
            spawn=self._spawn,
        )
        self._states: Final[dict[str, OrganisationState]] = {}
        self._tasks: Final[set[asyncio.Task[None]]] = set()
        self._upkeep: asyncio.Task[None] | None = None
        self._is_shutting_down = False

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer an ask of another VM, or a request for the status page."""
        if request.path != BORROW_PATH:
            return await super().handle(request)
        if request.method != "POST":
            return HttpResponse(status=405)
        if self._is_shutting_down:
            return HttpResponse(status=503)
        try:
            role = QuotaRole(request.query.get("role", ""))
            ask = codec.from_msgpack(request.body, QuotaAsk)
        except (ValueError, codec.MalformedError) as error:
            return HttpResponse(status=400, body=str(error).encode())
        reply = await self._answer(role, ask)
        return HttpResponse(
            status=200, body=codec.to_msgpack(reply), headers={"content-type": CONTENT_TYPE}
        )

    def begin_shutdown(self) -> None:
        """Lend nothing to other VMs from now on; this VM's own requests are still admitted."""
        self._is_shutting_down = True

    async def close(self) -> None:
        """End all tasks and close all connections."""
        tasks = [*self._tasks, *([self._upkeep] if self._upkeep is not None else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._peers.close()

    async def _decide(self, name: str, until: float) -> OverQuota | QuotaUnknown | None:
        return await self._state(name).admit(until)

    def _on_limits(self) -> None:
        for name, state in tuple(self._states.items()):
            limit = self._limits.get(name)
            if limit is not None:
                state.set_limit(limit)
            else:
                state.close()
                self._drop(name)
        if self._limits and self._upkeep is None:
            self._upkeep = asyncio.get_running_loop().create_task(
                keep_running(self._keep_up, self._on_upkeep_failure)
            )

    def _describe(self, organisation: Organisation) -> OrganisationStatus:
        quota = super()._describe(organisation)
        if organisation.name not in self._limits:
            return quota
        rank = self._owners.rank(organisation.name)
        quota = attrs.evolve(
            quota, owner=rank.owner, lender=rank.lenders[0] if rank.lenders else None
        )
        state = self._states.get(organisation.name)
        if state is None:
            return quota
        standby_rate, standby_tokens = state.standby
        return attrs.evolve(
            quota,
            state_age_ms=int(state.age_s * 1000),
            level=round(state.level, 3),
            standby_rate=round(standby_rate, 3),
            standby_tokens=standby_tokens,
        )

    async def _answer(self, role: QuotaRole, ask: QuotaAsk) -> QuotaReply:
        if ask.organisation not in self._limits:
            return QuotaReply(reason=QuotaDenial.UNKNOWN)
        if role is QuotaRole.OWNER:
            if self._owners.owned_since(ask.organisation) is None:
                return QuotaReply(reason=QuotaDenial.NOT_OWNER)
            return self._state(ask.organisation).lend_as_owner(ask)
        return await self._state(ask.organisation).lend_as_lender(ask)

    def _state(self, name: str) -> OrganisationState:
        state = self._states.get(name)
        if state is None:
            state = OrganisationState(
                name, self._limits[name], self._context, self._counts_of(name)
            )
            self._states[name] = state
            self._metrics.gauge_function(
                names.QUOTA_STATE_AGE, lambda: int(state.age_s * 1000), organisation=name
            )
        return state

    def _drop(self, name: str) -> None:
        del self._states[name]
        self._metrics.remove(names.QUOTA_STATE_AGE, organisation=name)

    async def _keep_up(self) -> None:
        """Refill pools, drop idle states and close unused connections, until cancelled."""
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            await self._peers.close_unused(self._owners.addresses)
            for count, (name, state) in enumerate(tuple(self._states.items()), start=1):
                if self._states.get(name) is not state:
                    continue
                if state.is_idle:
                    self._drop(name)
                else:
                    state.prefetch()
                if count % UPKEEP_BATCH == 0:
                    await asyncio.sleep(0)

    def _on_upkeep_failure(self, error: Exception) -> None:
        report_failure(logger("quotas"), self._metrics, "quota upkeep", error)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
