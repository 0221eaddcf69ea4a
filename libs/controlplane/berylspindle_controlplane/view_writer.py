"""Write changes of a data centre's view to the store: joins, removals and planned leaves.

Terms:
  base   the stored view that a change is applied to, and its revision in the store

Flow: changes -> queue -> `ViewWriter.run`, which applies all queued changes of one kind together by
one compare-and-swap and publishes the result. There is one writer per VM, so that a VM's own
changes do not race each other. After a lost reply, the swap is repeated with the same expected
revision until the store accepts or refuses it.

Guard: a guardian resumes its confirmations only if its proposed removal had no effect. If, after a
lost reply, the writer reported a failure instead of repeating the swap, the removal could take
effect after the guardian has resumed, and two VMs would dispatch to one server. An epoch is never
given out again: a store that returns from a copy may hold a view with a lower epoch than this VM
knows, and two VMs with different views of one epoch would dispatch to one server as well.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from berylspindle_controlplane.documents import view_from_value, view_key, view_to_value
from berylspindle_decisions.guarding import Removal
from berylspindle_decisions.views import empty_view, with_epoch_above, with_joined, with_removed
from berylspindle_model import codec
from berylspindle_model.topology import View, Vm
from berylspindle_store.store import (
    Store,
    StoreConflict,
    StoredValue,
    StoreOutcomeUnknown,
    StoreUnavailable,
)

# Wait before a repeated swap: long enough not to overload a recovering store, short enough to hand
# over ownership in time.
_RETRY_WAIT_S: Final = 0.5
_MAX_RETRY_WAIT_S: Final = 4.0
_MAX_CONFLICTS: Final = 50


class ChangeOutcome(enum.Enum):
    """Result of a change.

    DONE: it is in the store. OBSOLETE: it no longer applies. UNAVAILABLE: it could not be written
    and has no effect.
    """

    DONE = "done"
    OBSOLETE = "obsolete"
    UNAVAILABLE = "away"


@attrs.frozen
class Join:
    """Add a VM."""

    vm: Vm


@attrs.frozen
class Leave:
    """Remove a VM that has released its dispatch rights."""

    vm: str


ViewChange = Join | Leave | Removal


@attrs.define
class _PendingChange:
    change: ViewChange
    done: asyncio.Future[ChangeOutcome]


@attrs.frozen
class _Base:
    view: View
    revision: int


class ViewWriter:
    """Writer of this VM's changes to the view of its data centre."""

    def __init__(
        self,
        data_centre: str,
        store: Store,
        on_view: Callable[[View], None],
        *,
        known_epoch: Callable[[], int],
    ) -> None:
        """Initialize; `known_epoch` returns the latest epoch that this VM knows."""
        self._data_centre: Final = data_centre
        self._key: Final = view_key(data_centre)
        self._store: Final = store
        self._on_view: Final = on_view
        self._known_epoch: Final = known_epoch
        self._queue: Final[asyncio.Queue[_PendingChange]] = asyncio.Queue()

    async def submit(self, change: ViewChange) -> ChangeOutcome:
        """Queue a change, and return its result."""
        done: asyncio.Future[ChangeOutcome] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait(_PendingChange(change, done))
        return await done

    async def run(self) -> None:
        """Apply changes until cancelled; on cancellation, cancel those that are queued."""
        batch: list[_PendingChange] = []
        try:
            while True:
                batch = [await self._queue.get()]
                batch.extend(self._take_same_kind(batch[0]))
                result = await self._apply_changes([pending.change for pending in batch])
                for pending in batch:
                    if not pending.done.done():
                        pending.done.set_result(result)
        finally:
            for pending in (*batch, *self._take_same_kind(None)):
                pending.done.cancel()

    async def read_current(self) -> View:
        """Return the current view in the store, without the lag of a plain read.

        This is a compare-and-swap that cannot succeed while there is a view; the entry in its
        conflict does not lag. Raises StoreUnavailable, StoreOutcomeUnknown.
        """
        try:
            await self._store.compare_and_swap(self._key, None, expect=0)
        except StoreConflict as conflict:
            return self._base(conflict.current).view
        return empty_view(self._data_centre)

    def _take_same_kind(self, first: _PendingChange | None) -> list[_PendingChange]:
        taken: list[_PendingChange] = []
        others: list[_PendingChange] = []
        while not self._queue.empty():
            pending = self._queue.get_nowait()
            same = first is None or type(pending.change) is type(first.change)
            (taken if same else others).append(pending)
        for pending in others:
            self._queue.put_nowait(pending)
        return taken

    async def _apply_changes(self, changes: Sequence[ViewChange]) -> ChangeOutcome:
        try:
            base = self._base(await self._store.get(self._key))
        except StoreUnavailable:
            return ChangeOutcome.UNAVAILABLE
        for _ in range(_MAX_CONFLICTS):
            stored = with_epoch_above(base.view, self._known_epoch())
            view = _changed_view(stored, changes)
            if view == stored:
                self._publish(base.view)
                return ChangeOutcome.DONE if _is_applied(view, changes) else ChangeOutcome.OBSOLETE
            try:
                written = await self._write(base, view)
            except StoreUnavailable:
                return ChangeOutcome.UNAVAILABLE
            if written.view == view:
                self._publish(view)
                return ChangeOutcome.DONE
            base = written
        return ChangeOutcome.UNAVAILABLE

    async def _write(self, base: _Base, view: View) -> _Base:
        """Swap, and return the resulting base. Raises StoreUnavailable if the swap had no
        effect."""
        maybe_written = False
        wait = _RETRY_WAIT_S
        while True:
            try:
                stored = await self._store.compare_and_swap(
                    self._key, view_to_value(view), expect=base.revision
                )
                return _Base(view, stored.revision)
            except StoreConflict as conflict:
                return self._base(conflict.current)
            except StoreOutcomeUnknown:
                maybe_written = True
            except StoreUnavailable:
                # After a lost reply, an earlier attempt may still take effect.
                if not maybe_written:
                    raise
            await asyncio.sleep(wait)
            wait = min(_MAX_RETRY_WAIT_S, 2 * wait)

    def _publish(self, view: View) -> None:
        if view.epoch > 0:
            self._on_view(view)

    def _base(self, stored: StoredValue | None) -> _Base:
        if stored is None or stored.value is None:
            return _Base(empty_view(self._data_centre), 0)
        try:
            return _Base(view_from_value(stored.value), stored.revision)
        except codec.MalformedError as error:
            raise StoreUnavailable(f"{self._key} holds no valid view: {error}") from error


def _changed_view(view: View, changes: Sequence[ViewChange]) -> View:
    first = changes[0]
    if isinstance(first, Join):
        return with_joined(view, [r.vm for r in changes if isinstance(r, Join)])
    if isinstance(first, Leave):
        return with_removed(view, {r.vm for r in changes if isinstance(r, Leave)}, released=True)
    # A removal applies only to the epoch in which its guardian proposed it.
    removed = {r.vm for r in changes if isinstance(r, Removal) and r.epoch == view.epoch}
    return with_removed(view, removed, released=False)


def _is_applied(view: View, changes: Sequence[ViewChange]) -> bool:
    return all(
        (view.member(r.vm.id) is not None) if isinstance(r, Join) else view.member(r.vm) is None
        for r in changes
    )
