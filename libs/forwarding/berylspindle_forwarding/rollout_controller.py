"""Decide on rollouts in the store: shift all requests to the new version, complete or roll back.

Terms:
  controller  a VM that follows the store itself, usually one per data centre; all decide by the
              same records
  record      the answers of one data centre, an entry under a lease

Flow: `run` waits for a rollout. A controller then writes its data centre's record once a second,
and takes the next step as soon as the records of all data centres allow it. Each step is a
conditional write: the first controller to write it wins, and the others see the entry by their
watch. The status reports each result to the operator.

Guards: the old replicas stop without draining as soon as the status is `completed`. So all VMs
first receive the shift and send no more requests to the old version; the status is written only
after the pending requests there have ended. An unavailable store delays a step and reverts none.
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
    StoreLeaseNotFound,
)
from berylspindle_telemetry.logs import logger

STEP_INTERVAL_S: Final = 0.4
RECORD_INTERVAL_S: Final = 1.0

RECORD_RETENTION_S: Final = 60.0
"""Seconds for which records outlive the term of an order."""

_STATES: Final = {stage: state for state, stage in FINAL_STAGES.items()}


class RolloutEntries(abc.ABC):
    """Map rollouts to entries of the store."""

    @abc.abstractmethod
    def status_entry(self, service: str, status: RolloutStatus) -> tuple[str, bytes]:
        """Return the key and the value of a status for the operator."""

    @abc.abstractmethod
    def shift_key(self, service: str) -> str:
        """Return the key of the entry that moves all requests of a service to the new version."""

    @abc.abstractmethod
    def record_key(self, service: str, data_centre: str) -> str:
        """Return the key of a data centre's record."""


class RolloutController:
    """Take the steps of rollouts while `is_controller` returns true."""

    def __init__(
        self,
        rollouts: Rollouts,
        store: Store,
        entries: RolloutEntries,
        *,
        data_centre: str,
        stored_entry: Callable[[str], StoredValue | None],
        versions: Callable[[str], set[str]],
        is_controller: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        """Initialize the controller.

        `stored_entry` looks up an entry of the store in this VM's mirror, and `versions` the
        announced versions of a service.
        """
        self._rollouts: Final = rollouts
        self._store: Final = store
        self._entries: Final = entries
        self._data_centre: Final = data_centre
        self._stored_entry: Final = stored_entry
        self._versions: Final = versions
        self._is_controller: Final = is_controller
        self._now: Final = now
        self._written_records: Final[dict[str, tuple[float, RolloutAnswers]]] = {}
        self._leases: Final[dict[int, str]] = {}
        self._last_failure = ""
        self._log: Final = logger("rollouts")

    async def run(self) -> None:
        """Take steps until cancelled."""
        while True:
            await self._rollouts.wait_active()
            await asyncio.sleep(STEP_INTERVAL_S)
            if not self._is_controller():
                continue
            for service in self._rollouts.active:
                try:
                    await self._step(service)
                except StoreConflict:
                    self._log.debug(
                        "rollout entry already written by another VM", extra={"service": service}
                    )
                except StoreLeaseNotFound:
                    self._leases.clear()
                except StoreError as error:
                    self._log_failure(service, str(error))

    def _log_failure(self, service: str, detail: str) -> None:
        if detail != self._last_failure:
            self._log.warning(
                "rollout entry not written to the store",
                extra={"service": service, "detail": detail},
            )
        self._last_failure = detail

    async def _step(self, service: str) -> None:
        """Accept a new order, or write the record and take the next step if it is due."""
        order, stage = self._rollouts.order(service), self._rollouts.stage(service)
        if order is None or stage.is_final:
            return
        status = self._rollouts.status(service)
        if status is None or status.version != order.version or status.revision < order.revision:
            await self._accept_order(order)
            return
        await self._write_record(order)
        elapsed = self._rollouts.elapsed(service)
        if elapsed is None:
            return
        verdict = self._rollouts.verdict(service)
        in_stage = self._rollouts.stage_elapsed(service)
        target = next_stage(
            stage, verdict, elapsed=elapsed, stage_elapsed=in_stage, term=order.term
        )
        if target is stage:
            return
        await self._write_stage(order, target)
        self._log.warning(
            "rollout stage changed",
            extra={
                "service": service,
                "version": order.version,
                "stage": target.value,
                "answers_are": verdict.value,
                "answers": str(self._rollouts.answer_counts(service)),
                "elapsed_s": f"{elapsed:.1f}",
            },
        )

    async def _accept_order(self, order: RolloutOrder) -> None:
        """Report the rollout as running, or as completed if all replicas run the version."""
        is_deployed = self._versions(order.service) == {order.version}
        state = RolloutState.COMPLETED if is_deployed else RolloutState.RUNNING
        await self._write_status(order, state)
        self._log.info(
            "rollout accepted",
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
        written_at, written = self._written_records.get(order.service, (0.0, None))
        answers = self._rollouts.record(order.service, self._data_centre)
        if self._now() - written_at < RECORD_INTERVAL_S or answers == written:
            return
        key = self._entries.record_key(order.service, self._data_centre)
        await self._write(key, codec.to_json(answers), await self._lease(order))
        self._written_records[order.service] = (self._now(), answers)

    async def _lease(self, order: RolloutOrder) -> str:
        lease = self._leases.get(order.revision)
        if lease is None:
            granted = await self._store.grant_lease(order.term + RECORD_RETENTION_S)
            lease = self._leases[order.revision] = granted.id
        return lease

    async def _write(self, key: str, value: bytes, lease: str | None = None) -> None:
        known = self._stored_entry(key)
        expect = known.revision if known is not None else 0
        await self._store.compare_and_swap(key, value, expect=expect, lease=lease)
