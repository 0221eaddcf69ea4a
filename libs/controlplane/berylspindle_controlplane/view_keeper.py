"""Change the view of a data centre in the store: joins, removals, planned leaves.

Terms:
  base       the stored view that a change starts from, with the store's revision of it
  unsure     a compare-and-swap whose reply was lost; it may yet take effect
  withdrawn  a proposal that surely took no effect, so that its guardian may confirm again

Flow: requests -> queue -> `ViewKeeper.run`, which takes those of one kind at once, swaps the view
and offers the result. One writer a VM, so that its own requests never race each other. What it
guards against: after a lost reply the same swap is tried again with the same expected revision
until the store refuses or takes it. Forgetting it instead would let it take effect later, when its
guardian confirms again, and two VMs would dispatch to one server.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from berylspindle_controlplane.documents import view_from_value, view_key, view_to_value
from berylspindle_decisions.guarding import Removal
from berylspindle_decisions.views import empty_view, with_joined, without
from berylspindle_model import codec
from berylspindle_model.topology import View, Vm
from berylspindle_store.store import (
    Store,
    StoreAway,
    StoreConflict,
    StoredValue,
    StoreUnsure,
)

# Wait between two tries of a call that found the store away: long enough not to add to its load
# when it comes back, short enough for the bound of a hand-over.
_RETRY: Final = 0.5
_MAX_RETRY: Final = 4.0
_MAX_CONFLICTS: Final = 50


class Outcome(enum.Enum):
    """What became of a request: it is in the store, it isn't wanted there, the store was away."""

    DONE = "done"
    OBSOLETE = "obsolete"
    AWAY = "away"


@attrs.frozen
class Join:
    """Add a VM."""

    vm: Vm


@attrs.frozen
class Leave:
    """Take out a VM that has given up all it owned."""

    vm: str


Request = Join | Leave | Removal


@attrs.define
class _Pending:
    request: Request
    done: asyncio.Future[Outcome]


@attrs.frozen
class _Base:
    view: View
    revision: int


class ViewKeeper:
    """The one writer of this VM to the view of its data centre."""

    def __init__(self, data_centre: str, store: Store, on_view: Callable[[View], None]) -> None:
        self._data_centre: Final = data_centre
        self._key: Final = view_key(data_centre)
        self._store: Final = store
        self._on_view: Final = on_view
        self._queue: Final[asyncio.Queue[_Pending]] = asyncio.Queue()

    async def submit(self, request: Request) -> Outcome:
        """Ask for a change and wait for what becomes of it."""
        done: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait(_Pending(request, done))
        return await done

    async def run(self) -> None:
        """Work on requests until cancelled; those that wait are cancelled then."""
        batch: list[_Pending] = []
        try:
            while True:
                batch = [await self._queue.get()]
                batch.extend(self._same_kind(batch[0]))
                outcome = await self._swap([pending.request for pending in batch])
                for pending in batch:
                    if not pending.done.done():
                        pending.done.set_result(outcome)
        finally:
            for pending in (*batch, *self._same_kind(None)):
                pending.done.cancel()

    async def read_current(self) -> View:
        """Return the view as the store has it now, which a plain read may lag behind.

        It is a swap that cannot succeed while there is a view: its refusal never lags. Raises
        StoreAway or StoreUnsure.
        """
        try:
            await self._store.compare_and_swap(self._key, None, expect=0)
        except StoreConflict as conflict:
            return self._base(conflict.current).view
        return empty_view(self._data_centre)

    def _same_kind(self, first: _Pending | None) -> list[_Pending]:
        found: list[_Pending] = []
        others: list[_Pending] = []
        while not self._queue.empty():
            pending = self._queue.get_nowait()
            same = first is None or type(pending.request) is type(first.request)
            (found if same else others).append(pending)
        for pending in others:
            self._queue.put_nowait(pending)
        return found

    async def _swap(self, requests: Sequence[Request]) -> Outcome:
        try:
            base = self._base(await self._store.get(self._key))
        except StoreAway:
            return Outcome.AWAY
        for _ in range(_MAX_CONFLICTS):
            view = _next(base.view, requests)
            if view == base.view:
                self._offer(view)
                return Outcome.DONE if _holds(view, requests) else Outcome.OBSOLETE
            try:
                written = await self._write(base, view)
            except StoreAway:
                return Outcome.AWAY
            if written.view == view:
                self._offer(view)
                return Outcome.DONE
            base = written
        return Outcome.AWAY

    async def _write(self, base: _Base, view: View) -> _Base:
        """Return what the store holds after a swap; raises StoreAway if it surely wasn't made."""
        unsure = False
        wait = _RETRY
        while True:
            try:
                stored = await self._store.compare_and_swap(
                    self._key, view_to_value(view), expect=base.revision
                )
                return _Base(view, stored.revision)
            except StoreConflict as conflict:
                return self._base(conflict.current)
            except StoreUnsure:
                unsure = True
            except StoreAway:
                # Only while no earlier try of the same swap may still take effect.
                if not unsure:
                    raise
            await asyncio.sleep(wait)
            wait = min(_MAX_RETRY, 2 * wait)

    def _offer(self, view: View) -> None:
        if view.epoch > 0:
            self._on_view(view)

    def _base(self, stored: StoredValue | None) -> _Base:
        if stored is None or stored.value is None:
            return _Base(empty_view(self._data_centre), 0)
        try:
            return _Base(view_from_value(stored.value), stored.revision)
        except codec.MalformedError as error:
            raise StoreAway(f"{self._key} holds no view: {error}") from error


def _next(view: View, requests: Sequence[Request]) -> View:
    first = requests[0]
    if isinstance(first, Join):
        return with_joined(view, [r.vm for r in requests if isinstance(r, Join)])
    if isinstance(first, Leave):
        return without(view, {r.vm for r in requests if isinstance(r, Leave)}, released=True)
    # A removal stands on the epoch that its guardian judged by, and on no other.
    removed = {r.vm for r in requests if isinstance(r, Removal) and r.epoch == view.epoch}
    return without(view, removed, released=False)


def _holds(view: View, requests: Sequence[Request]) -> bool:
    return all(
        (view.member(r.vm.id) is not None) if isinstance(r, Join) else view.member(r.vm) is None
        for r in requests
    )
