"""Plan operators' intents and apply confirmed plans.

Terms:
  accepted   a configuration that is in the store; its revision is in force everywhere soon after

Flow: `plan` uses the newest configuration that the store or this VM has. `confirm` reads the
accepted configuration, makes its successor by `apply_plan` and writes it by compare-and-swap. A
conflict returns a newer configuration, with which the procedure starts again; it ends with the
intent's record or with STALE_PLAN.

A store that returns from a copy may hold an older configuration than the one in force. The one in
force was accepted as well, so plans are applied to it, and its successor replaces what is stored.
Otherwise every plan would be stale until the store had the lost revision again, with other content.

The reply to a swap can be lost after the swap took effect. The operator would then confirm again
and apply the change twice, or get an error although the change is in force. The swap is therefore
repeated with the same expected revision: the store refuses it and returns the current entry, in
which a record with the plan's id shows whether the plan was applied.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

from berylspindle_controlplane.documents import CONFIGURATION_KEY
from berylspindle_decisions.plans import apply_plan, find_record, make_plan
from berylspindle_model.configuration import Configuration
from berylspindle_model.configuration_codec import InvalidConfigurationError, from_stored, to_stored
from berylspindle_model.errors import ErrorKind, refuse
from berylspindle_model.intents import Confirmation, Intent, Plan
from berylspindle_store.store import (
    Store,
    StoreConflict,
    StoredValue,
    StoreOutcomeUnknown,
    StoreUnavailable,
)

# Maximum attempts of a swap, which is repeated while its outcome is unknown.
_SWAP_ATTEMPTS: Final = 8
_RETRY_WAIT_S: Final = 0.25
# Not reached in practice: after a conflict with another operator's change, the plan is stale.
_MAX_CONFLICTS: Final = 5

SlotsInUse = Callable[[], Mapping[str, float]]


class Operations:
    """Operators' intents and plans.

    `local_configuration` returns the configuration in force on this VM, `adopt` puts an accepted
    configuration into force, and `slots_in_use` returns the slots in use by service, where known.
    """

    def __init__(
        self,
        store: Store,
        *,
        local_configuration: Callable[[], Configuration | None],
        adopt: Callable[[Configuration], None],
        slots_in_use: SlotsInUse,
    ) -> None:
        self._store: Final = store
        self._local_configuration: Final = local_configuration
        self._adopt: Final = adopt
        self._slots_in_use: Final = slots_in_use

    async def plan(self, intent: Intent) -> Plan:
        """Return the plan of an intent, without changing anything. Raises RefusalError."""
        try:
            current, _ = await self._read_accepted(intent)
        except (StoreUnavailable, StoreOutcomeUnknown):
            # Plans can be made during an outage of the store, and confirmed after it.
            current = Configuration(revision=0, deployment=_deployment(intent))
        return make_plan(self._newest(current), intent, self._slots_in_use())

    async def confirm(self, plan: Plan, operator: str, *, override: bool = False) -> Confirmation:
        """Apply exactly this plan, at most once.

        Raises RefusalError: STALE_PLAN, UNSAFE_PLAN, INVALID_CONFIGURATION, BAD_REQUEST or
        STORE_AWAY if nothing was changed, and OUTCOME_UNKNOWN if the store stopped responding
        during the write; a second confirmation then returns the outcome.
        """
        try:
            current, revision = await self._read_accepted(plan.intent)
        except (StoreUnavailable, StoreOutcomeUnknown) as error:
            raise refuse(ErrorKind.STORE_AWAY, str(error)) from error
        for _ in range(_MAX_CONFLICTS):
            current = self._newest(current)
            record = find_record(current, plan.id)
            if record is not None:
                self._adopt(current)
                return Confirmation(id=plan.id, revision=record.revision, repeated=True)
            successor = apply_plan(
                current, plan, operator, override=override, busy=self._slots_in_use()
            )
            stored = await self._swap(successor, revision)
            if stored is None:
                self._adopt(successor)
                return Confirmation(id=plan.id, revision=successor.revision)
            current, revision = stored
            if (record := find_record(current, plan.id)) is not None:
                self._adopt(current)
                return Confirmation(id=plan.id, revision=record.revision)
        raise refuse(
            ErrorKind.STALE_PLAN, "other operators changed the configuration at the same time"
        )

    def _newest(self, stored: Configuration) -> Configuration:
        """Return the stored configuration, or the one in force here if that is newer."""
        local = self._local_configuration()
        return local if local is not None and local.revision > stored.revision else stored

    async def _read_accepted(self, intent: Intent) -> tuple[Configuration, int]:
        """Return the accepted configuration and the revision of its entry.

        With the lag of a plain read, a plan that was applied could appear stale. This is a
        compare-and-swap that cannot succeed while there is a configuration; the entry in its
        conflict does not lag. Raises StoreUnavailable, StoreOutcomeUnknown.
        """
        try:
            await self._store.compare_and_swap(CONFIGURATION_KEY, None, expect=0)
        except StoreConflict as conflict:
            return self._decode(conflict.current)
        return Configuration(revision=0, deployment=_deployment(intent)), 0

    async def _swap(
        self, successor: Configuration, expect: int
    ) -> tuple[Configuration, int] | None:
        """Return None if the swap took effect, otherwise the conflicting content of the store."""
        value = to_stored(successor)
        maybe_written = False
        for _ in range(_SWAP_ATTEMPTS):
            try:
                await self._store.compare_and_swap(CONFIGURATION_KEY, value, expect=expect)
                return None
            except StoreConflict as conflict:
                return self._decode(conflict.current)
            except StoreOutcomeUnknown:
                maybe_written = True
            except StoreUnavailable as error:
                if not maybe_written:
                    raise refuse(ErrorKind.STORE_AWAY, str(error)) from error
            except ValueError as error:
                raise refuse(ErrorKind.INVALID_CONFIGURATION, str(error)) from error
            await asyncio.sleep(_RETRY_WAIT_S)
        raise refuse(
            ErrorKind.OUTCOME_UNKNOWN,
            "the store did not respond to the write; confirm again to get the outcome",
        )

    def _decode(self, stored: StoredValue | None) -> tuple[Configuration, int]:
        if stored is None or stored.value is None:
            return Configuration(revision=0, deployment="new"), 0
        try:
            return from_stored(stored.value), stored.revision
        except InvalidConfigurationError as error:
            raise refuse(ErrorKind.INVALID_CONFIGURATION, str(error)) from error


def _deployment(intent: Intent) -> str:
    if intent.configuration is not None:
        return intent.configuration.deployment
    return "new"
