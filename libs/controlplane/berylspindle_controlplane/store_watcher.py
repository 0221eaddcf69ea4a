"""Watch the store for new configurations and views, on the few VMs whose turn it is.

Terms:
  watcher   one of two members of a data centre that hold waiting watches; all others hear of
            changes from their peers and call the store not at all while nothing fails

Flow: `StoreWatcher.run` lists a prefix, then watches what comes after; what is decoded goes to a
callback that adopts only what is higher, so that late, lagging and double events do no harm.
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
from berylspindle_decisions.rendezvous import first_of
from berylspindle_model import codec
from berylspindle_model.checked import ConfigurationFaults, from_stored
from berylspindle_model.configuration import Configuration
from berylspindle_model.delta import Changes
from berylspindle_model.topology import View
from berylspindle_store.store import Store, StoreAway, StoredValue, StoreUnsure

# Two, so that the death of one delays nothing; a third would cost a third more waiting calls.
WATCHERS: Final = 2
WAIT: Final = 30.0
_RETRY: Final = 0.5
_MAX_RETRY: Final = 5.0


def is_watcher(me: str, view: View | None, suspects: frozenset[str]) -> bool:
    """Tell whether a VM is one of the watchers of its data centre."""
    if view is None:
        return False
    live = [vm for vm in view.members if vm.id not in suspects]
    return any(vm.id == me for vm in first_of("watcher", live, WATCHERS))


class StoreWatcher:
    """The watches of one VM.

    `pick` returns a random whole number below its argument, which spreads the tries of many VMs
    when the store comes back.
    """

    def __init__(
        self,
        store: Store,
        *,
        pick: Callable[[int], int],
        on_changes: Callable[[Changes], None],
        on_store: Callable[[bool, str], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        self._store: Final = store
        self._pick: Final = pick
        self._on_changes: Final = on_changes
        self._on_store: Final = on_store
        self._on_rejected: Final = on_rejected

    async def run(self) -> None:
        """Watch until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch(CONFIGURATION_PREFIX))
            tasks.create_task(self._watch(VIEWS_PREFIX))

    async def read_once(self) -> None:
        """Read all there is once; raises StoreAway."""
        for prefix in (CONFIGURATION_PREFIX, VIEWS_PREFIX):
            listed = await self._store.list(prefix)
            self._take(listed.entries)

    async def _watch(self, prefix: str) -> None:
        after: int | None = None
        wait = _RETRY
        while True:
            try:
                after = await self._step(prefix, after)
                self._on_store(True, "")
                wait = _RETRY
            except (StoreAway, StoreUnsure) as error:
                self._on_store(False, str(error))
                await asyncio.sleep(wait * (0.5 + self._pick(1000) / 1000))
                wait = min(_MAX_RETRY, 2 * wait)

    async def _step(self, prefix: str, after: int | None) -> int | None:
        if after is None:
            listed = await self._store.list(prefix)
            self._take(listed.entries)
            return listed.revision
        result = await self._store.watch(prefix, after=after, wait=WAIT)
        self._take(result.entries)
        return None if result.compacted else result.revision

    def _take(self, entries: Iterable[StoredValue]) -> None:
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
            except (ConfigurationFaults, codec.MalformedError) as error:
                self._on_rejected(f"{entry.key} at {entry.revision}: {error}")
        self._on_changes(Changes(configuration=configuration, views=tuple(views)))
