"""Answer operators: plan an intent, and apply a plan that they confirm.

Terms:
  accepted   a configuration that the store holds; its revision is in force everywhere soon after
  settle     to find out, by the intent's own id, what became of a write whose reply was lost

Flow: `plan` works on the newest configuration that the store or this VM knows. `confirm` reads the
accepted one, lets `apply_plan` make the next and swaps it in. A conflict brings the newer one and
begins again, which ends in the intent's record or in STALE_PLAN.

Guard: the reply to a swap can be lost after it took effect. An operator would confirm again and
have the change twice, or be told that it failed while it is in force. The same swap is tried again
with the same expected revision: the store refuses it with the entry as it is, and the record with
the plan's id tells.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

from berylspindle_controlplane.documents import CONFIGURATION_KEY
from berylspindle_decisions.plans import apply_plan, find_record, make_plan
from berylspindle_model.checked import ConfigurationFaults, from_stored, to_stored
from berylspindle_model.configuration import Configuration
from berylspindle_model.errors import ErrorKind, refuse
from berylspindle_model.intents import Confirmation, Intent, Plan
from berylspindle_store.store import (
    Store,
    StoreAway,
    StoreConflict,
    StoredValue,
    StoreUnsure,
)

# Tries of one swap whose reply was lost, and the wait between them in seconds.
_TRIES: Final = 8
_RETRY: Final = 0.25
# Other operators may win the race; each time the plan turns out stale, so this is never reached.
_MAX_CONFLICTS: Final = 5

Busy = Callable[[], Mapping[str, float]]


class Operations:
    """The operators' side of the control plane.

    `known` returns the configuration in force here, `adopt` takes one that was accepted, and
    `busy` tells the slots in use by service, where known.
    """

    def __init__(
        self,
        store: Store,
        *,
        known: Callable[[], Configuration | None],
        adopt: Callable[[Configuration], None],
        busy: Busy,
    ) -> None:
        self._store: Final = store
        self._known: Final = known
        self._adopt: Final = adopt
        self._busy: Final = busy

    async def plan(self, intent: Intent) -> Plan:
        """Return the plan of an intent; nothing is changed. Raises RefusalError."""
        try:
            current, _ = await self._accepted(intent)
        except (StoreAway, StoreUnsure):
            # A plan may be read during an outage; it can be confirmed once the store is back.
            current = Configuration(revision=0, deployment=_deployment(intent))
        known = self._known()
        if known is not None and known.revision > current.revision:
            current = known
        return make_plan(current, intent, self._busy())

    async def confirm(self, plan: Plan, operator: str, *, override: bool = False) -> Confirmation:
        """Apply exactly this plan, once.

        Raises RefusalError: STALE_PLAN, UNSAFE_PLAN, STORE_AWAY with nothing changed, and
        OUTCOME_UNKNOWN where the store stopped answering meanwhile; confirming again settles that.
        """
        try:
            current, revision = await self._accepted(plan.intent)
        except (StoreAway, StoreUnsure) as error:
            raise refuse(ErrorKind.STORE_AWAY, str(error)) from error
        for _ in range(_MAX_CONFLICTS):
            record = find_record(current, plan.id)
            if record is not None:
                self._adopt(current)
                return Confirmation(id=plan.id, revision=record.revision, repeated=True)
            following = apply_plan(current, plan, operator, override=override, busy=self._busy())
            stored = await self._swap(following, revision)
            if stored is None:
                self._adopt(following)
                return Confirmation(id=plan.id, revision=following.revision)
            current, revision = stored
            if (record := find_record(current, plan.id)) is not None:
                self._adopt(current)
                return Confirmation(id=plan.id, revision=record.revision)
        raise refuse(ErrorKind.STALE_PLAN, "other operators changed the configuration meanwhile")

    async def _accepted(self, intent: Intent) -> tuple[Configuration, int]:
        """Return what the store holds, and its revision of it; raises StoreAway, StoreUnsure.

        A plain read may lag, and then a plan that was applied would look stale. This is a swap
        that cannot succeed while there is a configuration: its refusal never lags.
        """
        try:
            await self._store.compare_and_swap(CONFIGURATION_KEY, None, expect=0)
        except StoreConflict as conflict:
            return self._decoded(conflict.current)
        return Configuration(revision=0, deployment=_deployment(intent)), 0

    async def _swap(
        self, following: Configuration, expect: int
    ) -> tuple[Configuration, int] | None:
        """Return None where the swap took effect, else what the store holds instead."""
        value = to_stored(following)
        unsure = False
        for _ in range(_TRIES):
            try:
                await self._store.compare_and_swap(CONFIGURATION_KEY, value, expect=expect)
                return None
            except StoreConflict as conflict:
                return self._decoded(conflict.current)
            except StoreUnsure:
                unsure = True
            except StoreAway as error:
                if not unsure:
                    raise refuse(ErrorKind.STORE_AWAY, str(error)) from error
            except ValueError as error:
                raise refuse(ErrorKind.INVALID_CONFIGURATION, str(error)) from error
            await asyncio.sleep(_RETRY)
        raise refuse(
            ErrorKind.OUTCOME_UNKNOWN, "the store took the write and stopped answering; try again"
        )

    def _decoded(self, stored: StoredValue | None) -> tuple[Configuration, int]:
        if stored is None or stored.value is None:
            return Configuration(revision=0, deployment="new"), 0
        try:
            return from_stored(stored.value), stored.revision
        except ConfigurationFaults as error:
            raise refuse(ErrorKind.INVALID_CONFIGURATION, str(error)) from error


def _deployment(intent: Intent) -> str:
    if intent.configuration is not None:
        return intent.configuration.deployment
    return "new"
