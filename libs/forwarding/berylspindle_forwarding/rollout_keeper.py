"""Decide on rollouts in the store: tell the operator, shift all requests, complete or roll back.

Terms:
  keeper   a VM that follows the store itself, mostly one a data centre; all decide by the same
           records
  record   the answers of one data centre, an entry under a lease

Flow: `run` waits for a rollout. A keeper then writes its data centre's record once a second, and
takes the next step as soon as the records of all data centres allow it. Each step is a write under
a condition: whoever comes first has taken it, and the others see it by their watch.

Guards: the old replicas stop without draining as soon as the status says `completed`. So all VMs
first hear of the shift and send the old version nothing more; the status follows when what was
under way there has ended. A store that is away delays a step and undoes none.
"""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Callable
from typing import Final

from berylspindle_decisions.rollout_plan import Stage, next_stage
from berylspindle_forwarding.rollouts import FINAL_STAGES, Rollouts
from berylspindle_model import codec
from berylspindle_model.rollout import (
    RolloutAnswers,
    RolloutOrder,
    RolloutShift,
    RolloutState,
    RolloutStatus,
)
from berylspindle_store.store import (
    Store,
    StoreConflict,
    StoredValue,
    StoreError,
    StoreLeaseGone,
)
from berylspindle_telemetry.logs import logger

STEP_S: Final = 0.4
RECORD_S: Final = 1.0

LEASE_BEYOND_TERM_S: Final = 60.0
"""Seconds for which records are kept beyond the term of an order."""

_STATES: Final = {stage: state for state, stage in FINAL_STAGES.items()}


class RolloutEntries(abc.ABC):
    """Say where in the store the entries of rollouts lie."""

    @abc.abstractmethod
    def status_entry(self, service: str, status: RolloutStatus) -> tuple[str, bytes]:
        """Return the key and the value by which the operator is told of a rollout."""

    @abc.abstractmethod
    def shift_key(self, service: str) -> str:
        """Return the key of the word that a service's requests go to the new version."""

    @abc.abstractmethod
    def record_key(self, service: str, data_centre: str) -> str:
        """Return the key of a data centre's record."""


class RolloutKeeper:
    """Take the steps of rollouts; `is_keeper` says whether that is this VM's task just now."""

    def __init__(
        self,
        rollouts: Rollouts,
        store: Store,
        entries: RolloutEntries,
        *,
        data_centre: str,
        entry: Callable[[str], StoredValue | None],
        versions: Callable[[str], set[str]],
        is_keeper: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        """Take also an entry of the store as this VM knows it, and a service's versions."""
        self._rollouts: Final = rollouts
        self._store: Final = store
        self._entries: Final = entries
        self._data_centre: Final = data_centre
        self._entry: Final = entry
        self._versions: Final = versions
        self._is_keeper: Final = is_keeper
        self._now: Final = now
        self._recorded: Final[dict[str, tuple[float, RolloutAnswers]]] = {}
        self._leases: Final[dict[int, str]] = {}
        self._last_failure = ""
        self._log: Final = logger("rollouts")

    async def run(self) -> None:
        """Take steps until cancelled."""
        while True:
            await self._rollouts.wait_active()
            await asyncio.sleep(STEP_S)
            if not self._is_keeper():
                continue
            for service in self._rollouts.active:
                try:
                    await self._step(service)
                except StoreConflict:
                    self._log.debug("step taken by another VM", extra={"service": service})
                except StoreLeaseGone:
                    self._leases.clear()
                except StoreError as error:
                    self._note_failure(service, str(error))

    def _note_failure(self, service: str, detail: str) -> None:
        if detail != self._last_failure:
            self._log.warning(
                "rollout step not written", extra={"service": service, "detail": detail}
            )
        self._last_failure = detail

    async def _step(self, service: str) -> None:
        """Take a new order on, or write what is known and take the next step if it is due."""
        order, stage = self._rollouts.order(service), self._rollouts.stage(service)
        if order is None or stage.is_final:
            return
        status = self._rollouts.status(service)
        if status is None or status.version != order.version or status.revision < order.revision:
            await self._take_on(order)
            return
        await self._write_record(order)
        elapsed = self._rollouts.elapsed(service)
        if elapsed is None:
            return
        verdict = self._rollouts.verdict(service)
        in_stage = self._rollouts.in_stage(service)
        following = next_stage(stage, verdict, elapsed=elapsed, in_stage=in_stage, term=order.term)
        if following is stage:
            return
        await self._write_stage(order, following)
        self._log.warning(
            "rollout step",
            extra={
                "service": service,
                "version": order.version,
                "stage": following.value,
                "answers_are": verdict.value,
                "answers": str(self._rollouts.counted(service)),
                "elapsed_s": f"{elapsed:.1f}",
            },
        )

    async def _take_on(self, order: RolloutOrder) -> None:
        """Tell the operator that the rollout runs, or is over since the version is in force."""
        is_in_force = self._versions(order.service) == {order.version}
        state = RolloutState.COMPLETED if is_in_force else RolloutState.RUNNING
        await self._write_status(order, state)
        self._log.info(
            "rollout taken on",
            extra={"service": order.service, "version": order.version, "state": state.value},
        )

    async def _write_stage(self, order: RolloutOrder, stage: Stage) -> None:
        if stage is not Stage.SHIFT:
            await self._write_status(order, _STATES[stage])
            return
        shift = codec.to_json(RolloutShift(order=order.revision))
        await self._write(self._entries.shift_key(order.service), shift, await self._lease(order))

    async def _write_status(self, order: RolloutOrder, state: RolloutState) -> None:
        status = RolloutStatus(version=order.version, state=state)
        key, value = self._entries.status_entry(order.service, status)
        await self._write(key, value)

    async def _write_record(self, order: RolloutOrder) -> None:
        written_at, written = self._recorded.get(order.service, (0.0, None))
        answers = self._rollouts.record(order.service, self._data_centre)
        if self._now() - written_at < RECORD_S or answers == written:
            return
        key = self._entries.record_key(order.service, self._data_centre)
        await self._write(key, codec.to_json(answers), await self._lease(order))
        self._recorded[order.service] = (self._now(), answers)

    async def _lease(self, order: RolloutOrder) -> str:
        lease = self._leases.get(order.revision)
        if lease is None:
            granted = await self._store.grant_lease(order.term + LEASE_BEYOND_TERM_S)
            lease = self._leases[order.revision] = granted.id
        return lease

    async def _write(self, key: str, value: bytes, lease: str | None = None) -> None:
        known = self._entry(key)
        expect = known.revision if known is not None else 0
        await self._store.compare_and_swap(key, value, expect=expect, lease=lease)
