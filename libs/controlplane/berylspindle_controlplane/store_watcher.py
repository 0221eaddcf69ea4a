"""Watch the store for new configurations and views.

Terms:
  watcher   one of the two members of a data centre that hold long-polling watches; all others get
            changes from their peers and do not call the store in normal operation

Flow: `StoreWatcher.run` lists a prefix and then watches for later changes. Decoded values go to a
callback that adopts only newer versions, so that late, lagging and duplicate events are harmless.
Each response with the configuration is also a confirmation (`decisions.store_age`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from berylspindle_controlplane.documents import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    VIEWS_PREFIX,
    view_from_value,
)
from berylspindle_decisions.rendezvous import top_members
from berylspindle_model import codec
from berylspindle_model.configuration import Configuration
from berylspindle_model.configuration_codec import InvalidConfigurationError, from_stored
from berylspindle_model.delta import Changes
from berylspindle_model.topology import View
from berylspindle_store.store import Store, StoredValue, StoreOutcomeUnknown, StoreUnavailable

# With two, the crash of one causes no delay. Each watcher holds two waiting calls at the store, one
# per prefix, so a third one would raise the waiting calls of a data centre from four to six.
WATCHERS_PER_DATA_CENTRE: Final = 2
VIEWS_WATCH_WAIT_S: Final = 30.0
# Each watch of the configuration confirms it. The wait bounds the age of the configuration on all
# VMs of the data centre, and the time until a lost watch is noticed.
CONFIGURATION_WATCH_WAIT_S: Final = 1.5
_RETRY_WAIT_S: Final = 0.5
_MAX_RETRY_WAIT_S: Final = 5.0


def is_watcher(vm_id: str, view: View | None, suspects: frozenset[str]) -> bool:
    """Return whether a VM is one of the watchers of its data centre."""
    if view is None:
        return False
    live = [vm for vm in view.members if vm.id not in suspects]
    return any(vm.id == vm_id for vm in top_members("watcher", live, WATCHERS_PER_DATA_CENTRE))


class StoreWatcher:
    """The watches of one VM.

    `rand_below` returns a random integer below its argument; it adds jitter, so that many VMs do
    not retry at the same time when the store recovers. `on_confirmed` is called after `on_changes`
    with the time at which the call was sent.
    """

    def __init__(
        self,
        store: Store,
        *,
        rand_below: Callable[[int], int],
        on_changes: Callable[[Changes], None],
        on_confirmed: Callable[[float], None],
        on_reachability: Callable[[bool, str], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        self._store: Final = store
        self._rand_below: Final = rand_below
        self._on_changes: Final = on_changes
        self._on_confirmed: Final = on_confirmed
        self._on_reachability: Final = on_reachability
        self._on_rejected: Final = on_rejected

    async def run(self) -> None:
        """Watch until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch(CONFIGURATION_PREFIX))
            tasks.create_task(self._watch(VIEWS_PREFIX))

    async def read_once(self) -> None:
        """Read the configuration and all views once. Raises StoreUnavailable."""
        for prefix in (CONFIGURATION_PREFIX, VIEWS_PREFIX):
            await self._list(prefix)

    async def _watch(self, prefix: str) -> None:
        after: int | None = None
        wait = _RETRY_WAIT_S
        while True:
            try:
                after = await self._step(prefix, after)
                self._on_reachability(True, "")
                wait = _RETRY_WAIT_S
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                self._on_reachability(False, str(error))
                await asyncio.sleep(wait * (0.5 + self._rand_below(1000) / 1000))
                wait = min(_MAX_RETRY_WAIT_S, 2 * wait)

    async def _step(self, prefix: str, after: int | None) -> int | None:
        if after is None:
            return await self._list(prefix)
        is_configuration = prefix == CONFIGURATION_PREFIX
        wait = CONFIGURATION_WATCH_WAIT_S if is_configuration else VIEWS_WATCH_WAIT_S
        sent_at = asyncio.get_running_loop().time()
        result = await self._store.watch(prefix, after=after, wait=wait)
        self._publish(result.entries)
        if result.compacted:
            return None
        if is_configuration:
            self._on_confirmed(sent_at)
        return result.revision

    async def _list(self, prefix: str) -> int:
        sent_at = asyncio.get_running_loop().time()
        listed = await self._store.list(prefix)
        self._publish(listed.entries)
        if prefix == CONFIGURATION_PREFIX:
            self._on_confirmed(sent_at)
        return listed.revision

    def _publish(self, entries: Iterable[StoredValue]) -> None:
        configuration: Configuration | None = None
        views: list[View] = []
        for entry in entries:
            if entry.value is None:
                continue
            try:
                if entry.key == CONFIGURATION_KEY:
                    configuration = from_stored(entry.value)
                elif entry.key.startswith(VIEWS_PREFIX):
                    views.append(view_from_value(entry.value))
            except (InvalidConfigurationError, codec.MalformedError) as error:
                self._on_rejected(f"{entry.key} at {entry.revision}: {error}")
        self._on_changes(Changes(configuration=configuration, views=tuple(views)))
